/*
 * Task "weights": what the engine is to serve, and the next step towards it.
 */
#include "weights.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/log.h"
#include "policy/reload_turn.h"

#define TICK_MS           50
#define MANIFEST_RETRY_MS 400
#define NEIGHBOUR_SILENT_MS 3000
/* Nothing was named: the engine's default is brought only after this wait for a name. */
#define DEFAULT_WAIT_MS 1500
/* What was read back sound before this is read again before an order. */
#define SOUND_MAX_AGE_MS 1800
/* An order that shows no effect is given again after this. */
#define LOAD_RETRY_MS 700
/* Entries hear that no more requests may come before the order goes out. */
#define TELL_AHEAD_MS 60

void
weights_enter (Weights *w, Phase phase)
{
  w->phase = phase;
  w->phase_ms = dl_clock_ms ();
}

/* -------- telling the other tasks -------- */

static void
tell_holding (Weights *w, bool changed)
{
  StageMessage *m = stage_message_new (STAGE_HOLDING);
  const Bundle *b = w->bundle;

  m->holding.loading = w->told_loading;
  m->holding.changed = changed;
  if (b != NULL)
    {
      DlStr chunks = dl_fetch_plan_bitmap (b->plan);

      m->holding.model = talloc_strdup (m, b->model);
      m->holding.version = b->version;
      m->holding.chunks
          = dl_str_bytes (talloc_memdup (m, chunks.data, chunks.length), chunks.length);
    }
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

/* -------- neighbours -------- */

static void
add_to_plan (const Bundle *b, const Neighbour *n)
{
  bool same = n->model != NULL && strcmp (n->model, b->model) == 0
              && n->version == b->version;

  dl_fetch_plan_peer (b->plan, n->name, n->region,
                      same ? n->chunks : DL_STR_LITERAL (""));
}

static void
add_all_to_plan (Weights *w)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, w->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    add_to_plan (w->bundle, value);
}

static void
free_neighbour (gpointer data)
{
  talloc_free (data);
}

static void
take_neighbour (Weights *w, const StageMessage *m)
{
  Neighbour *n = talloc_zero (w, Neighbour);

  n->name = talloc_strdup (n, m->peer.name);
  n->region = talloc_strdup (n, m->peer.region);
  n->address = talloc_strdup (n, m->peer.address);
  n->model = talloc_strdup (n, m->peer.model);
  n->version = m->peer.version;
  n->chunks = dl_str_bytes (
      m->peer.chunks.length > 0
          ? talloc_memdup (n, m->peer.chunks.data, m->peer.chunks.length)
          : NULL,
      m->peer.chunks.length);
  n->heard_ms = dl_clock_ms ();
  g_hash_table_replace (w->neighbours, n->name, n);
  if (w->bundle != NULL)
    add_to_plan (w->bundle, n);
}

static void
drop_neighbour (Weights *w, const char *name)
{
  if (w->bundle != NULL)
    dl_fetch_plan_peer_gone (w->bundle->plan, name);
}

static void
drop_silent_neighbours (Weights *w)
{
  uint64_t now_ms = dl_clock_ms ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, w->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Neighbour *n = value;

      if (now_ms - n->heard_ms < NEIGHBOUR_SILENT_MS)
        continue;
      drop_neighbour (w, n->name);
      g_hash_table_iter_remove (&iter);
    }
}

/* -------- what to bring -------- */

static void
set_target (Weights *w, const char *model, uint64_t version, uint64_t named_ms)
{
  if (w->phase == PHASE_ORDER || w->phase == PHASE_LOAD)
    /* The staging area must not change under an order that may be taken right now. */
    w->hold_staging_ms = MAX (w->hold_staging_ms, dl_clock_ms () + TICK_MS);
  TALLOC_FREE (w->bundle);
  talloc_free (w->model);
  w->model = talloc_strdup (w, model);
  w->version = version;
  w->named_ms = named_ms;
  set_loading (w, false);
  weights_enter (w, PHASE_MANIFEST);
  fetch_manifest (w);
}

static void
take_named (Weights *w, const StageMessage *m)
{
  if (w->bundle != NULL && strcmp (w->bundle->model, m->named.model) == 0
      && w->bundle->version == m->named.version)
    {
      w->named_ms = m->named.learned_ms;
      return;
    }
  set_target (w, m->named.model, m->named.version, m->named.learned_ms);
}

