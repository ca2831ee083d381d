#include "policy/fanout.h"

#include "policy/rendezvous.h"

/* Hash key of the ranking; the same on every node.  Readers (policy/readers.h) are ranked
 * by it as well, so that nodes which only hear from hubs and relays ask true readers. */
#define RANK_KEY "readers"

uint64_t
dl_fanout_rank (const char *name)
{
  return dl_rendezvous_score (dl_str (RANK_KEY), dl_str (name));
}

bool
dl_fanout_is_large (unsigned entries)
{
  return entries > DL_FANOUT_SMALL_ENTRIES_MAX;
}

/* Which entries may be chosen, from the best kind to any. */
typedef enum
{
  KIND_READY,
  KIND_ALIVE,
  KIND_ANY,
} Kind;

static bool
is_of_kind (const DlFanoutEntry *e, Kind kind)
{
  switch (kind)
    {
    case KIND_READY:
      return e->alive && e->ready;
    case KIND_ALIVE:
      return e->alive;
    case KIND_ANY:
      break;
    }
  return true;
}

static bool
has_kind (const DlFanoutEntry *entries, size_t count, Kind kind)
{
  for (size_t i = 0; i < count; i++)
    if (is_of_kind (&entries[i], kind))
      return true;
  return false;
}

static Kind
best_kind (const DlFanoutEntry *entries, size_t count)
{
  if (has_kind (entries, count, KIND_READY))
    return KIND_READY;
  return has_kind (entries, count, KIND_ALIVE) ? KIND_ALIVE : KIND_ANY;
}

/* Puts INDEX into its place among the first *COUNT of CHOSEN, of which there may be
 * WANTED. */
static void
insert (const DlFanoutEntry *entries,
        size_t index,
        size_t wanted,
        size_t *chosen,
        size_t *count)
{
  size_t at = *count < wanted ? (*count)++ : wanted;

  for (; at > 0 && entries[chosen[at - 1]].rank < entries[index].rank; at--)
    if (at < *count)
      chosen[at] = chosen[at - 1];
  if (at < *count)
    chosen[at] = index;
}

size_t
dl_fanout_choose (const DlFanoutEntry *entries,
                  size_t count,
                  size_t wanted,
                  size_t *chosen)
{
  Kind kind = best_kind (entries, count);
  size_t found = 0;

  for (size_t i = 0; i < count; i++)
    if (is_of_kind (&entries[i], kind))
      insert (entries, i, wanted, chosen, &found);
  return found;
}

size_t
dl_fanout_before (const DlFanoutEntry *entries, size_t count, uint64_t own)
{
  Kind kind = has_kind (entries, count, KIND_ALIVE) ? KIND_ALIVE : KIND_ANY;
  size_t before = 0;

  for (size_t i = 0; i < count; i++)
    before += is_of_kind (&entries[i], kind) && entries[i].rank > own;
  return before;
}

bool
dl_fanout_is_hub (size_t before, bool was)
{
  return before < (was ? DL_FANOUT_HUBS_KEPT : DL_FANOUT_HUBS);
}

bool
dl_fanout_may_tell_all (DlFanoutBurst *burst, unsigned entries, uint64_t now_ms)
{
  uint64_t interval_ms = (uint64_t)entries * DL_FANOUT_MS_AN_ENTRY;
  uint64_t freed;

  if (!dl_fanout_is_large (entries))
    return true;
  freed = (now_ms - burst->freed_ms) / interval_ms;
  if (freed >= burst->used)
    *burst = (DlFanoutBurst){ .freed_ms = now_ms };
  else
    {
      burst->used -= (unsigned)freed;
      burst->freed_ms += freed * interval_ms;
    }
  if (burst->used >= DL_FANOUT_BURST)
    return false;
  burst->used++;
  return true;
}
