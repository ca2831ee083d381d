#include "policy/load_proof.h"

#include <glib.h>

uint64_t
dl_load_proof_reads_from_ms (uint64_t draining_ms, uint64_t now_ms)
{
  return now_ms - (now_ms - draining_ms) % DL_LOAD_PROOF_MAX_AGE_MS;
}

/* -------- the record -------- */

static bool
is_load (const DlSoundLoad *sound, uint64_t started_ms, uint64_t loads)
{
  return sound->known && sound->started_ms == started_ms && sound->loads == loads;
}

/* An engine whose start time is unknown cannot be told from the one before it. */
static DlWeightsState
state_by_record (const DlLoadProof *p)
{
  bool is_sound = p->started_ms != 0 && is_load (&p->record, p->started_ms, p->loads);

  return is_sound ? DL_WEIGHTS_SOUND : DL_WEIGHTS_SPOILT;
}

void
dl_load_proof_recorded (DlLoadProof *p, const DlSoundLoad *record)
{
  p->record_read = true;
  p->record = *record;
  if (p->state == DL_WEIGHTS_UNKNOWN)
    p->state = state_by_record (p);
}

bool
dl_load_proof_may_command (const DlLoadProof *p)
{
  return !p->record.known || p->record.started_ms != p->started_ms
         || p->record.loads <= p->loads;
}

/* -------- reports -------- */

/* True when what was sent at SENT_MS may have gone to the engine that has just started in
 * place of the known one. */
static bool
may_reach_new_engine (const DlLoadProof *p, uint64_t sent_ms)
{
  return sent_ms > p->asked_ms;
}

static DlWeightsState
state_after_loads (bool is_unknown)
{
  return is_unknown ? DL_WEIGHTS_SPOILT : DL_WEIGHTS_UNCHECKED;
}

static void
set_report (DlLoadProof *p, const DlProofReport *r)
{
  p->known = true;
  p->started_ms = r->started_ms;
  p->loads = r->loads;
  p->asked_ms = r->asked_ms;
}

/* The first report to a stager, which does not know what its predecessor has under way.
 * Weights that no command loaded were given to the engine as it started. */
static void
set_first_engine (DlLoadProof *p, const DlProofReport *r)
{
  set_report (p, r);
  p->first_ms = r->now_ms;
  p->accepted_ms = r->now_ms;
  p->pending = true;
  p->write_lost = true;
  p->lost_ms = r->now_ms;
  if (r->loads == 0 || (!r->has_weights && !r->busy))
    p->state = DL_WEIGHTS_SOUND;
  else
    p->state = p->record_read ? state_by_record (p) : DL_WEIGHTS_UNKNOWN;
}

static void
set_new_engine (DlLoadProof *p, const DlProofReport *r)
{
  bool may_have_command
      = (p->pending || p->awaited) && may_reach_new_engine (p, p->command_ms);
  bool may_have_write = p->write_lost && may_reach_new_engine (p, p->lost_ms);
  bool overwritten = may_have_write || (may_have_command && p->overwritten);

  set_report (p, r);
  p->accepted_ms = r->now_ms;
  p->write_lost = may_have_write;
  p->own_write_lost = p->own_write_lost && may_have_write;
  p->pending = may_have_command && r->loads == p->command_loads;
  p->overwritten = p->pending && overwritten;
  p->state = r->loads > 0 && (r->has_weights || r->busy) ? state_after_loads (overwritten)
                                                         : DL_WEIGHTS_SOUND;
}

static void
accept_unseen (DlLoadProof *p, const DlProofReport *r)
{
  p->loads = r->loads;
  p->accepted_ms = r->now_ms;
  p->state = state_after_loads (p->overwritten || p->write_lost);
  p->pending = false;
  p->overwritten = false;
}

/* An engine of which the start time is unknown, or repeated, has started again when its
 * count is lower than it was before the report was asked for. */
static bool
is_new_engine (const DlLoadProof *p, const DlProofReport *r)
{
  return r->started_ms != p->started_ms
         || (r->loads < p->loads && r->asked_ms > p->accepted_ms);
}

