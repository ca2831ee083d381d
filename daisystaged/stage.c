/*
 * Writes and verifies the engine's staging area, and sends the load command.
 */
#include <glib.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"
#include "platform.h"
#include "weights.h"

#define STAGE_TIMEOUT_MS  1000
#define LOAD_TIMEOUT_MS   1000
#define STAGE_CALLS_MAX   4
#define CHUNK_MAX_BYTES   (1u << 20)
#define STATUS_OK         200
#define STATUS_NO_CONTENT 204
#define STATUS_CREATED    201
#define STATUS_NOT_FOUND  404
/* A load command without a response may still be accepted for this long. */
#define LOAD_UNKNOWN_HOLD_MS 1500

/* Pauses after the engine failed to stage a chunk, or to return one: it may be down, or
 * refuse for long. */
static const DlBackoffBounds failure_pauses = { .first_ms = 50, .max_ms = 400 };

typedef struct
{
  Staging *staging;
  unsigned index;
  uint64_t sent_ms;
} StageCall;

static StageCall *
stage_call_new (Staging *s, unsigned index)
{
  StageCall *c = talloc_zero (s, StageCall);

  c->staging = s;
  c->index = index;
  c->sent_ms = dl_clock_ms ();
  s->calls++;
  return c;
}

static DlHttpCallOptions
stage_options (StageCall *c,
               void (*on_done) (DlHttpCall *call, const DlHttpResult *result, void *data))
{
  return (DlHttpCallOptions){
    .connect_timeout_ms = STAGE_TIMEOUT_MS,
    .timeout_ms = STAGE_TIMEOUT_MS,
    .max_body_bytes = CHUNK_MAX_BYTES,
    .on_done = on_done,
    .data = c,
  };
}

/* Ends the call; it failed unless the engine gave a proper answer to it. */
static void
end_call (StageCall *c, const DlHttpResult *result, bool failed)
{
  Staging *s = c->staging;

  s->calls--;
  if (!failed)
    dl_backoff_succeeded (&s->failures);
  else if (dl_backoff_failed (&s->failures, &failure_pauses, dl_clock_ms ()))
    dl_log (DL_EVENT_STAGE_CALL_FAILED, DL_TEXT ("engine", s->owner->settings->engine),
            DL_UINT ("chunk", c->index), DL_UINT ("status", result->status),
            DL_ERRNO (result->error), DL_UINT ("pause_ms", s->failures.pause_ms));
  talloc_free (c);
}

/* -------- writing -------- */

static void
on_written (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  StageCall *c = data;
  Staging *s = c->staging;
  bool done = result->error == 0
              && (result->status == STATUS_OK || result->status == STATUS_CREATED
                  || result->status == STATUS_NO_CONTENT);

  s->copies[c->index].state = done ? STAGED_WRITTEN : STAGED_ABSENT;
  s->lost_writes += result->error != 0 && result->sent;
  end_call (c, result, !done);
  weights_run (s->owner);
}

void
stage_write (Staging *s)
{
  Weights *w = s->owner;
  const DlBundle *b = s->bundle;
  uint64_t now_ms = dl_clock_ms ();

  if (now_ms < w->staging_blocked_until_ms || !dl_backoff_allows (&s->failures, now_ms))
    return;
  for (unsigned i = 0; i < b->count && s->calls < STAGE_CALLS_MAX; i++)
    {
      StageCall *c;
      DlHttpCallOptions options;

      if (s->copies[i].state != STAGED_ABSENT || b->chunks[i].length == 0)
        continue;
      s->copies[i].state = STAGED_WRITING;
      c = stage_call_new (s, i);
      options = stage_options (c, on_written);
      platform_call_stage_put (w->client, s, w->settings->engine, b->model, i,
                               b->chunks[i], &options);
    }
}

/* -------- reading back -------- */

static void
on_read_back (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  StageCall *c = data;
  Staging *s = c->staging;
  DlBundle *b = s->bundle;
  unsigned index = c->index;
  bool returned = result->error == 0 && result->status == STATUS_OK;

  s->copies[index].state = STAGED_ABSENT;
  if (returned && dl_bundle_verify_chunk (b, index, result->body))
    {
      s->copies[index].state = STAGED_VERIFIED;
      s->copies[index].verified_ms = dl_clock_ms ();
      s->copies[index].read_ms = c->sent_ms;
      if (b->chunks[index].length == 0)
        dl_bundle_add_chunk (b, index, result->body);
    }
  end_call (c, result, !returned && result->status != STATUS_NOT_FOUND);
  weights_run (s->owner);
}

static bool
is_verified (const StagedCopy *copy, uint64_t since_ms)
{
  return copy->state == STAGED_VERIFIED && copy->verified_ms >= since_ms;
}

static bool
needs_read_back (const StagedCopy *copy, uint64_t since_ms)
{
  return copy->state == STAGED_WRITTEN
         || (copy->state == STAGED_VERIFIED && copy->verified_ms < since_ms);
}

