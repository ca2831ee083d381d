/*
 * Task "state": watches the store and the other nodes, and sends them this node's status.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "daisystaged.h"
#include "kernel/log.h"
#include "node/evacuation_watch.h"
#include "node/metrics_page.h"
#include "node/object_watch.h"
#include "node/peers.h"
#include "node/version_watch.h"
#include "platform.h"
#include "policy/routing.h"
#include "record.h"

#define STORE_TIMEOUT_MS 900
#define ROUTING_WAIT_MS  25000
/* Only the weight source is taken from the routing table, so it is read less often. */
#define ROUTING_PAUSE_MS 10000
#define VERSIONS_WAIT_MS 20000
/* Wait of a watch that is sent to a reader instead of the store. */
#define RELAY_WAIT_MS 5000
#define RETRY_MAX_MS  1500
/* Evacuations are read when entries have read them; the second holds while the whole
 * system starts. */
#define EVACUATIONS_FIRST_MS     1000
#define EVACUATIONS_BOOTSTRAP_MS 4500
/* When the store came back from an older copy, stagers list its objects again within this
 * time. */
#define RELIST_SPREAD_MS 1500
#define TICK_MS          50
/* Interval of the status to entries when nothing changes. */
#define ENTRIES_EVERY_MS 500
/* A change of the load goes to entries of other regions at most this often. */
#define OTHER_ENTRIES_MIN_MS 300
/* In a large fleet the load is told at most this often. */
#define RELAYS_MIN_MS 90
/* Interval of the status to the stagers of the region in a large fleet, without and with
 * changes of the holdings. */
#define STAGERS_LARGE_EVERY_MS         1200
#define STAGERS_CHANGED_LARGE_EVERY_MS 600
/* Interval of the status to all stagers, without and with changes of the holdings. */
#define STAGERS_EVERY_MS         900
#define STAGERS_CHANGED_EVERY_MS 300

typedef struct
{
  DlTask *task;
  DlKernel *kernel;
  const DlNodeSettings *settings;
  DlPeers *peers;
  DlVersionWatch *versions;
  DlEvacuationWatch *evacuations; /* NULL: data centres are not evacuated here */
  bool is_evacuated;              /* this one */
  StageRecord *record;
  uint64_t routing_version; /* of the newest routing table; 0 before the first */
  Daisyloft__Wire__EngineStatus engine; /* for the status to entries */
  bool engine_known;
  bool engine_changed;
  StageMessage *weights_message; /* the last STAGE_WEIGHTS; NULL before the first */
  bool holdings_changed;         /* since stagers of all regions were sent the status */
  /* When the status was last sent: to the entries of all regions; to any entries; to any
   * stagers; to the stagers of all regions. */
  uint64_t all_entries_sent_ms;
  uint64_t entries_sent_ms;
  uint64_t stagers_sent_ms;
  uint64_t all_stagers_sent_ms;
} State;

/* -------- the store -------- */

static void
on_routing (const DlObject *object, void *data)
{
  State *state = data;
  StageMessage *message;
  DlRouting *routing;
  const char *error;

  if (strcmp (object->name, platform_routing_name) != 0 || object->deleted)
    return;
  message = stage_message_new (STAGE_SOURCE);
  if (platform_read_routing (message, object->value, &routing, &error) < 0)
    {
      dl_log (DL_EVENT_ROUTING_INVALID, DL_UINT ("revision", object->revision),
              DL_TEXT ("reason", error));
      dl_message_unref (message);
      return;
    }
  if (routing->version < state->routing_version)
    {
      dl_log (DL_EVENT_ROUTING_INVALID, DL_UINT ("version", routing->version),
              DL_TEXT ("reason", "older than the version in effect"));
      dl_message_unref (message);
      return;
    }
  state->routing_version = routing->version;
  message->source = dl_weight_source_from_routing (routing, state->settings->service);
  dl_log (DL_EVENT_ROUTING_APPLIED, DL_UINT ("version", routing->version),
          DL_UINT ("revision", object->revision),
          DL_TEXT ("origin", message->source.origin));
  dl_kernel_publish (state->kernel, message);
}

