/*
 * Replaces upstreams that fall silent.
 *
 * The request is sent to another upstream as well, and the silent one keeps it: that
 * another has a free place is known from reports only, and the silent one may be sound.
 * The attempt that goes on first stays, the others are cancelled.
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
DL_METRIC (metric_replacements,
           DL_METRIC_COUNTER,
           "daisy_direct_silent_replacements_total",
           "Attempts started beside one at a silent upstream.")
DL_METRIC (metric_silent_left,
           DL_METRIC_COUNTER,
           "daisy_direct_silent_left_total",
           "Attempts at a silent upstream that a replacement overtook.")

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

/* Sends the request to NEXT as well. */
static void
start_replacement (Request *r, uint64_t silent_ms, DirectUpstream *next)
{
  bool spent
      = dl_retry_spend (&r->service->budget, direct_dispatch_retry_percent (r->owner));

  g_assert (spent);
  dl_metric_add (&metric_replacements, 1);
  dl_log (DL_EVENT_SILENT_UPSTREAM_REPLACED, DL_TEXT ("request", r->incoming.id),
          DL_TEXT ("upstream", direct_attempt_upstream (r->attempts)->id),
          DL_UINT ("silent_ms", silent_ms), DL_TEXT ("next", next->id));
  direct_attempt_count_silence (r->attempts);
  direct_dispatch_send (r, next);
}

/* Sends the request to another upstream, too, if the last one that it was sent to has
 * been silent for long and another one seems free. */
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
    next = direct_dispatch_choose_further (r);
  if (next != NULL)
    start_replacement (r, silence.silent_ms, next);
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

void
direct_silence_overtaken (const Attempt *winner, const Attempt *loser)
{
  const Request *r = direct_attempt_request (winner);
  const char *lost = direct_attempt_upstream (loser)->id;

  if (direct_attempt_sent_ms (loser) > direct_attempt_sent_ms (winner))
    {
      dl_log (DL_EVENT_SILENT_UPSTREAM_WENT_ON, DL_TEXT ("request", r->incoming.id),
              DL_TEXT ("upstream", direct_attempt_upstream (winner)->id),
              DL_TEXT ("replacement", lost), DL_UINT ("sent", r->attempt_count));
      return;
    }
  dl_metric_add (&metric_silent_left, 1);
  direct_ending_log_retry (r, DL_END_SILENT, lost);
}