bool
stage_verify (Staging *s, uint64_t since_ms)
{
  const Weights *w = s->owner;
  bool may_call = dl_backoff_allows (&s->failures, dl_clock_ms ());
  unsigned verified = 0;

  for (unsigned i = 0; i < s->bundle->count; i++)
    {
      StagedCopy *copy = &s->copies[i];
      StageCall *c;
      DlHttpCallOptions options;

      verified += is_verified (copy, since_ms);
      if (!may_call || s->calls >= STAGE_CALLS_MAX || !needs_read_back (copy, since_ms))
        continue;
      copy->state = STAGED_READING;
      c = stage_call_new (s, i);
      options = stage_options (c, on_read_back);
      platform_call_stage_get (w->client, s, w->settings->engine, s->bundle->model, i,
                               &options);
    }
  return verified == s->bundle->count;
}

/* -------- the load command -------- */

static const char *
outcome_text (DlLoadOutcome outcome)
{
  switch (outcome)
    {
    case DL_LOAD_ACCEPTED:
      return "begun";
    case DL_LOAD_ALREADY_IN_EFFECT:
      return "already in effect";
    case DL_LOAD_CONFLICT:
      return "not possible in the engine's state";
    case DL_LOAD_FENCED:
      return "fenced: older than a command already seen";
    case DL_LOAD_INVALID:
      return "invalid";
    case DL_LOAD_UNKNOWN:
      return "no usable response";
    }
  return "";
}

/* When the oldest read was sent by which the chunks were verified. */
static uint64_t
oldest_read_ms (const Staging *s)
{
  uint64_t oldest_ms = UINT64_MAX;

  for (unsigned i = 0; i < s->bundle->count; i++)
    oldest_ms = MIN (oldest_ms, s->copies[i].read_ms);
  return oldest_ms;
}

void
stage_check_accepted (Weights *w, uint64_t loads)
{
  uint64_t now_ms = dl_clock_ms ();

  if (loads <= w->engine.loads || !w->command_pending)
    return;
  w->command_pending = false;
  dl_log (DL_EVENT_STAGE_ORDERED_LATE, DL_TEXT ("engine", w->settings->engine),
          DL_UINT ("loads", loads), DL_UINT ("sent_ms_ago", now_ms - w->command_ms),
          DL_UINT ("proof_age_ms", now_ms - w->proof_ms));
}

static void
on_load_response (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  Weights *w = data;
  const DlBundle *b = w->staging != NULL ? w->staging->bundle : NULL;
  DlLoadOutcome outcome = platform_read_load_outcome (result);
  uint64_t now_ms = dl_clock_ms ();

  w->command_pending = outcome == DL_LOAD_UNKNOWN;
  w->staging_blocked_until_ms
      = outcome == DL_LOAD_UNKNOWN ? dl_clock_ms () + LOAD_UNKNOWN_HOLD_MS : 0;
  if (outcome == DL_LOAD_ACCEPTED || outcome == DL_LOAD_ALREADY_IN_EFFECT)
    dl_log (DL_EVENT_STAGE_ORDERED, DL_TEXT ("engine", w->settings->engine),
            DL_UINT ("version", b != NULL ? b->version : 0),
            DL_TEXT ("outcome", outcome_text (outcome)),
            DL_UINT ("named_ms_ago", b != NULL ? now_ms - b->announced_ms : 0),
            DL_UINT ("sent_ms_ago", now_ms - w->command_ms),
            DL_UINT ("proof_age_ms", now_ms - w->proof_ms));
  else
    dl_log (DL_EVENT_STAGE_ORDER_REFUSED, DL_TEXT ("engine", w->settings->engine),
            DL_UINT ("version", b != NULL ? b->version : 0),
            DL_TEXT ("outcome", outcome_text (outcome)),
            DL_UINT ("status", result->status),
            DL_UINT ("sent_ms_ago", now_ms - w->command_ms),
            DL_UINT ("proof_age_ms", now_ms - w->proof_ms));
  if (w->phase == PHASE_LOAD_COMMAND)
    weights_set_phase (w, PHASE_LOADING);
  weights_run (w);
}

void
stage_send_load (Staging *s, bool preempt)
{
  Weights *w = s->owner;
  uint64_t now_ms = dl_clock_ms ();

  w->command_ms = now_ms;
  w->proof_ms = oldest_read_ms (s);
  dl_log (DL_EVENT_STAGE_ORDER_SENT, DL_TEXT ("engine", w->settings->engine),
          DL_UINT ("version", s->bundle->version),
          DL_TEXT ("mode", preempt ? "cut off what runs" : "after what runs"),
          DL_UINT ("loads", w->engine.loads),
          DL_UINT ("report_age_ms", now_ms - w->report_ms),
          DL_UINT ("proof_age_ms", now_ms - w->proof_ms),
          DL_UINT ("lost_writes", s->lost_writes));
  w->staging_blocked_until_ms = now_ms + LOAD_TIMEOUT_MS + LOAD_UNKNOWN_HOLD_MS;
  weights_set_phase (w, PHASE_LOAD_COMMAND);
  platform_call_load (w->client, w, w->settings->engine, s->bundle->model,
                      s->bundle->version, preempt,
                      &(DlHttpCallOptions){
                          .connect_timeout_ms = LOAD_TIMEOUT_MS,
                          .timeout_ms = LOAD_TIMEOUT_MS,
                          .single_use = true,
                          .on_done = on_load_response,
                          .data = w,
                      });
}
