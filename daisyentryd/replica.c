/*
 * Keeps a replica of the platform's objects, by a long-poll watch on the platform or from
 * what a relay forwards.
 *
 * It publishes immutable snapshots, the fleet settings in effect, and whether this entry
 * is in contact.  Revisions only increase: older data from the platform or a peer is
 * ignored.
 */
#include <glib.h>
#include <talloc.h>

#include "control.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/revision.h"
#include "snapshot.h"

/* The platform responds to a watch after this long even if nothing changed, so that a
 * missing response shows that it is unreachable. */
#define WATCH_WAIT_MS 2000
/* Minimum time from the start of one call to the next; limits the rate of calls while the
 * store changes often. */
#define CALL_INTERVAL_MS 200
#define RETRY_MIN_MS     250
#define RETRY_SPREAD_MS  500
#define CONTACT_TICK_MS  500
/* Without a response from the platform for this long, the relay task asks a peer for
 * objects. */
#define STORE_TIMEOUT_MS 3000

DL_METRIC (metric_revision,
           DL_METRIC_GAUGE,
           "daisy_settings_revision",
           "Revision of the fleet settings in effect.")
DL_METRIC (metric_snapshot,
           DL_METRIC_GAUGE,
           "daisy_snapshot_revision",
           "Revision of the newest snapshot of the platform's objects.")
DL_METRIC (metric_stale,
           DL_METRIC_COUNTER,
           "daisy_stale_answers_total",
           "Responses of the platform ignored because their revision was older than one "
           "received before.")
DL_METRIC (metric_contact,
           DL_METRIC_GAUGE,
           "daisy_in_contact",
           "1 while in contact, so that new requests may be admitted; else 0.")

typedef struct
{
  DlTask *task;
  DlObjectClient *client;
  void *call; /* owner of the call in progress */
  DlTimer *next;
  bool watching;  /* this entry reads from the platform itself */
  bool reachable; /* the platform responded to the last call */
  bool stale;     /* its last response was ignored for an older revision */
  uint64_t call_started_ms;
  uint64_t after;         /* revision to watch from; 0: list all objects first */
  EntryMessage *snapshot; /* referenced; NULL before the first */
  EntryMessage *fleet;    /* referenced; NULL before the first */
  EntryMessage *members;  /* referenced; NULL before the first */
  size_t open_links;      /* from the last LINKS message */
  DlSettingsRevision settings;
  DlContact contact;
  DlContactStatus contact_status;
} Replica;

static void start_call (DlTimer *timer, void *data);

/* -------- settings -------- */

/* Applies and publishes the fleet settings TEXT if they are newer than those in effect
 * and valid. */
static void
offer_settings (Replica *r, uint64_t revision, const char *text)
{
  EntryMessage *m;
  DlFleet *fleet = NULL;
  char *error = NULL;
  int status;

  if (!dl_settings_is_newer (&r->settings, revision))
    return;
  m = dl_message_new (ENTRY_FLEET, sizeof *m);
  status = dl_fleet_parse (m, "settings/fleet", dl_str (text), &fleet, &error);
  if (dl_settings_offer (&r->settings, revision, status == 0) != DL_SETTINGS_APPLY)
    {
      dl_log (DL_EVENT_SETTINGS_INVALID, DL_UINT ("revision", revision),
              DL_TEXT ("reason", error));
      dl_message_unref (m);
      return;
    }
  m->fleet.revision = revision;
  m->fleet.fleet = fleet;
  m->fleet.text = dl_str (talloc_strdup (m, text));
  if (r->fleet != NULL)
    dl_message_unref (r->fleet);
  r->fleet = dl_message_ref (m);
  dl_metric_set (&metric_revision, (int64_t)revision);
  dl_log (DL_EVENT_SETTINGS_APPLIED, DL_UINT ("revision", revision));
  dl_kernel_publish (dl_task_kernel (r->task), m);
}

/* -------- snapshots -------- */

