/*
 * Attempts whose upstreams fall silent.
 */
#include <glib.h>
#include <talloc.h>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "requests.h"

DL_METRIC (metric_silent_kept,
           DL_METRIC_COUNTER,
           "daisy_direct_silent_kept_total",
           "Attempts kept at a silent upstream for want of a replacement.")
DL_METRIC (metric_silent_left,
           DL_METRIC_COUNTER,
           "daisy_direct_silent_left_total",
           "Attempts at a silent upstream that were replaced.")

static void
keep_silent (Request *r, uint64_t silent_ms, DlSilenceDecision decision)
{
  if (!direct_attempt_note_kept (r->attempts, decision != DL_SILENCE_KEEP_ROUTE))
    return;
  dl_metric_add (&metric_silent_kept, 1);
  dl_log (DL_EVENT_SILENT_UPSTREAM_KEPT, DL_TEXT ("request", r->incoming.id),
          DL_TEXT ("upstream", direct_attempt_upstream (r->attempts)->id),
          DL_UINT ("silent_ms", silent_ms),
          DL_TEXT ("reason", dl_silence_kept_text (decision)),
          DL_UINT ("sent", r->attempt_count),
          DL_UINT ("remaining_ms", direct_request_remaining_ms (r, dl_clock_ms ())));
}

static void
leave_silent (Request *r, uint64_t silent_ms, DirectUpstream *next)
{
  char *id = talloc_strdup (r, direct_attempt_upstream (r->attempts)->id);
  bool spent
      = dl_retry_spend (&r->service->budget, direct_dispatch_retry_percent (r->owner));

  g_assert (spent);
  dl_metric_add (&metric_silent_left, 1);
  dl_log (DL_EVENT_SILENT_UPSTREAM_LEFT, DL_TEXT ("request", r->incoming.id),
          DL_TEXT ("upstream", id), DL_UINT ("silent_ms", silent_ms),
          DL_TEXT ("next", next->id));
  direct_attempt_leave (r->attempts);
  direct_ending_note (r, DL_END_SILENT, id);
  direct_ending_log_retry (r, DL_END_SILENT, id);
  direct_dispatch_send (r, next);
}

/* Sends the request to another upstream if its own has been silent for long and the
 * replacement is certain; otherwise keeps the attempt. */
static void
check_request (Request *r, uint64_t now_ms)
{
  DlSilence silence = direct_attempt_silence (r->attempts, now_ms);
  DlSilenceDecision decision;
  DirectUpstream *next = NULL;

  silence.has_budget
      = dl_retry_allows (&r->service->budget, direct_dispatch_retry_percent (r->owner));
  decision = dl_silence_decide (&silence);
  if (decision == DL_SILENCE_WITHIN_LIMIT)
    return;
  if (decision == DL_SILENCE_REPLACE)
    next = direct_dispatch_choose_beside (r, direct_attempt_upstream (r->attempts)->id);
  if (next != NULL)
    leave_silent (r, silence.silent_ms, next);
  else
    keep_silent (r, silence.silent_ms, decision);
}

void
direct_silence_check (Service *service)
{
  uint64_t now_ms = dl_clock_ms ();

  for (Request *r = service->owner->first; r != NULL; r = r->next)
    if (r->service == service && r->attempts != NULL)
      check_request (r, now_ms);
}
