/*
 * Steers rollouts, each under a lease.
 *
 * Entries compete for the lease of a rollout that needs steering.  Each is delayed by its
 * rank for the rollout's name, so that the one ranked first acquires it without a delay.
 * The holder performs the steps of policy/rollout.h by conditional writes.  After a write
 * that conflicted or whose outcome is unknown, it reads the rollout and computes the next
 * step from what was read, so that no step is performed twice.
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "control.h"
#include "directive.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/lease.h"
#include "policy/rendezvous.h"
#include "steer_facts.h"

#define TICK_MS 200
/* Minimum time between two writes of one rollout. */
#define STEP_INTERVAL_MS 250
#define RETRY_MS         400
/* Added delay before a takeover for each rank. */
#define RANK_DELAY_MS 1500
#define RANK_MAX      4
/* Before a takeover, others wait for a lease's duration and a margin: the duration
 * divided by this. */
#define LEASE_MARGIN_DIVISOR 4

DL_METRIC (metric_leases,
           DL_METRIC_GAUGE,
           "daisy_leases_held",
           "Rollout leases that this entry holds.")
DL_METRIC (metric_steps,
           DL_METRIC_COUNTER,
           "daisy_rollout_steps_total",
           "Rollout steps that this entry wrote.")
DL_METRIC (metric_refused,
           DL_METRIC_COUNTER,
           "daisy_rollout_writes_refused_total",
           "Rollout writes that conflicted or whose outcome is unknown.")

typedef struct Steer Steer;

/* State of the steering of one rollout by this entry. */
typedef struct
{
  Steer *steer;
  char *name;
  bool wanted; /* the lease is to be acquired and kept */
  bool held;   /* as last logged */
  DlLease lease;
  void *lease_call; /* owners of the calls in progress */
  void *step_call;
  bool lease_busy; /* a call is in progress */
  bool step_busy;
  uint64_t next_lease_ms; /* earliest time of the next call */
  uint64_t next_step_ms;
  bool must_read;         /* the last write conflicted or is unknown: read first */
  uint64_t seen_revision; /* highest revision of the rollout seen */
  DlRollout *newer; /* as written or read here, if newer than the snapshot's; or NULL */
  DlRollout *candidate; /* being written */
} SteeredRollout;

struct Steer
{
  DlTask *task;
  DlObjectClient *client;
  EntryMessage *snapshot; /* referenced messages; NULL before the first */
  EntryMessage *fleet;
  EntryMessage *members;
  DirectiveTable *directives;
  GHashTable *rollouts; /* name to SteeredRollout */
  char *nonce;          /* of this process, for its leases */
  bool changed;         /* objects, settings or members, since the last run */
  bool stopping;
};

/* -------- the lease -------- */

static void
get_text (json_object *value, const char *key, char text[DL_LEASE_TEXT_BYTES])
{
  json_object *item;

  text[0] = '\0';
  if (json_object_object_get_ex (value, key, &item)
      && json_object_is_type (item, json_type_string))
    g_strlcpy (text, json_object_get_string (item), DL_LEASE_TEXT_BYTES);
}

static void
lease_value_from_json (json_object *value, DlLeaseValue *lease)
{
  json_object *item;

  *lease = (DlLeaseValue){ 0 };
  get_text (value, "holder", lease->holder);
  get_text (value, "nonce", lease->nonce);
  if (json_object_object_get_ex (value, "fence", &item))
    lease->fence = json_object_get_uint64 (item);
  if (json_object_object_get_ex (value, "ttl_ms", &item))
    lease->ttl_ms = json_object_get_uint64 (item);
}

static json_object *
lease_value_to_json (const DlLeaseValue *lease)
{
  json_object *value = json_object_new_object ();

  json_object_object_add (value, "holder", json_object_new_string (lease->holder));
  json_object_object_add (value, "nonce", json_object_new_string (lease->nonce));
  json_object_object_add (value, "fence", json_object_new_uint64 (lease->fence));
  json_object_object_add (value, "ttl_ms", json_object_new_uint64 (lease->ttl_ms));
  return value;
}

