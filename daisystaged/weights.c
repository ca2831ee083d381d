/*
 * Task "weights": what the engine is to serve, and the next step towards it.
 */
#include "weights.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/log.h"
#include "platform.h"
#include "policy/reload_schedule.h"

#define TICK_MS 30
/* A version that is in force for this long is not held in memory any more. */
#define FORGET_MS 2500
/* A version of which nothing came for this long gives way to a newer one. */
#define STUCK_MS 1500
/* What was read back sound before this is read again before an order. */
#define SOUND_MAX_AGE_MS 1800
/* An order that shows no effect is given again after this. */
#define LOAD_RETRY_MS 700
/* Entries hear that no more requests may come before the order goes out. */
#define TELL_AHEAD_MS 60
/* Live answers share the host's link with what is given out. */
#define UPLOADS_MAX 1

void
weights_enter (Weights *w, Phase phase)
{
  w->phase = phase;
  w->forgotten = false;
  w->phase_ms = dl_clock_ms ();
}

/* -------- telling the other tasks -------- */

static void
tell_holding (Weights *w, bool changed)
{
  StageMessage *m = stage_message_new (STAGE_HOLDING);
  DlHolder own = { .holdings = dl_depot_holdings (w->depot) };

  m->holding.loading = w->told_loading;
  m->holding.changed = changed;
  m->holding.holdings = dl_holder_copy (m, &own).holdings;
  dl_kernel_publish (dl_task_kernel (w->task), m);
}

static void
set_loading (Weights *w, bool loading)
{
  if (w->told_loading == loading)
    return;
  w->told_loading = loading;
  tell_holding (w, false);
}

/* -------- what to bring -------- */

/* True when the engine serves the bundle's version or a newer one. */
static bool
is_in_force (const Weights *w, const DlBundle *b)
{
  return w->engine_known && b->version > 0 && w->engine.version >= b->version;
}

static int
staging_destroy (Staging *s)
{
  dl_bundle_close (s->bundle);
  return 0;
}

/* The bundle becomes the present one. */
static void
set_present (Weights *w, DlBundle *b, uint64_t due_from_ms)
{
  talloc_free (w->staging);
  w->staging = talloc_zero (w, Staging);
  g_assert (w->staging != NULL);
  w->staging->owner = w;
  w->staging->bundle = b;
  w->staging->due_from_ms = due_from_ms;
  talloc_set_destructor (w->staging, staging_destroy);
  set_loading (w, false);
  weights_enter (w, w->recovered ? PHASE_FETCH : PHASE_RECOVER);
}

/* The newer version takes the place of the present one, and its time too when that never
 * came into force. */
static void
promote_next (Weights *w)
{
  DlBundle *b = w->next;
  uint64_t due_from_ms = w->next_due_from_ms;

  if (!is_in_force (w, w->staging->bundle))
    due_from_ms = MIN (due_from_ms, w->staging->due_from_ms);
  w->next = NULL;
  set_present (w, b, due_from_ms);
}

static void
set_next (Weights *w, const StageMessage *m)
{
  uint64_t due_from_ms = m->named.named_ms;

  if (w->next != NULL)
    {
      due_from_ms = MIN (due_from_ms, w->next_due_from_ms);
      dl_bundle_close (w->next);
    }
  w->next
      = dl_bundle_open (w->depot, m->named.model, m->named.version, m->named.named_ms);
  w->next_due_from_ms = due_from_ms;
}

/* Other nodes know better when the version was named. */
static void
set_named_ms (Weights *w, DlBundle *b, uint64_t named_ms)
{
  uint64_t *due_from_ms = b == w->next ? &w->next_due_from_ms : &w->staging->due_from_ms;

  if (*due_from_ms == b->named_ms)
    *due_from_ms = named_ms;
  b->named_ms = named_ms;
}

static void
take_named (Weights *w, const StageMessage *m)
{
  DlBundle *known = dl_depot_find (w->depot, m->named.model, m->named.version);

  if (known != NULL)
    set_named_ms (w, known, m->named.named_ms);
  else if (w->staging != NULL)
    set_next (w, m);
  else
    set_present (w,
                 dl_bundle_open (w->depot, m->named.model, m->named.version,
                                 m->named.named_ms),
                 m->named.named_ms);
}

static void
take_source (Weights *w, const StageMessage *m)
{
  dl_depot_set_source (w->depot, &m->source);
  talloc_free (w->default_model);
  w->default_model = talloc_strdup (w, m->source.model);
}