static void
offer_settings_object (Replica *r, const EntrySnapshot *snapshot)
{
  const DlObject *o = entry_snapshot_find (snapshot, DL_FLEET_KIND, DL_FLEET_NAME);

  if (o != NULL && dl_settings_is_newer (&r->settings, o->revision))
    offer_settings (r, o->revision,
                    json_object_to_json_string_ext (o->value, JSON_C_TO_STRING_PLAIN));
}

/* Publishes M with SNAPSHOT, a talloc child of M.  Takes over the reference to M. */
static void
publish_snapshot (Replica *r, EntryMessage *m, const EntrySnapshot *snapshot)
{
  m->snapshot.snapshot = snapshot;
  if (r->snapshot != NULL)
    dl_message_unref (r->snapshot);
  r->snapshot = dl_message_ref (m);
  dl_metric_set (&metric_snapshot, (int64_t)snapshot->revision);
  offer_settings_object (r, snapshot);
  dl_kernel_publish (dl_task_kernel (r->task), m);
}

static uint64_t
snapshot_revision (const Replica *r)
{
  return r->snapshot != NULL ? r->snapshot->snapshot.snapshot->revision : 0;
}

/* Replaces the snapshot by one of all objects at REVISION, if that is newer. */
static void
apply_list (Replica *r, uint64_t revision, SnapshotChanges *changes)
{
  EntryMessage *m;

  if (r->snapshot != NULL && revision <= snapshot_revision (r))
    return;
  m = dl_message_new (ENTRY_SNAPSHOT, sizeof *m);
  publish_snapshot (r, m, snapshot_new (m, revision, changes));
}

/* Applies the changes up to REVISION to the snapshot.  CHANGES must start no later than
 * at the revision of the snapshot. */
static void
apply_changes (Replica *r, uint64_t revision, SnapshotChanges *changes)
{
  EntryMessage *m;
  EntrySnapshot *snapshot;

  if (changes->count == 0 || revision <= snapshot_revision (r))
    return;
  m = dl_message_new (ENTRY_SNAPSHOT, sizeof *m);
  snapshot = snapshot_apply (m, r->snapshot->snapshot.snapshot, revision, changes);
  if (snapshot != NULL)
    publish_snapshot (r, m, snapshot);
  else
    dl_message_unref (m);
}

/* -------- calls to the platform -------- */

static void
set_reachable (Replica *r, bool reachable, int error)
{
  if (r->reachable == reachable)
    return;
  r->reachable = reachable;
  if (reachable)
    dl_log (DL_EVENT_PLATFORM_FOUND);
  else
    dl_log (DL_EVENT_PLATFORM_LOST, DL_ERRNO (error));
}

static void
ignore_stale (Replica *r, uint64_t revision)
{
  dl_metric_add (&metric_stale, 1);
  if (!r->stale)
    dl_log (DL_EVENT_SNAPSHOT_STALE, DL_UINT ("revision", revision),
            DL_UINT ("held", r->after));
  r->stale = true;
}

static void
handle_response (Replica *r, const DlObjectResult *result)
{
  SnapshotChanges changes = { .count = result->count, .objects = result->objects };
  bool complete = r->after == 0;

  if (result->revision < r->after || result->revision < snapshot_revision (r))
    {
      ignore_stale (r, result->revision);
      return;
    }
  r->stale = false;
  r->contact.knows_settings = true;
  dl_contact_record_store (&r->contact, dl_clock_ms ());
  if (complete)
    apply_list (r, result->revision, &changes);
  else
    apply_changes (r, result->revision, &changes);
  r->after = result->revision;
}

static uint64_t
retry_delay_ms (const DlObjectResult *result)
{
  uint64_t spread = (uint64_t)g_random_int_range (0, RETRY_SPREAD_MS);

  return MAX (result->retry_after_ms, RETRY_MIN_MS) + spread;
}

