/*
 * Task "weights": decides which version the engine is to serve, and the next step to it.
 */
#include "weights.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/log.h"
#include "platform.h"
#include "policy/reload_schedule.h"

#define TICK_MS 30
/* The chunks of a version that the engine has served for this long are freed. */
#define DROP_CHUNKS_MS 2500
/* An incomplete version of which nothing arrived for this long is replaced by a newer
 * one. */
#define STALLED_MS 1500
/* A load command that has no effect is retried after this. */
#define LOAD_RETRY_MS 700
/* Time before the load command in which entries learn to send no new requests. */
#define DRAIN_NOTICE_MS 60
/* Live responses share the host's link with the chunks served to other nodes. */
#define UPLOADS_MAX 1

void
weights_set_phase (Weights *w, Phase phase)
{
  w->phase = phase;
  w->chunks_dropped = false;
  w->phase_ms = dl_clock_ms ();
}

/* -------- messages to the other tasks -------- */

static StageEngineUse
engine_use (const Weights *w)
{
  return (StageEngineUse){
    .out_of_use = w->out_of_use || w->proof.state == DL_WEIGHTS_SPOILT,
    .sound = w->proof.known && w->proof.state == DL_WEIGHTS_SOUND,
    .started_ms = w->proof.started_ms,
    .loads = w->proof.loads,
  };
}

static void
publish_status (Weights *w, bool changed)
{
  StageMessage *m = stage_message_new (STAGE_WEIGHTS);
  DlHolder own = { .holdings = dl_chunk_cache_holdings (w->cache) };

  w->told = engine_use (w);
  m->weights.use = w->told;
  m->weights.changed = changed;
  m->weights.holdings = dl_holder_copy (m, &own).holdings;
  dl_kernel_publish (dl_task_kernel (w->task), m);
}

static void
publish_use_if_changed (Weights *w)
{
  StageEngineUse use = engine_use (w);

  if (use.out_of_use != w->told.out_of_use || use.sound != w->told.sound
      || use.started_ms != w->told.started_ms || use.loads != w->told.loads)
    publish_status (w, false);
}

/* -------- which version to load -------- */

/* True when the engine serves B's version or a newer one. */
static bool
is_served (const Weights *w, const DlBundle *b)
{
  return w->engine_known && b->version > 0 && w->engine.version >= b->version;
}

static int
staging_destroy (Staging *s)
{
  stage_give_up_writes (s);
  dl_bundle_close (s->bundle);
  return 0;
}

/* Makes B the current version; closes the one before it. */
static void
set_current (Weights *w, DlBundle *b, uint64_t limit_start_ms)
{
  talloc_free (w->staging);
  w->staging = talloc_zero (w, Staging);
  g_assert (w->staging != NULL);
  w->staging->owner = w;
  w->staging->bundle = b;
  w->staging->limit_start_ms = limit_start_ms;
  talloc_set_destructor (w->staging, staging_destroy);
  w->out_of_use = false;
  w->checking = false;
  weights_set_phase (w, w->recovered ? PHASE_FETCH : PHASE_RECOVER);
}

/* Replaces the current version by the newer one.  The newer one keeps the earlier time
 * limit when the engine never served the current one. */
static void
promote_next (Weights *w)
{
  DlBundle *b = w->next;
  uint64_t limit_start_ms = w->next_limit_start_ms;

  if (!is_served (w, w->staging->bundle))
    limit_start_ms = MIN (limit_start_ms, w->staging->limit_start_ms);
  w->next = NULL;
  set_current (w, b, limit_start_ms);
}

static void
set_next (Weights *w, const StageMessage *m)
{
  uint64_t limit_start_ms = m->target.announced_ms;

  if (w->next != NULL)
    {
      limit_start_ms = MIN (limit_start_ms, w->next_limit_start_ms);
      dl_bundle_close (w->next);
    }
  w->next = dl_bundle_open (w->cache, m->target.model, m->target.version,
                            m->target.announced_ms);
  w->next_limit_start_ms = limit_start_ms;
}