static void
take_source (Weights *w, const StageMessage *m)
{
  talloc_free (w->origin);
  talloc_free (w->default_model);
  w->origin = talloc_strdup (w, m->source.origin);
  w->default_model = talloc_strdup (w, m->source.model);
}

static void
take_report (Weights *w, const DlEngineReport *report)
{
  if (w->engine_known && report->born_ms != w->engine_born_ms && w->bundle != NULL)
    /* The engine started anew; what was staged may be gone with its host's power. */
    for (unsigned i = 0; i < w->bundle->count; i++)
      if (w->bundle->chunks[i].staged == STAGED_SOUND)
        w->bundle->chunks[i].staged = STAGED_WRITTEN;
  w->engine_known = true;
  w->engine_busy = report->busy;
  w->engine_version = report->version;
  w->engine_born_ms = report->born_ms;
  w->engine_orders = report->orders;
}

void
weights_chunk_arrived (Bundle *b, unsigned index, DlStr bytes)
{
  ChunkCopy *chunk = &b->chunks[index];

  if (chunk->bytes.length == 0)
    chunk->bytes
        = dl_str_bytes (talloc_memdup (b, bytes.data, bytes.length), bytes.length);
  dl_fetch_plan_arrived (b->plan, index);
  b->owner->holding_changed = true;
  if (dl_fetch_plan_missing (b->plan) == 0)
    dl_log (DL_EVENT_STAGE_WHOLE, DL_UINT ("version", b->version),
            DL_UINT ("named_ms_ago", dl_clock_ms () - b->owner->named_ms));
}

/* -------- steps -------- */

static bool
is_in_force (const Weights *w)
{
  return w->engine_known && w->engine_version >= w->bundle->version;
}

