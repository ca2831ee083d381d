/* The stager of the load driver, as in daisystaged. */
#include <string.h>

#include "load_world.h"

#define STAGE_CALLS_MAX   4
#define CALL_TIMEOUT_MS   1000
#define REPORT_TIMEOUT_MS 400
#define REPORT_EVERY_MS   100
#define REPORT_MAX_AGE_MS 500
#define MISSES_MAX        2
#define UNKNOWN_HOLD_MS   1500
#define LOAD_RETRY_MS     700
#define DRAIN_NOTICE_MS   60
#define UNLOAD_PAUSE_MS   200
#define FREEZE_MAX_MS     6000
#define WRITE_OPEN_MAX_MS 10000
#define STORE_MAX_MS      400

static void
set_phase (World *w, Phase phase)
{
  w->stager.phase = phase;
  w->stager.phase_ms = w->now_ms;
}

static bool
is_served (const Stager *s)
{
  return s->engine_known && s->engine_version >= s->version;
}

static bool
took_current (const Stager *s)
{
  return s->engine.busy ? s->taken_version == s->version
                        : s->engine_version == s->version;
}

static bool
engine_has_other (const Stager *s)
{
  return s->engine_known && s->engine.loads == s->proof.loads && !s->engine.busy
         && s->engine_version != s->version;
}

static bool
engine_has_current (const Stager *s)
{
  return s->engine_known && took_current (s);
}

static void
stage_write (World *w)
{
  Stager *s = &w->stager;

  if (w->now_ms < s->blocked_until_ms
      || !dl_load_proof_may_write (&s->proof, s->version, engine_has_other (s)))
    return;
  for (unsigned i = 0; i < CHUNKS && s->calls < STAGE_CALLS_MAX; i++)
    {
      Call *c;

      if (s->copies[i].state != COPY_ABSENT)
        continue;
      s->copies[i].state = COPY_WRITING;
      dl_load_proof_write_sent (&s->proof, s->version);
      s->calls++;
      c = load_call_new (w, CALL_WRITE);
      c->chunk = i;
      c->version = s->version;
      load_say (w, "stager sends write %u of chunk %u", c->number, i);
    }
}

static bool
stage_verify (World *w, uint64_t since_ms)
{
  Stager *s = &w->stager;
  unsigned verified = 0;

  for (unsigned i = 0; i < CHUNKS; i++)
    {
      Copy *copy = &s->copies[i];
      bool is_verified = copy->state == COPY_VERIFIED && copy->read_ms >= since_ms;

      verified += is_verified;
      if (is_verified || s->calls >= STAGE_CALLS_MAX
          || (copy->state != COPY_WRITTEN && copy->state != COPY_VERIFIED))
        continue;
      copy->state = COPY_READING;
      s->calls++;
      load_call_new (w, CALL_READ)->chunk = i;
    }
  return verified == CHUNKS;
}

static bool
is_read_back (const Stager *s)
{
  for (unsigned i = 0; i < CHUNKS; i++)
    if (s->copies[i].state == COPY_WRITTEN || s->copies[i].state == COPY_READING)
      return false;
  return true;
}

static void
begin_check (Stager *s)
{
  for (unsigned i = 0; i < CHUNKS; i++)
    if (s->copies[i].state == COPY_ABSENT || s->copies[i].state == COPY_VERIFIED)
      s->copies[i].state = COPY_WRITTEN;
  s->checking = true;
}

static void
check (World *w)
{
  Stager *s = &w->stager;
  bool all_sound;
  bool any_bad = false;

  if (s->proof.state != DL_WEIGHTS_UNCHECKED || !engine_has_current (s))
    return;
  if (!s->checking)
    begin_check (s);
  all_sound = stage_verify (w, s->proof.accepted_ms);
  for (unsigned i = 0; i < CHUNKS; i++)
    any_bad = any_bad || s->copies[i].state == COPY_ABSENT;
  if (!all_sound && !any_bad)
    return;
  s->checking = false;
  dl_load_proof_checked (&s->proof, !any_bad);
  load_say (w, "stager's check of count %" G_GUINT64_FORMAT " ends: %s", s->proof.loads,
            any_bad ? "bad" : "sound");
}

