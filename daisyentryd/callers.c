/*
 * The callers task: HTTP listener for callers, admission by the rate limits of
 * organisations, refusals and the graceful shutdown.
 */
#include "callers.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/log.h"
#include "kernel/metrics.h"

#define SECOND_MS           1000
#define DRAIN_CHECK_MS      50
#define FIRST_SEEN_KEEP_MS  600000
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

DL_METRIC (metric_requests,
           DL_METRIC_COUNTER,
           "daisy_entry_requests_total",
           "Callers' requests to services.")
DL_METRIC (metric_limited,
           DL_METRIC_COUNTER,
           "daisy_entry_requests_limited_total",
           "Requests refused by the rate limit of their organisation.")
DL_METRIC (metric_invalid,
           DL_METRIC_COUNTER,
           "daisy_entry_requests_invalid_total",
           "Requests refused as invalid.")

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
  /* The entry is about to stop: the caller must send its next request elsewhere. */
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

/* -------- attempts -------- */

/* Copies all texts, because the request may end before the message is handled. */
static const EntryRequest *
copy_entry_request (const void *context,
                    const ParsedRequest *parsed,
                    const EntryRequest *details)
{
  EntryRequest *request = talloc_zero (context, EntryRequest);

  *request = *details;
  request->service = talloc_strdup (request, parsed->service->name);
  request->organisation = talloc_strdup (request, parsed->organisation);
  request->region = talloc_strdup (request, parsed->region);
  request->method = talloc_strdup (request, parsed->method);
  request->path = talloc_strdup (request, parsed->path);
  request->content_type = talloc_strdup (request, parsed->content_type);
  if (details->avoid != NULL)
    request->avoid = talloc_strdup (request, details->avoid);
  request->priority = parsed->priority;
  request->model = parsed->model;
  request->prefix = parsed->prefix;
  request->body = dl_str_bytes (dl_str_dup (request, parsed->body), parsed->body.length);
  return request;
}

static void
post_to_upstreams (CallersTask *t, EntryMessage *message)
{
  dl_task_post (dl_kernel_task (dl_task_kernel (t->task), "upstreams"), message);
}

static EntryMessage *
request_message (const CallerAttempt *attempt, EntryRequestKind kind)
{
  EntryMessage *m = dl_message_new (ENTRY_REQUEST, sizeof *m);

  m->request.kind = kind;
  m->request.id = attempt->id;
  return m;
}

void
callers_start_attempt (CallersTask *t,
                       CallerAttempt *attempt,
                       const ParsedRequest *parsed,
                       const EntryRequest *details)
{
  EntryMessage *m;
  EntryRequest request = *details;
  char id[64];

  attempt->id = ++t->next_id;
  g_snprintf (id, sizeof id, "%016" PRIx64 "-%" PRIu64,
              dl_kernel_incarnation (dl_task_kernel (t->task)), attempt->id);
  m = request_message (attempt, ENTRY_REQUEST_OPEN);
  request.request_id = talloc_strdup (m, id);
  m->request.open = copy_entry_request (m, parsed, &request);
  g_hash_table_insert (t->attempts, &attempt->id, attempt);
  post_to_upstreams (t, m);
}

void
callers_cancel_attempt (CallersTask *t, CallerAttempt *attempt)
{
  if (g_hash_table_remove (t->attempts, &attempt->id))
    post_to_upstreams (t, request_message (attempt, ENTRY_REQUEST_CANCEL));
}

void
callers_grant_credit (CallersTask *t, const CallerAttempt *attempt, size_t bytes)
{
  EntryMessage *m = request_message (attempt, ENTRY_REQUEST_CREDIT);

  m->request.credit = (uint32_t)MIN (bytes, UINT32_MAX);
  post_to_upstreams (t, m);
}

static void
handle_response (CallersTask *t, const EntryMessage *message)
{
  uint64_t id = message->response.id;
  CallerAttempt *attempt = g_hash_table_lookup (t->attempts, &id);

  if (attempt == NULL)
    return; /* cancelled in the meantime */
  if (message->response.kind == ENTRY_RESPONSE_END)
    g_hash_table_remove (t->attempts, &id);
  attempt->on_response (message, attempt->data);
}

