/*
 * Refuses requests that crash upstreams, known by a part of their prompt or as a whole,
 * and reports to the policy how requests end.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/availability.h"
#include "policy/rendezvous.h"
#include "requests.h"

#define EXPIRE_MS          400 /* also until the others are told no more of the past */
#define STATUS_BAD_GATEWAY 502
/* Distinguishes the kinds of single services from DL_QUARANTINE_FARE_PARTS. */
#define FARE_SERVICE_BIT 2u

DL_METRIC (metric_quarantined,
           DL_METRIC_COUNTER,
           "daisy_direct_quarantined_total",
           "Prompt parts and whole requests quarantined because upstreams crash on them.")
DL_METRIC (metric_refused,
           DL_METRIC_COUNTER,
           "daisy_direct_quarantine_refused_total",
           "Requests refused for a quarantined prompt part, or as a whole.")
DL_METRIC (metric_trials,
           DL_METRIC_COUNTER,
           "daisy_direct_quarantine_trials_total",
           "Requests sent as the trial of a quarantined prompt part or whole request.")

/* -------- what changes the records -------- */

/* The record of the signature ID, or NULL when it is not quarantined. */
static const DlSignatureRecord *
find_quarantined (const Requests *requests, const DlSignature *id)
{
  DlSignatures only = { .count = 1, .ids = { *id } };

  return dl_quarantine_find (requests->quarantine, &only);
}

static void
log_quarantined (const Requests *requests, const DlSignature *id, const char *source)
{
  uint64_t now_ms = dl_clock_ms ();
  const DlSignatureRecord *r = find_quarantined (requests, id);

  dl_metric_add (&metric_quarantined, 1);
  dl_log (DL_EVENT_SIGNATURE_QUARANTINED, DL_TEXT ("signature", id->text),
          DL_TEXT ("source", source), DL_UINT ("crashes", r->crash_count),
          DL_UINT ("served", r->served_count), DL_UINT ("broken", r->broken_count),
          DL_UINT ("hold_ms", r->hold_ms > now_ms ? r->hold_ms - now_ms : 0));
}

/* Tells the task that writes to the store. */
static void
publish_held (Requests *requests, const DlSignature *id, bool is_held)
{
  const DlSignatureRecord *r = find_quarantined (requests, id);
  DirectMessage *message;

  if (!dl_signature_is_whole (id))
    return;
  message = direct_message_new (DIRECT_HELD_CHANGED);
  message->held.id = *id;
  message->held.is_held = is_held;
  message->held.trials = r != NULL ? r->trials : 0;
  dl_kernel_publish (dl_task_kernel (requests->task), message);
}

/* Logs what SOURCE, the id of a request or another entry, has changed. */
static void
handle_news (Requests *requests, const DlQuarantineNews *news, const char *source)
{
  for (size_t i = 0; i < news->quarantined_count; i++)
    {
      log_quarantined (requests, &news->quarantined[i], source);
      publish_held (requests, &news->quarantined[i], true);
    }
  for (size_t i = 0; i < news->released_count; i++)
    {
      dl_log (DL_EVENT_SIGNATURE_RELEASED, DL_TEXT ("signature", news->released[i].text),
              DL_TEXT ("source", source));
      publish_held (requests, &news->released[i], false);
    }
  requests->quarantine_grew = requests->quarantine_grew || news->quarantined_count > 0;
}

/* The kind of requests that fare like R. */
static uint64_t
fare_of (const Request *r)
{
  if (r->service_entry->has_engine)
    return DL_QUARANTINE_FARE_PARTS;
  return dl_rendezvous_score (dl_str (r->service->name), DL_STR_LITERAL ("fare"))
         | FARE_SERVICE_BIT;
}

static void
report_served (Request *r, const DlSignatures *signatures)
{
  DlFate fate = { .signatures = signatures, .fare = fare_of (r) };
  DlQuarantineNews news;

  dl_quarantine_served (r->owner->quarantine, &fate, dl_clock_ms (), &news);
  handle_news (r->owner, &news, r->incoming.id);
}

