#include "swarm_driver.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "policy/swarm.h"

#define NAME_BYTES  16
#define LIST_LAG_US 2000000

typedef struct
{
  char name[NAME_BYTES];
  unsigned region;
  DlSwarm *swarm;
  DlBudget up, down, region_up, region_down;
  bool dead, corrupt, stalled;
  unsigned generation; /* incremented by every start */
  uint64_t run_at_us;
  uint8_t *accepted; /* times each position was accepted */
} Node;

typedef enum
{
  EVENT_RUN,
  EVENT_UP,
  EVENT_HAVE,
  EVENT_WANT,
  EVENT_CANCEL,
  EVENT_REFUSE,
  EVENT_DATA,
  EVENT_FETCHED,
  EVENT_DOWN,
  EVENT_KILL,
  EVENT_REPLACE,
  EVENT_STALL,
  EVENT_HOST_LIST,
} EventType;

typedef struct
{
  uint64_t at_us;
  uint64_t order;
  EventType type;
  Node *to, *from;
  unsigned to_generation, from_generation;
  uint32_t index, number; /* NUMBER: queue, wait or retry_ms */
  uint32_t *indexes;
  size_t count;
} Event;

typedef struct
{
  DriverOptions options;
  Node *nodes;
  GSequence *events;
  uint64_t now_us, order, origin_free_us;
  uint64_t origin_bytes, received_bytes, duplicate_bytes, region_bytes[DRIVER_REGIONS];
  unsigned refetched, messages;
  GRand *random;
  DlDigest *digests;
  uint32_t *lengths;
} Driver;

static const char *const region_names[DRIVER_REGIONS] = { "home", "north", "south" };

/* -------- events -------- */

static int
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const Event *x = a;
  const Event *y = b;

  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return x->order < y->order ? -1 : 1;
}

static Event *
post (Driver *d, EventType type, Node *from, Node *to, uint64_t delay_us)
{
  Event *event = g_new0 (Event, 1);

  *event = (Event){ .at_us = d->now_us + delay_us,
                    .order = d->order++,
                    .type = type,
                    .to = to,
                    .from = from,
                    .to_generation = to->generation,
                    .from_generation = from != NULL ? from->generation : 0 };
  g_sequence_insert_sorted (d->events, event, compare_events, NULL);
  return event;
}

static void
schedule_run (Driver *d, Node *node, uint64_t at_us)
{
  if (node->run_at_us <= at_us)
    return;
  node->run_at_us = at_us;
  post (d, EVENT_RUN, NULL, node, at_us > d->now_us ? at_us - d->now_us : 0);
}

static uint64_t
latency (Driver *d)
{
  return d->options.latency_us + (uint64_t)g_rand_int_range (d->random, 0, 200);
}

/* -------- nodes -------- */

static void
set_host_list (Driver *d, Node *node)
{
  DlSwarmHost *hosts = g_new (DlSwarmHost, d->options.hosts);
  size_t count = 0;

  for (unsigned i = 0; i < d->options.hosts; i++)
    if (!d->nodes[i].dead)
      hosts[count++] = (DlSwarmHost){ .name = d->nodes[i].name,
                                      .region = region_names[d->nodes[i].region] };
  dl_swarm_set_hosts (node->swarm, hosts, count, d->now_us);
  g_free (hosts);
}

static void
start_node (Driver *d, Node *node)
{
  const DriverOptions *o = &d->options;
  uint64_t burst = o->link_bytes_per_s / 50;

  talloc_free (node->swarm);
  node->generation++;
  node->run_at_us = UINT64_MAX;
  memset (node->accepted, 0, o->chunks + 1);
  dl_budget_init (&node->up, o->link_bytes_per_s, burst, d->now_us);
  dl_budget_init (&node->down, o->link_bytes_per_s, burst, d->now_us);
  dl_budget_init (&node->region_up, 0, 0, d->now_us);
  dl_budget_init (&node->region_down, 0, 0, d->now_us);
  node->swarm = dl_swarm_new (NULL,
                              &(DlSwarmOptions){
                                  .name = node->name,
                                  .region = region_names[node->region],
                                  .home_region = region_names[0],
                                  .manifest_bytes = o->chunks * 67,
                                  .weigh_origin_bytes = o->weigh_origin_bytes,
                                  .seed = g_rand_int (d->random),
                                  .budgets = { .up = o->shared ? &node->down : &node->up,
                                               .down = &node->down,
                                               .region_up = &node->region_up,
                                               .region_down = &node->region_down },
                              },
                              d->now_us);
  set_host_list (d, node);
  schedule_run (d, node, d->now_us);
}

