/*
 * The replica of the platform's objects: a long-poll watch, or what a relay passes on.
 *
 * Publishes immutable snapshots, the fleet settings in force, and whether this entry is
 * in contact.  Revisions only rise: older answers of the platform and of peers are
 * refused.
 */
#include <glib.h>
#include <talloc.h>

#include "control.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/revision.h"
#include "snapshot.h"

/* A watch waits this long, so that silence shows a platform that is gone. */
#define WATCH_WAIT_MS 2000
/* From the start of one call to the next; bounds the calls of a busy store. */
#define CALL_INTERVAL_MS 200
#define RETRY_MIN_MS     250
#define RETRY_SPREAD_MS  500
#define CONTACT_TICK_MS  500
/* Without an answer for this long, objects are asked of a peer. */
#define STORE_SILENT_MS 3000

DL_METRIC (metric_revision,
           DL_METRIC_GAUGE,
           "daisy_settings_revision",
           "Revision of the fleet settings in force.")
DL_METRIC (metric_snapshot,
           DL_METRIC_GAUGE,
           "daisy_snapshot_revision",
           "Revision of the newest snapshot of the platform's objects.")
DL_METRIC (metric_stale,
           DL_METRIC_COUNTER,
           "daisy_stale_answers_total",
           "Answers of the platform refused for an older revision.")
DL_METRIC (metric_contact,
           DL_METRIC_GAUGE,
           "daisy_in_contact",
           "1 while new requests may be admitted.")

typedef struct
{
  DlTask *task;
  DlObjectClient *client;
  void *call; /* owner of the call in progress */
  DlTimer *next;
  bool watching;
  bool reachable;
  bool stale; /* the last answer was refused */
  uint64_t call_began_ms;
  uint64_t after;         /* revision up to which the changes are known; 0: list first */
  EntryMessage *snapshot; /* held; NULL before the first */
  EntryMessage *fleet;    /* held; NULL before the first */
  EntryMessage *members;  /* held */
  size_t open_links;
  DlSettingsRevision settings;
  DlContact contact;
  DlContactStatus contact_status;
} Replica;

static void start_call (DlTimer *timer, void *data);

/* -------- the settings in force -------- */

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

/* Takes over SNAPSHOT, a talloc block below M. */
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

/* All objects at REVISION. */
static void
take_list (Replica *r, uint64_t revision, SnapshotChanges *changes)
{
  EntryMessage *m;

  if (r->snapshot != NULL && revision <= snapshot_revision (r))
    return;
  m = dl_message_new (ENTRY_SNAPSHOT, sizeof *m);
  publish_snapshot (r, m, snapshot_new (m, revision, changes));
}

/* Changes up to REVISION, from a revision on that is not above that of the snapshot. */
static void
take_changes (Replica *r, uint64_t revision, SnapshotChanges *changes)
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
refuse_stale (Replica *r, uint64_t revision)
{
  dl_metric_add (&metric_stale, 1);
  if (!r->stale)
    dl_log (DL_EVENT_SNAPSHOT_STALE, DL_UINT ("revision", revision),
            DL_UINT ("held", r->after));
  r->stale = true;
}

static void
take_answer (Replica *r, const DlObjectResult *result)
{
  SnapshotChanges changes = { .count = result->count, .objects = result->objects };
  bool whole = r->after == 0;

  if (result->revision < r->after || result->revision < snapshot_revision (r))
    {
      refuse_stale (r, result->revision);
      return;
    }
  r->stale = false;
  r->contact.knows_settings = true;
  dl_contact_record_store (&r->contact, dl_clock_ms ());
  if (whole)
    take_list (r, result->revision, &changes);
  else
    take_changes (r, result->revision, &changes);
  r->after = result->revision;
}

static uint64_t
retry_delay_ms (const DlObjectResult *result)
{
  uint64_t spread = (uint64_t)g_random_int_range (0, RETRY_SPREAD_MS);

  return MAX (result->retry_after_ms, RETRY_MIN_MS) + spread;
}