static void
take_report (Weights *w, const DlEngineReport *report)
{
  Staging *s = w->staging;

  if (w->engine_known && report->born_ms != w->engine.born_ms && s != NULL
      && s->copies != NULL)
    /* The engine started anew; what was staged may be gone with its host's power. */
    for (unsigned i = 0; i < s->bundle->count; i++)
      if (s->copies[i].state == STAGED_SOUND)
        s->copies[i].state = STAGED_WRITTEN;
  w->engine_known = true;
  w->engine = *report;
  w->engine.model = NULL; /* it ends with the message */
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

  dl_depot_each_holder (w->depot, add_stager, others);
  schedule = (DlReloadSchedule){
    .host = w->settings->name,
    .others = (const char *const *)others->pdata,
    .other_count = others->len,
    .model = w->staging->bundle->model,
    .version = w->staging->bundle->version,
    .announced_ms = w->staging->due_from_ms,
    .limit_ms = w->settings->version_ms,
    .is_unloaded = w->engine.version == 0,
  };
  return dl_clock_ms () >= dl_reload_start_ms (&schedule);
}

/* All chunks have been looked for beside the engine. */
static bool
is_looked_through (const Staging *s)
{
  for (unsigned i = 0; i < s->bundle->count; i++)
    if (s->copies[i].state == STAGED_WRITTEN || s->copies[i].state == STAGED_READING)
      return false;
  return true;
}

/* Takes every chunk for staged, so that reading them back shows which are. */
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
  if (w->default_model != NULL && w->unnamed)
    set_present (w, dl_bundle_open (w->depot, w->default_model, 0, dl_clock_ms ()),
                 dl_clock_ms ());
}

/* The manifest may not be here yet; false then. */
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
      dl_bundle_run (s->bundle);
      return;
    }
  if (!w->recovered)
    begin_recovery (s);
  stage_check (s, 0);
  if (is_looked_through (s))
    weights_enter (w, PHASE_FETCH);
}

/* What was staged before and is not in memory is looked through first. */
static bool
must_look_through (const Staging *s)
{
  for (unsigned i = 0; i < s->bundle->count; i++)
    if (s->copies[i].state == STAGED_SOUND && s->bundle->chunks[i].length == 0)
      return true;
  return false;
}

static void
look_through_again (Staging *s)
{
  for (unsigned i = 0; i < s->bundle->count; i++)
    if (s->copies[i].state == STAGED_SOUND)
      s->copies[i].state = STAGED_WRITTEN;
}

static void
run_fetch (Weights *w)
{
  if (!prepare_copies (w->staging))
    {
      dl_bundle_run (w->staging->bundle);
      return;
    }
  if (must_look_through (w->staging))
    {
      look_through_again (w->staging);
      weights_enter (w, PHASE_RECOVER);
      return;
    }
  dl_bundle_run (w->staging->bundle);
  stage_write (w->staging);
  if (dl_bundle_is_whole (w->staging->bundle))
    weights_enter (w, PHASE_WAIT);
}

static void
run_wait (Weights *w)
{
  stage_write (w->staging);
  if (is_in_force (w, w->staging->bundle))
    {
      weights_enter (w, PHASE_DONE);
      return;
    }
  if (!w->engine_known || w->engine.busy || !is_turn (w))
    return;
  set_loading (w, true);
  weights_enter (w, PHASE_EMPTY);
}

static void
run_empty (Weights *w)
{
  uint64_t now_ms = dl_clock_ms ();
  uint64_t oldest_ms = now_ms > SOUND_MAX_AGE_MS ? now_ms - SOUND_MAX_AGE_MS : 0;
  bool sound;

  stage_write (w->staging);
  /* The host may have lost power since the last look, and the staged chunks with it. */
  sound = stage_check (w->staging, MAX (oldest_ms, w->phase_ms));
  if (sound && now_ms >= w->phase_ms + TELL_AHEAD_MS
      && dl_reload_is_drained (w->phase_ms, w->engine.running, now_ms))
    stage_order (w->staging, w->engine.running > 0);
}

static void
run_load (Weights *w)
{
  const DlBundle *b = w->staging->bundle;

  if (is_in_force (w, b) && !w->engine.busy)
    {
      dl_log (DL_EVENT_STAGE_IN_FORCE, DL_TEXT ("engine", w->settings->engine),
              DL_UINT ("version", b->version),
              DL_UINT ("named_ms_ago", dl_clock_ms () - b->named_ms));
      set_loading (w, false);
      weights_enter (w, PHASE_DONE);
    }
  else if (!w->engine.busy && dl_clock_ms () - w->phase_ms >= LOAD_RETRY_MS)
    weights_enter (w, PHASE_EMPTY);
}