static Node *
find_node (Driver *d, const char *name)
{
  return &d->nodes[g_ascii_strtoull (name + 1, NULL, 10)];
}

static uint32_t
bytes_of (const Driver *d, uint32_t index)
{
  return index == DL_SWARM_MANIFEST ? d->options.chunks * 67 : d->lengths[index];
}

static void
receive_chunk (Driver *d, Node *node, Node *from, uint32_t index)
{
  uint32_t bytes = bytes_of (d, index);
  uint32_t position = index + 1; /* the manifest's index wraps to 0 */
  bool origin = from == NULL;

  d->received_bytes += bytes;
  if (origin ? node->region != 0 : from->region != node->region)
    d->region_bytes[node->region] += bytes;
  if (!origin && from->corrupt)
    {
      dl_swarm_peer_corrupt (node->swarm, from->name, index, bytes, d->now_us);
      return;
    }
  if (dl_swarm_arrived (node->swarm, origin ? NULL : from->name, index, bytes, d->now_us)
      == DL_SWARM_DUPLICATE)
    {
      d->duplicate_bytes += bytes;
      return;
    }
  d->refetched += node->accepted[position]++ > 0 ? 1 : 0;
  if (index == DL_SWARM_MANIFEST)
    dl_swarm_set_manifest (node->swarm, d->digests, d->lengths, d->options.chunks,
                           d->now_us);
}

/* -------- actions -------- */

static void
fetch_from_origin (Driver *d, Node *node, uint32_t index)
{
  uint64_t us = bytes_of (d, index) * UINT64_C (1000000) / d->options.origin_bytes_per_s;

  d->origin_bytes += bytes_of (d, index);
  d->origin_free_us = MAX (d->origin_free_us, d->now_us) + us;
  post (d, EVENT_FETCHED, NULL, node, d->origin_free_us - d->now_us + latency (d))->index
      = index;
}

static void
perform (Driver *d, Node *node, const DlSwarmAction *a)
{
  Node *to;
  uint64_t us;
  Event *event;

  if (a->type == DL_SWARM_FETCH)
    {
      fetch_from_origin (d, node, a->fetch.index);
      return;
    }
  d->messages++;
  to = find_node (d, a->host);
  switch (a->type)
    {
    case DL_SWARM_CONNECT:
      post (d, to->dead || to->stalled ? EVENT_DOWN : EVENT_UP, to, node, latency (d));
      if (!to->dead && !to->stalled)
        post (d, EVENT_UP, node, to, latency (d));
      break;
    case DL_SWARM_DISCONNECT:
      post (d, EVENT_DOWN, node, to, latency (d));
      break;
    case DL_SWARM_HAVE:
      event = post (d, EVENT_HAVE, node, to, latency (d));
      event->indexes = g_memdup2 (a->have.indexes, a->have.count * sizeof (uint32_t));
      event->count = a->have.count;
      event->number = a->have.queue;
      break;
    case DL_SWARM_WANT:
      event = post (d, EVENT_WANT, node, to, latency (d));
      event->index = a->want.index;
      event->number = a->want.wait;
      break;
    case DL_SWARM_CANCEL:
      post (d, EVENT_CANCEL, node, to, latency (d))->index = a->cancel.index;
      break;
    case DL_SWARM_REFUSE:
      event = post (d, EVENT_REFUSE, node, to, latency (d));
      event->index = a->refuse.index;
      event->number = a->refuse.retry_ms;
      break;
    case DL_SWARM_SEND:
      /* The chunk arrives when the link has carried all of it. */
      us = bytes_of (d, a->send.index) * UINT64_C (1000000) / d->options.link_bytes_per_s;
      event = post (d, EVENT_DATA, node, to, us + latency (d));
      event->index = a->send.index;
      event->number = a->send.queue;
      break;
    case DL_SWARM_FETCH:
      break;
    }
}

