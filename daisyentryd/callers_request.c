/*
 * One idempotent request: tries it at upstreams until the caller has the whole answer or
 * has been told truthfully that it will not get one.
 *
 * Before the answer has begun, a try that failed is repeated within the retry budget.  A
 * model's stream that broke goes on at another upstream of the same version; a plain
 * service's answer that broke is cut off.
 */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "callers.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/resume.h"

#define TRIES_MAX            3 /* of a request whose answer has not begun */
#define RESUMES_MAX          4 /* of one stream */
#define RESUME_PAUSE_MS      150
#define CREDIT_MIN_BYTES     (DL_STREAM_WINDOW_BYTES / 4)
#define HTTP_OK              200
#define HTTP_UNAVAILABLE     503
#define HTTP_GATEWAY_TIMEOUT 504

DL_METRIC (metric_answered,
           DL_METRIC_COUNTER,
           "daisy_entry_requests_answered_total",
           "Requests answered in full.")
DL_METRIC (metric_refused,
           DL_METRIC_COUNTER,
           "daisy_entry_requests_not_run_total",
           "Requests refused as not run after admission.")
DL_METRIC (metric_cut_off,
           DL_METRIC_COUNTER,
           "daisy_entry_requests_cut_off_total",
           "Requests whose answer was cut off.")
DL_METRIC (metric_unknown,
           DL_METRIC_COUNTER,
           "daisy_entry_requests_unknown_total",
           "Requests that may or may not have run.")
DL_METRIC (metric_retries,
           DL_METRIC_COUNTER,
           "daisy_entry_retries_total",
           "Tries after the first one of a request.")
DL_METRIC (metric_resumes,
           DL_METRIC_COUNTER,
           "daisy_entry_resumes_total",
           "Streams that went on at another upstream.")

struct CallerRequest
{
  CallersTask *callers;
  DlHttpRequest *http;
  CallerAsk *ask;
  CallerTry try;
  bool trying;
  unsigned tries;
  unsigned resumes;
  char *avoid;       /* upstream of the last try that failed */
  DlDigest version;  /* pinned with the first head */
  bool may_have_run; /* by a try before the current one */
  bool begun;        /* the caller has the head */
  bool streaming;    /* the current try gives JSON lines of a model's answer */
  DlResume *resume;  /* NULL for a plain service's answer */
  DlBuffer *out;
  size_t received; /* of the current try */
  size_t credited;
  DlTimer *pause;
};

static void request_try (CallerRequest *r);

/* -------- the caller's side -------- */

static int
request_destroy (CallerRequest *r)
{
  if (r->http != NULL)
    {
      dl_http_request_on_closed (r->http, NULL, NULL);
      dl_http_stream_on_consumed (r->http, NULL, NULL);
    }
  if (r->trying)
    callers_cancel (r->callers, &r->try);
  return 0;
}

static void
on_caller_closed (DlHttpRequest *http, bool answered, void *data)
{
  CallerRequest *r = data;

  r->http = NULL;
  talloc_free (r);
}

/* Lets the upstream send as much as the caller has taken. */
static void
give_credit (CallerRequest *r)
{
  size_t held = dl_http_stream_queued (r->http);
  size_t due;

  if (!r->trying || r->received < r->credited + held)
    return;
  due = r->received - r->credited - held;
  if (due < CREDIT_MIN_BYTES)
    return;
  r->credited += due;
  callers_credit (r->callers, &r->try, due);
}

static void
on_taken (DlHttpRequest *http, size_t taken, void *data)
{
  give_credit (data);
}

static void
answer_whole (CallerRequest *r)
{
  dl_metric_add (&metric_answered, 1);
  dl_http_stream_end (r->http, true);
  talloc_free (r);
}

