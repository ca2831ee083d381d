/*
 * One call that must run at most once.  Carries out the actions of the claim's state
 * machine (policy/claim.h): writes to the platform, dispatches to an upstream and
 * responds to the caller.
 *
 * The caller gets its response as soon as the call has ended.  The outcome is recorded at
 * the same time, and a graceful shutdown of the entry waits until that is done.  When the
 * caller disconnects, the call continues; a later request with the same key gets the
 * recorded response.
 */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "callers.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/claim.h"
#include "policy/response_room.h"

#define RESPONSE_MAX_BYTES   (512u << 10) /* to record; the platform's limit is 1 MiB */
#define IN_PROGRESS_RETRY_MS 1000
#define NOT_RUN_RETRY_MS     2000
#define UNKNOWN_RETRY_MS     0 /* no Retry-After: does not invite a retry */
/* A longer one is given up. */
#define RESPONSE_HELD_MAX_BYTES (4u << 20)
#define HTTP_CONFLICT           409
#define HTTP_UNPROCESSABLE      422
#define HTTP_BAD_GATEWAY        502
#define HTTP_UNAVAILABLE        503
#define HTTP_GATEWAY_TIMEOUT    504

DL_METRIC (metric_dispatched,
           DL_METRIC_COUNTER,
           "daisy_entry_claims_dispatched_total",
           "Claimed calls dispatched to an upstream.")
DL_METRIC (metric_repeated,
           DL_METRIC_COUNTER,
           "daisy_entry_claims_repeated_total",
           "Calls with a key that was claimed before.")
DL_METRIC (metric_fenced,
           DL_METRIC_COUNTER,
           "daisy_entry_claims_fenced_total",
           "Claimed calls not dispatched because their deadline had passed.")
DL_METRIC (metric_unresolved,
           DL_METRIC_COUNTER,
           "daisy_entry_claims_unresolved_total",
           "Claimed calls whose outcome could not be recorded.")

DL_METRIC (metric_too_long,
           DL_METRIC_COUNTER,
           "daisy_entry_claims_too_long_total",
           "Claimed calls whose response was given up as too long.")

/* One call under its claim; freed when the claim's state machine finishes. */
struct CallerClaim
{
  CallersTask *callers;
  DlHttpRequest *http; /* NULL after the response or when the caller disconnected */
  ParsedRequest *parsed;
  DlClaim claim;
  char name[DL_DIGEST_HEX_BYTES];
  uint64_t created_ms;
  CallerAttempt attempt;
  bool attempt_active;
  unsigned status; /* HTTP status of the response; 0 before its head */
  char *content_type;
  DlBuffer *response;
  bool response_too_long;
  json_object *recorded; /* value of the claim object as last read */
  DlTimer *backoff_timer;
  GList link; /* in the callers' list */
};

static void step_claim (CallerClaim *c, const DlClaimEvent *event);

static DlClaimEvent
make_event (DlClaimEventType type)
{
  return (DlClaimEvent){ .type = type, .now_ms = dl_clock_ms () };
}

/* -------- the claim object -------- */

static void
add_text (json_object *object, const char *key, const char *text)
{
  json_object_object_add (object, key, json_object_new_string (text));
}

static void
add_response (const CallerClaim *c, json_object *object)
{
  DlStr response = dl_buffer_view (c->response);

  json_object_object_add (object, "status", json_object_new_int64 (c->status));
  add_text (object, "content_type", c->content_type != NULL ? c->content_type : "");
  if (c->response_too_long)
    return;
  if (g_utf8_validate_len (response.data != NULL ? response.data : "", response.length,
                           NULL))
    json_object_object_add (object, "answer",
                            json_object_new_string_len (response.data != NULL
                                                            ? response.data
                                                            : "",
                                                        (int)response.length));
  else
    {
      char *text = g_base64_encode ((const guchar *)response.data, response.length);

      add_text (object, "answer_base64", text);
      g_free (text);
    }
}

