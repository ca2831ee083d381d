/*
 * Requests of this host: chunks that it has to import into its region, and chunks that
 * its neighbours hold.
 */
#include <string.h>

#include "policy/swarm_private.h"

#define WINDOW            8  /* concurrent requests to neighbours */
#define FETCHES_MAX       4  /* concurrent fetches of one host */
#define REGION_FETCHES    16 /* concurrent fetches of all hosts of the region */
#define PEER_QUEUE_MAX    2  /* no requests to a host with this many uploads waiting */
#define RANK_DELAY_US     (2000 * US_PER_MS) /* delay per rank */
#define SWITCH_VERSION_US (5000 * US_PER_MS) /* for a host to switch to this version */
#define TAKEOVER_US \
  (2000 * US_PER_MS) /* a host must be down before its chunks are imported */
#define IDLE_US            (6000 * US_PER_MS) /* without a message before a host is disconnected */
#define WANT_TIMEOUT_US    (2000 * US_PER_MS)
#define WANT_TIMEOUT_SENDS 16 /* plus this many chunk times */
#define TIMEOUTS_MAX       3  /* consecutive; then one request at a time */
#define LATE_START_SENDS   16 /* chunk times that a host starting late waits */
#define LATE_START_US      (300 * US_PER_MS)
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
                       + (wait ? SWITCH_VERSION_US : WANT_TIMEOUT_US);
  if (!wait)
    {
      host->outstanding++;
      swarm->wants++;
    }
  swarm_emit (swarm,
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
      if (now_us - host->message_us > IDLE_US)
        {
          swarm_disconnect (swarm, host, now_us);
          continue;
        }
      if (chunk->waiting && host->have_received)
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
      swarm_emit (swarm, (DlSwarmAction){ .type = DL_SWARM_CANCEL,
                                          .host = host->name,
                                          .cancel.index = index_of (i) });
    }
  return next;
}

/* -------- importing chunks into the region -------- */

/* The root region fetches every chunk from the origin.  When time is minimised, one other
 * region does so for some chunks, so the origin sends at most two copies. */
static bool
imports_from_origin (const DlSwarm *swarm, const Ranking *ranking)
{
  return swarm->is_root || (ranking->from_origin && !swarm->options.weigh_origin_bytes);
}

/* Concurrent fetches share the origin's link, and with many of them all finish late.  So
 * the more hosts the region has, the fewer fetches each may have in progress. */
static uint32_t
max_fetches (const DlSwarm *swarm)
{
  return CLAMP (REGION_FETCHES / MAX (swarm->region_hosts, 1), 1, FETCHES_MAX);
}

static void
fetch_from_origin (DlSwarm *swarm, uint32_t position, uint64_t now_us)
{
  if (swarm->fetches >= max_fetches (swarm) || swarm->fetch_after_us > now_us
      || !dl_budget_ready_within (swarm->options.budgets.down,
                                  (uint64_t)WINDOW * swarm->chunks[position].bytes,
                                  now_us)
      || (!swarm->is_home
          && !dl_budget_ready (swarm->options.budgets.region_down, now_us)))
    return;
  swarm->chunks[position].state = CHUNK_FETCHING;
  swarm->fetches++;
  swarm_emit (swarm, (DlSwarmAction){ .type = DL_SWARM_FETCH,
                                      .fetch.index = index_of (position) });
}

/* Requests the chunk from the host that gets it first, or connects to that host. */
static void
want_or_connect (DlSwarm *swarm, uint32_t position, Host *host, uint64_t now_us)
{
  if (host == NULL)
    return;
  if (host->connected)
    want (swarm, position, host, true, now_us);
  else
    swarm_connect (swarm, host, now_us);
}

/* The host of another region from which this region requests the chunk, or NULL. */
static Host *
source_host (DlSwarm *swarm, const Ranking *ranking, uint64_t now_us)
{
  Host *host = swarm_first_available (swarm, ranking->source, now_us, NULL);

  return host != NULL ? host : swarm_first_available (swarm, ranking->root, now_us, NULL);
}

/* True while a host ranked before this one has been down for a short time only.  Perhaps
 * only this host cannot reach it, in which case its chunks arrive through others. */
