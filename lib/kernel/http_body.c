/* What arrives of requests: bodies, within the limits on what is held, and requests that
 * do not go on arriving. */
#include <glib.h>
#include <microhttpd.h>
#include <sys/socket.h>

#include "kernel/http_server_private.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

/* Of a body that is not kept, at least so much is read before its connection is closed,
 * so that callers who send a body only a little too long read why it is refused. */
#define DROPPED_MIN_BYTES ((size_t)1 << 20)
/* A pause of this process is none of the caller.  What came during it has been read after
 * this time. */
#define AFTER_PAUSE_MS 1000
#define RETRY_MS       1000
/* With more than this part of the connections in use, or of the memory for requests, the
 * shorter timeouts hold. */
#define PRESSURE_PERCENT 90
#define PERCENT          100

DL_METRIC (metric_held,
           DL_METRIC_GAUGE,
           "daisy_http_held_bytes",
           "Bytes of requests that arrive or wait, but for small ones.")
DL_METRIC (metric_dropped,
           DL_METRIC_COUNTER,
           "daisy_http_bodies_dropped_total",
           "Bodies that were not kept, as they or all together were too long.")
DL_METRIC (metric_stalled,
           DL_METRIC_COUNTER,
           "daisy_http_requests_stalled_total",
           "Requests that did not go on arriving, whose connections were closed.")

/* -------- bodies -------- */

/* A request that held BEFORE bytes is to hold AFTER; as dl_held_bytes_change.  The gauge
 * is the sum over all servers of the process. */
static bool
change_held (DlHttpServer *server, size_t before, size_t after)
{
  size_t held = server->held.bytes;
  bool fits = dl_held_bytes_change (&server->held, before, after);

  dl_metric_add (&metric_held, (int64_t)server->held.bytes - (int64_t)held);
  return fits;
}

/* Frees what the body holds, and keeps nothing that follows. */
static void
drop (DlHttpRequest *r, DlHttpBodyState why)
{
  r->body_state = why;
  change_held (r->server, r->body->capacity, 0);
  dl_buffer_reset (r->body);
  dl_metric_add (&metric_dropped, 1);
  dl_log (DL_EVENT_HTTP_BODY_DROPPED, DL_UINT ("port", r->server->port),
          DL_TEXT ("cause", why == DL_HTTP_BODY_TOO_LARGE ? "it is too long"
                                                          : "all together are too long"),
          DL_UINT ("held_bytes", r->server->held.bytes),
          DL_UINT ("requests", r->server->active_requests));
}

static void
keep (DlHttpRequest *r, const char *bytes, size_t length)
{
  size_t capacity = dl_buffer_capacity_for (r->body, length);

  if (length > r->body->limit - MIN (r->body->limit, r->body->length))
    drop (r, DL_HTTP_BODY_TOO_LARGE);
  else if (!change_held (r->server, r->body->capacity, capacity))
    drop (r, DL_HTTP_BODY_NO_ROOM);
  else
    g_assert (dl_buffer_append (r->body, bytes, length) == 0);
}

bool
dl_http_body_receive (DlHttpRequest *r, const char *bytes, size_t length)
{
  if (r->body_state == DL_HTTP_BODY_KEPT)
    {
      keep (r, bytes, length);
      return true;
    }
  r->dropped_bytes += length;
  return r->dropped_bytes <= MAX (r->server->limits.max_body_bytes, DROPPED_MIN_BYTES);
}

bool
dl_http_body_refuse (DlHttpRequest *r)
{
  switch (r->body_state)
    {
    case DL_HTTP_BODY_KEPT:
      return false;
    case DL_HTTP_BODY_TOO_LARGE:
      dl_http_reply_error (r, MHD_HTTP_CONTENT_TOO_LARGE, 0,
                           "the body is longer than %zu bytes", r->body->limit);
      return true;
    case DL_HTTP_BODY_NO_ROOM:
      dl_http_reply_error (r, MHD_HTTP_SERVICE_UNAVAILABLE, RETRY_MS,
                           "the bodies of all requests are too long together; it has "
                           "not run");
      return true;
    }
  g_assert_not_reached ();
}

void
dl_http_body_release (DlHttpRequest *r)
{
  if (r->body != NULL)
    change_held (r->server, r->body->capacity, 0);
}

/* -------- requests that do not go on arriving -------- */

static bool
is_under_pressure (const DlHttpServer *server)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
  size_t connections = info != NULL ? info->num_connections : 0;

  return connections
             >= (size_t)server->limits.max_connections * PRESSURE_PERCENT / PERCENT
         || server->held.bytes >= server->held.max / PERCENT * PRESSURE_PERCENT;
}

/* Ends a request that has not arrived whole; libmicrohttpd finds its socket closed. */
static void
end_stalled (DlHttpRequest *r, uint64_t quiet_ms, uint64_t age_ms)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (r->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  if (r->stalled || info == NULL)
    return;
  r->stalled = true;
  dl_metric_add (&metric_stalled, 1);
  dl_log (DL_EVENT_HTTP_REQUEST_STALLED, DL_UINT ("port", r->server->port),
          DL_TEXT ("stage", r->method == NULL ? "head" : "body"),
          DL_UINT ("quiet_ms", quiet_ms), DL_UINT ("age_ms", age_ms),
          DL_UINT ("held_bytes", r->body != NULL ? r->body->capacity : 0));
  shutdown (info->connect_fd, SHUT_RDWR);
}

void
dl_http_body_end_stalled (DlHttpServer *server)
{
  uint64_t now_ms = dl_clock_ms ();
  bool pressure = is_under_pressure (server);
  uint64_t stall_ms = pressure ? MIN (DL_HTTP_PRESSURE_STALL_MS, server->limits.stall_ms)
                               : server->limits.stall_ms;
  GHashTableIter iter;
  gpointer value;

  if (now_ms < dl_kernel_resumed_ms (dl_task_kernel (server->task)) + AFTER_PAUSE_MS)
    return;
  g_hash_table_iter_init (&iter, server->arriving);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      DlHttpRequest *r = value;
      uint64_t age_ms = now_ms - r->begun_ms;
      /* The part that a pipelined request waited for the one before it does not count. */
      uint64_t quiet_ms = MIN (dl_http_connections_quiet_ms (r->connection), age_ms);

      if (quiet_ms >= stall_ms || age_ms >= server->limits.arrival_ms)
        end_stalled (r, quiet_ms, age_ms);
    }
  if (pressure)
    dl_http_connections_close_unused (server->connections, DL_HTTP_PRESSURE_IDLE_MS);
}
