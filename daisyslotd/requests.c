/*
 * The requests task: accepts connections from entries, sends them the status of this
 * slot process, and forwards their requests to the engine or plain service.
 *
 * All requests to an upstream pass through its slot process, whose count of requests in
 * progress is therefore exact.  It refuses, as not run, requests beyond the upstream's
 * capacity and the service's queue limit, whatever the entries' estimate of its load.
 */
#include "requests.h"

#include <string.h>
#include <talloc.h>

#include "kernel/log.h"
#include "kernel/metrics.h"

#define LOAD_INTERVAL_MS    200
#define CACHE_INTERVAL_MS   1000
#define STATUS_INTERVAL_MS  1000
#define LIMIT_UNKNOWN       256 /* requests in progress, while the capacity is unknown */
#define RETRY_AFTER_MIN_MS  100
#define RETRY_AFTER_MAX_MS  10000
#define MICROSECONDS_PER_MS 1000
#define SMOOTHING           8 /* a new sample has weight 1 / SMOOTHING */

DL_METRIC (metric_running,
           DL_METRIC_GAUGE,
           "daisy_slot_requests_running",
           "Requests in progress at the engine or service.")

/* -------- limits -------- */

static const DlService *
own_service (const RequestsTask *t)
{
  return t->fleet != NULL ? dl_fleet_service (t->fleet->fleet.fleet, t->settings->service)
                          : NULL;
}

/* Returns the number of requests that run at once without queueing; 0: unknown. */
static unsigned
capacity (const RequestsTask *t)
{
  const DlService *service = own_service (t);

  if (service != NULL && service->capacity > 0)
    return (unsigned)service->capacity;
  return t->engine != NULL ? t->engine->engine.capacity : 0;
}

/* Returns the number of requests that may run or queue at once. */
static unsigned
limit (const RequestsTask *t)
{
  const DlService *service = own_service (t);
  unsigned at_once = capacity (t);

  if (at_once == 0)
    return LIMIT_UNKNOWN;
  return at_once + (service != NULL ? (unsigned)service->queue : 0);
}

/* A usage is never freed, as operators configure only few organisations. */
OrganisationUsage *
requests_usage (RequestsTask *t, const char *organisation)
{
  OrganisationUsage *u = g_hash_table_lookup (t->usages, organisation);

  if (u != NULL)
    return u;
  u = talloc_zero (t, OrganisationUsage);
  g_assert (u != NULL);
  u->organisation = talloc_strdup (u, organisation);
  g_hash_table_insert (t->usages, u->organisation, u);
  return u;
}

static uint64_t
organisation_weight (const RequestsTask *t, const char *name)
{
  const DlOrganisation *o
      = t->fleet != NULL ? dl_fleet_organisation (t->fleet->fleet.fleet, name) : NULL;

  return o != NULL ? o->weight : 1;
}

/* Sums the weights of the organisations with a recent or running request. */
static uint64_t
active_weight (const RequestsTask *t, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t sum = 0;

  g_hash_table_iter_init (&iter, t->usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const OrganisationUsage *u = value;

      if (u->count > 0 || now_ms - u->requested_ms < DL_ADMIT_ACTIVE_MS)
        sum += organisation_weight (t, u->organisation);
    }
  return sum;
}

DlAdmitDecision
requests_admit (RequestsTask *t, OrganisationUsage *usage, unsigned priority)
{
  unsigned at_once = capacity (t);

  usage->requested_ms = dl_clock_ms ();
  return dl_admit_check (&(DlAdmitQuery){
      .slots = limit (t),
      .capacity = at_once > 0 ? at_once : LIMIT_UNKNOWN,
      .used = t->running,
      .own_used = t->running,
      .held = usage->count,
      .weight = organisation_weight (t, usage->organisation),
      .active_weight = active_weight (t, usage->requested_ms),
      .priority = priority,
      .priorities
      = t->fleet != NULL ? (unsigned)t->fleet->fleet.fleet->priorities.count : 1,
  });
}

