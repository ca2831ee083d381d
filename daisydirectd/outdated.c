/*
 * Withdraws requests that wait at upstreams whose weights become too old.
 *
 * A slow or full upstream may start a request long after it was sent.  Closing the
 * connection removes it from the upstream's queue.
 */
#include <talloc.h>

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
  return r->attempt != NULL && r->service_entry->has_engine
         && !direct_attempt_has_started (r->attempt)
         && direct_attempt_version (r->attempt) < required;
}

static void
withdraw (Request *r, uint64_t required, uint64_t now_ms)
{
  char *id = talloc_strdup (r, direct_attempt_upstream (r->attempt)->id);

  dl_metric_add (&metric_withdrawn, 1);
  dl_log (DL_EVENT_REQUEST_WITHDRAWN, DL_TEXT ("request", r->incoming.id),
          DL_TEXT ("upstream", id),
          DL_UINT ("version", direct_attempt_version (r->attempt)),
          DL_UINT ("version_required", required),
          DL_UINT ("after_ms", now_ms - r->last_sent_ms),
          DL_UINT ("sent", r->attempt_count));
  direct_attempt_cancel (r->attempt, DIRECT_ATTEMPT_NEUTRAL);
  direct_dispatch_attempt_failed (r, DIRECT_FAILURE_OUTDATED, id);
}

void
direct_outdated_withdraw (Requests *requests, uint64_t now_ms)
{
  uint64_t required = direct_upstreams_unstarted_version (requests->upstreams, now_ms);
  Request *next;

  for (Request *r = requests->first; r != NULL; r = next)
    {
      next = r->next;
      /* The end of the previous request may have ended this one too. */
      if (r->link != NULL && is_outdated (r, required))
        withdraw (r, required, now_ms);
    }
}