static bool
engine_responds (const World *w)
{
  const Stager *s = &w->stager;

  return s->engine_known && dl_load_proof_may_command (&s->proof)
         && w->now_ms - s->asked_ms <= REPORT_MAX_AGE_MS
         && s->engine.loads == s->proof.loads;
}

static void
send_command (World *w, CallType type)
{
  Stager *s = &w->stager;
  Call *c = load_call_new (w, type);

  c->version = s->version;
  c->loads = s->proof.loads;
  c->proof_ms = w->now_ms;
  for (unsigned i = 0; i < CHUNKS; i++)
    c->proof_ms = MIN (c->proof_ms, s->copies[i].read_ms);
  dl_load_proof_command_sent (&s->proof, w->now_ms);
  load_say (w, "stager sends command %u for count %" G_GUINT64_FORMAT ": %s", c->number,
            c->loads, type == CALL_UNLOAD ? "unload" : "load");
}

static void
run_wait (World *w)
{
  Stager *s = &w->stager;

  stage_write (w);
  if (!is_served (s))
    {
      if (s->engine_known && !s->engine.busy)
        set_phase (w, PHASE_DRAIN);
    }
  else if (s->proof.state == DL_WEIGHTS_SOUND || !engine_has_current (s))
    set_phase (w, PHASE_DONE);
}

static void
run_drain (World *w)
{
  Stager *s = &w->stager;
  bool verified;

  stage_write (w);
  verified = stage_verify (w, dl_load_proof_reads_from_ms (s->phase_ms, w->now_ms));
  if (!verified || w->now_ms < s->phase_ms + DRAIN_NOTICE_MS || !engine_responds (w))
    return;
  set_phase (w, PHASE_LOAD_COMMAND);
  send_command (w, CALL_LOAD);
}

static void
run_loading (World *w)
{
  Stager *s = &w->stager;

  check (w);
  if (is_served (s) && !s->engine.busy
      && (s->proof.state == DL_WEIGHTS_SOUND || !engine_has_current (s)))
    set_phase (w, PHASE_DONE);
  else if (!s->engine.busy && !is_served (s)
           && (s->proof.state != DL_WEIGHTS_UNCHECKED || engine_has_other (s))
           && w->now_ms - s->phase_ms >= LOAD_RETRY_MS)
    set_phase (w, PHASE_DRAIN);
}

static void
run_unload (World *w)
{
  Stager *s = &w->stager;

  if (s->proof.state == DL_WEIGHTS_SOUND)
    set_phase (w, PHASE_FETCH);
  else if (!s->engine.busy && !s->proof.awaited && engine_responds (w)
           && w->now_ms >= s->unload_from_ms)
    send_command (w, CALL_UNLOAD);
}

static void
run_recover (World *w)
{
  Stager *s = &w->stager;

  for (unsigned i = 0; i < CHUNKS && !s->recovered; i++)
    s->copies[i].state = COPY_WRITTEN;
  s->recovered = true;
  stage_verify (w, 0);
  if (is_read_back (s))
    set_phase (w, PHASE_FETCH);
}

static void
act_on_proof (World *w)
{
  Stager *s = &w->stager;

  if (s->proof.awaited)
    return;
  if (s->proof.state == DL_WEIGHTS_SPOILT && is_served (s) && s->phase != PHASE_UNLOAD)
    set_phase (w, PHASE_UNLOAD);
  else if (s->proof.state == DL_WEIGHTS_UNCHECKED && engine_has_current (s)
           && (s->phase == PHASE_WAIT || s->phase == PHASE_DRAIN
               || s->phase == PHASE_DONE))
    set_phase (w, PHASE_LOADING);
}

static void
give_write_up (World *w, Call *c)
{
  load_say (w, "stager gives write %u up", c->number);
  c->given_up = true;
  dl_load_proof_write_lost (&w->stager.proof, c->sent_ms);
}

/* The reads of the version before are cancelled.  Its writes stay open. */
static void
promote (World *w)
{
  Stager *s = &w->stager;

  for (unsigned i = 0; i < CALLS_MAX; i++)
    {
      Call *c = &w->calls[i];

      if (c->type == CALL_READ)
        c->has_sender = false;
      else if (c->type == CALL_WRITE && c->has_sender && !c->given_up)
        give_write_up (w, c);
    }
  memset (s->copies, 0, sizeof s->copies);
  s->calls = 0;
  s->version = w->newest;
  s->checking = false;
  set_phase (w, s->recovered ? PHASE_FETCH : PHASE_RECOVER);
  load_say (w, "stager's version is %" G_GUINT64_FORMAT, s->version);
}

