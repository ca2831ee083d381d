/*
 * The relay task: a framed listener, and connections to other relays.
 *
 * It forwards members, settings and directives to the slots that connect to it, and
 * members, settings and objects to entries, and collects their reports.
 */
#include "relay.h"

#include <string.h>
#include <talloc.h>

#include "kernel/log.h"
#include "kernel/metrics.h"

#define CONNECTIONS_MAX 4000
#define TICK_MS         250
#define HEARTBEAT_MS    1000
/* Time given to the announcement that this entry is leaving, before the task ends. */
#define LEAVING_MS 1000
/* An outgoing link counts as open only while its last frame is no older than this. */
#define LINK_IDLE_MS 3000

DL_METRIC (metric_links,
           DL_METRIC_GAUGE,
           "daisy_relay_links",
           "Open relay connections with slots and other entries.")

/* -------- links -------- */

static int
link_destroy (Link *link)
{
  if (link->sent_snapshot != NULL)
    dl_message_unref (link->sent_snapshot);
  return 0;
}

Link *
relay_link_new (Relay *relay, DlConn *conn, const char *address)
{
  Link *link = talloc_zero (relay, Link);

  g_assert (link != NULL);
  link->relay = relay;
  link->conn = conn;
  link->address = address != NULL ? talloc_strdup (link, address) : NULL;
  talloc_set_destructor (link, link_destroy);
  g_ptr_array_add (relay->links, link);
  return link;
}

void
relay_link_free (Link *link)
{
  if (link->open)
    dl_metric_add (&metric_links, -1);
  g_ptr_array_remove (link->relay->links, link);
  talloc_free (link);
}

Link *
relay_link_find (const Relay *relay, const char *name)
{
  for (guint i = 0; i < relay->links->len; i++)
    {
      Link *link = g_ptr_array_index (relay->links, i);

      if (link->open && strcmp (link->name, name) == 0)
        return link;
    }
  return NULL;
}

uint64_t
relay_store_age_ms (const Relay *relay)
{
  return relay->store_contact_ms > 0 ? dl_clock_ms () - relay->store_contact_ms
                                     : UINT64_MAX;
}

/* -------- frames -------- */

static void
receive_fleet (Link *link, const Daisyloft__Wire__FleetSettings *wire, DlStr payload)
{
  ControlMessage *m = control_message_new (CONTROL_PEER_FLEET);

  m->fleet.revision = wire->revision;
  m->fleet.text = dl_str_dup (m, payload);
  /* Do not send the peer its own settings back. */
  if (wire->revision > link->fleet_revision)
    link->fleet_revision = wire->revision;
  dl_kernel_publish (dl_task_kernel (link->relay->task), m);
}

static void
receive_members (Link *link, const Daisyloft__Wire__Members *wire)
{
  ControlMessage *m = control_message_new (CONTROL_PEER_MEMBERS);

  if (dl_members_from_wire (m, wire, &m->members.members) < 0)
    {
      dl_log (DL_EVENT_RELAY_MALFORMED, DL_TEXT ("what", "members"),
              DL_TEXT ("peer", link->name));
      dl_message_unref (m);
      return;
    }
  dl_kernel_publish (dl_task_kernel (link->relay->task), m);
}

static void
receive_objects (Link *link, const Daisyloft__Wire__Objects *wire, DlStr payload)
{
  ControlMessage *m = control_message_new (CONTROL_PEER_OBJECTS);

  m->objects.after = wire->after;
  m->objects.revision = wire->revision;
  m->objects.text = dl_str_dup (m, payload);
  dl_kernel_publish (dl_task_kernel (link->relay->task), m);
}

static void
receive_freshness (Link *link, const Daisyloft__Wire__Freshness *wire)
{
  ControlMessage *m = control_message_new (CONTROL_PEER_FRESHNESS);

  m->freshness.store_age_ms
      = wire->store_age_ms < UINT32_MAX ? wire->store_age_ms : UINT64_MAX;
  dl_kernel_publish (dl_task_kernel (link->relay->task), m);
}

static void
receive_objects_want (Link *link, const Daisyloft__Wire__ObjectsWant *wire)
{
  EntryMessage *snapshot = link->relay->snapshot;

  link->wants_objects = wire->wanted;
  if (link->sent_snapshot != NULL)
    dl_message_unref (link->sent_snapshot);
  link->sent_snapshot = NULL;
  if (wire->wanted && snapshot != NULL
      && snapshot->snapshot.snapshot->revision == wire->after)
    link->sent_snapshot = dl_message_ref (snapshot);
  relay_push (link);
}

static void
receive_slot_status (Link *link, const Daisyloft__Wire__SlotStatus *wire)
{
  if (strcmp (wire->host, link->name) != 0)
    return;
  status_table_update_slot (link->relay->status_table, wire);
  relay_push_rollout_end (link, wire->rollout);
  relay_push (link);
}

