/*
 * Refuses requests with prompt parts that crash upstreams, and reports to the policy how
 * requests end.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "policy/availability.h"
#include "requests.h"

#define EXPIRE_MS          400 /* also until the others are told no more of the past */
#define STATUS_BAD_GATEWAY 502

DL_METRIC (metric_quarantined,
           DL_METRIC_COUNTER,
           "daisy_direct_parts_quarantined_total",
           "Prompt parts quarantined because upstreams crash on them.")
DL_METRIC (metric_refused,
           DL_METRIC_COUNTER,
           "daisy_direct_quarantine_refused_total",
           "Requests refused for a quarantined prompt part.")
DL_METRIC (metric_trials,
           DL_METRIC_COUNTER,
           "daisy_direct_quarantine_trials_total",
           "Requests sent as the trial of a quarantined prompt part.")

/* -------- what changes the records -------- */

static void
log_quarantined (const Requests *requests, const DlSignature *id, const char *source)
{
  uint64_t now_ms = dl_clock_ms ();
  DlSignatures part = { .count = 1, .ids = { *id } };
  const DlSignatureRecord *r = dl_quarantine_find (requests->quarantine, &part);

  dl_metric_add (&metric_quarantined, 1);
  dl_log (DL_EVENT_PART_QUARANTINED, DL_TEXT ("part", id->text),
          DL_TEXT ("source", source), DL_UINT ("crashes", r->crash_count),
          DL_UINT ("served", r->served_count), DL_UINT ("broken", r->broken_count),
          DL_UINT ("hold_ms", r->hold_ms > now_ms ? r->hold_ms - now_ms : 0));
}

/* Logs what SOURCE, the id of a request or another entry, has changed. */
static void
handle_news (Requests *requests, const DlQuarantineNews *news, const char *source)
{
  for (size_t i = 0; i < news->quarantined_count; i++)
    log_quarantined (requests, &news->quarantined[i], source);
  for (size_t i = 0; i < news->released_count; i++)
    dl_log (DL_EVENT_PART_RELEASED, DL_TEXT ("part", news->released[i].text),
            DL_TEXT ("source", source));
  requests->quarantine_grew = requests->quarantine_grew || news->quarantined_count > 0;
}

void
direct_quarantine_served (Request *r)
{
  DlQuarantineNews news;

  if (!r->service_entry->has_engine)
    return;
  dl_quarantine_served (r->owner->quarantine, &r->incoming.signatures, dl_clock_ms (),
                        &news);
  handle_news (r->owner, &news, r->incoming.id);
}

void
direct_quarantine_broken_off (Request *r, const DirectUpstream *upstream)
{
  /* A load aborts what runs. */
  if (r->service_entry->has_engine && !upstream->loading)
    dl_quarantine_broken_off (r->owner->quarantine, &r->incoming.signatures,
                              direct_upstream_key (upstream), r->is_trial,
                              dl_clock_ms ());
}

void
direct_quarantine_merge (Requests *requests, const DlSignatureRecords *records)
{
  DlQuarantineNews news;

  dl_quarantine_merge (requests->quarantine, records, dl_clock_ms (), &news);
  handle_news (requests, &news, "another entry");
}

/* -------- requests -------- */

static const char *
refusal_reason (Request *r, const DlSignature *part)
{
  return talloc_asprintf (r, "upstreams crash on part %s of its prompt", part->text);
}

bool
direct_quarantine_admit (Request *r)
{
  const DlSignature *part = NULL;
  uint64_t retry_ms = 0;

  switch (dl_quarantine_admit (r->owner->quarantine, &r->incoming.signatures,
                               dl_clock_ms (), &part, &retry_ms))
    {
    case DL_QUARANTINE_ALLOW:
      return true;
    case DL_QUARANTINE_TRIAL:
      r->is_trial = true;
      dl_metric_add (&metric_trials, 1);
      dl_log (DL_EVENT_PART_TRIAL, DL_TEXT ("request", r->incoming.id),
              DL_TEXT ("part", part->text));
      return true;
    case DL_QUARANTINE_REFUSE:
      break;
    }
  dl_metric_add (&metric_refused, 1);
  direct_request_refuse (r, dl_availability_retry_ms (retry_ms, dl_random_uint64 ()),
                         refusal_reason (r, part));
  return false;
}

bool
direct_quarantine_holds (const Request *r)
{
  return dl_quarantine_find (r->owner->quarantine, &r->incoming.signatures) != NULL;
}

/* Ends a request with a part that was quarantined after its arrival, unless its upstream
 * has begun to respond. */
static void
end_if_held (Request *r, uint64_t now_ms)
{
  const DlSignatureRecord *held
      = dl_quarantine_find (r->owner->quarantine, &r->incoming.signatures);

  if (held == NULL || r->is_trial
      || (r->attempt != NULL && direct_attempt_has_started (r->attempt)))
    return;
  dl_metric_add (&metric_refused, 1);
  if (r->attempt == NULL && !r->may_have_run)
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

/* -------- the other entries -------- */

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
direct_quarantine_tick (Requests *requests, uint64_t now_ms)
{
  DlQuarantineNews news;

  dl_quarantine_judge (requests->quarantine, now_ms, &news);
  handle_news (requests, &news, "own judgement");
  if (requests->quarantine_grew)
    {
      requests->quarantine_grew = false;
      end_held_requests (requests, now_ms);
    }
  if (dl_quarantine_take_changed (requests->quarantine))
    publish_records (requests, true, now_ms);
  if (now_ms < requests->quarantine_expired_ms + EXPIRE_MS)
    return;
  requests->quarantine_expired_ms = now_ms;
  dl_quarantine_expire (requests->quarantine, now_ms);
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