/* Another node knows better when the version of B was announced. */
static void
update_announced_ms (Weights *w, DlBundle *b, uint64_t announced_ms)
{
  uint64_t *limit_start_ms
      = b == w->next ? &w->next_limit_start_ms : &w->staging->limit_start_ms;

  if (*limit_start_ms == b->announced_ms)
    *limit_start_ms = announced_ms;
  b->announced_ms = announced_ms;
}

static void
handle_target (Weights *w, const StageMessage *m)
{
  DlBundle *known = dl_chunk_cache_find (w->cache, m->target.model, m->target.version);

  if (known != NULL)
    update_announced_ms (w, known, m->target.announced_ms);
  else if (w->staging != NULL)
    set_next (w, m);
  else
    set_current (w,
                 dl_bundle_open (w->cache, m->target.model, m->target.version,
                                 m->target.announced_ms),
                 m->target.announced_ms);
}

static void
handle_source (Weights *w, const StageMessage *m)
{
  dl_chunk_cache_set_source (w->cache, &m->source);
  talloc_free (w->default_model);
  w->default_model = talloc_strdup (w, m->source.model);
}

/* -------- steps -------- */

static void
add_stager (const DlHolder *holder, void *data)
{
  if (!holder->is_hub)
    g_ptr_array_add (data, (gpointer)holder->name);
}

static bool
is_turn (const Weights *w)
{
  g_autoptr (GPtrArray) others = g_ptr_array_new ();
  DlReloadSchedule schedule;

  dl_chunk_cache_foreach_holder (w->cache, add_stager, others);
  schedule = (DlReloadSchedule){
    .host = w->settings->name,
    .others = (const char *const *)others->pdata,
    .other_count = others->len,
    .model = w->staging->bundle->model,
    .version = w->staging->bundle->version,
    .announced_ms = w->staging->limit_start_ms,
    .limit_ms = w->settings->version_ms,
    .is_unloaded = w->engine.version == 0 || w->proof.state == DL_WEIGHTS_SPOILT,
  };
  return dl_clock_ms () >= dl_reload_start_ms (&schedule);
}

/* True when no chunk waits to be read back or is being read back. */
static bool
is_read_back (const Staging *s)
{
  for (unsigned i = 0; i < s->bundle->count; i++)
    if (s->copies[i].state == STAGED_WRITTEN || s->copies[i].state == STAGED_READING)
      return false;
  return true;
}

/* Marks every chunk as written, so that reading them back shows which are staged. */
static void
begin_recovery (Staging *s)
{
  for (unsigned i = 0; i < s->bundle->count; i++)
    s->copies[i].state = STAGED_WRITTEN;
  s->owner->recovered = true;
}

static void
run_idle (Weights *w)
{
  if (w->default_model != NULL && w->no_target)
    set_current (w, dl_bundle_open (w->cache, w->default_model, 0, dl_clock_ms ()),
                 dl_clock_ms ());
}

/* Allocates the copies.  Returns false when the manifest has not arrived yet. */
static bool
prepare_copies (Staging *s)
{
  if (s->copies == NULL && s->bundle->count > 0)
    s->copies = talloc_zero_array (s, StagedCopy, s->bundle->count);
  return s->copies != NULL;
}

static void
run_recover (Weights *w)
{
  Staging *s = w->staging;

  if (!prepare_copies (s))
    {
      dl_bundle_start_fetches (s->bundle);
      return;
    }
  if (!w->recovered)
    begin_recovery (s);
  stage_verify (s, 0);
  if (is_read_back (s))
    weights_set_phase (w, PHASE_FETCH);
}

/* True when a chunk that was staged is not in memory: it is read back, not fetched. */
static bool
needs_recovery (const Staging *s)
{
  for (unsigned i = 0; i < s->bundle->count; i++)
    if ((s->copies[i].state == STAGED_VERIFIED || s->copies[i].state == STAGED_WRITTEN)
        && s->bundle->chunks[i].length == 0)
      return true;
  return false;
}

