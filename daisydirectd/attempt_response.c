/*
 * The response of one attempt: receiving it, forwarding it, and its end.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "attempt_private.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/response_room.h"
#include "policy/time_limit.h"

/* A response that is no stream makes progress when this many more bytes have arrived. */
#define PROGRESS_BYTES (4u << 10)
/* With more bytes than this queued for a slow caller, the upstream's stream is paused. */
#define STREAM_QUEUED_MAX_BYTES (256u << 10)
/* In the history of a request: its attempt ended with the response. */
#define SERVED_TEXT             "its response was forwarded"
#define STATUS_OK               200
#define STATUS_MULTIPLE_CHOICES 300
#define STATUS_MISDIRECTED      421
#define STATUS_SERVER_ERROR     500

DL_METRIC (metric_outdated,
           DL_METRIC_COUNTER,
           "daisy_direct_outdated_starts_total",
           "Requests that started on weights that should have been replaced by then.")
DL_METRIC (metric_first_event,
           DL_METRIC_HISTOGRAM,
           "daisy_direct_first_event_ms",
           "Time from an attempt's start to the first event or the whole response.")
DL_METRIC (metric_gap,
           DL_METRIC_HISTOGRAM,
           "daisy_direct_event_gap_ms",
           "Gaps between the events of streams.")

static bool
is_success (const Attempt *attempt)
{
  return attempt->status >= STATUS_OK && attempt->status < STATUS_MULTIPLE_CHOICES;
}

static bool
is_stream (const Attempt *attempt)
{
  return attempt->events != NULL && attempt->head.is_event_stream && is_success (attempt)
         && attempt->head.has_seal && !attempt->head.is_mismatched;
}

/* True when the upstream says that it did not run this request. */
static bool
was_not_run (const Attempt *attempt)
{
  return attempt->head.not_run && attempt->head.names_request;
}

/* True when the upstream at the address says that it is another one than was named. */
static bool
is_misdirected (const Attempt *attempt)
{
  return attempt->status == STATUS_MISDIRECTED && attempt->head.names_request
         && !attempt->pinned;
}

/* True for a response that must not be forwarded: it does not belong to the request, it
 * reports success without the upstream's seal, or it promises callers by its status what
 * the upstream does not state.  A refusal without the request's id may be an earlier one
 * that a faulty upstream writes once more: the request that is sent now may be running.
 */
static bool
is_unusable (const Attempt *attempt)
{
  return attempt->head.is_mismatched || attempt->head.is_unstated_refusal
         || (is_success (attempt) && !attempt->head.has_seal)
         || (attempt->head.not_run && !attempt->head.names_request);
}

/* True when an end now is that of the time that the upstream was given. */
static bool
is_time_over (const Attempt *attempt)
{
  DlAttemptTime time = { .given_ms = attempt->given_ms,
                         .elapsed_ms = dl_clock_ms () - attempt->sent_ms };

  return !attempt->aborted && dl_time_limit_reached (&time);
}

/* -------- receiving the response -------- */

void
direct_attempt_on_head (DlHttpCall *call, unsigned status, void *data)
{
  Attempt *attempt = data;

  attempt->status = status;
  attempt->progress_ms = dl_clock_ms ();
  platform_read_response_head (call, status, attempt->request->incoming.id,
                               &attempt->head);
  if (is_success (attempt) && attempt->head.has_seal && attempt->head.names_request)
    direct_upstream_responded (attempt->upstream, attempt->sent_ms);
  if (attempt->head.leaving)
    direct_upstream_announced_leaving (attempt->upstream);
  if (attempt->head.hold_off_ms > 0)
    direct_upstream_asked_hold_off (attempt->upstream, attempt->head.hold_off_ms,
                                    attempt->progress_ms);
  /* Otherwise another upstream may have responded. */
  if (!attempt->head.is_mismatched && status != STATUS_MISDIRECTED)
    direct_limits_heard (attempt->request->owner->limits, attempt->upstream,
                         &attempt->head, attempt->sent_ms);
  if (attempt->head.has_cold && !attempt->head.is_mismatched)
    direct_upstream_told_cold (attempt->upstream, attempt->head.cold_ms, attempt->sent_ms,
                               attempt->progress_ms);
  if (attempt->head.has_load && !attempt->head.is_mismatched)
    direct_upstream_told_pace (attempt->upstream, attempt->head.pace_percent,
                               attempt->progress_ms);
  if (attempt->head.has_load)
    direct_upstream_update_load (attempt->upstream,
                                 attempt->head.running + attempt->head.waiting,
                                 attempt->head.slots, attempt->progress_ms);
}