static int
entry_status_destroy (EntryMessage *m)
{
  daisyloft__wire__entry_status__free_unpacked (
      (Daisyloft__Wire__EntryStatus *)m->entry_status.status, NULL);
  return 0;
}

static void
publish_entry_status (Relay *relay, const Daisyloft__Wire__EntryStatus *wire)
{
  EntryMessage *m = dl_message_new (ENTRY_ENTRY_STATUS, sizeof *m);
  size_t size = daisyloft__wire__entry_status__get_packed_size (wire);
  uint8_t *packed = talloc_size (NULL, size + 1);

  daisyloft__wire__entry_status__pack (wire, packed);
  m->entry_status.status = daisyloft__wire__entry_status__unpack (NULL, size, packed);
  talloc_free (packed);
  talloc_set_destructor (m, entry_status_destroy);
  dl_kernel_publish (dl_task_kernel (relay->task), m);
}

static void
receive_entry_status (Link *link, const Daisyloft__Wire__EntryStatus *wire)
{
  status_table_update_entry (link->relay->status_table, wire);
  publish_entry_status (link->relay, wire);
}

static void
on_link_frame (DlConn *conn, const DlEnvelope *envelope, DlStr payload, void *data)
{
  Link *link = data;

  link->received_ms = dl_clock_ms ();
  switch (envelope->body_case)
    {
    case DAISYLOFT__WIRE__ENVELOPE__BODY_MEMBERS:
      receive_members (link, envelope->members);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_FLEET_SETTINGS:
      receive_fleet (link, envelope->fleet_settings, payload);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_FRESHNESS:
      receive_freshness (link, envelope->freshness);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_OBJECTS_WANT:
      receive_objects_want (link, envelope->objects_want);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_OBJECTS:
      receive_objects (link, envelope->objects, payload);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_SLOT_STATUS:
      receive_slot_status (link, envelope->slot_status);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_ENTRY_STATUS:
      receive_entry_status (link, envelope->entry_status);
      break;
    default:
      break;
    }
}

/* -------- opening and closing -------- */

static void
link_opened (Link *link, Daisyloft__Wire__Role role)
{
  link->name = talloc_strdup (link, dl_conn_peer (link->conn)->name);
  link->role = role;
  link->open = true;
  link->received_ms = dl_clock_ms ();
  dl_metric_add (&metric_links, 1);
  relay_push (link);
}

static void
on_link_open (DlConn *conn, void *data)
{
  link_opened (data, DAISYLOFT__WIRE__ROLE__ROLE_ENTRY);
}

static void
on_link_closed (DlConn *conn, int error, void *data)
{
  relay_link_free (data); /* frees CONN too */
}

const DlConnHandler relay_link_handler = {
  .on_open = on_link_open,
  .on_frame = on_link_frame,
  .on_closed = on_link_closed,
};

static void
on_accept (DlConn *conn, void *data)
{
  Relay *relay = data;
  const DlPeer *peer = dl_conn_peer (conn);
  Link *link;

  if (peer->purpose != DAISYLOFT__WIRE__PURPOSE__PURPOSE_RELAY)
    return;
  link = relay_link_new (relay, conn, NULL);
  dl_conn_set_owner (conn, link);
  dl_conn_set_handler (conn, &relay_link_handler, link);
  link_opened (link, peer->role);
}

/* -------- ticks -------- */

static void
count_open_links (Relay *relay)
{
  ControlMessage *m;
  size_t open = 0;

  for (guint i = 0; i < relay->links->len; i++)
    {
      const Link *link = g_ptr_array_index (relay->links, i);

      if (link->address != NULL && link->open
          && dl_clock_ms () - link->received_ms <= LINK_IDLE_MS)
        open++;
    }
  if (open == relay->open_links)
    return;
  relay->open_links = open;
  m = control_message_new (CONTROL_LINKS);
  m->links.open = open;
  dl_kernel_publish (dl_task_kernel (relay->task), m);
}

static void
on_tick (DlTimer *timer, void *data)
{
  Relay *relay = data;

  count_open_links (relay);
  relay_push_all (relay); /* retry failed sends, and send delayed status */
  status_table_tick (relay->status_table);
}

static void
on_heartbeat (DlTimer *timer, void *data)
{
  Relay *relay = data;

  relay_links_update (relay);
  relay_push_heartbeat (relay);
}

/* -------- messages -------- */

/* Replaces the message referenced by *HELD. */
static void
replace_message (EntryMessage **held, const DlMessage *message)
{
  if (*held != NULL)
    dl_message_unref (*held);
  *held = dl_message_ref ((void *)message);
}