static void
cut_off (CallerRequest *r, const char *why)
{
  dl_metric_add (&metric_cut_off, 1);
  dl_log (DL_EVENT_REQUEST_CUT_OFF, DL_TEXT ("service", r->ask->service->name),
          DL_TEXT ("reason", why));
  if (r->resume != NULL)
    {
      json_object *line = json_object_new_object ();

      json_object_object_add (line, "cut_off", json_object_new_boolean (true));
      json_object_object_add (line, "error", json_object_new_string (why));
      dl_buffer_printf (r->out, "%s\n",
                        json_object_to_json_string_ext (line, JSON_C_TO_STRING_PLAIN));
      json_object_put (line);
      dl_http_stream_write (r->http, dl_buffer_view (r->out));
    }
  /* A model's caller has been told by the last line; another one sees the break. */
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

/* -------- the upstream's side -------- */

static void
begin_answer (CallerRequest *r, const EntryMessage *m)
{
  char hex[DL_DIGEST_HEX_BYTES];
  DlHttpHeader headers[2] = { { 0 } };

  r->begun = true;
  if (r->ask->model && m->response.status == HTTP_OK)
    {
      r->version = m->response.version;
      r->resume = dl_resume_new (r, r->ask->resume_from);
      dl_digest_to_hex (&r->version, hex);
      headers[0] = (DlHttpHeader){ .name = "X-Version", .value = hex };
    }
  dl_http_stream_begin (r->http, m->response.status, m->response.content_type, headers);
  dl_http_stream_on_consumed (r->http, on_taken, r);
}

/* Gives up the upstream of the current try, whose stream cannot be what follows. */
static void
abandon_try (CallerRequest *r)
{
  callers_cancel (r->callers, &r->try);
  r->trying = false;
}

static void
on_pause_over (DlTimer *timer, void *data)
{
  CallerRequest *r = data;

  TALLOC_FREE (r->pause);
  request_try (r);
}

/* The stream broke after it had begun. */
static void
resume_or_cut_off (CallerRequest *r, const char *why)
{
  if (r->resume == NULL || r->resumes >= RESUMES_MAX)
    {
      cut_off (r, why);
      return;
    }
  r->resumes++;
  dl_metric_add (&metric_resumes, 1);
  dl_resume_restart (r->resume);
  /* At once the first time; then upstreams get time to recover. */
  r->pause = dl_timer_subscribe (r->callers->task, r,
                                 r->resumes > 1 ? RESUME_PAUSE_MS * r->resumes : 0, 0,
                                 on_pause_over, r);
}

static void
take_head (CallerRequest *r, const EntryMessage *m)
{
  r->streaming = r->ask->model && m->response.status == HTTP_OK;
  if (!r->begun)
    begin_answer (r, m);
  else if (!r->streaming || !dl_digest_equal (&m->response.version, &r->version))
    {
      abandon_try (r);
      resume_or_cut_off (r, "the upstream did not take the stream on");
    }
}

static void
take_data (CallerRequest *r, DlStr data)
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
          abandon_try (r);
          resume_or_cut_off (r, "the upstream's stream was malformed");
          return;
        }
    }
  give_credit (r);
}

static bool
may_retry (CallerRequest *r, const EntryMessage *end)
{
  /* With no upstream to try, trying again at once is of no use. */
  return r->tries < TRIES_MAX && end->response.upstream != NULL
         && !dl_kernel_stopping (dl_task_kernel (r->callers->task))
         && dl_retry_spend (callers_budget (r->callers, r->ask->service->name),
                            callers_retry_percent (r->callers));
}

/* A model's answer says itself that it is whole. */
static bool
is_whole (const CallerRequest *r, bool complete)
{
  return r->resume != NULL ? r->resume->state == DL_RESUME_DONE : complete;
}

static void
take_end (CallerRequest *r, const EntryMessage *m)
{
  bool complete = m->response.reason == DAISYLOFT__WIRE__END_REASON__END_COMPLETE;

  r->trying = false;
  if (m->response.reason != DAISYLOFT__WIRE__END_REASON__END_NOT_RUN)
    r->may_have_run = true;
  if (m->response.upstream != NULL)
    {
      talloc_free (r->avoid);
      r->avoid = talloc_strdup (r, m->response.upstream);
    }
  if (r->begun && is_whole (r, complete))
    answer_whole (r);
  else if (r->begun)
    resume_or_cut_off (r, complete ? "the upstream's stream ended early"
                                   : m->response.detail);
  else if (may_retry (r, m))
    {
      dl_metric_add (&metric_retries, 1);
      request_try (r);
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
      take_head (r, m);
      break;
    case ENTRY_RESPONSE_DATA:
      take_data (r, m->response.data);
      break;
    case ENTRY_RESPONSE_END:
      take_end (r, m);
      break;
    }
}

static void
request_try (CallerRequest *r)
{
  r->tries++;
  r->trying = true;
  r->received = 0;
  r->credited = 0;
  r->try = (CallerTry){ .on_response = on_response, .data = r };
  callers_send (r->callers, &r->try, r->ask,
                &(EntryRequest){
                    .avoid = r->avoid,
                    .version = r->version,
                    .resume_from
                    = r->resume != NULL ? r->resume->next_token : r->ask->resume_from,
                });
}

void
caller_request_start (CallersTask *callers, DlHttpRequest *http, const CallerAsk *ask)
{
  CallerRequest *r = talloc_zero (callers, CallerRequest);

  g_assert (r != NULL);
  r->callers = callers;
  r->http = http;
  r->ask = callers_copy_ask (r, ask);
  r->out = dl_buffer_new (r, 0);
  talloc_set_destructor (r, request_destroy);
  dl_http_request_on_closed (http, on_caller_closed, r);
  dl_retry_first_attempt (callers_budget (callers, ask->service->name),
                          callers_retry_percent (callers));
  request_try (r);
}