/* Reports a response from weights that should not start a request any more. */
static void
check_version (const Attempt *attempt, uint64_t now_ms)
{
  const Request *r = attempt->request;
  uint64_t due = direct_upstreams_due_version (r->owner->upstreams, now_ms);

  if (!r->service_entry->has_engine || attempt->head.version == 0
      || attempt->head.version >= due)
    return;
  dl_metric_add (&metric_outdated, 1);
  dl_log (DL_EVENT_ATTEMPT_STARTED_OUTDATED, DL_TEXT ("request", r->incoming.id),
          DL_TEXT ("upstream", attempt->upstream->id),
          DL_UINT ("version", attempt->head.version), DL_UINT ("version_due", due),
          DL_UINT ("after_ms", now_ms - attempt->sent_ms),
          DL_UINT ("upstream_requests", r->estimate.requests),
          DL_INT ("report_age_ms", r->estimate.report_age_ms));
}

static void
note_started (Attempt *attempt, uint64_t now_ms)
{
  if (attempt->started)
    return;
  attempt->started = true;
  check_version (attempt, now_ms);
  direct_upstream_started (attempt->upstream, attempt->prompt_tokens);
  dl_metric_observe_us (&metric_first_event, (now_ms - attempt->sent_ms) * 1000);
}

static void
on_overtaken (DlTimer *timer, void *data)
{
  Attempt *attempt = data;

  direct_attempt_finish (attempt,
                         attempt->failure_counted ? DIRECT_ATTEMPT_SILENT
                                                  : DIRECT_ATTEMPT_NEUTRAL,
                         dl_end_cause_text (DL_END_OVERTAKEN));
}

/* WINNER goes on first.  The attempt is none of its request's any more; it is ended from
 * the event loop, as the HTTP library cancels no call from its data callback. */
static void
overtake (Attempt *attempt, const Attempt *winner)
{
  direct_silence_overtaken (winner, attempt);
  attempt->overtaken = true;
  direct_attempt_unlink (attempt, dl_end_cause_text (DL_END_OVERTAKEN));
  talloc_free (attempt->abort_timer);
  attempt->abort_timer = dl_timer_subscribe (attempt->request->owner->task, attempt, 0, 0,
                                             on_overtaken, attempt);
}

/* The response is forwarded from this attempt; the others of its request end. */
static void
take_lead (Attempt *attempt)
{
  Request *r = attempt->request;
  Attempt *next;

  r->may_have_run = true;
  for (Attempt *other = r->attempts; other != NULL; other = next)
    {
      next = other->next;
      if (other != attempt)
        overtake (other, attempt);
    }
  if (strcmp (r->last_upstream, attempt->upstream->id) == 0)
    return;
  talloc_free (r->last_upstream);
  r->last_upstream = talloc_strdup (r, attempt->upstream->id);
}

static void
begin_reply (Attempt *attempt)
{
  Request *r = attempt->request;
  const char *type;
  const DlHttpHeader *headers = platform_response_headers (attempt, attempt->call, &type);

  r->head_sent = true;
  dl_http_stream_begin (r->http, attempt->status, type, headers);
}

/* Pauses the upstream's stream or lets it go on.  What it does not send meanwhile is no
 * silence of its own. */
static void
set_paused (Attempt *attempt, bool paused)
{
  if (attempt->paused == paused)
    return;
  attempt->paused = paused;
  attempt->progress_ms = dl_clock_ms ();
  dl_http_call_pause (attempt->call, paused);
}

static void
on_stream_consumed (DlHttpRequest *http, size_t consumed, void *data)
{
  Request *r = data;

  if (dl_http_stream_queued (http) >= STREAM_QUEUED_MAX_BYTES)
    return;
  for (Attempt *attempt = r->attempts; attempt != NULL; attempt = attempt->next)
    set_paused (attempt, false);
}

/* How an error response, or none, counts for the upstream.  One that asks for a hold-off
 * is no fault of it, and gets the hold-off instead of an open circuit breaker. */
static DirectAttemptOutcome
error_outcome (const Attempt *attempt)
{
  if (is_misdirected (attempt))
    return DIRECT_ATTEMPT_UNREACHABLE;
  return attempt->head.hold_off_ms > 0 || attempt->time_over ? DIRECT_ATTEMPT_NEUTRAL
                                                             : DIRECT_ATTEMPT_FAILED;
}

