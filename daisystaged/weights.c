/*
 * Task "weights": what the engine is to serve, and the next step towards it.
 */
#include "weights.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/log.h"
#include "policy/reload_turn.h"

#define TICK_MS             30
#define NEIGHBOUR_SILENT_MS 3000
/* A bundle of which nothing came for this long gives way to a newer one. */
#define STUCK_MS 1500
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
add_holding (StageMessage *m, const Bundle *b)
{
  StageHoldings *holdings = &m->holding.holdings;

  if (b == NULL || b->plan == NULL)
    return;
  holdings->items[holdings->count++]
      = stage_holding_copy (m, &(StageHolding){
                                   .model = b->model,
                                   .version = b->version,
                                   .chunks = dl_fetch_plan_bitmap (b->plan),
                               });
}

static void
tell_holding (Weights *w, bool changed)
{
  StageMessage *m = stage_message_new (STAGE_HOLDING);

  m->holding.loading = w->told_loading;
  m->holding.changed = changed;
  add_holding (m, w->bundle);
  add_holding (m, w->next);
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

DlStr
weights_held_by (const Bundle *b, const Neighbour *n)
{
  for (size_t i = 0; i < n->holdings.count; i++)
    {
      const StageHolding *h = &n->holdings.items[i];

      if (h->version == b->version && strcmp (h->model, b->model) == 0)
        return h->chunks;
    }
  return DL_STR_LITERAL ("");
}

static void
add_to_plan (const Bundle *b, const Neighbour *n)
{
  if (b != NULL && b->plan != NULL)
    dl_fetch_plan_peer (b->plan, n->name, n->region, weights_held_by (b, n));
}

static void
add_all_to_plan (const Bundle *b)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->owner->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    add_to_plan (b, value);
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
  n->holdings.count = m->peer.holdings.count;
  for (size_t i = 0; i < n->holdings.count; i++)
    n->holdings.items[i] = stage_holding_copy (n, &m->peer.holdings.items[i]);
  n->heard_ms = dl_clock_ms ();
  g_hash_table_replace (w->neighbours, n->name, n);
  add_to_plan (w->bundle, n);
  add_to_plan (w->next, n);
}

static void
drop_from_plan (const Bundle *b, const char *name)
{
  if (b != NULL && b->plan != NULL)
    dl_fetch_plan_peer_gone (b->plan, name);
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
      drop_from_plan (w->bundle, n->name);
      drop_from_plan (w->next, n->name);
      g_hash_table_iter_remove (&iter);
    }
}

static void
drop_neighbour (Weights *w, const char *name)
{
  drop_from_plan (w->bundle, name);
  drop_from_plan (w->next, name);
  g_hash_table_remove (w->neighbours, name);
}

/* -------- what to bring -------- */

static Bundle *
bundle_new (Weights *w, const char *model, uint64_t version, uint64_t named_ms)
{
  Bundle *b = talloc_zero (w, Bundle);

  g_assert (b != NULL);
  b->owner = w;
  b->model = talloc_strdup (b, model);
  b->version = version;
  b->named_ms = named_ms;
  b->due_from_ms = named_ms;
  b->progress_ms = dl_clock_ms ();
  return b;
}

static bool
is_same (const Bundle *b, const char *model, uint64_t version)
{
  return b != NULL && b->version == version && strcmp (b->model, model) == 0;
}

Bundle *
weights_find (const Weights *w, const char *model, uint64_t version)
{
  if (is_same (w->bundle, model, version))
    return w->bundle;
  return is_same (w->next, model, version) ? w->next : NULL;
}

static bool
is_whole (const Bundle *b)
{
  return b != NULL && b->plan != NULL && dl_fetch_plan_missing (b->plan) == 0;
}

/* True when the engine serves the bundle's version or a newer one. */
static bool
is_in_force (const Weights *w, const Bundle *b)
{
  return w->engine_known && b->version > 0 && w->engine.version >= b->version;
}

