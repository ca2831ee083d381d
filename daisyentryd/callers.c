/*
 * The callers task: the HTTP listener for callers, what a request must bring, admission
 * by the organisation's limit, refusals, and the planned stop.
 */
#include "callers.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/log.h"
#include "kernel/metrics.h"

#define DEMAND_INTERVAL_MS  1000
#define DRAIN_CHECK_MS      50
#define SEEN_MAX_AGE_MS     600000
#define NO_CONTACT_RETRY_MS 3000
#define STOPPING_RETRY_MS   1000
#define MS_PER_S            1000
#define IDLE_TIMEOUT_S      60
#define HEADER_MAX_BYTES    (32u << 10)
#define SERVICES_PATH       "/v1/services/"
#define HTTP_BAD_REQUEST    400
#define HTTP_FORBIDDEN      403
#define HTTP_NOT_FOUND      404
#define HTTP_TOO_MANY       429
#define HTTP_UNAVAILABLE    503

DL_METRIC (metric_asked,
           DL_METRIC_COUNTER,
           "daisy_entry_requests_total",
           "Requests of callers to services.")
DL_METRIC (metric_limited,
           DL_METRIC_COUNTER,
           "daisy_entry_requests_limited_total",
           "Requests refused by their organisation's limit.")
DL_METRIC (metric_invalid,
           DL_METRIC_COUNTER,
           "daisy_entry_requests_invalid_total",
           "Requests that the caller must change.")

/* -------- refusals -------- */

static const char *const outcome_names[] = {
  [CALLERS_NOT_RUN] = "not_run",
  [CALLERS_UNKNOWN] = "unknown",
  [CALLERS_IN_PROGRESS] = "in_progress",
  [CALLERS_DONE] = "done",
};

void
callers_refuse (CallersTask *t,
                DlHttpRequest *http,
                unsigned status,
                CallersOutcome outcome,
                uint64_t retry_after_ms,
                const char *error)
{
  json_object *object = json_object_new_object ();
  DlHttpHeader headers[3] = { { 0 } };
  char seconds[24];
  size_t n = 0;

  json_object_object_add (object, "error", json_object_new_string (error));
  json_object_object_add (object, "outcome",
                          json_object_new_string (outcome_names[outcome]));
  if (retry_after_ms > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%" PRIu64,
                  (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
      headers[n++] = (DlHttpHeader){ .name = "Retry-After", .value = seconds };
      json_object_object_add (object, "retry_after_ms",
                              json_object_new_uint64 (retry_after_ms));
    }
  /* A caller must not send its next request to an entry that is about to stop. */
  if (t->stopping)
    headers[n++] = (DlHttpHeader){ .name = "Connection", .value = "close" };
  dl_http_reply (http, status, "application/json",
                 dl_str (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN)),
                 headers);
  json_object_put (object);
}

static void
refuse_invalid (CallersTask *t, DlHttpRequest *http, unsigned status, const char *error)
{
  dl_metric_add (&metric_invalid, 1);
  callers_refuse (t, http, status, CALLERS_NOT_RUN, 0, error);
}

/* -------- tries -------- */

/* Copies what the message needs: the request may end before the message is read. */
static const EntryRequest *
copy_request (const void *context, const CallerAsk *ask, const EntryRequest *details)
{
  EntryRequest *request = talloc_zero (context, EntryRequest);

  *request = *details;
  request->service = talloc_strdup (request, ask->service->name);
  request->organisation = talloc_strdup (request, ask->organisation);
  request->region = talloc_strdup (request, ask->region);
  request->method = talloc_strdup (request, ask->method);
  request->path = talloc_strdup (request, ask->path);
  request->content_type = talloc_strdup (request, ask->content_type);
  if (details->avoid != NULL)
    request->avoid = talloc_strdup (request, details->avoid);
  request->priority = ask->priority;
  request->model = ask->model;
  request->prefix = ask->prefix;
  request->body = dl_str_bytes (dl_str_dup (request, ask->body), ask->body.length);
  return request;
}

static void
post_to_upstreams (CallersTask *t, EntryMessage *message)
{
  dl_task_post (dl_kernel_task (dl_task_kernel (t->task), "upstreams"), message);
}

static EntryMessage *
request_message (const CallerTry *try, EntryRequestKind kind)
{
  EntryMessage *m = dl_message_new (ENTRY_REQUEST, sizeof *m);

  m->request.kind = kind;
  m->request.id = try->id;
  return m;
}

