#include "policy/loader.h"

#include "kernel/error.h"
#include "policy/backoff.h"

#define COMMAND_TIMEOUT_MS 10000
#define RETRY_MIN_MS       250
#define RETRY_MAX_MS       8000

static const DlBackoffBounds backoff_bounds
    = { .first_ms = RETRY_MIN_MS, .max_ms = RETRY_MAX_MS };
/* Enough for the task that accepts requests to leave the rotation. */
#define DRAIN_MIN_MS 100

void
dl_loader_init (DlLoader *loader, uint64_t now_ms, uint64_t guard_ms, uint64_t drain_ms)
{
  *loader = (DlLoader){
    .guard_ms = guard_ms,
    .drain_ms = drain_ms,
    .command_timeout_ms = COMMAND_TIMEOUT_MS,
    .started_ms = now_ms,
    .stepped_ms = now_ms,
    .retry_ms = RETRY_MIN_MS,
  };
}

static void
set_phase (DlLoader *l, DlLoaderPhase phase, uint64_t now_ms)
{
  l->phase = phase;
  l->since_ms = now_ms;
}

/* Ends the current load as failed; the next one starts after a growing backoff. */
static void
fail (DlLoader *l, uint64_t now_ms, const char *failure)
{
  l->failure = failure;
  l->retry_at_ms = now_ms + l->retry_ms;
  l->retry_ms = dl_backoff_next_ms (l->retry_ms, &backoff_bounds);
  set_phase (l, DL_LOADER_IDLE, now_ms);
}

static void
succeed (DlLoader *l, uint64_t now_ms)
{
  l->failure = NULL;
  l->retry_ms = RETRY_MIN_MS;
  l->retry_at_ms = 0;
  set_phase (l, DL_LOADER_IDLE, now_ms);
}

void
dl_loader_reset_backoff (DlLoader *loader)
{
  loader->failure = NULL;
  loader->retry_ms = RETRY_MIN_MS;
  loader->retry_at_ms = 0;
}

/* True when the engine has no weights and has seen no fence, so that it never had a
 * command. */
static bool
is_fresh (const DlLoaderFacts *f)
{
  return f->engine_reachable && f->engine_fence == 0 && dl_digest_is_zero (&f->serving)
         && dl_digest_is_zero (&f->loading);
}

/* True when no predecessor on this host can still send commands: its guard time has
 * passed, or there was none since the engine started. */
static bool
predecessor_has_stopped (const DlLoader *l, const DlLoaderFacts *f)
{
  return l->engine_was_fresh || is_fresh (f) || f->now_ms - l->started_ms >= l->guard_ms;
}

static bool
may_load (const DlLoader *l, const DlLoaderFacts *f)
{
  /* A slot that is out of rotation anyway needs no grant. */
  bool is_out = dl_digest_is_zero (&f->serving) || l->pending;

  /* Fence 0: no entry has steered the rollout under a lease yet. */
  return f->has_directive && f->fence > 0 && f->wanted && f->complete && f->in_contact
         && !f->stopping && f->engine_reachable && (f->may_load || is_out)
         && f->contact_since_ms >= l->resumed_ms && predecessor_has_stopped (l, f)
         && f->engine_fence <= f->fence;
}

static DlLoaderAction
step_idle (DlLoader *l, const DlLoaderFacts *f)
{
  if (!may_load (l, f) || f->now_ms < l->retry_at_ms)
    return DL_LOADER_NOTHING;
  l->version = f->version;
  set_phase (l, DL_LOADER_DRAINING, f->now_ms);
  return DL_LOADER_NOTHING;
}

static DlLoaderAction
step_draining (DlLoader *l, const DlLoaderFacts *f)
{
  if (!may_load (l, f) || !dl_digest_equal (&l->version, &f->version))
    {
      set_phase (l, DL_LOADER_IDLE, f->now_ms);
      return DL_LOADER_NOTHING;
    }
  if (f->requests_running == 0 && f->now_ms - l->since_ms >= DRAIN_MIN_MS)
    {
      set_phase (l, DL_LOADER_SENDING, f->now_ms);
      return DL_LOADER_SEND_LOAD;
    }
  if (f->now_ms - l->since_ms > l->drain_ms)
    fail (l, f->now_ms, "requests in progress did not finish in time");
  return DL_LOADER_NOTHING;
}