DlProofChange
dl_load_proof_report (DlLoadProof *p, const DlProofReport *r)
{
  DlProofChange change = DL_PROOF_UNCHANGED;

  if (!p->known)
    {
      set_first_engine (p, r);
      return DL_PROOF_NEW_ENGINE;
    }
  if (is_new_engine (p, r))
    {
      set_new_engine (p, r);
      return DL_PROOF_NEW_ENGINE;
    }
  if (r->loads < p->loads)
    return DL_PROOF_UNCHANGED;
  p->asked_ms = r->asked_ms;
  if (r->loads > p->loads)
    {
      accept_unseen (p, r);
      change = DL_PROOF_ACCEPTED_LATE;
    }
  if (!r->has_weights && !r->busy)
    p->state = DL_WEIGHTS_SOUND;
  return change;
}

/* -------- commands -------- */

void
dl_load_proof_command_sent (DlLoadProof *p, uint64_t now_ms)
{
  p->awaited = true;
  p->command_ms = now_ms;
  p->command_loads = p->loads;
  p->command_started_ms = p->started_ms;
}

/* True when a write of a predecessor, of another version, may have spoilt a chunk before
 * the acceptance that a late one of this stager has mended since. */
static bool
may_be_mended (const DlLoadProof *p, uint64_t now_ms)
{
  return p->own_write_lost && now_ms - p->first_ms < DL_LOAD_PREDECESSOR_WRITES_MS;
}

void
dl_load_proof_accepted (DlLoadProof *p, bool unloads, uint64_t proof_ms, uint64_t now_ms)
{
  if (p->started_ms != p->command_started_ms)
    {
      /* Of the engine before or of the new one. */
      dl_load_proof_given_up (p);
      return;
    }
  p->awaited = false;
  /* A report may have told first; when it tells of one more, that is another's. */
  if (p->loads > p->command_loads + 1)
    return;
  p->loads = p->command_loads + 1;
  p->accepted_ms = now_ms;
  p->pending = false;
  /* Within that time a bad chunk may be taken, whether it has been mended since or not.
   */
  p->overwritten = may_be_mended (p, now_ms)
                   || (p->write_lost && now_ms - proof_ms > DL_LOAD_SPOILT_MAX_MS);
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
  p->pending = p->pending || p->command_loads == p->loads;
}

/* -------- writes and the check -------- */

bool
dl_load_proof_may_write (const DlLoadProof *p, uint64_t version, bool other_version)
{
  return p->known && !p->awaited && (p->state == DL_WEIGHTS_SOUND || other_version)
         && (p->open_writes == 0 || p->open_version == version);
}

void
dl_load_proof_write_sent (DlLoadProof *p, uint64_t version)
{
  g_assert (!p->awaited);
  p->open_writes++;
  p->open_version = version;
  p->overwritten
      = p->overwritten || p->pending || !p->known || p->state == DL_WEIGHTS_UNCHECKED;
}

void
dl_load_proof_write_ended (DlLoadProof *p)
{
  g_assert (p->open_writes > 0);
  p->open_writes--;
}

void
dl_load_proof_write_lost (DlLoadProof *p, uint64_t sent_ms)
{
  p->write_lost = true;
  p->own_write_lost = true;
  p->lost_ms = MAX (p->lost_ms, sent_ms);
}

void
dl_load_proof_checked (DlLoadProof *p, bool is_sound)
{
  if (p->state == DL_WEIGHTS_UNCHECKED)
    p->state = is_sound && !p->overwritten ? DL_WEIGHTS_SOUND : DL_WEIGHTS_SPOILT;
}

/* -------- what entries remember -------- */

bool
dl_sound_load_told (DlSoundLoad *sound,
                    uint64_t started_ms,
                    uint64_t loads,
                    bool unchecked)
{
  if (!unchecked)
    *sound = (DlSoundLoad){ .known = true, .started_ms = started_ms, .loads = loads };
  return is_load (sound, started_ms, loads);
}
