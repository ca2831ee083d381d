#include "policy/rate_limit.h"

#include <glib.h>

#define MS_PER_S 1000.0
/* A lower limit counts as this, so that its end is noticed. */
#define LIMIT_MIN_PER_S 0.05
#define RANDOM_RANGE    1000000

DlRateLimit
dl_rate_limit_init (void)
{
  return (DlRateLimit){
    .limit_per_s = DL_RATE_NONE,
    .share = { .holds = true, .divisor = 1 },
  };
}

bool
dl_rate_limit_named (
    DlRateLimit *limit, double limit_per_s, uint64_t at_ms, bool is_own, uint64_t now_ms)
{
  bool changed = limit->limit_per_s != limit_per_s;

  if (at_ms <= limit->named_ms)
    return false;
  if (changed)
    limit->changed_ms = now_ms;
  if (limit->limit_per_s < 0 && limit_per_s >= 0)
    limit->share = (DlRateShare){ .divisor = 1 };
  limit->named_ms = at_ms;
  limit->is_own = is_own;
  limit->limit_per_s = limit_per_s;
  return changed;
}

void
dl_rate_limit_set_share (DlRateLimit *limit,
                         DlRateShare share,
                         uint64_t now_ms,
                         uint64_t random)
{
  if (share.holds != limit->share.holds || limit->share_ms < limit->changed_ms)
    {
      limit->share_ms = now_ms;
      limit->phase = (double)(random % RANDOM_RANGE) / RANDOM_RANGE;
    }
  limit->share = share;
}

void
dl_rate_limit_sent (DlRateLimit *limit, uint64_t now_ms)
{
  limit->sent_ms = now_ms;
}

/* When nobody has heard from the upstream for long, at a time of this entry's own. */
static uint64_t
unheard_ms (const DlRateLimit *limit, double per_s)
{
  double ms = MAX (DL_RATE_UNHEARD_MS, DL_RATE_UNHEARD_INTERVALS * MS_PER_S / per_s);

  return limit->named_ms + (uint64_t)(ms * (1 + limit->phase));
}

uint64_t
dl_rate_limit_wait_ms (const DlRateLimit *limit, uint64_t now_ms)
{
  double per_s = MAX (limit->limit_per_s, LIMIT_MIN_PER_S);
  double interval_ms;
  uint64_t due_ms;

  if (limit->limit_per_s < 0)
    return 0;
  interval_ms = limit->share.divisor * MS_PER_S / per_s;
  due_ms = limit->share.holds ? limit->share_ms + (uint64_t)(limit->phase * interval_ms)
                              : unheard_ms (limit, per_s);
  if (limit->sent_ms != 0)
    due_ms = MAX (due_ms, limit->sent_ms + (uint64_t)interval_ms);
  return due_ms > now_ms ? due_ms - now_ms : 0;
}

static bool
goes_before (const DlRateEntry *a, const DlRateEntry *b)
{
  if (a->wants != b->wants)
    return a->wants;
  return a->score > b->score;
}

/* How many entries may hold a share: each may send one request more than its part of the
 * limit in a window. */
static unsigned
holders_max (double limit_per_s)
{
  double spare = (DL_RATE_BURST_FACTOR - 1) * DL_RATE_WINDOW_S * limit_per_s;

  return (unsigned)MIN (spare + DL_RATE_BURST, (double)G_MAXINT);
}

DlRateShare
dl_rate_share (const DlRateEntry *entries, size_t count, size_t self, double limit_per_s)
{
  unsigned holders = MIN ((unsigned)count, holders_max (limit_per_s));
  unsigned rank = 0;
  unsigned wanting = 0;

  for (size_t i = 0; i < count; i++)
    {
      rank += goes_before (&entries[i], &entries[self]);
      wanting += entries[i].wants;
    }
  if (rank >= holders)
    return (DlRateShare){ .divisor = (unsigned)count };
  return (DlRateShare){
    .holds = true,
    .divisor = entries[self].wants ? MIN (wanting, holders) : holders,
  };
}
