/*
 * Task "requests": admits callers' requests and enforces their deadlines.
 */
#include "requests.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "platform.h"

/* Interval of the check of queues, deadlines and silent upstreams. */
#define SWEEP_MS   40
#define SUMMARY_MS 5000
/* With more connections than this, or than this part of those that are accepted, they are
 * closed after each response, before idle ones are closed for want of room. */
#define KEEPALIVE_CONNECTIONS_MAX 600
#define KEEPALIVE_PERCENT         80
#define PERCENT                   100
#define HEADER_BYTES_MAX          (20u << 10)
#define BODY_BYTES_MAX            (8u << 20)
#define IDLE_TIMEOUT_S            120
/* New connections are still accepted for this long after a graceful shutdown began, until
 * callers have learnt of it, and while requests are in progress. */
#define STOP_LISTEN_MS 3200
#define STOP_CHECK_MS  100
/* Retry-After of requests refused because the routing table is missing, too old to check
 * a key, or names an unknown service (the store may be back soon), or because no request
 * slot became free in time. */
#define STALE_RETRY_MS 900
/* Retry-After of requests refused because this entry stops: others can serve them now. */
#define STOPPING_RETRY_MS 10

#define STATUS_UNAUTHORIZED     401
#define STATUS_NOT_FOUND        404
#define STATUS_TOO_LARGE        413
#define STATUS_HEADER_TOO_LARGE 431
#define STATUS_GATEWAY_TIMEOUT  504

DL_METRIC (metric_requests,
           DL_METRIC_COUNTER,
           "daisy_direct_requests_total",
           "Requests of callers.")
DL_METRIC (metric_cancelled,
           DL_METRIC_COUNTER,
           "daisy_direct_cancelled_total",
           "Requests whose caller disconnected.")
DL_METRIC (metric_cut,
           DL_METRIC_COUNTER,
           "daisy_direct_cut_after_sent_total",
           "Requests that were sent to an upstream and ended without their whole "
           "response, but by their caller.")
DL_METRIC (metric_duration,
           DL_METRIC_HISTOGRAM,
           "daisy_direct_request_ms",
           "Time from a request's arrival to its final response.")

/* -------- requests in progress -------- */

static void
link_request (Requests *requests, Request *r)
{
  r->next = requests->first;
  if (r->next != NULL)
    r->next->link = &r->next;
  r->link = &requests->first;
  requests->first = r;
}

static void
unlink_request (Request *r)
{
  if (r->link == NULL)
    return;
  *r->link = r->next;
  if (r->next != NULL)
    r->next->link = r->link;
  r->link = NULL;
}

void
direct_request_release (Request *r)
{
  direct_dispatch_dequeue (r);
  direct_ending_return_retry (r);
  while (r->attempts != NULL)
    direct_attempt_cancel (r->attempts, DIRECT_ATTEMPT_NEUTRAL, "the request ended");
  if (r->link != NULL)
    dl_metric_observe_us (&metric_duration, (dl_clock_ms () - r->arrived_ms) * 1000);
  unlink_request (r);
}

static int
request_destroy (Request *r)
{
  direct_request_release (r);
  if (r->routing != NULL)
    dl_message_unref (r->routing);
  return 0;
}

static void
on_closed (DlHttpRequest *http, bool completed, void *data)
{
  Request *r = data;
  Service *service = r->service;
  DlHttpEnd end = dl_http_request_end (http);

  if (!completed && end != DL_HTTP_CALLER_LEFT && r->attempt_count > 0)
    dl_metric_add (&metric_cut, 1);
  if (r->link == NULL)
    return;
  dl_metric_add (&metric_cancelled, 1);
  dl_log (DL_EVENT_REQUEST_CANCELLED, DL_TEXT ("request", r->incoming.id),
          DL_TEXT ("cause", dl_http_end_text (end)),
          DL_UINT ("age_ms", dl_clock_ms () - r->arrived_ms),
          DL_UINT ("sent", r->attempt_count));
  direct_request_release (r);
  if (service != NULL)
    direct_dispatch_run_queue (service);
}

uint64_t
direct_request_remaining_ms (const Request *r, uint64_t now_ms)
{
  return r->deadline_ms > now_ms ? r->deadline_ms - now_ms : 0;
}

/* -------- admission -------- */

static DlRoutingTrust
trust (const Requests *requests)
{
  return direct_routing_trust (requests->settings, requests->routing_proof.proven_ms,
                               &requests->store_heard);
}

/* Rejects a request that the routing table does not allow, or refuses it when another
 * table may allow it. */