void
weights_mark_unverified (Staging *s)
{
  for (unsigned i = 0; i < s->bundle->count; i++)
    if (s->copies[i].state == STAGED_VERIFIED)
      s->copies[i].state = STAGED_WRITTEN;
}

static void
run_fetch (Weights *w)
{
  if (!prepare_copies (w->staging))
    {
      dl_bundle_start_fetches (w->staging->bundle);
      return;
    }
  if (needs_recovery (w->staging))
    {
      weights_mark_unverified (w->staging);
      weights_set_phase (w, PHASE_RECOVER);
      return;
    }
  dl_bundle_start_fetches (w->staging->bundle);
  stage_write (w->staging);
  if (dl_bundle_is_complete (w->staging->bundle))
    weights_set_phase (w, PHASE_WAIT);
}

/* True while a chunk is missing that may not be written now: the engine is not drained
 * for that. */
static bool
cannot_be_staged (const Weights *w)
{
  const Staging *s = w->staging;

  for (unsigned i = 0; i < s->bundle->count; i++)
    if (s->copies[i].state == STAGED_ABSENT)
      return !load_allows_writes (w);
  return false;
}

static void
run_wait (Weights *w)
{
  stage_write (w->staging);
  if (is_served (w, w->staging->bundle))
    {
      if (w->proof.state == DL_WEIGHTS_SOUND || !load_engine_has_current (w))
        weights_set_phase (w, PHASE_DONE);
      return;
    }
  if (!w->engine_known || w->engine.busy || w->is_evacuated || !is_turn (w)
      || cannot_be_staged (w))
    return;
  w->out_of_use = true;
  publish_use_if_changed (w);
  weights_set_phase (w, PHASE_DRAIN);
}

static void
run_drain (Weights *w)
{
  uint64_t now_ms = dl_clock_ms ();
  bool verified;

  stage_write (w->staging);
  /* The host may have lost power since the last check, and staged chunks with it. */
  verified = stage_verify (w->staging, dl_load_proof_reads_from_ms (w->phase_ms, now_ms));
  if (verified && now_ms >= w->phase_ms + DRAIN_NOTICE_MS
      && dl_reload_is_drained (w->phase_ms, w->engine.running, now_ms))
    load_send_command (w, w->engine.running > 0);
}

static void
run_loading (Weights *w)
{
  const DlBundle *b = w->staging->bundle;

  load_check (w);
  if (is_served (w, b) && !w->engine.busy
      && (w->proof.state == DL_WEIGHTS_SOUND || !load_engine_has_current (w)))
    {
      dl_log (DL_EVENT_STAGE_IN_FORCE, DL_TEXT ("engine", w->settings->engine),
              DL_UINT ("version", b->version),
              DL_UINT ("named_ms_ago", dl_clock_ms () - b->announced_ms));
      w->out_of_use = false;
      weights_set_phase (w, PHASE_DONE);
    }
  else if (!w->engine.busy && !is_served (w, b)
           && (w->proof.state != DL_WEIGHTS_UNCHECKED || load_engine_has_other (w))
           && dl_clock_ms () - w->phase_ms >= LOAD_RETRY_MS)
    weights_set_phase (w, PHASE_DRAIN);
}

/* Once the engine has no weights any more, the sound chunks are staged and loaded. */
static void
run_unload (Weights *w)
{
  if (w->proof.state == DL_WEIGHTS_SOUND)
    weights_set_phase (w, PHASE_FETCH);
  else if (!w->engine.busy)
    load_send_unload (w);
}

/* Begins again when the engine has restarted without weights.  Otherwise frees the chunks
 * after a while: the staging area and the hubs have them as well. */
static void
run_done (Weights *w)
{
  if (w->engine_known && !is_served (w, w->staging->bundle))
    weights_set_phase (w, PHASE_FETCH);
  else if (!w->chunks_dropped && dl_clock_ms () - w->phase_ms >= DROP_CHUNKS_MS)
    {
      dl_bundle_drop_chunks (w->staging->bundle);
      w->chunks_dropped = true;
    }
}

