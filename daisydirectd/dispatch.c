/*
 * Assigning requests to upstreams: at once, or after a wait in the service's queue.
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
/* Parts of the configured retry ratio and retry slack that are used.  Entries do not see
 * each other's retries; the margin keeps them together within the configured limits. */
#define RETRY_RATIO_SHARE 0.85
#define RETRY_SLACK_SHARE 0.75
/* Retry-After of requests refused because no upstream serves the service. */
#define NO_UPSTREAM_RETRY_MS 900
#define STATUS_BAD_GATEWAY   502

DL_METRIC (metric_waited,
           DL_METRIC_HISTOGRAM,
           "daisy_direct_queue_ms",
           "Time that requests waited at the entry for a free request slot.")
DL_METRIC (metric_begun_queued,
           DL_METRIC_COUNTER,
           "daisy_direct_begun_queued_total",
           "Requests that may have run and waited for another upstream.")

/* This entry's share of the retry slack of all entries, the cap of its retry budgets, in
 * units of 1 / DL_RETRY_SCALE of a retry. */
static uint64_t
budget_cap (const Requests *requests)
{
  double slack = requests->settings->retry_slack * RETRY_SLACK_SHARE;

  return (uint64_t)(slack * DL_RETRY_SCALE
                    / direct_upstreams_entry_count (requests->upstreams));
}

Service *
direct_service_get (Requests *requests, const char *name)
{
  Service *s = g_hash_table_lookup (requests->services, name);

  if (s != NULL)
    return s;
  s = talloc_zero (requests, Service);
  g_assert (s != NULL);
  s->owner = requests;
  s->name = talloc_strdup (s, name);
  s->queue = dl_wait_queue_new (s);
  dl_retry_init_share (&s->budget, 0);
  s->budget.cap = budget_cap (requests);
  g_hash_table_insert (requests->services, s->name, s);
  return s;
}

void
direct_dispatch_set_entries (Requests *requests,
                             unsigned same_region,
                             unsigned other_region)
{
  GHashTableIter iter;
  gpointer value;

  direct_upstreams_set_entries (requests->upstreams, same_region, other_region);
  g_hash_table_iter_init (&iter, requests->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DlRetryBudget *budget = &((Service *)value)->budget;

      budget->cap = budget_cap (requests);
      budget->balance = MIN (budget->balance, budget->cap);
    }
}

uint64_t
direct_dispatch_retry_percent (const Requests *requests)
{
  return (uint64_t)(requests->settings->retry_ratio * RETRY_RATIO_SHARE * PERCENT);
}

/* The regions that bind the request. */
static DlHomes
homes (const Request *r)
{
  return (DlHomes){
    .route = &r->route->regions,
    .organisation = r->organisation != NULL ? &r->organisation->regions : NULL,
  };
}

/* True while the request waits for another upstream than the one that failed it. */
static bool
is_selective (const Request *r, uint64_t now_ms)
{
  return r->failed_ms != 0 && now_ms < r->failed_ms + DL_BALANCE_AVOID_MS;
}

static bool
is_confined (const Request *r)
{
  DlHomes h = homes (r);

  return dl_homes_are_confined (&h);
}

/* True when the request would not take the next free place at any upstream. */
static bool
is_choosy (const Request *r, uint64_t now_ms)
{
  return is_selective (r, now_ms) || is_confined (r);
}

/* What an upstream for the request must be like, beside HOLDERS, which have it; NULL for
 * none. */
static DirectUpstreamQuery
upstream_query (const Request *r, const char *const *holders)
{
  uint64_t now_ms = dl_clock_ms ();

  return (DirectUpstreamQuery){
    .service = r->service_entry,
    .homes = homes (r),
    .avoid_upstream = r->avoid_upstream,
    .holders = holders,
    .wait_for_others = is_selective (r, now_ms),
    .now_ms = now_ms,
  };
}

static DirectUpstream *
choose (const Request *r, int *error)
{
  DirectUpstreamQuery query = upstream_query (r, NULL);

  return direct_upstreams_choose (r->owner->upstreams, &query, error);
}

DirectUpstream *
direct_dispatch_choose_further (const Request *r)
{
  g_autoptr (GPtrArray) holders = g_ptr_array_new ();
  DirectUpstreamQuery query;
  int error;

  for (const Attempt *a = r->attempts; a != NULL; a = direct_attempt_next (a))
    g_ptr_array_add (holders, direct_attempt_upstream (a)->id);
  /* One that has just refused or failed it is not asked again at once. */
  if (is_selective (r, dl_clock_ms ()))
    g_ptr_array_add (holders, r->avoid_upstream);
  g_ptr_array_add (holders, NULL);
  query = upstream_query (r, (const char *const *)holders->pdata);
  return direct_upstreams_choose (r->owner->upstreams, &query, &error);
}