static void
reject (Request *r, unsigned status, const char *reason)
{
  const Requests *requests = r->owner;
  const DlRoutingDenialQuery query = {
    .version = r->routing->routing->version,
    .newest_version = requests->routing_proof.newest_version,
    .proven_ms = requests->routing_proof.proven_ms,
    .apply_ms = requests->settings->apply_ms,
  };

  if (dl_routing_may_deny (&query, dl_clock_ms ()))
    direct_request_deny (r, status, reason);
  else
    direct_request_refuse (r, STALE_RETRY_MS, "a newer routing table may allow it");
}

/* Checks the sizes of the request; returns false after it was rejected. */
static bool
check_limits (Request *r)
{
  const DlCallerLimits *limits = &r->routing->routing->limits;

  if (limits->header_bytes_max > 0 && r->incoming.header_bytes > limits->header_bytes_max)
    reject (r, STATUS_HEADER_TOO_LARGE, "the headers are too large");
  else if (limits->body_bytes_max > 0
           && dl_http_request_body (r->http).length > limits->body_bytes_max)
    reject (r, STATUS_TOO_LARGE, "the body is too large");
  else
    return true;
  return false;
}

/* Finds the organisation whose key the request has; returns false after it was rejected
 * or refused. */
static bool
check_key (Request *r)
{
  const DlRouting *routing = r->routing->routing;

  if (!routing->has_organisations || r->route->open)
    return true;
  if (trust (r->owner) != DL_ROUTING_TRUSTED)
    {
      direct_request_refuse (r, STALE_RETRY_MS, "no fresh word whether its key holds");
      return false;
    }
  if (r->incoming.key != NULL)
    r->organisation = dl_routing_key_owner (routing, r->incoming.key);
  if (r->organisation != NULL)
    return true;
  reject (r, STATUS_UNAUTHORIZED, "unknown key");
  return false;
}

static void
set_identity (Request *r)
{
  const char *caller = r->organisation != NULL ? r->organisation->name : r->incoming.key;

  r->identity = dl_request_signature (&(DlRequestIdentity){
      .host = r->incoming.host,
      .path = r->incoming.path,
      .caller = caller != NULL ? dl_str (caller) : (DlStr){ 0 },
      .body = dl_http_request_body (r->http),
  });
  if (!r->service_entry->has_engine)
    r->incoming.signatures.count = 0; /* only engines process prompts */
  dl_signatures_add_whole (&r->incoming.signatures, r->identity);
}

/* A later table does not change it: upstreams were given this time, and stop then. */
static void
set_deadline (Request *r)
{
  uint64_t limit_ms = r->route->timeout_ms;

  if (r->incoming.remaining_ms > 0)
    limit_ms = MIN (limit_ms, r->incoming.remaining_ms);
  r->deadline_ms = r->arrived_ms + limit_ms;
}

/* True when this entry may end before the request's deadline. */
static bool
outlasts_stop (const Request *r)
{
  uint64_t abandon_ms = dl_kernel_abandon_ms (dl_task_kernel (r->owner->task));

  return abandon_ms != 0 && r->deadline_ms > abandon_ms;
}

/* Logs a request that is accepted by a table which may have been replaced, unless that is
 * for an outage of the store. */
static void
note_old_table (const Request *r)
{
  const DirectRoutingProof *proof = &r->owner->routing_proof;
  uint64_t now_ms = dl_clock_ms ();
  uint64_t age_ms = now_ms - proof->proven_ms;

  if (age_ms >= r->owner->settings->apply_ms
      && dl_store_heard_for_ms (&r->owner->store_heard, now_ms) > 0)
    dl_log (DL_EVENT_REQUEST_OLD_TABLE, DL_TEXT ("request", r->incoming.id),
            DL_UINT ("routing", r->routing->routing->version), DL_UINT ("age_ms", age_ms),
            DL_TEXT ("reader", direct_origin_text (&proof->origin)),
            DL_UINT ("reader_age_ms", proof->origin.reader_age_ms));
}

