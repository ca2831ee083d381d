#include "node/hedged_watch.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/hedge.h"

DL_METRIC (
    metric_second,
    DL_METRIC_COUNTER,
    "daisy_object_second_watches_total",
    "Watches that were sent once more, on a new connection, for want of a response.")

/* One of the two requests; its call is a talloc child of it. */
typedef struct
{
  DlHedgedWatch *watch;
  DlHttpCall *call;
  uint64_t sent_ms;
} Attempt;

struct DlHedgedWatch
{
  DlTask *task;
  DlHedgedWatchFunc func;
  void *data;
  DlWatchRequest request; /* the one in progress */
  bool is_ignored;        /* its response is not wanted */
  uint64_t due_ms;        /* end of its wait */
  Attempt *first;         /* NULL for none */
  Attempt *second;        /* the same once more, on a new connection; NULL for none */
  DlTimer *second_timer;  /* when it is sent */
  DlHedge hedge;
};

static Attempt *
attempt_new (DlHedgedWatch *watch)
{
  Attempt *attempt = talloc_zero (watch, Attempt);

  g_assert (attempt != NULL);
  attempt->watch = watch;
  attempt->sent_ms = dl_clock_ms ();
  return attempt;
}

/* Ends the first and the second request, whichever are in progress. */
static void
cancel (DlHedgedWatch *watch)
{
  TALLOC_FREE (watch->second_timer);
  TALLOC_FREE (watch->first);
  TALLOC_FREE (watch->second);
}

/* The second request was responded to while the first was not: its connection is silent,
 * and so may be others that were open then. */
static void
note_silent_connection (DlHedgedWatch *watch)
{
  const DlWatchRequest *request = &watch->request;
  const Attempt *first = watch->first;

  dl_hedge_second_responded (&watch->hedge);
  dl_object_client_distrust (request->server, first->sent_ms);
  dl_log (DL_EVENT_CONNECTION_SILENT,
          DL_TEXT ("server", dl_object_client_address (request->server)),
          DL_TEXT ("kind", request->kind), DL_UINT ("wait_ms", request->wait_ms),
          DL_UINT ("after_ms", dl_clock_ms () - first->sent_ms));
}

static void
note_first_response (DlHedgedWatch *watch)
{
  uint64_t due_ms = watch->first->sent_ms + watch->request.wait_ms;
  uint64_t now_ms = dl_clock_ms ();

  dl_hedge_first_responded (&watch->hedge, now_ms > due_ms ? now_ms - due_ms : 0);
}

/* One of the two requests has ended. */
static void
on_response (const DlObjectResult *result, void *data)
{
  const Attempt *attempt = data;
  DlHedgedWatch *watch = attempt->watch;
  uint64_t sent_ms = attempt->sent_ms;
  bool is_first = attempt == watch->first;
  bool other_goes_on = is_first ? watch->second != NULL : watch->first != NULL;
  bool is_usable = result->error == 0 || result->error == DL_ERR_GONE;

  if (watch->is_ignored)
    return;
  if (!is_usable && other_goes_on)
    {
      TALLOC_FREE (*(is_first ? &watch->first : &watch->second));
      return;
    }
  if (is_usable && is_first)
    note_first_response (watch);
  else if (is_usable && other_goes_on)
    note_silent_connection (watch);
  cancel (watch);
  watch->func (result, sent_ms, watch->data);
}

/* When the last part of the response arrived; 0 for none. */
static uint64_t
arrived_ms (const Attempt *attempt)
{
  return attempt != NULL ? dl_http_call_progress (attempt->call).arrived_ms : 0;
}

/* True when the response is arriving.  If it stops, the call ends by its own limit. */
static bool
has_begun (const Attempt *attempt)
{
  return arrived_ms (attempt) != 0;
}

static void
log_second (const DlHedgedWatch *watch)
{
  const DlWatchRequest *request = &watch->request;
  const Attempt *first = watch->first;

  dl_log (DL_EVENT_WATCH_REPEATED,
          DL_TEXT ("server", dl_object_client_address (request->server)),
          DL_TEXT ("kind", request->kind), DL_UINT ("wait_ms", request->wait_ms),
          DL_UINT ("after_ms", dl_clock_ms () - first->sent_ms),
          DL_UINT ("bytes", dl_http_call_progress (first->call).bytes));
}

static DlHttpCall *
send_anew (const DlHedgedWatch *watch, Attempt *attempt)
{
  const DlWatchRequest *request = &watch->request;

  return dl_object_watch_anew (request->server, attempt, request->kind, request->revision,
                               on_response, attempt);
}

static void
on_second_due (DlTimer *timer, void *data)
{
  DlHedgedWatch *watch = data;

  TALLOC_FREE (watch->second_timer);
  if (watch->first == NULL || watch->is_ignored || has_begun (watch->first))
    return;
  dl_metric_add (&metric_second, 1);
  log_second (watch);
  watch->second = attempt_new (watch);
  watch->second->call = send_anew (watch, watch->second);
}

DlHedgedWatch *
dl_hedged_watch_new (DlTask *task, const void *owner, DlHedgedWatchFunc func, void *data)
{
  DlHedgedWatch *watch = talloc_zero (owner, DlHedgedWatch);

  g_assert (watch != NULL && func != NULL);
  watch->task = task;
  watch->func = func;
  watch->data = data;
  return watch;
}

void
dl_hedged_watch_send (DlHedgedWatch *watch, const DlWatchRequest *request)
{
  cancel (watch);
  watch->request = *request;
  watch->is_ignored = false;
  watch->due_ms = dl_clock_ms () + request->wait_ms;
  watch->first = attempt_new (watch);
  if (request->is_hedged)
    watch->second_timer
        = dl_timer_subscribe (watch->task, watch,
                              request->wait_ms + dl_hedge_delay_ms (&watch->hedge), 0,
                              on_second_due, watch);
  if (request->is_anew)
    watch->first->call = send_anew (watch, watch->first);
  else
    watch->first->call = dl_object_watch (request->server, watch->first, request->kind,
                                          request->revision, request->wait_ms,
                                          on_response, watch->first);
}

void
dl_hedged_watch_ignore (DlHedgedWatch *watch)
{
  watch->is_ignored = true;
}

DlReadProgress
dl_hedged_watch_progress (const DlHedgedWatch *watch)
{
  if (watch->is_ignored || (watch->first == NULL && watch->second == NULL))
    return (DlReadProgress){ 0 };
  return (DlReadProgress){
    .due_ms = watch->due_ms,
    .arrived_ms = MAX (arrived_ms (watch->first), arrived_ms (watch->second)),
  };
}
