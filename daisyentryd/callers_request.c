/*
 * One idempotent request: sends it to upstreams until the caller has the complete
 * response or an error.
 *
 * Before the response has begun, a failed attempt is retried within the retry budget.
 * When a model's stream breaks, it is resumed at another upstream that serves the same
 * version.  When the response of a plain service breaks, it is cut off.
 */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "callers.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/resume.h"

#define ATTEMPTS_MAX         3 /* of a request whose response has not begun */
#define CREDIT_MIN_BYTES     (DL_STREAM_WINDOW_BYTES / 4)
#define HTTP_OK              200
#define HTTP_UNAVAILABLE     503
#define HTTP_GATEWAY_TIMEOUT 504

DL_METRIC (metric_completed,
           DL_METRIC_COUNTER,
           "daisy_entry_requests_answered_total",
           "Requests whose response was sent in full.")
DL_METRIC (metric_refused,
           DL_METRIC_COUNTER,
           "daisy_entry_requests_not_run_total",
           "Requests refused as not run, after admission.")
DL_METRIC (metric_cut_off,
           DL_METRIC_COUNTER,
           "daisy_entry_requests_cut_off_total",
           "Requests whose response was cut off.")
DL_METRIC (metric_unknown,
           DL_METRIC_COUNTER,
           "daisy_entry_requests_unknown_total",
           "Requests that may or may not have run.")
DL_METRIC (metric_retries,
           DL_METRIC_COUNTER,
           "daisy_entry_retries_total",
           "Retries of requests whose response had not begun.")
DL_METRIC (metric_resumes,
           DL_METRIC_COUNTER,
           "daisy_entry_resumes_total",
           "Resumptions of broken streams.")

/* One request; freed when its response has ended or the caller disconnects. */
struct CallerRequest
{
  CallersTask *callers;
  DlHttpRequest *http;
  ParsedRequest *parsed;
  CallerAttempt attempt;
  bool attempt_active;
  unsigned attempt_count;
  char *avoid;            /* upstream of the last failed attempt */
  DlDigest version;       /* that the response comes from; set by the first head */
  bool may_have_run;      /* in an attempt that has ended */
  bool head_sent;         /* the response to the caller has begun */
  bool streaming;         /* the current attempt streams the JSON lines of a model */
  DlResume *resume;       /* NULL: the response is passed on as it is */
  DlBuffer *out;          /* lines to write to the caller; scratch */
  size_t received;        /* bytes of the current attempt */
  size_t credited;        /* of those, bytes that credit was granted for */
  DlTimer *backoff_timer; /* NULL unless it waits for its next attempt */
  GList link;             /* in the task's requests */
};

static void start_attempt (CallerRequest *r);

/* -------- response to the caller -------- */

static int
request_destroy (CallerRequest *r)
{
  g_queue_unlink (&r->callers->requests, &r->link);
  if (r->http != NULL)
    {
      dl_http_request_on_closed (r->http, NULL, NULL);
      dl_http_stream_on_consumed (r->http, NULL, NULL);
    }
  if (r->attempt_active)
    callers_cancel_attempt (r->callers, &r->attempt);
  return 0;
}

static void
on_caller_closed (DlHttpRequest *http, bool completed, void *data)
{
  CallerRequest *r = data;

  r->http = NULL;
  talloc_free (r);
}

/* Grants the upstream credit for the bytes that have been sent to the caller. */
static void
grant_credit (CallerRequest *r)
{
  size_t unsent = dl_http_stream_queued (r->http);
  size_t due;

  if (!r->attempt_active || r->received < r->credited + unsent)
    return;
  due = r->received - r->credited - unsent;
  if (due < CREDIT_MIN_BYTES)
    return;
  r->credited += due;
  callers_grant_credit (r->callers, &r->attempt, due);
}

static void
on_consumed (DlHttpRequest *http, size_t consumed, void *data)
{
  grant_credit (data);
}

static void
complete_response (CallerRequest *r)
{
  dl_metric_add (&metric_completed, 1);
  dl_http_stream_end (r->http, true);
  talloc_free (r);
}