ParsedRequest *
callers_copy_request (const void *context, const ParsedRequest *parsed)
{
  ParsedRequest *copy = talloc_zero (context, ParsedRequest);
  DlService *service = talloc_zero (copy, DlService);

  g_assert (copy != NULL && service != NULL);
  *copy = *parsed;
  service->name = talloc_strdup (service, parsed->service->name);
  service->kind = parsed->service->kind;
  copy->service = service;
  copy->organisation = talloc_strdup (copy, parsed->organisation);
  copy->region = talloc_strdup (copy, parsed->region);
  copy->method = talloc_strdup (copy, parsed->method);
  copy->path = talloc_strdup (copy, parsed->path);
  copy->content_type = talloc_strdup (copy, parsed->content_type);
  copy->key = parsed->key != NULL ? talloc_strdup (copy, parsed->key) : NULL;
  copy->body = dl_str_bytes (dl_str_dup (copy, parsed->body), parsed->body.length);
  return copy;
}

/* -------- admission -------- */

DlRetryBudget *
callers_retry_budget (CallersTask *t, const char *service)
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
get_organisation (CallersTask *t, const char *name)
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
count_live_entries (const CallersTask *t)
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

/* Counts the request and takes a token of the organisation.  Returns 0, or the time in
 * milliseconds to retry after. */
static uint64_t
take_token (CallersTask *t, const DlOrganisation *settings)
{
  CallerOrganisation *o = get_organisation (t, settings->name);
  const DlAdmitShare share = {
    .limit_per_s = settings->max_requests_per_s,
    .burst = settings->burst,
    .entries = count_live_entries (t),
    .own_demand = o->demand,
  };

  o->requests_this_second++;
  return dl_admit_take_token (&o->bucket, &share, dl_clock_ms ());
}

/* Publishes the number of requests in progress.  Other entries list a busy entry last in
 * the addresses that they give to callers. */
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
on_second (DlTimer *timer, void *data)
{
  CallersTask *t = data;
  GHashTableIter iter;
  gpointer value;

  publish_load (t);
  g_hash_table_iter_init (&iter, t->organisations);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      CallerOrganisation *o = value;

      o->demand = o->requests_this_second;
      o->requests_this_second = 0;
    }
  callers_expire_claims (t);
  g_hash_table_iter_init (&iter, t->claims_first_seen);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (dl_clock_ms () - *(uint64_t *)value > FIRST_SEEN_KEEP_MS)
      g_hash_table_iter_remove (&iter);
}

/* -------- requests -------- */

static void
start_request (CallersTask *t, DlHttpRequest *http, const ParsedRequest *parsed)
{
  const DlOrganisation *organisation
      = dl_fleet_organisation (t->fleet->fleet.fleet, parsed->organisation);
  bool non_idempotent
      = !parsed->model
        && dl_service_call_is_non_idempotent (parsed->service, parsed->method,
                                              parsed->path);
  uint64_t retry_after_ms;

  if (organisation == NULL)
    {
      refuse_invalid (t, http, HTTP_FORBIDDEN, "X-Organisation: no such organisation");
      return;
    }
  if (non_idempotent && parsed->key == NULL)
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
    caller_claim_start (t, http, parsed);
  else
    caller_request_start (t, http, parsed);
}

static void
handle_service_request (CallersTask *t, DlHttpRequest *http, const char *path)
{
  ParsedRequest parsed = { 0 };
  unsigned status = 0;
  const char *error
      = callers_parse_request (t->fleet->fleet.fleet, http, path, &parsed, &status);

  if (error != NULL)
    refuse_invalid (t, http, status, error);
  else
    start_request (t, http, &parsed);
}

static void
on_request (DlHttpRequest *http, void *data)
{
  CallersTask *t = data;
  const char *path = dl_http_request_path (http);

  if (strcmp (path, "/v1/address") == 0)
    {
      callers_reply_address (t, http);
      return;
    }
  if (!g_str_has_prefix (path, SERVICES_PATH))
    {
      refuse_invalid (t, http, HTTP_NOT_FOUND, "no such path");
      return;
    }
  dl_metric_add (&metric_requests, 1);
  if (t->stopping)
    callers_refuse (t, http, HTTP_UNAVAILABLE, CALLERS_NOT_RUN, STOPPING_RETRY_MS,
                    "this entry is leaving; ask for another address");
  else if (!t->in_contact || t->fleet == NULL)
    callers_refuse (t, http, HTTP_UNAVAILABLE, CALLERS_NOT_RUN, NO_CONTACT_RETRY_MS,
                    "this entry does not know the settings in force");
  else
    handle_service_request (t, http, path + strlen (SERVICES_PATH));
}

/* -------- graceful shutdown -------- */

