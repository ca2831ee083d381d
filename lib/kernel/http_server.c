#include "kernel/http_server_private.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <microhttpd.h>
#include <stdarg.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "kernel/address.h"
#include "kernel/error.h"
#include "kernel/listen.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

#define STREAM_BLOCK_BYTES (32u * 1024)
#define CALLER_CHECK_MS    100
/* A connection that nothing goes over while a request is in progress is closed after so
 * many idle timeouts. */
#define STALLED_TIMEOUTS        2
#define CHECKS_PER_IDLE_TIMEOUT 4
#define MS_PER_S                1000
#define STALL_CHECK_MS          500
#define CONNECTION_EXTRA_BYTES  (32u * 1024) /* libmicrohttpd's own use per connection */

DL_METRIC (metric_requests,
           DL_METRIC_COUNTER,
           "daisy_http_requests_total",
           "HTTP requests received.")
DL_METRIC (metric_active,
           DL_METRIC_GAUGE,
           "daisy_http_requests_running",
           "HTTP requests whose response has not been sent in full.")
DL_METRIC (metric_disconnected,
           DL_METRIC_COUNTER,
           "daisy_http_callers_gone_total",
           "HTTP callers that disconnected before the response had been sent in full.")

/* -------- suspending and resuming -------- */

static void
request_suspend (DlHttpRequest *r)
{
  if (r->suspended)
    return;
  r->suspended = true;
  g_hash_table_add (r->server->suspended, r);
  MHD_suspend_connection (r->connection);
}

/* Has libmicrohttpd run soon.  Messages are delivered just before the loop blocks,
 * possibly after on_daemon_prepare has run.  An expired timer makes the loop run this
 * server again without blocking. */
static void
server_wake (void *data)
{
  DlHttpServer *server = data;

  server->need_run = true;
  ev_timer_stop (server->loop, &server->timeout);
  ev_timer_set (&server->timeout, 0.0, 0.0);
  ev_timer_start (server->loop, &server->timeout);
}

static void
request_resume (DlHttpRequest *r)
{
  if (!r->suspended)
    return;
  r->suspended = false;
  g_hash_table_remove (r->server->suspended, r);
  MHD_resume_connection (r->connection);
  server_wake (r->server);
}

/* -------- sending responses -------- */

/* Refused callers that retry on a new connection would leave their old connections open
 * here, each with its memory. */
static bool
exceeds_keepalive_limit (const DlHttpServer *server)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

  return server->limits.max_keepalive_connections > 0 && info != NULL
         && info->num_connections > server->limits.max_keepalive_connections;
}

static void
response_add_headers (const DlHttpRequest *request,
                      struct MHD_Response *response,
                      const char *content_type,
                      const DlHttpHeader *headers)
{
  if (content_type != NULL)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
  for (const DlHttpHeader *h = headers; h != NULL && h->name != NULL; h++)
    MHD_add_response_header (response, h->name, h->value);
  if (request->server->keepalive_disabled || exceeds_keepalive_limit (request->server))
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
}

static void
request_set_response (DlHttpRequest *r, unsigned status, struct MHD_Response *response)
{
  g_assert (response != NULL);
  if (r->discard_output)
    {
      MHD_destroy_response (response);
      return;
    }
  g_assert (!r->has_response);
  r->has_response = true;
  r->status = status;
  r->response = response;
  request_resume (r);
}

void
dl_http_reply (DlHttpRequest *request,
               unsigned status,
               const char *content_type,
               DlStr body,
               const DlHttpHeader *headers)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (body.length, (void *)body.data,
                                         MHD_RESPMEM_MUST_COPY);

  response_add_headers (request, response, content_type, headers);
  request_set_response (request, status, response);
}

void
dl_http_reply_json (DlHttpRequest *request, unsigned status, json_object *object)
{
  dl_http_reply (request, status, "application/json",
                 dl_str (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN)),
                 NULL);
  json_object_put (object);
}

void
dl_http_reply_error (DlHttpRequest *request,
                     unsigned status,
                     uint64_t retry_after_ms,
                     const char *format,
                     ...)
{
  const char *id_name = request->server->id_header;
  const char *id = id_name != NULL ? dl_http_request_header (request, id_name) : NULL;
  json_object *object = json_object_new_object ();
  char seconds[24];
  DlHttpHeader headers[3] = { { 0 } };
  size_t count = 0;
  va_list args;
  char *text;

  va_start (args, format);
  text = talloc_vasprintf (request, format, args);
  va_end (args);
  json_object_object_add (object, "error", json_object_new_string (text));
  if (id != NULL)
    headers[count++] = (DlHttpHeader){ .name = id_name, .value = id };
  if (retry_after_ms > 0)
    {
      uint64_t s = (retry_after_ms + 999) / 1000;

      g_snprintf (seconds, sizeof seconds, "%" PRIu64, s);
      headers[count++] = (DlHttpHeader){ .name = "Retry-After", .value = seconds };
      json_object_object_add (object, "retry_after_ms",
                              json_object_new_uint64 (retry_after_ms));
    }
  dl_http_reply (request, status, "application/json",
                 dl_str (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN)),
                 headers);
  json_object_put (object);
}

