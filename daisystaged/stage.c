/*
 * The staging area beside the engine, and the order to take what lies there.
 */
#include <glib.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"
#include "platform.h"
#include "weights.h"

#define STAGE_TIMEOUT_MS  1000
#define ORDER_TIMEOUT_MS  1000
#define STAGE_PARALLEL    4
#define CHUNK_MAX_BYTES   (1u << 20)
#define STATUS_OK         200
#define STATUS_NO_CONTENT 204
#define STATUS_CREATED    201
/* An order without an answer may still be accepted until then. */
#define ORDER_UNKNOWN_HOLD_MS 1500

typedef struct
{
  Staging *staging;
  unsigned index;
} StageCall;

static StageCall *
stage_call_new (Staging *s, unsigned index)
{
  StageCall *c = talloc_zero (s, StageCall);

  c->staging = s;
  c->index = index;
  s->working++;
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

/* -------- writing -------- */

static void
on_written (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  StageCall *c = data;
  Staging *s = c->staging;
  bool done = result->error == 0
              && (result->status == STATUS_OK || result->status == STATUS_CREATED
                  || result->status == STATUS_NO_CONTENT);

  s->copies[c->index].state = done ? STAGED_WRITTEN : STAGED_NOT;
  s->working--;
  talloc_free (c);
  weights_run (s->owner);
}

void
stage_write (Staging *s)
{
  Weights *w = s->owner;
  const DlBundle *b = s->bundle;

  if (dl_clock_ms () < w->hold_staging_ms)
    return;
  for (unsigned i = 0; i < b->count && s->working < STAGE_PARALLEL; i++)
    {
      StageCall *c;
      DlHttpCallOptions options;

      if (s->copies[i].state != STAGED_NOT || b->chunks[i].length == 0)
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

  s->copies[index].state = STAGED_NOT;
  if (result->error == 0 && result->status == STATUS_OK
      && dl_bundle_verify_chunk (b, index, result->body))
    {
      s->copies[index].state = STAGED_SOUND;
      s->copies[index].sound_ms = dl_clock_ms ();
      if (b->chunks[index].length == 0)
        dl_bundle_add_chunk (b, index, result->body);
    }
  s->working--;
  talloc_free (c);
  weights_run (s->owner);
}

static bool
is_sound (const StagedCopy *copy, uint64_t since_ms)
{
  return copy->state == STAGED_SOUND && copy->sound_ms >= since_ms;
}

static bool
can_be_read (const StagedCopy *copy, uint64_t since_ms)
{
  return copy->state == STAGED_WRITTEN
         || (copy->state == STAGED_SOUND && copy->sound_ms < since_ms);
}

bool
stage_check (Staging *s, uint64_t since_ms)
{
  const Weights *w = s->owner;
  unsigned sound = 0;

  for (unsigned i = 0; i < s->bundle->count; i++)
    {
      StagedCopy *copy = &s->copies[i];
      StageCall *c;
      DlHttpCallOptions options;

      sound += is_sound (copy, since_ms);
      if (s->working >= STAGE_PARALLEL || !can_be_read (copy, since_ms))
        continue;
      copy->state = STAGED_READING;
      c = stage_call_new (s, i);
      options = stage_options (c, on_read_back);
      platform_call_stage_get (w->client, s, w->settings->engine, s->bundle->model, i,
                               &options);
    }
  return sound == s->bundle->count;
}

/* -------- the order -------- */

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
      return "does not fit the engine's state";
    case DL_LOAD_FENCED:
      return "older than one seen";
    case DL_LOAD_INVALID:
      return "not known to the engine";
    case DL_LOAD_UNKNOWN:
      return "no answer";
    }
  return "";
}

static void
on_ordered (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  Weights *w = data;
  const DlBundle *b = w->staging != NULL ? w->staging->bundle : NULL;
  DlLoadOutcome outcome = platform_read_load_outcome (result);

  w->hold_staging_ms
      = outcome == DL_LOAD_UNKNOWN ? dl_clock_ms () + ORDER_UNKNOWN_HOLD_MS : 0;
  if (outcome == DL_LOAD_ACCEPTED || outcome == DL_LOAD_ALREADY_IN_EFFECT)
    dl_log (DL_EVENT_STAGE_ORDERED, DL_TEXT ("engine", w->settings->engine),
            DL_UINT ("version", b != NULL ? b->version : 0),
            DL_TEXT ("outcome", outcome_text (outcome)),
            DL_UINT ("named_ms_ago", b != NULL ? dl_clock_ms () - b->announced_ms : 0));
  else
    dl_log (DL_EVENT_STAGE_ORDER_REFUSED, DL_TEXT ("engine", w->settings->engine),
            DL_UINT ("version", b != NULL ? b->version : 0),
            DL_TEXT ("outcome", outcome_text (outcome)),
            DL_UINT ("status", result->status));
  if (w->phase == PHASE_ORDER)
    weights_enter (w, PHASE_LOAD);
  weights_run (w);
}

void
stage_order (Staging *s, bool preempt)
{
  Weights *w = s->owner;

  w->hold_staging_ms = dl_clock_ms () + ORDER_TIMEOUT_MS + ORDER_UNKNOWN_HOLD_MS;
  weights_enter (w, PHASE_ORDER);
  platform_call_load (w->client, w, w->settings->engine, s->bundle->model,
                      s->bundle->version, preempt,
                      &(DlHttpCallOptions){
                          .connect_timeout_ms = ORDER_TIMEOUT_MS,
                          .timeout_ms = ORDER_TIMEOUT_MS,
                          .single_use = true,
                          .on_done = on_ordered,
                          .data = w,
                      });
}
