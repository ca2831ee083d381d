/*
 * Final responses of requests, counted and logged.
 */
#include <glib.h>
#include <talloc.h>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "platform.h"
#include "requests.h"

#define STATUS_SERVER_ERROR 500
#define STATUS_UNAVAILABLE  503

DL_METRIC (metric_served,
           DL_METRIC_COUNTER,
           "daisy_direct_served_total",
           "Requests answered with an upstream's complete response.")
DL_METRIC (metric_refused,
           DL_METRIC_COUNTER,
           "daisy_direct_refused_total",
           "Requests refused; none of them was executed.")
DL_METRIC (metric_failed,
           DL_METRIC_COUNTER,
           "daisy_direct_failed_total",
           "Requests that failed after they were sent.")
DL_METRIC (metric_denied,
           DL_METRIC_COUNTER,
           "daisy_direct_denied_total",
           "Requests denied: unknown route or key, or too large.")
DL_METRIC (metric_late,
           DL_METRIC_COUNTER,
           "daisy_direct_late_total",
           "Requests served, but over a latency target of their route.")

DirectRequestCounts
direct_request_counts (void)
{
  return (DirectRequestCounts){
    .served = metric_served.value,
    .late = metric_late.value,
    .refused = metric_refused.value,
    .failed = metric_failed.value,
    .denied = metric_denied.value,
  };
}

/* -------- not executed -------- */

/* Time that those who wait for the request's service are expected to wait. */
static uint64_t
expected_wait_ms (const Request *r)
{
  return r->service != NULL
             ? dl_wait_queue_expected_ms (r->service->queue, dl_clock_ms ())
             : 0;
}

void
direct_request_refuse (Request *r, uint64_t retry_ms, const char *reason)
{
  DirectUpstreamCount count = { 0 };

  if (r->service_entry != NULL)
    count = direct_upstreams_count (r->owner->upstreams, r->service_entry->name,
                                    dl_clock_ms ());
  dl_metric_add (&metric_refused, 1);
  dl_log (DL_EVENT_REQUEST_REFUSED, DL_TEXT ("request", r->incoming.id),
          DL_TEXT ("reason", reason),
          DL_TEXT ("route", r->route != NULL ? r->route->name : ""),
          DL_UINT ("age_ms", dl_clock_ms () - r->arrived_ms),
          DL_UINT ("sent", r->attempt_count),
          DL_UINT ("waiting",
                   r->service != NULL ? dl_wait_queue_length (r->service->queue) : 0),
          DL_UINT ("expected_wait_ms", expected_wait_ms (r)),
          DL_UINT ("upstreams", count.listed), DL_UINT ("loading", count.loading),
          DL_UINT ("ejected", count.ejected), DL_UINT ("old_weights", count.outdated),
          DL_UINT ("held_off", count.held_off), DL_UINT ("evacuated", count.evacuated),
          DL_UINT ("displaced", count.displaced), DL_UINT ("retry_ms", retry_ms),
          DL_UINT ("routing", r->routing != NULL ? r->routing->routing->version : 0));
  direct_request_release (r);
  platform_reply_error (r->http, STATUS_UNAVAILABLE, retry_ms, reason);
}

void
direct_request_deny (Request *r, unsigned status, const char *reason)
{
  const DirectRoutingProof *proof = &r->owner->routing_proof;

  dl_metric_add (&metric_denied, 1);
  dl_log (DL_EVENT_REQUEST_DENIED, DL_TEXT ("request", r->incoming.id),
          DL_UINT ("status", status), DL_TEXT ("reason", reason),
          DL_UINT ("routing", r->routing->routing->version),
          DL_UINT ("routing_age_ms", dl_clock_ms () - proof->proven_ms),
          DL_TEXT ("reader", direct_origin_text (&proof->origin)),
          DL_UINT ("reader_age_ms", proof->origin.reader_age_ms));
  direct_request_release (r);
  platform_reply_error (r->http, status, 0, reason);
}

/* -------- failed after being sent -------- */

/* What became of the request's attempts, a talloc child of it. */
static char *
attempts_text (Request *r)
{
  for (Attempt *a = r->attempts; a != NULL; a = direct_attempt_next (a))
    direct_attempt_note_state (a);
  return dl_attempt_history_text (r, &r->history, r->arrived_ms);
}

/* Time since this process began to stop; 0 while it does not. */
static uint64_t
stopping_for_ms (const Request *r)
{
  uint64_t began_ms = r->owner->stop_began_ms;

  return began_ms != 0 ? dl_clock_ms () - began_ms : 0;
}

/* Logs the end of the request without its whole response.  Of a stream that is cut before
 * its time ran out nothing but this line tells why. */
