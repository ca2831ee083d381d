#include "policy/engines_wait.h"

bool
dl_engines_are_awaited (const DlEnginesHeard *heard, uint64_t now_ms)
{
  if (!heard->has_unheard || now_ms - heard->started_ms >= DL_ENGINES_WAIT_MAX_MS)
    return false;
  return heard->heard_ms == 0 || now_ms - heard->heard_ms < DL_ENGINES_WAIT_QUIET_MS;
}