static DlLoaderAction
step_loading (DlLoader *l, const DlLoaderFacts *f)
{
  if (!l->pending)
    {
      succeed (l, f->now_ms);
      return DL_LOADER_NOTHING;
    }
  if (f->now_ms - l->since_ms <= l->command_timeout_ms)
    return DL_LOADER_NOTHING;
  if (dl_digest_equal (&f->loading, &l->version))
    l->since_ms = f->now_ms; /* slow, but not lost */
  else
    fail (l, f->now_ms, "the engine forgot or failed the order");
  return DL_LOADER_NOTHING;
}

/* Under a grant that was given before this slot started, its predecessor may have sent a
 * command, unless the engine, whose state may arrive after the grant, never had one. */
static void
update_predecessor (DlLoader *l, const DlLoaderFacts *f)
{
  l->engine_was_fresh = l->engine_was_fresh || is_fresh (f);
  if (is_fresh (f) && l->predecessors)
    {
      l->pending = false;
      l->predecessors = false;
    }
  if (predecessor_has_stopped (l, f) || !f->has_directive || !f->granted)
    return;
  l->pending = true;
  l->predecessors = true;
  l->pending_version = f->version;
}

static void
update_pending (DlLoader *l, const DlLoaderFacts *f)
{
  if (l->phase != DL_LOADER_SENDING && f->engine_reachable
      && dl_digest_equal (&f->serving, &l->pending_version))
    l->pending = false;
}

DlLoaderAction
dl_loader_step (DlLoader *loader, const DlLoaderFacts *f)
{
  if (f->now_ms - loader->stepped_ms > DL_LOADER_PAUSE_MS)
    loader->resumed_ms = f->now_ms;
  loader->stepped_ms = f->now_ms;
  update_predecessor (loader, f);
  update_pending (loader, f);
  if (!loader->pending && f->engine_reachable && f->has_directive
      && dl_digest_equal (&f->serving, &f->version) && loader->phase != DL_LOADER_SENDING)
    {
      if (loader->phase != DL_LOADER_IDLE || loader->failure != NULL)
        succeed (loader, f->now_ms);
      return DL_LOADER_NOTHING;
    }
  switch (loader->phase)
    {
    case DL_LOADER_IDLE:
      return step_idle (loader, f);
    case DL_LOADER_DRAINING:
      return step_draining (loader, f);
    case DL_LOADER_SENDING:
      return DL_LOADER_NOTHING;
    case DL_LOADER_LOADING:
      return step_loading (loader, f);
    }
  return DL_LOADER_NOTHING;
}

/* The engine accepted the command, or may have.  Only a command that it accepted is known
 * to replace the pending ones. */
static void
set_pending (DlLoader *l, bool accepted)
{
  if (accepted || !l->pending)
    l->pending_version = l->version;
  l->pending = true;
  l->predecessors = false;
}

void
dl_loader_command_done (DlLoader *loader, uint64_t now_ms, int error)
{
  if (loader->phase != DL_LOADER_SENDING)
    return;
  if (error == 0 || error == DL_ERR_UNKNOWN)
    {
      set_pending (loader, error == 0);
      set_phase (loader, DL_LOADER_LOADING, now_ms);
    }
  else if (error == DL_ERR_FENCED)
    fail (loader, now_ms, "the engine has seen a newer fencing number");
  else
    fail (loader, now_ms, "the engine refused the order");
}

bool
dl_loader_accepts (const DlLoader *loader, const DlLoaderFacts *f)
{
  bool recent_contact = f->in_contact
                        || (f->contact_since_ms > 0
                            && f->now_ms - f->contact_since_ms < DL_LOADER_CONTACT_MS);

  return loader->phase == DL_LOADER_IDLE && !loader->pending
         && predecessor_has_stopped (loader, f) && recent_contact && !f->stopping;
}