static void
admit (Request *r)
{
  const DlRouting *routing = r->routing->routing;
  const char *service;

  if (trust (r->owner) == DL_ROUTING_OVERDUE)
    {
      direct_request_refuse (r, STALE_RETRY_MS, "the routing table may be replaced");
      return;
    }
  if (direct_upstreams_may_be_evacuated (r->owner->upstreams))
    {
      direct_request_refuse (r, STALE_RETRY_MS,
                             "it is not known which data centres are evacuated");
      return;
    }
  r->route = dl_routing_match (routing, r->incoming.host, r->incoming.path);
  if (r->route == NULL)
    {
      reject (r, STATUS_NOT_FOUND, "no such route");
      return;
    }
  if (!check_limits (r) || !check_key (r))
    return;
  set_deadline (r);
  if (r->route->kind == DL_ROUTE_STREAM)
    r->last_event_id = r->incoming.last_event_id;
  if (direct_request_remaining_ms (r, dl_clock_ms ()) == 0)
    {
      direct_request_refuse (r, STALE_RETRY_MS, "its time ran out before it was read");
      return;
    }
  if (outlasts_stop (r))
    {
      direct_request_refuse (r, STOPPING_RETRY_MS, "this entry is stopping");
      return;
    }
  service = dl_routing_pick_target (r->route, dl_random_uint64 ());
  r->service_entry = service != NULL ? dl_routing_service (routing, service) : NULL;
  if (r->service_entry == NULL)
    {
      direct_request_refuse (r, STALE_RETRY_MS, "the route names no known service");
      return;
    }
  note_old_table (r);
  r->service = direct_service_get (r->owner, service);
  direct_limits_note_request (r->service, r->arrived_ms);
  set_identity (r);
  if (direct_quarantine_admit (r))
    direct_dispatch_request (r);
}

static void
on_request (DlHttpRequest *http, void *data)
{
  Requests *requests = data;
  Request *r = talloc_zero (http, Request);

  g_assert (r != NULL);
  dl_metric_add (&metric_requests, 1);
  r->owner = requests;
  r->http = http;
  r->arrived_ms = dl_http_request_arrived_ms (http);
  platform_read_request (http, &r->incoming);
  link_request (requests, r);
  talloc_set_destructor (r, request_destroy);
  dl_http_request_on_closed (http, on_closed, r);
  if (requests->routing == NULL)
    direct_request_refuse (r, STALE_RETRY_MS, "no routing table yet");
  else
    {
      r->routing = dl_message_ref (requests->routing);
      admit (r);
    }
}

/* -------- timers -------- */

/* Ends a request whose deadline has passed. */
static void
sweep_request (Request *r, uint64_t now_ms)
{
  if (now_ms < r->deadline_ms)
    return;
  if (r->attempt_count == 0)
    direct_request_refuse (r, STALE_RETRY_MS, "its time ran out before a place was free");
  else
    direct_request_fail (r, STATUS_GATEWAY_TIMEOUT, "its time ran out");
}

/* Sends the final response of a request that this entry cannot finish before it ends. */
static void
abandon_request (Request *r)
{
  if (r->attempts == NULL && !r->may_have_run)
    direct_request_refuse (r, STOPPING_RETRY_MS, "this entry ended before it was run");
  else
    direct_request_fail (r, STATUS_GATEWAY_TIMEOUT, dl_end_cause_text (DL_END_STOPPED));
}

static void
on_sweep (DlTimer *timer, void *data)
{
  Requests *requests = data;
  uint64_t now_ms = dl_clock_ms ();
  Request *next;

  direct_quarantine_tick (requests, now_ms);
  direct_limits_tick (requests->limits, now_ms);
  direct_outdated_withdraw (requests, now_ms);
  direct_dispatch_run_queues (requests);
  direct_dispatch_expire (requests, now_ms);
  for (Request *r = requests->first; r != NULL; r = next)
    {
      next = r->next;
      /* The end of the previous request may have ended this one too. */
      if (r->link != NULL)
        sweep_request (r, now_ms);
    }
}

static void
on_summary (DlTimer *timer, void *data)
{
  const Requests *requests = data;

  DirectRequestCounts counts = direct_request_counts ();

  dl_log (DL_EVENT_REQUESTS_SUMMARY, DL_INT ("requests", metric_requests.value),
          DL_INT ("served", counts.served), DL_INT ("late", counts.late),
          DL_INT ("refused", counts.refused), DL_INT ("failed", counts.failed),
          DL_INT ("denied", counts.denied), DL_INT ("cancelled", metric_cancelled.value),
          DL_UINT ("running", dl_http_server_active_requests (requests->server)),
          DL_UINT ("entries", direct_upstreams_entry_count (requests->upstreams)),
          DL_UINT ("routing_age_ms", dl_clock_ms () - requests->routing_proof.proven_ms));
}

/* -------- the task -------- */

/* A body that the table does not allow is not kept while it arrives. */
static void
adopt_limits (const Requests *requests)
{
  uint64_t bytes = requests->routing->routing->limits.body_bytes_max;

  if (requests->server != NULL)
    dl_http_server_set_max_body (requests->server, bytes > 0 ? MIN (bytes, BODY_BYTES_MAX)
                                                             : BODY_BYTES_MAX);
}