static json_object *
claim_value (const CallerClaim *c, DlClaimState state)
{
  json_object *object = json_object_new_object ();
  char body[DL_DIGEST_HEX_BYTES];

  dl_digest_to_hex (&c->claim.body, body);
  add_text (object, "owner", c->callers->settings->name);
  add_text (object, "nonce", c->claim.nonce);
  add_text (object, "body", body);
  add_text (object, "state", dl_claim_state_name (state));
  json_object_object_add (object, "created_ms", json_object_new_uint64 (c->created_ms));
  if (state == DL_CLAIM_DONE)
    add_response (c, object);
  return object;
}

static const char *
get_text (json_object *object, const char *key)
{
  json_object *value;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_string))
    return "";
  return json_object_get_string (value);
}

/* Decodes a claim object into RECORD.  Returns 0 or DL_ERR_MALFORMED. */
static int
parse_record (const DlObject *object, DlClaimRecord *record)
{
  const char *nonce = get_text (object->value, "nonce");

  record->revision = object->revision;
  g_strlcpy (record->nonce, nonce, sizeof record->nonce);
  if (*nonce == '\0'
      || dl_digest_from_hex (dl_str (get_text (object->value, "body")), &record->body) < 0
      || dl_claim_state_parse (get_text (object->value, "state"), &record->state) < 0)
    return DL_ERR_MALFORMED;
  return 0;
}

/* Returns the time at which this entry first read the claim at this revision. */
static uint64_t
first_seen_ms (CallerClaim *c, uint64_t revision)
{
  GHashTable *seen = c->callers->claims_first_seen;
  char *key = g_strdup_printf ("%s@%" PRIu64, c->name, revision);
  uint64_t *at = g_hash_table_lookup (seen, key);

  if (at != NULL)
    {
      g_free (key);
      return *at;
    }
  at = g_new (uint64_t, 1);
  *at = dl_clock_ms ();
  g_hash_table_insert (seen, key, at);
  return *at;
}

/* -------- responses to the caller -------- */

/* Returns the caller's request, or NULL.  The claim no longer refers to it. */
static DlHttpRequest *
detach_http (CallerClaim *c)
{
  DlHttpRequest *http = c->http;

  c->http = NULL;
  if (http != NULL)
    dl_http_request_on_closed (http, NULL, NULL);
  return http;
}

static void
refuse (CallerClaim *c,
        unsigned status,
        CallersOutcome outcome,
        uint64_t retry_after_ms,
        const char *error)
{
  DlHttpRequest *http = detach_http (c);

  if (http != NULL)
    callers_refuse (c->callers, http, status, outcome, retry_after_ms, error);
}

static void
reply_with_response (CallerClaim *c)
{
  DlHttpRequest *http = detach_http (c);

  if (http != NULL)
    dl_http_reply (http, c->status, c->content_type, dl_buffer_view (c->response), NULL);
}

/* Sends the response that was recorded under the key. */
static void
reply_with_record (CallerClaim *c)
{
  static const DlHttpHeader headers[]
      = { { .name = "X-Recorded-Answer", .value = "true" }, { 0 } };
  json_object *status;
  json_object *response;
  DlHttpRequest *http;
  const char *type = get_text (c->recorded, "content_type");
  guchar *decoded = NULL;
  gsize length = 0;
  DlStr body = { 0 };

  if (json_object_object_get_ex (c->recorded, "answer", &response))
    body = dl_str_bytes (json_object_get_string (response),
                         (size_t)json_object_get_string_len (response));
  else if (json_object_object_get_ex (c->recorded, "answer_base64", NULL))
    {
      decoded = g_base64_decode (get_text (c->recorded, "answer_base64"), &length);
      body = dl_str_bytes (decoded, length);
    }
  else
    {
      refuse (c, HTTP_CONFLICT, CALLERS_DONE, 0,
              "the call ran; its answer was too long to be recorded");
      return;
    }
  http = detach_http (c);
  if (http != NULL && json_object_object_get_ex (c->recorded, "status", &status))
    dl_http_reply (http, (unsigned)json_object_get_int (status),
                   *type != '\0' ? type : NULL, body, headers);
  g_free (decoded);
}