/* Time until an upstream of the request's service takes requests again, when all of them
 * hold off; 0 when that is not the case. */
static uint64_t
hold_ms (const Request *r)
{
  DirectUpstreamQuery query = upstream_query (r, NULL);

  return direct_upstreams_hold_ms (r->owner->upstreams, &query);
}

/* Rank of the request at its service; 0 where requests are not ranked. */
static unsigned
rank (const Request *r)
{
  if (!dl_service_is_ranked (r->service_entry))
    return 0;
  return dl_routing_rank (r->routing->routing, r->service_entry, r->route,
                          r->organisation);
}

void
direct_dispatch_send (Request *r, DirectUpstream *upstream)
{
  uint64_t now_ms = dl_clock_ms ();

  if (r->attempt_count == 0)
    dl_wait_queue_sent (r->service->queue, rank (r), now_ms);
  if (r->attempt_count == 0)
    dl_retry_first_attempt (&r->service->budget,
                            direct_dispatch_retry_percent (r->owner));
  r->retry_reserved = false;
  dl_wait_queue_dispatched (r->service->queue, now_ms);
  dl_metric_observe_us (&metric_waited, (now_ms - r->arrived_ms) * 1000);
  direct_attempt_start (r, upstream);
}

/* Sends the final response of a request that gets no further attempt. */
static void
refuse_or_fail (Request *r, const char *reason, uint64_t retry_ms)
{
  if (r->may_have_run)
    direct_request_fail (r, STATUS_BAD_GATEWAY, reason);
  else
    direct_request_refuse (r, retry_ms, reason);
}

/* An organisation's priority takes precedence over the route's. */
static unsigned
priority (const Request *r)
{
  if (r->organisation != NULL && r->organisation->has_priority)
    return r->organisation->priority;
  return r->route->priority;
}

/* What the place of the request in its service's queue depends on. */
static DlWaitClass
wait_class (const Request *r)
{
  bool is_ranked = dl_service_is_ranked (r->service_entry);
  unsigned place = is_ranked ? rank (r) : priority (r);

  return (DlWaitClass){
    .is_ranked = is_ranked,
    /* The caller of a retry has waited already. */
    .priority = r->attempt_count > 0 ? 0 : place,
    .rank = rank (r),
    .target_ms = r->route->target_ms,
  };
}

static uint64_t
retry_ms (const Request *r)
{
  uint64_t held_ms = hold_ms (r);

  if (held_ms > 0)
    return dl_availability_retry_ms (held_ms, dl_random_uint64 ());
  return dl_wait_queue_retry_ms (r->service->queue, dl_random_uint64 (), dl_clock_ms ());
}

/* True when no upstream of the service has weights that are new enough, which lasts for
 * seconds.  Uneven upstreams come back one by one, and slowly. */
static bool
lacks_due_weights (const Request *r)
{
  DirectUpstreamCount count
      = direct_upstreams_count (r->owner->upstreams, r->service_entry->name,
                                dl_clock_ms ());

  return r->service_entry->has_engine && count.listed > 0
         && count.outdated == count.listed
         && direct_upstreams_are_uneven (r->owner->upstreams, r->service_entry);
}

void
direct_dispatch_refuse_or_fail (Request *r, const char *reason)
{
  refuse_or_fail (r, reason, retry_ms (r));
}

/* Sends the final response of a request that no upstream of its service takes. */
static void
refuse_or_fail_without_upstream (Request *r)
{
  if (hold_ms (r) > 0)
    refuse_or_fail (r, "all upstreams of the service hold off or are at their limit",
                    retry_ms (r));
  else if (is_confined (r))
    refuse_or_fail (r,
                    "no upstream takes requests in a region that its route and its "
                    "organisation allow",
                    NO_UPSTREAM_RETRY_MS);
  else if (lacks_due_weights (r))
    refuse_or_fail (
        r, "no upstream of the service has the weights that are due",
        dl_availability_return_ms (direct_request_remaining_ms (r, dl_clock_ms ()),
                                   dl_random_uint64 ()));
  else
    refuse_or_fail (r, "no upstream of the service takes requests", NO_UPSTREAM_RETRY_MS);
}

