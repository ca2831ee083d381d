/*
 * The staging area beside the engine, and the order to take what lies there.
 */
#include <glib.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"
#include "platform.h"
#include "weights.h"

#define STAGE_TIMEOUT_MS   1000
#define ORDER_TIMEOUT_MS   1000
#define STAGE_PARALLEL     4
#define CHUNK_MAX_BYTES    (1u << 20)
#define STATUS_OK          200
#define STATUS_NO_CONTENT  204
#define STATUS_CREATED     201
/* An order without an answer may still be accepted until then. */
#define ORDER_UNKNOWN_HOLD_MS 1500

typedef struct
{
  Bundle *bundle;
  unsigned index;
} StageCall;

static StageCall *
stage_call_new (Bundle *b, unsigned index)
{
  StageCall *c = talloc_zero (b, StageCall);

  c->bundle = b;
  c->index = index;
  b->working++;
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
  Bundle *b = c->bundle;
  bool done = result->error == 0
              && (result->status == STATUS_OK || result->status == STATUS_CREATED
                  || result->status == STATUS_NO_CONTENT);

  b->chunks[c->index].staged = done ? STAGED_WRITTEN : STAGED_NOT;
  b->working--;
  talloc_free (c);
  weights_run (b->owner);
}

void
stage_write (Bundle *b)
{
  Weights *w = b->owner;

  if (dl_clock_ms () < w->hold_staging_ms)
    return;
  for (unsigned i = 0; i < b->count && b->working < STAGE_PARALLEL; i++)
    {
      ChunkCopy *chunk = &b->chunks[i];
      StageCall *c;
      DlHttpCallOptions options;

      if (chunk->staged != STAGED_NOT || chunk->bytes.length == 0)
        continue;
      chunk->staged = STAGED_WRITING;
      c = stage_call_new (b, i);
      options = stage_options (c, on_written);
      platform_call_stage_put (w->client, b, w->settings->engine, b->model, i,
                               chunk->bytes, &options);
    }
}

/* -------- reading back -------- */

static void
on_read_back (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  StageCall *c = data;
  Bundle *b = c->bundle;
  ChunkCopy *chunk = &b->chunks[c->index];
  unsigned index = c->index;

  chunk->staged = STAGED_NOT;
  if (result->error == 0 && result->status == STATUS_OK
      && fetch_is_genuine (b, index, result->body))
    {
      chunk->staged = STAGED_SOUND;
      chunk->sound_ms = dl_clock_ms ();
      if (chunk->bytes.length == 0)
        weights_chunk_arrived (b, index, result->body);
    }
  b->working--;
  talloc_free (c);
  weights_run (b->owner);
}

static bool
is_sound (const ChunkCopy *chunk, uint64_t since_ms)
{
  return chunk->staged == STAGED_SOUND && chunk->sound_ms >= since_ms;
}

static bool
can_be_read (const ChunkCopy *chunk, uint64_t since_ms)
{
  return chunk->staged == STAGED_WRITTEN
         || (chunk->staged == STAGED_SOUND && chunk->sound_ms < since_ms);
}

bool
stage_check (Bundle *b, uint64_t since_ms)
{
  unsigned sound = 0;

  for (unsigned i = 0; i < b->count; i++)
    {
      ChunkCopy *chunk = &b->chunks[i];
      StageCall *c;
      DlHttpCallOptions options;

      sound += is_sound (chunk, since_ms);
      if (b->working >= STAGE_PARALLEL || !can_be_read (chunk, since_ms))
        continue;
      chunk->staged = STAGED_READING;
      c = stage_call_new (b, i);
      options = stage_options (c, on_read_back);
      platform_call_stage_get (b->owner->client, b, b->owner->settings->engine, b->model,
                               i, &options);
    }
  return sound == b->count;
}

/* -------- the order -------- */

static const char *
outcome_text (DlOrderOutcome outcome)
{
  switch (outcome)
    {
    case DL_ORDER_BEGUN:
      return "begun";
    case DL_ORDER_IN_EFFECT:
      return "already in effect";
    case DL_ORDER_CONFLICT:
      return "does not fit the engine's state";
    case DL_ORDER_FENCED:
      return "older than one seen";
    case DL_ORDER_INVALID:
      return "not known to the engine";
    case DL_ORDER_UNKNOWN:
      return "no answer";
    }
  return "";
}

static void
on_ordered (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  Weights *w = data;
  DlOrderOutcome outcome = platform_read_order (result);

  w->hold_staging_ms
      = outcome == DL_ORDER_UNKNOWN ? dl_clock_ms () + ORDER_UNKNOWN_HOLD_MS : 0;
  if (outcome == DL_ORDER_BEGUN || outcome == DL_ORDER_IN_EFFECT)
    dl_log (DL_EVENT_STAGE_ORDERED,
            DL_UINT ("version", w->bundle != NULL ? w->bundle->version : 0),
            DL_TEXT ("outcome", outcome_text (outcome)),
            DL_UINT ("named_ms_ago",
                     w->bundle != NULL ? dl_clock_ms () - w->bundle->named_ms : 0));
  else
    dl_log (DL_EVENT_STAGE_ORDER_REFUSED,
            DL_UINT ("version", w->bundle != NULL ? w->bundle->version : 0),
            DL_TEXT ("outcome", outcome_text (outcome)),
            DL_UINT ("status", result->status));
  if (w->phase == PHASE_ORDER)
    weights_enter (w, PHASE_LOAD);
  weights_run (w);
}

void
stage_order (Bundle *b, bool preempt)
{
  Weights *w = b->owner;

  w->hold_staging_ms = dl_clock_ms () + ORDER_TIMEOUT_MS + ORDER_UNKNOWN_HOLD_MS;
  weights_enter (w, PHASE_ORDER);
  platform_call_load (w->client, w, w->settings->engine, b->model, b->version, preempt,
                      &(DlHttpCallOptions){
                          .connect_timeout_ms = ORDER_TIMEOUT_MS,
                          .timeout_ms = ORDER_TIMEOUT_MS,
                          .single_use = true,
                          .on_done = on_ordered,
                          .data = w,
                      });
}
