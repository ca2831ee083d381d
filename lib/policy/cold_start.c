#include "policy/cold_start.h"

#include <glib.h>

#define MS_PER_S 1000.0

void
dl_cold_start_told (DlColdStart *cold,
                    uint64_t remaining_ms,
                    uint64_t sent_ms,
                    uint64_t now_ms)
{
  uint64_t until_ms = now_ms + remaining_ms;

  if (sent_ms < cold->told_ms && until_ms < cold->until_ms)
    return;
  cold->told_ms = now_ms;
  cold->until_ms = until_ms;
  cold->listed_until_ms = 0;
}

void
dl_cold_start_listed (DlColdStart *cold, uint64_t remaining_ms, uint64_t now_ms)
{
  cold->listed_until_ms = now_ms + remaining_ms;
}

void
dl_cold_start_suspected (DlColdStart *cold, uint64_t now_ms)
{
  cold->suspected_ms = now_ms;
}

void
dl_cold_start_sent (DlColdStart *cold, uint64_t now_ms)
{
  cold->sent_ms = now_ms;
}

uint64_t
dl_cold_start_remaining_ms (const DlColdStart *cold,
                            const DlColdTraits *traits,
                            uint64_t now_ms)
{
  uint64_t until_ms = MAX (cold->until_ms, cold->listed_until_ms);

  if (traits->per_s <= 0)
    return 0;
  if (cold->suspected_ms != 0)
    until_ms = MAX (until_ms, cold->suspected_ms + traits->start_ms);
  return until_ms > now_ms ? until_ms - now_ms : 0;
}

uint64_t
dl_cold_start_wait_ms (const DlColdStart *cold,
                       const DlColdTraits *traits,
                       DlColdShare share,
                       uint64_t now_ms)
{
  uint64_t remaining_ms = dl_cold_start_remaining_ms (cold, traits, now_ms);
  uint64_t due_ms;

  if (remaining_ms == 0 || !share.holds)
    return remaining_ms;
  if (cold->sent_ms == 0)
    return 0;
  due_ms = cold->sent_ms + (uint64_t)(share.holders * MS_PER_S / traits->per_s) + 1;
  return due_ms > now_ms ? MIN (due_ms - now_ms, remaining_ms) : 0;
}

unsigned
dl_cold_holders_max (const DlColdTraits *traits, const DlColdBound *bound)
{
  double spare = traits->per_s * (bound->overage - 1) + bound->slack;

  return (unsigned)CLAMP (spare / 2, 1.0, (double)G_MAXINT);
}

DlColdShare
dl_cold_share (const uint64_t *scores,
               size_t count,
               size_t self,
               const DlColdTraits *traits,
               const DlColdBound *bound)
{
  unsigned holders = (unsigned)MIN (count, dl_cold_holders_max (traits, bound));
  unsigned rank = 0;

  for (size_t i = 0; i < count; i++)
    rank += scores[i] > scores[self];
  return (DlColdShare){ .holds = rank < holders, .holders = holders };
}