static void
on_target (const DlTargetVersion *target, void *data)
{
  State *state = data;
  StageMessage *message = stage_message_new (STAGE_TARGET);

  message->target.model = talloc_strdup (message, target->model);
  message->target.version = target->version;
  message->target.announced_ms = target->announced_ms;
  dl_kernel_publish (state->kernel, message);
}

static void
on_no_target (void *data)
{
  State *state = data;

  dl_kernel_publish (state->kernel, stage_message_new (STAGE_NO_TARGET));
}

static void
publish_evacuation (const State *state)
{
  StageMessage *message = stage_message_new (STAGE_EVACUATION);

  message->is_evacuated = state->is_evacuated;
  dl_kernel_publish (state->kernel, message);
}

static void
on_evacuation (const char *data_center, bool is_evacuated, void *data)
{
  State *state = data;

  if (strcmp (data_center, state->settings->data_center) != 0)
    return;
  state->is_evacuated = is_evacuated;
  if (dl_evacuation_watch_is_known (state->evacuations))
    publish_evacuation (state);
}

static void
on_evacuations_known (void *data)
{
  publish_evacuation (data);
}

/* -------- other nodes -------- */

static void
on_status (const DlPeer *peer, const Daisyloft__Wire__NodeStatus *status, void *data)
{
  State *state = data;
  StageMessage *message;

  dl_version_watch_receive (state->versions, status, peer->name);
  if (peer->role == DAISYLOFT__WIRE__ROLE__ROLE_ENTRY && !peer->is_hub)
    return;
  message = stage_message_new (STAGE_HOLDER);
  message->holder = dl_holder_from_status (message, peer, status);
  dl_kernel_publish (state->kernel, message);
}

static void
on_removed (const DlPeer *peer, void *data)
{
  State *state = data;
  StageMessage *message = stage_message_new (STAGE_NODE_REMOVED);

  message->removed_node = talloc_strdup (message, peer->name);
  dl_kernel_publish (state->kernel, message);
}

/* Entries take this host for gone, and delete its record as well. */
static void
on_own_deleted (void *data)
{
  State *state = data;

  stage_record_check (state->record);
}

/* -------- sending the status -------- */

static bool
is_loading (const State *state)
{
  return state->weights_message != NULL && state->weights_message->weights.use.out_of_use;
}

/* True if the engine, as last reported, is known to have sound weights. */
static bool
has_sound_weights (const State *state)
{
  const Daisyloft__Wire__EngineStatus *e = &state->engine;
  const StageMessage *m = state->weights_message;

  return m != NULL && m->weights.use.sound && m->weights.use.started_ms == e->started_ms
         && m->weights.use.loads == e->loads;
}

/* Sets what entries are to know.  STATUS refers to ENGINE, and to talloc children of
 * CONTEXT. */
static void
fill_status_for_entries (const State *state,
                         const void *context,
                         Daisyloft__Wire__NodeStatus *status,
                         Daisyloft__Wire__EngineStatus *engine)
{
  dl_version_watch_to_status (state->versions, context, status);
  *engine = state->engine;
  engine->loading = engine->loading || is_loading (state);
  engine->unchecked = !has_sound_weights (state);
  status->ready = state->engine_known && !engine->loading;
  if (state->engine_known)
    status->engine = engine;
}

/* An entry that has just started uses the engine only once it has been told of it. */
static void
on_unknown_node (Daisyloft__Wire__Role role, void *data)
{
  State *state = data;
  Daisyloft__Wire__NodeStatus status = DAISYLOFT__WIRE__NODE_STATUS__INIT;
  Daisyloft__Wire__EngineStatus engine;
  void *context;

  if (role != DAISYLOFT__WIRE__ROLE__ROLE_ENTRY)
    return;
  context = talloc_new (state);
  fill_status_for_entries (state, context, &status, &engine);
  dl_peers_reply (state->peers, &status);
  talloc_free (context);
}

