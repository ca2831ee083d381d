#include "policy/time_limit.h"

#include <glib.h>

bool
dl_time_limit_reached (const DlAttemptTime *a)
{
  uint64_t allowance_ms
      = MIN ((uint64_t)DL_TIME_LIMIT_ALLOWANCE_MS, a->given_ms / DL_TIME_LIMIT_SHARE);

  return a->given_ms > 0 && a->elapsed_ms + allowance_ms >= a->given_ms;
}