/* libmicrohttpd has no function for this: the response to a socket that was shut down is
 * lost. */
void
dl_http_abort (DlHttpRequest *request)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  request->aborted = true;
  if (info != NULL)
    shutdown (info->connect_fd, SHUT_RDWR);
  dl_http_reply (request, MHD_HTTP_REQUEST_TIMEOUT, NULL, DL_STR_LITERAL (""), NULL);
}

static ssize_t
stream_read (void *data, uint64_t position, char *out, size_t max)
{
  DlHttpRequest *r = data;
  DlStr view = dl_buffer_view (r->stream);
  size_t n = MIN (max, view.length);

  if (n > 0)
    {
      memcpy (out, view.data, n);
      dl_buffer_consume (r->stream, n);
      if (r->on_consumed != NULL)
        r->on_consumed (r, n, r->consumed_data);
      return (ssize_t)n;
    }
  if (r->stream_ended)
    return r->stream_complete ? MHD_CONTENT_READER_END_OF_STREAM
                              : MHD_CONTENT_READER_END_WITH_ERROR;
  request_suspend (r);
  return 0;
}

void
dl_http_stream_begin (DlHttpRequest *request,
                      unsigned status,
                      const char *content_type,
                      const DlHttpHeader *headers)
{
  struct MHD_Response *response
      = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
                                           stream_read, request, NULL);

  request->stream = dl_buffer_new (request, 0);
  response_add_headers (request, response, content_type, headers);
  request_set_response (request, status, response);
}

void
dl_http_stream_write (DlHttpRequest *request, DlStr data)
{
  if (request->discard_output)
    return;
  g_assert (request->stream != NULL && !request->stream_ended);
  dl_buffer_append (request->stream, data.data, data.length);
  request_resume (request);
}

void
dl_http_stream_end (DlHttpRequest *request, bool complete)
{
  if (request->discard_output)
    return;
  g_assert (request->stream != NULL && !request->stream_ended);
  request->stream_ended = true;
  request->stream_complete = complete;
  request_resume (request);
}

size_t
dl_http_stream_queued (const DlHttpRequest *request)
{
  return request->stream != NULL ? request->stream->length : 0;
}

void
dl_http_stream_on_consumed (DlHttpRequest *request, DlHttpConsumedFunc func, void *data)
{
  request->on_consumed = func;
  request->consumed_data = data;
}

/* -------- receiving -------- */

/* Called when the request line has been read; libmicrohttpd passes the raw target only
 * here. */
static void *
on_target (void *data, const char *target, struct MHD_Connection *connection)
{
  DlHttpServer *server = data;
  DlHttpRequest *r = talloc_zero (server, DlHttpRequest);

  g_assert (r != NULL);
  r->server = server;
  r->connection = connection;
  r->target = talloc_strdup (r, target);
  r->begun_ms = dl_clock_ms ();
  g_hash_table_add (server->arriving, r);
  server->active_requests++;
  dl_http_connections_request_begun (connection);
  dl_metric_add (&metric_requests, 1);
  dl_metric_add (&metric_active, 1);
  return r;
}

static void
request_begin (DlHttpRequest *r, const char *path, const char *method)
{
  r->method = talloc_strdup (r, method);
  r->path = talloc_strdup (r, path);
  r->body = dl_buffer_new (r, r->server->limits.max_body_bytes);
}

static enum MHD_Result
request_send_response (DlHttpRequest *r)
{
  enum MHD_Result result = MHD_queue_response (r->connection, r->status, r->response);

  MHD_destroy_response (r->response);
  r->response = NULL;
  return result;
}

