/*
 * Task "state": watches the store and the other nodes, publishes changes to the other
 * tasks, and reports this entry's status to the other nodes.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "entry_list.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "node/limit_record.h"
#include "node/metrics_page.h"
#include "node/record_deletion.h"
#include "node/signature_record.h"
#include "platform.h"
#include "state_private.h"

#define STORE_TIMEOUT_MS 900
/* The routing table is checked this many times within its maximum age, so that the
 * table stays usable when one check is lost and the next is still in progress. */
#define ROUTING_CHECKS_PER_MAX_AGE 4
#define UPSTREAMS_WAIT_MS          1500
#define UPSTREAMS_PAUSE_MS         600
#define VERSIONS_WAIT_MS           1500
#define ROUTING_RETRY_MS           400
/* Wait and pause of the watches of a reader: an entry that reads the store for others. */
#define READER_WAIT_MS  500
#define READER_PAUSE_MS 200
/* Maximum age of objects that are relayed to other entries.  Beyond it, those entries
 * read the store themselves, early enough for changes to take effect in time.  A response
 * of the store shows the state at the time of its request, so that objects may reach an
 * age of two waits. */
#define RELAYED_AGE_MAX_MS(wait_ms) (2 * (wait_ms) + READER_PAUSE_MS + 400)
#define RETRY_MS                    1000
/* When the store came back from an older copy, the entries list its objects again within
 * this time. */
#define RELIST_SPREAD_MS   300
#define VERSIONS_SPREAD_MS 1200
#define TICK_MS            250
#define STATUS_EVERY_TICKS 2
/* The same in a large fleet; a lost status leaves time for another (DL_PEER_TIMEOUT_MS).
 */
#define STATUS_EVERY_TICKS_LARGE 3
#define STATUS_CHANGED_MS        40 /* a changed status is sent within this time */

/* A proof of the routing table is old after this part of the time that a change may take.
 */
#define OLD_PROOF_PERCENT 85
#define PERCENT           100

/* -------- routing -------- */

/* The store answered a request that ENTRY sent at HEARD_MS. */
static void
note_heard (State *state, uint64_t heard_ms, const char *entry)
{
  if (heard_ms <= state->heard.last_ms)
    return;
  dl_store_heard (&state->heard, heard_ms);
  talloc_free ((void *)state->heard_by);
  state->heard_by = talloc_strdup (state, entry);
}

/* WATCH shows the store's state at a new time. */
static void
note_heard_here (State *state, const DlObjectWatch *watch)
{
  state->own_heard_ms = MAX (state->own_heard_ms, dl_object_watch_synced_ms (watch));
  note_heard (state, state->own_heard_ms, state->settings->name);
}

static void
on_routing (const DlObject *object, void *data)
{
  State *state = data;
  DlObjectOrigin origin = dl_object_watch_origin (state->routing_watch);

  direct_routing_table_update (state->routing_table, object, &origin);
}

static void
on_routing_synced (void *data)
{
  State *state = data;
  DlObjectOrigin origin = dl_object_watch_origin (state->routing_watch);

  note_heard_here (state, state->routing_watch);
  direct_routing_table_synced (state->routing_table,
                               dl_object_watch_synced_ms (state->routing_watch), &origin,
                               dl_object_era_current (
                                   dl_object_client_era (state->store)));
}

static void
on_routing_new_era (void *data)
{
  State *state = data;

  dl_store_heard_returned (&state->heard, dl_clock_ms ());
  direct_routing_table_store_returned (state->routing_table);
}

static void
on_routing_contact (int error, void *data)
{
  if (error < 0)
    dl_log (DL_EVENT_STORE_LOST, DL_ERRNO (error));
  else
    dl_log (DL_EVENT_STORE_FOUND);
}

/* -------- upstreams -------- */

static void
on_upstream (const DlObject *object, void *data)
{
  State *state = data;

  direct_upstream_list_update (state->upstream_list, object);
}

static void
on_upstreams_synced (void *data)
{
  State *state = data;

  note_heard_here (state, state->upstreams_watch);
  direct_upstream_list_synced (state->upstream_list);
}

static void
on_upstreams_new_era (void *data)
{
  State *state = data;

  direct_upstream_list_store_returned (state->upstream_list);
}