static void
on_drain_check (DlTimer *timer, void *data)
{
  CallersTask *t = data;

  if (dl_http_server_active_requests (t->server) > 0 || t->active_claims > 0)
    return;
  talloc_free (timer);
  dl_task_drained (t->task);
}

static void
callers_drain (DlTask *task)
{
  CallersTask *t = dl_task_state (task);

  t->stopping = true;
  dl_http_server_drain (t->server);
  dl_log (DL_EVENT_CALLERS_DRAINING,
          DL_UINT ("requests", dl_http_server_active_requests (t->server)));
  dl_timer_subscribe (task, t, DRAIN_CHECK_MS, DRAIN_CHECK_MS, on_drain_check, t);
}

static bool
callers_is_idle (DlTask *task)
{
  const CallersTask *t = dl_task_state (task);

  return dl_http_server_is_idle (t->server) && t->active_claims == 0;
}

/* Ends each attempt as if its upstream had been lost, and each request that waits for its
 * next one, so that their callers get a final response. */
static void
callers_abandon (DlTask *task)
{
  CallersTask *t = dl_task_state (task);
  GList *ids = NULL;
  GHashTableIter iter;
  gpointer id;

  t->abandoned = true;
  g_hash_table_iter_init (&iter, t->attempts);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    ids = g_list_prepend (ids, g_memdup2 (id, sizeof (uint64_t)));
  for (GList *l = ids; l != NULL; l = l->next)
    {
      EntryMessage *m = dl_message_new (ENTRY_RESPONSE, sizeof *m);

      m->response.kind = ENTRY_RESPONSE_END;
      m->response.id = *(uint64_t *)l->data;
      m->response.reason = DAISYLOFT__WIRE__END_REASON__END_UNKNOWN;
      m->response.detail = "this entry ended before it";
      handle_response (t, m);
      dl_message_unref (m);
    }
  g_list_free_full (ids, g_free);
  caller_requests_abandon (t);
  caller_claims_abandon (t);
}

/* -------- the task -------- */

static void
replace_message (const EntryMessage **kept, const EntryMessage *message)
{
  if (*kept != NULL)
    dl_message_unref ((void *)*kept);
  *kept = dl_message_ref ((void *)message);
}

static void
handle_contact (CallersTask *t, bool in_contact)
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
      replace_message (&t->fleet, message);
      break;
    case ENTRY_MEMBERS:
      replace_message (&t->members, message);
      break;
    case ENTRY_CONTACT:
      handle_contact (t, message->contact.in_contact);
      break;
    case ENTRY_ENTRY_STATUS:
      g_hash_table_replace (t->entry_status,
                            g_strdup (message->entry_status.status->host),
                            dl_message_ref ((void *)message));
      break;
    case ENTRY_RESPONSE:
      handle_response (t, message);
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
                          json_object_new_int64 (g_hash_table_size (t->attempts)));
  json_object_object_add (dump, "claims", json_object_new_int64 (t->active_claims));
  json_object_object_add (dump, "claims_kept",
                          json_object_new_int64 (t->expiries.length));
  json_object_object_add (dump, "demand_per_s", organisations);
  return dump;
}

/* Frees requests and claims first, because their destructors use the tables. */
static int
callers_destroy (CallersTask *t)
{
  talloc_free_children (t);
  if (t->members != NULL)
    dl_message_unref ((void *)t->members);
  if (t->fleet != NULL)
    dl_message_unref ((void *)t->fleet);
  g_hash_table_destroy (t->attempts);
  g_hash_table_destroy (t->organisations);
  g_hash_table_destroy (t->budgets);
  g_hash_table_destroy (t->entry_status);
  g_hash_table_destroy (t->claims_first_seen);
  callers_clear_expiries (t);
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
  g_queue_init (&t->claims);
  g_queue_init (&t->requests);
  t->objects = dl_object_client_new (task, t, t->settings->platform,
                                     t->settings->platform_timeout_ms);
  t->organisations = g_hash_table_new (g_str_hash, g_str_equal);
  t->budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  t->attempts = g_hash_table_new (g_int64_hash, g_int64_equal);
  t->entry_status
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, dl_message_unref);
  t->claims_first_seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (t, callers_destroy);
  error = start_listener (t);
  if (error < 0)
    {
      talloc_free (t);
      return error;
    }
  dl_timer_subscribe (task, t, SECOND_MS, SECOND_MS, on_second, t);
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
  .abandon = callers_abandon,
  .is_idle = callers_is_idle,
  .dump = callers_dump,
};
DL_PLUGIN_REGISTER (callers_plugin)