static bool
other_may_import (const DlSwarm *swarm, const Ranking *ranking, uint64_t now_us)
{
  for (int i = 0; i < SWARM_RANKED && ranking->own[i] != swarm->self; i++)
    {
      const Host *host = ranking->own[i];

      if (host == NULL)
        return false;
      if (host->live && !host_avoided (host) && host->down_until_us > now_us
          && now_us - host->down_since_us < TAKEOVER_US)
        return true;
    }
  return false;
}

static void
import_chunk (DlSwarm *swarm, uint32_t position, uint64_t now_us)
{
  const Ranking *ranking = &swarm->rankings[position % swarm->ranking_count];
  int rank;
  Host *first = swarm_first_available (swarm, ranking->own, now_us, &rank);

  if (rank == 0 && swarm->options.weigh_origin_bytes
      && other_may_import (swarm, ranking, now_us))
    return;
  if (rank == 0 || swarm->options.origin_only)
    {
      if (swarm->options.origin_only || imports_from_origin (swarm, ranking))
        fetch_from_origin (swarm, position, now_us);
      else if (dl_budget_ready (swarm->options.budgets.region_down, now_us))
        want_or_connect (swarm, position, source_host (swarm, ranking, now_us), now_us);
    }
  else if (rank < SWARM_RANKED
           && now_us >= swarm->import_after_us + (uint64_t)rank * RANK_DELAY_US)
    want_or_connect (swarm, position, first, now_us);
}

/* -------- requesting from neighbours -------- */

/* Estimates the uploads that the host will make before a new request: the queue that it
 * last reported, less what it can have sent since, plus this host's pending requests. */
static uint64_t
host_load (const DlSwarm *swarm, const Host *host, uint64_t now_us)
{
  uint64_t sent = (now_us - host->queue_us) / swarm->chunk_us;

  return host->outstanding + (host->queue > sent ? host->queue - sent : 0);
}

static bool
may_ask (const DlSwarm *swarm, const Host *host, uint64_t now_us)
{
  return host->connected && host->same_region && !host_avoided (host)
         && host->have_count > 0 && host_load (swarm, host, now_us) < PEER_QUEUE_MAX
         && (host->timeouts < TIMEOUTS_MAX || host->outstanding == 0);
}

/* Returns the least loaded of HOSTS that hold the chunk, or NULL. */
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

/* Finds the rarest missing chunk that one of HOSTS holds.  Returns the host to ask, with
 * the chunk in *POSITION, or NULL. */
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

/* -------- start -------- */

/* No chunk is imported before the neighbours have announced what they hold, or a time
 * limit has passed.  A host that starts late also waits for a while, so that chunks
 * already in the region can reach it. */
static void
check_startup (DlSwarm *swarm, uint64_t now_us)
{
  bool late = false;

  if (!swarm->self->live)
    return; /* the list of hosts is not known yet */
  for (guint i = 0; i < swarm->hosts->len; i++)
    {
      const Host *host = g_ptr_array_index (swarm->hosts, i);

      if (host->live && host->neighbour && !host->have_received
          && host->down_until_us <= now_us && now_us < swarm->import_after_us)
        return;
      late = late || (host->connected && host->same_region && host->have_count > 1);
    }
  swarm->startup_over = true;
  swarm->import_after_us = now_us;
  if (late && swarm->has_manifest)
    swarm->import_after_us += LATE_START_US + LATE_START_SENDS * swarm->chunk_us;
}

uint64_t
swarm_run_fetch (DlSwarm *swarm, uint64_t now_us)
{
  uint64_t next;

  if (swarm->paused || dl_swarm_is_complete (swarm) || swarm->held == swarm->count)
    return SWARM_NEVER;
  next = run_timeouts (swarm, now_us);
  if (!swarm->startup_over)
    check_startup (swarm, now_us);
  for (uint32_t i = 0;
       i < swarm->count && swarm->startup_over && swarm->import_after_us <= now_us; i++)
    if (swarm->chunks[i].state == CHUNK_MISSING && swarm->chunks[i].copies == 0)
      import_chunk (swarm, i, now_us);
  run_wants (swarm, now_us);
  next = MIN (next, now_us + POLL_US);
  if (!dl_budget_ready (swarm->options.budgets.down, now_us))
    next = MIN (next, now_us + dl_budget_wait_us (swarm->options.budgets.down, now_us));
  return next;
}