static DlEndCause
broken_cause (const Attempt *attempt)
{
  return attempt->time_over ? DL_END_TIME_OVER : DL_END_BROKEN;
}

/* Ends an attempt without a response that can be used. */
static void
finish_broken (Attempt *attempt)
{
  direct_attempt_finish_failed (attempt, error_outcome (attempt),
                                was_not_run (attempt) ? DL_END_NOT_RUN
                                                      : broken_cause (attempt));
}

static void
on_abort (DlTimer *timer, void *data)
{
  finish_broken (data);
}

/* Ends the attempt from the event loop, as the HTTP library allows no new call from its
 * data callback.  WHAT is logged; NULL: nothing is. */
static void
abort_attempt (Attempt *attempt, const char *what)
{
  if (what != NULL)
    dl_http_call_report_invalid (attempt->call, what);
  attempt->aborted = true;
  attempt->abort_timer = dl_timer_subscribe (attempt->request->owner->task, attempt, 0, 0,
                                             on_abort, attempt);
}

/* Forwards whole events to the caller.  An event that is too large, or whose id does not
 * follow the last one, aborts the attempt. */
static void
forward_events (Attempt *attempt, DlStr bytes)
{
  Request *r = attempt->request;
  uint64_t now_ms = dl_clock_ms ();
  DlBuffer *out = dl_buffer_new (attempt, 0);
  int error = dl_event_stream_feed (attempt->events, bytes, out);

  if (out->length > 0)
    {
      if (attempt->started)
        dl_metric_observe_us (&metric_gap, (now_ms - attempt->progress_ms) * 1000);
      attempt->progress_ms = now_ms;
      note_started (attempt, now_ms);
      take_lead (attempt);
      if (!r->head_sent)
        {
          begin_reply (attempt);
          dl_http_stream_on_consumed (r->http, on_stream_consumed, r);
        }
      dl_http_stream_write (r->http, dl_buffer_view (out));
      r->last_event_id = attempt->events->last_id;
      direct_request_record_event (r, now_ms);
    }
  talloc_free (out);
  if (error < 0)
    abort_attempt (attempt, error == DL_ERR_TOO_LARGE ? "a stream without an event"
                                                      : "an event out of order");
  else if (dl_http_stream_queued (r->http) > STREAM_QUEUED_MAX_BYTES)
    set_paused (attempt, true);
}

/* Collects a response that is no stream.  One that will not be forwarded is not. */
static void
collect (Attempt *attempt, DlStr bytes)
{
  size_t before = attempt->body_bytes;
  const DlResponseRoom room = { .held_bytes = before,
                                .max_bytes = ATTEMPT_RESPONSE_MAX_BYTES,
                                .all_bytes = attempt->request->owner->collected_bytes };

  if (was_not_run (attempt))
    abort_attempt (attempt, NULL);
  else if (is_unusable (attempt))
    abort_attempt (attempt, "no response that may be forwarded to this request's caller");
  else if (!dl_response_room_has (&room, bytes.length)
           || dl_buffer_append (attempt->body, bytes.data, bytes.length) < 0)
    abort_attempt (attempt, "a body over the limit");
  else
    {
      attempt->body_bytes += bytes.length;
      attempt->request->owner->collected_bytes += bytes.length;
      if (before == 0 || attempt->body_bytes / PROGRESS_BYTES > before / PROGRESS_BYTES)
        attempt->progress_ms = dl_clock_ms ();
    }
}

void
direct_attempt_on_data (DlHttpCall *call, DlStr bytes, void *data)
{
  Attempt *attempt = data;

  if (attempt->aborted || attempt->overtaken)
    return;
  if (is_stream (attempt))
    {
      forward_events (attempt, bytes);
      return;
    }
  collect (attempt, bytes);
}

/* -------- the end of the attempt -------- */

/* Notes that the upstream ran the request to its end.  Of a response that ends with its
 * connection it is not certain. */
static void
note_served (Attempt *attempt)
{
  if (attempt->started && attempt->head.is_delimited)
    direct_quarantine_served (attempt->request);
}

/* The same for a response that is no success.  One without the upstream's seal may be of
 * something before it. */
static void
note_answered (Attempt *attempt)
{
  if (attempt->head.is_delimited && attempt->head.has_seal)
    direct_quarantine_answered (attempt->request);
}

/* What is no response says nothing of the request, nor when to send the next one. */
static void
distrust_head (Attempt *attempt)
{
  attempt->head.not_run = false;
  attempt->head.names_request = false;
  attempt->head.hold_off_ms = 0;
}