static void
on_upstreams_contact (int error, void *data)
{
  State *state = data;

  direct_upstream_list_note_store (state->upstream_list, error);
}

/* -------- versions -------- */

static void
on_target_version (const DlTargetVersion *target, void *data)
{
  State *state = data;
  DirectMessage *message = direct_message_new (DIRECT_TARGET_VERSION);

  message->version.model = talloc_strdup (message, target->model);
  message->version.version = target->version;
  message->version.announced_ms = target->announced_ms;
  dl_kernel_publish (state->kernel, message);
}

static void
on_observed_version (void *data)
{
  State *state = data;

  state->status_changed = true;
}

static void
on_floor (const DlVersionFloor *floor, void *data)
{
  State *state = data;
  DirectMessage *message = direct_message_new (DIRECT_VERSION_FLOOR);

  message->floor = *floor;
  dl_kernel_publish (state->kernel, message);
}

static void
on_no_target (void *data)
{
  State *state = data;

  dl_kernel_publish (state->kernel, direct_message_new (DIRECT_NO_TARGET));
}

/* -------- other nodes -------- */

static void
publish_signature_records (State *state, const Daisyloft__Wire__NodeStatus *status)
{
  DirectMessage *message;

  if (status->n_signature_record == 0)
    return;
  message = direct_message_new (DIRECT_PEER_SIGNATURE_RECORDS);
  message->signature_records = talloc_zero (message, DlSignatureRecords);
  dl_signature_records_from_status (status, dl_clock_ms (), message->signature_records);
  dl_kernel_publish (state->kernel, message);
}

static void
publish_limit_records (State *state,
                       const DlPeer *peer,
                       const Daisyloft__Wire__NodeStatus *status)
{
  DirectMessage *message;

  if (status->n_limit_record == 0)
    return;
  message = direct_message_new (DIRECT_PEER_LIMIT_RECORDS);
  message->limit_records = talloc_zero (message, DlLimitRecords);
  message->limit_records->entry = talloc_strdup (message, peer->listen);
  dl_limit_records_from_status (status, dl_clock_ms (), message->limit_records);
  dl_kernel_publish (state->kernel, message);
}

static void
publish_holder (State *state,
                const DlPeer *peer,
                const Daisyloft__Wire__NodeStatus *status)
{
  DirectMessage *message;

  if (!peer->is_hub)
    return;
  message = direct_message_new (DIRECT_HOLDER);
  message->holder = dl_holder_from_status (message, peer, status);
  dl_kernel_publish (state->kernel, message);
}

static void
on_node_removed (const DlPeer *peer, void *data)
{
  State *state = data;
  DirectMessage *message = direct_message_new (DIRECT_NODE_REMOVED);

  message->removed_node = talloc_strdup (message, peer->name);
  dl_kernel_publish (state->kernel, message);
}

/* One entry of the region deletes what a stager that is gone had recorded. */
static void
on_node_expired (const DlPeer *peer, void *data)
{
  State *state = data;

  if (peer->role == DAISYLOFT__WIRE__ROLE__ROLE_SLOT
      && dl_peers_position_registered (state->peers) == 0)
    dl_record_delete (state->store, state, platform_kind_loads, peer->name);
}

/* The age is that when the status was sent, so that the time is taken as too late by the
 * datagram's delay. */
static void
receive_heard (State *state,
               const DlPeer *peer,
               const Daisyloft__Wire__NodeStatus *status)
{
  uint64_t now_ms = dl_clock_ms ();

  if (status->store_heard != NULL && status->store_heard->age_ms < now_ms)
    note_heard (state, now_ms - status->store_heard->age_ms, peer->name);
}

static void
on_status (const DlPeer *peer, const Daisyloft__Wire__NodeStatus *status, void *data)
{
  State *state = data;
  const Daisyloft__Wire__EngineStatus *engine = status->engine;
  DirectMessage *message;

  dl_version_watch_receive (state->versions, status, peer->name);
  direct_routing_table_told (state->routing_table, status->routing_version);
  if (peer->role == DAISYLOFT__WIRE__ROLE__ROLE_ENTRY)
    {
      receive_heard (state, peer, status);
      publish_holder (state, peer, status);
      publish_signature_records (state, status);
      publish_limit_records (state, peer, status);
    }
  if (engine == NULL)
    return;
  if (!state->has_been_ready
      && direct_upstream_list_heard (state->upstream_list, engine->address))
    state->engine_heard_ms = dl_clock_ms ();
  message = direct_message_new (DIRECT_ENGINE);
  message->engine = (DirectEngineStatus){
    .address = talloc_strdup (message, engine->address),
    .is_serving = !engine->loading,
    .unchecked = engine->unchecked,
    .loads = engine->loads,
    .running = engine->running,
    .waiting = engine->waiting,
    .pace = engine->pace,
    .version = engine->version,
    .leaving = engine->leaving,
    .started_ms = engine->started_ms,
  };
  dl_kernel_publish (state->kernel, message);
}

