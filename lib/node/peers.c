#include "node/peers.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "kernel/address.h"
#include "kernel/crypt.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "node/object_watch.h"

#define DATAGRAM_MAX_BYTES 1400
#define READS_AT_ONCE      64 /* so that datagrams do not block the event loop */
#define WATCH_WAIT_MS      20000
#define WATCH_PAUSE_MS     2000
#define READER_PAUSE_MS    500
#define WATCH_RETRY_MAX_MS 2000
#define REGISTER_RETRY_MS  700
/* After the store came back from an older copy, nodes list its objects, and those that
 * are not registered any more write their own, spread over this time. */
#define RELIST_SPREAD_MS   1200
#define REGISTER_SPREAD_MS 1000
/* A node that sent no datagram for this long is deleted from the store. */
#define EXPIRY_MS       60000
#define EXPIRY_CHECK_MS 20000

DL_METRIC (metric_sent,
           DL_METRIC_COUNTER,
           "daisy_node_datagrams_sent_total",
           "Status datagrams sent to other nodes.")
DL_METRIC (metric_refused,
           DL_METRIC_COUNTER,
           "daisy_node_datagrams_refused_total",
           "Datagrams dropped: malformed, out of order or from an unregistered sender.")

typedef struct Node
{
  DlPeer peer; /* first: a Node pointer also serves as a DlPeer */
  DlPeers *owner;
  struct sockaddr_in at; /* peer.address, parsed */
  json_object *value;    /* of its object in the store */
  uint64_t revision;     /* of that object; 0 while an older copy of the store lacks it */
  uint64_t incarnation;  /* of its last datagram */
  uint64_t number;       /* sequence number of its last datagram */
  uint64_t seen_ms;      /* when it was registered or last sent a datagram */
} Node;

struct DlPeers
{
  DlTask *task;
  DlPeersOptions options;
  int fd;
  ev_io watcher;
  struct ev_loop *loop;
  GHashTable *nodes; /* name to Node */
  DlObjectWatch *watch;
  DlTimer *register_timer;
  bool is_relisting;    /* the list from an older copy of the store is in progress */
  bool is_listed;       /* that list shows this node's object as it would write it */
  uint64_t number;      /* sequence number of the last datagram */
  uint64_t incarnation; /* of this process */
  const struct sockaddr_in *unknown_sender; /* sender, while on_unknown_node runs */
};

/* -------- registration -------- */

static void register_self (DlPeers *peers, uint64_t revision);

static json_object *
own_object (const DlPeers *peers)
{
  const DlNodeSettings *s = peers->options.settings;
  json_object *object = json_object_new_object ();

  json_object_object_add (object, "role", json_object_new_int ((int)peers->options.role));
  json_object_object_add (object, "region", json_object_new_string (s->region));
  json_object_object_add (object, "data_center", json_object_new_string (s->data_center));
  json_object_object_add (object, "address", json_object_new_string (s->address));
  if (s->listen != NULL)
    json_object_object_add (object, "listen", json_object_new_string (s->listen));
  if (s->listen != NULL && s->metrics != NULL)
    json_object_object_add (object, "relay", json_object_new_string (s->metrics));
  return object;
}

static void
on_register_timer (DlTimer *timer, void *data)
{
  register_self (data, 0);
}

static void
register_after (DlPeers *peers, uint64_t delay_ms)
{
  if (peers->register_timer == NULL)
    peers->register_timer
        = dl_timer_subscribe (peers->task, peers, delay_ms, 0, on_register_timer, peers);
  else
    dl_timer_restart (peers->register_timer, delay_ms);
}

static void
register_later (DlPeers *peers)
{
  register_after (peers, REGISTER_RETRY_MS);
}

/* This node's object is gone from the store, as many others may be. */
static void
register_again (DlPeers *peers)
{
  register_after (peers, 1 + dl_random_uint64 () % REGISTER_SPREAD_MS);
}

