/*
 * Sends this node's status to other nodes and takes theirs.
 */
#include <sys/socket.h>

#include "kernel/metrics.h"
#include "node/peers_private.h"
#include "node/status_relay.h"

/* Datagrams that are read in a row, so that they do not block the event loop. */
#define READS_AT_ONCE 64
/* So long after its start an entry reads the registrations of unknown stagers at once,
 * this often at most. */
#define STARTING_MS            10000
#define REGISTRATIONS_EVERY_MS 500

DL_METRIC (metric_sent,
           DL_METRIC_COUNTER,
           "daisy_node_datagrams_sent_total",
           "Status datagrams sent to other nodes.")
DL_METRIC (metric_refused,
           DL_METRIC_COUNTER,
           "daisy_node_datagrams_refused_total",
           "Datagrams dropped: malformed, out of order or from an unregistered sender.")

/* -------- sending -------- */

/* Leaves out what holds texts of any length; the rest is bounded by its senders. */
static void
drop_texts (Daisyloft__Wire__NodeStatus *status)
{
  status->named = NULL;
  status->n_holding = 0;
}

size_t
dl_peers_pack (const DlPeers *peers,
               Daisyloft__Wire__NodeStatus *status,
               uint64_t number,
               uint8_t *bytes)
{
  size_t length;

  status->name = (char *)peers->options.settings->name;
  status->incarnation = peers->incarnation;
  status->number = number;
  status->role = peers->options.role;
  length = daisyloft__wire__node_status__get_packed_size (status);
  if (length > DATAGRAM_MAX_BYTES)
    {
      drop_texts (status);
      length = daisyloft__wire__node_status__get_packed_size (status);
    }
  g_assert (length <= DATAGRAM_MAX_BYTES);
  return daisyloft__wire__node_status__pack (status, bytes);
}

void
dl_peers_send_to (const DlPeers *peers,
                  const struct sockaddr_in *at,
                  const uint8_t *bytes,
                  size_t length)
{
  (void)sendto (peers->fd, bytes, length, MSG_DONTWAIT, (const struct sockaddr *)at,
                sizeof *at);
  dl_metric_add (&metric_sent, 1);
}

void
dl_peers_reply (DlPeers *peers, Daisyloft__Wire__NodeStatus *status)
{
  uint8_t bytes[DATAGRAM_MAX_BYTES];
  size_t length;

  g_assert (peers->unknown_sender != NULL);
  length = dl_peers_pack (peers, status, ++peers->number, bytes);
  dl_peers_send_to (peers, peers->unknown_sender, bytes, length);
}

static bool
is_reached (const DlPeers *peers, const Node *node, DlPeersReach reach)
{
  switch (reach)
    {
    case DL_PEERS_ALL:
      return true;
    case DL_PEERS_HUBS:
      return node->peer.is_hub;
    case DL_PEERS_REGION:
    case DL_PEERS_RELAYS:
      break;
    }
  return dl_peers_is_in_own_region (peers, node);
}

static void
send_to_relays (const DlPeers *peers, const uint8_t *bytes, size_t length)
{
  const Node *relays[DL_FANOUT_RELAYS];
  size_t count = dl_peers_choose_relays (peers, peers->options.settings->region, relays);

  for (size_t i = 0; i < count; i++)
    dl_peers_send_to (peers, &relays[i]->at, bytes, length);
}

void
dl_peers_send (DlPeers *peers,
               Daisyloft__Wire__NodeStatus *status,
               Daisyloft__Wire__Role role,
               DlPeersReach reach)
{
  uint8_t bytes[DATAGRAM_MAX_BYTES];
  size_t length = dl_peers_pack (peers, status, ++peers->number, bytes);
  GHashTableIter iter;
  gpointer value;

  peers->is_ready = status->ready;
  if (peers->relay != NULL && role == DAISYLOFT__WIRE__ROLE__ROLE_ENTRY)
    dl_status_relay_sent (peers->relay, status);
  /* Until an entry is heard, any may be the one that is up. */
  if (reach == DL_PEERS_RELAYS && dl_peers_is_large (peers) && dl_peers_has_entry (peers))
    {
      send_to_relays (peers, bytes, length);
      return;
    }
  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Node *node = value;

      if (node->peer.role == role && is_reached (peers, node, reach))
        dl_peers_send_to (peers, &node->at, bytes, length);
    }
}

/* -------- receiving -------- */

/* A status of an incarnation that has been replaced may arrive late, by a relay. */
static bool
is_newer (const Node *node, const Daisyloft__Wire__NodeStatus *status)
{
  if (status->incarnation == node->incarnation)
    return status->number > node->number;
  return status->incarnation != node->previous_incarnation;
}

static void
note_heard (Node *node, bool ready)
{
  node->peer.received_ms = dl_clock_ms ();
  node->seen_ms = node->peer.received_ms;
  node->peer.ready = ready;
}

static void
note_status (Node *node, const Daisyloft__Wire__NodeStatus *status)
{
  if (status->incarnation != node->incarnation)
    node->previous_incarnation = node->incarnation;
  node->incarnation = status->incarnation;
  node->number = status->number;
  note_heard (node, status->ready);
}