static void
refresh_hub (State *state)
{
  bool is_hub = dl_peers_is_hub (state->peers, state->is_hub);
  DirectMessage *message;

  if (is_hub == state->is_hub)
    return;
  state->is_hub = is_hub;
  dl_log (DL_EVENT_HUB, DL_TEXT ("hub", is_hub ? "yes" : "no"));
  message = direct_message_new (DIRECT_HUB);
  message->is_hub = is_hub;
  dl_kernel_publish (state->kernel, message);
}

/* Logs that the proof of the routing table has become old, and that it was renewed. */
static void
watch_routing_proof (State *state)
{
  const DirectRoutingProof *proof = direct_routing_table_proof (state->routing_table);
  uint64_t now_ms = dl_clock_ms ();
  bool is_old = proof->proven_ms != 0
                && now_ms - proof->proven_ms
                       >= state->settings->apply_ms * OLD_PROOF_PERCENT / PERCENT;

  if (is_old && !state->is_proof_old)
    {
      state->old_proven_ms = proof->proven_ms;
      dl_log (DL_EVENT_ROUTING_PROOF_OLD,
              DL_UINT ("version", direct_routing_table_version (state->routing_table)),
              DL_UINT ("age_ms", now_ms - proof->proven_ms),
              DL_TEXT ("reader", direct_origin_text (&proof->origin)),
              DL_UINT ("reader_age_ms", proof->origin.reader_age_ms),
              DL_UINT ("heard_ms_ago", now_ms - MIN (state->heard.last_ms, now_ms)),
              DL_UINT ("heard_for_ms", dl_store_heard_for_ms (&state->heard, now_ms)),
              DL_TEXT ("heard_by", state->heard_by != NULL ? state->heard_by : ""));
    }
  else if (!is_old && state->is_proof_old)
    dl_log (DL_EVENT_ROUTING_PROOF_RENEWED,
            DL_UINT ("version", direct_routing_table_version (state->routing_table)),
            DL_UINT ("age_ms", proof->proven_ms - state->old_proven_ms),
            DL_TEXT ("reader", direct_origin_text (&proof->origin)),
            DL_UINT ("reader_age_ms", proof->origin.reader_age_ms));
  state->is_proof_old = is_old;
}

/* Tells the task of requests when the store was heard. */
static void
publish_heard (State *state)
{
  DirectMessage *message = direct_message_new (DIRECT_STORE_HEARD);

  message->store_heard = state->heard;
  dl_kernel_publish (state->kernel, message);
}

/* Adopts the proof of the routing table when the time that it was withheld for is over.
 */
static void
check_routing_proof (State *state)
{
  if (!dl_object_watch_is_current (state->routing_watch))
    return;
  on_routing_synced (state);
  if (direct_routing_table_needs_proof (state->routing_table))
    dl_object_watch_refresh (state->routing_watch);
}

static void
on_tick (DlTimer *timer, void *data)
{
  State *state = data;
  unsigned every
      = dl_peers_is_large (state->peers) ? STATUS_EVERY_TICKS_LARGE : STATUS_EVERY_TICKS;

  direct_upstream_list_expire (state->upstream_list);
  check_routing_proof (state);
  watch_routing_proof (state);
  publish_heard (state);
  state_refresh_readiness (state);
  refresh_hub (state);
  status_ask_stagers (state);
  if (++state->ticks % every == 0)
    status_send_usual (state);
}

/* -------- the task -------- */

/* Keeps the message at HEAD in place of the one at KEPT; IS_NEWS: its content is to reach
 * the other nodes soon. */