/* The engine may have started anew, without weights.  The chunks lie in the staging area
 * and at the hubs; another copy here is memory for nothing. */
static void
run_done (Weights *w)
{
  if (w->engine_known && !is_in_force (w, w->staging->bundle))
    weights_enter (w, PHASE_FETCH);
  else if (!w->forgotten && dl_clock_ms () - w->phase_ms >= FORGET_MS)
    {
      dl_bundle_forget_chunks (w->staging->bundle);
      w->forgotten = true;
    }
}

static void
run_present (Weights *w)
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
    case PHASE_EMPTY:
      run_empty (w);
      break;
    case PHASE_ORDER:
      break;
    case PHASE_LOAD:
      run_load (w);
      break;
    case PHASE_DONE:
      run_done (w);
      break;
    }
}

/* True when nothing of the present version has come for long. */
static bool
is_stuck (const Weights *w)
{
  const DlBundle *b = w->staging->bundle;

  return !dl_bundle_is_whole (b) && dl_clock_ms () - b->progress_ms >= STUCK_MS;
}

/* True when the newer version comes soon enough to take the place of the present one. */
static bool
is_skipped (const Weights *w)
{
  return !dl_bundle_is_whole (w->staging->bundle)
         && dl_reload_skips_version (w->staging->due_from_ms, w->next->named_ms);
}

/* True when the engine is not being given the present version right now. */
static bool
may_promote (const Weights *w)
{
  return w->phase != PHASE_EMPTY && w->phase != PHASE_ORDER && w->phase != PHASE_LOAD;
}

/* The newer version is fetched once the present one is whole, or cannot be had. */
static void
run_next (Weights *w)
{
  if (w->next == NULL)
    return;
  if (may_promote (w)
      && (dl_bundle_is_whole (w->next) || w->phase == PHASE_DONE || is_stuck (w)
          || is_skipped (w)))
    promote_next (w);
  else if (dl_bundle_is_whole (w->staging->bundle))
    dl_bundle_run (w->next);
}

void
weights_run (Weights *w)
{
  run_present (w);
  run_next (w);
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

  dl_depot_drop_silent (w->depot);
  weights_run (w);
  if (dl_depot_take_changed (w->depot))
    tell_holding (w, true);
}

/* -------- the task -------- */

static void
handle (DlTask *task, const DlMessage *head)
{
  Weights *w = dl_task_state (task);
  const StageMessage *m = (const StageMessage *)head;

  switch ((StageMessageType)head->type)
    {
    case STAGE_SOURCE:
      take_source (w, m);
      break;
    case STAGE_NAMED:
      take_named (w, m);
      break;
    case STAGE_UNNAMED:
      w->unnamed = true;
      break;
    case STAGE_HOLDER:
      dl_depot_set_holder (w->depot, &m->holder);
      break;
    case STAGE_GONE:
      dl_depot_remove_holder (w->depot, m->gone);
      break;
    case STAGE_REPORT:
      take_report (w, &m->report);
      break;
    case STAGE_SILENT:
      w->engine_known = false;
      break;
    case STAGE_HOLDING:
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
  w->client = dl_http_client_new (task, w);
  weights_enter (w, PHASE_IDLE);
  dl_timer_subscribe (task, w, TICK_MS, TICK_MS, on_tick, w);
  return dl_depot_new (task, w,
                       &(DlDepotOptions){
                           .settings = w->settings,
                           .origin = &platform_origin_calls,
                           .uploads_max = UPLOADS_MAX,
                           .on_progress = on_progress,
                           .data = w,
                       },
                       &w->depot);
}

static json_object *
dump (DlTask *task)
{
  static const char *const phases[]
      = { "idle", "recover", "fetch", "wait", "empty", "order", "load", "done" };
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
  .subscriptions = MESSAGE (STAGE_SOURCE) | MESSAGE (STAGE_NAMED)
                   | MESSAGE (STAGE_UNNAMED) | MESSAGE (STAGE_HOLDER)
                   | MESSAGE (STAGE_GONE) | MESSAGE (STAGE_REPORT)
                   | MESSAGE (STAGE_SILENT),
  .start = start,
  .handle = handle,
  .dump = dump,
};
DL_PLUGIN_REGISTER (weights_plugin)