static void
set_snapshot (Relay *relay, const DlMessage *message)
{
  const EntrySnapshot *snapshot;

  replace_message (&relay->snapshot, message);
  snapshot = relay->snapshot->snapshot.snapshot;
  if (relay->directives == NULL
      || !directive_table_is_current (relay->directives, snapshot))
    {
      talloc_free (relay->directives);
      relay->directives = directive_table_new (relay, snapshot);
    }
}

static void
set_contact (Relay *relay, const EntryMessage *m)
{
  uint64_t age = m->contact.store_age_ms;

  relay->store_contact_ms = age != UINT64_MAX ? dl_clock_ms () - age : 0;
}

static void
relay_handle (DlTask *task, const DlMessage *message)
{
  Relay *relay = dl_task_state (task);

  switch (message->type)
    {
    case ENTRY_SNAPSHOT:
      set_snapshot (relay, message);
      break;
    case ENTRY_FLEET:
      replace_message (&relay->fleet, message);
      status_table_self_changed (relay->status_table);
      break;
    case ENTRY_MEMBERS:
      replace_message (&relay->members, message);
      relay->members_generation++;
      status_table_members_changed (relay->status_table);
      relay_links_update (relay);
      break;
    case ENTRY_CONTACT:
      set_contact (relay, (const EntryMessage *)message);
      return;
    case ENTRY_LOAD:
      relay->requests_running = ((const EntryMessage *)message)->load.running;
      return;
    case CONTROL_STORE:
      relay->reaches_store = ((const ControlMessage *)message)->store.direct;
      return;
    default:
      return;
    }
  relay_push_all (relay);
}

/* -------- start and stop -------- */

static int
relay_destroy (Relay *relay)
{
  if (relay->snapshot != NULL)
    dl_message_unref (relay->snapshot);
  if (relay->fleet != NULL)
    dl_message_unref (relay->fleet);
  if (relay->members != NULL)
    dl_message_unref (relay->members);
  g_ptr_array_free (relay->links, TRUE);
  return 0;
}

static int
relay_start (DlTask *task)
{
  const EntrySettings *settings = entry_settings (task);
  Relay *relay = talloc_zero (NULL, Relay);
  int error;

  g_assert (relay != NULL);
  relay->task = task;
  relay->links = g_ptr_array_new ();
  talloc_set_destructor (relay, relay_destroy);
  dl_task_set_state (task, relay);
  relay->status_table = status_table_new (relay);
  error = dl_listener_new (task, relay, dl_str (settings->listen), entry_identity (task),
                           CONNECTIONS_MAX, on_accept, relay, &relay->listener);
  if (error < 0)
    return error;
  dl_timer_subscribe (task, relay, TICK_MS, TICK_MS, on_tick, relay);
  dl_timer_subscribe (task, relay, 0, HEARTBEAT_MS, on_heartbeat, relay);
  return 0;
}

static void
on_leaving_announced (DlTimer *timer, void *data)
{
  dl_task_drained (data);
}

static void
relay_drain (DlTask *task)
{
  Relay *relay = dl_task_state (task);

  relay->leaving = true;
  relay_push_heartbeat (relay);
  dl_timer_subscribe (task, relay, LEAVING_MS, 0, on_leaving_announced, task);
}

static json_object *
link_dump (const Link *link)
{
  json_object *dump = json_object_new_object ();

  json_object_object_add (dump, "name",
                          json_object_new_string (link->name ? link->name : ""));
  json_object_object_add (dump, "address",
                          json_object_new_string (link->address ? link->address : ""));
  json_object_object_add (dump, "open", json_object_new_boolean (link->open));
  json_object_object_add (dump, "directive",
                          json_object_new_string (
                              link->directive_key ? link->directive_key : ""));
  return dump;
}

static json_object *
relay_dump (DlTask *task)
{
  const Relay *relay = dl_task_state (task);
  json_object *dump = json_object_new_object ();
  json_object *links = json_object_new_array ();

  for (guint i = 0; i < relay->links->len; i++)
    json_object_array_add (links, link_dump (g_ptr_array_index (relay->links, i)));
  json_object_object_add (dump, "links", links);
  json_object_object_add (dump, "status", status_table_dump (relay->status_table));
  return dump;
}

static DlPlugin relay_plugin = {
  .name = "relay",
  .order = 30,
  .subscriptions = ENTRY_SUBSCRIBE (ENTRY_SNAPSHOT) | ENTRY_SUBSCRIBE (ENTRY_FLEET)
                   | ENTRY_SUBSCRIBE (ENTRY_MEMBERS) | ENTRY_SUBSCRIBE (ENTRY_CONTACT)
                   | ENTRY_SUBSCRIBE (ENTRY_LOAD) | ENTRY_SUBSCRIBE (CONTROL_STORE),
  .start = relay_start,
  .handle = relay_handle,
  .drain = relay_drain,
  .dump = relay_dump,
};
DL_PLUGIN_REGISTER (relay_plugin)