static void
keep_message (State *state, DirectMessage **kept, const DlMessage *head, bool is_news)
{
  if (*kept != NULL)
    dl_message_unref (*kept);
  *kept = dl_message_ref ((void *)head);
  state->status_changed = state->status_changed || is_news;
}

static bool
limits_differ (const State *state, const DirectMessage *message)
{
  return state->limit_records_message == NULL
         || dl_limit_records_differ (state->limit_records_message->limit_records,
                                     message->limit_records);
}

static void
handle (DlTask *task, const DlMessage *head)
{
  State *state = dl_task_state (task);

  if (head->type == DIRECT_HELD_CHANGED)
    direct_held_requests_change (state->held_requests, (const DirectMessage *)head);
  else if (head->type == DIRECT_HOLDINGS)
    {
      keep_message (state, &state->holdings_message, head, false);
      state->holdings_changed = true;
    }
  else if (head->type == DIRECT_SIGNATURE_RECORDS)
    keep_message (state, &state->signature_records_message, head,
                  ((const DirectMessage *)head)->signature_records->is_urgent);
  else
    keep_message (state, &state->limit_records_message, head,
                  limits_differ (state, (const DirectMessage *)head));
}

static int
state_destroy (State *state)
{
  if (state->holdings_message != NULL)
    dl_message_unref (state->holdings_message);
  if (state->signature_records_message != NULL)
    dl_message_unref (state->signature_records_message);
  if (state->limit_records_message != NULL)
    dl_message_unref (state->limit_records_message);
  return 0;
}

/* Sets up the exchange of store objects with the other entries of the region. */
static void
start_relay (State *state)
{
  state->source = dl_relay_source_new (state->task, state, state->settings,
                                       dl_object_client_era (state->store), true);
  state->relay = dl_object_relay_new (state->task, state);
  dl_object_relay_add_kind (state->relay, platform_kind_routing,
                            RELAYED_AGE_MAX_MS (READER_WAIT_MS));
  dl_object_relay_add_kind (state->relay, platform_kind_upstreams,
                            RELAYED_AGE_MAX_MS (READER_WAIT_MS));
  dl_object_relay_add_kind (state->relay, platform_kind_versions,
                            RELAYED_AGE_MAX_MS (VERSIONS_WAIT_MS));
  dl_object_relay_add_kind (state->relay, platform_kind_nodes,
                            RELAYED_AGE_MAX_MS (DL_PEERS_READER_WAIT_MS));
  dl_object_relay_add_kind (state->relay, platform_kind_held,
                            RELAYED_AGE_MAX_MS (DIRECT_HELD_WAIT_MS));
}

static void
start_watches (State *state)
{
  state->routing_watch
      = dl_object_watch_new (state->task, state, state->store,
                             &(DlObjectWatchOptions){
                                 .kind = platform_kind_routing,
                                 .wait_ms
                                 = MIN (state->settings->apply_ms,
                                        direct_routing_max_age_ms (state->settings))
                                   / ROUTING_CHECKS_PER_MAX_AGE,
                                 .reader_wait_ms = READER_WAIT_MS,
                                 .source = state->source,
                                 .apply_ms = state->settings->apply_ms,
                                 .relay = state->relay,
                                 .retry_max_ms = ROUTING_RETRY_MS,
                                 .on_object = on_routing,
                                 .on_synced = on_routing_synced,
                                 .on_contact = on_routing_contact,
                                 .on_new_era = on_routing_new_era,
                                 .relist_spread_ms = RELIST_SPREAD_MS,
                                 .data = state,
                             });
  state->upstreams_watch = dl_object_watch_new (state->task, state, state->store,
                                                &(DlObjectWatchOptions){
                                                    .kind = platform_kind_upstreams,
                                                    .wait_ms = UPSTREAMS_WAIT_MS,
                                                    .reader_wait_ms = READER_WAIT_MS,
                                                    .source = state->source,
                                                    .apply_ms = state->settings->apply_ms,
                                                    .relay = state->relay,
                                                    .pause_ms = UPSTREAMS_PAUSE_MS,
                                                    .reader_pause_ms = READER_PAUSE_MS,
                                                    .retry_max_ms = ROUTING_RETRY_MS,
                                                    .on_object = on_upstream,
                                                    .on_synced = on_upstreams_synced,
                                                    .on_contact = on_upstreams_contact,
                                                    .on_new_era = on_upstreams_new_era,
                                                    .relist_spread_ms = RELIST_SPREAD_MS,
                                                    .data = state,
                                                });
  state->held_requests
      = direct_held_requests_new (state->task, state, state->store,
                                  &(DirectHeldOptions){ .source = state->source,
                                                        .relay = state->relay });
  state->versions = dl_version_watch_new (state->task, state,
                                          &(DlVersionWatchOptions){
                                              .store = state->store,
                                              .kind = platform_kind_versions,
                                              .wait_ms = VERSIONS_WAIT_MS,
                                              .reader_wait_ms = VERSIONS_WAIT_MS,
                                              .source = state->source,
                                              .relay = state->relay,
                                              .retry_max_ms = RETRY_MS,
                                              .relist_spread_ms = VERSIONS_SPREAD_MS,
                                              .limit_ms = state->settings->version_ms,
                                              .read = platform_read_version,
                                              .on_target = on_target_version,
                                              .on_floor = on_floor,
                                              .on_observed = on_observed_version,
                                              .on_no_target = on_no_target,
                                              .data = state,
                                          });
}

