#include "policy/fetch_plan.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "policy/rendezvous.h"

#define BITS_PER_BYTE 8

/* Peers are grouped by what a fetch prefers: hubs over leaves, the same region over
 * others.  A group's index is the sum of these flags. */
enum
{
  GROUP_HUB = 1,
  GROUP_SAME_REGION = 2,
  GROUPS = 4,
};

typedef struct Peer
{
  char *host;
  unsigned group;       /* sum of the GROUP flags that hold for it */
  uint8_t *holds;       /* bitmap of its chunks */
  unsigned fetching;    /* fetches from it in progress */
  uint64_t retry_at_ms; /* not used as a source before */
} Peer;

typedef enum
{
  CHUNK_MISSING,
  CHUNK_FETCHING,
  CHUNK_HELD,
} ChunkState;

typedef struct
{
  ChunkState state;
  Peer *peer;                 /* source of the fetch; NULL for the origin */
  GPtrArray *holders[GROUPS]; /* the peers that have it; NULL for none so far */
  uint64_t key;               /* of its ranks, see dl_rendezvous_key */
  uint64_t own_score;         /* of this host */
  /* Rank of this host for the chunk among the hosts of its kind, and among those of its
   * region; 0 is first. */
  unsigned rank;
  unsigned region_rank;
} Chunk;

struct DlFetchPlan
{
  char *region;
  unsigned count;
  bool is_hub;
  uint64_t started_ms;
  uint64_t origin_chunk_us;
  Chunk *chunks;
  uint8_t *bitmap;
  GHashTable *peers;             /* name to Peer */
  unsigned group_counts[GROUPS]; /* of peers */
  unsigned fetching;
  unsigned fetching_origin;
  uint64_t origin_retry_at_ms;
  uint64_t origin_failed_ms; /* of the last failed fetch from it; 0: none */
  unsigned missing;
};

static size_t
bitmap_bytes (const DlFetchPlan *plan)
{
  return (plan->count + BITS_PER_BYTE - 1) / BITS_PER_BYTE;
}

static bool
has_bit (const uint8_t *bitmap, unsigned index)
{
  return (bitmap[index / BITS_PER_BYTE] >> (index % BITS_PER_BYTE) & 1) != 0;
}

static void
set_bit (uint8_t *bitmap, unsigned index, bool value)
{
  uint8_t mask = (uint8_t)(1u << (index % BITS_PER_BYTE));

  if (value)
    bitmap[index / BITS_PER_BYTE] |= mask;
  else
    bitmap[index / BITS_PER_BYTE] &= (uint8_t)~mask;
}

static int
plan_destroy (DlFetchPlan *plan)
{
  g_hash_table_destroy (plan->peers);
  for (unsigned i = 0; i < plan->count; i++)
    for (unsigned g = 0; g < GROUPS; g++)
      if (plan->chunks[i].holders[g] != NULL)
        g_ptr_array_free (plan->chunks[i].holders[g], TRUE);
  return 0;
}

static void
init_ranks (DlFetchPlan *plan, const DlFetchPlanOptions *options)
{
  uint64_t own = dl_rendezvous_key (dl_str (options->host));

  for (unsigned i = 0; i < plan->count; i++)
    {
      Chunk *c = &plan->chunks[i];
      g_autofree char *key = g_strdup_printf ("%s:%" G_GUINT64_FORMAT ":%u",
                                              options->model, options->version, i);

      c->key = dl_rendezvous_key (dl_str (key));
      c->own_score = dl_rendezvous_score_of (c->key, own);
    }
}

DlFetchPlan *
dl_fetch_plan_new (const void *context, const DlFetchPlanOptions *options)
{
  DlFetchPlan *plan = talloc_zero (context, DlFetchPlan);

  g_assert (plan != NULL && options->chunks > 0);
  plan->region = talloc_strdup (plan, options->region);
  plan->count = options->chunks;
  plan->is_hub = options->is_hub;
  plan->missing = options->chunks;
  plan->started_ms = options->started_ms;
  plan->origin_chunk_us = options->origin_chunk_us;
  plan->chunks = talloc_zero_array (plan, Chunk, options->chunks);
  plan->bitmap = talloc_zero_array (plan, uint8_t, bitmap_bytes (plan));
  plan->peers = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (plan, plan_destroy);
  init_ranks (plan, options);
  return plan;
}

/* Adds DIFFERENCE, 1 or -1, to the rank of this host for each chunk for which PEER, a
 * host of its kind, ranks before it. */