static void
run_phase (World *w)
{
  switch (w->stager.phase)
    {
    case PHASE_RECOVER:
      run_recover (w);
      break;
    case PHASE_FETCH:
      stage_write (w);
      set_phase (w, PHASE_WAIT);
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
      if (w->stager.engine_known && !is_served (&w->stager))
        set_phase (w, PHASE_FETCH);
      break;
    }
}

static void
run_stager (World *w)
{
  Stager *s = &w->stager;

  act_on_proof (w);
  run_phase (w);
  if (s->version != w->newest && s->phase != PHASE_DRAIN && s->phase != PHASE_LOAD_COMMAND
      && s->phase != PHASE_LOADING)
    promote (w);
}

/* -------- responses -------- */

static void
handle_report (World *w, const Call *c)
{
  Stager *s = &w->stager;
  DlProofReport report = c->report;
  DlProofChange change;

  report.asked_ms = c->sent_ms;
  report.now_ms = w->now_ms;
  change = dl_load_proof_report (&s->proof, &report);
  s->engine_known = true;
  s->misses = 0;
  s->engine = report;
  s->engine_version = c->version;
  s->asked_ms = c->sent_ms;
  if (change == DL_PROOF_UNCHANGED)
    return;
  for (unsigned i = 0; i < CHUNKS && change == DL_PROOF_NEW_ENGINE; i++)
    if (s->copies[i].state == COPY_VERIFIED)
      s->copies[i].state = COPY_WRITTEN;
  s->checking = false;
  s->taken_version = 0;
  load_say (w, "a report tells of %s, count %" G_GUINT64_FORMAT ": %s",
            change == DL_PROOF_NEW_ENGINE ? "an engine" : "an acceptance", report.loads,
            s->proof.state == DL_WEIGHTS_SPOILT      ? "spoilt"
            : s->proof.state == DL_WEIGHTS_UNCHECKED ? "unchecked"
            : s->proof.state == DL_WEIGHTS_UNKNOWN   ? "unknown"
                                                     : "sound");
}

static void
handle_outcome (World *w, const Call *c, bool responded)
{
  Stager *s = &w->stager;
  bool unload = c->type == CALL_UNLOAD;

  s->blocked_until_ms = 0;
  s->unload_from_ms = w->now_ms + UNLOAD_PAUSE_MS;
  if (!responded)
    {
      load_say (w, "stager gives command %u up", c->number);
      dl_load_proof_given_up (&s->proof);
      s->blocked_until_ms = w->now_ms + UNKNOWN_HOLD_MS;
    }
  else if (c->answered_no)
    dl_load_proof_refused (&s->proof);
  else
    {
      load_say (w, "stager learns that command %u is accepted", c->number);
      dl_load_proof_accepted (&s->proof, unload, c->proof_ms, w->now_ms);
      s->taken_version = unload ? 0 : c->version;
      s->checking = false;
      if (w->now_ms - c->proof_ms <= DL_LOAD_SPOILT_MAX_MS)
        w->answered = c->number;
    }
  if (s->phase == PHASE_LOAD_COMMAND)
    set_phase (w, PHASE_LOADING);
}

static void
handle_response (World *w, const Call *c, bool responded)
{
  Stager *s = &w->stager;
  Copy *copy = &s->copies[c->chunk];

  switch (c->type)
    {
    case CALL_NONE:
      break;
    case CALL_READ:
      s->calls--;
      copy->state = !responded && (s->checking || s->phase != PHASE_RECOVER)
                        ? COPY_WRITTEN
                        : COPY_ABSENT;
      if (responded && c->version == s->version)
        *copy = (Copy){ .state = COPY_VERIFIED, .read_ms = c->sent_ms };
      break;
    case CALL_WRITE:
      dl_load_proof_write_ended (&s->proof);
      if (c->given_up)
        break;
      s->calls--;
      copy->state = responded ? COPY_WRITTEN : COPY_ABSENT;
      if (!responded)
        dl_load_proof_write_lost (&s->proof, c->sent_ms);
      break;
    case CALL_LOAD:
    case CALL_UNLOAD:
      handle_outcome (w, c, responded);
      break;
    case CALL_REPORT:
      s->report_asked = false;
      s->next_report_ms = w->now_ms + REPORT_EVERY_MS;
      if (responded)
        handle_report (w, c);
      else if (++s->misses >= MISSES_MAX)
        s->engine_known = false;
      break;
    }
}

