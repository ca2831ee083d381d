#include "node/peers_private.h"

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
#include "node/record_deletion.h"
#include "node/status_relay.h"

#define WATCH_WAIT_MS      20000
#define WATCH_PAUSE_MS     2000
#define READER_PAUSE_MS    500
#define WATCH_RETRY_MAX_MS 2000
/* While the whole system starts, nodes are listed when most have registered. */
#define BOOTSTRAP_DELAY_MS 500
/* After the store came back from an older copy, nodes list its objects, and those that
 * are not registered any more write their own, spread over this time. */
#define RELIST_SPREAD_MS   1200
#define REGISTER_SPREAD_MS 1000
/* A node that sent no datagram for this long is deleted from the store. */
#define EXPIRY_MS       60000
#define EXPIRY_CHECK_MS 20000

static json_object *
own_object (const DlPeers *peers)
{
  const DlNodeSettings *s = peers->options.settings;
  json_object *object = json_object_new_object ();

  json_object_object_add (object, "name", json_object_new_string (s->name));
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

/* This node's objects are gone from the store, as those of many others may be. */
static void
register_again (DlPeers *peers)
{
  uint64_t delay_ms = 1 + dl_random_uint64 () % REGISTER_SPREAD_MS;

  dl_registration_renew (peers->registration, delay_ms);
  if (peers->entry_registration != NULL)
    dl_registration_renew (peers->entry_registration, delay_ms);
}

static DlRegistration *
register_as (DlPeers *peers, const char *kind, json_object *value)
{
  return dl_registration_new (peers->task, peers,
                              &(DlRegistrationOptions){ .store = peers->options.store,
                                                        .kind = kind,
                                                        .name = peers->object_name,
                                                        .value = value });
}

static void
register_self (DlPeers *peers)
{
  json_object *value = own_object (peers);

  peers->registration = register_as (peers, peers->options.kind, value);
  if (peers->options.role == DAISYLOFT__WIRE__ROLE__ROLE_ENTRY)
    peers->entry_registration = register_as (peers, peers->options.entries_kind, value);
  json_object_put (value);
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
  node->object_name = talloc_strdup (node, object->name);
  p->name = member_text (node, object->value, "name");
  if (p->name == NULL)
    p->name = node->object_name;
  p->role = (Daisyloft__Wire__Role)json_object_get_int (role);
  p->region = member_text (node, object->value, "region");
  p->data_center = member_text (node, object->value, "data_center");
  p->address = member_text (node, object->value, "address");
  p->listen = member_text (node, object->value, "listen");
  p->relay = member_text (node, object->value, "relay");
  p->is_hub = p->role == DAISYLOFT__WIRE__ROLE__ROLE_ENTRY;
  node->rank
      = p->role == DAISYLOFT__WIRE__ROLE__ROLE_ENTRY ? dl_fanout_rank (p->name) : 0;
  node->revision = object->revision;
  return p->region != NULL && p->data_center != NULL && p->address != NULL
         && dl_address_parse (dl_str (p->address), &node->at) == 0
         && (p->role != DAISYLOFT__WIRE__ROLE__ROLE_ENTRY || p->listen != NULL);
}

/* Counts NODE, which is registered (DIFFERENCE 1) or no longer (-1). */
static void
count_entry (DlPeers *peers, const Node *node, int difference)
{
  if (node->peer.role == DAISYLOFT__WIRE__ROLE__ROLE_ENTRY)
    peers->entry_count += (unsigned)difference;
}

static int
node_destroy (Node *node)
{
  DlPeers *peers = node->owner;

  if (g_hash_table_lookup (peers->by_object, node->object_name) == node)
    g_hash_table_remove (peers->by_object, node->object_name);
  count_entry (peers, node, -1);
  if (peers->options.on_removed != NULL)
    peers->options.on_removed (&node->peer, peers->options.data);
  json_object_put (node->value);
  return 0;
}

static void
on_own_object (DlPeers *peers, const DlObject *object)
{
  peers->is_listed
      = !object->deleted && dl_registration_is_equal (peers->registration, object->value);
  if (!object->deleted || peers->is_relisting)
    return;
  register_again (peers);
  if (peers->options.on_own_deleted != NULL)
    peers->options.on_own_deleted (peers->options.data);
}

/* A node that an older copy of the store lacks registers again.  It is kept until then,
 * and deleted if it is not heard for long. */
static void
on_node_deleted (DlPeers *peers, const char *object_name)
{
  Node *node = g_hash_table_lookup (peers->by_object, object_name);

  if (node == NULL)
    return;
  if (!peers->is_relisting)
    {
      g_hash_table_remove (peers->nodes, node->peer.name);
      return;
    }
  node->revision = 0;
  dl_log (DL_EVENT_NODE_KEPT, DL_TEXT ("node", node->peer.name));
}

/* True when OBJECT says of its node what is known already. */
static bool
is_known_node (DlPeers *peers, const DlObject *object)
{
  Node *node = g_hash_table_lookup (peers->by_object, object->name);

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

  if (strcmp (object->name, peers->object_name) == 0)
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
  count_entry (peers, node, 1);
  node->value = json_object_get (object->value);
  node->seen_ms = dl_clock_ms ();
  talloc_set_destructor (node, node_destroy);
  g_hash_table_replace (peers->nodes, (gpointer)node->peer.name, node);
  g_hash_table_replace (peers->by_object, node->object_name, node);
}

/* The list of all nodes is not known yet.  The object is one of another kind, so that its
 * revision is not that of the node's object. */
static void
on_region_entry (const DlObject *object, void *data)
{
  DlObject entry = *object;

  entry.revision = 0;
  on_object (&entry, data);
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

/* NODE has timed out.  If it is an entry of this region, one of the others there deletes
 * it from the region's list. */
static void
forget_entry (DlPeers *peers, const Node *node)
{
  if (peers->entry_registration != NULL && !peers->is_relisting
      && dl_peers_is_entry_of (node, peers->options.settings->region)
      && dl_peers_position_registered (peers) == 0)
    dl_record_delete (peers->options.store, peers, peers->options.entries_kind,
                      node->object_name);
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
      forget_entry (peers, node);
      if (node->revision == 0)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (peers->options.role != DAISYLOFT__WIRE__ROLE__ROLE_ENTRY || peers->is_relisting)
        continue;
      dl_log (DL_EVENT_NODE_FORGOTTEN, DL_TEXT ("node", node->peer.name));
      dl_object_delete (peers->options.store, peers, peers->options.kind,
                        node->object_name, node->revision, ignore_result, peers);
      if (peers->options.on_expired != NULL)
        peers->options.on_expired (&node->peer, peers->options.data);
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

void
dl_peers_foreach_registered (const DlPeers *peers,
                             Daisyloft__Wire__Role role,
                             void (*func) (const DlPeer *peer, void *data),
                             void *data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DlPeer *p = value;

      if (p->role == role)
        func (p, data);
    }
}

/* -------- creating and freeing -------- */

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
  g_hash_table_destroy (peers->by_object);
  return 0;
}

static void
free_node (gpointer data)
{
  talloc_free (data);
}

static void
name_object (DlPeers *peers)
{
  const DlNodeSettings *s = peers->options.settings;
  bool is_entry = peers->options.role == DAISYLOFT__WIRE__ROLE__ROLE_ENTRY;

  peers->object_name
      = talloc_asprintf (peers, "%s.%d.%s", s->region, is_entry ? 0 : 1, s->name);
}

static void
read_region_entries (DlPeers *peers)
{
  peers->region_entries = dl_region_entries_new (
      peers->task, peers,
      &(DlRegionEntriesOptions){
          .store = peers->options.store,
          .kind = peers->options.entries_kind,
          .first_delay_ms = peers->options.settings->bootstrap ? BOOTSTRAP_DELAY_MS : 0,
          .on_entry = on_region_entry,
          .data = peers,
      });
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
  peers->created_ms = dl_clock_ms ();
  peers->loop = dl_kernel_loop (dl_task_kernel (task));
  peers->incarnation = dl_kernel_incarnation (dl_task_kernel (task));
  name_object (peers);
  peers->nodes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_node);
  peers->by_object = g_hash_table_new (g_str_hash, g_str_equal);
  if (options->role == DAISYLOFT__WIRE__ROLE__ROLE_ENTRY)
    {
      peers->entry_count = 1;
      peers->relay = dl_status_relay_new (task, peers);
    }
  ev_io_init (&peers->watcher, dl_peers_on_readable, fd, EV_READ);
  peers->watcher.data = peers;
  ev_io_start (peers->loop, &peers->watcher);
  talloc_set_destructor (peers, peers_destroy);
  register_self (peers);
  read_region_entries (peers);
  if (options->source != NULL)
    dl_relay_source_set_peers (options->source, peers);
  peers->watch
      = dl_object_watch_new (task, peers, options->store,
                             &(DlObjectWatchOptions){
                                 .kind = options->kind,
                                 .first_delay_ms
                                 = options->settings->bootstrap ? BOOTSTRAP_DELAY_MS : 0,
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
  dl_timer_subscribe (task, peers, EXPIRY_CHECK_MS, EXPIRY_CHECK_MS, on_expiry_check,
                      peers);
  *result = peers;
  return 0;
}