static void
count_in_ranks (DlFetchPlan *plan, const Peer *peer, int difference)
{
  uint64_t name = dl_rendezvous_key (dl_str (peer->host));

  if (((peer->group & GROUP_HUB) != 0) != plan->is_hub)
    return;
  for (unsigned i = 0; i < plan->count; i++)
    {
      Chunk *c = &plan->chunks[i];

      if (dl_rendezvous_score_of (c->key, name) <= c->own_score)
        continue;
      c->rank += (unsigned)difference;
      if ((peer->group & GROUP_SAME_REGION) != 0)
        c->region_rank += (unsigned)difference;
    }
}

static Peer *
add_peer (DlFetchPlan *plan, const char *host, const char *region, bool is_hub)
{
  Peer *p = talloc_zero (plan, Peer);

  p->host = talloc_strdup (p, host);
  p->group = is_hub ? GROUP_HUB : 0;
  if (strcmp (region, plan->region) == 0)
    p->group |= GROUP_SAME_REGION;
  p->holds = talloc_zero_array (p, uint8_t, bitmap_bytes (plan));
  g_hash_table_insert (plan->peers, p->host, p);
  plan->group_counts[p->group]++;
  count_in_ranks (plan, p, 1);
  return p;
}

static void
set_holds (DlFetchPlan *plan, Peer *p, unsigned index, bool holds)
{
  GPtrArray **holders = &plan->chunks[index].holders[p->group];

  if (has_bit (p->holds, index) == holds)
    return;
  set_bit (p->holds, index, holds);
  if (*holders == NULL)
    *holders = g_ptr_array_new ();
  if (holds)
    g_ptr_array_add (*holders, p);
  else
    g_ptr_array_remove_fast (*holders, p);
}

void
dl_fetch_plan_set_peer (
    DlFetchPlan *plan, const char *host, const char *region, bool is_hub, DlStr holds)
{
  Peer *p = g_hash_table_lookup (plan->peers, host);
  const uint8_t *bytes = (const uint8_t *)holds.data;

  if (p == NULL)
    p = add_peer (plan, host, region, is_hub);
  for (size_t n = 0; n < bitmap_bytes (plan); n++)
    {
      uint8_t byte = n < holds.length ? bytes[n] : 0;

      if (byte == p->holds[n])
        continue;
      for (unsigned bit = 0; bit < BITS_PER_BYTE; bit++)
        if (n * BITS_PER_BYTE + bit < plan->count)
          set_holds (plan, p, (unsigned)n * BITS_PER_BYTE + bit, (byte >> bit & 1) != 0);
    }
}

static void
fetch_ended (DlFetchPlan *plan, unsigned index)
{
  Chunk *c = &plan->chunks[index];

  if (c->state != CHUNK_FETCHING)
    return;
  plan->fetching--;
  if (c->peer != NULL)
    c->peer->fetching--;
  else
    plan->fetching_origin--;
  c->peer = NULL;
  c->state = CHUNK_MISSING;
}

void
dl_fetch_plan_remove_peer (DlFetchPlan *plan, const char *host)
{
  Peer *p = g_hash_table_lookup (plan->peers, host);

  if (p == NULL)
    return;
  for (unsigned i = 0; i < plan->count; i++)
    {
      if (plan->chunks[i].peer == p)
        fetch_ended (plan, i);
      set_holds (plan, p, i, false);
    }
  count_in_ranks (plan, p, -1);
  plan->group_counts[p->group]--;
  g_hash_table_remove (plan->peers, host);
  talloc_free (p);
}

void
dl_fetch_plan_arrived (DlFetchPlan *plan, unsigned index)
{
  fetch_ended (plan, index);
  if (plan->chunks[index].state == CHUNK_HELD)
    return;
  plan->chunks[index].state = CHUNK_HELD;
  set_bit (plan->bitmap, index, true);
  plan->missing--;
}

void
dl_fetch_plan_lost (DlFetchPlan *plan, unsigned index)
{
  if (plan->chunks[index].state != CHUNK_HELD)
    return;
  plan->chunks[index].state = CHUNK_MISSING;
  set_bit (plan->bitmap, index, false);
  plan->missing++;
}

void
dl_fetch_plan_failed (DlFetchPlan *plan,
                      unsigned index,
                      uint64_t backoff_ms,
                      uint64_t now_ms)
{
  const Chunk *c = &plan->chunks[index];

  if (c->state != CHUNK_FETCHING)
    return;
  if (c->peer != NULL)
    c->peer->retry_at_ms = now_ms + backoff_ms;
  else
    {
      plan->origin_retry_at_ms = now_ms + backoff_ms;
      plan->origin_failed_ms = now_ms;
    }
  fetch_ended (plan, index);
}

