/* The engine of the load driver, and the calls to it. */
#include "load_world.h"

#define SOON_MAX_MS 30
#define SLOW_MAX_MS 950
#define LATE_MAX_MS 9000
#define LOAD_MAX_MS 1500
#define NEVER_MS    UINT64_MAX

bool
load_engine_has_weights (const Engine *e)
{
  return e->version > 0;
}

static bool
rotted_within_rules (const Chunk *c, const Call *command, uint64_t now_ms)
{
  return c->rotten_version == command->version
         && now_ms - c->rotten_ms <= DL_LOAD_SPOILT_MAX_MS
         && now_ms - command->proof_ms <= DL_LOAD_SPOILT_MAX_MS;
}

static void
engine_take (World *w, const Call *command)
{
  Engine *e = &w->engine;

  e->took_bad = false;
  e->within_rules = true;
  for (unsigned i = 0; i < CHUNKS; i++)
    if (e->staged[i].version != command->version)
      {
        e->took_bad = true;
        e->within_rules
            = e->within_rules && rotted_within_rules (&e->staged[i], command, w->now_ms);
      }
  e->loading = command->version;
  e->loaded_ms = w->now_ms + 1 + load_random_below (w, LOAD_MAX_MS);
  w->result.taken++;
  w->result.bad += e->took_bad;
  w->result.unseen += !command->has_sender;
}

static void
engine_accept (World *w, Call *c)
{
  Engine *e = &w->engine;
  bool in_effect
      = c->type == CALL_UNLOAD ? !load_engine_has_weights (e) : e->version == c->version;

  c->answered_no = e->loading != 0 || c->loads != e->loads || in_effect;
  if (c->answered_no)
    {
      load_say (w, "engine refuses command %u", c->number);
      return;
    }
  e->loads++;
  e->command = c->number;
  if (c->type == CALL_UNLOAD)
    e->version = 0;
  else
    engine_take (w, c);
  load_say (w, "engine accepts command %u, count %" G_GUINT64_FORMAT ", %s", c->number,
            e->loads,
            c->type == CALL_LOAD && e->took_bad ? "took a bad chunk" : "nothing bad");
}

static void
land (World *w, Call *c)
{
  Engine *e = &w->engine;

  c->landed = true;
  c->response_ms = load_chance (w, w->lost)
                       ? NEVER_MS
                       : w->now_ms + load_random_below (w, SOON_MAX_MS);
  switch (c->type)
    {
    case CALL_NONE:
      break;
    case CALL_READ:
      c->version = e->staged[c->chunk].version;
      break;
    case CALL_WRITE:
      e->staged[c->chunk] = (Chunk){ .version = c->version };
      load_say (w, "write %u of chunk %u, version %" G_GUINT64_FORMAT ", lands",
                c->number, c->chunk, c->version);
      break;
    case CALL_LOAD:
    case CALL_UNLOAD:
      engine_accept (w, c);
      break;
    case CALL_REPORT:
      c->version = e->version;
      c->report = (DlProofReport){
        .started_ms = e->started_ms,
        .loads = e->loads,
        .has_weights = load_engine_has_weights (e),
        .busy = e->loading != 0,
      };
      break;
    }
}

/* What is under way to the engine is lost, and so are its responses. */
static void
engine_restart (World *w)
{
  Engine *e = &w->engine;

  for (unsigned i = 0; i < CALLS_MAX; i++)
    if (w->calls[i].type != CALL_NONE)
      {
        w->calls[i].land_ms = NEVER_MS;
        w->calls[i].response_ms = NEVER_MS;
        w->calls[i].broken = true;
      }
  e->started_ms = w->now_ms;
  e->loads = 0;
  e->version = 0;
  e->loading = 0;
  e->took_bad = false;
  w->result.restarts++;
  load_say (w, "engine starts again, without weights");
}

static void
rot (World *w)
{
  unsigned i = (unsigned)load_random_below (w, CHUNKS);
  Chunk *c = &w->engine.staged[i];

  if (c->version == 0)
    return;
  *c = (Chunk){ .rotten_version = c->version, .rotten_ms = w->now_ms };
  load_say (w, "chunk %u turns bad", i);
}

void
load_step_engine (World *w)
{
  Engine *e = &w->engine;

  if (e->loading != 0 && w->now_ms >= e->loaded_ms)
    {
      e->version = e->loading;
      e->loading = 0;
    }
  for (unsigned i = 0; i < CALLS_MAX; i++)
    if (w->calls[i].type != CALL_NONE && !w->calls[i].landed
        && w->now_ms >= w->calls[i].land_ms)
      land (w, &w->calls[i]);
  if (load_chance (w, w->rot))
    rot (w);
  if (load_chance (w, w->restart))
    engine_restart (w);
}

/* -------- calls -------- */

static uint64_t
random_delay_ms (World *w)
{
  if (load_chance (w, w->late))
    return load_chance (w, w->lost) ? NEVER_MS - w->now_ms
                                    : load_random_below (w, LATE_MAX_MS);
  return load_random_below (w, load_chance (w, w->slow) ? SLOW_MAX_MS : SOON_MAX_MS);
}

Call *
load_call_new (World *w, CallType type)
{
  unsigned i = 0;

  while (i < CALLS_MAX - 1 && w->calls[i].type != CALL_NONE)
    i++;
  g_assert (w->calls[i].type == CALL_NONE);
  w->calls[i] = (Call){
    .type = type,
    .number = ++w->call_number,
    .has_sender = true,
    .sent_ms = w->now_ms,
    .land_ms = w->now_ms + random_delay_ms (w),
    .response_ms = NEVER_MS,
  };
  return &w->calls[i];
}

void
load_call_free_if_done (Call *c)
{
  if (!c->has_sender && (c->landed || c->land_ms == NEVER_MS))
    c->type = CALL_NONE;
}
