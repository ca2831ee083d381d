/*
 * Writes and verifies the engine's staging area.
 */
#include <errno.h>
#include <glib.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"
#include "platform.h"
#include "weights.h"

#define STAGE_TIMEOUT_MS 1000
#define STAGE_CALLS_MAX  4
/* A write without a response stays open for this long, as it may land as long as its
 * connection lives. */
#define WRITE_OPEN_MAX_MS 10000
#define WRITES_OPEN_MAX   16
/* At an engine that takes too long to return all chunks for a proof of them. */
#define STAGE_CALLS_SLOW_MAX 16
#define CHUNK_MAX_BYTES      (1u << 20)
#define STATUS_OK            200
#define STATUS_NO_CONTENT    204
#define STATUS_CREATED       201
#define STATUS_NOT_FOUND     404

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
stage_options (void *data,
               void (*on_done) (DlHttpCall *call, const DlHttpResult *result, void *data))
{
  return (DlHttpCallOptions){
    .connect_timeout_ms = STAGE_TIMEOUT_MS,
    .timeout_ms = STAGE_TIMEOUT_MS,
    .max_body_bytes = CHUNK_MAX_BYTES,
    .on_done = on_done,
    .data = data,
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

/* A write that is open.  A child of the task's state, as it may outlive its staging. */
struct StageWrite
{
  Weights *owner;
  StageCall *call; /* NULL once it was given up */
  uint64_t sent_ms;
  DlTimer *timer; /* until it is given up */
  StageWrite *next;
};

static int
write_destroy (StageWrite *write)
{
  StageWrite **at = &write->owner->writes;

  while (*at != write)
    at = &(*at)->next;
  *at = write->next;
  dl_load_proof_write_ended (&write->owner->proof);
  return 0;
}

/* It may still land. */
static void
write_give_up (StageWrite *write)
{
  StageCall *c = write->call;

  write->call = NULL;
  talloc_free (write->timer);
  c->staging->copies[c->index].state = STAGED_ABSENT;
  dl_load_proof_write_lost (&write->owner->proof, write->sent_ms);
  end_call (c, &(DlHttpResult){ .error = -ETIMEDOUT }, true);
}

static void
on_write_late (DlTimer *timer, void *data)
{
  StageWrite *write = data;

  write_give_up (write);
  weights_run (write->owner);
}

void
stage_give_up_writes (Staging *s)
{
  for (StageWrite *write = s->owner->writes; write != NULL; write = write->next)
    if (write->call != NULL && write->call->staging == s)
      write_give_up (write);
}

static void
on_written (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  StageWrite *write = data;
  Weights *w = write->owner;
  StageCall *c = write->call;
  bool done = result->error == 0
              && (result->status == STATUS_OK || result->status == STATUS_CREATED
                  || result->status == STATUS_NO_CONTENT);

  if (c != NULL)
    {
      c->staging->copies[c->index].state = done ? STAGED_WRITTEN : STAGED_ABSENT;
      if (result->error != 0 && result->sent)
        dl_load_proof_write_lost (&w->proof, write->sent_ms);
      end_call (c, result, !done);
    }
  talloc_free (write);
  weights_run (w);
}

static void
write_chunk (Staging *s, unsigned index)
{
  Weights *w = s->owner;
  const DlBundle *b = s->bundle;
  StageWrite *write = talloc_zero (w, StageWrite);
  DlHttpCallOptions options;

  s->copies[index].state = STAGED_WRITING;
  dl_load_proof_write_sent (&w->proof, b->version);
  write->owner = w;
  write->call = stage_call_new (s, index);
  write->sent_ms = write->call->sent_ms;
  write->timer
      = dl_timer_subscribe (w->task, write, STAGE_TIMEOUT_MS, 0, on_write_late, write);
  write->next = w->writes;
  w->writes = write;
  talloc_set_destructor (write, write_destroy);
  options = stage_options (write, on_written);
  options.timeout_ms = WRITE_OPEN_MAX_MS;
  platform_call_stage_put (w->client, w, w->settings->engine, b->model, index,
                           b->chunks[index], &options);
}

void
stage_write (Staging *s)
{
  Weights *w = s->owner;
  const DlBundle *b = s->bundle;
  uint64_t now_ms = dl_clock_ms ();

  if (now_ms < w->staging_blocked_until_ms || !dl_backoff_allows (&s->failures, now_ms)
      || !load_allows_writes (w))
    return;
  for (unsigned i = 0; i < b->count && s->calls < STAGE_CALLS_MAX
                       && w->proof.open_writes < WRITES_OPEN_MAX;
       i++)
    if (s->copies[i].state == STAGED_ABSENT && b->chunks[i].length > 0)
      write_chunk (s, i);
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
  bool failed = !returned && result->status != STATUS_NOT_FOUND;
  /* A read that failed does not show that the chunk is bad.  Recovery ends all the same,
   * so that the chunks are fetched meanwhile. */
  bool keeps = failed && (s->owner->checking || s->owner->phase != PHASE_RECOVER);

  s->copies[index].state = keeps ? STAGED_WRITTEN : STAGED_ABSENT;
  if (returned && dl_bundle_verify_chunk (b, index, result->body))
    {
      s->copies[index].state = STAGED_VERIFIED;
      s->copies[index].read_ms = c->sent_ms;
      if (b->chunks[index].length == 0)
        dl_bundle_add_chunk (b, index, result->body);
    }
  end_call (c, result, failed);
  weights_run (s->owner);
}

static bool
is_verified (const StagedCopy *copy, uint64_t since_ms)
{
  return copy->state == STAGED_VERIFIED && copy->read_ms >= since_ms;
}

static bool
needs_read_back (const StagedCopy *copy, uint64_t since_ms)
{
  return copy->state == STAGED_WRITTEN
         || (copy->state == STAGED_VERIFIED && copy->read_ms < since_ms);
}

/* How many reads may be in progress. */
static unsigned
reads_max (const Weights *w)
{
  bool is_slow = w->phase == PHASE_DRAIN
                 && dl_clock_ms () - w->phase_ms > DL_LOAD_PROOF_MAX_AGE_MS;

  return is_slow ? STAGE_CALLS_SLOW_MAX : STAGE_CALLS_MAX;
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
      if (!may_call || s->calls >= reads_max (w) || !needs_read_back (copy, since_ms))
        continue;
      copy->state = STAGED_READING;
      c = stage_call_new (s, i);
      options = stage_options (c, on_read_back);
      platform_call_stage_get (w->client, s, w->settings->engine, s->bundle->model, i,
                               &options);
    }
  return verified == s->bundle->count;
}