void
direct_quarantine_served (Request *r)
{
  report_served (r, &r->incoming.signatures);
}

void
direct_quarantine_answered (Request *r)
{
  DlSignatures whole = { .count = 1, .ids = { r->identity } };

  report_served (r, &whole);
}

void
direct_quarantine_broken_off (Request *r, const DirectUpstream *upstream)
{
  DlFate fate = {
    .signatures = &r->incoming.signatures,
    .fare = fare_of (r),
    .upstream = direct_upstream_key (upstream),
    .is_trial = r->is_trial,
  };

  if (!upstream->loading) /* a load aborts what runs */
    dl_quarantine_broken_off (r->owner->quarantine, &fate, dl_clock_ms ());
}

/* -------- requests -------- */

static const char *
refusal_reason (Request *r, const DlSignature *signature)
{
  if (dl_signature_is_whole (signature))
    return "upstreams crash on this request";
  return talloc_asprintf (r, "upstreams crash on part %s of its prompt", signature->text);
}

bool
direct_quarantine_admit (Request *r)
{
  const DlSignature *found = NULL;
  uint64_t retry_ms = 0;

  switch (dl_quarantine_admit (r->owner->quarantine, &r->incoming.signatures,
                               dl_clock_ms (), &found, &retry_ms))
    {
    case DL_QUARANTINE_ALLOW:
      return true;
    case DL_QUARANTINE_TRIAL:
      r->is_trial = true;
      dl_metric_add (&metric_trials, 1);
      dl_log (DL_EVENT_SIGNATURE_TRIAL, DL_TEXT ("request", r->incoming.id),
              DL_TEXT ("signature", found->text));
      return true;
    case DL_QUARANTINE_REFUSE:
      break;
    }
  dl_metric_add (&metric_refused, 1);
  direct_request_refuse (r, dl_availability_retry_ms (retry_ms, dl_random_uint64 ()),
                         refusal_reason (r, found));
  return false;
}

bool
direct_quarantine_holds (const Request *r)
{
  return dl_quarantine_find (r->owner->quarantine, &r->incoming.signatures) != NULL;
}

/* Tells of a trial if it is one of the whole request. */
static void
publish_trial (Request *r)
{
  DlSignatures whole = { .count = 1, .ids = { r->identity } };

  if (dl_quarantine_find (r->owner->quarantine, &whole) != NULL)
    publish_held (r->owner, &r->identity, true);
}

void
direct_quarantine_sent (Request *r)
{
  if (!r->is_trial || r->trial_sent)
    return;
  r->trial_sent = true;
  dl_quarantine_trial_sent (r->owner->quarantine, &r->incoming.signatures,
                            dl_clock_ms ());
  publish_trial (r);
}

bool
direct_quarantine_allows_retry (const Request *r, DlEndCause cause)
{
  DlQuarantineFailure kind = DL_QUARANTINE_MAY_HAVE_RUN;

  if (cause == DL_END_NOT_SENT)
    kind = DL_QUARANTINE_NOT_SENT;
  else if (cause == DL_END_NOT_RUN)
    kind = DL_QUARANTINE_NOT_RUN;
  return dl_quarantine_allows_retry (r->owner->quarantine, &r->incoming.signatures,
                                     r->is_trial, kind);
}

/* Ends the attempts of a quarantined request that have not started.  Returns true if one
 * goes on. */
static bool
goes_on_though_held (Request *r)
{
  bool goes_on = false;
  Attempt *next;

  for (Attempt *attempt = r->attempts; attempt != NULL; attempt = next)
    {
      DlEndDecision decision = direct_ending_decide (attempt, DL_END_QUARANTINED);
      char *id;

      next = direct_attempt_next (attempt);
      goes_on = goes_on || decision == DL_END_KEEP;
      if (decision != DL_END_LEAVE)
        continue;
      id = talloc_strdup (r, direct_attempt_upstream (attempt)->id);
      direct_attempt_cancel (attempt, DIRECT_ATTEMPT_NEUTRAL,
                             dl_end_cause_text (DL_END_QUARANTINED));
      direct_ending_handle (r, DL_END_QUARANTINED, id);
    }
  return goes_on;
}

