/*
 * One attempt: a request sent to one upstream.
 *
 * Every attempt has a connection of its own.  So a late or extra response to another
 * request cannot be mistaken for its own, and the HTTP library never retries by itself.
 */
#include "attempt_private.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/metrics.h"

#define CONNECT_TIMEOUT_MS 350

DL_METRIC (metric_attempts,
           DL_METRIC_COUNTER,
           "daisy_direct_tries_total",
           "Requests sent to upstreams, including retries.")

/* Reports the attempt's end to its upstream, once. */
static void
release_upstream (Attempt *attempt, DirectAttemptOutcome outcome)
{
  if (attempt->ended)
    return;
  attempt->ended = true;
  if (outcome == DIRECT_ATTEMPT_SERVED)
    dl_wait_queue_responded (attempt->request->service->queue);
  direct_upstream_ended (attempt->upstream, attempt->prompt_tokens, attempt->started,
                         outcome, dl_clock_ms ());
}

static int
attempt_destroy (Attempt *attempt)
{
  attempt->request->owner->collected_bytes -= attempt->body_bytes;
  release_upstream (attempt, DIRECT_ATTEMPT_NEUTRAL);
  return 0;
}

/* Notes the state of the attempt in the request's history; END: why it ended, NULL while
 * it is in progress. */
static void
note_state (const Attempt *attempt, const char *end)
{
  uint64_t now_ms = dl_clock_ms ();

  dl_attempt_history_set (
      &attempt->request->history, attempt->number,
      &(DlAttemptState){
          .status = attempt->status,
          .events = attempt->events != NULL ? attempt->events->events : 0,
          .heard_ms = attempt->progress_ms,
          .is_reported_up = direct_upstream_is_reported_up (attempt->upstream, now_ms),
          .end = end,
          .ended_ms = now_ms,
      });
}

void
direct_attempt_note_state (const Attempt *attempt)
{
  note_state (attempt, NULL);
}

static void
link_attempt (Request *r, Attempt *attempt)
{
  attempt->next = r->attempts;
  if (attempt->next != NULL)
    attempt->next->link = &attempt->next;
  attempt->link = &r->attempts;
  r->attempts = attempt;
}

void
direct_attempt_unlink (Attempt *attempt, const char *end)
{
  if (attempt->link == NULL)
    return;
  note_state (attempt, end);
  *attempt->link = attempt->next;
  if (attempt->next != NULL)
    attempt->next->link = attempt->link;
  attempt->link = NULL;
}

void
direct_attempt_finish (Attempt *attempt, DirectAttemptOutcome outcome, const char *end)
{
  direct_attempt_unlink (attempt, end);
  release_upstream (attempt, outcome);
  talloc_free (attempt);
}

void
direct_attempt_finish_failed (Attempt *attempt,
                              DirectAttemptOutcome outcome,
                              DlEndCause cause)
{
  Request *r = attempt->request;
  Service *service = r->service;
  char *id = talloc_strdup (r, attempt->upstream->id);

  direct_attempt_finish (attempt, outcome, dl_end_cause_text (cause));
  direct_ending_handle (r, cause, id);
  direct_dispatch_run_queue (service);
}

/* -------- starting and cancelling -------- */

static void
note_sent (Request *r, const DirectUpstream *upstream, uint64_t now_ms)
{
  if (r->first_sent_ms == 0)
    r->first_sent_ms = now_ms;
  r->last_sent_ms = now_ms;
  r->estimate = direct_upstream_estimate (upstream, now_ms);
  talloc_free (r->last_upstream);
  r->last_upstream = talloc_strdup (r, upstream->id);
}

