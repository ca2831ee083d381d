#include "policy/list_wait.h"

#include "policy/backoff.h"

uint64_t
dl_list_wait_next_ms (uint64_t last_ms, bool timed_out)
{
  static const DlBackoffBounds bounds
      = { .first_ms = DL_LIST_WAIT_FIRST_MS, .max_ms = DL_LIST_WAIT_MAX_MS };

  return timed_out ? dl_backoff_next_ms (last_ms, &bounds) : last_ms;
}
