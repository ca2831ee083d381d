/*
 * Withdraws requests that wait at upstreams whose weights become too old.
 *
 * A slow or full upstream may start a request long after it was sent.  Closing the
 * connection removes it from the upstream's queue.
 */
#include <glib.h>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "requests.h"

DL_METRIC (metric_withdrawn,
           DL_METRIC_COUNTER,
           "daisy_direct_withdrawn_total",
           "Requests withdrawn from upstreams before their weights became too old.")

static bool
is_outdated (const Request *r, uint64_t required)
{
  return r->attempts != NULL && r->service_entry->has_engine
         && direct_attempt_may_wait (r->attempts)
         && direct_attempt_version (r->attempts) < required;
}

/* Closes the attempt; the request is left without one, and avoids its upstream. */
static void
withdraw (Request *r, uint64_t required, uint64_t now_ms)
{
  dl_metric_add (&metric_withdrawn, 1);
  dl_log (DL_EVENT_REQUEST_WITHDRAWN, DL_TEXT ("request", r->incoming.id),
          DL_TEXT ("upstream", r->last_upstream),
          DL_UINT ("version", direct_attempt_version (r->attempts)),
          DL_UINT ("version_required", required),
          DL_UINT ("after_ms", now_ms - r->last_sent_ms),
          DL_UINT ("sent", r->attempt_count));
  direct_attempt_cancel (r->attempts, DIRECT_ATTEMPT_NEUTRAL,
                         dl_end_cause_text (DL_END_OUTDATED));
}

void
direct_outdated_withdraw (Requests *requests, uint64_t now_ms)
{
  uint64_t required = direct_upstreams_waiting_version (requests->upstreams, now_ms);
  g_autoptr (GPtrArray) withdrawn = g_ptr_array_new ();

  for (Request *r = requests->first; r != NULL; r = r->next)
    if (is_outdated (r, required))
      {
        withdraw (r, required, now_ms);
        g_ptr_array_add (withdrawn, r);
      }
  /* The last ones have waited longest: they go first, as retries may run out. */
  for (guint i = withdrawn->len; i > 0; i--)
    {
      Request *r = g_ptr_array_index (withdrawn, i - 1);

      direct_ending_handle (r, DL_END_OUTDATED, r->last_upstream);
    }
}