static void
send_to_entries (State *state, DlPeersReach reach, uint64_t now_ms)
{
  Daisyloft__Wire__NodeStatus status = DAISYLOFT__WIRE__NODE_STATUS__INIT;
  Daisyloft__Wire__EngineStatus engine;
  void *context = talloc_new (state);

  fill_status_for_entries (state, context, &status, &engine);
  dl_peers_send (state->peers, &status, DAISYLOFT__WIRE__ROLE__ROLE_ENTRY, reach);
  talloc_free (context);
  state->engine_changed = false;
  state->entries_sent_ms = now_ms;
  if (reach == DL_PEERS_ALL)
    state->all_entries_sent_ms = now_ms;
}

/* What entries must know at once.  In a large fleet relays tell those of other regions,
 * if there are any. */
static void
send_to_entries_at_once (State *state)
{
  bool have_relays
      = dl_peers_is_large (state->peers) && dl_peers_has_entry (state->peers);

  send_to_entries (state, have_relays ? DL_PEERS_REGION : DL_PEERS_ALL, dl_clock_ms ());
}

/* While no entry of this region is alive, those of other regions are told as well. */
static void
send_to_relays_if_due (State *state, uint64_t now_ms)
{
  bool is_due = now_ms - state->entries_sent_ms >= ENTRIES_EVERY_MS;

  if (!dl_peers_has_entry (state->peers))
    {
      if (is_due)
        send_to_entries (state, DL_PEERS_ALL, now_ms);
      return;
    }
  if (is_due
      || (state->engine_changed && now_ms - state->entries_sent_ms >= RELAYS_MIN_MS))
    send_to_entries (state, DL_PEERS_RELAYS, now_ms);
}

/* Entries of other regions send few requests here, so they get the load less often. */
static void
send_to_entries_if_due (State *state, uint64_t now_ms)
{
  uint64_t all_sent_ago_ms = now_ms - state->all_entries_sent_ms;
  bool all_due = state->all_entries_sent_ms != state->entries_sent_ms
                 && all_sent_ago_ms >= OTHER_ENTRIES_MIN_MS;

  if (state->engine_changed || all_due
      || now_ms - state->entries_sent_ms >= ENTRIES_EVERY_MS)
    send_to_entries (state,
                     all_sent_ago_ms < OTHER_ENTRIES_MIN_MS ? DL_PEERS_REGION
                                                            : DL_PEERS_ALL,
                     now_ms);
}

static void
send_to_stagers (State *state, DlPeersReach reach)
{
  Daisyloft__Wire__NodeStatus status = DAISYLOFT__WIRE__NODE_STATUS__INIT;
  void *context = talloc_new (state);

  status.ready = true;
  if (state->weights_message != NULL)
    dl_holdings_to_status (context, &state->weights_message->weights.holdings, &status);
  dl_peers_send (state->peers, &status, DAISYLOFT__WIRE__ROLE__ROLE_SLOT, reach);
  talloc_free (context);
}

/* In a large fleet stagers fetch from each other only within their region, and hardly
 * ever, as its hubs have everything. */
static void
send_to_region_if_due (State *state, uint64_t now_ms)
{
  uint64_t interval_ms
      = state->holdings_changed ? STAGERS_CHANGED_LARGE_EVERY_MS : STAGERS_LARGE_EVERY_MS;

  if (now_ms - state->stagers_sent_ms < interval_ms)
    return;
  send_to_stagers (state, DL_PEERS_REGION);
  state->holdings_changed = false;
  state->stagers_sent_ms = now_ms;
}

static void
send_to_stagers_if_due (State *state, uint64_t now_ms)
{
  uint64_t all_interval_ms
      = state->holdings_changed ? STAGERS_CHANGED_EVERY_MS : STAGERS_EVERY_MS;

  if (now_ms - state->all_stagers_sent_ms >= all_interval_ms)
    {
      send_to_stagers (state, DL_PEERS_ALL);
      state->holdings_changed = false;
      state->all_stagers_sent_ms = now_ms;
      state->stagers_sent_ms = now_ms;
    }
  else if (state->holdings_changed && now_ms - state->stagers_sent_ms >= TICK_MS)
    {
      send_to_stagers (state, DL_PEERS_REGION);
      state->stagers_sent_ms = now_ms;
    }
}