static int
start (DlTask *task)
{
  State *state = talloc_zero (NULL, State);
  int error;

  dl_task_set_state (task, state);
  state->task = task;
  state->started_ms = dl_clock_ms ();
  state->kernel = dl_task_kernel (task);
  state->settings = direct_settings (task);
  state->is_hub = true;
  state->routing_table = direct_routing_table_new (state->kernel, state);
  state->upstream_list = direct_upstream_list_new (state->kernel, state);
  talloc_set_destructor (state, state_destroy);
  state->store
      = dl_object_client_new_with_protocol (task, state, state->settings->store,
                                            STORE_TIMEOUT_MS, &platform_store_protocol);
  dl_object_client_set_max_body (state->store, DL_NODE_LIST_MAX_BYTES);
  start_relay (state);
  error = dl_peers_new (task, state,
                        &(DlPeersOptions){
                            .settings = state->settings,
                            .role = DAISYLOFT__WIRE__ROLE__ROLE_ENTRY,
                            .store = state->store,
                            .kind = platform_kind_nodes,
                            .entries_kind
                            = platform_kind_of_entries (state, state->settings->region),
                            .source = state->source,
                            .relay = state->relay,
                            .on_status = on_status,
                            .on_unknown_node = status_on_unknown_node,
                            .on_removed = on_node_removed,
                            .on_expired = on_node_expired,
                            .data = state,
                        },
                        &state->peers);
  if (error < 0)
    return error;
  error = dl_metrics_page_new (task, state, state->settings->metrics, state->relay);
  if (error < 0)
    return error;
  start_watches (state);
  state_watch_evacuations (state);
  dl_timer_subscribe (task, state, TICK_MS, TICK_MS, on_tick, state);
  dl_timer_subscribe (task, state, STATUS_CHANGED_MS, STATUS_CHANGED_MS, status_on_tick,
                      state);
  return 0;
}

static void
drain (DlTask *task)
{
  state_refresh_readiness (dl_task_state (task));
  dl_task_drained (task);
}

static json_object *
dump (DlTask *task)
{
  const State *state = dl_task_state (task);
  json_object *object = json_object_new_object ();

  json_object_object_add (object, "routing_version",
                          json_object_new_uint64 (
                              direct_routing_table_version (state->routing_table)));
  json_object_object_add (object, "routing_age_ms",
                          json_object_new_uint64 (
                              dl_clock_ms ()
                              - direct_routing_table_proven_ms (state->routing_table)));
  json_object_object_add (object, "upstreams",
                          json_object_new_int (
                              (int)direct_upstream_list_count (state->upstream_list)));
  json_object_object_add (object, "ready", json_object_new_boolean (state->ready));
  return object;
}

static DlPlugin state_plugin = {
  .name = "state",
  .order = 30,
  .subscriptions
  = UINT64_C (1) << DIRECT_HOLDINGS | UINT64_C (1) << DIRECT_SIGNATURE_RECORDS
    | UINT64_C (1) << DIRECT_LIMIT_RECORDS | UINT64_C (1) << DIRECT_HELD_CHANGED,
  .start = start,
  .handle = handle,
  .drain = drain,
  .dump = dump,
};
DL_PLUGIN_REGISTER (state_plugin)
