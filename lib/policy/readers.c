#include "policy/readers.h"

#include <glib.h>

#include "policy/rendezvous.h"

/* What every entry ranks the region's entries for. */
#define READERS_KEY "readers"

static uint64_t
rank_score (const char *name)
{
  return dl_rendezvous_score (dl_str (READERS_KEY), dl_str (name));
}

/* How many of the region's entries come before NAME. */
static size_t
rank (const DlReadersQuery *q, const char *name)
{
  uint64_t score = rank_score (name);
  size_t before = q->is_entry && rank_score (q->self) > score;

  for (size_t i = 0; i < q->other_count; i++)
    before += rank_score (q->others[i]) > score;
  return before;
}

int
dl_readers_choose (const DlReadersQuery *q)
{
  size_t entries = q->other_count + q->is_entry;
  size_t readers = (entries + DL_READERS_SHARE - 1) / DL_READERS_SHARE;
  int chosen = -1;
  uint64_t best = 0;

  if (q->is_entry && rank (q, q->self) < readers)
    return -1;
  /* Followers spread over the readers by a hash of their own. */
  for (size_t i = 0; i < q->other_count; i++)
    {
      uint64_t score = dl_rendezvous_score (dl_str (q->self), dl_str (q->others[i]));

      if (rank (q, q->others[i]) >= readers || (chosen >= 0 && score <= best))
        continue;
      chosen = (int)i;
      best = score;
    }
  return chosen;
}