void
callers_send (CallersTask *t,
              CallerTry *try,
              const CallerAsk *ask,
              const EntryRequest *details)
{
  EntryMessage *m;
  EntryRequest request = *details;
  char id[64];

  try->id = ++t->next_id;
  g_snprintf (id, sizeof id, "%016" PRIx64 "-%" PRIu64,
              dl_kernel_incarnation (dl_task_kernel (t->task)), try->id);
  m = request_message (try, ENTRY_REQUEST_OPEN);
  request.request_id = talloc_strdup (m, id);
  m->request.open = copy_request (m, ask, &request);
  g_hash_table_insert (t->tries, &try->id, try);
  post_to_upstreams (t, m);
}

void
callers_cancel (CallersTask *t, CallerTry *try)
{
  if (g_hash_table_remove (t->tries, &try->id))
    post_to_upstreams (t, request_message (try, ENTRY_REQUEST_CANCEL));
}

void
callers_credit (CallersTask *t, const CallerTry *try, size_t bytes)
{
  EntryMessage *m = request_message (try, ENTRY_REQUEST_CREDIT);

  m->request.credit = (uint32_t)MIN (bytes, UINT32_MAX);
  post_to_upstreams (t, m);
}

static void
take_response (CallersTask *t, const EntryMessage *message)
{
  uint64_t id = message->response.id;
  CallerTry *try = g_hash_table_lookup (t->tries, &id);

  if (try == NULL)
    return; /* cancelled meanwhile */
  if (message->response.kind == ENTRY_RESPONSE_END)
    g_hash_table_remove (t->tries, &id);
  try->on_response (message, try->data);
}

CallerAsk *
callers_copy_ask (const void *context, const CallerAsk *ask)
{
  CallerAsk *copy = talloc_zero (context, CallerAsk);
  DlService *service = talloc_zero (copy, DlService);

  g_assert (copy != NULL && service != NULL);
  *copy = *ask;
  service->name = talloc_strdup (service, ask->service->name);
  service->kind = ask->service->kind;
  copy->service = service;
  copy->organisation = talloc_strdup (copy, ask->organisation);
  copy->region = talloc_strdup (copy, ask->region);
  copy->method = talloc_strdup (copy, ask->method);
  copy->path = talloc_strdup (copy, ask->path);
  copy->content_type = talloc_strdup (copy, ask->content_type);
  copy->key = ask->key != NULL ? talloc_strdup (copy, ask->key) : NULL;
  copy->body = dl_str_bytes (dl_str_dup (copy, ask->body), ask->body.length);
  return copy;
}

/* -------- admission -------- */

DlRetryBudget *
callers_budget (CallersTask *t, const char *service)
{
  DlRetryBudget *budget = g_hash_table_lookup (t->budgets, service);

  if (budget == NULL)
    {
      budget = g_new (DlRetryBudget, 1);
      dl_retry_init (budget);
      g_hash_table_insert (t->budgets, g_strdup (service), budget);
    }
  return budget;
}

uint64_t
callers_retry_percent (const CallersTask *t)
{
  return t->fleet != NULL ? t->fleet->fleet.fleet->retry_percent : 0;
}

static CallerOrganisation *
organisation_of (CallersTask *t, const char *name)
{
  CallerOrganisation *o = g_hash_table_lookup (t->organisations, name);

  if (o != NULL)
    return o;
  o = talloc_zero (t, CallerOrganisation);
  g_assert (o != NULL);
  o->name = talloc_strdup (o, name);
  g_hash_table_insert (t->organisations, o->name, o);
  return o;
}

static unsigned
live_entries (const CallersTask *t)
{
  unsigned count = 0;

  for (size_t i = 0; t->members != NULL && i < t->members->members.members->count; i++)
    {
      const DlMember *m = &t->members->members.members->members[i];

      if (m->role == DAISYLOFT__WIRE__ROLE__ROLE_ENTRY && !m->leaving)
        count++;
    }
  return MAX (count, 1);
}

/* Takes a token of the organisation; returns 0 or the time to come back. */
static uint64_t
take_token (CallersTask *t, const DlOrganisation *settings)
{
  CallerOrganisation *o = organisation_of (t, settings->name);
  const DlAdmitShare share = {
    .limit_per_s = settings->max_requests_per_s,
    .burst = settings->burst,
    .entries = live_entries (t),
    .own_demand = o->demand,
  };

  o->tried_now++;
  return dl_admit_take_token (&o->bucket, &share, dl_clock_ms ());
}

/* Peers name an entry with many requests in progress last. */
static void
publish_load (CallersTask *t)
{
  uint32_t running = dl_http_server_active_requests (t->server);
  EntryMessage *m;

  if (running == t->published_running)
    return;
  t->published_running = running;
  m = dl_message_new (ENTRY_LOAD, sizeof *m);
  m->load.running = running;
  dl_kernel_publish (dl_task_kernel (t->task), m);
}