static void
log_failure (Request *r, unsigned status, const char *cause)
{
  const char *upstream = r->attempts != NULL ? direct_attempt_upstream (r->attempts)->id
                                             : r->avoid_upstream;
  uint64_t now_ms = dl_clock_ms ();
  uint64_t remaining_ms = direct_request_remaining_ms (r, now_ms);
  const DlField fields[] = {
    DL_TEXT ("request", r->incoming.id),
    DL_TEXT ("cause", cause),
    DL_TEXT ("route", r->route->name),
    DL_TEXT ("upstream", upstream),
    DL_UINT ("status", r->head_sent ? 0 : status),
    DL_UINT ("age_ms", now_ms - r->arrived_ms),
    DL_UINT ("remaining_ms", remaining_ms),
    DL_UINT ("stopping_for_ms", stopping_for_ms (r)),
    DL_UINT ("sent", r->attempt_count),
    DL_UINT ("last_event", r->last_event_id),
    DL_UINT ("upstream_requests", r->estimate.requests),
    DL_INT ("report_age_ms", r->estimate.report_age_ms),
    DL_TEXT ("attempts", attempts_text (r)),
    { .key = 0 },
  };

  if (r->head_sent && remaining_ms > 0)
    dl_log_kept_fields (DL_EVENT_REQUEST_FAILED, fields);
  else
    dl_log_fields (DL_EVENT_REQUEST_FAILED, fields);
}

void
direct_request_fail (Request *r, unsigned status, const char *cause)
{
  dl_metric_add (&metric_failed, 1);
  log_failure (r, status, cause);
  direct_request_release (r);
  if (r->head_sent)
    dl_http_stream_end (r->http, false);
  else
    platform_reply_error (r->http, status, 0, cause);
}

/* -------- served -------- */

static bool
is_late (const Request *r)
{
  const DlRouteEntry *route = r->route;

  if (r->first_event_ms - r->arrived_ms > route->target_ms)
    return true;
  return route->target_gap_ms > 0 && r->gap_max_ms > route->target_gap_ms;
}

/* Counts a request that was served; for a late one, logs where the time was spent. */
static void
note_served (const Request *r)
{
  dl_metric_add (&metric_served, 1);
  if (!is_late (r))
    return;
  dl_metric_add (&metric_late, 1);
  dl_log (DL_EVENT_REQUEST_LATE, DL_TEXT ("request", r->incoming.id),
          DL_TEXT ("route", r->route->name), DL_TEXT ("upstream", r->last_upstream),
          DL_UINT ("target_ms", r->route->target_ms),
          DL_UINT ("first_ms", r->first_event_ms - r->arrived_ms),
          DL_UINT ("queued_ms", r->first_sent_ms - r->arrived_ms),
          DL_UINT ("other_tries_ms", r->last_sent_ms - r->first_sent_ms),
          DL_UINT ("longest_gap_ms", r->gap_max_ms),
          DL_UINT ("gap_target_ms", r->route->target_gap_ms),
          DL_UINT ("sent", r->attempt_count),
          DL_UINT ("upstream_requests", r->estimate.requests),
          DL_INT ("report_age_ms", r->estimate.report_age_ms),
          DL_UINT ("routing", r->routing->routing->version));
}

/* Counts and logs an error response of the upstream that is forwarded to the caller. */
static void
note_upstream_failure (const Request *r, unsigned status)
{
  dl_metric_add (&metric_failed, 1);
  dl_log (DL_EVENT_REQUEST_FAILED_UPSTREAM, DL_TEXT ("request", r->incoming.id),
          DL_TEXT ("route", r->route->name), DL_TEXT ("upstream", r->last_upstream),
          DL_UINT ("status", status), DL_UINT ("age_ms", dl_clock_ms () - r->arrived_ms),
          DL_UINT ("sent", r->attempt_count));
}

void
direct_request_reply (Request *r,
                      unsigned status,
                      const char *content_type,
                      DlStr body,
                      const DlHttpHeader *headers)
{
  direct_request_record_event (r, dl_clock_ms ());
  if (status >= STATUS_SERVER_ERROR)
    note_upstream_failure (r, status);
  else
    note_served (r);
  direct_request_release (r);
  dl_http_reply (r->http, status, content_type, body, headers);
  direct_dispatch_run_queue (r->service);
}

void
direct_request_end_stream (Request *r)
{
  if (r->first_event_ms == 0)
    direct_request_record_event (r, dl_clock_ms ()); /* a stream without events */
  note_served (r);
  direct_request_release (r);
  dl_http_stream_end (r->http, true);
  direct_dispatch_run_queue (r->service);
}

void
direct_request_record_event (Request *r, uint64_t now_ms)
{
  if (r->first_event_ms == 0)
    r->first_event_ms = now_ms;
  else
    r->gap_max_ms = MAX (r->gap_max_ms, now_ms - r->last_event_ms);
  r->last_event_ms = now_ms;
}