static void
handle (DlTask *task, const DlMessage *head)
{
  Requests *requests = dl_task_state (task);
  const DirectMessage *m = (const DirectMessage *)head;

  switch ((DirectMessageType)head->type)
    {
    case DIRECT_ROUTING:
      if (requests->routing != NULL)
        dl_message_unref (requests->routing);
      requests->routing = dl_message_ref ((void *)m);
      adopt_limits (requests);
      break;
    case DIRECT_UPSTREAM:
      direct_upstreams_set (requests->upstreams, &m->upstream, dl_clock_ms ());
      break;
    case DIRECT_UPSTREAM_REMOVED:
      direct_upstreams_remove (requests->upstreams, m->removed_upstream, dl_clock_ms ());
      break;
    case DIRECT_ENGINE:
      direct_upstreams_update_engine (requests->upstreams, &m->engine, dl_clock_ms ());
      direct_dispatch_run_queues (requests);
      break;
    case DIRECT_VERSION_FLOOR:
      direct_upstreams_set_floor (requests->upstreams, &m->floor);
      break;
    case DIRECT_EVACUATION:
      direct_upstreams_set_evacuated (requests->upstreams, m->evacuation.data_center,
                                      m->evacuation.is_evacuated, dl_clock_ms ());
      break;
    case DIRECT_EVACUATIONS_KNOWN:
      direct_upstreams_evacuations_known (requests->upstreams);
      break;
    case DIRECT_REGISTERED:
      direct_upstreams_set_registered (requests->upstreams, (DirectMessage *)m);
      break;
    case DIRECT_ROUTING_PROOF:
      requests->routing_proof = m->routing_proof;
      break;
    case DIRECT_STORE_HEARD:
      requests->store_heard = m->store_heard;
      break;
    case DIRECT_ENTRIES:
      direct_dispatch_set_entries (requests, (unsigned)m->entries.same_region_count,
                                   (unsigned)m->entries.other_region_count);
      direct_quarantine_set_entries (requests, m);
      direct_limits_set_entries (requests->limits, m);
      break;
    case DIRECT_PEER_SIGNATURE_RECORDS:
      direct_quarantine_merge (requests, m->signature_records);
      break;
    case DIRECT_PEER_LIMIT_RECORDS:
      direct_limits_merge (requests->limits, m->limit_records);
      break;
    case DIRECT_HELD_KEPT:
      direct_quarantine_restore (requests, &m->held.id, m->held.trials);
      break;
    case DIRECT_HELD_CHANGED:
    case DIRECT_TARGET_VERSION:
    case DIRECT_NO_TARGET:
    case DIRECT_HOLDER:
    case DIRECT_NODE_REMOVED:
    case DIRECT_HUB:
    case DIRECT_HOLDINGS:
    case DIRECT_SIGNATURE_RECORDS:
    case DIRECT_LIMIT_RECORDS:
      break;
    }
}

static void
log_abandoned (const Request *r)
{
  uint64_t now_ms = dl_clock_ms ();

  dl_log_kept (DL_EVENT_REQUEST_ABANDONED, DL_TEXT ("request", r->incoming.id),
               DL_TEXT ("route", r->route != NULL ? r->route->name : ""),
               DL_UINT ("age_ms", now_ms - r->arrived_ms),
               DL_INT ("after_stop_ms",
                       (int64_t)(r->arrived_ms - r->owner->stop_began_ms)),
               DL_UINT ("remaining_ms", direct_request_remaining_ms (r, now_ms)),
               DL_UINT ("sent", r->attempt_count),
               DL_UINT ("last_event", r->last_event_id));
}

static int
requests_destroy (Requests *requests)
{
  while (requests->first != NULL)
    {
      log_abandoned (requests->first);
      direct_request_release (requests->first);
    }
  g_hash_table_destroy (requests->services);
  if (requests->routing != NULL)
    dl_message_unref (requests->routing);
  return 0;
}

static int
start (DlTask *task)
{
  Requests *requests = talloc_zero (NULL, Requests);

  dl_task_set_state (task, requests);
  requests->task = task;
  requests->settings = direct_settings (task);
  requests->services = g_hash_table_new (g_str_hash, g_str_equal);
  requests->upstreams = direct_upstreams_new (requests, requests->settings);
  requests->quarantine = dl_quarantine_new (requests);
  requests->limits = direct_limits_new (requests);
  requests->client = dl_http_client_new (task, requests);
  talloc_set_destructor (requests, requests_destroy);
  dl_timer_subscribe (task, requests, SWEEP_MS, SWEEP_MS, on_sweep, requests);
  dl_timer_subscribe (task, requests, SUMMARY_MS, SUMMARY_MS, on_summary, requests);
  return 0;
}