/* Ends a response early, for REASON. */
static void
cut_off (CallerRequest *r, const char *reason)
{
  dl_metric_add (&metric_cut_off, 1);
  dl_log (DL_EVENT_REQUEST_CUT_OFF, DL_TEXT ("service", r->parsed->service->name),
          DL_TEXT ("reason", reason));
  if (r->resume != NULL)
    {
      json_object *line = json_object_new_object ();

      json_object_object_add (line, "cut_off", json_object_new_boolean (true));
      json_object_object_add (line, "error", json_object_new_string (reason));
      dl_buffer_printf (r->out, "%s\n",
                        json_object_to_json_string_ext (line, JSON_C_TO_STRING_PLAIN));
      json_object_put (line);
      dl_http_stream_write (r->http, dl_buffer_view (r->out));
    }
  /* The last line tells the caller of a model; another one sees the connection close
   * before the end of the response. */
  dl_http_stream_end (r->http, r->resume != NULL);
  talloc_free (r);
}

static void
refuse (CallerRequest *r, const EntryMessage *end)
{
  bool not_run = !r->may_have_run;

  dl_metric_add (not_run ? &metric_refused : &metric_unknown, 1);
  callers_refuse (r->callers, r->http, not_run ? HTTP_UNAVAILABLE : HTTP_GATEWAY_TIMEOUT,
                  not_run ? CALLERS_NOT_RUN : CALLERS_UNKNOWN,
                  end->response.retry_after_ms, end->response.detail);
  talloc_free (r);
}

/* -------- responses of upstreams -------- */

static void
begin_response (CallerRequest *r, const EntryMessage *m)
{
  char hex[DL_DIGEST_HEX_BYTES];
  DlHttpHeader headers[2] = { { 0 } };

  r->head_sent = true;
  if (r->parsed->model && m->response.status == HTTP_OK)
    {
      r->version = m->response.version;
      r->resume = dl_resume_new (r, r->parsed->resume_from);
      dl_digest_to_hex (&r->version, hex);
      headers[0] = (DlHttpHeader){ .name = "X-Version", .value = hex };
    }
  dl_http_stream_begin (r->http, m->response.status, m->response.content_type, headers);
  dl_http_stream_on_consumed (r->http, on_consumed, r);
}

/* Cancels the current attempt, because its response cannot continue the stream. */
static void
abandon_attempt (CallerRequest *r)
{
  callers_cancel_attempt (r->callers, &r->attempt);
  r->attempt_active = false;
}

static void
on_backoff_over (DlTimer *timer, void *data)
{
  CallerRequest *r = data;

  TALLOC_FREE (r->backoff_timer);
  start_attempt (r);
}

/* Handles a response that broke after it had begun.  IS_NOT_RUN: the last attempt to
 * take it on ran nowhere. */
static void
resume_or_cut_off (CallerRequest *r, bool is_not_run, const char *reason)
{
  uint64_t delay_ms;

  if (r->resume == NULL || r->callers->abandoned
      || !dl_resume_attempt_ended (r->resume, is_not_run, dl_clock_ms (), &delay_ms))
    {
      cut_off (r, reason);
      return;
    }
  dl_metric_add (&metric_resumes, 1);
  dl_resume_restart (r->resume);
  r->backoff_timer
      = dl_timer_subscribe (r->callers->task, r, delay_ms, 0, on_backoff_over, r);
}

static void
handle_head (CallerRequest *r, const EntryMessage *m)
{
  r->streaming = r->parsed->model && m->response.status == HTTP_OK;
  if (!r->head_sent)
    begin_response (r, m);
  else if (!r->streaming || !dl_digest_equal (&m->response.version, &r->version))
    {
      abandon_attempt (r);
      resume_or_cut_off (r, false, "the upstream did not take the stream on");
    }
}