/* Leaves the current phase when the engine is found to have weights that are spoilt, or
 * that are to be checked. */
static void
act_on_proof (Weights *w)
{
  if (w->staging == NULL || w->proof.awaited)
    return;
  if (w->proof.state == DL_WEIGHTS_SPOILT && is_served (w, w->staging->bundle)
      && w->phase != PHASE_UNLOAD)
    weights_set_phase (w, PHASE_UNLOAD);
  else if (w->proof.state == DL_WEIGHTS_UNCHECKED && load_engine_has_current (w)
           && (w->phase == PHASE_WAIT || w->phase == PHASE_DRAIN
               || w->phase == PHASE_DONE))
    weights_set_phase (w, PHASE_LOADING);
}

static void
run_current (Weights *w)
{
  switch (w->phase)
    {
    case PHASE_IDLE:
      run_idle (w);
      break;
    case PHASE_RECOVER:
      run_recover (w);
      break;
    case PHASE_FETCH:
      run_fetch (w);
      break;
    case PHASE_WAIT:
      run_wait (w);
      break;
    case PHASE_DRAIN:
      run_drain (w);
      break;
    case PHASE_LOAD_COMMAND:
      break;
    case PHASE_LOADING:
      run_loading (w);
      break;
    case PHASE_UNLOAD:
      run_unload (w);
      break;
    case PHASE_DONE:
      run_done (w);
      break;
    }
}

/* True when nothing of the current, incomplete version has arrived for long. */
static bool
is_stalled (const Weights *w)
{
  const DlBundle *b = w->staging->bundle;

  return !dl_bundle_is_complete (b) && dl_clock_ms () - b->progress_ms >= STALLED_MS;
}

/* True when the newer version was announced so soon that it replaces the current one,
 * unless that is complete. */
static bool
is_superseded (const Weights *w)
{
  return !dl_bundle_is_complete (w->staging->bundle)
         && dl_reload_skips_version (w->staging->limit_start_ms, w->next->announced_ms);
}

/* True when the engine is not being drained for the current version or loading it. */
static bool
may_promote (const Weights *w)
{
  return w->phase != PHASE_DRAIN && w->phase != PHASE_LOAD_COMMAND
         && w->phase != PHASE_LOADING;
}

/* Fetches the newer version once the current one is complete.  Promotes the newer one
 * when it is complete, or when the current one is done, stalled or superseded. */
static void
run_next (Weights *w)
{
  if (w->next == NULL)
    return;
  if (may_promote (w)
      && (dl_bundle_is_complete (w->next) || w->phase == PHASE_DONE || is_stalled (w)
          || is_superseded (w)))
    promote_next (w);
  else if (dl_bundle_is_complete (w->staging->bundle))
    dl_bundle_start_fetches (w->next);
}

/* A stop waits until it is known whether what the engine has taken is sound. */
static void
end_drain_if_proven (Weights *w)
{
  bool is_checking = w->proof.state == DL_WEIGHTS_UNCHECKED && w->phase == PHASE_LOADING;

  if (!w->draining || w->drained || w->proof.awaited || is_checking)
    return;
  w->drained = true;
  dl_task_drained (w->task);
}

void
weights_run (Weights *w)
{
  act_on_proof (w);
  run_current (w);
  run_next (w);
  publish_use_if_changed (w);
  end_drain_if_proven (w);
}

static void
on_progress (void *data)
{
  weights_run (data);
}

static void
on_tick (DlTimer *timer, void *data)
{
  Weights *w = data;

  dl_chunk_cache_expire_holders (w->cache);
  weights_run (w);
  if (dl_chunk_cache_clear_changed (w->cache))
    publish_status (w, true);
}

/* -------- the task -------- */

/* True when a change of what another node holds may be what the current step waits for.
 */
static bool
waits_for_chunks (const Weights *w)
{
  return w->phase == PHASE_RECOVER || w->phase == PHASE_FETCH || w->next != NULL;
}