static bool
is_own_object (const DlPeers *peers, json_object *value)
{
  json_object *own = own_object (peers);
  bool equal = value != NULL && json_object_equal (own, value) != 0;

  json_object_put (own);
  return equal;
}

static void
on_existing (const DlObjectResult *result, void *data)
{
  DlPeers *peers = data;

  if (result->error < 0 || result->count == 0)
    register_later (peers);
  else if (!is_own_object (peers, result->objects[0].value))
    register_self (peers, result->objects[0].revision);
}

static void
on_registered (const DlObjectResult *result, void *data)
{
  DlPeers *peers = data;

  if (result->error == 0)
    dl_log (DL_EVENT_NODE_REGISTERED, DL_UINT ("revision", result->revision));
  else if (result->error == DL_ERR_CONFLICT || result->error == DL_ERR_UNKNOWN)
    dl_object_get (peers->options.store, peers, peers->options.kind,
                   peers->options.settings->name, on_existing, peers);
  else
    register_later (peers);
}

static void
register_self (DlPeers *peers, uint64_t revision)
{
  json_object *object = own_object (peers);

  dl_object_put (peers->options.store, peers, peers->options.kind,
                 peers->options.settings->name, revision, object, on_registered, peers);
  json_object_put (object);
}

/* -------- the other nodes -------- */

static const char *
member_text (const void *context, json_object *value, const char *key)
{
  json_object *member;

  if (!json_object_object_get_ex (value, key, &member)
      || !json_object_is_type (member, json_type_string))
    return NULL;
  return talloc_strdup (context, json_object_get_string (member));
}

static bool
parse_node (Node *node, const DlObject *object)
{
  json_object *role;
  DlPeer *p = &node->peer;

  if (!json_object_is_type (object->value, json_type_object)
      || !json_object_object_get_ex (object->value, "role", &role))
    return false;
  p->name = talloc_strdup (node, object->name);
  p->role = (Daisyloft__Wire__Role)json_object_get_int (role);
  p->region = member_text (node, object->value, "region");
  p->data_center = member_text (node, object->value, "data_center");
  p->address = member_text (node, object->value, "address");
  p->listen = member_text (node, object->value, "listen");
  p->relay = member_text (node, object->value, "relay");
  node->revision = object->revision;
  return p->region != NULL && p->data_center != NULL && p->address != NULL
         && dl_address_parse (dl_str (p->address), &node->at) == 0
         && (p->role != DAISYLOFT__WIRE__ROLE__ROLE_ENTRY || p->listen != NULL);
}

static int
node_destroy (Node *node)
{
  if (node->owner != NULL && node->owner->options.on_removed != NULL)
    node->owner->options.on_removed (&node->peer, node->owner->options.data);
  json_object_put (node->value);
  return 0;
}

static void
on_own_object (DlPeers *peers, const DlObject *object)
{
  peers->is_listed = !object->deleted && is_own_object (peers, object->value);
  if (object->deleted && !peers->is_relisting)
    register_again (peers);
}

/* A node that an older copy of the store lacks registers again.  It is kept until then,
 * and deleted if it is not heard for long. */
static void
on_node_deleted (DlPeers *peers, const char *name)
{
  Node *node = g_hash_table_lookup (peers->nodes, name);

  if (node == NULL)
    return;
  if (!peers->is_relisting)
    {
      g_hash_table_remove (peers->nodes, name);
      return;
    }
  node->revision = 0;
  dl_log (DL_EVENT_NODE_KEPT, DL_TEXT ("node", name));
}

/* True when OBJECT says of its node what is known already. */
static bool
is_known_node (DlPeers *peers, const DlObject *object)
{
  Node *node = g_hash_table_lookup (peers->nodes, object->name);

  if (node == NULL || json_object_equal (node->value, object->value) == 0)
    return false;
  node->revision = object->revision;
  return true;
}

