#include "node/status_relay.h"

#include <string.h>
#include <talloc.h>

#include "kernel/metrics.h"

/* Statuses of the region's stagers, and of other regions' nodes, are passed on to the
 * region's entries at this interval. */
#define TICK_MS 100
/* Those of the region's nodes are passed on to other regions every so many ticks. */
#define REGIONS_EVERY_TICKS 4
/* Space of a datagram for statuses; the rest names the sender and frames them. */
#define BATCH_MAX_BYTES 1150
/* Statuses in a datagram, at most. */
#define BATCH_MAX_COUNT 40
/* Bytes that frame one status. */
#define FRAME_BYTES 4

DL_METRIC (metric_relayed,
           DL_METRIC_COUNTER,
           "daisy_node_statuses_relayed_total",
           "Statuses of other nodes that this entry passed on, each counted once.")

struct DlStatusRelay
{
  DlPeers *peers;
  bool is_relay;       /* this entry is a relay of its region */
  DlRelayedStatus own; /* this entry's last status */
  unsigned ticks;
};

/* Statuses that go into one datagram. */
typedef struct
{
  ProtobufCBinaryData items[BATCH_MAX_COUNT];
  size_t count;
  size_t bytes;
} Batch;

/* Keeps BYTES in R, whose memory is a talloc child of OWNER. */
static void
set_bytes (const void *owner, DlRelayedStatus *r, const uint8_t *bytes, size_t length)
{
  if (length > talloc_get_size (r->bytes))
    {
      talloc_free (r->bytes);
      r->bytes = talloc_size (owner, length);
    }
  memcpy (r->bytes, bytes, length);
  r->length = length;
}

/* Packs into R what is passed on of STATUS; false when that is too long. */
static bool
keep_status (const void *owner,
             DlRelayedStatus *r,
             const Daisyloft__Wire__NodeStatus *status)
{
  Daisyloft__Wire__NodeStatus kept = *status;
  uint8_t bytes[DATAGRAM_MAX_BYTES];

  kept.named = NULL;
  kept.n_announcement = 0;
  kept.n_signature_record = 0;
  kept.n_limit_record = 0;
  kept.n_relayed = 0;
  if (daisyloft__wire__node_status__get_packed_size (&kept) > BATCH_MAX_BYTES)
    return false;
  set_bytes (owner, r, bytes, daisyloft__wire__node_status__pack (&kept, bytes));
  return true;
}

void
dl_status_relay_sent (DlStatusRelay *relay, const Daisyloft__Wire__NodeStatus *status)
{
  if (relay->is_relay)
    relay->own.to_regions = keep_status (relay, &relay->own, status);
}

void
dl_status_relay_received (DlStatusRelay *relay,
                          Node *node,
                          const Daisyloft__Wire__NodeStatus *status)
{
  DlPeers *peers = relay->peers;
  bool is_stager = node->peer.role == DAISYLOFT__WIRE__ROLE__ROLE_SLOT;

  if (!dl_peers_is_large (peers) || !dl_peers_is_in_own_region (peers, node))
    return;
  if (!is_stager && !relay->is_relay)
    return;
  if (!keep_status (node, &node->relayed, status))
    return;
  node->relayed.to_region = is_stager;
  node->relayed.to_regions = true;
}

void
dl_status_relay_passed_on (DlStatusRelay *relay,
                           const Node *from,
                           Node *node,
                           const ProtobufCBinaryData *packed)
{
  bool is_own = dl_peers_is_in_own_region (relay->peers, node);

  if (dl_peers_is_in_own_region (relay->peers, from))
    {
      /* The other relay of this region has passed it on. */
      node->relayed.to_region = false;
      return;
    }
  if (is_own || packed == NULL || packed->len > BATCH_MAX_BYTES)
    return;
  set_bytes (node, &node->relayed, packed->data, packed->len);
  node->relayed.to_region = true;
}

/* -------- sending -------- */

