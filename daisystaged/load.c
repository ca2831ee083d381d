/*
 * Sends load commands to the engine, and proves that what it took was sound.
 *
 * policy/load_proof.h decides what the proof is.
 */
#include <glib.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "platform.h"
#include "weights.h"

#define COMMAND_TIMEOUT_MS 1000
/* A command without a response may still be accepted; staging waits for this long. */
#define UNKNOWN_HOLD_MS 1500
/* So what a command that is answered has made the engine take is within the rules. */
G_STATIC_ASSERT (DL_LOAD_PROOF_MAX_AGE_MS + COMMAND_TIMEOUT_MS < DL_LOAD_SPOILT_MAX_MS);
/* The engine has answered a report that was asked for within this time. */
#define REPORT_MAX_AGE_MS 500

DL_METRIC (metric_late,
           DL_METRIC_COUNTER,
           "daisy_stage_commands_late_total",
           "Load commands that the engine accepted after they had been given up.")
DL_METRIC (metric_sound,
           DL_METRIC_COUNTER,
           "daisy_stage_taken_sound_total",
           "Loads of weights that were proven to be sound.")
DL_METRIC (metric_spoilt,
           DL_METRIC_COUNTER,
           "daisy_stage_taken_spoilt_total",
           "Loads of weights that may hold a bad chunk.")

static const DlBackoffBounds unload_pauses = { .first_ms = 200, .max_ms = 2000 };

/* -------- reports -------- */

static void
log_accepted_late (const Weights *w, uint64_t now_ms)
{
  dl_metric_add (&metric_late, 1);
  if (w->proof.state == DL_WEIGHTS_SPOILT)
    dl_metric_add (&metric_spoilt, 1);
  dl_log (DL_EVENT_STAGE_ORDERED_LATE, DL_TEXT ("engine", w->settings->engine),
          DL_UINT ("loads", w->proof.loads),
          DL_UINT ("sent_ms_ago", now_ms - w->command_ms),
          DL_UINT ("proof_age_ms", now_ms - w->proof_ms),
          DL_TEXT ("weights",
                   w->proof.state == DL_WEIGHTS_SPOILT ? "spoilt" : "unchecked"));
}

void
load_handle_report (Weights *w, const DlEngineReport *report)
{
  uint64_t now_ms = dl_clock_ms ();
  DlProofChange change
      = dl_load_proof_report (&w->proof, &(DlProofReport){
                                             .started_ms = report->started_ms,
                                             .loads = report->loads,
                                             .has_weights = report->has_weights,
                                             .busy = report->busy,
                                             .asked_ms = report->asked_ms,
                                             .now_ms = now_ms,
                                         });

  w->engine_known = true;
  w->engine = *report;
  w->engine.model = NULL; /* freed with the message */
  switch (change)
    {
    case DL_PROOF_UNCHANGED:
      break;
    case DL_PROOF_NEW_ENGINE:
      /* When its host lost power, staged chunks may be lost, too. */
      if (w->staging != NULL && w->staging->copies != NULL)
        weights_mark_unverified (w->staging);
      w->checking = false;
      w->taken_version = 0;
      break;
    case DL_PROOF_ACCEPTED_LATE:
      log_accepted_late (w, now_ms);
      w->checking = false;
      w->taken_version = 0;
      break;
    }
}

/* -------- checking what the engine took -------- */

bool
load_engine_has_current (const Weights *w)
{
  uint64_t version = w->staging->bundle->version;

  if (version == 0 || !w->engine_known)
    return false;
  return w->engine.busy ? w->taken_version == version : w->engine.version == version;
}

bool
load_engine_has_other (const Weights *w)
{
  return w->engine_known && w->engine.loads == w->proof.loads && !w->engine.busy
         && w->engine.version != w->staging->bundle->version;
}

bool
load_allows_writes (const Weights *w)
{
  return dl_load_proof_may_write (&w->proof, w->staging->bundle->version,
                                  load_engine_has_other (w));
}

/* Chunks that were read before the engine took them prove nothing. */
static void
begin_check (Weights *w)
{
  Staging *s = w->staging;

  for (unsigned i = 0; i < s->bundle->count; i++)
    if (s->copies[i].state == STAGED_ABSENT || s->copies[i].state == STAGED_VERIFIED)
      s->copies[i].state = STAGED_WRITTEN;
  w->checking = true;
}