/* Logs and counts a lease that was acquired, lost or released. */
static void
update_held (SteeredRollout *s)
{
  bool held = dl_lease_may_act (&s->lease, dl_clock_ms ());

  if (held == s->held)
    return;
  s->held = held;
  dl_metric_add (&metric_leases, held ? 1 : -1);
  if (held)
    dl_log (DL_EVENT_LEASE_ACQUIRED, DL_TEXT ("rollout", s->name),
            DL_UINT ("fence", dl_lease_fence (&s->lease)));
  else if (s->wanted)
    dl_log (DL_EVENT_LEASE_LOST, DL_TEXT ("rollout", s->name));
  else
    dl_log (DL_EVENT_LEASE_RELEASED, DL_TEXT ("rollout", s->name));
}

static DlLeaseOutcome
lease_outcome (int error)
{
  switch (error)
    {
    case 0:
      return DL_LEASE_COMMITTED;
    case DL_ERR_CONFLICT:
      return DL_LEASE_CONFLICT;
    case DL_ERR_UNAVAILABLE:
    case DL_ERR_RATE_LIMITED:
      return DL_LEASE_NOT_SENT;
    default:
      return DL_LEASE_UNKNOWN;
    }
}

static void
lease_call_done (SteeredRollout *s, const DlObjectResult *result)
{
  s->lease_busy = false;
  if (result->error < 0)
    s->next_lease_ms = dl_clock_ms () + MAX (result->retry_after_ms, RETRY_MS);
}

static void
on_lease_written (const DlObjectResult *result, void *data)
{
  SteeredRollout *s = data;

  lease_call_done (s, result);
  dl_lease_write_done (&s->lease, dl_clock_ms (), lease_outcome (result->error),
                       result->revision);
  update_held (s);
}

static void
on_lease_read (const DlObjectResult *result, void *data)
{
  SteeredRollout *s = data;
  DlLeaseValue value;

  lease_call_done (s, result);
  if (result->error == DL_ERR_NOT_FOUND)
    dl_lease_read_done (&s->lease, dl_clock_ms (), 0, NULL);
  if (result->error != 0)
    return;
  lease_value_from_json (result->objects[0].value, &value);
  dl_lease_read_done (&s->lease, dl_clock_ms (), result->objects[0].revision, &value);
  update_held (s);
}

static void
run_lease_step (SteeredRollout *s, const DlLeaseStep *step)
{
  json_object *value;

  if (step->action == DL_LEASE_WAIT)
    return;
  TALLOC_FREE (s->lease_call);
  s->lease_call = talloc_new (s);
  s->lease_busy = true;
  if (step->action == DL_LEASE_READ)
    {
      dl_object_get (s->steer->client, s->lease_call, ENTRY_KIND_LEASE, s->name,
                     on_lease_read, s);
      return;
    }
  value = lease_value_to_json (&step->value);
  dl_object_put (s->steer->client, s->lease_call, ENTRY_KIND_LEASE, s->name,
                 step->revision, value, on_lease_written, s);
  json_object_put (value);
}

/* Returns the number of relays, of all data centres, that rank higher than this entry for
 * the rollout NAME, up to RANK_MAX. */
static uint64_t
rank_for (const Steer *steer, const char *name)
{
  const char *self = entry_settings (steer->task)->name;
  const DlMembers *members = steer->members->members.members;
  uint64_t own = dl_rendezvous_score (dl_str (name), dl_str (self));
  uint64_t rank = 0;
  size_t count;
  ControlDataCenter *dcs = control_data_centers (NULL, members, &count);

  for (size_t i = 0; i < count; i++)
    {
      const DlMember *relays[DL_RELAYS];
      size_t n = dl_members_relays (members, dcs[i].region, dcs[i].data_center, relays);

      for (size_t j = 0; j < n; j++)
        if (dl_rendezvous_score (dl_str (name), dl_str (relays[j]->name)) > own)
          rank++;
    }
  talloc_free (dcs);
  return MIN (rank, RANK_MAX);
}

/* Returns the highest fence of the other rollouts of the service that are not active: its
 * hosts may have directives under it. */
static uint64_t
fence_floor (const Steer *steer, const DlRollout *r)
{
  const DlRolloutSet *set = directive_table_rollouts (steer->directives);
  uint64_t floor = 0;

  for (size_t i = 0; i < set->count; i++)
    {
      const DlRollout *other = set->rollouts[i];

      if (other != r && strcmp (other->name, r->name) != 0
          && strcmp (other->service, r->service) == 0 && !dl_rollout_is_active (other)
          && other->fence > floor)
        floor = other->fence;
    }
  return floor;
}

