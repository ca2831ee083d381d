/*
 * Per-host records of one rollout, and the set of all rollouts.
 */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "policy/rollout.h"

/* Index of the first record whose host does not sort before HOST. */
static size_t
record_index (const DlRollout *rollout, const char *host)
{
  size_t low = 0;
  size_t high = rollout->record_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (strcmp (rollout->records[middle].host, host) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

const DlRolloutRecord *
dl_rollout_find_record (const DlRollout *rollout, const char *host)
{
  size_t at = record_index (rollout, host);

  if (at < rollout->record_count && strcmp (rollout->records[at].host, host) == 0)
    return &rollout->records[at];
  return NULL;
}

DlRolloutRecord *
dl_rollout_record (DlRollout *rollout, const char *host)
{
  size_t at = record_index (rollout, host);

  if (at < rollout->record_count && strcmp (rollout->records[at].host, host) == 0)
    return &rollout->records[at];
  rollout->records = talloc_realloc (rollout, rollout->records, DlRolloutRecord,
                                     rollout->record_count + 1);
  memmove (&rollout->records[at + 1], &rollout->records[at],
           (rollout->record_count - at) * sizeof (DlRolloutRecord));
  rollout->record_count++;
  rollout->records[at]
      = (DlRolloutRecord){ .host = talloc_strdup (rollout->records, host) };
  return &rollout->records[at];
}

bool
dl_rollout_has_ended (const DlRollout *rollout)
{
  switch (rollout->state)
    {
    case DL_ROLLOUT_CALLED_OFF:
    case DL_ROLLOUT_REPLACED:
    case DL_ROLLOUT_FAILED:
      return true;
    case DL_ROLLOUT_DISTRIBUTING:
    case DL_ROLLOUT_LOADING:
    case DL_ROLLOUT_COMPLETE:
    case DL_ROLLOUT_PAUSED:
      return false;
    }
  return false;
}

bool
dl_rollout_is_active (const DlRollout *rollout)
{
  return !dl_rollout_has_ended (rollout) && rollout->state != DL_ROLLOUT_COMPLETE;
}

bool
dl_rollout_keeps (const DlRollout *rollout, const char *host)
{
  return dl_names_contains (&rollout->loaded, host)
         || dl_names_contains (&rollout->wave, host);
}

static int
compare_created (const void *a, const void *b)
{
  const DlRollout *x = *(const DlRollout *const *)a;
  const DlRollout *y = *(const DlRollout *const *)b;

  if (x->created != y->created)
    return x->created > y->created ? -1 : 1;
  return strcmp (x->name, y->name);
}

void
dl_rollout_set_sort (DlRolloutSet *set)
{
  if (set->count > 0)
    qsort (set->rollouts, set->count, sizeof (DlRollout *), compare_created);
}

const DlRollout *
dl_rollout_for_host (const DlRolloutSet *set, const char *host)
{
  for (size_t i = 0; i < set->count; i++)
    {
      const DlRollout *r = set->rollouts[i];

      if (dl_rollout_has_ended (r) ? dl_rollout_keeps (r, host)
                                   : dl_names_contains (&r->targets, host))
        return r;
    }
  return NULL;
}