static void
on_tick (DlTimer *timer, void *data)
{
  State *state = data;
  uint64_t now_ms = dl_clock_ms ();

  if (dl_peers_is_large (state->peers))
    {
      send_to_relays_if_due (state, now_ms);
      send_to_region_if_due (state, now_ms);
      return;
    }
  send_to_entries_if_due (state, now_ms);
  send_to_stagers_if_due (state, now_ms);
}

/* -------- messages from the other tasks -------- */

static void
handle_report (State *state, const DlEngineReport *report)
{
  Daisyloft__Wire__EngineStatus *e = &state->engine;
  Daisyloft__Wire__EngineStatus before = *e;

  e->running = report->running;
  e->waiting = report->waiting;
  e->loading = report->busy;
  e->pace = report->pace;
  e->version = report->version;
  e->leaving = report->leaving;
  e->started_ms = report->started_ms;
  e->loads = report->loads;
  state->engine_known = true;
  if (before.loading != e->loading || before.version != e->version
      || before.leaving != e->leaving || before.loads != e->loads)
    send_to_entries_at_once (state);
  else if (before.running != e->running || before.waiting != e->waiting)
    state->engine_changed = true;
}

static void
handle_unresponsive (State *state)
{
  Daisyloft__Wire__EngineStatus *e = &state->engine;

  state->engine_changed = state->engine_changed || !e->loading;
  state->engine_known = true;
  e->loading = true;
  e->running = 0;
  e->waiting = 0;
}

/* Weights that no command loaded need no record, unless there is one of a load that the
 * engine has yet to accept. */
static void
record_sound_load (State *state, const StageEngineUse *use)
{
  const DlSoundLoad *stored = stage_record_stored (state->record);
  bool is_ahead = stored->known && stored->started_ms == use->started_ms
                  && stored->loads > use->loads;

  if (use->sound && use->started_ms != 0 && (use->loads > 0 || is_ahead))
    stage_record_set (state->record, &(DlSoundLoad){ .known = true,
                                                     .started_ms = use->started_ms,
                                                     .loads = use->loads });
}

static void
handle_weights (State *state, const StageMessage *message)
{
  bool was_loading = is_loading (state);
  bool was_sound = has_sound_weights (state);

  if (state->weights_message != NULL)
    dl_message_unref (state->weights_message);
  state->weights_message = dl_message_ref ((void *)message);
  state->holdings_changed = state->holdings_changed || message->weights.changed;
  record_sound_load (state, &message->weights.use);
  if (is_loading (state) != was_loading || has_sound_weights (state) != was_sound)
    send_to_entries_at_once (state);
}

static void
handle (DlTask *task, const DlMessage *head)
{
  State *state = dl_task_state (task);
  const StageMessage *message = (const StageMessage *)head;

  switch ((StageMessageType)head->type)
    {
    case STAGE_ENGINE_REPORT:
      handle_report (state, &message->report);
      break;
    case STAGE_ENGINE_SILENT:
      handle_unresponsive (state);
      break;
    case STAGE_WEIGHTS:
      handle_weights (state, message);
      break;
    case STAGE_SOURCE:
    case STAGE_TARGET:
    case STAGE_NO_TARGET:
    case STAGE_HOLDER:
    case STAGE_NODE_REMOVED:
    case STAGE_RECORD:
    case STAGE_EVACUATION:
      break;
    }
}

/* -------- the task -------- */

static int
state_destroy (State *state)
{
  if (state->weights_message != NULL)
    dl_message_unref (state->weights_message);
  return 0;
}