static uint64_t
call_timeout_ms (const Call *c)
{
  switch (c->type)
    {
    case CALL_REPORT:
      return REPORT_TIMEOUT_MS;
    case CALL_WRITE:
      return WRITE_OPEN_MAX_MS;
    default:
      return CALL_TIMEOUT_MS;
    }
}

/* The chunk of a late write is written once more, though the write stays open. */
static void
give_up_late_write (World *w, Call *c)
{
  Stager *s = &w->stager;

  if (c->type != CALL_WRITE || !c->has_sender || c->given_up
      || w->now_ms < c->sent_ms + CALL_TIMEOUT_MS)
    return;
  s->calls--;
  s->copies[c->chunk].state = COPY_ABSENT;
  give_write_up (w, c);
}

/* A stager that stood still may find the response as well as its own timer. */
static void
step_call (World *w, Call *c)
{
  bool is_late = c->broken || w->now_ms >= c->sent_ms + call_timeout_ms (c);
  bool responded = c->landed && w->now_ms >= c->response_ms;

  if (!responded)
    give_up_late_write (w, c);
  if (c->has_sender && (responded || is_late))
    {
      Call done = *c;

      c->has_sender = false;
      handle_response (w, &done,
                       responded && !(is_late && load_chance (w, PER_THOUSAND / 2)));
      run_stager (w);
    }
}

void
load_stager_start (World *w)
{
  for (unsigned i = 0; i < CALLS_MAX; i++)
    w->calls[i].has_sender = false;
  w->store.has_sender = false;
  w->stager = (Stager){
    .version = w->newest,
    .record_read_ms = w->now_ms + load_random_below (w, STORE_MAX_MS),
  };
  set_phase (w, PHASE_RECOVER);
  load_say (w, "a stager starts, version %" G_GUINT64_FORMAT, w->newest);
}

/* -------- the record of the last sound load -------- */

void
load_stager_recorded (World *w, const DlSoundLoad *record)
{
  w->stager.recorded = *record;
  dl_load_proof_recorded (&w->stager.proof, record);
}

static void
read_record (World *w)
{
  Stager *s = &w->stager;

  if (s->proof.record_read || w->now_ms < s->record_read_ms)
    return;
  load_stager_recorded (w, &w->store.record);
  load_say (w, "stager reads the record: count %" G_GUINT64_FORMAT, s->recorded.loads);
}

/* A write that lands after its sender has ended holds as well. */
static void
write_record (World *w)
{
  Stager *s = &w->stager;
  const DlLoadProof *p = &s->proof;

  bool is_same_engine = s->recorded.known && s->recorded.started_ms == p->started_ms;

  if (!p->record_read || !p->known || p->state != DL_WEIGHTS_SOUND
      || w->store.write_ms != 0 || (is_same_engine && s->recorded.loads == p->loads)
      || (!is_same_engine && p->loads == 0))
    return;
  w->store.written
      = (DlSoundLoad){ .known = true, .started_ms = p->started_ms, .loads = p->loads };
  w->store.has_sender = true;
  w->store.write_ms = w->now_ms + 1 + load_random_below (w, STORE_MAX_MS);
}

void
load_step_stager (World *w)
{
  Stager *s = &w->stager;

  if (w->options.successors && load_chance (w, w->kill))
    load_stager_start (w);
  if (load_chance (w, w->freeze))
    s->frozen_until_ms = w->now_ms + load_random_below (w, FREEZE_MAX_MS);
  if (w->now_ms < s->frozen_until_ms)
    return;
  if (!s->report_asked && w->now_ms >= s->next_report_ms)
    {
      s->report_asked = true;
      load_call_new (w, CALL_REPORT);
    }
  for (unsigned i = 0; i < CALLS_MAX; i++)
    if (w->calls[i].type != CALL_NONE)
      step_call (w, &w->calls[i]);
  read_record (w);
  run_stager (w);
  write_record (w);
}