/* The index of a chunk that is not staged as it should be; -1: none is known to be. */
static int
find_bad (const Staging *s)
{
  for (unsigned i = 0; i < s->bundle->count; i++)
    if (s->copies[i].state == STAGED_ABSENT)
      return (int)i;
  return -1;
}

/* BAD as from find_bad.  Weights may count as spoilt without a bad chunk, as one may have
 * been mended. */
static void
end_check (Weights *w, int bad)
{
  uint64_t now_ms = dl_clock_ms ();

  w->checking = false;
  dl_load_proof_checked (&w->proof, bad < 0);
  if (w->proof.state == DL_WEIGHTS_SOUND)
    {
      dl_metric_add (&metric_sound, 1);
      dl_log (DL_EVENT_STAGE_TAKEN_SOUND, DL_TEXT ("engine", w->settings->engine),
              DL_UINT ("version", w->staging->bundle->version),
              DL_UINT ("loads", w->proof.loads),
              DL_UINT ("accepted_ms_ago", now_ms - w->proof.accepted_ms));
      return;
    }
  dl_metric_add (&metric_spoilt, 1);
  dl_log (DL_EVENT_STAGE_TAKEN_SPOILT, DL_TEXT ("engine", w->settings->engine),
          DL_UINT ("version", w->staging->bundle->version),
          DL_UINT ("loads", w->proof.loads), DL_INT ("chunk", bad),
          DL_UINT ("accepted_ms_ago", now_ms - w->proof.accepted_ms));
}

void
load_check (Weights *w)
{
  Staging *s = w->staging;
  bool all_sound;
  int bad;

  if (w->proof.state != DL_WEIGHTS_UNCHECKED || !load_engine_has_current (w)
      || s->copies == NULL)
    return;
  if (!w->checking)
    begin_check (w);
  all_sound = stage_verify (s, w->proof.accepted_ms);
  bad = find_bad (s);
  if (all_sound || bad >= 0)
    end_check (w, bad);
}

/* -------- commands -------- */

static const char *
outcome_text (DlLoadOutcome outcome)
{
  switch (outcome)
    {
    case DL_LOAD_ACCEPTED:
      return "begun";
    case DL_LOAD_ALREADY_IN_EFFECT:
      return "already in effect";
    case DL_LOAD_CONFLICT:
      return "not possible in the engine's state";
    case DL_LOAD_FENCED:
      return "fenced: older than a command already seen";
    case DL_LOAD_INVALID:
      return "invalid";
    case DL_LOAD_UNKNOWN:
      return "no usable response";
    }
  return "";
}

/* VERSION: 0 if the command was to give up the weights. */
static void
take_in_outcome (Weights *w, DlLoadOutcome outcome, uint64_t version)
{
  uint64_t now_ms = dl_clock_ms ();

  w->staging_blocked_until_ms = 0;
  switch (outcome)
    {
    case DL_LOAD_ACCEPTED:
      dl_load_proof_accepted (&w->proof, version == 0, w->proof_ms, now_ms);
      w->taken_version = version;
      w->checking = false;
      break;
    case DL_LOAD_UNKNOWN:
      dl_load_proof_given_up (&w->proof);
      w->staging_blocked_until_ms = now_ms + UNKNOWN_HOLD_MS;
      break;
    case DL_LOAD_ALREADY_IN_EFFECT:
    case DL_LOAD_CONFLICT:
    case DL_LOAD_FENCED:
    case DL_LOAD_INVALID:
      dl_load_proof_refused (&w->proof);
      break;
    }
}

static void
log_outcome (const Weights *w, const DlHttpResult *result, DlLoadOutcome outcome)
{
  const DlBundle *b = w->staging != NULL ? w->staging->bundle : NULL;
  uint64_t now_ms = dl_clock_ms ();

  if (outcome == DL_LOAD_ACCEPTED || outcome == DL_LOAD_ALREADY_IN_EFFECT)
    dl_log (DL_EVENT_STAGE_ORDERED, DL_TEXT ("engine", w->settings->engine),
            DL_UINT ("version", b != NULL ? b->version : 0),
            DL_TEXT ("outcome", outcome_text (outcome)),
            DL_UINT ("named_ms_ago", b != NULL ? now_ms - b->announced_ms : 0),
            DL_UINT ("sent_ms_ago", now_ms - w->command_ms),
            DL_UINT ("proof_age_ms", now_ms - w->proof_ms));
  else
    dl_log (DL_EVENT_STAGE_ORDER_REFUSED, DL_TEXT ("engine", w->settings->engine),
            DL_UINT ("version", b != NULL ? b->version : 0),
            DL_TEXT ("outcome", outcome_text (outcome)),
            DL_UINT ("status", result->status),
            DL_UINT ("sent_ms_ago", now_ms - w->command_ms),
            DL_UINT ("proof_age_ms", now_ms - w->proof_ms));
}