static void
handle_data (CallerRequest *r, DlStr data)
{
  r->received += data.length;
  if (r->resume == NULL)
    dl_http_stream_write (r->http, data);
  else
    {
      DlResumeState state = dl_resume_feed (r->resume, data, r->out);

      if (r->out->length > 0)
        dl_http_stream_write (r->http, dl_buffer_view (r->out));
      dl_buffer_clear (r->out);
      if (state == DL_RESUME_BROKEN)
        {
          abandon_attempt (r);
          resume_or_cut_off (r, false, "the upstream's stream was malformed");
          return;
        }
    }
  grant_credit (r);
}

/* Returns true when the request may be retried, and takes the retry from the budget. */
static bool
reserve_retry (CallerRequest *r, const EntryMessage *end)
{
  /* If no upstream could take the request, an immediate retry would fail as well. */
  return r->attempt_count < ATTEMPTS_MAX && end->response.upstream != NULL
         && !dl_kernel_stopping (dl_task_kernel (r->callers->task))
         && dl_retry_spend (callers_retry_budget (r->callers, r->parsed->service->name),
                            callers_retry_percent (r->callers));
}

/* A model's stream ends with a line that says that it is complete. */
static bool
is_complete (const CallerRequest *r, bool complete)
{
  return r->resume != NULL ? r->resume->state == DL_RESUME_DONE : complete;
}

static void
handle_end (CallerRequest *r, const EntryMessage *m)
{
  bool complete = m->response.reason == DAISYLOFT__WIRE__END_REASON__END_COMPLETE;
  bool not_run = m->response.reason == DAISYLOFT__WIRE__END_REASON__END_NOT_RUN;

  r->attempt_active = false;
  if (!not_run)
    r->may_have_run = true;
  if (m->response.upstream != NULL)
    {
      talloc_free (r->avoid);
      r->avoid = talloc_strdup (r, m->response.upstream);
    }
  if (r->head_sent && is_complete (r, complete))
    complete_response (r);
  else if (r->head_sent)
    resume_or_cut_off (r, not_run,
                       complete ? "the upstream's stream ended early"
                                : m->response.detail);
  else if (reserve_retry (r, m))
    {
      dl_metric_add (&metric_retries, 1);
      start_attempt (r);
    }
  else
    refuse (r, m);
}

static void
on_response (const EntryMessage *m, void *data)
{
  CallerRequest *r = data;

  switch (m->response.kind)
    {
    case ENTRY_RESPONSE_HEAD:
      handle_head (r, m);
      break;
    case ENTRY_RESPONSE_DATA:
      handle_data (r, m->response.data);
      break;
    case ENTRY_RESPONSE_END:
      handle_end (r, m);
      break;
    }
}

static void
start_attempt (CallerRequest *r)
{
  r->attempt_count++;
  r->attempt_active = true;
  r->received = 0;
  r->credited = 0;
  r->attempt = (CallerAttempt){ .on_response = on_response, .data = r };
  callers_start_attempt (r->callers, &r->attempt, r->parsed,
                         &(EntryRequest){
                             .avoid = r->avoid,
                             .version = r->version,
                             .resume_from = r->resume != NULL ? r->resume->next_token
                                                              : r->parsed->resume_from,
                         });
}

void
caller_request_start (CallersTask *callers,
                      DlHttpRequest *http,
                      const ParsedRequest *parsed)
{
  CallerRequest *r = talloc_zero (callers, CallerRequest);

  g_assert (r != NULL);
  r->callers = callers;
  r->http = http;
  r->parsed = callers_copy_request (r, parsed);
  r->out = dl_buffer_new (r, 0);
  r->link.data = r;
  g_queue_push_tail_link (&callers->requests, &r->link);
  talloc_set_destructor (r, request_destroy);
  dl_http_request_on_closed (http, on_caller_closed, r);
  dl_retry_first_attempt (callers_retry_budget (callers, parsed->service->name),
                          callers_retry_percent (callers));
  start_attempt (r);
}

void
caller_requests_abandon (CallersTask *callers)
{
  GList *next;

  for (GList *l = callers->requests.head; l != NULL; l = next)
    {
      CallerRequest *r = l->data;

      next = l->next;
      if (r->backoff_timer != NULL)
        cut_off (r, "this entry ended before it");
    }
}