/* The bundle becomes the present one. */
static void
set_present (Weights *w, Bundle *b)
{
  talloc_free (w->bundle);
  w->bundle = b;
  set_loading (w, false);
  weights_enter (w, w->recovered ? PHASE_FETCH : PHASE_RECOVER);
  tell_holding (w, true);
}

/* The newer bundle takes the place of the present one, and its time too when that never
 * came into force. */
static void
promote_next (Weights *w)
{
  Bundle *b = w->next;

  if (!is_in_force (w, w->bundle))
    b->due_from_ms = MIN (b->due_from_ms, w->bundle->due_from_ms);
  w->next = NULL;
  set_present (w, b);
}

static void
set_next (Weights *w, Bundle *b)
{
  if (w->next != NULL)
    b->due_from_ms = MIN (b->due_from_ms, w->next->due_from_ms);
  talloc_free (w->next);
  w->next = b;
}

static void
take_named (Weights *w, const StageMessage *m)
{
  Bundle *known = weights_find (w, m->named.model, m->named.version);

  if (known != NULL)
    {
      known->named_ms = m->named.learned_ms;
      return;
    }
  known = bundle_new (w, m->named.model, m->named.version, m->named.learned_ms);
  if (w->bundle == NULL)
    set_present (w, known);
  else
    set_next (w, known);
}

static void
take_source (Weights *w, const StageMessage *m)
{
  talloc_free (w->origin);
  talloc_free (w->default_model);
  w->draw_us = m->source.draw_us;
  w->origin = talloc_strdup (w, m->source.origin);
  w->default_model = talloc_strdup (w, m->source.model);
}

static void
take_report (Weights *w, const DlEngineReport *report)
{
  if (w->engine_known && report->born_ms != w->engine.born_ms && w->bundle != NULL)
    /* The engine started anew; what was staged may be gone with its host's power. */
    for (unsigned i = 0; i < w->bundle->count; i++)
      if (w->bundle->chunks[i].staged == STAGED_SOUND)
        w->bundle->chunks[i].staged = STAGED_WRITTEN;
  w->engine_known = true;
  w->engine = *report;
  w->engine.model = NULL; /* it ends with the message */
}

void
weights_manifest_arrived (Bundle *b, const char **digests, unsigned count)
{
  Weights *w = b->owner;

  b->progress_ms = dl_clock_ms ();
  b->count = count;
  b->digests = digests;
  b->chunks = talloc_zero_array (b, ChunkCopy, count);
  b->plan = dl_fetch_plan_new (b, &(DlFetchPlanOptions){
                                      .host = w->settings->name,
                                      .region = w->settings->region,
                                      .model = b->model,
                                      .version = b->version,
                                      .chunks = count,
                                      .started_ms = dl_clock_ms (),
                                      .draw_us = w->draw_us,
                                  });
  add_all_to_plan (b);
  dl_log (DL_EVENT_STAGE_STARTED, DL_TEXT ("model", b->model),
          DL_UINT ("version", b->version), DL_UINT ("chunks", count),
          DL_UINT ("named_ms_ago", dl_clock_ms () - b->named_ms));
  weights_run (w);
}

void
weights_chunk_arrived (Bundle *b, unsigned index, DlStr bytes)
{
  ChunkCopy *chunk = &b->chunks[index];

  if (chunk->bytes.length == 0)
    chunk->bytes
        = dl_str_bytes (talloc_memdup (b, bytes.data, bytes.length), bytes.length);
  b->progress_ms = dl_clock_ms ();
  dl_fetch_plan_arrived (b->plan, index);
  b->owner->holding_changed = true;
  if (dl_fetch_plan_missing (b->plan) == 0)
    dl_log (DL_EVENT_STAGE_WHOLE, DL_UINT ("version", b->version),
            DL_UINT ("named_ms_ago", dl_clock_ms () - b->named_ms));
}

/* -------- steps -------- */

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
    .named_ms = w->bundle->due_from_ms,
    .limit_ms = w->settings->version_ms,
    .is_empty = w->engine.version == 0,
  };
  return dl_clock_ms () >= dl_reload_turn_start_ms (&turn);
}

