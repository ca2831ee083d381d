#include "policy/swarm.h"

#include <string.h>
#include <talloc.h>

#include "policy/swarm_private.h"

#define STARTUP_WAIT_US   (1000 * US_PER_MS)
#define NEIGHBOUR_WAIT_US (2000 * US_PER_MS) /* for a neighbour to connect */
#define GOLDEN_RATIO_64   UINT64_C (0x9e3779b97f4a7c15)

/* -------- helpers -------- */

/* splitmix64 generator */
uint64_t
swarm_random (DlSwarm *swarm)
{
  uint64_t z = swarm->random += GOLDEN_RATIO_64;

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

void
swarm_emit (DlSwarm *swarm, DlSwarmAction action)
{
  DlSwarmAction *copy = g_new (DlSwarmAction, 1);

  *copy = action;
  g_queue_push_tail (&swarm->actions, copy);
}

Host *
swarm_get_host (DlSwarm *swarm, const char *name)
{
  Host *host = g_hash_table_lookup (swarm->by_name, name);

  if (host != NULL)
    return host;
  host = talloc_zero (swarm, Host);
  g_assert (host != NULL);
  host->name = talloc_strdup (host, name);
  host->region = talloc_strdup (host, "");
  host->unannounced = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  g_ptr_array_add (swarm->hosts, host);
  g_hash_table_insert (swarm->by_name, host->name, host);
  return host;
}

void
swarm_connect (DlSwarm *swarm, Host *host, uint64_t now_us)
{
  if (host->connected || host->connecting || host == swarm->self
      || host->connect_after_us > now_us)
    return;
  host->connecting = true;
  swarm_emit (swarm, (DlSwarmAction){ .type = DL_SWARM_CONNECT, .host = host->name });
}

void
swarm_mark_down (Host *host, uint64_t now_us)
{
  if (host->down_until_us <= now_us)
    host->down_since_us = now_us;
  host->down_until_us = now_us + HOST_DOWN_US;
}

void
swarm_release (DlSwarm *swarm, Chunk *chunk)
{
  switch (chunk->state)
    {
    case CHUNK_WANTED:
      if (!chunk->waiting)
        {
          chunk->from->outstanding--;
          swarm->wants--;
        }
      chunk->from = NULL;
      break;
    case CHUNK_FETCHING:
      swarm->fetches--;
      break;
    case CHUNK_MISSING:
    case CHUNK_HELD:
      break;
    }
  chunk->waiting = false;
  chunk->state = CHUNK_MISSING;
}

/* -------- construction -------- */

static int
swarm_destroy (DlSwarm *swarm)
{
  DlSwarmAction *action;

  while ((action = g_queue_pop_head (&swarm->actions)) != NULL)
    g_free (action);
  for (guint i = 0; i < swarm->hosts->len; i++)
    g_array_free (((Host *)g_ptr_array_index (swarm->hosts, i))->unannounced, TRUE);
  g_ptr_array_free (swarm->hosts, TRUE);
  g_hash_table_destroy (swarm->by_name);
  g_array_free (swarm->uploads, TRUE);
  g_array_free (swarm->waiters, TRUE);
  g_array_free (swarm->have_indexes, TRUE);
  g_ptr_array_free (swarm->regions, TRUE);
  return 0;
}

/* Initialises positions FIRST to COUNT - 1. */
static void
init_chunks (DlSwarm *swarm, uint32_t first, uint32_t count)
{
  swarm->chunks = talloc_realloc (swarm, swarm->chunks, Chunk, count);
  g_assert (swarm->chunks != NULL);
  swarm->count = count;
  for (uint32_t i = first; i < count; i++)
    swarm->chunks[i] = (Chunk){ .order = swarm_random (swarm) };
  for (guint h = 0; h < swarm->hosts->len; h++)
    {
      Host *host = g_ptr_array_index (swarm->hosts, h);

      for (uint32_t i = first; i < count && host->same_region; i++)
        swarm->chunks[i].copies += host_has (host, i) ? 1 : 0;
    }
  swarm_rank_groups (swarm, MIN (first, swarm->ranking_count));
}

/* Computes chunk_us, at least 1 ms, for chunks of BYTES. */
static void
set_chunk_time (DlSwarm *swarm, uint32_t bytes)
{
  uint64_t rate = swarm->options.budgets.up->bytes_per_s;

  swarm->chunk_us = US_PER_MS;
  if (rate > 0)
    swarm->chunk_us = MAX (US_PER_MS, bytes * UINT64_C (1000000) / rate);
}

DlSwarm *
dl_swarm_new (const void *context, const DlSwarmOptions *options, uint64_t now_us)
{
  DlSwarm *swarm = talloc_zero (context, DlSwarm);

  g_assert (swarm != NULL);
  swarm->options = *options;
  swarm->options.name = talloc_strdup (swarm, options->name);
  swarm->options.region = talloc_strdup (swarm, options->region);
  swarm->options.home_region = talloc_strdup (swarm, options->home_region);
  swarm->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  swarm->hosts = g_ptr_array_new ();
  swarm->uploads = g_array_new (FALSE, FALSE, sizeof (Upload));
  swarm->waiters = g_array_new (FALSE, FALSE, sizeof (Upload));
  swarm->regions = g_ptr_array_new ();
  swarm->have_indexes = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  g_queue_init (&swarm->actions);
  talloc_set_destructor (swarm, swarm_destroy);
  swarm->random = options->seed;
  swarm->is_home = strcmp (options->region, options->home_region) == 0;
  swarm->start_us = now_us;
  swarm->import_after_us = now_us + STARTUP_WAIT_US;
  swarm->self = swarm_get_host (swarm, options->name);
  swarm->self->same_region = true;
  init_chunks (swarm, 0, 1);
  swarm->chunks[0].bytes = (uint32_t)options->manifest_bytes;
  set_chunk_time (swarm, (uint32_t)options->manifest_bytes);
  return swarm;
}

void
dl_swarm_set_manifest (DlSwarm *swarm,
                       const DlDigest *digests,
                       const uint32_t *lengths,
                       uint32_t count,
                       uint64_t now_us)
{
  if (swarm->has_manifest)
    return;
  swarm->has_manifest = true;
  init_chunks (swarm, 1, count + 1);
  for (uint32_t i = 0; i < count; i++)
    swarm->chunks[i + 1].bytes = lengths[i];
  set_chunk_time (swarm, lengths[0]);
}

/* -------- hosts -------- */

/* Recounts the copies of each chunk in this region. */
static void
count_copies (DlSwarm *swarm)
{
  for (uint32_t i = 0; i < swarm->count; i++)
    swarm->chunks[i].copies = 0;
  for (guint h = 0; h < swarm->hosts->len; h++)
    {
      const Host *host = g_ptr_array_index (swarm->hosts, h);

      for (uint32_t i = 0; i < swarm->count && host->same_region; i++)
        swarm->chunks[i].copies += host_has (host, i) ? 1 : 0;
    }
}

void
dl_swarm_set_hosts (DlSwarm *swarm, const DlSwarmHost *hosts, size_t count, uint64_t now)
{
  for (guint i = 0; i < swarm->hosts->len; i++)
    ((Host *)g_ptr_array_index (swarm->hosts, i))->live = false;
  for (size_t i = 0; i < count; i++)
    {
      Host *host = swarm_get_host (swarm, hosts[i].name);

      host->live = true;
      if (strcmp (host->region, hosts[i].region) != 0)
        {
          talloc_free (host->region);
          host->region = talloc_strdup (host, hosts[i].region);
        }
      host->same_region = strcmp (host->region, swarm->options.region) == 0;
    }
  if (!swarm->options.origin_only)
    swarm_choose_neighbours (swarm);
  for (guint i = 0; i < swarm->hosts->len; i++)
    {
      Host *host = g_ptr_array_index (swarm->hosts, i);

      /* The host whose name sorts first connects; the other one only if it does not. */
      if (host->neighbour && !host->connected
          && strcmp (swarm->self->name, host->name) > 0)
        host->connect_after_us = MAX (host->connect_after_us, now + NEIGHBOUR_WAIT_US);
    }
  swarm_rank_groups (swarm, 0);
  count_copies (swarm);
}

void
dl_swarm_set_paused (DlSwarm *swarm, bool paused)
{
  swarm->paused = paused;
}

void
dl_swarm_peer_up (DlSwarm *swarm, const char *name, uint64_t now_us)
{
  Host *host = swarm_get_host (swarm, name);

  if (host->connected)
    dl_swarm_peer_down (swarm, name, now_us);
  host->connected = true;
  host->connecting = false;
  host->have_sent = host->have_received = false;
  host->message_us = now_us;
  host->timeouts = 0;
  host->down_until_us = 0;
  swarm->connected++;
}

static void
clear_have (DlSwarm *swarm, Host *host)
{
  for (uint32_t i = 0; i < swarm->count && host->same_region; i++)
    if (host_has (host, i))
      swarm->chunks[i].copies--;
  TALLOC_FREE (host->have);
  host->have_bytes = 0;
  host->have_count = 0;
  host->queue = 0;
}

void
dl_swarm_peer_down (DlSwarm *swarm, const char *name, uint64_t now_us)
{
  Host *host = swarm_get_host (swarm, name);

  host->connecting = false;
  host->connect_after_us
      = now_us + CONNECT_RETRY_US + swarm_random (swarm) % CONNECT_RETRY_US;
  swarm_mark_down (host, now_us);
  if (!host->connected)
    return;
  host->connected = false;
  swarm->connected--;
  clear_have (swarm, host);
  g_array_set_size (host->unannounced, 0);
  swarm_drop_requests (swarm, host);
  for (uint32_t i = 0; i < swarm->count; i++)
    if (swarm->chunks[i].state == CHUNK_WANTED && swarm->chunks[i].from == host)
      swarm_release (swarm, &swarm->chunks[i]);
}

void
dl_swarm_peer_has (DlSwarm *swarm, const char *name, uint32_t index)
{
  Host *host = swarm_get_host (swarm, name);
  uint32_t position = position_of (index);
  size_t byte = position / 8;

  if (!host->connected || host_avoided (host) || host_has (host, position)
      || (swarm->has_manifest && position >= swarm->count))
    return;
  if (byte >= host->have_bytes)
    {
      size_t bytes = MAX (byte + 1, host->have_bytes * 2);

      host->have = talloc_realloc (host, host->have, uint8_t, bytes);
      memset (host->have + host->have_bytes, 0, bytes - host->have_bytes);
      host->have_bytes = bytes;
    }
  host->have[byte] |= (uint8_t)(1u << (position % 8));
  host->have_count++;
  if (position < swarm->count && host->same_region)
    swarm->chunks[position].copies++;
}

void
dl_swarm_peer_queue (DlSwarm *swarm, const char *name, uint32_t queue, uint64_t now_us)
{
  Host *host = swarm_get_host (swarm, name);

  host->queue = queue;
  host->queue_us = now_us;
  host->message_us = now_us;
  host->have_received = true;
}

void
swarm_disconnect (DlSwarm *swarm, Host *host, uint64_t now_us)
{
  swarm_emit (swarm, (DlSwarmAction){ .type = DL_SWARM_DISCONNECT, .host = host->name });
  dl_swarm_peer_down (swarm, host->name, now_us);
  /* The host itself may be healthy, so it keeps its rank. */
  host->down_until_us = 0;
}

/* -------- chunks -------- */

static void
mark_held (DlSwarm *swarm, uint32_t position)
{
  swarm_release (swarm, &swarm->chunks[position]);
  swarm->chunks[position].state = CHUNK_HELD;
  swarm->held++;
  for (guint i = 0; i < swarm->hosts->len; i++)
    {
      Host *host = g_ptr_array_index (swarm->hosts, i);
      uint32_t index = index_of (position);

      if (host->connected && host->same_region && host->have_sent
          && !host_has (host, position))
        g_array_append_val (host->unannounced, index);
    }
  swarm_queue_waiters (swarm, position);
}

void
dl_swarm_mark_verified (DlSwarm *swarm, uint32_t index)
{
  uint32_t position = position_of (index);

  if (position < swarm->count && swarm->chunks[position].state != CHUNK_HELD)
    mark_held (swarm, position);
}

static void
unset_have (DlSwarm *swarm, Host *host, uint32_t position)
{
  if (!host_has (host, position))
    return;
  host->have[position / 8] &= (uint8_t) ~(1u << (position % 8));
  host->have_count--;
  if (host->same_region)
    swarm->chunks[position].copies--;
}

/* Charges a received chunk to the budgets of the link. */
static void
charge_receipt (DlSwarm *swarm, const Host *host, uint32_t bytes, uint64_t now_us)
{
  bool other_region = host != NULL ? !host->same_region : !swarm->is_home;

  dl_budget_charge (swarm->options.budgets.down, bytes, now_us);
  if (other_region)
    dl_budget_charge (swarm->options.budgets.region_down, bytes, now_us);
}

/* Cancels a request to a host other than HOST, which delivered the chunk. */
static void
cancel_other (DlSwarm *swarm, const Chunk *chunk, const Host *host, uint32_t index)
{
  if (chunk->state == CHUNK_WANTED && chunk->from != host)
    swarm_emit (swarm, (DlSwarmAction){ .type = DL_SWARM_CANCEL,
                                        .host = chunk->from->name,
                                        .cancel.index = index });
}

DlSwarmArrival
dl_swarm_arrived (
    DlSwarm *swarm, const char *name, uint32_t index, uint32_t bytes, uint64_t now_us)
{
  Host *host = name != NULL ? swarm_get_host (swarm, name) : NULL;
  uint32_t position = position_of (index);
  Chunk *chunk;

  charge_receipt (swarm, host, bytes, now_us);
  if (host != NULL)
    {
      host->timeouts = 0;
      host->message_us = now_us;
    }
  else
    swarm->unreachable = false;
  if (position >= swarm->count || swarm->chunks[position].state == CHUNK_HELD)
    return DL_SWARM_DUPLICATE;
  chunk = &swarm->chunks[position];
  cancel_other (swarm, chunk, host, index);
  mark_held (swarm, position);
  return DL_SWARM_NEW;
}

void
dl_swarm_peer_corrupt (
    DlSwarm *swarm, const char *name, uint32_t index, uint32_t bytes, uint64_t now_us)
{
  Host *host = swarm_get_host (swarm, name);
  uint32_t position = position_of (index);

  charge_receipt (swarm, host, bytes, now_us);
  host->corrupt++;
  if (position >= swarm->count)
    return;
  if (swarm->chunks[position].state == CHUNK_WANTED
      && swarm->chunks[position].from == host)
    swarm_release (swarm, &swarm->chunks[position]);
  unset_have (swarm, host, position);
  if (host_avoided (host))
    clear_have (swarm, host);
}

void
dl_swarm_peer_refuses (
    DlSwarm *swarm, const char *name, uint32_t index, uint32_t retry_ms, uint64_t now_us)
{
  Host *host = swarm_get_host (swarm, name);
  uint32_t position = position_of (index);
  Chunk *chunk = position < swarm->count ? &swarm->chunks[position] : NULL;
  bool was_waiting;

  host->message_us = now_us;
  if (chunk == NULL || chunk->state != CHUNK_WANTED || chunk->from != host)
    return;
  was_waiting = chunk->waiting;
  swarm_release (swarm, chunk);
  if (!was_waiting)
    {
      if (retry_ms == 0)
        unset_have (swarm, host, position);
      else
        dl_swarm_peer_queue (swarm, name, QUEUE_MAX, now_us);
      return;
    }
  /* The first host of the ranking does not import the chunk: the next one replaces it. */
  swarm_mark_down (host, now_us);
}

void
dl_swarm_fetch_failed (
    DlSwarm *swarm, uint32_t index, uint64_t retry_ms, bool unreachable, uint64_t now_us)
{
  uint32_t position = position_of (index);

  if (position < swarm->count && swarm->chunks[position].state == CHUNK_FETCHING)
    swarm_release (swarm, &swarm->chunks[position]);
  swarm->fetch_after_us = MAX (swarm->fetch_after_us, now_us + retry_ms * US_PER_MS);
  swarm->unreachable = unreachable;
  if (unreachable)
    swarm_refuse_waiters (swarm, 0);
}

/* -------- decisions -------- */

/* Connects to neighbours that are not connected. */
static uint64_t
run_connects (DlSwarm *swarm, uint64_t now_us)
{
  uint64_t next = SWARM_NEVER;

  for (guint i = 0; i < swarm->hosts->len; i++)
    {
      Host *host = g_ptr_array_index (swarm->hosts, i);

      if (!host->live || !host->neighbour || host->connected || host->connecting)
        continue;
      if (host->connect_after_us <= now_us)
        swarm_connect (swarm, host, now_us);
      else
        next = MIN (next, host->connect_after_us);
    }
  return next;
}

uint64_t
dl_swarm_run (DlSwarm *swarm, uint64_t now_us)
{
  uint64_t next = swarm->options.origin_only ? SWARM_NEVER : run_connects (swarm, now_us);

  next = MIN (next, swarm_run_fetch (swarm, now_us));
  next = MIN (next, swarm_run_uploads (swarm, now_us));
  swarm_run_announcements (swarm);
  return next;
}

/* Moves the host's unannounced indexes into the action that announces them. */
static void
fill_have (DlSwarm *swarm, DlSwarmAction *action)
{
  Host *host = g_hash_table_lookup (swarm->by_name, action->host);

  g_array_set_size (swarm->have_indexes, 0);
  g_array_append_vals (swarm->have_indexes, host->unannounced->data,
                       host->unannounced->len);
  g_array_set_size (host->unannounced, 0);
  action->have.indexes = (const uint32_t *)swarm->have_indexes->data;
  action->have.count = swarm->have_indexes->len;
  action->have.queue = swarm->uploads->len;
}

bool
dl_swarm_take (DlSwarm *swarm, DlSwarmAction *action)
{
  DlSwarmAction *first = g_queue_pop_head (&swarm->actions);

  if (first == NULL)
    return false;
  *action = *first;
  g_free (first);
  if (action->type == DL_SWARM_HAVE)
    fill_have (swarm, action);
  return true;
}

/* -------- state -------- */

bool
dl_swarm_is_complete (const DlSwarm *swarm)
{
  return swarm->has_manifest && swarm->held == swarm->count;
}

bool
dl_swarm_is_idle (const DlSwarm *swarm)
{
  return swarm->wants == 0 && swarm->fetches == 0 && swarm->uploads->len == 0;
}

bool
dl_swarm_holds (const DlSwarm *swarm, uint32_t index)
{
  uint32_t position = position_of (index);

  return position < swarm->count && swarm->chunks[position].state == CHUNK_HELD;
}

bool
dl_swarm_avoids (const DlSwarm *swarm, const char *name)
{
  const Host *host = g_hash_table_lookup (swarm->by_name, name);

  return host != NULL && host_avoided (host);
}

DlSwarmCounts
dl_swarm_counts (const DlSwarm *swarm)
{
  DlSwarmCounts counts = {
    .verified = swarm->held - (swarm->chunks[0].state == CHUNK_HELD ? 1 : 0),
    .total = swarm->has_manifest ? swarm->count - 1 : 0,
    .uploads_queued = swarm->uploads->len,
    .wants_pending = swarm->wants,
    .fetches_pending = swarm->fetches,
    .peers_up = swarm->connected,
  };

  for (guint i = 0; i < swarm->hosts->len; i++)
    {
      const Host *host = g_ptr_array_index (swarm->hosts, i);

      counts.peers_avoided += host_avoided (host) ? 1 : 0;
    }
  return counts;
}
