#include "policy/load_proof.h"

#include <glib.h>

uint64_t
dl_load_proof_reads_from_ms (uint64_t draining_ms, uint64_t now_ms)
{
  if (now_ms >= draining_ms + DL_LOAD_SLOW_ENGINE_MS
      || now_ms <= draining_ms + DL_LOAD_PROOF_MAX_AGE_MS)
    return draining_ms;
  return now_ms - DL_LOAD_PROOF_MAX_AGE_MS;
}

/* The count of accepted commands is LOADS from now on. */
static void
set_loads (DlLoadProof *p, uint64_t loads)
{
  p->loads = loads;
  p->pending = false;
  p->overwritten = false;
}

/* What was sent since the last report of the engine before, commands and writes, may have
 * gone to the one that has started since.  A stager that has just started does not know
 * which commands and writes of its predecessor are under way. */
static void
set_engine (DlLoadProof *p, const DlProofReport *r)
{
  bool is_pending = !p->known || (p->pending && p->loads == r->loads);
  bool is_lost = p->write_lost && p->lost_sent_ms >= p->asked_ms;
  bool is_unknown = p->known && (p->overwritten || is_lost);

  p->write_lost = !p->known || is_lost;
  p->known = true;
  p->started_ms = r->started_ms;
  p->loads = r->loads;
  p->accepted_ms = r->now_ms;
  p->pending = is_pending;
  p->overwritten = is_pending && p->overwritten;
  /* Weights that no command loaded were given to the engine as it started. */
  if (r->loads == 0 || (!r->has_weights && !r->busy))
    p->state = DL_WEIGHTS_SOUND;
  else
    p->state = is_unknown ? DL_WEIGHTS_SPOILT : DL_WEIGHTS_UNCHECKED;
}

static void
accept_unseen (DlLoadProof *p, const DlProofReport *r)
{
  bool is_unknown = p->overwritten || p->write_lost;

  set_loads (p, r->loads);
  p->accepted_ms = r->now_ms;
  p->state = is_unknown ? DL_WEIGHTS_SPOILT : DL_WEIGHTS_UNCHECKED;
}

DlProofChange
dl_load_proof_report (DlLoadProof *p, const DlProofReport *r)
{
  DlProofChange change = DL_PROOF_UNCHANGED;

  if (!p->known || r->started_ms != p->started_ms)
    {
      set_engine (p, r);
      p->asked_ms = r->asked_ms;
      return DL_PROOF_NEW_ENGINE;
    }
  p->asked_ms = MAX (p->asked_ms, r->asked_ms);
  if (r->loads < p->loads)
    return DL_PROOF_UNCHANGED;
  if (r->loads > p->loads)
    {
      accept_unseen (p, r);
      change = DL_PROOF_ACCEPTED_LATE;
    }
  if (!r->has_weights && !r->busy)
    p->state = DL_WEIGHTS_SOUND;
  return change;
}

void
dl_load_proof_command_sent (DlLoadProof *p)
{
  p->awaited = true;
  p->awaited_loads = p->loads;
  p->awaited_started_ms = p->started_ms;
}

void
dl_load_proof_accepted (DlLoadProof *p, bool unloads, uint64_t now_ms)
{
  p->awaited = false;
  /* A report may have told first: of this command, of one more, or of a new engine. */
  if (p->loads > p->awaited_loads + 1 || p->started_ms != p->awaited_started_ms)
    return;
  set_loads (p, p->awaited_loads + 1);
  p->accepted_ms = now_ms;
  if (!unloads)
    p->state = DL_WEIGHTS_UNCHECKED;
}

void
dl_load_proof_refused (DlLoadProof *p)
{
  p->awaited = false;
}

void
dl_load_proof_given_up (DlLoadProof *p)
{
  p->awaited = false;
  p->pending = p->pending || p->awaited_loads == p->loads;
}

bool
dl_load_proof_may_write (const DlLoadProof *p, bool is_checked)
{
  return p->known && !p->awaited && !(is_checked && p->state == DL_WEIGHTS_UNCHECKED);
}

void
dl_load_proof_write_sent (DlLoadProof *p)
{
  p->overwritten = p->overwritten || p->pending;
}

void
dl_load_proof_write_lost (DlLoadProof *p, uint64_t sent_ms)
{
  p->lost_sent_ms = MAX (p->lost_sent_ms, sent_ms);
  p->write_lost = true;
}

void
dl_load_proof_checked (DlLoadProof *p, bool is_sound)
{
  if (p->state == DL_WEIGHTS_UNCHECKED)
    p->state = is_sound ? DL_WEIGHTS_SOUND : DL_WEIGHTS_SPOILT;
}

bool
dl_sound_load_told (DlSoundLoad *sound,
                    uint64_t started_ms,
                    uint64_t loads,
                    bool unchecked)
{
  if (!unchecked)
    *sound = (DlSoundLoad){ .known = true, .started_ms = started_ms, .loads = loads };
  return sound->known && sound->started_ms == started_ms && sound->loads == loads;
}