/* Ends a request that was quarantined after its arrival, unless an upstream has begun to
 * respond. */
static void
end_if_held (Request *r, uint64_t now_ms)
{
  const DlSignatureRecord *held
      = dl_quarantine_find (r->owner->quarantine, &r->incoming.signatures);

  if (held == NULL || r->is_trial || goes_on_though_held (r))
    return;
  dl_metric_add (&metric_refused, 1);
  if (r->attempts == NULL && !r->may_have_run)
    direct_request_refuse (r, held->hold_ms > now_ms ? held->hold_ms - now_ms : 0,
                           refusal_reason (r, &held->id));
  else
    direct_request_fail (r, STATUS_BAD_GATEWAY, refusal_reason (r, &held->id));
}

static void
end_held_requests (Requests *requests, uint64_t now_ms)
{
  Request *next;

  for (Request *r = requests->first; r != NULL; r = next)
    {
      next = r->next;
      if (r->link != NULL)
        end_if_held (r, now_ms);
    }
}

static void
end_newly_held_requests (Requests *requests, uint64_t now_ms)
{
  if (!requests->quarantine_grew)
    return;
  requests->quarantine_grew = false;
  end_held_requests (requests, now_ms);
}

/* -------- the other entries -------- */

void
direct_quarantine_merge (Requests *requests, const DlSignatureRecords *records)
{
  uint64_t now_ms = dl_clock_ms ();
  DlQuarantineNews news;

  dl_quarantine_merge (requests->quarantine, records, now_ms, &news);
  handle_news (requests, &news, "another entry");
  end_newly_held_requests (requests, now_ms);
}

static void
publish_records (Requests *requests, bool is_urgent, uint64_t now_ms)
{
  DirectMessage *message = direct_message_new (DIRECT_SIGNATURE_RECORDS);

  message->signature_records = talloc_zero (message, DlSignatureRecords);
  dl_quarantine_export (requests->quarantine, now_ms, message->signature_records);
  message->signature_records->is_urgent = is_urgent;
  dl_kernel_publish (dl_task_kernel (requests->task), message);
}

void
direct_quarantine_restore (Requests *requests, const DlSignature *id, unsigned trials)
{
  uint64_t now_ms = dl_clock_ms ();
  DlQuarantineNews news;

  if (!dl_signature_is_whole (id))
    return;
  dl_quarantine_restore (requests->quarantine, id, trials, now_ms, &news);
  handle_news (requests, &news, "the store");
  end_newly_held_requests (requests, now_ms);
}

void
direct_quarantine_tick (Requests *requests, uint64_t now_ms)
{
  DlQuarantineNews news;

  dl_quarantine_judge (requests->quarantine, now_ms, &news);
  handle_news (requests, &news, "own judgement");
  end_newly_held_requests (requests, now_ms);
  if (dl_quarantine_take_changed (requests->quarantine))
    publish_records (requests, true, now_ms);
  if (now_ms < requests->quarantine_expired_ms + EXPIRE_MS)
    return;
  requests->quarantine_expired_ms = now_ms;
  dl_quarantine_expire (requests->quarantine, now_ms, &news);
  handle_news (requests, &news, "time");
  publish_records (requests, false, now_ms);
}

static int
count_before (const char *const *addresses, size_t count, const char *address)
{
  int before = 0;

  for (size_t i = 0; i < count; i++)
    before += strcmp (addresses[i], address) < 0;
  return before;
}

void
direct_quarantine_set_entries (Requests *requests, const DirectMessage *message)
{
  const char *own = requests->settings->listen;
  size_t near = message->entries.same_region_count;
  size_t far = message->entries.other_region_count;
  int position = -1;

  if (message->entries.is_ready)
    position = count_before (message->entries.same_region, near, own)
               + count_before (message->entries.other_region, far, own);
  dl_quarantine_set_turns (requests->quarantine, position, (unsigned)(near + far));
}
