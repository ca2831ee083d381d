/*
 * Finding requests a place: at once, after a wait, at another upstream, or none.
 */
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "requests.h"

#define PERCENT 100
/* Part of the shared allowance of repeats that entries use, so that what they cannot
 * know of each other stays within it. */
#define RATIO_SHARE 0.85
#define SLACK_SHARE 0.75
/* Upstreams that a request may fail to reach before it is refused. */
#define UNREACHED_MAX 3
/* A try needs at least this long to be worth sending. */
#define TRY_LEAST_MS 100
/* Nobody serves: callers come back after this. */
#define NOBODY_RETRY_MS    900
#define STATUS_BAD_GATEWAY 502

DL_METRIC (metric_waited,
           DL_METRIC_HISTOGRAM,
           "daisy_direct_queue_ms",
           "Time that requests waited at the entry for a free place.")
DL_METRIC (metric_repeats,
           DL_METRIC_COUNTER,
           "daisy_direct_repeats_total",
           "Requests sent to one more upstream.")
DL_METRIC (metric_budget_empty,
           DL_METRIC_COUNTER,
           "daisy_direct_repeats_denied_total",
           "Repeats that the retry budget did not allow.")

/* Each entry may save up its own part of the shared allowance of repeats; in units of
 * 1 / DL_RETRY_SCALE of a repeat. */
static uint64_t
budget_cap (const Requests *requests)
{
  double slack = requests->settings->retry_slack * SLACK_SHARE;

  return (uint64_t)(slack * DL_RETRY_SCALE
                    / direct_upstreams_entries (requests->upstreams));
}

Service *
direct_service_get (Requests *requests, const char *name)
{
  Service *s = g_hash_table_lookup (requests->services, name);

  if (s != NULL)
    return s;
  s = talloc_zero (requests, Service);
  g_assert (s != NULL);
  s->name = talloc_strdup (s, name);
  s->queue = dl_wait_queue_new (s);
  dl_retry_init_share (&s->budget, 0);
  s->budget.cap = budget_cap (requests);
  g_hash_table_insert (requests->services, s->name, s);
  return s;
}

void
direct_dispatch_set_entries (Requests *requests, unsigned near, unsigned far)
{
  GHashTableIter iter;
  gpointer value;

  direct_upstreams_set_entries (requests->upstreams, near, far);
  g_hash_table_iter_init (&iter, requests->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DlRetryBudget *budget = &((Service *)value)->budget;

      budget->cap = budget_cap (requests);
      budget->balance = MIN (budget->balance, budget->cap);
    }
}

static uint64_t
retry_percent (const Requests *requests)
{
  return (uint64_t)(requests->settings->retry_ratio * RATIO_SHARE * PERCENT);
}

static DirectUpstream *
choose (const Request *r, int *error)
{
  return direct_upstreams_choose (r->owner->upstreams,
                                  &(DirectUpstreamQuery){
                                      .service = r->service_entry,
                                      .avoid = r->avoid,
                                      .now_ms = dl_clock_ms (),
                                  },
                                  error);
}

static void
send_to (Request *r, DirectUpstream *upstream)
{
  uint64_t now_ms = dl_clock_ms ();

  if (r->sent == 0)
    dl_retry_first_attempt (&r->service->budget, retry_percent (r->owner));
  dl_wait_queue_dispatched (r->service->queue, now_ms);
  dl_metric_observe_us (&metric_waited, (now_ms - r->arrived_ms) * 1000);
  direct_attempt_start (r, upstream);
}

/* No place in time. */
static void
give_up (Request *r, const char *reason, uint64_t retry_ms)
{
  if (r->may_have_run)
    direct_request_fail (r, STATUS_BAD_GATEWAY, reason);
  else
    direct_request_refuse (r, retry_ms, reason);
}

static unsigned
priority (const Request *r)
{
  if (r->sent > 0)
    return 0; /* it holds a caller who has waited already */
  if (r->organisation != NULL && r->organisation->has_priority)
    return r->organisation->priority;
  return r->route->priority;
}

static uint64_t
retry_ms (const Request *r)
{
  return dl_wait_queue_retry_ms (r->service->queue, dl_random_uint64 (), dl_clock_ms ());
}

static void
enqueue (Request *r)
{
  uint64_t target_ms = r->replying && r->route->target_gap_ms > 0
                           ? r->route->target_gap_ms
                           : r->route->target_ms;

  if (dl_wait_queue_push (r->service->queue, r, priority (r), target_ms, dl_clock_ms ())
      == DL_WAIT_QUEUED)
    r->waiting = true;
  else
    give_up (r, "all places are taken and the queue is long", retry_ms (r));
}

