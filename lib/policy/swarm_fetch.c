/*
 * What this host requests next: chunks that it has to bring into its region, and chunks
 * that neighbours hold.
 */
#include <string.h>

#include "policy/swarm_private.h"

#define WINDOW             8  /* requests to neighbours at a time */
#define DRAWS_MAX          4  /* at a time, when few hosts draw */
#define REGION_DRAWS       16 /* at a time, of all hosts of the region together */
#define QUEUE_TOLERATED    2  /* uploads waiting at a host that is still asked */
#define STEP_IN_US         (2000 * US_PER_MS) /* for each place in the ranking */
#define OTHER_VERSION_US   (5000 * US_PER_MS) /* that a host may take to turn to ours */
#define TAKE_OVER_US       (2000 * US_PER_MS) /* that a host is down before */
#define SILENCE_US         (6000 * US_PER_MS) /* of a host that is to answer */
#define WANT_TIMEOUT_US    (2000 * US_PER_MS)
#define WANT_TIMEOUT_SENDS 16 /* times the time that a chunk takes on the link */
#define TIMEOUTS_MAX       3  /* in a row; the host is asked less */
#define HOLD_OFF_SENDS     16 /* chunk times that a late host leaves the chunk to spread */
#define HOLD_OFF_US        (300 * US_PER_MS)
#define POLL_US            (250 * US_PER_MS)

/* -------- requests -------- */

static void
want (DlSwarm *swarm, uint32_t position, Host *host, bool wait, uint64_t now_us)
{
  Chunk *chunk = &swarm->chunks[position];

  chunk->state = CHUNK_WANTED;
  chunk->from = host;
  chunk->waiting = wait;
  chunk->deadline_us = now_us + WANT_TIMEOUT_SENDS * swarm->chunk_us
                       + (wait ? OTHER_VERSION_US : WANT_TIMEOUT_US);
  if (!wait)
    {
      host->outstanding++;
      swarm->wants++;
    }
  swarm_act (swarm,
             (DlSwarmAction){ .type = DL_SWARM_WANT,
                              .host = host->name,
                              .want = { .index = index_of (position), .wait = wait } });
}

static uint64_t
run_timeouts (DlSwarm *swarm, uint64_t now_us)
{
  uint64_t next = SWARM_NEVER;

  for (uint32_t i = 0; i < swarm->count; i++)
    {
      Chunk *chunk = &swarm->chunks[i];
      Host *host = chunk->from;

      if (chunk->state != CHUNK_WANTED)
        continue;
      if (now_us - host->message_us > SILENCE_US)
        {
          swarm_hang_up (swarm, host, now_us);
          continue;
        }
      if (chunk->waiting && host->heard)
        continue;
      if (chunk->deadline_us > now_us)
        {
          next = MIN (next, chunk->deadline_us);
          continue;
        }
      if (chunk->waiting)
        swarm_mark_down (host, now_us);
      else
        host->timeouts++;
      swarm_release (swarm, chunk);
      swarm_act (swarm, (DlSwarmAction){ .type = DL_SWARM_CANCEL,
                                         .host = host->name,
                                         .cancel.index = index_of (i) });
    }
  return next;
}

/* -------- bringing chunks into the region -------- */

/* The root region draws every chunk.  With time weighed, one other region draws it too,
 * so that the origin gives at most two copies. */
static bool
draws_from_origin (const DlSwarm *swarm, const Ranking *ranking)
{
  return swarm->is_root || (ranking->from_origin && !swarm->options.weigh_origin_bytes);
}

/* Many draws at a time share the origin's link and all end late: the more hosts draw, the
 * fewer each has in progress. */
static uint32_t
draws_allowed (const DlSwarm *swarm)
{
  return CLAMP (REGION_DRAWS / MAX (swarm->region_hosts, 1), 1, DRAWS_MAX);
}

static void
draw (DlSwarm *swarm, uint32_t position, uint64_t now_us)
{
  if (swarm->draws >= draws_allowed (swarm) || swarm->draw_after_us > now_us
      || !dl_budget_ready_within (swarm->options.budgets.down,
                                  (uint64_t)WINDOW * swarm->chunks[position].bytes,
                                  now_us)
      || (!swarm->is_home
          && !dl_budget_ready (swarm->options.budgets.region_down, now_us)))
    return;
  swarm->chunks[position].state = CHUNK_DRAWING;
  swarm->draws++;
  swarm_act (swarm, (DlSwarmAction){ .type = DL_SWARM_FETCH,
                                     .fetch.index = index_of (position) });
}

/* Requests the chunk from the host that is to have it first. */
static void
ask_first (DlSwarm *swarm, uint32_t position, Host *host, uint64_t now_us)
{
  if (host == NULL)
    return;
  if (host->up)
    want (swarm, position, host, true, now_us);
  else
    swarm_dial (swarm, host, now_us);
}

/* The host of another region that the chunk is requested from. */
static Host *
source_host (DlSwarm *swarm, const Ranking *ranking, uint64_t now_us)
{
  Host *host = swarm_first (swarm, ranking->source, now_us, NULL);

  return host != NULL ? host : swarm_first (swarm, ranking->home, now_us, NULL);
}

/* True while a host ranked before this one has been down for a short time only: it may be
 * out of this host's reach origin_only, and its chunks arrive through others. */
static bool
may_be_brought (const DlSwarm *swarm, const Ranking *ranking, uint64_t now_us)
{
  for (int i = 0; i < SWARM_RANKED && ranking->own[i] != swarm->self; i++)
    {
      const Host *host = ranking->own[i];

      if (host == NULL)
        return false;
      if (host->live && !host_avoided (host) && host->down_until_us > now_us
          && now_us - host->down_since_us < TAKE_OVER_US)
        return true;
    }
  return false;
}