static void
accept_own_status (DlPeers *peers, Node *node, const Daisyloft__Wire__NodeStatus *status)
{
  node->peer.is_hub
      = node->peer.role == DAISYLOFT__WIRE__ROLE__ROLE_ENTRY && !status->not_hub;
  peers->options.on_status (&node->peer, status, peers->options.data);
}

/* Takes what RELAY, an entry, passes on of another node. */
static void
accept_relayed (DlPeers *peers, const Node *relay, const ProtobufCBinaryData *packed)
{
  Daisyloft__Wire__NodeStatus *status
      = daisyloft__wire__node_status__unpack (NULL, packed->len, packed->data);
  Node *node;

  if (status == NULL)
    {
      dl_metric_add (&metric_refused, 1);
      return;
    }
  node = g_hash_table_lookup (peers->nodes, status->name);
  if (node != NULL && is_newer (node, status))
    {
      note_status (node, status);
      accept_own_status (peers, node, status);
      if (peers->relay != NULL)
        dl_status_relay_passed_on (peers->relay, relay, node, packed);
    }
  else if (node != NULL && node->number == status->number && peers->relay != NULL)
    dl_status_relay_passed_on (peers->relay, relay, node, NULL);
  daisyloft__wire__node_status__free_unpacked (status, NULL);
}

/* Takes a batch of other nodes' statuses.  Each has a number of its own. */
static void
accept_batch (DlPeers *peers, Node *relay, const Daisyloft__Wire__NodeStatus *batch)
{
  if (relay->peer.role != DAISYLOFT__WIRE__ROLE__ROLE_ENTRY
      || batch->incarnation == relay->previous_incarnation)
    {
      dl_metric_add (&metric_refused, 1);
      return;
    }
  note_heard (relay, batch->ready);
  for (size_t i = 0; i < batch->n_relayed; i++)
    accept_relayed (peers, relay, &batch->relayed[i]);
}

/* A stager that this entry does not know yet has something to tell: while all nodes start
 * together, its registration is read before the next watch is due. */
static void
read_registrations (DlPeers *peers)
{
  uint64_t now_ms = dl_clock_ms ();

  if (peers->options.role != DAISYLOFT__WIRE__ROLE__ROLE_ENTRY
      || now_ms - peers->created_ms > STARTING_MS
      || now_ms - peers->registrations_read_ms < REGISTRATIONS_EVERY_MS)
    return;
  peers->registrations_read_ms = now_ms;
  dl_object_watch_refresh (peers->watch);
}

static void
report_unknown (DlPeers *peers,
                Daisyloft__Wire__Role role,
                const struct sockaddr_in *from)
{
  peers->unknown_sender = from;
  peers->options.on_unknown_node (role, peers->options.data);
  peers->unknown_sender = NULL;
}

static void
accept_status (DlPeers *peers,
               const Daisyloft__Wire__NodeStatus *status,
               const struct sockaddr_in *from)
{
  Node *node = g_hash_table_lookup (peers->nodes, status->name);
  bool is_batch = status->n_relayed > 0;
  bool has_restarted;

  if (node == NULL && status->role == DAISYLOFT__WIRE__ROLE__ROLE_SLOT)
    read_registrations (peers);
  if (node == NULL && peers->options.on_unknown_node != NULL && !is_batch)
    {
      report_unknown (peers, status->role, from);
      return;
    }
  if (node == NULL || node->at.sin_addr.s_addr != from->sin_addr.s_addr
      || (!is_batch && !is_newer (node, status)))
    {
      dl_metric_add (&metric_refused, 1);
      return;
    }
  if (is_batch)
    {
      accept_batch (peers, node, status);
      return;
    }
  has_restarted = status->incarnation != node->incarnation;
  note_status (node, status);
  accept_own_status (peers, node, status);
  if (has_restarted && peers->options.role == DAISYLOFT__WIRE__ROLE__ROLE_SLOT
      && peers->options.on_unknown_node != NULL)
    report_unknown (peers, status->role, from);
  if (peers->relay != NULL)
    dl_status_relay_received (peers->relay, node, status);
}

void
dl_peers_on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  DlPeers *peers = watcher->data;
  uint8_t bytes[DATAGRAM_MAX_BYTES];

  for (int i = 0; i < READS_AT_ONCE; i++)
    {
      struct sockaddr_in from = { 0 };
      socklen_t from_length = sizeof from;
      ssize_t n = recvfrom (peers->fd, bytes, sizeof bytes, MSG_DONTWAIT,
                            (struct sockaddr *)&from, &from_length);
      Daisyloft__Wire__NodeStatus *status;

      if (n < 0)
        return;
      status = daisyloft__wire__node_status__unpack (NULL, (size_t)n, bytes);
      if (status == NULL)
        {
          dl_metric_add (&metric_refused, 1);
          continue;
        }
      accept_status (peers, status, &from);
      daisyloft__wire__node_status__free_unpacked (status, NULL);
    }
}
