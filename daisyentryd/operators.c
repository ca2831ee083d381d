/*
 * The task "operators": serves queries, commands, the state dump and metrics over HTTP.
 *
 * Queries are answered from the snapshots that the replica publishes, without a call to
 * the platform.  The last few snapshots are kept, so that a client can read several
 * tables as of the same revision.
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "operators.h"
#include "query/json_get.h"
#include "query/render.h"

#define SNAPSHOTS_KEPT          16
#define CONNECTIONS_MAX         256
#define CONNECTIONS_PER_IP_MAX  64
#define BODY_MAX_BYTES          (2u << 20) /* the largest settings, and some margin */
#define HEADER_MAX_BYTES        (16u << 10)
#define IDLE_TIMEOUT_S          30
#define BEARER                  "Bearer "
#define HTTP_OK                 200
#define HTTP_BAD_REQUEST        400
#define HTTP_UNAUTHORIZED       401
#define HTTP_NOT_FOUND          404
#define HTTP_METHOD_NOT_ALLOWED 405
#define HTTP_GONE               410
#define HTTP_UNAVAILABLE        503

DL_METRIC (metric_queries,
           DL_METRIC_COUNTER,
           "daisy_operator_queries_total",
           "Operator queries answered.")
DL_METRIC (metric_unauthorized,
           DL_METRIC_COUNTER,
           "daisy_operator_unauthorized_total",
           "Operator requests rejected because the key was missing or wrong.")
DL_METRIC (metric_revision,
           DL_METRIC_GAUGE,
           "daisy_operator_revision",
           "Revision of the newest snapshot available to operator queries.")
DL_METRIC (metric_query_time,
           DL_METRIC_HISTOGRAM,
           "daisy_operator_query_ms",
           "Time to evaluate an operator query, in milliseconds.")

/* -------- snapshots -------- */

static const EntrySnapshot *
message_snapshot (const void *message)
{
  return ((const EntryMessage *)message)->snapshot.snapshot;
}

static DlQuerySource
snapshot_source (const EntrySnapshot *snapshot)
{
  return (DlQuerySource){
    .revision = snapshot->revision,
    .count = snapshot->count,
    .objects = snapshot->objects,
  };
}

static void
keep_snapshot (Operators *o, const EntryMessage *message)
{
  uint64_t revision = message->snapshot.snapshot->revision;
  const EntryMessage *newest = g_queue_peek_head (o->snapshots);

  /* Clients must never see an older revision after a newer one. */
  if (newest != NULL && message_snapshot (newest)->revision >= revision)
    return;
  g_queue_push_head (o->snapshots, dl_message_ref ((void *)message));
  if (g_queue_get_length (o->snapshots) > SNAPSHOTS_KEPT)
    dl_message_unref (g_queue_pop_tail (o->snapshots));
  dl_metric_set (&metric_revision, (int64_t)revision);
}

bool
operators_source_at (Operators *operators, uint64_t revision, DlQuerySource *source)
{
  for (GList *l = operators->snapshots->head; l != NULL; l = l->next)
    if (message_snapshot (l->data)->revision == revision)
      {
        *source = snapshot_source (message_snapshot (l->data));
        return true;
      }
  return false;
}

/* Returns the time since the platform last responded to this entry or a peer, as far as
 * this entry knows; UINT64_MAX: never. */
static uint64_t
store_age_ms (const Operators *o)
{
  if (o->contact_ms == 0 || o->store_age_ms == UINT64_MAX)
    return UINT64_MAX;
  return o->store_age_ms + (dl_clock_ms () - o->contact_ms);
}

/* -------- queries -------- */

void
operators_reply_syntax_error (DlHttpRequest *request, const DlSyntaxError *error)
{
  json_object *object = json_object_new_object ();

  dl_json_add_text (object, "error", error->text);
  dl_json_add_uint (object, "position", error->position);
  dl_http_reply_json (request, HTTP_BAD_REQUEST, object);
}

/* Sets *SOURCE to the snapshot of REVISION, or the newest one if REVISION is 0.
 * Responds to REQUEST with an error and returns false when there is no such snapshot. */