static void
run_node (Driver *d, Node *node)
{
  DlSwarmAction action;
  uint64_t next;

  node->run_at_us = UINT64_MAX;
  next = dl_swarm_run (node->swarm, d->now_us);
  while (dl_swarm_take (node->swarm, &action))
    perform (d, node, &action);
  if (next != UINT64_MAX)
    schedule_run (d, node, MAX (next, d->now_us + 1));
}

/* Breaks the node's connections; generation 0 lets the events through after a restart.
 */
static void
drop_connections (Driver *d, Node *node)
{
  for (unsigned i = 0; i < d->options.hosts; i++)
    if (&d->nodes[i] != node)
      post (d, EVENT_DOWN, node, &d->nodes[i], latency (d))->from_generation = 0;
}

static void
apply_to_node (Driver *d, const Event *e)
{
  Node *node = e->to;
  const char *from = e->from != NULL ? e->from->name : NULL;

  switch (e->type)
    {
    case EVENT_UP:
      dl_swarm_peer_up (node->swarm, from, d->now_us);
      break;
    case EVENT_DOWN:
      dl_swarm_peer_down (node->swarm, from, d->now_us);
      break;
    case EVENT_HAVE:
      for (size_t i = 0; i < e->count; i++)
        dl_swarm_peer_has (node->swarm, from, e->indexes[i]);
      dl_swarm_peer_queue (node->swarm, from, e->number, d->now_us);
      break;
    case EVENT_WANT:
      dl_swarm_peer_wants (node->swarm, from, e->index, e->number != 0, d->now_us);
      break;
    case EVENT_CANCEL:
      dl_swarm_peer_cancels (node->swarm, from, e->index);
      break;
    case EVENT_REFUSE:
      dl_swarm_peer_refuses (node->swarm, from, e->index, e->number, d->now_us);
      break;
    case EVENT_DATA:
      dl_swarm_peer_queue (node->swarm, from, e->number, d->now_us);
      receive_chunk (d, node, e->from, e->index);
      break;
    case EVENT_FETCHED:
      receive_chunk (d, node, NULL, e->index);
      break;
    case EVENT_RUN:
    case EVENT_KILL:
    case EVENT_REPLACE:
    case EVENT_STALL:
    case EVENT_HOST_LIST:
      break;
    }
  schedule_run (d, node, d->now_us);
}

static void
apply (Driver *d, const Event *e)
{
  Node *node = e->to;

  switch (e->type)
    {
    case EVENT_KILL:
      node->dead = true;
      drop_connections (d, node);
      for (unsigned i = 0; i < d->options.hosts; i++)
        post (d, EVENT_HOST_LIST, NULL, &d->nodes[i], LIST_LAG_US);
      break;
    case EVENT_REPLACE:
      drop_connections (d, node);
      start_node (d, node);
      break;
    case EVENT_STALL:
      node->stalled = true;
      drop_connections (d, node); /* the other hosts notice by the idle timeout */
      break;
    case EVENT_HOST_LIST:
      if (!node->dead)
        set_host_list (d, node);
      break;
    case EVENT_RUN:
      if (!node->dead && !node->stalled && e->to_generation == node->generation
          && e->at_us == node->run_at_us)
        run_node (d, node);
      break;
    default:
      if (!node->dead && !node->stalled && e->to_generation == node->generation
          && (e->from == NULL || e->from_generation == 0
              || e->from_generation == e->from->generation))
        apply_to_node (d, e);
      break;
    }
}