uint32_t
requests_retry_after_ms (const RequestsTask *t)
{
  unsigned known = capacity (t);
  unsigned at_once = known > 0 ? known : 1;
  unsigned waiting = t->running >= at_once ? t->running - at_once + 1 : 1;
  uint64_t wait_ms = t->mean_duration_us * waiting / at_once / MICROSECONDS_PER_MS;

  return (uint32_t)CLAMP (wait_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

/* -------- status to entries -------- */

/* Returns the status from the relays task, or a minimal one before the first. */
static Daisyloft__Wire__SlotStatus
base_status (RequestsTask *t)
{
  Daisyloft__Wire__SlotStatus status = DAISYLOFT__WIRE__SLOT_STATUS__INIT;
  const SlotMessage *engine = t->engine;

  if (t->status != NULL)
    return *t->status->status.status;
  status.host = (char *)t->settings->name;
  status.service = (char *)t->settings->service;
  status.region = (char *)t->settings->region;
  status.data_center = (char *)t->settings->data_center;
  status.incarnation = dl_kernel_incarnation (dl_task_kernel (t->task));
  status.state = DAISYLOFT__WIRE__SLOT_STATE__SLOT_SERVING;
  status.accepts_requests = t->settings->kind == DL_SERVICE_PLAIN;
  if (engine != NULL && engine->engine.reachable
      && !dl_digest_is_zero (&engine->engine.serving))
    {
      status.serving_version
          = DL_BYTES (dl_str_bytes (engine->engine.serving.bytes, DL_DIGEST_BYTES));
      status.accepts_requests = true;
    }
  return status;
}

static void
send_status (RequestsTask *t, RequestPeer *peer)
{
  Daisyloft__Wire__SlotStatus status = base_status (t);
  DlEnvelope envelope = DL_ENVELOPE (SLOT_STATUS, slot_status, &status);
  unsigned at_once = capacity (t);

  status.capacity = at_once;
  status.requests_running = at_once > 0 ? MIN (t->running, at_once) : t->running;
  status.requests_queued = t->running - status.requests_running;
  if (!t->accept || t->stopping)
    status.accepts_requests = false;
  if (t->stopping)
    status.state = DAISYLOFT__WIRE__SLOT_STATE__SLOT_LEAVING;
  dl_conn_send (peer->conn, &envelope, dl_str_bytes (NULL, 0));
}

static void
send_status_to_all (RequestsTask *t)
{
  GHashTableIter iter;
  gpointer peer;

  t->reported_running = t->running;
  g_hash_table_iter_init (&iter, t->peers);
  while (g_hash_table_iter_next (&iter, &peer, NULL))
    send_status (t, peer);
}

static void
on_status_timer (DlTimer *timer, void *data)
{
  RequestsTask *t = data;

  if (t->reported_running != t->running)
    send_status_to_all (t);
}

static void
publish_load (RequestsTask *t)
{
  SlotMessage *message;

  dl_metric_set (&metric_running, t->running);
  if (t->published_running == t->running
      && t->published_first_byte_us == t->mean_first_byte_us)
    return;
  t->published_running = t->running;
  t->published_first_byte_us = t->mean_first_byte_us;
  message = dl_message_new (SLOT_MSG_LOAD, sizeof *message);
  message->load.running = t->running;
  message->load.first_byte_us = t->mean_first_byte_us;
  dl_kernel_publish (dl_task_kernel (t->task), message);
}

static void
on_load_timer (DlTimer *timer, void *data)
{
  publish_load (data);
}

static void
on_cache_timer (DlTimer *timer, void *data)
{
  RequestsTask *t = data;

  if (t->cache_poll == NULL && g_hash_table_size (t->peers) > 0)
    requests_poll_cache (t);
}

/* -------- graceful shutdown -------- */

static void
check_drained (RequestsTask *t)
{
  if (t->stopping && t->running == 0)
    dl_task_drained (t->task);
}

void
requests_ended (RequestsTask *t, uint64_t duration_us)
{
  g_assert (t->running > 0);
  t->running--;
  if (duration_us > 0)
    t->mean_duration_us
        = t->mean_duration_us == 0
              ? duration_us
              : (t->mean_duration_us * (SMOOTHING - 1) + duration_us) / SMOOTHING;
  check_drained (t);
}

static void
requests_drain (DlTask *task)
{
  RequestsTask *t = dl_task_state (task);

  t->stopping = true;
  dl_log (DL_EVENT_REQUESTS_LEAVING, DL_UINT ("running", t->running));
  send_status_to_all (t);
  check_drained (t);
}

static bool
requests_is_idle (DlTask *task)
{
  const RequestsTask *t = dl_task_state (task);

  return t->running == 0;
}

/* -------- connections -------- */

static void
on_frame (DlConn *conn, const DlEnvelope *envelope, DlStr payload, void *data)
{
  RequestPeer *peer = data;
  uint64_t stream = envelope->stream;
  SlotRequest *request = g_hash_table_lookup (peer->streams, &stream);

  switch (envelope->body_case)
    {
    case DAISYLOFT__WIRE__ENVELOPE__BODY_REQUEST_OPEN:
      slot_request_open (peer, stream, envelope->request_open, payload);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_RESPONSE_CREDIT:
      if (request != NULL)
        slot_request_credit (request, envelope->response_credit->bytes);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_REQUEST_CANCEL:
      if (request != NULL)
        slot_request_cancel (request);
      break;
    default:
      break;
    }
}

static void
on_closed (DlConn *conn, int error, void *data)
{
  RequestPeer *peer = data;
  GList *streams = g_hash_table_get_values (peer->streams);

  dl_log (DL_EVENT_REQUESTS_PEER_GONE, DL_TEXT ("entry", dl_conn_peer (conn)->name),
          DL_UINT ("requests", g_hash_table_size (peer->streams)), DL_ERRNO (error));
  g_hash_table_remove_all (peer->streams);
  for (GList *l = streams; l != NULL; l = l->next)
    slot_request_detach (l->data);
  g_list_free (streams);
  g_hash_table_remove (peer->requests->peers, peer);
  talloc_free (peer);
}

static int
peer_destroy (RequestPeer *peer)
{
  g_hash_table_destroy (peer->streams);
  return 0;
}

static void
accept_connection (RequestsTask *t, DlConn *conn)
{
  static const DlConnHandler handler = { .on_frame = on_frame, .on_closed = on_closed };
  RequestPeer *peer = talloc_zero (t, RequestPeer);

  g_assert (peer != NULL);
  peer->requests = t;
  peer->conn = conn;
  peer->streams = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (peer, peer_destroy);
  dl_conn_set_handler (conn, &handler, peer);
  dl_conn_set_owner (conn, peer);
  g_hash_table_add (t->peers, peer);
  send_status (t, peer);
}

/* -------- messages -------- */

static void
abort_peer_requests (RequestPeer *peer)
{
  GList *streams = g_hash_table_get_values (peer->streams);

  for (GList *l = streams; l != NULL; l = l->next)
    slot_request_abort_if_silent (l->data);
  g_list_free (streams);
}

/* An unreachable engine would hold its streams open.  Ending them lets the entries resume
 * them at other upstreams.  One that only does not tell its state goes on with them. */
static void
abort_silent_requests (RequestsTask *t)
{
  GHashTableIter iter;
  gpointer peer;

  g_hash_table_iter_init (&iter, t->peers);
  while (g_hash_table_iter_next (&iter, &peer, NULL))
    abort_peer_requests (peer);
}

static void
replace_message (const SlotMessage **kept, const SlotMessage *message)
{
  if (*kept != NULL)
    dl_message_unref ((void *)*kept);
  *kept = dl_message_ref ((void *)message);
}

static void
requests_handle (DlTask *task, const DlMessage *base)
{
  RequestsTask *t = dl_task_state (task);
  const SlotMessage *message = (const SlotMessage *)base;

  switch ((SlotMessageType)base->type)
    {
    case SLOT_MSG_CONNECTION:
      accept_connection (t, message->connection.connection);
      break;
    case SLOT_MSG_STATUS:
      replace_message (&t->status, message);
      send_status_to_all (t);
      break;
    case SLOT_MSG_FLEET:
      replace_message (&t->fleet, message);
      break;
    case SLOT_MSG_ENGINE:
      if (!message->engine.reachable)
        {
          abort_silent_requests (t);
          t->last_cache_event = 0; /* a restarted engine counts from the start again */
        }
      replace_message (&t->engine, message);
      if (t->status == NULL)
        send_status_to_all (t);
      break;
    case SLOT_MSG_ROTATION:
      if (t->accept == message->rotation.accept)
        break;
      t->accept = message->rotation.accept;
      dl_log (DL_EVENT_REQUESTS_ROTATION, DL_INT ("accept", t->accept));
      /* Published at once: the engine task waits for a count of 0 before it sends a load
       * command. */
      publish_load (t);
      send_status_to_all (t);
      break;
    default:
      break;
    }
}

static json_object *
requests_dump (DlTask *task)
{
  const RequestsTask *t = dl_task_state (task);
  json_object *dump = json_object_new_object ();

  json_object_object_add (dump, "accept", json_object_new_boolean (t->accept));
  json_object_object_add (dump, "stopping", json_object_new_boolean (t->stopping));
  json_object_object_add (dump, "running", json_object_new_int64 (t->running));
  json_object_object_add (dump, "limit", json_object_new_int64 (limit (t)));
  json_object_object_add (dump, "entries",
                          json_object_new_int64 (g_hash_table_size (t->peers)));
  json_object_object_add (dump, "mean_duration_us",
                          json_object_new_uint64 (t->mean_duration_us));
  json_object_object_add (dump, "mean_first_byte_us",
                          json_object_new_uint64 (t->mean_first_byte_us));
  return dump;
}

static int
requests_destroy (RequestsTask *t)
{
  const SlotMessage *kept[] = { t->status, t->fleet, t->engine };

  for (size_t i = 0; i < G_N_ELEMENTS (kept); i++)
    if (kept[i] != NULL)
      dl_message_unref ((void *)kept[i]);
  g_hash_table_destroy (t->peers);
  g_hash_table_destroy (t->usages);
  return 0;
}

static int
requests_start (DlTask *task)
{
  RequestsTask *t = talloc_zero (NULL, RequestsTask);

  g_assert (t != NULL);
  t->task = task;
  t->settings = slot_settings (task);
  t->http = dl_http_client_new (task, t);
  t->peers = g_hash_table_new (NULL, NULL);
  t->usages = g_hash_table_new (g_str_hash, g_str_equal);
  t->accept = true;
  talloc_set_destructor (t, requests_destroy);
  dl_timer_subscribe (task, t, LOAD_INTERVAL_MS, LOAD_INTERVAL_MS, on_load_timer, t);
  dl_timer_subscribe (task, t, STATUS_INTERVAL_MS, STATUS_INTERVAL_MS, on_status_timer,
                      t);
  if (t->settings->kind == DL_SERVICE_MODEL)
    dl_timer_subscribe (task, t, CACHE_INTERVAL_MS, CACHE_INTERVAL_MS, on_cache_timer, t);
  dl_task_set_state (task, t);
  return 0;
}

static DlPlugin requests_plugin = {
  .name = "requests",
  .order = 40,
  .subscriptions = SLOT_SUBSCRIBE (SLOT_MSG_STATUS) | SLOT_SUBSCRIBE (SLOT_MSG_FLEET)
                   | SLOT_SUBSCRIBE (SLOT_MSG_ENGINE)
                   | SLOT_SUBSCRIBE (SLOT_MSG_ROTATION),
  .start = requests_start,
  .handle = requests_handle,
  .drain = requests_drain,
  .is_idle = requests_is_idle,
  .dump = requests_dump,
};
DL_PLUGIN_REGISTER (requests_plugin)