static void
run_lease (SteeredRollout *s, const DlRollout *r, bool wanted)
{
  uint64_t now = dl_clock_ms ();
  uint64_t takeover_delay_ms;
  DlLeaseStep step;

  s->wanted = wanted;
  if (s->lease_busy || now < s->next_lease_ms)
    return;
  if (!wanted && !s->lease.held && s->lease.pending == DL_LEASE_WAIT)
    return;
  takeover_delay_ms = rank_for (s->steer, s->name) * RANK_DELAY_MS;
  step = dl_lease_next (&s->lease, now, wanted, takeover_delay_ms,
                        fence_floor (s->steer, r));
  run_lease_step (s, &step);
  update_held (s);
}

/* -------- steps -------- */

static void
set_newer (SteeredRollout *s, DlRollout *rollout)
{
  talloc_free (s->newer);
  s->newer = talloc_steal (s, rollout);
  if (rollout != NULL && rollout->revision > s->seen_revision)
    s->seen_revision = rollout->revision;
}

static void
on_rollout_read (const DlObjectResult *result, void *data)
{
  SteeredRollout *s = data;
  const DlObject *o = result->objects;
  DlRollout *rollout;
  char *error = NULL;

  s->step_busy = false;
  s->next_step_ms = dl_clock_ms () + RETRY_MS;
  if (result->error == DL_ERR_NOT_FOUND)
    s->must_read = false;
  if (result->error != 0 || o->revision < s->seen_revision)
    return;
  s->must_read = false;
  if (dl_rollout_from_json (s, s->name, o->revision, o->created, o->value, &rollout,
                            &error)
      == 0)
    set_newer (s, rollout);
}

static void
on_rollout_written (const DlObjectResult *result, void *data)
{
  SteeredRollout *s = data;

  s->step_busy = false;
  s->next_step_ms = dl_clock_ms () + STEP_INTERVAL_MS;
  if (result->error == 0)
    {
      dl_metric_add (&metric_steps, 1);
      dl_log (DL_EVENT_ROLLOUT_STEPPED, DL_TEXT ("rollout", s->name),
              DL_TEXT ("state", dl_rollout_state_name (s->candidate->state)),
              DL_UINT ("revision", result->revision));
      s->candidate->revision = result->revision;
      set_newer (s, s->candidate);
      s->candidate = NULL;
      return;
    }
  TALLOC_FREE (s->candidate);
  s->next_step_ms = dl_clock_ms () + MAX (result->retry_after_ms, RETRY_MS);
  if (lease_outcome (result->error) == DL_LEASE_NOT_SENT)
    return;
  dl_metric_add (&metric_refused, 1);
  dl_log (DL_EVENT_ROLLOUT_REFUSED, DL_TEXT ("rollout", s->name),
          DL_ERRNO (result->error));
  s->must_read = true;
}

static DlRollout *
copy_rollout (const void *context, const DlRollout *from)
{
  json_object *value = dl_rollout_to_json (from);
  json_object *parsed = json_tokener_parse (json_object_to_json_string (value));
  DlRollout *copy = NULL;
  char *error = NULL;

  dl_rollout_from_json (context, from->name, from->revision, from->created, parsed, &copy,
                        &error);
  json_object_put (parsed);
  json_object_put (value);
  return copy;
}

static void
write_candidate (SteeredRollout *s)
{
  json_object *value = dl_rollout_to_json (s->candidate);

  TALLOC_FREE (s->step_call);
  s->step_call = talloc_new (s);
  s->step_busy = true;
  dl_object_put (s->steer->client, s->step_call, ENTRY_KIND_ROLLOUT, s->name,
                 s->candidate->revision, value, on_rollout_written, s);
  json_object_put (value);
}

static void
read_rollout (SteeredRollout *s)
{
  TALLOC_FREE (s->step_call);
  s->step_call = talloc_new (s);
  s->step_busy = true;
  dl_object_get (s->steer->client, s->step_call, ENTRY_KIND_ROLLOUT, s->name,
                 on_rollout_read, s);
}

