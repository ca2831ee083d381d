#include "load_driver.h"

#include <stdarg.h>
#include <stdio.h>

#include "load_world.h"

#define STEP_MAX_MS 40

uint64_t
load_random_below (World *w, uint64_t below)
{
  w->random ^= w->random << 13;
  w->random ^= w->random >> 7;
  w->random ^= w->random << 17;
  return w->random % below;
}

bool
load_chance (World *w, unsigned per_thousand)
{
  return load_random_below (w, PER_THOUSAND) < per_thousand;
}

void
load_say (const World *w, const char *format, ...)
{
  va_list arguments;

  if (!w->options.print)
    return;
  fprintf (stderr, "  %6" G_GUINT64_FORMAT " ms: ", w->now_ms);
  va_start (arguments, format);
  vfprintf (stderr, format, arguments);
  va_end (arguments);
  fputc ('\n', stderr);
}

/* -------- the store -------- */

/* The store may come back from an older copy, here from one without the record. */
static void
step_store (World *w)
{
  Store *store = &w->store;

  if (store->write_ms != 0 && w->now_ms >= store->write_ms)
    {
      store->record = store->written;
      store->write_ms = 0;
      if (store->has_sender)
        load_stager_recorded (w, &store->written);
    }
  if (load_chance (w, 1) && load_chance (w, w->lost))
    store->record = (DlSoundLoad){ 0 };
}

/* -------- the property -------- */

static void
check_property (World *w)
{
  const DlLoadProof *p = &w->stager.proof;
  const Engine *e = &w->engine;

  if (!p->known || p->state != DL_WEIGHTS_SOUND || p->started_ms != e->started_ms
      || p->loads != e->loads || e->loads == 0
      || !(load_engine_has_weights (e) || e->loading != 0))
    return;
  if (w->proven_start != e->started_ms || w->proven_loads != e->loads)
    w->result.proven++;
  w->proven_start = e->started_ms;
  w->proven_loads = e->loads;
  if (!e->took_bad || (e->within_rules && w->answered == e->command))
    return;
  load_say (w, "count %" G_GUINT64_FORMAT " counts as sound, and is not", e->loads);
  w->result.holds = false;
}

/* -------- a schedule -------- */

static void
draw_chances (World *w)
{
  w->rot = (unsigned)load_random_below (w, 40);
  w->slow = (unsigned)load_random_below (w, 600);
  w->late = (unsigned)load_random_below (w, 300);
  w->lost = (unsigned)load_random_below (w, 150);
  w->restart = (unsigned)load_random_below (w, 8);
  w->freeze = (unsigned)load_random_below (w, 6);
  w->kill = (unsigned)load_random_below (w, 12);
  w->announce = (unsigned)load_random_below (w, 6);
}

LoadDriverResult
load_driver_run (const LoadDriverOptions *options)
{
  static World w;

  w = (World){
    .options = *options,
    .result = { .holds = true },
    .random = options->seed * 0x9e3779b97f4a7c15u + 1,
    .now_ms = 1,
    .newest = 1,
    .engine = { .started_ms = 1 },
  };
  draw_chances (&w);
  load_stager_start (&w);
  for (; w.result.step < options->steps && w.result.holds; w.result.step++)
    {
      w.now_ms += 1 + load_random_below (&w, STEP_MAX_MS);
      if (load_chance (&w, w.announce))
        w.newest++;
      load_step_engine (&w);
      step_store (&w);
      load_step_stager (&w);
      for (unsigned i = 0; i < CALLS_MAX; i++)
        load_call_free_if_done (&w.calls[i]);
      check_property (&w);
    }
  return w.result;
}