/* -------- simulation -------- */

static bool
is_complete (const Driver *d)
{
  for (unsigned i = 0; i < d->options.hosts; i++)
    if (!d->nodes[i].dead && !d->nodes[i].stalled
        && !dl_swarm_is_complete (d->nodes[i].swarm))
      return false;
  return true;
}

static void
plan_faults (Driver *d)
{
  const DriverOptions *o = &d->options;
  uint64_t copy_us
      = (uint64_t)o->chunks * o->chunk_bytes * UINT64_C (1000000) / o->link_bytes_per_s;
  unsigned at = 0;

  for (unsigned i = 0; i < o->corrupt; i++)
    d->nodes[at++].corrupt = true;
  for (unsigned i = 0; i < o->killed; i++)
    post (d, EVENT_KILL, NULL, &d->nodes[at++],
          copy_us / 4 + (uint64_t)g_rand_int_range (d->random, 0, (int)(copy_us / 2)));
  for (unsigned i = 0; i < o->replaced; i++)
    post (d, EVENT_REPLACE, NULL, &d->nodes[at++], copy_us / 2);
  for (unsigned i = 0; i < o->stalled; i++)
    post (d, EVENT_STALL, NULL, &d->nodes[at++], copy_us / 3);
}

static void
free_event (gpointer data)
{
  g_free (((Event *)data)->indexes);
  g_free (data);
}

static void
init_driver (Driver *d, const DriverOptions *o)
{
  d->random = g_rand_new_with_seed ((guint32)o->seed);
  d->events = g_sequence_new (free_event);
  d->nodes = g_new0 (Node, o->hosts);
  d->digests = g_new0 (DlDigest, o->chunks);
  d->lengths = g_new (uint32_t, o->chunks);
  for (uint32_t i = 0; i < o->chunks; i++)
    d->lengths[i] = o->chunk_bytes;
  for (unsigned i = 0; i < o->hosts; i++)
    {
      Node *node = &d->nodes[i];

      g_snprintf (node->name, sizeof node->name, "h%u", i);
      node->region = i % DRIVER_REGIONS;
      node->accepted = g_new0 (uint8_t, o->chunks + 1);
    }
  for (unsigned i = 0; i < o->hosts; i++)
    start_node (d, &d->nodes[i]);
  plan_faults (d);
}

static void
free_driver (Driver *d)
{
  g_sequence_free (d->events);
  for (unsigned i = 0; i < d->options.hosts; i++)
    {
      talloc_free (d->nodes[i].swarm);
      g_free (d->nodes[i].accepted);
    }
  g_free (d->nodes);
  g_free (d->digests);
  g_free (d->lengths);
  g_rand_free (d->random);
}

static DriverResult
driver_result (const Driver *d, bool complete)
{
  double copy = (double)d->options.chunks * d->options.chunk_bytes;
  DriverResult result = {
    .complete = complete,
    .time_us = d->now_us,
    .origin_copies = (double)d->origin_bytes / copy,
    .duplicate_part = (double)d->duplicate_bytes / (double)MAX (d->received_bytes, 1),
    .refetched = d->refetched,
    .messages = d->messages,
  };

  for (unsigned i = 1; i < DRIVER_REGIONS; i++)
    result.region_copies = MAX (result.region_copies, (double)d->region_bytes[i] / copy);
  return result;
}

DriverResult
driver_run (const DriverOptions *options)
{
  Driver d = { .options = *options };
  DriverResult result;
  bool complete = false;
  uint64_t next_check_us = 0;

  init_driver (&d, options);
  while (!complete && d.now_us < options->limit_us && !g_sequence_is_empty (d.events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (d.events);
      Event *event = g_sequence_get (first);

      d.now_us = event->at_us;
      apply (&d, event);
      g_sequence_remove (first);
      if (d.now_us < next_check_us)
        continue;
      next_check_us = d.now_us + 1000;
      complete = is_complete (&d);
    }
  result = driver_result (&d, complete);
  free_driver (&d);
  return result;
}
