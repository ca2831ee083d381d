/*
 * Forwards data over the connections of the relay task.
 *
 * Each link records the members, settings, directive and objects that its peer was sent.
 * A send that fails leaves the record unchanged, so that the next push tries again.
 */
#include <string.h>
#include <talloc.h>

#include "kernel/log.h"
#include "relay.h"
#include "snapshot.h"

/* Minimum time between two sends of objects to a peer when only status objects changed.
 */
#define STATUS_PUSH_MS 2000

static const DlStr no_payload = { 0 };

static void
push_members (Link *link)
{
  const Relay *r = link->relay;
  Daisyloft__Wire__Members *wire;
  DlEnvelope envelope;

  if (r->members == NULL || link->members_generation == r->members_generation)
    return;
  wire = dl_members_to_wire (NULL, r->members->members.members);
  envelope = DL_ENVELOPE (MEMBERS, members, wire);
  if (dl_conn_send (link->conn, &envelope, no_payload) == 0)
    link->members_generation = r->members_generation;
  talloc_free (wire);
}

static uint32_t
wire_store_age (const Relay *r)
{
  uint64_t age = relay_store_age_ms (r);

  return age < UINT32_MAX ? (uint32_t)age : UINT32_MAX;
}

static void
push_fleet (Link *link)
{
  const Relay *r = link->relay;
  Daisyloft__Wire__FleetSettings wire = DAISYLOFT__WIRE__FLEET_SETTINGS__INIT;
  DlEnvelope envelope = DL_ENVELOPE (FLEET_SETTINGS, fleet_settings, &wire);

  if (r->fleet == NULL || link->fleet_revision == r->fleet->fleet.revision)
    return;
  wire.revision = r->fleet->fleet.revision;
  wire.store_age_ms = wire_store_age (r);
  if (dl_conn_send (link->conn, &envelope, r->fleet->fleet.text) == 0)
    link->fleet_revision = wire.revision;
}

/* -------- directives -------- */

static const DlFleet *
current_fleet (const Relay *r)
{
  return r->fleet != NULL ? r->fleet->fleet.fleet : NULL;
}

/* The targets make up most of a directive and seldom change, so they are sent again only
 * when they differ from the last ones sent on the connection. */
static int
send_directive (Link *link, HostDirective *out)
{
  Daisyloft__Wire__Directive wire = out->wire;
  DlEnvelope envelope = DL_ENVELOPE (DIRECTIVE, directive, &wire);
  int error;

  if (wire.targets_hash == link->targets_hash)
    wire.n_targets = 0;
  error = dl_conn_send (link->conn, &envelope, no_payload);
  if (error == 0 && wire.targets_hash != 0)
    link->targets_hash = wire.targets_hash;
  return error;
}

void
relay_push_rollout_end (Link *link, const char *rollout)
{
  const Relay *r = link->relay;
  HostDirective out;
  void *scratch;

  if (r->directives == NULL || rollout[0] == '\0'
      || g_strcmp0 (rollout, link->directive_rollout) == 0)
    return;
  scratch = talloc_new (NULL);
  directive_for_rollout (scratch, r->directives, current_fleet (r), link->name, rollout,
                         &out);
  switch (out.wire.state)
    {
    case DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_CALLED_OFF:
    case DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_REPLACED:
    case DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_FAILED:
      send_directive (link, &out);
      TALLOC_FREE (link->directive_key); /* so that the current directive is sent again */
      break;
    default:
      break;
    }
  talloc_free (scratch);
}

/* Before a slot gets the directive of the rollout NEXT, tells it if the rollout of its
 * last directive has been called off, replaced or failed. */
static void
push_previous_end (Link *link, const char *next)
{
  char *previous = link->directive_rollout;

  if (previous == NULL || previous[0] == '\0' || strcmp (previous, next) == 0)
    return;
  link->directive_rollout = NULL;
  relay_push_rollout_end (link, previous);
  talloc_free (previous);
}

static void
push_directive (Link *link)
{
  const Relay *r = link->relay;
  void *scratch = talloc_new (NULL);
  HostDirective out;

  directive_for_host (scratch, r->directives, current_fleet (r), link->name, &out);
  if (g_strcmp0 (out.key, link->directive_key) != 0)
    {
      push_previous_end (link, out.wire.rollout);
      if (send_directive (link, &out) == 0)
        {
          talloc_free (link->directive_key);
          link->directive_key = talloc_steal (link, out.key);
          talloc_free (link->directive_rollout);
          link->directive_rollout = talloc_strdup (link, out.wire.rollout);
        }
    }
  talloc_free (scratch);
}

/* -------- objects -------- */

static bool
is_only_status (json_object *list)
{
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *kind;

      json_object_object_get_ex (json_object_array_get_idx (list, i), "kind", &kind);
      if (strcmp (json_object_get_string (kind), ENTRY_KIND_STATUS) != 0)
        return false;
    }
  return true;
}