/* Which peers to consider. */
typedef struct
{
  bool same_region_only;
  bool hubs_only;
} PeerFilter;

static bool
matches (unsigned group, PeerFilter filter)
{
  return ((group & GROUP_SAME_REGION) != 0 || !filter.same_region_only)
         && ((group & GROUP_HUB) != 0 || !filter.hubs_only);
}

static bool
is_usable (const Peer *p, uint64_t now_ms)
{
  return p->fetching < DL_FETCH_PARALLEL_PEER && now_ms >= p->retry_at_ms;
}

/* Returns the usable one of HOLDERS with the fewest fetches in progress, or BEST if that
 * has no more; of equals the first from a random place on. */
static Peer *
choose_holder (const GPtrArray *holders, Peer *best, uint64_t now_ms, uint64_t random)
{
  for (guint n = 0; n < holders->len; n++)
    {
      Peer *p = g_ptr_array_index (holders, (n + random % holders->len) % holders->len);

      if (!is_usable (p, now_ms))
        continue;
      if (p->fetching == 0)
        return p;
      if (best == NULL || p->fetching < best->fetching)
        best = p;
    }
  return best;
}

/* The usable peer that has the chunk and the fewest fetches in progress; NULL when there
 * is none. */
static Peer *
choose_peer (const DlFetchPlan *plan,
             unsigned index,
             PeerFilter filter,
             uint64_t now_ms,
             uint64_t random)
{
  Peer *best = NULL;

  for (unsigned n = 0; n < GROUPS; n++)
    {
      unsigned g = (unsigned)((n + random) % GROUPS);
      const GPtrArray *holders = plan->chunks[index].holders[g];

      if (holders != NULL && matches (g, filter))
        best = choose_holder (holders, best, now_ms, random / GROUPS);
      if (best != NULL && best->fetching == 0)
        return best;
    }
  return best;
}

static bool
has_hub (const DlFetchPlan *plan, PeerFilter filter)
{
  for (unsigned g = 0; g < GROUPS; g++)
    if ((g & GROUP_HUB) != 0 && matches (g, filter) && plan->group_counts[g] > 0)
      return true;
  return false;
}

static bool
has_holder (const DlFetchPlan *plan, unsigned index, PeerFilter filter)
{
  const Chunk *c = &plan->chunks[index];

  for (unsigned g = 0; g < GROUPS; g++)
    if (matches (g, filter) && c->holders[g] != NULL && c->holders[g]->len > 0)
      return true;
  return false;
}

/* When the host ranked first for chunk INDEX fetches it from the origin. */
static uint64_t
origin_fetch_ms (const DlFetchPlan *plan, unsigned index)
{
  return plan->started_ms + index * plan->origin_chunk_us / 1000;
}

/* True when the host may fetch the chunk now: the one ranked first at the scheduled time,
 * the others as fallback in the order of their RANK.  When there are hubs, a leaf is only
 * a fallback and waits longer than the hubs. */
static bool
may_fetch (const DlFetchPlan *plan, unsigned index, unsigned rank, uint64_t now_ms)
{
  uint64_t at_ms = origin_fetch_ms (plan, index);

  if (!plan->is_hub && has_hub (plan, (PeerFilter){ 0 }))
    at_ms += DL_FETCH_HUB_WAIT_MS;
  else if (rank == 0)
    return now_ms >= at_ms;
  /* A failed fetch from the origin delays the fallbacks: no chunk is late while the
   * origin is unavailable, and the schedule restarts when it works again. */
  at_ms = MAX (at_ms, plan->origin_failed_ms + index * plan->origin_chunk_us / 1000);
  at_ms += DL_FETCH_FALLBACK_MS + (uint64_t)rank * DL_FETCH_FALLBACK_STEP_MS;
  return now_ms >= at_ms;
}

static bool
may_fetch_from_origin (const DlFetchPlan *plan, unsigned index, uint64_t now_ms)
{
  unsigned limit = plan->is_hub ? DL_FETCH_PARALLEL_ORIGIN_HUB : DL_FETCH_PARALLEL_ORIGIN;

  return plan->fetching_origin < limit && now_ms >= plan->origin_retry_at_ms
         && may_fetch (plan, index, plan->chunks[index].rank, now_ms);
}

/* Chooses a source for chunk INDEX, NULL in PEER for the origin; false when there is none
 * now.  Prefers hubs of the same region, then other hosts of it, which a hub does not
 * use.  A chunk that no such host has is imported from another region, and fetched from
 * the origin when no host there has it. */
