#include "policy/priority_share.h"

#include <glib.h>

#define PERCENT 100

static void
advance_window (DlPriorityShare *share, uint64_t now_ms)
{
  uint64_t passed_ms = now_ms - share->window_ms;

  if (passed_ms < DL_PRIORITY_WINDOW_MS)
    return;
  share->last
      = passed_ms < 2 * DL_PRIORITY_WINDOW_MS ? share->current : (DlPriorityCounts){ 0 };
  share->current = (DlPriorityCounts){ 0 };
  share->window_ms = now_ms;
}

static unsigned
known_rank (unsigned rank)
{
  return MIN (rank, DL_PRIORITY_RANKS - 1);
}

void
dl_priority_share_arrived (DlPriorityShare *share, unsigned rank, uint64_t now_ms)
{
  advance_window (share, now_ms);
  share->current.arrived[known_rank (rank)]++;
}

void
dl_priority_share_sent (DlPriorityShare *share, unsigned rank, uint64_t now_ms)
{
  advance_window (share, now_ms);
  share->current.sent[known_rank (rank)]++;
}

static unsigned
arrived (const DlPriorityShare *share, unsigned rank)
{
  return share->current.arrived[rank] + share->last.arrived[rank];
}

static unsigned
sent (const DlPriorityShare *share, unsigned rank)
{
  return share->current.sent[rank] + share->last.sent[rank];
}

bool
dl_priority_share_is_behind (const DlPriorityShare *share, unsigned rank)
{
  unsigned own = known_rank (rank);

  if (arrived (share, own) < DL_PRIORITY_REQUESTS_MIN)
    return false;
  for (unsigned r = 0; r < own; r++)
    if (arrived (share, r) >= DL_PRIORITY_REQUESTS_MIN
        && (uint64_t)sent (share, own) * arrived (share, r) * PERCENT
               < (uint64_t)sent (share, r) * arrived (share, own)
                     * DL_PRIORITY_SHARE_PERCENT)
      return true;
  return false;
}