/* Computes and writes the next step.  The lease must be held. */
static void
run_step (SteeredRollout *s, const DlRollout *r, DlRolloutFacts *facts)
{
  if (s->step_busy || dl_clock_ms () < s->next_step_ms)
    return;
  if (s->must_read)
    {
      read_rollout (s);
      return;
    }
  facts->fence = dl_lease_fence (&s->lease);
  if (r->fence > facts->fence)
    return; /* written by a newer holder, which the lease object will show */
  talloc_free (s->candidate);
  s->candidate = copy_rollout (s, r);
  if (s->candidate == NULL || !dl_rollout_step (s->candidate, facts))
    return;
  if (dl_lease_may_act (&s->lease, dl_clock_ms ()))
    write_candidate (s);
}

/* -------- rollouts -------- */

static int
steered_rollout_destroy (SteeredRollout *s)
{
  if (s->held)
    dl_metric_add (&metric_leases, -1);
  return 0;
}

static SteeredRollout *
steered_rollout_get (Steer *steer, const char *name)
{
  const EntrySettings *settings = entry_settings (steer->task);
  SteeredRollout *s = g_hash_table_lookup (steer->rollouts, name);

  if (s != NULL)
    return s;
  s = talloc_zero (steer, SteeredRollout);
  s->steer = steer;
  s->name = talloc_strdup (s, name);
  dl_lease_init (&s->lease, settings->name, steer->nonce, settings->lease_ms,
                 settings->lease_ms / LEASE_MARGIN_DIVISOR);
  talloc_set_destructor (s, steered_rollout_destroy);
  g_hash_table_insert (steer->rollouts, s->name, s);
  return s;
}

static void
observe_lease (SteeredRollout *s)
{
  const DlObject *o = entry_snapshot_find (s->steer->snapshot->snapshot.snapshot,
                                           ENTRY_KIND_LEASE, s->name);
  DlLeaseValue value;

  if (o == NULL)
    return;
  lease_value_from_json (o->value, &value);
  dl_lease_observe (&s->lease, dl_clock_ms (), o->revision, &value);
}

/* Returns the newest known state of the rollout LISTED, which is from the snapshot. */
static const DlRollout *
newest_rollout (SteeredRollout *s, const DlRollout *listed)
{
  if (listed->revision >= s->seen_revision)
    {
      s->seen_revision = listed->revision;
      TALLOC_FREE (s->newer);
      return listed;
    }
  return s->newer != NULL ? s->newer : listed;
}

static void
steer_rollout (Steer *steer, const DlRollout *listed, void *scratch)
{
  SteeredRollout *s = steered_rollout_get (steer, listed->name);
  const DlRollout *r = newest_rollout (s, listed);
  DlRolloutFacts facts = {
    .wall_ms = dl_wall_clock_ms (),
    .by = entry_settings (steer->task)->name,
    .wave_percent = steer->fleet->fleet.fleet->wave_percent,
    .set = directive_table_rollouts (steer->directives),
  };
  bool wanted;

  facts.hosts
      = steer_hosts (scratch, steer->snapshot->snapshot.snapshot,
                     steer->members->members.members, r->service, &facts.host_count);
  wanted = !steer->stopping && dl_rollout_needs_steering (r, &facts);
  observe_lease (s);
  run_lease (s, r, wanted);
  if (wanted && dl_lease_may_act (&s->lease, dl_clock_ms ()))
    run_step (s, r, &facts);
}

/* Returns false for rollouts that cannot need steering, and for those that are not active
 * while nothing changes, unless their lease has to be released.  Their hosts need not be
 * collected. */
static bool
may_need_run (const Steer *steer, const DlRollout *r)
{
  const SteeredRollout *s = g_hash_table_lookup (steer->rollouts, r->name);

  if (s != NULL && (s->lease.held || s->lease.pending != DL_LEASE_WAIT))
    return true;
  if (!dl_rollout_may_need_steering (r, directive_table_rollouts (steer->directives)))
    return false;
  return steer->changed || dl_rollout_is_active (r);
}

static void
steer_all (Steer *steer)
{
  const DlRolloutSet *set;

  if (steer->directives == NULL || steer->members == NULL || steer->fleet == NULL)
    return;
  set = directive_table_rollouts (steer->directives);
  for (size_t i = 0; i < set->count; i++)
    {
      const DlRollout *r = set->rollouts[i];
      void *scratch;

      if (!may_need_run (steer, r))
        continue;
      scratch = talloc_new (NULL);
      steer_rollout (steer, r, scratch);
      talloc_free (scratch);
    }
  steer->changed = false;
}