void
direct_dispatch_place (Request *r)
{
  int error;
  DirectUpstream *upstream = NULL;

  /* Those that wait come first. */
  if (dl_wait_queue_length (r->service->queue) == 0 || r->sent > 0)
    upstream = choose (r, &error);
  else
    error = -EBUSY;
  if (upstream != NULL)
    send_to (r, upstream);
  else if (error == -EBUSY)
    enqueue (r);
  else
    give_up (r, "no upstream of the service takes requests", NOBODY_RETRY_MS);
}

void
direct_dispatch_forget (Request *r)
{
  if (!r->waiting)
    return;
  dl_wait_queue_remove (r->service->queue, r);
  r->waiting = false;
}

void
direct_dispatch_run (Service *service)
{
  Request *r;

  while ((r = dl_wait_queue_peek (service->queue)) != NULL)
    {
      int error;
      DirectUpstream *upstream = choose (r, &error);

      if (upstream == NULL && error == -EBUSY)
        return;
      direct_dispatch_forget (r);
      if (upstream != NULL)
        send_to (r, upstream);
      else
        give_up (r, "no upstream of the service takes requests", NOBODY_RETRY_MS);
    }
}

void
direct_dispatch_run_all (Requests *requests)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, requests->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    direct_dispatch_run (value);
}

void
direct_dispatch_expire (Requests *requests, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, requests->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Service *s = value;
      Request *r;

      while ((r = dl_wait_queue_expired (s->queue, now_ms)) != NULL)
        {
          r->waiting = false;
          give_up (r, "no place came free in time", retry_ms (r));
        }
    }
}

/* -------- after a try without an answer -------- */

bool
direct_dispatch_may_repeat (Request *r, DirectAttemptEnd end)
{
  bool has_time = direct_request_remaining_ms (r, dl_clock_ms ()) >= TRY_LEAST_MS;

  if (!has_time)
    return false;
  switch (end)
    {
    case DIRECT_END_UNREACHED:
      return r->unreached < UNREACHED_MAX;
    case DIRECT_END_NOT_RUN:
      break;
    case DIRECT_END_BROKEN:
    case DIRECT_END_SILENT:
      if (!dl_routing_may_retry (r->route))
        return false;
      break;
    }
  if (r->sent >= r->route->attempts_max)
    return false;
  if (dl_retry_spend (&r->service->budget, retry_percent (r->owner)))
    return true;
  dl_metric_add (&metric_budget_empty, 1);
  return false;
}

static const char *
end_text (DirectAttemptEnd end)
{
  switch (end)
    {
    case DIRECT_END_UNREACHED:
      return "the upstream could not be connected to";
    case DIRECT_END_NOT_RUN:
      return "the upstream did not run it";
    case DIRECT_END_BROKEN:
      return "the upstream broke off or failed";
    case DIRECT_END_SILENT:
      return "the upstream was silent";
    }
  return "";
}

static void
log_next_try (const Request *r, DirectAttemptEnd end, const char *upstream)
{
  dl_log_fields (r->replying ? DL_EVENT_REQUEST_RESUMED : DL_EVENT_REQUEST_RETRIED,
                 (const DlField[]){
                     DL_TEXT ("request", r->in.id),
                     DL_TEXT ("upstream", upstream),
                     DL_TEXT ("cause", end_text (end)),
                     DL_UINT ("sent", r->sent),
                     DL_UINT ("last_event", r->events != NULL ? r->events->last_id : 0),
                     DL_UINT ("upstream_requests", r->belief.requests),
                     DL_INT ("report_age_ms", r->belief.report_age_ms),
                     { .key = 0 } });
}

static void
note_end (Request *r, DirectAttemptEnd end, const char *upstream)
{
  if (end == DIRECT_END_UNREACHED)
    {
      r->sent--;
      r->unreached++;
    }
  if (end == DIRECT_END_BROKEN || end == DIRECT_END_SILENT)
    r->may_have_run = true;
  talloc_free (r->avoid);
  r->avoid = talloc_strdup (r, upstream);
}

void
direct_dispatch_repeat (Request *r, DirectAttemptEnd end, const char *upstream)
{
  note_end (r, end, upstream);
  log_next_try (r, end, upstream);
  dl_metric_add (&metric_repeats, 1);
  direct_dispatch_place (r);
}

void
direct_dispatch_after (Request *r, DirectAttemptEnd end, const char *upstream)
{
  Service *service = r->service;

  if (direct_dispatch_may_repeat (r, end))
    direct_dispatch_repeat (r, end, upstream);
  else
    {
      note_end (r, end, upstream);
      give_up (r, end_text (end), retry_ms (r));
    }
  direct_dispatch_run (service);
}
