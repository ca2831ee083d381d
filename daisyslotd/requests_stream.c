/*
 * One request: an HTTP call to the engine or plain service, whose response is sent to the
 * entry as a stream of frames, limited by the credit that the entry grants.
 *
 * Every stream ends with one ResponseEnd.  It says NOT_RUN only if the request was
 * refused here, if no byte of the call left this process, if the engine refused it, or if
 * the engine confirmed that a cancelled request had not run.
 */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/metrics.h"
#include "requests.h"

#define CALL_CONNECT_TIMEOUT_MS 1000
#define CANCEL_TIMEOUT_MS       2000
#define STALL_TIMEOUT_MS        5000 /* between two parts of a response */
#define FIRST_BYTE_TIMEOUT_MS   60000
#define HTTP_OK                 200
#define HTTP_CONFLICT           409
#define HTTP_TOO_MANY_REQUESTS  429
#define HTTP_UNAVAILABLE        503
#define MICROSECONDS_PER_MS     1000
#define SMOOTHING               8 /* a new sample has weight 1 / SMOOTHING */

DL_METRIC (metric_first_byte,
           DL_METRIC_HISTOGRAM,
           "daisy_slot_first_byte_seconds",
           "Delay of the first response byte of live requests.")
DL_METRIC (metric_opened,
           DL_METRIC_COUNTER,
           "daisy_slot_requests_total",
           "Requests that entries opened.")
DL_METRIC (metric_not_run,
           DL_METRIC_COUNTER,
           "daisy_slot_requests_not_run_total",
           "Requests that ended and certainly were not run.")
DL_METRIC (metric_cut_off,
           DL_METRIC_COUNTER,
           "daisy_slot_requests_cut_off_total",
           "Requests interrupted after their response had begun.")
DL_METRIC (metric_unknown,
           DL_METRIC_COUNTER,
           "daisy_slot_requests_unknown_total",
           "Requests that may or may not have run.")

struct SlotRequest
{
  RequestsTask *requests;
  RequestPeer *peer; /* NULL once the entry has disconnected */
  uint64_t stream;
  OrganisationUsage *usage;
  char *id;
  bool model;
  bool single_use;
  DlDigest version; /* that the engine must serve; not used for a plain service */
  DlHttpCall *call; /* NULL while a cancel is pending */
  bool head_sent;
  bool head_refused; /* the response head says that the engine did not run it */
  uint64_t retry_after_ms;
  int64_t credit; /* bytes that may still be sent to the entry */
  uint64_t started_us;
  DlTimer *stall_timer;
};

/* -------- frames to the entry -------- */

static void
send_frame (SlotRequest *r, DlEnvelope *envelope, DlStr payload)
{
  if (r->peer == NULL)
    return;
  envelope->stream = r->stream;
  dl_conn_send (r->peer->conn, envelope, payload);
}

static void
count_end (Daisyloft__Wire__EndReason reason)
{
  switch (reason)
    {
    case DAISYLOFT__WIRE__END_REASON__END_NOT_RUN:
      dl_metric_add (&metric_not_run, 1);
      break;
    case DAISYLOFT__WIRE__END_REASON__END_CUT_OFF:
      dl_metric_add (&metric_cut_off, 1);
      break;
    case DAISYLOFT__WIRE__END_REASON__END_UNKNOWN:
      dl_metric_add (&metric_unknown, 1);
      break;
    default:
      break;
    }
}

/* Counts and sends a ResponseEnd, also for a stream without a SlotRequest.  PEER is NULL
 * if the entry has disconnected. */
static void
send_end (RequestPeer *peer,
          uint64_t stream,
          Daisyloft__Wire__EndReason reason,
          uint64_t retry_after_ms,
          const char *detail)
{
  Daisyloft__Wire__ResponseEnd end = DAISYLOFT__WIRE__RESPONSE_END__INIT;
  DlEnvelope envelope = DL_ENVELOPE (RESPONSE_END, response_end, &end);

  count_end (reason);
  if (peer == NULL)
    return;
  end.reason = reason;
  end.retry_after_ms = (uint32_t)MIN (retry_after_ms, UINT32_MAX);
  end.detail = (char *)detail;
  envelope.stream = stream;
  dl_conn_send (peer->conn, &envelope, dl_str_bytes (NULL, 0));
}

/* Ends the stream and frees the request. */
static void
request_end (SlotRequest *r, Daisyloft__Wire__EndReason reason, const char *detail)
{
  uint64_t retry_after_ms = 0;

  if (reason == DAISYLOFT__WIRE__END_REASON__END_NOT_RUN)
    retry_after_ms = r->retry_after_ms > 0 ? r->retry_after_ms
                                           : requests_retry_after_ms (r->requests);
  send_end (r->peer, r->stream, reason, retry_after_ms, detail);
  if (r->peer != NULL)
    g_hash_table_remove (r->peer->streams, &r->stream);
  r->peer = NULL;
  r->usage->count--;
  requests_ended (r->requests, reason == DAISYLOFT__WIRE__END_REASON__END_COMPLETE
                                   ? dl_clock_us () - r->started_us
                                   : 0);
  talloc_free (r);
}