/* -------- the task -------- */

static bool
is_idle (const Steer *steer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, steer->rollouts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SteeredRollout *s = value;

      if (dl_lease_may_act (&s->lease, dl_clock_ms ()) || s->lease_busy || s->step_busy)
        return false;
    }
  return true;
}

static void
on_tick (DlTimer *timer, void *data)
{
  Steer *steer = data;

  steer_all (steer);
  if (steer->stopping && is_idle (steer))
    dl_task_drained (steer->task);
}

static void
steer_drain (DlTask *task)
{
  Steer *steer = dl_task_state (task);

  steer->stopping = true;
}

/* Replaces the message referenced by *HELD. */
static void
replace_message (EntryMessage **held, const DlMessage *message)
{
  if (*held != NULL)
    dl_message_unref (*held);
  *held = dl_message_ref ((void *)message);
}

static void
set_snapshot (Steer *steer, const DlMessage *message)
{
  const EntrySnapshot *snapshot;

  replace_message (&steer->snapshot, message);
  snapshot = steer->snapshot->snapshot.snapshot;
  if (steer->directives != NULL
      && directive_table_is_current (steer->directives, snapshot))
    return;
  talloc_free (steer->directives);
  steer->directives = directive_table_new (steer, snapshot);
}

static void
steer_handle (DlTask *task, const DlMessage *message)
{
  Steer *steer = dl_task_state (task);

  switch (message->type)
    {
    case ENTRY_SNAPSHOT:
      set_snapshot (steer, message);
      break;
    case ENTRY_FLEET:
      replace_message (&steer->fleet, message);
      break;
    case ENTRY_MEMBERS:
      replace_message (&steer->members, message);
      break;
    default:
      return;
    }
  steer->changed = true;
}

static int
steer_destroy (Steer *steer)
{
  if (steer->snapshot != NULL)
    dl_message_unref (steer->snapshot);
  if (steer->fleet != NULL)
    dl_message_unref (steer->fleet);
  if (steer->members != NULL)
    dl_message_unref (steer->members);
  g_hash_table_destroy (steer->rollouts);
  return 0;
}

static int
steer_start (DlTask *task)
{
  const EntrySettings *settings = entry_settings (task);
  Steer *steer = talloc_zero (NULL, Steer);

  g_assert (steer != NULL);
  steer->task = task;
  steer->rollouts = g_hash_table_new (g_str_hash, g_str_equal);
  steer->nonce = talloc_asprintf (steer, "%" PRIx64,
                                  dl_kernel_incarnation (dl_task_kernel (task)));
  steer->client = dl_object_client_new (task, steer, settings->platform,
                                        settings->platform_timeout_ms);
  talloc_set_destructor (steer, steer_destroy);
  dl_timer_subscribe (task, steer, TICK_MS, TICK_MS, on_tick, steer);
  dl_task_set_state (task, steer);
  return 0;
}

static json_object *
steer_dump (DlTask *task)
{
  const Steer *steer = dl_task_state (task);
  json_object *dump = json_object_new_object ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, steer->rollouts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SteeredRollout *s = value;
      json_object *one = json_object_new_object ();

      json_object_object_add (one, "holds",
                              json_object_new_boolean (
                                  dl_lease_may_act (&s->lease, dl_clock_ms ())));
      json_object_object_add (one, "fence",
                              json_object_new_uint64 (dl_lease_fence (&s->lease)));
      json_object_object_add (one, "seen_holder",
                              json_object_new_string (s->lease.seen.holder));
      json_object_object_add (one, "seen_revision",
                              json_object_new_uint64 (s->seen_revision));
      json_object_object_add (dump, s->name, one);
    }
  return dump;
}

static DlPlugin steer_plugin = {
  .name = "steer",
  .order = 40,
  .subscriptions = ENTRY_SUBSCRIBE (ENTRY_SNAPSHOT) | ENTRY_SUBSCRIBE (ENTRY_FLEET)
                   | ENTRY_SUBSCRIBE (ENTRY_MEMBERS),
  .start = steer_start,
  .handle = steer_handle,
  .drain = steer_drain,
  .dump = steer_dump,
};
DL_PLUGIN_REGISTER (steer_plugin)