static bool
is_turn (const Weights *w)
{
  g_autoptr (GPtrArray) others = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  DlReloadTurn turn;

  g_hash_table_iter_init (&iter, w->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (others, ((Neighbour *)value)->name);
  turn = (DlReloadTurn){
    .host = w->settings->name,
    .others = (const char *const *)others->pdata,
    .other_count = others->len,
    .model = w->bundle->model,
    .version = w->bundle->version,
    .named_ms = w->named_ms,
    .limit_ms = w->settings->version_ms,
    .is_empty = w->engine_version == 0,
  };
  return dl_clock_ms () >= dl_reload_turn_start_ms (&turn);
}

static bool
must_preempt (const Weights *w)
{
  const DlReloadTurn turn
      = { .named_ms = w->named_ms, .limit_ms = w->settings->version_ms };

  return dl_reload_turn_must_preempt (&turn, dl_clock_ms ());
}

/* All chunks have been looked for beside the engine once. */
static bool
is_looked_through (const Bundle *b)
{
  for (unsigned i = 0; i < b->count; i++)
    if (b->chunks[i].staged == STAGED_WRITTEN || b->chunks[i].staged == STAGED_READING)
      return false;
  return true;
}

/* Takes every chunk for staged, so that reading them back shows which are. */
static void
begin_recovery (Bundle *b)
{
  for (unsigned i = 0; i < b->count; i++)
    b->chunks[i].staged = STAGED_WRITTEN;
  b->owner->recovered = true;
}

static void
run_idle (Weights *w)
{
  if (w->default_model == NULL || dl_clock_ms () - w->phase_ms < DEFAULT_WAIT_MS)
    return;
  set_target (w, w->default_model, 0, dl_clock_ms ());
}

static void
run_manifest (Weights *w)
{
  if (dl_clock_ms () - w->phase_ms < MANIFEST_RETRY_MS)
    return;
  weights_enter (w, PHASE_MANIFEST);
  fetch_manifest (w);
}

static void
run_recover (Weights *w)
{
  if (!w->recovered)
    begin_recovery (w->bundle);
  stage_check (w->bundle, 0);
  if (!is_looked_through (w->bundle))
    return;
  add_all_to_plan (w);
  weights_enter (w, PHASE_FETCH);
}

static void
run_fetch (Weights *w)
{
  fetch_run (w->bundle);
  stage_write (w->bundle);
  if (dl_fetch_plan_missing (w->bundle->plan) == 0)
    weights_enter (w, PHASE_WAIT);
}

static void
run_wait (Weights *w)
{
  stage_write (w->bundle);
  if (is_in_force (w))
    {
      weights_enter (w, PHASE_DONE);
      return;
    }
  if (!w->engine_known || w->engine_busy || !is_turn (w))
    return;
  set_loading (w, true);
  weights_enter (w, PHASE_CHECK);
}

static void
run_check (Weights *w)
{
  uint64_t now_ms = dl_clock_ms ();
  uint64_t since_ms = now_ms > SOUND_MAX_AGE_MS ? now_ms - SOUND_MAX_AGE_MS : 0;

  stage_write (w->bundle);
  if (stage_check (w->bundle, since_ms) && now_ms - w->phase_ms >= TELL_AHEAD_MS)
    stage_order (w->bundle, must_preempt (w));
}

static void
run_load (Weights *w)
{
  if (is_in_force (w) && !w->engine_busy)
    {
      dl_log (DL_EVENT_STAGE_IN_FORCE, DL_UINT ("version", w->bundle->version),
              DL_UINT ("named_ms_ago", dl_clock_ms () - w->named_ms));
      set_loading (w, false);
      weights_enter (w, PHASE_DONE);
    }
  else if (!w->engine_busy && dl_clock_ms () - w->phase_ms >= LOAD_RETRY_MS)
    weights_enter (w, PHASE_CHECK);
}

/* The engine may have started anew, without weights. */
static void
run_done (Weights *w)
{
  if (!is_in_force (w))
    weights_enter (w, PHASE_WAIT);
}

void
weights_run (Weights *w)
{
  switch (w->phase)
    {
    case PHASE_IDLE:
      run_idle (w);
      break;
    case PHASE_MANIFEST:
      run_manifest (w);
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
    case PHASE_CHECK:
      run_check (w);
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

static void
on_tick (DlTimer *timer, void *data)
{
  Weights *w = data;

  drop_silent_neighbours (w);
  weights_run (w);
  if (w->holding_changed)
    tell_holding (w, true);
  w->holding_changed = false;
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
    case STAGE_PEER:
      take_neighbour (w, m);
      break;
    case STAGE_PEER_GONE:
      drop_neighbour (w, m->peer.name);
      g_hash_table_remove (w->neighbours, m->peer.name);
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
weights_destroy (Weights *w)
{
  g_hash_table_destroy (w->neighbours);
  return 0;
}

static int
start (DlTask *task)
{
  Weights *w = talloc_zero (NULL, Weights);

  dl_task_set_state (task, w);
  w->task = task;
  w->settings = stage_settings (task);
  w->client = dl_http_client_new (task, w);
  w->neighbours = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_neighbour);
  talloc_set_destructor (w, weights_destroy);
  weights_enter (w, PHASE_IDLE);
  dl_timer_subscribe (task, w, TICK_MS, TICK_MS, on_tick, w);
  return fetch_serve (w);
}

static json_object *
dump (DlTask *task)
{
  static const char *const phases[] = { "idle",  "manifest", "recover", "fetch", "wait",
                                        "check", "order",    "load",    "done" };
  const Weights *w = dl_task_state (task);
  json_object *object = json_object_new_object ();

  json_object_object_add (object, "phase", json_object_new_string (phases[w->phase]));
  json_object_object_add (object, "engine_version",
                          json_object_new_uint64 (w->engine_version));
  if (w->bundle != NULL)
    {
      json_object_object_add (object, "version",
                              json_object_new_uint64 (w->bundle->version));
      json_object_object_add (
          object, "missing",
          json_object_new_int ((int)dl_fetch_plan_missing (w->bundle->plan)));
    }
  return object;
}

#define MESSAGE(type) (UINT64_C (1) << (type))

static DlPlugin weights_plugin = {
  .name = "weights",
  .order = 20,
  .subscriptions = MESSAGE (STAGE_SOURCE) | MESSAGE (STAGE_NAMED) | MESSAGE (STAGE_PEER)
                   | MESSAGE (STAGE_PEER_GONE) | MESSAGE (STAGE_REPORT)
                   | MESSAGE (STAGE_SILENT),
  .start = start,
  .handle = handle,
  .dump = dump,
};
DL_PLUGIN_REGISTER (weights_plugin)