/* -------- the call -------- */

static uint64_t
update_mean (uint64_t mean, uint64_t sample)
{
  return mean == 0 ? sample : (mean * (SMOOTHING - 1) + sample) / SMOOTHING;
}

static void
measure_first_byte (SlotRequest *r)
{
  uint64_t delay_us = dl_clock_us () - r->started_us;

  dl_metric_observe_us (&metric_first_byte, delay_us);
  r->requests->mean_first_byte_us
      = update_mean (r->requests->mean_first_byte_us, delay_us);
}

static bool
is_refusal (const SlotRequest *r, unsigned status)
{
  return r->model
         && (status == HTTP_CONFLICT || status == HTTP_TOO_MANY_REQUESTS
             || status == HTTP_UNAVAILABLE);
}

/* Returns false if the engine responds with another version's weights than requested. */
static bool
version_matches (const SlotRequest *r, unsigned status, const char *header)
{
  DlDigest version;

  if (!r->model || status != HTTP_OK)
    return true;
  return header != NULL && dl_digest_from_hex (dl_str (header), &version) == 0
         && dl_digest_equal (&version, &r->version);
}

/* Ends a request whose call was interrupted, so that its outcome is unknown. */
static void
end_interrupted (SlotRequest *r, const char *detail)
{
  request_end (r,
               r->head_sent ? DAISYLOFT__WIRE__END_REASON__END_CUT_OFF
                            : DAISYLOFT__WIRE__END_REASON__END_UNKNOWN,
               detail);
}

static void
on_stalled (DlTimer *timer, void *data)
{
  end_interrupted (data, "the upstream stopped answering");
}

void
slot_request_abort_if_silent (SlotRequest *request)
{
  uint64_t since_us = MAX (request->started_us, request->requests->received_us);

  if (dl_clock_us () - since_us >= (uint64_t)STALL_TIMEOUT_MS * MICROSECONDS_PER_MS)
    end_interrupted (request, "the engine does not answer");
}

static void
on_head (DlHttpCall *call, unsigned status, void *data)
{
  SlotRequest *r = data;
  Daisyloft__Wire__ResponseHead head = DAISYLOFT__WIRE__RESPONSE_HEAD__INIT;
  DlEnvelope envelope = DL_ENVELOPE (RESPONSE_HEAD, response_head, &head);
  const char *type = dl_http_call_header (call, "Content-Type");
  const char *retry_after = dl_http_call_header (call, "Retry-After");
  uint64_t seconds;

  r->requests->received_us = dl_clock_us ();
  if (is_refusal (r, status))
    {
      r->head_refused = true;
      if (retry_after != NULL && dl_str_to_uint64 (dl_str (retry_after), &seconds) == 0)
        r->retry_after_ms = MIN (seconds, 3600) * 1000;
      return;
    }
  if (!version_matches (r, status, dl_http_call_header (call, "X-Version")))
    {
      request_end (r, DAISYLOFT__WIRE__END_REASON__END_UNKNOWN,
                   "the engine answered from another version");
      return;
    }
  measure_first_byte (r);
  head.status = status;
  head.content_type = (char *)(type != NULL ? type : "application/octet-stream");
  if (r->model)
    head.version = DL_BYTES (dl_str_bytes (r->version.bytes, DL_DIGEST_BYTES));
  r->head_sent = true;
  send_frame (r, &envelope, dl_str_bytes (NULL, 0));
  dl_timer_restart (r->stall_timer, STALL_TIMEOUT_MS);
}

static void
on_data (DlHttpCall *call, DlStr bytes, void *data)
{
  SlotRequest *r = data;
  Daisyloft__Wire__ResponseData message = DAISYLOFT__WIRE__RESPONSE_DATA__INIT;
  DlEnvelope envelope = DL_ENVELOPE (RESPONSE_DATA, response_data, &message);

  r->requests->received_us = dl_clock_us ();
  if (r->head_refused)
    return;
  send_frame (r, &envelope, bytes);
  r->credit -= (int64_t)bytes.length;
  dl_timer_restart (r->stall_timer, STALL_TIMEOUT_MS);
  if (r->credit <= 0 && r->peer != NULL)
    {
      dl_http_call_pause (call, true);
      /* The caller is slow, not the upstream, so it gets more time. */
      dl_timer_restart (r->stall_timer, FIRST_BYTE_TIMEOUT_MS);
    }
}

