/*
 * One call that must run at most once: carries out what the claim's state machine
 * (policy/claim.h) decides, against the platform, the upstream and the caller.
 *
 * The caller is answered as soon as the call has ended; the end is recorded at the same
 * time, and the planned stop of the entry waits for that.  A caller that goes away
 * changes nothing: the call goes on, and its key gets the recorded answer later.
 */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "callers.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/claim.h"

#define ANSWER_MAX_BYTES     (512u << 10) /* recorded; the platform holds 1 MiB */
#define IN_PROGRESS_RETRY_MS 1000
#define NOT_RUN_RETRY_MS     2000
#define UNKNOWN_RETRY_MS     0 /* invites no repeat */
#define HTTP_CONFLICT        409
#define HTTP_UNPROCESSABLE   422
#define HTTP_BAD_GATEWAY     502
#define HTTP_UNAVAILABLE     503
#define HTTP_GATEWAY_TIMEOUT 504

DL_METRIC (metric_dispatched,
           DL_METRIC_COUNTER,
           "daisy_entry_claims_dispatched_total",
           "Claimed calls handed to an upstream.")
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
           "Claimed calls whose end could not be recorded.")

struct CallerClaim
{
  CallersTask *callers;
  DlHttpRequest *http; /* NULL once the caller is answered or gone */
  CallerAsk *ask;
  DlClaim claim;
  char name[DL_DIGEST_HEX_BYTES];
  uint64_t created_ms;
  CallerTry try;
  bool trying;
  unsigned status; /* of the answer; 0 before its head */
  char *content_type;
  DlBuffer *answer;
  bool answer_too_long;
  json_object *read; /* value of the claim last read */
  DlTimer *pause;
};

static void claim_step (CallerClaim *c, const DlClaimEvent *event);

static DlClaimEvent
event_of (DlClaimEventType type)
{
  return (DlClaimEvent){ .type = type, .now_ms = dl_clock_ms () };
}

/* -------- the claim's object -------- */

static void
add_text (json_object *object, const char *key, const char *text)
{
  json_object_object_add (object, key, json_object_new_string (text));
}