/* The upstream closed the connection, or lost it, before the response was complete. */
static void
note_broken_off (Attempt *attempt)
{
  Request *r = attempt->request;
  uint64_t now_ms = dl_clock_ms ();

  if (attempt->time_over)
    return;
  dl_log (DL_EVENT_ATTEMPT_BROKEN_OFF, DL_TEXT ("request", r->incoming.id),
          DL_TEXT ("upstream", attempt->upstream->id),
          DL_UINT ("status", attempt->status),
          DL_UINT ("after_ms", now_ms - attempt->sent_ms),
          DL_UINT ("given_ms", attempt->given_ms),
          DL_UINT ("remaining_ms", direct_request_remaining_ms (r, now_ms)),
          DL_UINT ("last_event", r->last_event_id),
          DL_TEXT ("identity", r->identity.text),
          DL_TEXT ("parts", dl_signatures_parts_text (attempt, &r->incoming.signatures)));
  direct_quarantine_broken_off (r, attempt->upstream);
}

/* True when the stream ended before its proper end: inside an event, or, when only the
 * end of the connection marks the end, without any.  REST receives what follows the last
 * event. */
static bool
is_cut_off (const Attempt *attempt, const DlHttpResult *result, DlBuffer *rest)
{
  if (result->error < 0 || dl_event_stream_finish (attempt->events, rest) < 0)
    return true;
  return !attempt->head.is_delimited && !attempt->started;
}

static void
complete_stream (Attempt *attempt, const DlHttpResult *result)
{
  Request *r = attempt->request;
  DlBuffer *rest = dl_buffer_new (attempt, 0);

  if (is_cut_off (attempt, result, rest))
    {
      if (result->error == 0)
        note_broken_off (attempt);
      direct_attempt_finish_failed (attempt, error_outcome (attempt),
                                    broken_cause (attempt));
      return;
    }
  take_lead (attempt);
  if (!r->head_sent)
    begin_reply (attempt);
  if (rest->length > 0)
    dl_http_stream_write (r->http, dl_buffer_view (rest));
  note_served (attempt);
  direct_attempt_finish (attempt, DIRECT_ATTEMPT_SERVED, SERVED_TEXT);
  direct_request_end_stream (r);
}

/* True for an error response that is not forwarded, as the request goes on without it. */
static bool
is_superseded_error (const Attempt *attempt)
{
  return attempt->status >= STATUS_SERVER_ERROR
         && direct_ending_decide (attempt, DL_END_BROKEN) != DL_END_REQUEST;
}

static void
forward_response (Attempt *attempt)
{
  Request *r = attempt->request;
  const char *type;
  const DlHttpHeader *headers = platform_response_headers (r, attempt->call, &type);
  DlBuffer *body = talloc_steal (r, attempt->body);
  unsigned status = attempt->status;

  take_lead (attempt);
  if (is_success (attempt))
    note_served (attempt);
  direct_attempt_finish (attempt,
                         status >= STATUS_SERVER_ERROR ? error_outcome (attempt)
                                                       : DIRECT_ATTEMPT_SERVED,
                         SERVED_TEXT);
  direct_request_reply (r, status, type, dl_buffer_view (body), headers);
}

static void
complete_response (Attempt *attempt, const DlHttpResult *result)
{
  bool broken = result->error < 0 || is_unusable (attempt) || attempt->request->head_sent;

  if (was_not_run (attempt) || broken)
    {
      finish_broken (attempt);
      return;
    }
  if (!is_success (attempt))
    note_answered (attempt);
  if (is_superseded_error (attempt))
    {
      direct_attempt_finish_failed (attempt, error_outcome (attempt), DL_END_BROKEN);
      return;
    }
  note_started (attempt, dl_clock_ms ());
  forward_response (attempt);
}

void
direct_attempt_on_done (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  Attempt *attempt = data;
  bool responded = result->status != 0 && !attempt->aborted;

  if (attempt->overtaken)
    return; /* it is about to be ended */
  attempt->time_over = is_time_over (attempt);
  if (result->error == DL_ERR_MALFORMED)
    distrust_head (attempt);
  /* One that sends what is no response does not crash. */
  if (result->sent && result->broken_off && !attempt->aborted)
    note_broken_off (attempt);
  if (!responded && !result->sent)
    direct_attempt_finish_failed (attempt, DIRECT_ATTEMPT_UNREACHABLE, DL_END_NOT_SENT);
  else if (!responded)
    finish_broken (attempt);
  else if (is_stream (attempt))
    complete_stream (attempt, result);
  else
    complete_response (attempt, result);
}