static enum MHD_Result
on_access (void *data,
           struct MHD_Connection *connection,
           const char *path,
           const char *method,
           const char *version,
           const char *upload,
           size_t *upload_size,
           void **state)
{
  DlHttpServer *server = data;
  DlHttpRequest *r = *state;

  if (dl_http_connections_is_closed (connection))
    return MHD_NO;
  if (r->method == NULL)
    {
      request_begin (r, path, method);
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      size_t length = *upload_size;

      *upload_size = 0;
      return dl_http_body_receive (r, upload, length) ? MHD_YES : MHD_NO;
    }
  if (!r->handled)
    {
      r->handled = true;
      g_hash_table_remove (server->arriving, r);
      dl_http_connections_request_handled (connection);
      r->arrived_ms = dl_http_connections_quiet_ms (connection);
      r->arrived_ms = dl_clock_ms () - r->arrived_ms;
      if (!dl_http_body_refuse (r))
        server->handler (r, server->data);
    }
  if (r->has_response && r->response != NULL)
    return request_send_response (r);
  request_suspend (r);
  return MHD_YES;
}

static void
on_completed (void *data,
              struct MHD_Connection *connection,
              void **state,
              enum MHD_RequestTerminationCode code)
{
  DlHttpServer *server = data;
  DlHttpRequest *r = *state;
  bool completed;

  if (r == NULL)
    return;
  *state = NULL;
  dl_http_connections_request_ended (connection);
  r->end = dl_http_request_ended_by (r, code);
  completed = r->end == DL_HTTP_COMPLETED;
  if (!completed)
    dl_metric_add (&metric_disconnected, 1);
  dl_http_request_report_end (r);
  g_hash_table_remove (server->suspended, r);
  g_hash_table_remove (server->arriving, r);
  dl_http_body_release (r);
  if (r->on_closed != NULL)
    r->on_closed (r, completed, r->closed_data);
  if (r->response != NULL)
    MHD_destroy_response (r->response);
  server->active_requests--;
  dl_metric_add (&metric_active, -1);
  talloc_free (r);
}

/*
 * libmicrohttpd does not watch suspended connections, so they are polled for callers that
 * disconnected while their request waits.  Such a connection is resumed, and
 * libmicrohttpd closes it.
 */
static void
on_caller_check (DlTimer *timer, void *data)
{
  DlHttpServer *server = data;
  GList *requests = g_hash_table_get_keys (server->suspended);

  for (GList *l = requests; l != NULL; l = l->next)
    {
      DlHttpRequest *r = l->data;

      if (!g_hash_table_contains (server->suspended, r)
          || !dl_http_connections_is_caller_gone (r->connection))
        continue;
      r->caller_disconnected = true;
      if (!r->has_response)
        dl_http_reply_error (r, MHD_HTTP_BAD_GATEWAY, 0, "the caller went away");
      else if (!r->stream_ended)
        dl_http_stream_end (r, false);
      else
        request_resume (r);
      r->discard_output = true;
    }
  g_list_free (requests);
}

/* -------- libmicrohttpd on the event loop -------- */

void
dl_http_server_run (DlHttpServer *server)
{
  MHD_UNSIGNED_LONG_LONG timeout_ms;

  server->need_run = false;
  MHD_run (server->daemon);
  ev_timer_stop (server->loop, &server->timeout);
  if (MHD_get_timeout (server->daemon, &timeout_ms) == MHD_YES)
    {
      ev_timer_set (&server->timeout, (double)timeout_ms / MS_PER_S, 0.0);
      ev_timer_start (server->loop, &server->timeout);
    }
}

/* libmicrohttpd's own idle timeout closes a connection also if a request came on it
 * while the process stood still. */
static void
on_idle_check (DlTimer *timer, void *data)
{
  DlHttpServer *server = data;

  dl_http_server_run (server);
  dl_http_connections_close_unused (server->connections,
                                    server->limits.idle_timeout_s * MS_PER_S);
}

static void
on_stall_check (DlTimer *timer, void *data)
{
  dl_http_body_end_stalled (data);
}

static void
on_daemon_event (struct ev_loop *loop, ev_io *watcher, int events)
{
  dl_http_server_run (watcher->data);
}

static void
on_daemon_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  dl_http_server_run (watcher->data);
}

static void
on_daemon_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  DlHttpServer *server = watcher->data;

  if (server->need_run)
    dl_http_server_run (server);
}

void
dl_http_server_set_id_header (DlHttpServer *server, const char *name)
{
  server->id_header = name;
}

void
dl_http_server_disable_keepalive (DlHttpServer *server)
{
  server->keepalive_disabled = true;
  dl_http_connections_mark (server->connections);
}

void
dl_http_server_set_max_body (DlHttpServer *server, size_t bytes)
{
  server->limits.max_body_bytes = bytes;
}

unsigned
dl_http_server_active_requests (const DlHttpServer *server)
{
  return server->active_requests;
}