static void
add_answer (const CallerClaim *c, json_object *object)
{
  DlStr answer = dl_buffer_view (c->answer);

  json_object_object_add (object, "status", json_object_new_int64 (c->status));
  add_text (object, "content_type", c->content_type != NULL ? c->content_type : "");
  if (c->answer_too_long)
    return;
  if (g_utf8_validate_len (answer.data != NULL ? answer.data : "", answer.length, NULL))
    json_object_object_add (object, "answer",
                            json_object_new_string_len (answer.data != NULL ? answer.data
                                                                            : "",
                                                        (int)answer.length));
  else
    {
      char *text = g_base64_encode ((const guchar *)answer.data, answer.length);

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
    add_answer (c, object);
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

/* Returns 0 or DL_ERR_MALFORMED. */
static int
read_record (const DlObject *object, DlClaimRecord *record)
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

/* When this entry first saw the claim at this revision. */
static uint64_t
first_seen_ms (CallerClaim *c, uint64_t revision)
{
  GHashTable *seen = c->callers->claims_seen;
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

/* -------- answers to the caller -------- */

static DlHttpRequest *
take_http (CallerClaim *c)
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
  DlHttpRequest *http = take_http (c);

  if (http != NULL)
    callers_refuse (c->callers, http, status, outcome, retry_after_ms, error);
}

static void
give_answer (CallerClaim *c)
{
  DlHttpRequest *http = take_http (c);

  if (http != NULL)
    dl_http_reply (http, c->status, c->content_type, dl_buffer_view (c->answer), NULL);
}

/* The answer that was recorded under the key. */
static void
give_record (CallerClaim *c)
{
  static const DlHttpHeader headers[]
      = { { .name = "X-Recorded-Answer", .value = "true" }, { 0 } };
  json_object *status;
  json_object *answer;
  DlHttpRequest *http;
  const char *type = get_text (c->read, "content_type");
  guchar *decoded = NULL;
  gsize length = 0;
  DlStr body = { 0 };

  if (json_object_object_get_ex (c->read, "answer", &answer))
    body = dl_str_bytes (json_object_get_string (answer),
                         (size_t)json_object_get_string_len (answer));
  else if (json_object_object_get_ex (c->read, "answer_base64", NULL))
    {
      decoded = g_base64_decode (get_text (c->read, "answer_base64"), &length);
      body = dl_str_bytes (decoded, length);
    }
  else
    {
      refuse (c, HTTP_CONFLICT, CALLERS_DONE, 0,
              "the call ran; its answer was too long to be recorded");
      return;
    }
  http = take_http (c);
  if (http != NULL && json_object_object_get_ex (c->read, "status", &status))
    dl_http_reply (http, (unsigned)json_object_get_int (status),
                   *type != '\0' ? type : NULL, body, headers);
  g_free (decoded);
}

/* -------- the dispatched call -------- */

static void
call_ended (CallerClaim *c, const EntryMessage *m)
{
  DlClaimEvent event = event_of (DL_CLAIM_EV_ENDED);

  c->trying = false;
  if (m->response.reason == DAISYLOFT__WIRE__END_REASON__END_COMPLETE && c->status != 0)
    {
      event.outcome = DL_CLAIM_DONE;
      give_answer (c);
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
  claim_step (c, &event);
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
      if (c->answer->length + m->response.data.length > ANSWER_MAX_BYTES)
        c->answer_too_long = true;
      dl_buffer_append (c->answer, m->response.data.data, m->response.data.length);
      callers_credit (c->callers, &c->try, m->response.data.length);
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
  c->trying = true;
  c->try = (CallerTry){ .on_response = on_response, .data = c };
  callers_send (c->callers, &c->try, c->ask,
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
  DlClaimEvent event = event_of (DL_CLAIM_EV_WRITTEN);

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
  claim_step (c, &event);
}

static void
on_read (const DlObjectResult *result, void *data)
{
  CallerClaim *c = data;
  DlClaimEvent event = event_of (DL_CLAIM_EV_READ);

  if (result->error == DL_ERR_NOT_FOUND)
    event.type = DL_CLAIM_EV_ABSENT;
  else if (result->error < 0 || read_record (&result->objects[0], &event.record) < 0)
    event.type = DL_CLAIM_EV_UNAVAILABLE;
  else
    {
      json_object_put (c->read);
      c->read = json_object_get (result->objects[0].value);
      event.seen_ms = first_seen_ms (c, event.record.revision);
    }
  claim_step (c, &event);
}

static void
write_object (CallerClaim *c, uint64_t revision, DlClaimState state)
{
  json_object *value = claim_value (c, state);

  dl_object_put (c->callers->objects, c, ENTRY_KIND_CLAIM, c->name, revision, value,
                 on_written, c);
  json_object_put (value);
}

static void
on_pause_over (DlTimer *timer, void *data)
{
  CallerClaim *c = data;
  const DlClaimEvent event = event_of (DL_CLAIM_EV_BACKOFF_OVER);

  TALLOC_FREE (c->pause);
  claim_step (c, &event);
}

/* -------- the machine's actions -------- */

/* Answers that end the attempt without a dispatch. */
static void
answer_repeat (CallerClaim *c, DlClaimActionType answer)
{
  switch (answer)
    {
    case DL_CLAIM_ACT_REPLY_RECORD:
      give_record (c);
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
record (CallerClaim *c, const DlClaimAction *action)
{
  if (c->claim.fenced && c->http != NULL)
    {
      dl_metric_add (&metric_fenced, 1);
      dl_log (DL_EVENT_CLAIM_FENCED, DL_TEXT ("claim", c->name));
      refuse (c, HTTP_UNAVAILABLE, CALLERS_NOT_RUN, NOT_RUN_RETRY_MS,
              "the claim was confirmed too late");
    }
  write_object (c, action->revision, action->outcome);
}

static void
claim_step (CallerClaim *c, const DlClaimEvent *event)
{
  const DlClaimAction action = dl_claim_step (&c->claim, event);

  switch (action.type)
    {
    case DL_CLAIM_ACT_NOTHING:
      break;
    case DL_CLAIM_ACT_CREATE:
    case DL_CLAIM_ACT_REPLACE:
      write_object (c, action.revision, DL_CLAIM_CLAIMED);
      break;
    case DL_CLAIM_ACT_READ:
      dl_object_get (c->callers->objects, c, ENTRY_KIND_CLAIM, c->name, on_read, c);
      break;
    case DL_CLAIM_ACT_BACKOFF:
      c->pause = dl_timer_subscribe (c->callers->task, c, action.backoff_ms, 0,
                                     on_pause_over, c);
      break;
    case DL_CLAIM_ACT_DISPATCH:
      dispatch (c, action.dispatch_by_ms);
      break;
    case DL_CLAIM_ACT_RECORD:
      record (c, &action);
      break;
    case DL_CLAIM_ACT_RECORD_LOST:
      dl_metric_add (&metric_unresolved, 1);
      dl_log (DL_EVENT_CLAIM_UNRESOLVED, DL_TEXT ("claim", c->name));
      talloc_free (c);
      break;
    case DL_CLAIM_ACT_FINISHED:
      callers_expire_later (c->callers, c->name, c->claim.revision);
      talloc_free (c);
      break;
    case DL_CLAIM_ACT_REPLY_RECORD:
    case DL_CLAIM_ACT_REPLY_IN_PROGRESS:
    case DL_CLAIM_ACT_REPLY_KEY_REUSED:
    case DL_CLAIM_ACT_REPLY_UNKNOWN:
    case DL_CLAIM_ACT_REPLY_NOT_RUN:
      answer_repeat (c, action.type);
      talloc_free (c);
      break;
    }
}

static void
on_caller_closed (DlHttpRequest *http, bool answered, void *data)
{
  CallerClaim *c = data;

  c->http = NULL;
}

static int
claim_destroy (CallerClaim *c)
{
  take_http (c);
  if (c->trying)
    callers_cancel (c->callers, &c->try);
  json_object_put (c->read);
  c->callers->claims--;
  return 0;
}

void
caller_claim_start (CallersTask *callers, DlHttpRequest *http, const CallerAsk *ask)
{
  CallerClaim *c = talloc_zero (callers, CallerClaim);
  const DlClaimEvent start = event_of (DL_CLAIM_EV_START);
  DlDigest body
      = dl_claim_body_digest (dl_str (ask->method), dl_str (ask->path), ask->body);

  g_assert (c != NULL);
  c->callers = callers;
  c->http = http;
  c->ask = callers_copy_ask (c, ask);
  c->created_ms = dl_wall_clock_ms ();
  c->answer = dl_buffer_new (c, 0);
  dl_claim_name (dl_str (ask->organisation), dl_str (ask->service->name),
                 dl_str (ask->key), c->name);
  dl_claim_init (&c->claim, dl_random_name (c), &body);
  callers->claims++;
  talloc_set_destructor (c, claim_destroy);
  dl_http_request_on_closed (http, on_caller_closed, c);
  claim_step (c, &start);
}