static void
on_object (const DlObject *object, void *data)
{
  DlPeers *peers = data;
  Node *node;

  if (strcmp (object->name, peers->options.settings->name) == 0)
    {
      on_own_object (peers, object);
      return;
    }
  if (object->deleted)
    {
      on_node_deleted (peers, object->name);
      return;
    }
  if (is_known_node (peers, object))
    return;
  node = talloc_zero (peers, Node);
  if (!parse_node (node, object))
    {
      dl_log (DL_EVENT_NODE_MALFORMED, DL_TEXT ("node", object->name));
      talloc_free (node);
      return;
    }
  node->owner = peers;
  node->value = json_object_get (object->value);
  node->seen_ms = dl_clock_ms ();
  talloc_set_destructor (node, node_destroy);
  g_hash_table_replace (peers->nodes, (gpointer)node->peer.name, node);
}

static void
on_new_era (void *data)
{
  DlPeers *peers = data;

  peers->is_relisting = true;
  peers->is_listed = false;
}

static void
on_synced (void *data)
{
  DlPeers *peers = data;

  if (peers->is_relisting && !peers->is_listed)
    register_again (peers);
  peers->is_relisting = false;
}

static void
ignore_result (const DlObjectResult *result, void *data)
{
}

/* Deletes the objects of nodes that have timed out, and the nodes without one.  Several
 * entries may delete one object, so results are ignored. */
static void
on_expiry_check (DlTimer *timer, void *data)
{
  DlPeers *peers = data;
  uint64_t now_ms = dl_clock_ms ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Node *node = value;

      if (now_ms - node->seen_ms < EXPIRY_MS)
        continue;
      if (node->revision == 0)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (peers->options.role != DAISYLOFT__WIRE__ROLE__ROLE_ENTRY || peers->is_relisting)
        continue;
      dl_log (DL_EVENT_NODE_FORGOTTEN, DL_TEXT ("node", node->peer.name));
      dl_object_delete (peers->options.store, peers, peers->options.kind, node->peer.name,
                        node->revision, ignore_result, peers);
    }
}

bool
dl_peer_is_alive (const DlPeer *peer, uint64_t now_ms)
{
  return peer->received_ms != 0 && now_ms - peer->received_ms <= DL_PEER_TIMEOUT_MS;
}

void
dl_peer_status_trim (Daisyloft__Wire__NodeStatus *status, size_t *count, size_t max_bytes)
{
  while (*count > 0 && daisyloft__wire__node_status__get_packed_size (status) > max_bytes)
    (*count)--;
}

void
dl_peers_foreach_alive (const DlPeers *peers,
                        Daisyloft__Wire__Role role,
                        void (*func) (const DlPeer *peer, void *data),
                        void *data)
{
  uint64_t now_ms = dl_clock_ms ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DlPeer *p = value;

      if (p->role == role && dl_peer_is_alive (p, now_ms))
        func (p, data);
    }
}

/* -------- datagrams -------- */

/* Fills in STATUS and packs it into BYTES, of DATAGRAM_MAX_BYTES.  Returns its length. */
static size_t
pack_status (DlPeers *peers, Daisyloft__Wire__NodeStatus *status, uint8_t *bytes)
{
  size_t length;

  status->name = (char *)peers->options.settings->name;
  status->incarnation = peers->incarnation;
  status->number = ++peers->number;
  status->role = peers->options.role;
  length = daisyloft__wire__node_status__get_packed_size (status);
  g_assert (length <= DATAGRAM_MAX_BYTES);
  return daisyloft__wire__node_status__pack (status, bytes);
}

/* Errors are ignored: a datagram that cannot be sent is like one that is lost. */
static void
send_to (const DlPeers *peers,
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
  length = pack_status (peers, status, bytes);
  send_to (peers, peers->unknown_sender, bytes, length);
}

void
dl_peers_send (DlPeers *peers,
               Daisyloft__Wire__NodeStatus *status,
               Daisyloft__Wire__Role role,
               bool same_region)
{
  uint8_t bytes[DATAGRAM_MAX_BYTES];
  size_t length;
  GHashTableIter iter;
  gpointer value;

  length = pack_status (peers, status, bytes);
  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Node *node = value;

      if (node->peer.role != role
          || (same_region
              && strcmp (node->peer.region, peers->options.settings->region) != 0))
        continue;
      send_to (peers, &node->at, bytes, length);
    }
}

