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
  bool near; /* in this host's region */
  bool is_hub;
  uint8_t *holds;
  unsigned fetching; /* from it, at present */
  uint64_t away_until_ms;
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
  Peer *peer;         /* that it is fetched from; NULL for the origin */
  unsigned rank;      /* of this host among all for this chunk; 0 is to draw it */
  unsigned near_rank; /* the same among those of its region */
} Chunk;

struct DlFetchPlan
{
  char *host;
  char *region;
  char *key; /* of the version */
  unsigned count;
  bool is_hub;
  uint64_t started_ms;
  uint64_t origin_chunk_us;
  Chunk *chunks;
  uint8_t *bitmap;
  bool ranked; /* the chunks' ranks are those of the present peers */
  Peer *peers;
  unsigned fetching;
  unsigned fetching_origin;
  uint64_t origin_away_until_ms;
  uint64_t origin_failed_ms; /* when a draw last failed; 0 for never */
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
      p->near = strcmp (region, plan->region) == 0;
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
    c->peer->away_until_ms = now_ms + backoff_ms;
  else
    {
      plan->origin_away_until_ms = now_ms + backoff_ms;
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
  c->near_rank = 0;
  for (const Peer *p = plan->peers; p != NULL; p = p->next)
    {
      if (p->is_hub != plan->is_hub
          || dl_rendezvous_score (dl_str (key), dl_str (p->host)) <= own)
        continue;
      c->rank++;
      c->near_rank += p->near;
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

/* Which holders of a chunk are looked at. */
typedef struct
{
  bool near_only;
  bool hubs_only;
} Circle;

static bool
is_in (const Peer *p, Circle circle)
{
  return (p->near || !circle.near_only) && (p->is_hub || !circle.hubs_only);
}

static bool
is_usable (const Peer *p, unsigned index, uint64_t now_ms)
{
  return has_bit (p->holds, index) && p->fetching < DL_FETCH_PARALLEL_PEER
         && now_ms >= p->away_until_ms;
}

/* The holder of the chunk with the fewest fetches from it, of several one at random; NULL
 * when none is free. */
static Peer *
draw_holder (const DlFetchPlan *plan,
             unsigned index,
             Circle circle,
             uint64_t now_ms,
             uint64_t random)
{
  Peer *best = NULL;
  unsigned alike = 0;

  for (Peer *p = plan->peers; p != NULL; p = p->next)
    {
      if (!is_in (p, circle) || !is_usable (p, index, now_ms))
        continue;
      if (best == NULL || p->fetching < best->fetching)
        alike = 0;
      else if (p->fetching > best->fetching)
        continue;
      if (random % ++alike == 0)
        best = p;
    }
  return best;
}

static bool
has_hub (const DlFetchPlan *plan, Circle circle)
{
  for (const Peer *p = plan->peers; p != NULL; p = p->next)
    if (p->is_hub && is_in (p, circle))
      return true;
  return false;
}

static bool
is_held_by (const DlFetchPlan *plan, unsigned index, Circle circle)
{
  for (const Peer *p = plan->peers; p != NULL; p = p->next)
    if (is_in (p, circle) && has_bit (p->holds, index))
      return true;
  return false;
}

/* When chunk INDEX is drawn by the host that is first for it. */
static uint64_t
draw_ms (const DlFetchPlan *plan, unsigned index)
{
  return plan->started_ms + index * plan->origin_chunk_us / 1000;
}

/* True when the host ranked R may fetch the chunk now: the first at its time, the others
 * in the place of those before them, and hosts that are no hubs after all hubs. */
static bool
may_step_in (const DlFetchPlan *plan, unsigned index, unsigned r, uint64_t now_ms)
{
  uint64_t at_ms = draw_ms (plan, index);

  if (!plan->is_hub && has_hub (plan, (Circle){ 0 }))
    at_ms += DL_FETCH_HUB_WAIT_MS;
  else if (r == 0)
    return now_ms >= at_ms;
  /* While the origin is away nobody is late, and afterwards the draws begin anew. */
  at_ms = MAX (at_ms, plan->origin_failed_ms + index * plan->origin_chunk_us / 1000);
  at_ms += DL_FETCH_FALLBACK_MS + (uint64_t)r * DL_FETCH_FALLBACK_STEP_MS;
  return now_ms >= at_ms;
}

static bool
may_draw (const DlFetchPlan *plan, unsigned index, uint64_t now_ms)
{
  unsigned limit = plan->is_hub ? DL_FETCH_PARALLEL_ORIGIN_HUB : DL_FETCH_PARALLEL_ORIGIN;

  return plan->fetching_origin < limit && now_ms >= plan->origin_away_until_ms
         && may_step_in (plan, index, plan->chunks[index].rank, now_ms);
}

/* Chooses a source for chunk INDEX; false when there is none now. */
static bool
choose_source (const DlFetchPlan *plan,
               unsigned index,
               uint64_t now_ms,
               uint64_t random,
               Peer **peer)
{
  Circle near = { .near_only = true, .hubs_only = true };
  Circle all = { 0 };

  *peer = draw_holder (plan, index, near, now_ms, random);
  if (*peer != NULL)
    return true;
  if (!plan->is_hub && has_hub (plan, near)
      && now_ms < draw_ms (plan, index) + DL_FETCH_HUB_WAIT_MS)
    return false;
  near.hubs_only = plan->is_hub;
  *peer = draw_holder (plan, index, near, now_ms, random);
  if (*peer != NULL)
    return true;
  if (is_held_by (plan, index, near))
    return false;
  all.hubs_only = plan->is_hub;
  if (!is_held_by (plan, index, all))
    return may_draw (plan, index, now_ms);
  if (!may_step_in (plan, index, plan->chunks[index].near_rank, now_ms))
    return false;
  *peer = draw_holder (plan, index, all, now_ms, random);
  return *peer != NULL;
}

/* True when it falls to this host to bring chunk INDEX, so that others wait for it. */
static bool
is_first_for (const DlFetchPlan *plan, unsigned index)
{
  return plan->chunks[index].rank == 0 || plan->chunks[index].near_rank == 0;
}

/* The next chunk to fetch and its source; what others wait for comes first. */
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
          && (!first_only || is_first_for (plan, *index))
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