static void
on_demand_timer (DlTimer *timer, void *data)
{
  CallersTask *t = data;
  GHashTableIter iter;
  gpointer value;

  publish_load (t);
  g_hash_table_iter_init (&iter, t->organisations);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      CallerOrganisation *o = value;

      o->demand = o->tried_now;
      o->tried_now = 0;
    }
  callers_expire (t);
  g_hash_table_iter_init (&iter, t->claims_seen);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (dl_clock_ms () - *(uint64_t *)value > SEEN_MAX_AGE_MS)
      g_hash_table_iter_remove (&iter);
}

/* -------- a request -------- */

static void
start_request (CallersTask *t, DlHttpRequest *http, const CallerAsk *ask)
{
  const DlOrganisation *organisation
      = dl_fleet_organisation (t->fleet->fleet.fleet, ask->organisation);
  bool non_idempotent
      = !ask->model
        && dl_service_call_is_non_idempotent (ask->service, ask->method, ask->path);
  uint64_t retry_after_ms;

  if (organisation == NULL)
    {
      refuse_invalid (t, http, HTTP_FORBIDDEN, "X-Organisation: no such organisation");
      return;
    }
  if (non_idempotent && ask->key == NULL)
    {
      refuse_invalid (t, http, HTTP_BAD_REQUEST,
                      "Idempotency-Key: required for this call");
      return;
    }
  retry_after_ms = take_token (t, organisation);
  if (retry_after_ms > 0)
    {
      dl_metric_add (&metric_limited, 1);
      callers_refuse (t, http, HTTP_TOO_MANY, CALLERS_NOT_RUN, retry_after_ms,
                      "the organisation's limit is reached");
    }
  else if (non_idempotent)
    caller_claim_start (t, http, ask);
  else
    caller_request_start (t, http, ask);
}

static void
handle_service_request (CallersTask *t, DlHttpRequest *http, const char *path)
{
  CallerAsk ask = { 0 };
  unsigned status = 0;
  const char *error = callers_read_ask (t->fleet->fleet.fleet, http, path, &ask, &status);

  if (error != NULL)
    refuse_invalid (t, http, status, error);
  else
    start_request (t, http, &ask);
}

static void
on_request (DlHttpRequest *http, void *data)
{
  CallersTask *t = data;
  const char *path = dl_http_request_path (http);

  if (strcmp (path, "/v1/address") == 0)
    {
      callers_answer_address (t, http);
      return;
    }
  if (!g_str_has_prefix (path, SERVICES_PATH))
    {
      refuse_invalid (t, http, HTTP_NOT_FOUND, "no such path");
      return;
    }
  dl_metric_add (&metric_asked, 1);
  if (t->stopping)
    callers_refuse (t, http, HTTP_UNAVAILABLE, CALLERS_NOT_RUN, STOPPING_RETRY_MS,
                    "this entry is leaving; ask for another address");
  else if (!t->in_contact || t->fleet == NULL)
    callers_refuse (t, http, HTTP_UNAVAILABLE, CALLERS_NOT_RUN, NO_CONTACT_RETRY_MS,
                    "this entry does not know the settings in force");
  else
    handle_service_request (t, http, path + strlen (SERVICES_PATH));
}

/* -------- planned stop -------- */

static void
on_drain_check (DlTimer *timer, void *data)
{
  CallersTask *t = data;

  if (dl_http_server_active_requests (t->server) > 0 || t->claims > 0)
    return;
  talloc_free (timer);
  dl_task_drained (t->task);
}

static void
callers_drain (DlTask *task)
{
  CallersTask *t = dl_task_state (task);

  t->stopping = true;
  dl_http_server_quiesce (t->server);
  dl_log (DL_EVENT_CALLERS_DRAINING,
          DL_UINT ("requests", dl_http_server_active_requests (t->server)));
  dl_timer_subscribe (task, t, DRAIN_CHECK_MS, DRAIN_CHECK_MS, on_drain_check, t);
}

/* -------- the task -------- */

static void
keep (const EntryMessage **kept, const EntryMessage *message)
{
  if (*kept != NULL)
    dl_message_unref ((void *)*kept);
  *kept = dl_message_ref ((void *)message);
}

static void
take_contact (CallersTask *t, bool in_contact)
{
  if (t->in_contact == in_contact)
    return;
  t->in_contact = in_contact;
  if (in_contact)
    dl_log (DL_EVENT_CALLERS_CONTACT);
  else
    dl_log (DL_EVENT_CALLERS_NO_CONTACT);
}