/* True when the engine refused the request.  What is no response says nothing of it. */
static bool
was_refused (const SlotRequest *r, const DlHttpResult *result)
{
  return r->head_refused && result->error != DL_ERR_MALFORMED;
}

static Daisyloft__Wire__EndReason
end_reason (const SlotRequest *r, const DlHttpResult *result)
{
  if (was_refused (r, result))
    return DAISYLOFT__WIRE__END_REASON__END_NOT_RUN;
  if (result->error == 0)
    return DAISYLOFT__WIRE__END_REASON__END_COMPLETE;
  if (!result->sent)
    return DAISYLOFT__WIRE__END_REASON__END_NOT_RUN;
  return r->head_sent ? DAISYLOFT__WIRE__END_REASON__END_CUT_OFF
                      : DAISYLOFT__WIRE__END_REASON__END_UNKNOWN;
}

static void
on_done (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  SlotRequest *r = data;
  const char *detail = "";

  if (was_refused (r, result))
    detail = "the engine refused the request";
  else if (result->error != 0)
    detail = dl_strerror (result->error);
  request_end (r, end_reason (r, result), detail);
}

/* Returns the caller's body with the fields added that the engine needs, or NULL if it is
 * not a JSON object. */
static json_object *
engine_body (const Daisyloft__Wire__RequestOpen *open,
             const DlDigest *version,
             DlStr body)
{
  struct json_tokener *tokener = json_tokener_new ();
  json_object *object = json_tokener_parse_ex (tokener, body.data, (int)body.length);
  char hex[DL_DIGEST_HEX_BYTES];

  json_tokener_free (tokener);
  if (!json_object_is_type (object, json_type_object))
    {
      json_object_put (object);
      return NULL;
    }
  dl_digest_to_hex (version, hex);
  json_object_object_add (object, "version", json_object_new_string (hex));
  json_object_object_add (object, "priority", json_object_new_int64 (open->priority));
  json_object_object_add (object, "resume_from",
                          json_object_new_int64 (open->resume_from));
  return object;
}

static void
start_call (
    SlotRequest *r, const char *method, const char *path, const char *type, DlStr body)
{
  const RequestsTask *requests = r->requests;
  char *url = talloc_asprintf (r, "http://%s%s", requests->settings->engine, path);
  char *id_header = talloc_asprintf (r, "X-Request-Id: %s", r->id);
  char *type_header
      = *type != '\0' ? talloc_asprintf (r, "Content-Type: %s", type) : NULL;
  const char *headers[] = { id_header, type_header, NULL };

  r->started_us = dl_clock_us ();
  r->stall_timer
      = dl_timer_subscribe (requests->task, r, FIRST_BYTE_TIMEOUT_MS, 0, on_stalled, r);
  r->call = dl_http_call (requests->http, r,
                          &(DlHttpCallOptions){
                              .method = method,
                              .url = url,
                              .headers = headers,
                              .body = body,
                              .connect_timeout_ms = CALL_CONNECT_TIMEOUT_MS,
                              .single_use = r->single_use,
                              .on_head = on_head,
                              .on_data = on_data,
                              .on_done = on_done,
                              .data = r,
                          });
}

/* -------- admission and start -------- */

/* Returns why admission control refuses the request, or NULL. */
static const char *
admission_refusal (RequestsTask *requests, const Daisyloft__Wire__RequestOpen *open)
{
  OrganisationUsage *usage = requests_usage (requests, open->organisation);
  /* A stream resumed from another upstream has been admitted already. */
  bool resumed = open->resume_from > 0;

  switch (requests_admit (requests, usage, resumed ? 0 : open->priority))
    {
    case DL_ADMIT_ACCEPT:
      return NULL;
    case DL_ADMIT_FULL:
      return "the upstream is full";
    case DL_ADMIT_PRIORITY:
      return "the upstream is kept for more urgent requests";
    case DL_ADMIT_SHARE:
      return resumed ? NULL : "the organisation has its share of the upstream";
    }
  return NULL;
}

/* Returns why the upstream cannot run a request for VERSION now, or NULL. */
static const char *
unavailable_reason (const RequestsTask *requests, const DlDigest *version)
{
  const SlotMessage *engine = requests->engine;

  if (requests->stopping)
    return "the upstream is leaving";
  if (!requests->accept)
    return "the upstream is out of rotation";
  if (requests->settings->kind == DL_SERVICE_MODEL && engine != NULL
      && engine->engine.reachable && !dl_digest_equal (&engine->engine.serving, version))
    return "the upstream serves another version";
  return NULL;
}

