#include "policy/backoff.h"

#include <glib.h>

uint64_t
dl_backoff_next_ms (uint64_t last_ms, const DlBackoffBounds *bounds)
{
  uint64_t doubled = MAX (last_ms * 2, bounds->first_ms);

  return MIN (doubled, bounds->max_ms);
}

uint64_t
dl_backoff_spread_ms (uint64_t pause_ms, uint64_t random)
{
  return pause_ms / 2 + random % (pause_ms / 2 + 1);
}

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
  backoff->pause_ms = dl_backoff_next_ms (backoff->pause_ms, bounds);
  backoff->until_ms = now_ms + backoff->pause_ms;
  return true;
}

void
dl_backoff_succeeded (DlBackoff *backoff)
{
  *backoff = (DlBackoff){ 0 };
}
