/*
 * What becomes of a request whose attempt ends: it goes on with others, is sent again, or
 * gets its final response.
 */
#include <glib.h>
#include <talloc.h>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "requests.h"

#define STATUS_GATEWAY_TIMEOUT 504

DL_METRIC (metric_retries,
           DL_METRIC_COUNTER,
           "daisy_direct_repeats_total",
           "Retries of requests.")
DL_METRIC (metric_budget_empty,
           DL_METRIC_COUNTER,
           "daisy_direct_repeats_denied_total",
           "Retries that the retry budget did not allow.")

static unsigned
count_attempts (const Request *r)
{
  unsigned count = 0;

  for (const Attempt *a = r->attempts; a != NULL; a = direct_attempt_next (a))
    count++;
  return count;
}

DlAttemptCounts
direct_ending_counts (const Request *r)
{
  return (DlAttemptCounts){
    .sent = r->attempt_count,
    .not_run = r->not_run_count,
    .is_partial = r->head_sent,
    .not_sent = r->connect_failures,
    .max = r->route->attempts_max,
  };
}

/* What the decision about ATTEMPT, which is in progress, depends on; NULL: it has ended
 * already. */
static DlEnding
ending_of (const Request *r, const Attempt *attempt, DlEndCause cause)
{
  return (DlEnding){
    .cause = cause,
    .has_started = attempt != NULL && !direct_attempt_may_wait (attempt),
    .others = count_attempts (r) - (attempt != NULL),
    .counts = direct_ending_counts (r),
    .may_run_again = dl_routing_may_retry (r->route),
    .is_forbidden = !direct_quarantine_allows_retry (r, cause),
    .remaining_ms = direct_request_remaining_ms (r, dl_clock_ms ()),
    .has_budget
    = dl_retry_allows (&r->service->budget, direct_dispatch_retry_percent (r->owner)),
  };
}

DlEndDecision
direct_ending_decide (const Attempt *attempt, DlEndCause cause)
{
  DlEnding e = ending_of (direct_attempt_request (attempt), attempt, cause);

  return dl_end_decide (&e);
}

bool
direct_ending_ends_request (const Request *r, DlEndCause cause)
{
  DlEnding e = ending_of (r, NULL, cause);

  return dl_end_decide (&e) == DL_END_REQUEST;
}

/* Counts a retry that only the budget does not allow. */
static void
note_empty_budget (const DlEnding *ending)
{
  DlEnding granted = *ending;

  granted.has_budget = true;
  if (!ending->has_budget && dl_end_decide (&granted) == DL_END_RETRY)
    dl_metric_add (&metric_budget_empty, 1);
}

void
direct_ending_return_retry (Request *r)
{
  if (!r->retry_reserved)
    return;
  r->retry_reserved = false;
  dl_retry_return (&r->service->budget);
}

/* Takes a retry from the budget, unless one of the request was not sent. */
static void
reserve_retry (Request *r, DlEndCause cause)
{
  bool granted = true;

  if (cause != DL_END_NOT_SENT)
    granted
        = dl_retry_spend (&r->service->budget, direct_dispatch_retry_percent (r->owner));
  g_assert (granted);
  r->retry_reserved = r->retry_reserved || cause != DL_END_NOT_SENT;
}

static bool
may_have_run (DlEndCause cause)
{
  return cause != DL_END_NOT_SENT && cause != DL_END_NOT_RUN;
}

/* Notes that the attempt at UPSTREAM has ended. */
static void
note_end (Request *r, DlEndCause cause, const char *upstream)
{
  if (cause == DL_END_NOT_SENT)
    {
      r->attempt_count--;
      r->connect_failures++;
      r->retry_reserved = r->attempt_count > 0; /* what could not be sent was a retry */
    }
  if (may_have_run (cause))
    r->may_have_run = true;
  r->failed_ms = dl_clock_ms ();
  talloc_free (r->avoid_upstream);
  r->avoid_upstream = talloc_strdup (r, upstream);
}

void
direct_ending_log_retry (const Request *r, DlEndCause cause, const char *upstream)
{
  dl_log_fields (r->head_sent ? DL_EVENT_REQUEST_RESUMED : DL_EVENT_REQUEST_RETRIED,
                 (const DlField[]){ DL_TEXT ("request", r->incoming.id),
                                    DL_TEXT ("upstream", upstream),
                                    DL_TEXT ("cause", dl_end_cause_text (cause)),
                                    DL_UINT ("sent", r->attempt_count),
                                    DL_UINT ("last_event", r->last_event_id),
                                    DL_UINT ("upstream_requests", r->estimate.requests),
                                    DL_INT ("report_age_ms", r->estimate.report_age_ms),
                                    { .key = 0 } });
  dl_metric_add (&metric_retries, 1);
}

static void
retry (Request *r, DlEndCause cause, const char *upstream)
{
  reserve_retry (r, cause);
  if (cause == DL_END_NOT_RUN || cause == DL_END_OUTDATED)
    r->not_run_count++;
  note_end (r, cause, upstream);
  direct_ending_log_retry (r, cause, upstream);
  direct_dispatch_request (r);
}

static void
end_request (Request *r, DlEndCause cause, const char *upstream)
{
  note_end (r, cause, upstream);
  if (cause == DL_END_TIME_OVER)
    direct_request_fail (r, STATUS_GATEWAY_TIMEOUT, dl_end_cause_text (cause));
  else
    direct_dispatch_refuse_or_fail (r, dl_end_cause_text (cause));
}

/* The request goes on with its other attempts.  One that is withdrawn counts as run: its
 * upstream may begin it before it learns of that. */
static void
leave (Request *r, DlEndCause cause, const char *upstream)
{
  if (cause == DL_END_NOT_RUN)
    r->not_run_count++;
  note_end (r, cause, upstream);
  direct_ending_return_retry (r);
  dl_log (DL_EVENT_ATTEMPT_ENDED_BESIDE, DL_TEXT ("request", r->incoming.id),
          DL_TEXT ("upstream", upstream), DL_TEXT ("cause", dl_end_cause_text (cause)),
          DL_TEXT ("stays_at", direct_attempt_upstream (r->attempts)->id),
          DL_UINT ("sent", r->attempt_count), DL_UINT ("last_event", r->last_event_id),
          DL_UINT ("remaining_ms", direct_request_remaining_ms (r, dl_clock_ms ())));
}

void
direct_ending_handle (Request *r, DlEndCause cause, const char *upstream)
{
  DlEnding e = ending_of (r, NULL, cause);

  switch (dl_end_decide (&e))
    {
    case DL_END_LEAVE:
      leave (r, cause, upstream);
      break;
    case DL_END_RETRY:
      retry (r, cause, upstream);
      break;
    case DL_END_REQUEST:
      note_empty_budget (&e);
      end_request (r, cause, upstream);
      break;
    case DL_END_KEEP:
      g_assert_not_reached (); /* it has ended */
    }
}