static void
on_response (const DlObjectResult *result, void *data)
{
  Replica *r = data;
  uint64_t elapsed = dl_clock_ms () - r->call_started_ms;
  uint64_t delay = elapsed < CALL_INTERVAL_MS ? CALL_INTERVAL_MS - elapsed : 0;

  if (result->error == 0)
    handle_response (r, result);
  else if (result->error == DL_ERR_GONE)
    r->after = 0;
  else
    delay = retry_delay_ms (result);
  if (r->stale)
    delay = MAX (delay, RETRY_MIN_MS);
  set_reachable (r, result->error == 0 || result->error == DL_ERR_GONE, result->error);
  dl_timer_restart (r->next, delay);
}

/* Starts the next call.  It frees the previous one, and so must not be called from that
 * one's callback. */
static void
start_call (DlTimer *timer, void *data)
{
  Replica *r = data;

  TALLOC_FREE (r->call);
  if (!r->watching)
    return;
  r->call = talloc_new (r);
  r->call_started_ms = dl_clock_ms ();
  if (r->after == 0)
    dl_object_list (r->client, r->call, ENTRY_SNAPSHOT_KINDS, on_response, r);
  else
    dl_object_watch (r->client, r->call, ENTRY_SNAPSHOT_KINDS, r->after, WATCH_WAIT_MS,
                     on_response, r);
}

static void
update_watching (Replica *r)
{
  const DlMembers *members = r->members != NULL ? r->members->members.members : NULL;
  bool watching = control_reads_platform (r->task, members, r->open_links);

  if (watching == r->watching)
    return;
  r->watching = watching;
  /* The snapshot may have been updated by peers meanwhile; watch from its revision. */
  r->after = snapshot_revision (r);
  dl_timer_restart (r->next, 0);
}

/* -------- contact -------- */

/* Returns true when the platform has responded to this entry itself recently. */
static bool
store_responds (const Replica *r)
{
  return r->watching && r->contact.store_contact_ms > 0
         && dl_clock_ms () - r->contact.store_contact_ms <= STORE_TIMEOUT_MS;
}

static void
on_contact_tick (DlTimer *timer, void *data)
{
  Replica *r = data;
  DlContactStatus status = dl_contact_evaluate (&r->contact, dl_clock_ms ());
  EntryMessage *m = dl_message_new (ENTRY_CONTACT, sizeof *m);
  ControlMessage *store = control_message_new (CONTROL_STORE);

  if (status.in_contact != r->contact_status.in_contact)
    {
      if (status.in_contact)
        dl_log (DL_EVENT_CONTACT_FOUND, DL_UINT ("store_age_ms", status.store_age_ms));
      else
        dl_log (DL_EVENT_CONTACT_LOST, DL_UINT ("store_age_ms", status.store_age_ms));
    }
  r->contact_status = status;
  dl_metric_set (&metric_contact, status.in_contact);
  m->contact.in_contact = status.in_contact;
  m->contact.platform_reachable = status.platform_reachable;
  m->contact.store_age_ms = status.store_age_ms;
  dl_kernel_publish (dl_task_kernel (r->task), m);
  store->store.direct = store_responds (r);
  dl_kernel_publish (dl_task_kernel (r->task), store);
}

static bool
has_other_entries (const DlMembers *members, const char *name)
{
  for (size_t i = 0; i < members->count; i++)
    if (members->members[i].role == DAISYLOFT__WIRE__ROLE__ROLE_ENTRY
        && g_strcmp0 (members->members[i].name, name) != 0)
      return true;
  return false;
}

/* -------- messages -------- */

static void
set_members (Replica *r, const DlMessage *message)
{
  if (r->members != NULL)
    dl_message_unref (r->members);
  r->members = dl_message_ref ((void *)message);
  r->contact.has_peers
      = has_other_entries (r->members->members.members, entry_settings (r->task)->name);
  update_watching (r);
}

static void
apply_peer_objects (Replica *r, const ControlMessage *m)
{
  SnapshotChanges changes;
  json_object *list = json_tokener_parse (m->objects.text);
  void *scratch = talloc_new (r);
  bool complete = m->objects.after == 0;

  if (list == NULL || snapshot_changes_from_json (scratch, list, &changes) < 0)
    dl_log (DL_EVENT_RELAY_MALFORMED, DL_TEXT ("what", "objects"));
  else if (complete)
    apply_list (r, m->objects.revision, &changes);
  else if (r->snapshot != NULL && m->objects.after <= snapshot_revision (r))
    apply_changes (r, m->objects.revision, &changes);
  talloc_free (scratch);
  json_object_put (list);
}