static bool
select_snapshot (Operators *o,
                 DlHttpRequest *request,
                 uint64_t revision,
                 DlQuerySource *source)
{
  const EntryMessage *newest = g_queue_peek_head (o->snapshots);
  const EntryMessage *oldest = g_queue_peek_tail (o->snapshots);

  if (newest == NULL)
    {
      dl_http_reply_error (request, HTTP_UNAVAILABLE, OPERATORS_RETRY_MS,
                           "no revision is known here yet");
      return false;
    }
  *source = snapshot_source (message_snapshot (newest));
  if (revision == 0 || operators_source_at (o, revision, source))
    return true;
  if (revision > source->revision)
    dl_http_reply_error (request, HTTP_NOT_FOUND, OPERATORS_RETRY_MS,
                         "revision %" PRIu64 " is not known here yet; the newest is "
                         "%" PRIu64,
                         revision, source->revision);
  else
    dl_http_reply_error (request, HTTP_GONE, 0,
                         "revision %" PRIu64 " is not kept; revisions from %" PRIu64
                         " to %" PRIu64 " are, but for some between",
                         revision, message_snapshot (oldest)->revision, source->revision);
  return false;
}

static void
run_query (Operators *o,
           DlHttpRequest *request,
           const DlStatement *statement,
           uint64_t revision)
{
  DlQuerySource source;
  uint64_t started_us = dl_clock_us ();
  uint64_t age = store_age_ms (o);
  json_object *response;

  if (!select_snapshot (o, request, revision, &source))
    return;
  response = dl_render_json (dl_query_evaluate (request, statement, &source));
  json_object_object_add (response, "age_ms",
                          age == UINT64_MAX ? NULL : json_object_new_uint64 (age));
  dl_json_add_text (response, "entry", entry_settings (o->task)->name);
  dl_metric_add (&metric_queries, 1);
  dl_metric_observe_us (&metric_query_time, dl_clock_us () - started_us);
  dl_http_reply_json (request, HTTP_OK, response);
}

static bool
is_evaluable (const DlStatement *statement)
{
  return statement->type == DL_STATEMENT_SHOW || statement->type == DL_STATEMENT_COUNT
         || statement->type == DL_STATEMENT_IN_FORCE;
}

static void
handle_query (Operators *o, DlHttpRequest *request)
{
  json_object *body = NULL;
  char *error = NULL;
  DlStatement *statement = NULL;
  DlSyntaxError syntax = { 0 };

  if (dl_json_parse (request, "body", dl_http_request_body (request), &body, &error) < 0)
    dl_http_reply_error (request, HTTP_BAD_REQUEST, 0, "%s", error);
  else if (dl_statement_parse (request, dl_str (dl_json_text (body, "text")), &statement,
                               &syntax)
           < 0)
    operators_reply_syntax_error (request, &syntax);
  else if (!is_evaluable (statement))
    operators_reply_syntax_error (request,
                                  &(DlSyntaxError){ .text = "this is not a query" });
  else
    run_query (o, request, statement, dl_json_uint (body, "revision"));
  json_object_put (body);
}

/* -------- requests -------- */

static bool
is_authorized (Operators *o, const DlHttpRequest *request)
{
  const char *header = dl_http_request_header (request, "Authorization");

  return header != NULL && g_str_has_prefix (header, BEARER)
         && dl_secret_equal (dl_str (header + strlen (BEARER)),
                             dl_str (entry_settings (o->task)->operator_key));
}

static void
handle_dump (Operators *o, DlHttpRequest *request)
{
  dl_http_reply_json (request, HTTP_OK, dl_kernel_dump (dl_task_kernel (o->task)));
}

static void
handle_metrics (Operators *o, DlHttpRequest *request)
{
  DlBuffer *buffer = dl_buffer_new (request, 0);

  dl_metrics_write (buffer);
  dl_http_reply (request, HTTP_OK, "text/plain; version=0.0.4", dl_buffer_view (buffer),
                 NULL);
}

typedef struct
{
  const char *method;
  const char *path;
  void (*handle) (Operators *o, DlHttpRequest *request);
} Route;

static const Route routes[] = {
  { "POST", "/v1/query", handle_query },
  { "POST", "/v1/command", operators_post_command },
  { "GET", "/v1/command", operators_get_command },
  { "GET", "/v1/dump", handle_dump },
  { "GET", "/metrics", handle_metrics },
};

/* Returns the route of PATH and METHOD, else any route of PATH, else NULL, so that the
 * caller can respond differently to a wrong method and to an unknown path. */
static const Route *
find_route (const char *path, const char *method)
{
  const Route *found = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    if (strcmp (routes[i].path, path) == 0
        && (found == NULL || strcmp (routes[i].method, method) == 0))
      found = &routes[i];
  return found;
}

