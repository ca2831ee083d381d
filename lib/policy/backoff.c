#include "policy/backoff.h"

#include <glib.h>

bool
dl_backoff_allows (const DlBackoff *backoff, uint64_t now_ms)
{
  return now_ms >= backoff->until_ms;
}

bool
dl_backoff_failed (DlBackoff *backoff, const DlBackoffBounds *bounds, uint64_t now_ms)
{
  if (!dl_backoff_allows (backoff, now_ms))
    return false;
  backoff->pause_ms = backoff->pause_ms == 0
                          ? bounds->first_ms
                          : MIN (backoff->pause_ms * 2, bounds->max_ms);
  backoff->until_ms = now_ms + backoff->pause_ms;
  return true;
}

void
dl_backoff_succeeded (DlBackoff *backoff)
{
  *backoff = (DlBackoff){ 0 };
}