static void
replica_handle (DlTask *task, const DlMessage *message)
{
  Replica *r = dl_task_state (task);
  const ControlMessage *m = (const ControlMessage *)message;

  switch (message->type)
    {
    case ENTRY_MEMBERS:
      set_members (r, message);
      break;
    case CONTROL_PEER_FLEET:
      r->contact.knows_settings = true;
      offer_settings (r, m->fleet.revision, m->fleet.text);
      break;
    case CONTROL_PEER_OBJECTS:
      apply_peer_objects (r, m);
      break;
    case CONTROL_PEER_FRESHNESS:
      dl_contact_record_peer (&r->contact, dl_clock_ms (), m->freshness.store_age_ms);
      break;
    case CONTROL_LINKS:
      r->open_links = m->links.open;
      update_watching (r);
      break;
    default:
      break;
    }
}

static int
replica_destroy (Replica *r)
{
  if (r->snapshot != NULL)
    dl_message_unref (r->snapshot);
  if (r->fleet != NULL)
    dl_message_unref (r->fleet);
  if (r->members != NULL)
    dl_message_unref (r->members);
  return 0;
}

static int
replica_start (DlTask *task)
{
  const EntrySettings *settings = entry_settings (task);
  Replica *r = talloc_zero (NULL, Replica);

  g_assert (r != NULL);
  r->task = task;
  r->watching = true;
  r->reachable = true;
  r->contact.started_ms = dl_clock_ms ();
  r->client
      = dl_object_client_new (task, r, settings->platform, settings->platform_timeout_ms);
  r->next = dl_timer_subscribe (task, r, 0, 0, start_call, r);
  dl_timer_subscribe (task, r, CONTACT_TICK_MS, CONTACT_TICK_MS, on_contact_tick, r);
  talloc_set_destructor (r, replica_destroy);
  dl_task_set_state (task, r);
  return 0;
}

static json_object *
replica_dump (DlTask *task)
{
  const Replica *r = dl_task_state (task);
  json_object *dump = json_object_new_object ();
  const EntrySnapshot *s = r->snapshot != NULL ? r->snapshot->snapshot.snapshot : NULL;

  json_object_object_add (dump, "watching", json_object_new_boolean (r->watching));
  json_object_object_add (dump, "reachable", json_object_new_boolean (r->reachable));
  json_object_object_add (dump, "after", json_object_new_uint64 (r->after));
  json_object_object_add (dump, "snapshot_revision",
                          json_object_new_uint64 (snapshot_revision (r)));
  json_object_object_add (dump, "objects",
                          json_object_new_uint64 (s != NULL ? s->count : 0));
  json_object_object_add (dump, "settings_revision",
                          json_object_new_uint64 (r->settings.in_effect));
  json_object_object_add (dump, "settings_refused",
                          json_object_new_uint64 (r->settings.rejected));
  json_object_object_add (dump, "in_contact",
                          json_object_new_boolean (r->contact_status.in_contact));
  json_object_object_add (dump, "store_age_ms",
                          json_object_new_uint64 (r->contact_status.store_age_ms));
  json_object_object_add (dump, "open_links", json_object_new_uint64 (r->open_links));
  return dump;
}

static DlPlugin replica_plugin = {
  .name = "replica",
  .order = 10,
  .subscriptions = ENTRY_SUBSCRIBE (ENTRY_MEMBERS) | ENTRY_SUBSCRIBE (CONTROL_PEER_FLEET)
                   | ENTRY_SUBSCRIBE (CONTROL_PEER_OBJECTS)
                   | ENTRY_SUBSCRIBE (CONTROL_PEER_FRESHNESS)
                   | ENTRY_SUBSCRIBE (CONTROL_LINKS),
  .start = replica_start,
  .handle = replica_handle,
  .dump = replica_dump,
};
DL_PLUGIN_REGISTER (replica_plugin)