static bool
is_newer (const Node *node, const Daisyloft__Wire__NodeStatus *status)
{
  return status->incarnation != node->incarnation || status->number > node->number;
}

static void
accept_status (DlPeers *peers,
               const Daisyloft__Wire__NodeStatus *status,
               const struct sockaddr_in *from)
{
  Node *node = g_hash_table_lookup (peers->nodes, status->name);

  if (node == NULL && peers->options.on_unknown_node != NULL)
    {
      peers->unknown_sender = from;
      peers->options.on_unknown_node (status->role, peers->options.data);
      peers->unknown_sender = NULL;
      return;
    }
  if (node == NULL || node->at.sin_addr.s_addr != from->sin_addr.s_addr
      || !is_newer (node, status))
    {
      dl_metric_add (&metric_refused, 1);
      return;
    }
  node->incarnation = status->incarnation;
  node->number = status->number;
  node->peer.received_ms = dl_clock_ms ();
  node->seen_ms = node->peer.received_ms;
  node->peer.ready = status->ready;
  peers->options.on_status (&node->peer, status, peers->options.data);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
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

static int
open_socket (const char *address)
{
  struct sockaddr_in at;
  int fd;
  int error = dl_address_parse (dl_str (address), &at);

  if (error < 0)
    return error;
  fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return -errno;
  if (bind (fd, (const struct sockaddr *)&at, sizeof at) < 0)
    {
      error = -errno;
      close (fd);
      return error;
    }
  return fd;
}

static int
peers_destroy (DlPeers *peers)
{
  ev_io_stop (peers->loop, &peers->watcher);
  close (peers->fd);
  peers->options.on_removed = NULL;
  g_hash_table_destroy (peers->nodes);
  return 0;
}

static void
free_node (gpointer data)
{
  talloc_free (data);
}

int
dl_peers_new (DlTask *task,
              const void *owner,
              const DlPeersOptions *options,
              DlPeers **result)
{
  int fd = open_socket (options->settings->address);
  DlPeers *peers;

  if (fd < 0)
    return fd;
  peers = talloc_zero (owner, DlPeers);
  g_assert (peers != NULL);
  peers->task = task;
  peers->options = *options;
  peers->fd = fd;
  peers->loop = dl_kernel_loop (dl_task_kernel (task));
  peers->incarnation = dl_kernel_incarnation (dl_task_kernel (task));
  peers->nodes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_node);
  ev_io_init (&peers->watcher, on_readable, fd, EV_READ);
  peers->watcher.data = peers;
  ev_io_start (peers->loop, &peers->watcher);
  talloc_set_destructor (peers, peers_destroy);
  register_self (peers, 0);
  peers->watch = dl_object_watch_new (task, peers, options->store,
                                      &(DlObjectWatchOptions){
                                          .kind = options->kind,
                                          .wait_ms = WATCH_WAIT_MS,
                                          .reader_wait_ms = DL_PEERS_READER_WAIT_MS,
                                          .reader_pause_ms = READER_PAUSE_MS,
                                          .source = options->source,
                                          .relay = options->relay,
                                          .pause_ms = WATCH_PAUSE_MS,
                                          .retry_max_ms = WATCH_RETRY_MAX_MS,
                                          .relist_spread_ms = RELIST_SPREAD_MS,
                                          .on_object = on_object,
                                          .on_new_era = on_new_era,
                                          .on_synced = on_synced,
                                          .data = peers,
                                      });
  if (options->source != NULL)
    dl_relay_source_set_peers (options->source, peers);
  dl_timer_subscribe (task, peers, EXPIRY_CHECK_MS, EXPIRY_CHECK_MS, on_expiry_check,
                      peers);
  *result = peers;
  return 0;
}