static bool
choose_source (const DlFetchPlan *plan,
               unsigned index,
               uint64_t now_ms,
               uint64_t random,
               Peer **peer)
{
  PeerFilter local = { .same_region_only = true, .hubs_only = true };
  PeerFilter all = { 0 };

  *peer = choose_peer (plan, index, local, now_ms, random);
  if (*peer != NULL)
    return true;
  if (!plan->is_hub && has_hub (plan, local)
      && now_ms < origin_fetch_ms (plan, index) + DL_FETCH_HUB_WAIT_MS)
    return false;
  local.hubs_only = plan->is_hub;
  *peer = choose_peer (plan, index, local, now_ms, random);
  if (*peer != NULL)
    return true;
  if (has_holder (plan, index, local))
    return false;
  all.hubs_only = plan->is_hub;
  if (!has_holder (plan, index, all))
    return may_fetch_from_origin (plan, index, now_ms);
  if (!may_fetch (plan, index, plan->chunks[index].region_rank, now_ms))
    return false;
  *peer = choose_peer (plan, index, all, now_ms, random);
  return *peer != NULL;
}

/* True when others wait for this host to fetch chunk INDEX. */
static bool
is_first_in_rank (const DlFetchPlan *plan, unsigned index)
{
  return plan->chunks[index].rank == 0 || plan->chunks[index].region_rank == 0;
}

/* Finds a chunk to fetch and its source.  FIRST_ONLY: only among the chunks for which
 * this host is first in rank. */
static bool
find_fetch (const DlFetchPlan *plan,
            bool first_only,
            uint64_t now_ms,
            uint64_t random,
            unsigned *index,
            Peer **source)
{
  for (unsigned n = 0; n < plan->count; n++)
    {
      *index = first_only ? n : (unsigned)((n + random) % plan->count);
      if (plan->chunks[*index].state == CHUNK_MISSING
          && (!first_only || is_first_in_rank (plan, *index))
          && choose_source (plan, *index, now_ms, random >> 16, source))
        return true;
    }
  return false;
}

bool
dl_fetch_plan_next (DlFetchPlan *plan, uint64_t now_ms, uint64_t random, DlFetch *fetch)
{
  Peer *source = NULL;
  unsigned limit = plan->is_hub ? DL_FETCH_PARALLEL_HUB : DL_FETCH_PARALLEL;

  if (plan->fetching >= limit || plan->missing == plan->fetching)
    return false;
  /* Chunks that others wait for come first. */
  if (!find_fetch (plan, true, now_ms, random, &fetch->index, &source)
      && !find_fetch (plan, false, now_ms, random, &fetch->index, &source))
    return false;
  fetch->peer = source != NULL ? source->host : NULL;
  plan->chunks[fetch->index].state = CHUNK_FETCHING;
  plan->chunks[fetch->index].peer = source;
  plan->fetching++;
  if (source != NULL)
    source->fetching++;
  else
    plan->fetching_origin++;
  return true;
}

bool
dl_fetch_plan_holds (const DlFetchPlan *plan, unsigned index)
{
  return index < plan->count && plan->chunks[index].state == CHUNK_HELD;
}

unsigned
dl_fetch_plan_missing (const DlFetchPlan *plan)
{
  return plan->missing;
}

DlStr
dl_fetch_plan_bitmap (const DlFetchPlan *plan)
{
  return dl_str_bytes (plan->bitmap, bitmap_bytes (plan));
}

/* -------- the manifest -------- */

uint64_t
dl_manifest_first_delay_ms (const DlManifestSchedule *t)
{
  g_autofree char *key = g_strdup_printf ("%s:%" G_GUINT64_FORMAT, t->model, t->version);
  uint64_t own = dl_rendezvous_score (dl_str (key), dl_str (t->host));
  uint64_t at_ms = 0;

  if (!t->is_hub)
    at_ms = t->has_hubs ? DL_MANIFEST_LEAF_DELAY_MS : DL_MANIFEST_NO_HUBS_DELAY_MS;
  for (size_t i = 0; i < t->other_count; i++)
    if (dl_rendezvous_score (dl_str (key), dl_str (t->others[i])) > own)
      at_ms += DL_MANIFEST_RANK_DELAY_MS;
  return at_ms;
}

uint64_t
dl_manifest_interval_ms (const DlManifestSchedule *t)
{
  return MAX ((t->other_count + 1) * DL_MANIFEST_HOST_INTERVAL_MS,
              (uint64_t)DL_MANIFEST_RETRY_MS);
}