static void
handle (DlTask *task, const DlMessage *head)
{
  Weights *w = dl_task_state (task);
  const StageMessage *m = (const StageMessage *)head;

  switch ((StageMessageType)head->type)
    {
    case STAGE_SOURCE:
      handle_source (w, m);
      break;
    case STAGE_TARGET:
      handle_target (w, m);
      break;
    case STAGE_NO_TARGET:
      w->no_target = true;
      break;
    case STAGE_HOLDER:
      dl_chunk_cache_set_holder (w->cache, &m->holder);
      if (!waits_for_chunks (w))
        return;
      break;
    case STAGE_NODE_REMOVED:
      dl_chunk_cache_remove_holder (w->cache, m->removed_node);
      break;
    case STAGE_ENGINE_REPORT:
      load_handle_report (w, &m->report);
      break;
    case STAGE_ENGINE_SILENT:
      w->engine_known = false;
      break;
    case STAGE_RECORD:
      dl_load_proof_recorded (&w->proof, &m->record);
      break;
    case STAGE_EVACUATION:
      w->is_evacuated = m->is_evacuated;
      break;
    case STAGE_WEIGHTS:
      break;
    }
  weights_run (w);
}

static int
start (DlTask *task)
{
  Weights *w = talloc_zero (NULL, Weights);

  dl_task_set_state (task, w);
  w->task = task;
  w->settings = stage_settings (task);
  w->is_evacuated = w->settings->evacuate_ms > 0;
  w->client = dl_http_client_new (task, w);
  weights_set_phase (w, PHASE_IDLE);
  dl_timer_subscribe (task, w, TICK_MS, TICK_MS, on_tick, w);
  return dl_chunk_cache_new (task, w,
                             &(DlChunkCacheOptions){
                                 .settings = w->settings,
                                 .origin = &platform_origin_calls,
                                 .uploads_max = UPLOADS_MAX,
                                 .on_progress = on_progress,
                                 .data = w,
                             },
                             &w->cache);
}

static void
drain (DlTask *task)
{
  Weights *w = dl_task_state (task);

  w->draining = true;
  weights_run (w);
}

static json_object *
dump (DlTask *task)
{
  static const char *const phases[] = {
    [PHASE_IDLE] = "idle",    [PHASE_RECOVER] = "recover", [PHASE_FETCH] = "fetch",
    [PHASE_WAIT] = "wait",    [PHASE_DRAIN] = "empty",     [PHASE_LOAD_COMMAND] = "order",
    [PHASE_LOADING] = "load", [PHASE_UNLOAD] = "unload",   [PHASE_DONE] = "done",
  };
  const Weights *w = dl_task_state (task);
  json_object *object = json_object_new_object ();

  json_object_object_add (object, "phase", json_object_new_string (phases[w->phase]));
  json_object_object_add (object, "engine_version",
                          json_object_new_uint64 (w->engine.version));
  if (w->staging != NULL && w->staging->bundle->plan != NULL)
    {
      const DlBundle *b = w->staging->bundle;

      json_object_object_add (object, "version", json_object_new_uint64 (b->version));
      json_object_object_add (object, "missing",
                              json_object_new_int ((int)dl_fetch_plan_missing (b->plan)));
    }
  return object;
}

#define MESSAGE(type) (UINT64_C (1) << (type))

static DlPlugin weights_plugin = {
  .name = "weights",
  .order = 20,
  .subscriptions = MESSAGE (STAGE_SOURCE) | MESSAGE (STAGE_TARGET)
                   | MESSAGE (STAGE_NO_TARGET) | MESSAGE (STAGE_HOLDER)
                   | MESSAGE (STAGE_NODE_REMOVED) | MESSAGE (STAGE_ENGINE_REPORT)
                   | MESSAGE (STAGE_ENGINE_SILENT) | MESSAGE (STAGE_RECORD)
                   | MESSAGE (STAGE_EVACUATION),
  .start = start,
  .handle = handle,
  .drain = drain,
  .dump = dump,
};
DL_PLUGIN_REGISTER (weights_plugin)