static void
enqueue (Request *r)
{
  DlWaitClass class = wait_class (r);

  if (dl_wait_queue_push (r->service->queue, r, &class, dl_clock_ms ()) == DL_WAIT_QUEUED)
    r->waiting = true;
  else
    refuse_or_fail (r, "all places are taken and the queue is long", retry_ms (r));
}

/* Queues a request that may have run for as long as its caller waits. */
static void
enqueue_begun (Request *r)
{
  uint64_t now_ms = dl_clock_ms ();
  uint64_t until_ms = dl_patience_until_ms (&(DlPatience){
      .is_stream = r->route->kind == DL_ROUTE_STREAM,
      .target_ms = r->route->target_ms,
      .target_gap_ms = r->route->target_gap_ms,
      .received_ms = r->last_event_ms != 0 ? r->last_event_ms : r->arrived_ms,
      .deadline_ms = r->deadline_ms,
  });

  if (until_ms <= now_ms)
    {
      refuse_or_fail (r, "no place is free and its caller waits no longer", 0);
      return;
    }
  dl_wait_queue_push_begun (r->service->queue, r, until_ms, now_ms);
  r->waiting = true;
  dl_metric_add (&metric_begun_queued, 1);
  dl_log (DL_EVENT_REQUEST_WAITS, DL_TEXT ("request", r->incoming.id),
          DL_TEXT ("upstream", r->avoid_upstream), DL_UINT ("sent", r->attempt_count),
          DL_UINT ("last_event", r->last_event_id),
          DL_UINT ("waiting", dl_wait_queue_length (r->service->queue)),
          DL_UINT ("for_ms", until_ms - now_ms));
}

/* Queues or ends a request for which no upstream was found because of ERROR. */
static void
wait_or_end (Request *r, int error)
{
  if (r->may_have_run)
    enqueue_begun (r);
  else if (error == -EBUSY)
    enqueue (r);
  else
    refuse_or_fail_without_upstream (r);
}

/* True while a queued request would take any place that R could. */
static bool
is_place_claimed (const Request *r)
{
  uint64_t now_ms = dl_clock_ms ();
  const Request *queued = NULL;

  while ((queued = dl_wait_queue_after (r->service->queue, queued)) != NULL)
    if (!is_choosy (queued, now_ms)
        || (!is_selective (queued, now_ms) && queued->route == r->route
            && queued->organisation == r->organisation))
      return true;
  return false;
}

/* The upstream for a request while a queued one claims the next place: none.  *ERROR is
 * -EBUSY, or tells that a confined request has no upstream to wait for. */
static DirectUpstream *
choose_behind_queue (const Request *r, int *error)
{
  if (!is_confined (r) || choose (r, error) != NULL)
    *error = -EBUSY;
  return NULL;
}

void
direct_dispatch_request (Request *r)
{
  int error;
  DirectUpstream *upstream;

  if (r->attempt_count == 0)
    dl_wait_queue_arrived (r->service->queue, rank (r), dl_clock_ms ());
  /* Queued requests go first, except before retries. */
  if (r->attempt_count > 0 || !is_place_claimed (r))
    upstream = choose (r, &error);
  else
    upstream = choose_behind_queue (r, &error);
  if (upstream != NULL)
    direct_dispatch_send (r, upstream);
  else
    wait_or_end (r, error);
}

void
direct_dispatch_dequeue (Request *r)
{
  if (!r->waiting)
    return;
  dl_wait_queue_remove (r->service->queue, r);
  r->waiting = false;
}

void
direct_dispatch_run_queue (Service *service)
{
  Request *r;
  Request *passed = NULL; /* the last one that waits on while others are served */

  direct_silence_check (service); /* first: their callers have waited longest */
  while ((r = dl_wait_queue_after (service->queue, passed)) != NULL)
    {
      int error;
      DirectUpstream *upstream = choose (r, &error);

      if (upstream == NULL && error == -EBUSY && !is_choosy (r, dl_clock_ms ()))
        return;
      /* Those behind it may use what it avoids; and an upstream may come back while its
       * caller waits. */
      if (upstream == NULL && (error == -EBUSY || r->may_have_run))
        {
          passed = r;
          continue;
        }
      direct_dispatch_dequeue (r);
      if (upstream != NULL)
        direct_dispatch_send (r, upstream);
      else
        refuse_or_fail_without_upstream (r);
    }
}

void
direct_dispatch_run_queues (Requests *requests)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, requests->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    direct_dispatch_run_queue (value);
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
          if (direct_ending_ends_request (r, DL_END_WAITED))
            direct_dispatch_refuse_or_fail (r, dl_end_cause_text (DL_END_WAITED));
        }
    }
}