/* All chunks have been looked for beside the engine. */
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
  if (w->default_model != NULL && w->unnamed)
    set_present (w, bundle_new (w, w->default_model, 0, dl_clock_ms ()));
}

static void
run_recover (Weights *w)
{
  if (w->bundle->plan == NULL)
    {
      fetch_manifest (w->bundle);
      return;
    }
  if (!w->recovered)
    begin_recovery (w->bundle);
  stage_check (w->bundle, 0);
  if (is_looked_through (w->bundle))
    weights_enter (w, PHASE_FETCH);
}

static void
run_fetch (Weights *w)
{
  if (w->bundle->plan == NULL)
    {
      fetch_manifest (w->bundle);
      return;
    }
  fetch_run (w->bundle);
  stage_write (w->bundle);
  if (is_whole (w->bundle))
    weights_enter (w, PHASE_WAIT);
}

static void
run_wait (Weights *w)
{
  stage_write (w->bundle);
  if (is_in_force (w, w->bundle))
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
  uint64_t since_ms = now_ms > SOUND_MAX_AGE_MS ? now_ms - SOUND_MAX_AGE_MS : 0;
  bool sound;

  stage_write (w->bundle);
  sound = stage_check (w->bundle, since_ms);
  if (sound && now_ms >= w->phase_ms + TELL_AHEAD_MS
      && dl_reload_turn_may_order (w->phase_ms, w->engine.running, now_ms))
    stage_order (w->bundle, w->engine.running > 0);
}

static void
run_load (Weights *w)
{
  if (is_in_force (w, w->bundle) && !w->engine.busy)
    {
      dl_log (DL_EVENT_STAGE_IN_FORCE, DL_UINT ("version", w->bundle->version),
              DL_UINT ("named_ms_ago", dl_clock_ms () - w->bundle->named_ms));
      set_loading (w, false);
      weights_enter (w, PHASE_DONE);
    }
  else if (!w->engine.busy && dl_clock_ms () - w->phase_ms >= LOAD_RETRY_MS)
    weights_enter (w, PHASE_EMPTY);
}

/* The engine may have started anew, without weights. */
static void
run_done (Weights *w)
{
  if (w->engine_known && !is_in_force (w, w->bundle))
    weights_enter (w, PHASE_WAIT);
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

/* True when nothing of the present bundle has come for long. */
static bool
is_stuck (const Weights *w)
{
  return !is_whole (w->bundle) && dl_clock_ms () - w->bundle->progress_ms >= STUCK_MS;
}

/* True when the engine is not being given the present bundle right now. */
static bool
may_promote (const Weights *w)
{
  return w->phase != PHASE_EMPTY && w->phase != PHASE_ORDER && w->phase != PHASE_LOAD;
}

/* The newer bundle is fetched once the present one is whole, or cannot be had. */
static void
run_next (Weights *w)
{
  if (w->next == NULL)
    return;
  if (may_promote (w) && (is_whole (w->next) || w->phase == PHASE_DONE || is_stuck (w)))
    {
      promote_next (w);
      return;
    }
  if (!is_whole (w->bundle))
    return;
  if (w->next->plan == NULL)
    fetch_manifest (w->next);
  else
    fetch_run (w->next);
}

void
weights_run (Weights *w)
{
  run_present (w);
  run_next (w);
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
    case STAGE_UNNAMED:
      w->unnamed = true;
      break;
    case STAGE_PEER:
      take_neighbour (w, m);
      break;
    case STAGE_PEER_GONE:
      drop_neighbour (w, m->peer.name);
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
  return give_start (w);
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
  if (w->bundle != NULL && w->bundle->plan != NULL)
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
  .subscriptions = MESSAGE (STAGE_SOURCE) | MESSAGE (STAGE_NAMED)
                   | MESSAGE (STAGE_UNNAMED) | MESSAGE (STAGE_PEER)
                   | MESSAGE (STAGE_PEER_GONE) | MESSAGE (STAGE_REPORT)
                   | MESSAGE (STAGE_SILENT),
  .start = start,
  .handle = handle,
  .dump = dump,
};
DL_PLUGIN_REGISTER (weights_plugin)