static void
bring (DlSwarm *swarm, uint32_t position, uint64_t now_us)
{
  const Ranking *ranking = &swarm->rankings[position % swarm->ranking_count];
  int place;
  Host *first = swarm_first (swarm, ranking->own, now_us, &place);

  if (place == 0 && swarm->options.weigh_origin_bytes
      && may_be_brought (swarm, ranking, now_us))
    return;
  if (place == 0 || swarm->options.origin_only)
    {
      if (swarm->options.origin_only || draws_from_origin (swarm, ranking))
        draw (swarm, position, now_us);
      else if (dl_budget_ready (swarm->options.budgets.region_down, now_us))
        ask_first (swarm, position, source_host (swarm, ranking, now_us), now_us);
    }
  else if (place < SWARM_RANKED
           && now_us >= swarm->settled_us + (uint64_t)place * STEP_IN_US)
    ask_first (swarm, position, first, now_us);
}

/* -------- requesting from neighbours -------- */

/* Uploads that the host is expected to make before a new request: what it last told, less
 * what it can have sent since. */
static uint64_t
host_load (const DlSwarm *swarm, const Host *host, uint64_t now_us)
{
  uint64_t sent = (now_us - host->queue_us) / swarm->chunk_us;

  return host->outstanding + (host->queue > sent ? host->queue - sent : 0);
}

static bool
may_ask (const DlSwarm *swarm, const Host *host, uint64_t now_us)
{
  return host->up && host->same_region && !host_avoided (host) && host->have_count > 0
         && host_load (swarm, host, now_us) < QUEUE_TOLERATED
         && (host->timeouts < TIMEOUTS_MAX || host->outstanding == 0);
}

/* The least loaded of HOSTS that holds the chunk; NULL when none does. */
static Host *
least_loaded (const DlSwarm *swarm,
              const GPtrArray *hosts,
              uint32_t position,
              uint64_t now_us)
{
  Host *best = NULL;

  for (guint i = 0; i < hosts->len; i++)
    {
      Host *host = g_ptr_array_index (hosts, i);

      if (host_has (host, position)
          && (best == NULL
              || host_load (swarm, host, now_us) < host_load (swarm, best, now_us)))
        best = host;
    }
  return best;
}

/* The rarest missing chunk that one of HOSTS holds, and the host to ask. */
static Host *
choose_want (DlSwarm *swarm, const GPtrArray *hosts, uint32_t *position, uint64_t now_us)
{
  Host *from = NULL;

  for (uint32_t i = 0; i < swarm->count; i++)
    {
      const Chunk *chunk = &swarm->chunks[i];
      const Chunk *best = from != NULL ? &swarm->chunks[*position] : NULL;
      Host *host;

      if (chunk->state != CHUNK_MISSING || chunk->copies == 0
          || (best != NULL
              && (chunk->copies > best->copies
                  || (chunk->copies == best->copies && chunk->order > best->order))))
        continue;
      host = least_loaded (swarm, hosts, i, now_us);
      if (host != NULL)
        {
          from = host;
          *position = i;
        }
    }
  return from;
}

static void
run_wants (DlSwarm *swarm, uint64_t now_us)
{
  GPtrArray *hosts = g_ptr_array_new ();

  while (swarm->wants < WINDOW && dl_budget_ready (swarm->options.budgets.down, now_us))
    {
      uint32_t position = 0;
      Host *host;

      g_ptr_array_set_size (hosts, 0);
      for (guint i = 0; i < swarm->hosts->len; i++)
        if (may_ask (swarm, g_ptr_array_index (swarm->hosts, i), now_us))
          g_ptr_array_add (hosts, g_ptr_array_index (swarm->hosts, i));
      host = choose_want (swarm, hosts, &position, now_us);
      if (host == NULL)
        break;
      want (swarm, position, host, false, now_us);
    }
  g_ptr_array_free (hosts, TRUE);
}

/* -------- settling -------- */

/* Nothing is brought into the region before the neighbours have told what they hold; a
 * host that comes late leaves what is spreading some time to reach it. */
static void
check_settled (DlSwarm *swarm, uint64_t now_us)
{
  bool late = false;

  if (!swarm->self->live)
    return; /* the list of hosts is not known yet */
  for (guint i = 0; i < swarm->hosts->len; i++)
    {
      const Host *host = g_ptr_array_index (swarm->hosts, i);

      if (host->live && host->neighbour && !host->heard && host->down_until_us <= now_us
          && now_us < swarm->settled_us)
        return;
      late = late || (host->up && host->same_region && host->have_count > 1);
    }
  swarm->settled = true;
  swarm->settled_us = now_us;
  if (late && swarm->has_manifest)
    swarm->settled_us += HOLD_OFF_US + HOLD_OFF_SENDS * swarm->chunk_us;
}

uint64_t
swarm_run_fetch (DlSwarm *swarm, uint64_t now_us)
{
  uint64_t next;

  if (swarm->paused || dl_swarm_is_complete (swarm) || swarm->held == swarm->count)
    return SWARM_NEVER;
  next = run_timeouts (swarm, now_us);
  if (!swarm->settled)
    check_settled (swarm, now_us);
  for (uint32_t i = 0; i < swarm->count && swarm->settled && swarm->settled_us <= now_us;
       i++)
    if (swarm->chunks[i].state == CHUNK_MISSING && swarm->chunks[i].copies == 0)
      bring (swarm, i, now_us);
  run_wants (swarm, now_us);
  next = MIN (next, now_us + POLL_US);
  if (!dl_budget_ready (swarm->options.budgets.down, now_us))
    next = MIN (next, now_us + dl_budget_wait_us (swarm->options.budgets.down, now_us));
  return next;
}