static SlotRequest *
request_new (RequestPeer *peer, uint64_t stream, const Daisyloft__Wire__RequestOpen *open)
{
  SlotRequest *r = talloc_zero (peer->requests, SlotRequest);

  g_assert (r != NULL);
  r->requests = peer->requests;
  r->peer = peer;
  r->stream = stream;
  r->id = talloc_strdup (r, open->request_id);
  r->usage = requests_usage (r->requests, open->organisation);
  r->usage->count++;
  r->model = peer->requests->settings->kind == DL_SERVICE_MODEL;
  r->single_use = open->single_use;
  r->credit = DL_STREAM_WINDOW_BYTES;
  if (r->model)
    dl_digest_from_bytes (DL_BYTES_STR (open->version), &r->version);
  g_hash_table_insert (peer->streams, &r->stream, r);
  r->requests->running++;
  return r;
}

static void
open_model (SlotRequest *r, const Daisyloft__Wire__RequestOpen *open, DlStr body)
{
  json_object *object = engine_body (open, &r->version, body);

  if (object == NULL)
    {
      request_end (r, DAISYLOFT__WIRE__END_REASON__END_NOT_RUN, "the body is not JSON");
      return;
    }
  start_call (r, "POST", "/v1/generate", "application/json",
              dl_str (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN)));
  json_object_put (object);
}

void
slot_request_open (RequestPeer *peer,
                   uint64_t stream,
                   const Daisyloft__Wire__RequestOpen *open,
                   DlStr body)
{
  RequestsTask *requests = peer->requests;
  DlDigest version = { 0 };
  const char *reason;
  SlotRequest *r;

  dl_metric_add (&metric_opened, 1);
  dl_digest_from_bytes (DL_BYTES_STR (open->version), &version);
  if (g_hash_table_contains (peer->streams, &stream))
    return; /* refusing the duplicate would end the running stream */
  reason = unavailable_reason (requests, &version);
  if (reason == NULL)
    reason = admission_refusal (requests, open);
  if (reason != NULL)
    {
      send_end (peer, stream, DAISYLOFT__WIRE__END_REASON__END_NOT_RUN,
                requests_retry_after_ms (requests), reason);
      return;
    }
  r = request_new (peer, stream, open);
  if (r->model)
    open_model (r, open, body);
  else
    start_call (r, open->method, open->path, open->content_type, body);
}

void
slot_request_credit (SlotRequest *request, uint32_t count)
{
  request->credit += count;
  if (request->credit <= 0 || request->call == NULL)
    return;
  dl_http_call_pause (request->call, false);
  if (request->head_sent)
    dl_timer_restart (request->stall_timer, STALL_TIMEOUT_MS);
}

/* -------- cancelling -------- */

static bool
cancel_confirmed (const DlHttpResult *result)
{
  struct json_tokener *tokener = json_tokener_new ();
  json_object *object = NULL;
  json_object *ran;
  bool confirmed = false;

  if (result->error == 0 && result->status == HTTP_OK)
    object = json_tokener_parse_ex (tokener, result->body.data, (int)result->body.length);
  json_tokener_free (tokener);
  if (json_object_is_type (object, json_type_object)
      && json_object_object_get_ex (object, "ran", &ran))
    confirmed
        = json_object_is_type (ran, json_type_boolean) && !json_object_get_boolean (ran);
  json_object_put (object);
  return confirmed;
}

static void
on_cancelled (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  SlotRequest *r = data;

  if (cancel_confirmed (result))
    request_end (r, DAISYLOFT__WIRE__END_REASON__END_NOT_RUN, "cancelled before it ran");
  else
    end_interrupted (r, "cancelled");
}

static void
cancel_at_engine (SlotRequest *r)
{
  static const char *const headers[] = { "Content-Type: application/json", NULL };
  char *url = talloc_asprintf (r, "http://%s/v1/cancel", r->requests->settings->engine);
  json_object *body = json_object_new_object ();

  json_object_object_add (body, "request_id", json_object_new_string (r->id));
  dl_http_call (r->requests->http, r,
                &(DlHttpCallOptions){
                    .method = "POST",
                    .url = url,
                    .headers = headers,
                    .body = dl_str (json_object_to_json_string (body)),
                    .timeout_ms = CANCEL_TIMEOUT_MS,
                    .on_done = on_cancelled,
                    .data = r,
                });
  json_object_put (body);
}

void
slot_request_cancel (SlotRequest *request)
{
  if (request->call == NULL)
    return;
  TALLOC_FREE (request->call);
  TALLOC_FREE (request->stall_timer);
  if (request->model)
    cancel_at_engine (request);
  else
    end_interrupted (request, "cancelled");
}

void
slot_request_detach (SlotRequest *request)
{
  request->peer = NULL;
  if (!request->single_use)
    slot_request_cancel (request);
  else if (request->call != NULL)
    dl_http_call_pause (request->call, false);
}