static void
on_request (DlHttpRequest *request, void *data)
{
  Operators *o = data;
  const char *path = dl_http_request_path (request);
  const Route *route;

  if (!is_authorized (o, request))
    {
      dl_metric_add (&metric_unauthorized, 1);
      dl_log (DL_EVENT_OPERATOR_UNAUTHORIZED, DL_TEXT ("path", path));
      dl_http_reply_error (request, HTTP_UNAUTHORIZED, 0,
                           "the operator key is missing or wrong");
      return;
    }
  route = find_route (path, dl_http_request_method (request));
  if (route == NULL)
    dl_http_reply_error (request, HTTP_NOT_FOUND, 0, "there is no %s", path);
  else if (strcmp (route->method, dl_http_request_method (request)) != 0)
    dl_http_reply_error (request, HTTP_METHOD_NOT_ALLOWED, 0, "%s takes %s", path,
                         route->method);
  else
    route->handle (o, request);
}

/* -------- the task -------- */

static int
operators_destroy (Operators *o)
{
  g_queue_free_full (o->snapshots, dl_message_unref);
  return 0;
}

static int
operators_start (DlTask *task)
{
  const EntrySettings *settings = entry_settings (task);
  Operators *o = talloc_zero (task, Operators);
  const DlHttpLimits limits = {
    .max_connections = CONNECTIONS_MAX,
    .max_connections_per_ip = CONNECTIONS_PER_IP_MAX,
    .max_body_bytes = BODY_MAX_BYTES,
    .max_header_bytes = HEADER_MAX_BYTES,
    .idle_timeout_s = IDLE_TIMEOUT_S,
  };

  o->task = task;
  o->snapshots = g_queue_new ();
  o->platform_reachable = true;
  talloc_set_destructor (o, operators_destroy);
  o->client
      = dl_object_client_new (task, o, settings->platform, settings->platform_timeout_ms);
  dl_task_set_state (task, o);
  return dl_http_server_new (task, o, dl_str (settings->operators_listen), &limits,
                             on_request, o, &o->server);
}

static void
operators_handle (DlTask *task, const DlMessage *message)
{
  Operators *o = dl_task_state (task);
  const EntryMessage *m = (const EntryMessage *)message;

  switch ((EntryMessageType)message->type)
    {
    case ENTRY_SNAPSHOT:
      keep_snapshot (o, m);
      break;
    case ENTRY_CONTACT:
      o->platform_reachable = m->contact.platform_reachable;
      o->store_age_ms = m->contact.store_age_ms;
      o->contact_ms = dl_clock_ms ();
      break;
    default:
      break;
    }
}

/* A command's response is still being sent when the command ends, so the task also waits
 * for the HTTP requests in progress.  The kernel's drain timeout bounds the wait. */
static void
check_drained (DlTimer *timer, void *data)
{
  Operators *o = data;

  if (o->commands > 0 || dl_http_server_active_requests (o->server) > 0)
    return;
  talloc_free (timer);
  dl_task_drained (o->task);
}

#define DRAIN_CHECK_MS 50

static void
operators_drain (DlTask *task)
{
  Operators *o = dl_task_state (task);

  o->draining = true;
  dl_http_server_drain (o->server);
  dl_timer_subscribe (task, o, 1, DRAIN_CHECK_MS, check_drained, o);
}

static bool
operators_is_idle (DlTask *task)
{
  const Operators *o = dl_task_state (task);

  return dl_http_server_is_idle (o->server) && o->commands == 0;
}

void
operators_command_ended (Operators *operators)
{
  g_assert (operators->commands > 0);
  operators->commands--;
}

static json_object *
operators_dump (DlTask *task)
{
  Operators *o = dl_task_state (task);
  json_object *dump = json_object_new_object ();
  json_object *kept = json_object_new_array ();
  uint64_t age = store_age_ms (o);

  for (GList *l = o->snapshots->head; l != NULL; l = l->next)
    json_object_array_add (kept,
                           json_object_new_uint64 (message_snapshot (l->data)->revision));
  json_object_object_add (dump, "revisions_kept", kept);
  json_object_object_add (dump, "age_ms",
                          age == UINT64_MAX ? NULL : json_object_new_uint64 (age));
  json_object_object_add (dump, "platform_reachable",
                          json_object_new_boolean (o->platform_reachable));
  dl_json_add_uint (dump, "commands_running", o->commands);
  dl_json_add_uint (dump, "requests_running", dl_http_server_active_requests (o->server));
  return dump;
}

static DlPlugin operators_plugin = {
  .name = "operators",
  .order = 90,
  .subscriptions = ENTRY_SUBSCRIBE (ENTRY_SNAPSHOT) | ENTRY_SUBSCRIBE (ENTRY_CONTACT),
  .start = operators_start,
  .handle = operators_handle,
  .drain = operators_drain,
  .is_idle = operators_is_idle,
  .dump = operators_dump,
};
DL_PLUGIN_REGISTER (operators_plugin)