static void
callers_handle (DlTask *task, const DlMessage *base)
{
  CallersTask *t = dl_task_state (task);
  const EntryMessage *message = (const EntryMessage *)base;

  switch ((EntryMessageType)base->type)
    {
    case ENTRY_FLEET:
      keep (&t->fleet, message);
      break;
    case ENTRY_MEMBERS:
      keep (&t->members, message);
      break;
    case ENTRY_CONTACT:
      take_contact (t, message->contact.in_contact);
      break;
    case ENTRY_ENTRY_STATUS:
      g_hash_table_replace (t->entry_status,
                            g_strdup (message->entry_status.status->host),
                            dl_message_ref ((void *)message));
      break;
    case ENTRY_RESPONSE:
      take_response (t, message);
      break;
    default:
      break;
    }
}

static json_object *
callers_dump (DlTask *task)
{
  const CallersTask *t = dl_task_state (task);
  json_object *dump = json_object_new_object ();
  json_object *organisations = json_object_new_object ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, t->organisations);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CallerOrganisation *o = value;

      json_object_object_add (organisations, o->name, json_object_new_int64 (o->demand));
    }
  json_object_object_add (dump, "in_contact", json_object_new_boolean (t->in_contact));
  json_object_object_add (dump, "stopping", json_object_new_boolean (t->stopping));
  json_object_object_add (dump, "requests",
                          json_object_new_int64 (
                              dl_http_server_active_requests (t->server)));
  json_object_object_add (dump, "tries",
                          json_object_new_int64 (g_hash_table_size (t->tries)));
  json_object_object_add (dump, "claims", json_object_new_int64 (t->claims));
  json_object_object_add (dump, "claims_kept",
                          json_object_new_int64 (t->expiries.length));
  json_object_object_add (dump, "demand_per_s", organisations);
  return dump;
}

/* Requests and claims go before what they count themselves out of. */
static int
callers_destroy (CallersTask *t)
{
  talloc_free_children (t);
  if (t->members != NULL)
    dl_message_unref ((void *)t->members);
  if (t->fleet != NULL)
    dl_message_unref ((void *)t->fleet);
  g_hash_table_destroy (t->tries);
  g_hash_table_destroy (t->organisations);
  g_hash_table_destroy (t->budgets);
  g_hash_table_destroy (t->entry_status);
  g_hash_table_destroy (t->claims_seen);
  callers_expiries_clear (t);
  return 0;
}

static int
start_listener (CallersTask *t)
{
  const DlHttpLimits limits = {
    .max_connections = (unsigned)t->settings->max_callers,
    .max_body_bytes = t->settings->max_body_bytes,
    .max_header_bytes = HEADER_MAX_BYTES,
    .idle_timeout_s = IDLE_TIMEOUT_S,
  };
  int error = dl_http_server_new (t->task, t, dl_str (t->settings->callers_listen),
                                  &limits, on_request, t, &t->server);

  if (error == 0)
    dl_log (DL_EVENT_CALLERS_LISTENING, DL_TEXT ("address", t->settings->callers_listen));
  return error;
}

static int
callers_start (DlTask *task)
{
  CallersTask *t = talloc_zero (NULL, CallersTask);
  int error;

  g_assert (t != NULL);
  t->task = task;
  t->settings = entry_settings (task);
  t->in_contact = true;
  g_queue_init (&t->expiries);
  t->objects = dl_object_client_new (task, t, t->settings->platform,
                                     t->settings->platform_timeout_ms);
  t->organisations = g_hash_table_new (g_str_hash, g_str_equal);
  t->budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  t->tries = g_hash_table_new (g_int64_hash, g_int64_equal);
  t->entry_status
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, dl_message_unref);
  t->claims_seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (t, callers_destroy);
  error = start_listener (t);
  if (error < 0)
    {
      talloc_free (t);
      return error;
    }
  dl_timer_subscribe (task, t, DEMAND_INTERVAL_MS, DEMAND_INTERVAL_MS, on_demand_timer,
                      t);
  dl_task_set_state (task, t);
  return 0;
}

static DlPlugin callers_plugin = {
  .name = "callers",
  .order = 50,
  .subscriptions = ENTRY_SUBSCRIBE (ENTRY_FLEET) | ENTRY_SUBSCRIBE (ENTRY_MEMBERS)
                   | ENTRY_SUBSCRIBE (ENTRY_CONTACT)
                   | ENTRY_SUBSCRIBE (ENTRY_ENTRY_STATUS),
  .start = callers_start,
  .handle = callers_handle,
  .drain = callers_drain,
  .dump = callers_dump,
};
DL_PLUGIN_REGISTER (callers_plugin)