static void
send_batch (DlPeers *peers, Batch *batch, const GPtrArray *receivers)
{
  Daisyloft__Wire__NodeStatus status = DAISYLOFT__WIRE__NODE_STATUS__INIT;
  uint8_t bytes[DATAGRAM_MAX_BYTES];
  size_t length;

  if (batch->count == 0)
    return;
  status.ready = peers->is_ready;
  status.relayed = batch->items;
  status.n_relayed = batch->count;
  length = dl_peers_pack (peers, &status, 0, bytes);
  for (guint i = 0; i < receivers->len; i++)
    {
      const Node *node = g_ptr_array_index (receivers, i);

      dl_peers_send_to (peers, &node->at, bytes, length);
    }
  dl_metric_add (&metric_relayed, (int64_t)batch->count);
  batch->count = 0;
  batch->bytes = 0;
}

static void
add_to_batch (DlPeers *peers,
              Batch *batch,
              const DlRelayedStatus *r,
              const GPtrArray *receivers)
{
  if (batch->count == BATCH_MAX_COUNT
      || batch->bytes + r->length + FRAME_BYTES > BATCH_MAX_BYTES)
    send_batch (peers, batch, receivers);
  batch->items[batch->count++]
      = (ProtobufCBinaryData){ .len = r->length, .data = r->bytes };
  batch->bytes += r->length + FRAME_BYTES;
}

/* Returns whether the status has to be sent, to the region or TO_REGIONS, and clears
 * that. */
static bool
take (DlRelayedStatus *r, bool to_regions)
{
  bool *flag = to_regions ? &r->to_regions : &r->to_region;
  bool is_due = *flag;

  *flag = false;
  return is_due;
}

/* Sends RECEIVERS the statuses that they do not have yet. */
static void
pass_on (DlStatusRelay *relay, bool to_regions, const GPtrArray *receivers)
{
  DlPeers *peers = relay->peers;
  Batch batch = { .count = 0 };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DlRelayedStatus *r = &((Node *)value)->relayed;

      if (take (r, to_regions))
        add_to_batch (peers, &batch, r, receivers);
    }
  if (take (&relay->own, to_regions))
    add_to_batch (peers, &batch, &relay->own, receivers);
  send_batch (peers, &batch, receivers);
}

/* The other entries of this region. */
static GPtrArray *
list_region (const DlPeers *peers)
{
  GPtrArray *nodes = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Node *node = value;

      if (dl_peers_is_entry_of (node, peers->options.settings->region))
        g_ptr_array_add (nodes, value);
    }
  return nodes;
}

/* A relay of each other region: the one at this entry's place among its region's own. */
static GPtrArray *
list_other_relays (const DlPeers *peers, size_t position)
{
  g_autoptr (GHashTable) regions = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *nodes = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Node *relays[DL_FANOUT_RELAYS];
      const Node *node = value;
      size_t count;

      if (dl_peers_is_in_own_region (peers, node)
          || !g_hash_table_add (regions, (gpointer)node->peer.region))
        continue;
      count = dl_peers_choose_relays (peers, node->peer.region, relays);
      if (count > 0)
        g_ptr_array_add (nodes, (gpointer)relays[MIN (position, count - 1)]);
    }
  return nodes;
}

static void
pass_on_to_region (DlStatusRelay *relay)
{
  g_autoptr (GPtrArray) receivers = list_region (relay->peers);

  pass_on (relay, false, receivers);
}

static void
pass_on_to_regions (DlStatusRelay *relay)
{
  size_t position = dl_peers_position (relay->peers);
  g_autoptr (GPtrArray) receivers = NULL;

  relay->is_relay = position < DL_FANOUT_RELAYS;
  if (!relay->is_relay)
    return;
  receivers = list_other_relays (relay->peers, position);
  pass_on (relay, true, receivers);
}

static void
on_tick (DlTimer *timer, void *data)
{
  DlStatusRelay *relay = data;

  if (!dl_peers_is_large (relay->peers))
    return;
  pass_on_to_region (relay);
  if (++relay->ticks % REGIONS_EVERY_TICKS == 0)
    pass_on_to_regions (relay);
}

DlStatusRelay *
dl_status_relay_new (DlTask *task, DlPeers *peers)
{
  DlStatusRelay *relay = talloc_zero (peers, DlStatusRelay);

  g_assert (relay != NULL);
  relay->peers = peers;
  dl_timer_subscribe (task, relay, TICK_MS, TICK_MS, on_tick, relay);
  return relay;
}