static void
on_load_response (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  Weights *w = data;
  DlLoadOutcome outcome = platform_read_load_outcome (result);

  log_outcome (w, result, outcome);
  take_in_outcome (w, outcome, w->staging->bundle->version);
  if (w->phase == PHASE_LOAD_COMMAND)
    weights_set_phase (w, PHASE_LOADING);
  weights_run (w);
}

static void
on_unload_response (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  Weights *w = data;
  DlLoadOutcome outcome = platform_read_load_outcome (result);

  log_outcome (w, result, outcome);
  take_in_outcome (w, outcome, 0);
  if (outcome == DL_LOAD_ACCEPTED)
    dl_backoff_succeeded (&w->unloads);
  else
    dl_backoff_failed (&w->unloads, &unload_pauses, dl_clock_ms ());
  weights_run (w);
}

/* When the oldest read was sent by which the chunks were verified. */
static uint64_t
oldest_read_ms (const Staging *s)
{
  uint64_t oldest_ms = UINT64_MAX;

  for (unsigned i = 0; i < s->bundle->count; i++)
    oldest_ms = MIN (oldest_ms, s->copies[i].read_ms);
  return oldest_ms;
}

/* True if the engine answers, and its last report includes its last command. */
static bool
engine_responds (const Weights *w, uint64_t now_ms)
{
  return w->engine_known && now_ms - w->engine.asked_ms <= REPORT_MAX_AGE_MS
         && w->engine.loads == w->proof.loads;
}

static bool
may_send_command (const Weights *w)
{
  return !w->draining && !w->is_evacuated && !w->proof.awaited
         && dl_load_proof_may_command (&w->proof) && engine_responds (w, dl_clock_ms ());
}

static void
send_command (Weights *w,
              bool preempt,
              bool unload,
              void (*on_done) (DlHttpCall *call, const DlHttpResult *result, void *data))
{
  const DlBundle *b = w->staging->bundle;
  uint64_t now_ms = dl_clock_ms ();

  w->command_ms = now_ms;
  w->proof_ms = unload ? now_ms : oldest_read_ms (w->staging);
  dl_log (DL_EVENT_STAGE_ORDER_SENT, DL_TEXT ("engine", w->settings->engine),
          DL_UINT ("version", b->version), DL_TEXT ("what", unload ? "unload" : "load"),
          DL_TEXT ("mode", preempt ? "cut off what runs" : "after what runs"),
          DL_UINT ("loads", w->proof.loads),
          DL_UINT ("report_age_ms", now_ms - w->engine.asked_ms),
          DL_UINT ("proof_age_ms", now_ms - w->proof_ms),
          DL_UINT ("pending", w->proof.pending),
          DL_UINT ("write_lost", w->proof.write_lost));
  dl_load_proof_command_sent (&w->proof, now_ms);
  platform_call_load (w->client, w, w->settings->engine,
                      &(DlLoadCommand){
                          .model = b->model,
                          .version = b->version,
                          .loads = w->proof.loads,
                          .preempt = preempt,
                          .unload = unload,
                      },
                      &(DlHttpCallOptions){
                          .connect_timeout_ms = COMMAND_TIMEOUT_MS,
                          .timeout_ms = COMMAND_TIMEOUT_MS,
                          .single_use = true,
                          .on_done = on_done,
                          .data = w,
                      });
}

void
load_send_command (Weights *w, bool preempt)
{
  if (!may_send_command (w))
    return;
  weights_set_phase (w, PHASE_LOAD_COMMAND);
  send_command (w, preempt, false, on_load_response);
}

void
load_send_unload (Weights *w)
{
  if (!may_send_command (w) || !dl_backoff_allows (&w->unloads, dl_clock_ms ()))
    return;
  send_command (w, true, true, on_unload_response);
}