static int
open_server (DlTask *task)
{
  Requests *requests = dl_task_state (task);
  DlHttpLimits limits = {
    .max_connections = (unsigned)requests->settings->connections_max,
    .max_held_bytes = requests->settings->held_bodies_bytes,
    .stall_ms = requests->settings->stall_ms,
    .arrival_ms = requests->settings->arrival_ms,
    .max_keepalive_connections
    = MIN (KEEPALIVE_CONNECTIONS_MAX,
           (unsigned)requests->settings->connections_max * KEEPALIVE_PERCENT / PERCENT),
    .max_body_bytes = BODY_BYTES_MAX,
    .max_header_bytes = HEADER_BYTES_MAX,
    .idle_timeout_s = IDLE_TIMEOUT_S,
  };
  int error = dl_http_server_new (task, requests, dl_str (requests->settings->listen),
                                  &limits, on_request, requests, &requests->server);

  if (error < 0)
    return error;
  dl_http_server_set_id_header (requests->server, platform_request_id_header);
  if (requests->routing != NULL)
    adopt_limits (requests);
  return 0;
}

/* Lets the process end once nothing is in progress.  Until then callers that have not
 * learnt of the shutdown get a response.  What arrived during a pause of this process is
 * accepted and read first. */
static void
on_stop_check (DlTimer *timer, void *data)
{
  Requests *requests = data;
  uint64_t now_ms = dl_clock_ms ();
  uint64_t resumed_ms = dl_kernel_resumed_ms (dl_task_kernel (requests->task));

  if (now_ms < requests->stop_began_ms + STOP_LISTEN_MS
      || now_ms < resumed_ms + STOP_CHECK_MS
      || dl_http_server_active_requests (requests->server) > 0)
    return;
  dl_task_drained (requests->task);
}

static void
drain (DlTask *task)
{
  Requests *requests = dl_task_state (task);

  requests->stop_began_ms = dl_clock_ms ();
  dl_http_server_disable_keepalive (requests->server);
  dl_timer_subscribe (task, requests, STOP_CHECK_MS, STOP_CHECK_MS, on_stop_check,
                      requests);
}

static bool
is_idle (DlTask *task)
{
  const Requests *requests = dl_task_state (task);

  return dl_http_server_is_idle (requests->server);
}

static void
abandon (DlTask *task)
{
  Requests *requests = dl_task_state (task);

  dl_http_server_quiesce (requests->server);
  while (requests->first != NULL)
    {
      log_abandoned (requests->first);
      abandon_request (requests->first);
    }
}

static json_object *
dump (DlTask *task)
{
  const Requests *requests = dl_task_state (task);
  json_object *object = json_object_new_object ();

  json_object_object_add (object, "running",
                          json_object_new_int (
                              (int)dl_http_server_active_requests (requests->server)));
  json_object_object_add (object, "entries",
                          json_object_new_int (
                              (int)direct_upstreams_entry_count (requests->upstreams)));
  json_object_object_add (object, "upstreams",
                          direct_upstreams_dump (requests->upstreams));
  return object;
}

#define MESSAGE(type) (UINT64_C (1) << (type))

static DlPlugin requests_plugin = {
  .name = "requests",
  .order = 10,
  .subscriptions = MESSAGE (DIRECT_ROUTING) | MESSAGE (DIRECT_UPSTREAM)
                   | MESSAGE (DIRECT_UPSTREAM_REMOVED) | MESSAGE (DIRECT_ENGINE)
                   | MESSAGE (DIRECT_ROUTING_PROOF) | MESSAGE (DIRECT_STORE_HEARD)
                   | MESSAGE (DIRECT_VERSION_FLOOR) | MESSAGE (DIRECT_ENTRIES)
                   | MESSAGE (DIRECT_PEER_SIGNATURE_RECORDS)
                   | MESSAGE (DIRECT_PEER_LIMIT_RECORDS) | MESSAGE (DIRECT_HELD_KEPT)
                   | MESSAGE (DIRECT_EVACUATION) | MESSAGE (DIRECT_EVACUATIONS_KNOWN)
                   | MESSAGE (DIRECT_REGISTERED),
  .start = start,
  .open = open_server,
  .handle = handle,
  .drain = drain,
  .abandon = abandon,
  .is_idle = is_idle,
  .dump = dump,
};
DL_PLUGIN_REGISTER (requests_plugin)