static int
server_destroy (DlHttpServer *server)
{
  GList *requests = g_hash_table_get_keys (server->suspended);

  dl_http_server_log_open (server);
  dl_http_connections_release (server->connections);
  /* MHD_stop_daemon requires that no connection is suspended. */
  for (GList *l = requests; l != NULL; l = l->next)
    request_resume (l->data);
  g_list_free (requests);
  ev_io_stop (server->loop, &server->watcher);
  ev_timer_stop (server->loop, &server->timeout);
  ev_prepare_stop (server->loop, &server->prepare);
  MHD_stop_daemon (server->daemon);
  g_hash_table_destroy (server->suspended);
  g_hash_table_destroy (server->arriving);
  return 0;
}

/* LIMITS with the defaults in place of what is 0.  The buffer of a body is less than
 * twice as large as the body; a single one always fits. */
static DlHttpLimits
with_defaults (const DlHttpLimits *limits)
{
  DlHttpLimits l = *limits;

  if (l.max_held_bytes == 0)
    l.max_held_bytes = MAX (DL_HTTP_HELD_BYTES_DEFAULT, 2 * l.max_body_bytes);
  if (l.stall_ms == 0)
    l.stall_ms = DL_HTTP_STALL_DEFAULT_MS;
  if (l.arrival_ms == 0)
    l.arrival_ms = DL_HTTP_ARRIVAL_DEFAULT_MS;
  return l;
}

int
dl_http_server_new (DlTask *task,
                    const void *owner,
                    DlStr address,
                    const DlHttpLimits *limits,
                    DlHttpHandler handler,
                    void *data,
                    DlHttpServer **result)
{
  struct sockaddr_in at;
  int error = dl_address_parse (address, &at);
  DlHttpServer *server;
  int fd;

  if (error < 0)
    return error;
  fd = dl_listen (&at, DL_HTTP_LISTEN_BACKLOG);
  if (fd < 0)
    return fd;
  server = talloc_zero (owner, DlHttpServer);
  g_assert (server != NULL);
  server->task = task;
  server->loop = dl_kernel_loop (dl_task_kernel (task));
  server->port = ntohs (at.sin_port);
  server->limits = with_defaults (limits);
  server->held.max = server->limits.max_held_bytes;
  server->connections = dl_http_connections_new (task, server, server->port, server_wake);
  server->handler = handler;
  server->data = data;
  server->daemon
      = MHD_start_daemon (MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, server->port, NULL,
                          NULL, on_access, server, MHD_OPTION_LISTEN_SOCKET, fd,
                          MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
                          MHD_OPTION_NOTIFY_CONNECTION, dl_http_connections_notify,
                          server->connections, MHD_OPTION_CONNECTION_LIMIT,
                          limits->max_connections, MHD_OPTION_PER_IP_CONNECTION_LIMIT,
                          limits->max_connections_per_ip, MHD_OPTION_CONNECTION_TIMEOUT,
                          limits->idle_timeout_s * STALLED_TIMEOUTS,
                          MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                          (size_t)(limits->max_header_bytes + CONNECTION_EXTRA_BYTES),
                          MHD_OPTION_URI_LOG_CALLBACK, on_target, server, MHD_OPTION_END);
  if (server->daemon == NULL)
    {
      close (fd);
      talloc_free (server);
      return -ENOMEM;
    }
  server->suspended = g_hash_table_new (NULL, NULL);
  server->arriving = g_hash_table_new (NULL, NULL);
  ev_io_init (&server->watcher, on_daemon_event,
              MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd,
              EV_READ);
  server->watcher.data = server;
  ev_io_start (server->loop, &server->watcher);
  ev_timer_init (&server->timeout, on_daemon_timeout, 0.0, 0.0);
  server->timeout.data = server;
  ev_prepare_init (&server->prepare, on_daemon_prepare);
  server->prepare.data = server;
  ev_prepare_start (server->loop, &server->prepare);
  server->caller_check = dl_timer_subscribe (task, server, CALLER_CHECK_MS,
                                             CALLER_CHECK_MS, on_caller_check, server);
  dl_timer_subscribe (task, server, STALL_CHECK_MS, STALL_CHECK_MS, on_stall_check,
                      server);
  if (limits->idle_timeout_s > 0)
    {
      uint64_t check_ms = limits->idle_timeout_s * MS_PER_S / CHECKS_PER_IDLE_TIMEOUT;

      dl_timer_subscribe (task, server, check_ms, check_ms, on_idle_check, server);
    }
  dl_kernel_on_end (dl_task_kernel (task), server, dl_http_server_end, server);
  talloc_set_destructor (server, server_destroy);
  *result = server;
  return 0;
}