static void
on_answer (const DlObjectResult *result, void *data)
{
  Replica *r = data;
  uint64_t spent = dl_clock_ms () - r->call_began_ms;
  uint64_t delay = spent < CALL_INTERVAL_MS ? CALL_INTERVAL_MS - spent : 0;

  if (result->error == 0)
    take_answer (r, result);
  else if (result->error == DL_ERR_GONE)
    r->after = 0;
  else
    delay = retry_delay_ms (result);
  if (r->stale)
    delay = MAX (delay, RETRY_MIN_MS);
  set_reachable (r, result->error == 0 || result->error == DL_ERR_GONE, result->error);
  dl_timer_restart (r->next, delay);
}

/* Starts the next call; not from inside a callback of the one before. */
static void
start_call (DlTimer *timer, void *data)
{
  Replica *r = data;

  TALLOC_FREE (r->call);
  if (!r->watching)
    return;
  r->call = talloc_new (r);
  r->call_began_ms = dl_clock_ms ();
  if (r->after == 0)
    dl_object_list (r->client, r->call, ENTRY_WATCHED_KINDS, on_answer, r);
  else
    dl_object_watch (r->client, r->call, ENTRY_WATCHED_KINDS, r->after, WATCH_WAIT_MS,
                     on_answer, r);
}

static void
judge_watching (Replica *r)
{
  const DlMembers *members = r->members != NULL ? r->members->members.members : NULL;
  bool watching = control_reads_platform (r->task, members, r->open_links);

  if (watching == r->watching)
    return;
  r->watching = watching;
  /* What peers passed on stands at the snapshot's revision. */
  r->after = snapshot_revision (r);
  dl_timer_restart (r->next, 0);
}

/* -------- contact -------- */

/* The platform has answered this entry itself a short time ago. */
static bool
hears_store (const Replica *r)
{
  return r->watching && r->contact.store_contact_ms > 0
         && dl_clock_ms () - r->contact.store_contact_ms <= STORE_SILENT_MS;
}

static void
on_contact_tick (DlTimer *timer, void *data)
{
  Replica *r = data;
  DlContactStatus v = dl_contact_evaluate (&r->contact, dl_clock_ms ());
  EntryMessage *m = dl_message_new (ENTRY_CONTACT, sizeof *m);
  ControlMessage *store = control_message_new (CONTROL_STORE);

  if (v.in_contact != r->contact_status.in_contact)
    {
      if (v.in_contact)
        dl_log (DL_EVENT_CONTACT_FOUND, DL_UINT ("store_age_ms", v.store_age_ms));
      else
        dl_log (DL_EVENT_CONTACT_LOST, DL_UINT ("store_age_ms", v.store_age_ms));
    }
  r->contact_status = v;
  dl_metric_set (&metric_contact, v.in_contact);
  m->contact.in_contact = v.in_contact;
  m->contact.platform_reachable = v.platform_reachable;
  m->contact.store_age_ms = v.store_age_ms;
  dl_kernel_publish (dl_task_kernel (r->task), m);
  store->store.direct = hears_store (r);
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
take_members (Replica *r, const DlMessage *message)
{
  if (r->members != NULL)
    dl_message_unref (r->members);
  r->members = dl_message_ref ((void *)message);
  r->contact.has_peers
      = has_other_entries (r->members->members.members, entry_settings (r->task)->name);
  judge_watching (r);
}

static void
take_peer_objects (Replica *r, const ControlMessage *m)
{
  SnapshotChanges changes;
  json_object *list = json_tokener_parse (m->objects.text);
  void *scratch = talloc_new (r);
  bool whole = m->objects.after == 0;

  if (list == NULL || snapshot_changes_from_json (scratch, list, &changes) < 0)
    dl_log (DL_EVENT_RELAY_MALFORMED, DL_TEXT ("what", "objects"));
  else if (whole)
    take_list (r, m->objects.revision, &changes);
  else if (r->snapshot != NULL && m->objects.after <= snapshot_revision (r))
    take_changes (r, m->objects.revision, &changes);
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
      take_members (r, message);
      break;
    case CONTROL_PEER_FLEET:
      r->contact.knows_settings = true;
      offer_settings (r, m->fleet.revision, m->fleet.text);
      break;
    case CONTROL_PEER_OBJECTS:
      take_peer_objects (r, m);
      break;
    case CONTROL_PEER_FRESHNESS:
      dl_contact_record_peer (&r->contact, dl_clock_ms (), m->freshness.store_age_ms);
      break;
    case CONTROL_LINKS:
      r->open_links = m->links.open;
      judge_watching (r);
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
