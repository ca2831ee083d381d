/*
 * Withdraws requests that wait at upstreams whose weights become too old.
 *
 * A slow or full upstream may start a request long after it was sent.  Closing the
 * connection removes it from the upstream's queue.
 */
#include <glib.h>
#include <talloc.h>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "requests.h"

DL_METRIC (metric_withdrawn,
           DL_METRIC_COUNTER,
           "daisy_direct_withdrawn_total",
           "Requests withdrawn from upstreams before their weights became too old.")

static bool
is_outdated (const Attempt *attempt, uint64_t required)
{
  return direct_attempt_request (attempt)->service_entry->has_engine
         && direct_attempt_version (attempt) < required
         && direct_ending_decide (attempt, DL_END_OUTDATED) != DL_END_KEEP;
}

/* Closes the attempt. */
static void
withdraw (Attempt *attempt, uint64_t required, uint64_t now_ms)
{
  const Request *r = direct_attempt_request (attempt);

  dl_metric_add (&metric_withdrawn, 1);
  dl_log (DL_EVENT_REQUEST_WITHDRAWN, DL_TEXT ("request", r->incoming.id),
          DL_TEXT ("upstream", direct_attempt_upstream (attempt)->id),
          DL_UINT ("version", direct_attempt_version (attempt)),
          DL_UINT ("version_required", required),
          DL_UINT ("after_ms", now_ms - direct_attempt_sent_ms (attempt)),
          DL_UINT ("sent", r->attempt_count));
  direct_attempt_cancel (attempt, DIRECT_ATTEMPT_NEUTRAL,
                         dl_end_cause_text (DL_END_OUTDATED));
}

/* A request without an attempt, as the one at UPSTREAM was withdrawn. */
typedef struct
{
  Request *request;
  char *upstream; /* id; a talloc child of REQUEST */
} Withdrawn;

/* Withdraws the outdated attempts of R.  Adds it to WITHDRAWN if it has none left. */
static void
withdraw_from_outdated (Request *r, uint64_t required, uint64_t now_ms, GArray *withdrawn)
{
  Attempt *next;

  for (Attempt *attempt = r->attempts; attempt != NULL; attempt = next)
    {
      Withdrawn w = { .request = r };

      next = direct_attempt_next (attempt);
      if (!is_outdated (attempt, required))
        continue;
      w.upstream = talloc_strdup (r, direct_attempt_upstream (attempt)->id);
      withdraw (attempt, required, now_ms);
      if (r->attempts != NULL)
        direct_ending_handle (r, DL_END_OUTDATED, w.upstream);
      else
        g_array_append_val (withdrawn, w);
    }
}

void
direct_outdated_withdraw (Requests *requests, uint64_t now_ms)
{
  uint64_t required = direct_upstreams_waiting_version (requests->upstreams, now_ms);
  g_autoptr (GArray) withdrawn = g_array_new (FALSE, FALSE, sizeof (Withdrawn));

  for (Request *r = requests->first; r != NULL; r = r->next)
    withdraw_from_outdated (r, required, now_ms, withdrawn);
  /* The last ones have waited longest: they go first, as retries may run out. */
  for (guint i = withdrawn->len; i > 0; i--)
    {
      const Withdrawn *w = &g_array_index (withdrawn, Withdrawn, i - 1);

      direct_ending_handle (w->request, DL_END_OUTDATED, w->upstream);
    }
}