static void
start_watches (State *state, DlObjectClient *store, DlRelaySource *source)
{
  dl_object_watch_new (state->task, state, store,
                       &(DlObjectWatchOptions){
                           .kind = platform_kind_routing,
                           .wait_ms = ROUTING_WAIT_MS,
                           .pause_ms = ROUTING_PAUSE_MS,
                           .relay_pause_ms = ROUTING_PAUSE_MS,
                           .reader_wait_ms = RELAY_WAIT_MS,
                           .source = source,
                           .retry_max_ms = RETRY_MAX_MS,
                           .relist_spread_ms = RELIST_SPREAD_MS,
                           .on_object = on_routing,
                           .data = state,
                       });
  state->versions = dl_version_watch_new (state->task, state,
                                          &(DlVersionWatchOptions){
                                              .store = store,
                                              .kind = platform_kind_versions,
                                              .wait_ms = VERSIONS_WAIT_MS,
                                              .reader_wait_ms = RELAY_WAIT_MS,
                                              .source = source,
                                              .retry_max_ms = RETRY_MAX_MS,
                                              .relist_spread_ms = RELIST_SPREAD_MS,
                                              .limit_ms = state->settings->version_ms,
                                              .read = platform_read_version,
                                              .on_target = on_target,
                                              .on_no_target = on_no_target,
                                              .data = state,
                                          });
}

static void
watch_evacuations (State *state, DlObjectClient *store, DlRelaySource *source)
{
  state->evacuations
      = dl_evacuation_watch_new (state->task, state,
                                 &(DlEvacuationWatchOptions){
                                     .store = store,
                                     .kind = platform_kind_evacuations,
                                     .first_delay_ms = state->settings->bootstrap
                                                           ? EVACUATIONS_BOOTSTRAP_MS
                                                           : EVACUATIONS_FIRST_MS,
                                     .wait_ms = VERSIONS_WAIT_MS,
                                     .reader_wait_ms = RELAY_WAIT_MS,
                                     .source = source,
                                     .retry_max_ms = RETRY_MAX_MS,
                                     .relist_spread_ms = RELIST_SPREAD_MS,
                                     .on_change = on_evacuation,
                                     .on_known = on_evacuations_known,
                                     .data = state,
                                 });
}

static int
start (DlTask *task)
{
  State *state = talloc_zero (NULL, State);
  DlObjectClient *store;
  DlRelaySource *source;
  int error;

  dl_task_set_state (task, state);
  state->task = task;
  state->kernel = dl_task_kernel (task);
  state->settings = stage_settings (task);
  daisyloft__wire__engine_status__init (&state->engine);
  state->engine.address = (char *)state->settings->engine;
  talloc_set_destructor (state, state_destroy);
  store = dl_object_client_new_with_protocol (task, state, state->settings->store,
                                              STORE_TIMEOUT_MS, &platform_store_protocol);
  dl_object_client_set_max_body (store, DL_NODE_LIST_MAX_BYTES);
  source = dl_relay_source_new (task, state, state->settings,
                                dl_object_client_era (store), false);
  error = dl_peers_new (task, state,
                        &(DlPeersOptions){
                            .settings = state->settings,
                            .role = DAISYLOFT__WIRE__ROLE__ROLE_SLOT,
                            .store = store,
                            .kind = platform_kind_nodes,
                            .entries_kind
                            = platform_kind_of_entries (state, state->settings->region),
                            .source = source,
                            .on_status = on_status,
                            .on_unknown_node = on_unknown_node,
                            .on_removed = on_removed,
                            .on_own_deleted = on_own_deleted,
                            .data = state,
                        },
                        &state->peers);
  if (error < 0)
    return error;
  error = dl_metrics_page_new (task, state, state->settings->metrics, NULL);
  if (error < 0)
    return error;
  start_watches (state, store, source);
  if (state->settings->evacuate_ms > 0)
    watch_evacuations (state, store, source);
  state->record = stage_record_new (task, state, state->settings, store);
  dl_timer_subscribe (task, state, TICK_MS, TICK_MS, on_tick, state);
  return 0;
}

/* A stager that ends leaves the record of what it has proven. */
static bool
is_idle (DlTask *task)
{
  const State *state = dl_task_state (task);

  return stage_record_may_end (state->record);
}

static DlPlugin state_plugin = {
  .name = "state",
  .order = 10,
  .subscriptions = UINT64_C (1) << STAGE_ENGINE_REPORT
                   | UINT64_C (1) << STAGE_ENGINE_SILENT | UINT64_C (1) << STAGE_WEIGHTS,
  .start = start,
  .handle = handle,
  .is_idle = is_idle,
};
DL_PLUGIN_REGISTER (state_plugin)