/* -------- the dispatched call -------- */

static void
call_ended (CallerClaim *c, const EntryMessage *m)
{
  DlClaimEvent event = make_event (DL_CLAIM_EV_ENDED);

  c->attempt_active = false;
  if (m->response.reason == DAISYLOFT__WIRE__END_REASON__END_COMPLETE && c->status != 0)
    {
      event.outcome = DL_CLAIM_DONE;
      reply_with_response (c);
    }
  else if (m->response.reason == DAISYLOFT__WIRE__END_REASON__END_NOT_RUN
           && c->status == 0)
    {
      event.outcome = DL_CLAIM_NOT_RUN;
      refuse (c, HTTP_UNAVAILABLE, CALLERS_NOT_RUN,
              MAX (m->response.retry_after_ms, IN_PROGRESS_RETRY_MS), m->response.detail);
    }
  else
    {
      event.outcome = DL_CLAIM_UNKNOWN;
      refuse (c, HTTP_GATEWAY_TIMEOUT, CALLERS_UNKNOWN, UNKNOWN_RETRY_MS,
              m->response.detail);
    }
  step_claim (c, &event);
}

/* The call has run, but its response is too long to be held: its outcome is unknown to
 * the caller, as after a response that was lost. */
static void
give_up_response (CallerClaim *c)
{
  DlClaimEvent event = make_event (DL_CLAIM_EV_ENDED);

  dl_metric_add (&metric_too_long, 1);
  dl_log (DL_EVENT_CLAIM_RESPONSE_TOO_LONG, DL_TEXT ("service", c->parsed->service->name),
          DL_TEXT ("path", c->parsed->path), DL_UINT ("bytes", c->response->length),
          DL_UINT ("all_bytes", c->callers->held_bytes));
  callers_cancel_attempt (c->callers, &c->attempt);
  c->attempt_active = false;
  event.outcome = DL_CLAIM_UNKNOWN;
  refuse (c, HTTP_GATEWAY_TIMEOUT, CALLERS_UNKNOWN, UNKNOWN_RETRY_MS,
          "the response of the call is too long");
  step_claim (c, &event);
}

static void
hold_response (CallerClaim *c, DlStr data)
{
  const DlResponseRoom room = {
    .held_bytes = c->response->length,
    .max_bytes = RESPONSE_HELD_MAX_BYTES,
    .all_bytes = c->callers->held_bytes,
  };

  if (!dl_response_room_has (&room, data.length))
    {
      give_up_response (c);
      return;
    }
  c->callers->held_bytes += data.length;
  dl_buffer_append (c->response, data.data, data.length);
  c->response_too_long = c->response->length > RESPONSE_MAX_BYTES;
  callers_grant_credit (c->callers, &c->attempt, data.length);
}

static void
on_response (const EntryMessage *m, void *data)
{
  CallerClaim *c = data;

  switch (m->response.kind)
    {
    case ENTRY_RESPONSE_HEAD:
      c->status = m->response.status;
      c->content_type = talloc_strdup (c, m->response.content_type);
      break;
    case ENTRY_RESPONSE_DATA:
      hold_response (c, m->response.data);
      break;
    case ENTRY_RESPONSE_END:
      call_ended (c, m);
      break;
    }
}

static void
dispatch (CallerClaim *c, uint64_t dispatch_by_ms)
{
  dl_metric_add (&metric_dispatched, 1);
  c->attempt_active = true;
  c->attempt = (CallerAttempt){ .on_response = on_response, .data = c };
  callers_start_attempt (c->callers, &c->attempt, c->parsed,
                         &(EntryRequest){
                             .single_use = true,
                             .dispatch_by_ms = dispatch_by_ms,
                         });
}

/* -------- the platform -------- */