static void
send_objects (Link *link, json_object *list)
{
  Relay *r = link->relay;
  Daisyloft__Wire__Objects wire = DAISYLOFT__WIRE__OBJECTS__INIT;
  DlEnvelope envelope = DL_ENVELOPE (OBJECTS, objects, &wire);
  const EntrySnapshot *old
      = link->sent_snapshot != NULL ? link->sent_snapshot->snapshot.snapshot : NULL;

  wire.after = old != NULL ? old->revision : 0;
  wire.revision = r->snapshot->snapshot.snapshot->revision;
  if (dl_conn_send (link->conn, &envelope,
                    dl_str (
                        json_object_to_json_string_ext (list, JSON_C_TO_STRING_PLAIN)))
      < 0)
    return;
  if (link->sent_snapshot != NULL)
    dl_message_unref (link->sent_snapshot);
  link->sent_snapshot = dl_message_ref (r->snapshot);
  link->status_sent_ms = dl_clock_ms ();
}

static void
push_objects (Link *link)
{
  const Relay *r = link->relay;
  const EntrySnapshot *old
      = link->sent_snapshot != NULL ? link->sent_snapshot->snapshot.snapshot : NULL;
  json_object *list;

  if (!link->wants_objects || r->snapshot == NULL || link->sent_snapshot == r->snapshot)
    return;
  list = snapshot_difference (old, r->snapshot->snapshot.snapshot);
  if (old == NULL || !is_only_status (list)
      || dl_clock_ms () - link->status_sent_ms >= STATUS_PUSH_MS)
    send_objects (link, list);
  json_object_put (list);
}

/* -------- all of it -------- */

void
relay_push (Link *link)
{
  if (!link->open)
    return;
  push_members (link);
  push_fleet (link);
  switch (link->role)
    {
    case DAISYLOFT__WIRE__ROLE__ROLE_SLOT:
      if (link->relay->directives != NULL)
        push_directive (link);
      break;
    case DAISYLOFT__WIRE__ROLE__ROLE_ENTRY:
      push_objects (link);
      break;
    default:
      break;
    }
}

void
relay_push_all (Relay *relay)
{
  for (guint i = 0; i < relay->links->len; i++)
    relay_push (g_ptr_array_index (relay->links, i));
}

/* -------- heartbeats -------- */

static void
push_freshness (Link *link)
{
  const Relay *r = link->relay;
  Daisyloft__Wire__Freshness wire = DAISYLOFT__WIRE__FRESHNESS__INIT;
  DlEnvelope envelope = DL_ENVELOPE (FRESHNESS, freshness, &wire);

  wire.settings_revision = r->fleet != NULL ? r->fleet->fleet.revision : 0;
  wire.objects_revision
      = r->snapshot != NULL ? r->snapshot->snapshot.snapshot->revision : 0;
  wire.store_age_ms = wire_store_age (r);
  wire.reaches_store = r->reaches_store;
  dl_conn_send (link->conn, &envelope, no_payload);
}

static void
push_entry_status (Link *link)
{
  const Relay *r = link->relay;
  const EntrySettings *settings = entry_settings (r->task);
  Daisyloft__Wire__EntryStatus wire = DAISYLOFT__WIRE__ENTRY_STATUS__INIT;
  DlEnvelope envelope = DL_ENVELOPE (ENTRY_STATUS, entry_status, &wire);

  wire.host = (char *)settings->name;
  wire.region = (char *)settings->region;
  wire.data_center = (char *)settings->data_center;
  wire.settings_revision = r->fleet != NULL ? r->fleet->fleet.revision : 0;
  wire.leaving = r->leaving;
  wire.requests_running = r->requests_running;
  dl_conn_send (link->conn, &envelope, no_payload);
}

/* Requests objects from the peer if WANTED, else withdraws the request. */
static void
push_objects_want (Link *link, bool wanted)
{
  const Relay *r = link->relay;
  Daisyloft__Wire__ObjectsWant wire = DAISYLOFT__WIRE__OBJECTS_WANT__INIT;
  DlEnvelope envelope = DL_ENVELOPE (OBJECTS_WANT, objects_want, &wire);

  if (link->requested_objects == wanted)
    return;
  wire.wanted = wanted;
  wire.after = r->snapshot != NULL ? r->snapshot->snapshot.snapshot->revision : 0;
  if (dl_conn_send (link->conn, &envelope, no_payload) == 0)
    link->requested_objects = wanted;
}

void
relay_push_heartbeat (Relay *relay)
{
  bool wanted = !relay->reaches_store;

  for (guint i = 0; i < relay->links->len; i++)
    {
      Link *link = g_ptr_array_index (relay->links, i);

      if (!link->open || link->role != DAISYLOFT__WIRE__ROLE__ROLE_ENTRY)
        continue;
      push_freshness (link);
      if (link->address != NULL || relay->leaving)
        push_entry_status (link);
      if (link->address == NULL)
        continue;
      push_objects_want (link, wanted);
      wanted = false; /* one source is enough */
    }
}
