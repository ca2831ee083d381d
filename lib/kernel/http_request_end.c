/* Why requests end, and the log line of each that ends without its whole response. */
#include <glib.h>
#include <microhttpd.h>

#include "kernel/http_server_private.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

DL_METRIC (metric_incomplete,
           DL_METRIC_COUNTER,
           "daisy_http_responses_incomplete_total",
           "HTTP requests that ended without their whole response, but by their caller.")

DlHttpEnd
dl_http_request_end (const DlHttpRequest *request)
{
  return request->end;
}

const char *
dl_http_end_text (DlHttpEnd end)
{
  switch (end)
    {
    case DL_HTTP_COMPLETED:
      return "completed";
    case DL_HTTP_CALLER_LEFT:
      return "the caller closed its connection";
    case DL_HTTP_CUT:
      return "the response was cut";
    case DL_HTTP_WRITE_FAILED:
      return "the response could not be written";
    case DL_HTTP_TIMED_OUT:
      return "nothing went over the connection for too long";
    case DL_HTTP_SERVER_ENDED:
      return "the process ended";
    }
  g_assert_not_reached ();
}

static DlHttpEnd
failed_response (const DlHttpRequest *r)
{
  if (r->aborted || (r->stream_ended && !r->stream_complete))
    return DL_HTTP_CUT;
  return dl_http_connections_is_caller_gone (r->connection) ? DL_HTTP_CALLER_LEFT
                                                            : DL_HTTP_WRITE_FAILED;
}

DlHttpEnd
dl_http_request_ended_by (const DlHttpRequest *r, enum MHD_RequestTerminationCode code)
{
  if (r->caller_disconnected)
    return DL_HTTP_CALLER_LEFT;
  if (r->stalled)
    return DL_HTTP_TIMED_OUT;
  switch (code)
    {
    case MHD_REQUEST_TERMINATED_COMPLETED_OK:
      return r->aborted ? DL_HTTP_CUT : DL_HTTP_COMPLETED;
    case MHD_REQUEST_TERMINATED_WITH_ERROR:
      return failed_response (r);
    case MHD_REQUEST_TERMINATED_TIMEOUT_REACHED:
      return DL_HTTP_TIMED_OUT;
    case MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN:
      return DL_HTTP_SERVER_ENDED;
    case MHD_REQUEST_TERMINATED_READ_ERROR:
    case MHD_REQUEST_TERMINATED_CLIENT_ABORT:
      return r->aborted ? DL_HTTP_CUT : DL_HTTP_CALLER_LEFT;
    }
  return DL_HTTP_WRITE_FAILED;
}

/* True while its handler has more of the response to give. */
static bool
is_in_progress (const DlHttpRequest *r)
{
  return r->handled && (!r->has_response || (r->stream != NULL && !r->stream_ended));
}

static const char *
stage_text (const DlHttpRequest *r)
{
  if (r->method == NULL)
    return "head";
  if (!r->handled)
    return "body";
  return r->has_response ? "response" : "handling";
}

/* Logs that the request ID ended without its whole response.  If its caller left or its
 * handler cut the response, other lines tell why. */
static void
log_incomplete (const DlHttpRequest *r, const char *id)
{
  bool is_told = r->end == DL_HTTP_CALLER_LEFT || r->end == DL_HTTP_CUT;
  const DlField fields[] = {
    DL_TEXT ("request", id != NULL ? id : ""),
    DL_TEXT ("cause", dl_http_end_text (r->end)),
    DL_UINT ("port", r->server->port),
    DL_TEXT ("stage", stage_text (r)),
    DL_UINT ("status", r->status),
    DL_UINT ("age_ms", dl_clock_ms () - r->begun_ms),
    { .key = 0 },
  };

  if (is_told)
    dl_log_fields (DL_EVENT_RESPONSE_INCOMPLETE, fields);
  else
    dl_log_kept_fields (DL_EVENT_RESPONSE_INCOMPLETE, fields);
}

void
dl_http_request_report_end (const DlHttpRequest *r)
{
  const DlHttpServer *server = r->server;
  const char *id = NULL;

  if (r->end == DL_HTTP_COMPLETED)
    return;
  if (r->end != DL_HTTP_CALLER_LEFT)
    dl_metric_add (&metric_incomplete, 1);
  else if ((r->caller_disconnected || is_in_progress (r)) && r->on_closed != NULL)
    return;
  if (server->id_header != NULL && r->method != NULL)
    id = dl_http_request_header (r, server->id_header);
  log_incomplete (r, id);
}