static void
on_written (const DlObjectResult *result, void *data)
{
  CallerClaim *c = data;
  DlClaimEvent event = make_event (DL_CLAIM_EV_WRITTEN);

  event.revision = result->revision;
  switch (result->error)
    {
    case 0:
      break;
    case DL_ERR_CONFLICT:
    case DL_ERR_NOT_FOUND:
      event.type = DL_CLAIM_EV_CONFLICT;
      break;
    case DL_ERR_RATE_LIMITED:
    case DL_ERR_UNAVAILABLE:
      event.type = DL_CLAIM_EV_UNAVAILABLE;
      break;
    default:
      event.type = DL_CLAIM_EV_WRITE_LOST;
      break;
    }
  step_claim (c, &event);
}

static void
on_read (const DlObjectResult *result, void *data)
{
  CallerClaim *c = data;
  DlClaimEvent event = make_event (DL_CLAIM_EV_READ);

  if (result->error == DL_ERR_NOT_FOUND)
    event.type = DL_CLAIM_EV_ABSENT;
  else if (result->error < 0 || parse_record (&result->objects[0], &event.record) < 0)
    event.type = DL_CLAIM_EV_UNAVAILABLE;
  else
    {
      json_object_put (c->recorded);
      c->recorded = json_object_get (result->objects[0].value);
      event.seen_ms = first_seen_ms (c, event.record.revision);
    }
  step_claim (c, &event);
}

static void
write_claim (CallerClaim *c, uint64_t revision, DlClaimState state)
{
  json_object *value = claim_value (c, state);

  dl_object_put (c->callers->objects, c, ENTRY_KIND_CLAIM, c->name, revision, value,
                 on_written, c);
  json_object_put (value);
}

static void
on_backoff_over (DlTimer *timer, void *data)
{
  CallerClaim *c = data;
  const DlClaimEvent event = make_event (DL_CLAIM_EV_BACKOFF_OVER);

  TALLOC_FREE (c->backoff_timer);
  step_claim (c, &event);
}

/* -------- actions of the state machine -------- */

/* Responds to the caller of an attempt that ends without a dispatch. */
static void
reply_undispatched (CallerClaim *c, DlClaimActionType type)
{
  switch (type)
    {
    case DL_CLAIM_ACT_REPLY_RECORD:
      reply_with_record (c);
      break;
    case DL_CLAIM_ACT_REPLY_IN_PROGRESS:
      refuse (c, HTTP_CONFLICT, CALLERS_IN_PROGRESS, IN_PROGRESS_RETRY_MS,
              "a call with this key is in progress");
      break;
    case DL_CLAIM_ACT_REPLY_KEY_REUSED:
      refuse (c, HTTP_UNPROCESSABLE, CALLERS_NOT_RUN, 0,
              "the key stands for another call");
      break;
    case DL_CLAIM_ACT_REPLY_UNKNOWN:
      refuse (c, HTTP_GATEWAY_TIMEOUT, CALLERS_UNKNOWN, UNKNOWN_RETRY_MS,
              "a call with this key may or may not have run");
      break;
    default:
      refuse (c, HTTP_UNAVAILABLE, CALLERS_NOT_RUN, NOT_RUN_RETRY_MS,
              "the call could not be claimed now");
      return;
    }
  dl_metric_add (&metric_repeated, 1);
}

static void
record_outcome (CallerClaim *c, const DlClaimAction *action)
{
  if (c->claim.fenced && c->http != NULL)
    {
      dl_metric_add (&metric_fenced, 1);
      dl_log (DL_EVENT_CLAIM_FENCED, DL_TEXT ("claim", c->name));
      refuse (c, HTTP_UNAVAILABLE, CALLERS_NOT_RUN, NOT_RUN_RETRY_MS,
              "the claim was confirmed too late");
    }
  write_claim (c, action->revision, action->outcome);
}