void
direct_attempt_start (Request *r, DirectUpstream *upstream)
{
  Attempt *attempt = talloc_zero (r, Attempt);
  uint64_t now_ms = dl_clock_ms ();
  DlForwardOptions forward;
  char *url;

  g_assert (attempt != NULL);
  attempt->request = r;
  attempt->upstream = upstream;
  attempt->sent_ms = now_ms;
  attempt->given_ms = direct_request_remaining_ms (r, now_ms);
  attempt->progress_ms = now_ms;
  attempt->sent_version = upstream->version;
  attempt->prompt_tokens = r->incoming.prompt_tokens;
  attempt->body = dl_buffer_new (attempt, ATTEMPT_RESPONSE_MAX_BYTES);
  attempt->number = dl_attempt_history_add (&r->history, upstream->id, now_ms);
  if (r->route->kind == DL_ROUTE_STREAM)
    attempt->events = dl_event_stream_new (attempt, r->last_event_id);
  link_attempt (r, attempt);
  r->attempt_count++;
  note_sent (r, upstream, now_ms);
  direct_quarantine_sent (r);
  direct_upstream_sent (upstream, attempt->prompt_tokens, now_ms);
  talloc_set_destructor (attempt, attempt_destroy);
  dl_metric_add (&metric_attempts, 1);
  url = talloc_asprintf (attempt, "http://%s/", upstream->address);
  forward = direct_forward_options (r, upstream, now_ms);
  attempt->pinned = forward.version > 0;
  attempt->call = dl_http_call (r->owner->client, attempt,
                                &(DlHttpCallOptions){
                                    .method = dl_http_request_method (r->http),
                                    .url = url,
                                    .target = dl_http_request_target (r->http),
                                    .headers = platform_forward_headers (attempt, r->http,
                                                                         &forward),
                                    .body = dl_http_request_body (r->http),
                                    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                    .single_use = true,
                                    .id = r->incoming.id,
                                    .on_head = direct_attempt_on_head,
                                    .on_data = direct_attempt_on_data,
                                    .on_done = direct_attempt_on_done,
                                    .data = attempt,
                                });
}

Request *
direct_attempt_request (const Attempt *attempt)
{
  return attempt->request;
}

Attempt *
direct_attempt_next (const Attempt *attempt)
{
  return attempt->next;
}

void
direct_attempt_cancel (Attempt *attempt, DirectAttemptOutcome outcome, const char *reason)
{
  direct_attempt_finish (attempt, outcome, reason);
}

/* True when a further attempt may be started beside those in progress. */
static bool
may_start_further (const Request *r)
{
  DlAttemptCounts counts = direct_ending_counts (r);

  return dl_attempts_left (&counts) && counts.not_sent < DL_NOT_SENT_MAX;
}

DlSilence
direct_attempt_silence (const Attempt *attempt, uint64_t now_ms)
{
  const Request *r = attempt->request;
  const DlRouteEntry *route = r->route;
  /* What an upstream sent during a pause of this process has not been read. */
  uint64_t resumed_ms = dl_kernel_resumed_ms (dl_task_kernel (r->owner->task));
  uint64_t since_ms = MAX (attempt->progress_ms, resumed_ms);

  return (DlSilence){
    .silent_ms = attempt->paused ? 0 : now_ms - MIN (since_ms, now_ms),
    .target_ms = attempt->started && route->target_gap_ms > 0 ? route->target_gap_ms
                                                              : route->target_ms,
    .reported_up = direct_upstream_is_reported_up (attempt->upstream, now_ms),
    .remaining_ms = direct_request_remaining_ms (r, now_ms),
    .may_retry = dl_routing_may_retry (route) && !direct_quarantine_holds (r),
    .has_attempts = may_start_further (r),
  };
}

void
direct_attempt_count_silence (Attempt *attempt)
{
  if (attempt->failure_counted)
    return;
  attempt->failure_counted = true;
  direct_upstream_silent (attempt->upstream, dl_clock_ms ());
}

bool
direct_attempt_note_kept (Attempt *attempt, bool counts)
{
  if (attempt->kept)
    return false;
  attempt->kept = true;
  if (counts)
    direct_attempt_count_silence (attempt);
  return true;
}

bool
direct_attempt_may_wait (const Attempt *attempt)
{
  bool has_head = attempt->events == NULL && attempt->status != 0;

  return !attempt->started && !has_head;
}

uint64_t
direct_attempt_sent_ms (const Attempt *attempt)
{
  return attempt->sent_ms;
}

uint64_t
direct_attempt_version (const Attempt *attempt)
{
  uint64_t version = attempt->upstream->version;

  return version != 0 ? version : attempt->sent_version;
}

const DirectUpstream *
direct_attempt_upstream (const Attempt *attempt)
{
  return attempt->upstream;
}
