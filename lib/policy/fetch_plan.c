#include "policy/fetch_plan.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "policy/rendezvous.h"

#define BITS_PER_BYTE 8

typedef struct Peer
{
  char *host;
  char *region;
  bool same_region; /* as this host */
  bool is_hub;
  uint8_t *holds;       /* bitmap of its chunks */
  unsigned fetching;    /* fetches from it in progress */
  uint64_t retry_at_ms; /* not used as a source before */
  struct Peer *next;
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
  Peer *peer; /* source of the fetch; NULL for the origin */
  /* Rank of this host for the chunk among the hosts of its kind, and among those of its
   * region; 0 is first. */
  unsigned rank;
  unsigned region_rank;
} Chunk;

struct DlFetchPlan
{
  char *host;
  char *region;
  char *key; /* model and version, hashed for the ranks */
  unsigned count;
  bool is_hub;
  uint64_t started_ms;
  uint64_t origin_chunk_us;
  Chunk *chunks;
  uint8_t *bitmap;
  bool ranked; /* the chunks' ranks are up to date with the peers */
  Peer *peers;
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

DlFetchPlan *
dl_fetch_plan_new (const void *context, const DlFetchPlanOptions *options)
{
  DlFetchPlan *plan = talloc_zero (context, DlFetchPlan);

  g_assert (plan != NULL && options->chunks > 0);
  plan->host = talloc_strdup (plan, options->host);
  plan->region = talloc_strdup (plan, options->region);
  plan->key
      = talloc_asprintf (plan, "%s:%" G_GUINT64_FORMAT, options->model, options->version);
  plan->count = options->chunks;
  plan->is_hub = options->is_hub;
  plan->missing = options->chunks;
  plan->started_ms = options->started_ms;
  plan->origin_chunk_us = options->origin_chunk_us;
  plan->chunks = talloc_zero_array (plan, Chunk, options->chunks);
  plan->bitmap = talloc_zero_array (plan, uint8_t, bitmap_bytes (plan));
  return plan;
}

static Peer *
find_peer (const DlFetchPlan *plan, const char *host)
{
  for (Peer *p = plan->peers; p != NULL; p = p->next)
    if (strcmp (p->host, host) == 0)
      return p;
  return NULL;
}

void
dl_fetch_plan_set_peer (
    DlFetchPlan *plan, const char *host, const char *region, bool is_hub, DlStr holds)
{
  Peer *p = find_peer (plan, host);

  if (p == NULL)
    {
      p = talloc_zero (plan, Peer);
      p->host = talloc_strdup (p, host);
      p->region = talloc_strdup (p, region);
      p->same_region = strcmp (region, plan->region) == 0;
      p->is_hub = is_hub;
      p->holds = talloc_zero_array (p, uint8_t, bitmap_bytes (plan));
      p->next = plan->peers;
      plan->peers = p;
      plan->ranked = false;
    }
  memset (p->holds, 0, bitmap_bytes (plan));
  if (holds.length > 0)
    memcpy (p->holds, holds.data, MIN (holds.length, bitmap_bytes (plan)));
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
  for (Peer **at = &plan->peers; *at != NULL; at = &(*at)->next)
    {
      Peer *p = *at;

      if (strcmp (p->host, host) != 0)
        continue;
      for (unsigned i = 0; i < plan->count; i++)
        if (plan->chunks[i].peer == p)
          fetch_ended (plan, i);
      *at = p->next;
      talloc_free (p);
      plan->ranked = false;
      return;
    }
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

static void
rank_chunk (DlFetchPlan *plan, unsigned index)
{
  Chunk *c = &plan->chunks[index];
  g_autofree char *key = g_strdup_printf ("%s:%u", plan->key, index);
  uint64_t own = dl_rendezvous_score (dl_str (key), dl_str (plan->host));

  c->rank = 0;
  c->region_rank = 0;
  for (const Peer *p = plan->peers; p != NULL; p = p->next)
    {
      if (p->is_hub != plan->is_hub
          || dl_rendezvous_score (dl_str (key), dl_str (p->host)) <= own)
        continue;
      c->rank++;
      c->region_rank += p->same_region;
    }
}

static void
rank_chunks (DlFetchPlan *plan)
{
  if (plan->ranked)
    return;
  for (unsigned i = 0; i < plan->count; i++)
    rank_chunk (plan, i);
  plan->ranked = true;
}

/* Which peers to consider. */
typedef struct
{
  bool same_region_only;
  bool hubs_only;
} PeerFilter;

static bool
matches (const Peer *p, PeerFilter filter)
{
  return (p->same_region || !filter.same_region_only) && (p->is_hub || !filter.hubs_only);
}

static bool
is_usable (const Peer *p, unsigned index, uint64_t now_ms)
{
  return has_bit (p->holds, index) && p->fetching < DL_FETCH_PARALLEL_PEER
         && now_ms >= p->retry_at_ms;
}

/* The usable peer that has the chunk and the fewest fetches in progress, at random among
 * equals; NULL when there is none. */
static Peer *
choose_peer (const DlFetchPlan *plan,
             unsigned index,
             PeerFilter filter,
             uint64_t now_ms,
             uint64_t random)
{
  Peer *best = NULL;
  unsigned equals = 0;

  for (Peer *p = plan->peers; p != NULL; p = p->next)
    {
      if (!matches (p, filter) || !is_usable (p, index, now_ms))
        continue;
      if (best == NULL || p->fetching < best->fetching)
        equals = 0;
      else if (p->fetching > best->fetching)
        continue;
      if (random % ++equals == 0)
        best = p;
    }
  return best;
}

static bool
has_hub (const DlFetchPlan *plan, PeerFilter filter)
{
  for (const Peer *p = plan->peers; p != NULL; p = p->next)
    if (p->is_hub && matches (p, filter))
      return true;
  return false;
}

static bool
has_holder (const DlFetchPlan *plan, unsigned index, PeerFilter filter)
{
  for (const Peer *p = plan->peers; p != NULL; p = p->next)
    if (matches (p, filter) && has_bit (p->holds, index))
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
  rank_chunks (plan);
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