static void
step_claim (CallerClaim *c, const DlClaimEvent *event)
{
  const DlClaimAction action = dl_claim_step (&c->claim, event);

  switch (action.type)
    {
    case DL_CLAIM_ACT_NOTHING:
      break;
    case DL_CLAIM_ACT_CREATE:
    case DL_CLAIM_ACT_REPLACE:
      write_claim (c, action.revision, DL_CLAIM_CLAIMED);
      break;
    case DL_CLAIM_ACT_READ:
      dl_object_get (c->callers->objects, c, ENTRY_KIND_CLAIM, c->name, on_read, c);
      break;
    case DL_CLAIM_ACT_BACKOFF:
      c->backoff_timer = dl_timer_subscribe (c->callers->task, c, action.backoff_ms, 0,
                                             on_backoff_over, c);
      break;
    case DL_CLAIM_ACT_DISPATCH:
      dispatch (c, action.dispatch_by_ms);
      break;
    case DL_CLAIM_ACT_RECORD:
      record_outcome (c, &action);
      break;
    case DL_CLAIM_ACT_RECORD_LOST:
      dl_metric_add (&metric_unresolved, 1);
      dl_log (DL_EVENT_CLAIM_UNRESOLVED, DL_TEXT ("claim", c->name));
      talloc_free (c);
      break;
    case DL_CLAIM_ACT_FINISHED:
      callers_schedule_expiry (c->callers, c->name, c->claim.revision);
      talloc_free (c);
      break;
    case DL_CLAIM_ACT_REPLY_RECORD:
    case DL_CLAIM_ACT_REPLY_IN_PROGRESS:
    case DL_CLAIM_ACT_REPLY_KEY_REUSED:
    case DL_CLAIM_ACT_REPLY_UNKNOWN:
    case DL_CLAIM_ACT_REPLY_NOT_RUN:
      reply_undispatched (c, action.type);
      talloc_free (c);
      break;
    }
}

static void
on_caller_closed (DlHttpRequest *http, bool completed, void *data)
{
  CallerClaim *c = data;

  c->http = NULL;
}

static int
claim_destroy (CallerClaim *c)
{
  detach_http (c);
  if (c->attempt_active)
    callers_cancel_attempt (c->callers, &c->attempt);
  json_object_put (c->recorded);
  c->callers->held_bytes -= c->response->length;
  c->callers->active_claims--;
  g_queue_unlink (&c->callers->claims, &c->link);
  return 0;
}

void
caller_claim_start (CallersTask *callers,
                    DlHttpRequest *http,
                    const ParsedRequest *parsed)
{
  CallerClaim *c = talloc_zero (callers, CallerClaim);
  const DlClaimEvent start = make_event (DL_CLAIM_EV_START);
  DlDigest body = dl_claim_body_digest (dl_str (parsed->method), dl_str (parsed->path),
                                        parsed->body);

  g_assert (c != NULL);
  c->callers = callers;
  c->http = http;
  c->parsed = callers_copy_request (c, parsed);
  c->created_ms = dl_wall_clock_ms ();
  c->response = dl_buffer_new (c, 0);
  dl_claim_name (dl_str (parsed->organisation), dl_str (parsed->service->name),
                 dl_str (parsed->key), c->name);
  dl_claim_init (&c->claim, dl_random_name (c), &body);
  callers->active_claims++;
  c->link.data = c;
  g_queue_push_tail_link (&callers->claims, &c->link);
  talloc_set_destructor (c, claim_destroy);
  dl_http_request_on_closed (http, on_caller_closed, c);
  step_claim (c, &start);
}

void
caller_claims_abandon (CallersTask *callers)
{
  for (GList *l = callers->claims.head; l != NULL; l = l->next)
    {
      CallerClaim *c = l->data;

      if (c->claim.dispatched)
        continue;
      dl_claim_close (&c->claim);
      refuse (c, HTTP_UNAVAILABLE, CALLERS_NOT_RUN, NOT_RUN_RETRY_MS,
              "this entry ended before the call was claimed");
    }
}
