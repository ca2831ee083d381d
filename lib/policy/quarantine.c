#include "policy/quarantine.h"

#include <string.h>
#include <talloc.h>

#include "policy/quarantine_private.h"

#define FORGET_HELD_MS 600000 /* a quarantined part that no request had for so long */
/* A quarantined whole request that has not come for so long. */
#define FORGET_WHOLE_MS 3600000
/* Others are told what this entry saw for this long, as a datagram may be lost. */
#define TELL_MS 1200
/* That a signature with so many crashes within this time was served matters to the
 * others.
 */
#define SUSPECT_CRASHES 2
#define SUSPECT_MS      10000
/* That a part was served is remembered for this long. */
#define SERVED_MEMORY_MS 30000
/* The crashes of a whole request that was served since are kept for this long: others may
 * still tell of them. */
#define CLEARED_MEMORY_MS 10000
/* Many entries share turns with trials of a part, so that each turn comes soon. */
#define TURNS_MAX 8
/* No trials at the start of a turn, when another entry may take it for its own. */
#define TURN_GUARD_MS 150
/* This many records of whole requests are dropped at once, to be rid of the search. */
#define WHOLE_DROPPED (DL_QUARANTINE_WHOLE_MAX / 8)

/* News of one request has room for all of its signatures. */
G_STATIC_ASSERT (DL_SIGNATURES_MAX <= DL_SIGNATURE_RECORDS_MAX);

static void
record_free (gpointer data)
{
  talloc_free (data);
}

static int
quarantine_destroy (DlQuarantine *q)
{
  g_hash_table_destroy (q->records);
  return 0;
}

DlQuarantine *
dl_quarantine_new (const void *context)
{
  DlQuarantine *q = talloc_zero (context, DlQuarantine);

  g_assert (q != NULL);
  q->records = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, record_free);
  q->served_table = dl_served_table_new (q);
  q->entries = 1;
  talloc_set_destructor (q, quarantine_destroy);
  return q;
}

void
dl_quarantine_set_turns (DlQuarantine *q, int position, unsigned entries)
{
  q->position = position;
  q->entries = MAX (entries, 1);
}

/* -------- records -------- */

/* Orders records of whole requests by importance, the least important one first. */
static int
compare_importance (const void *a, const void *b)
{
  const DlSignatureRecord *x = *(DlSignatureRecord *const *)a;
  const DlSignatureRecord *y = *(DlSignatureRecord *const *)b;
  unsigned x_crashes = quarantine_count_crashes (x);
  unsigned y_crashes = quarantine_count_crashes (y);
  uint64_t x_ms = MAX (x->came_ms, quarantine_newest_crash_ms (x));
  uint64_t y_ms = MAX (y->came_ms, quarantine_newest_crash_ms (y));

  if ((x->hold_ms != 0) != (y->hold_ms != 0))
    return x->hold_ms == 0 ? -1 : 1;
  if (x_crashes != y_crashes)
    return x_crashes < y_crashes ? -1 : 1;
  return (x_ms > y_ms) - (x_ms < y_ms);
}

/* Drops the least important records of whole requests. */
static void
make_room (DlQuarantine *q)
{
  g_autoptr (GPtrArray) whole = g_ptr_array_sized_new (DL_QUARANTINE_WHOLE_MAX);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, q->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (dl_signature_is_whole (&((DlSignatureRecord *)value)->id))
      g_ptr_array_add (whole, value);
  g_ptr_array_sort (whole, compare_importance);
  for (guint i = 0; i < WHOLE_DROPPED; i++)
    g_hash_table_remove (q->records, ((DlSignatureRecord *)whole->pdata[i])->id.text);
  q->whole_count -= WHOLE_DROPPED;
}

/* What is remembered of a whole request that had no record. */
static void
recall_served (const DlQuarantine *q, DlSignatureRecord *r, uint64_t now_ms)
{
  DlServedLately lately = dl_served_table_find (q->served_table, &r->id, now_ms);

  r->served_ms = lately.served_ms;
  r->own_served_ms = lately.served_ms;
  r->served_count = MIN (lately.count, QUARANTINE_SERVED_COUNT_MAX);
}

static DlSignatureRecord *
find_record (const DlQuarantine *q, const DlSignature *id)
{
  return g_hash_table_lookup (q->records, id->text);
}

DlSignatureRecord *
quarantine_get_record (DlQuarantine *q, const DlSignature *id, uint64_t now_ms)
{
  bool is_whole = dl_signature_is_whole (id);
  DlSignatureRecord *r = find_record (q, id);

  if (r != NULL)
    return r;
  if (is_whole && q->whole_count == DL_QUARANTINE_WHOLE_MAX)
    make_room (q);
  r = talloc_zero (q, DlSignatureRecord);
  g_assert (r != NULL);
  r->id = *id;
  if (is_whole)
    recall_served (q, r, now_ms);
  q->whole_count += is_whole;
  g_hash_table_insert (q->records, r->id.text, r);
  return r;
}

size_t
dl_quarantine_record_count (const DlQuarantine *q)
{
  return g_hash_table_size (q->records);
}

bool
quarantine_note_crash (DlQuarantine *q, DlSignatureRecord *r, DlSignatureCrash crash)
{
  if (!quarantine_add_crash (r, crash))
    return false;
  q->crashed_ms = MAX (q->crashed_ms, crash.at_ms);
  return true;
}

/* True when the signature was in several crashes lately, and not served since the last
 * one. */
static bool
is_suspected (const DlSignatureRecord *r, uint64_t now_ms)
{
  return quarantine_count_crashes (r) > 0 && r->crash_count >= SUSPECT_CRASHES
         && now_ms <= r->crashes[r->crash_count - SUSPECT_CRASHES].at_ms + SUSPECT_MS;
}

void
quarantine_will_tell (DlQuarantine *q, DlSignatureRecord *r, uint64_t now_ms)
{
  r->tell_until_ms = now_ms + TELL_MS;
  q->changed = true;
}

void
quarantine_release_if_served (DlSignatureRecord *r,
                              uint64_t now_ms,
                              DlQuarantineNews *news)
{
  if (!quarantine_release_served (r))
    return;
  r->changed_ms = now_ms;
  news->released[news->released_count++] = r->id;
}

/* -------- how requests end -------- */

/* The record in which it is noted that a request with ID was served; NULL: in none. */
static DlSignatureRecord *
record_of_served (DlQuarantine *q, const DlSignature *id, uint64_t now_ms)
{
  if (!dl_signature_is_whole (id))
    return quarantine_get_record (q, id, now_ms);
  dl_served_table_add (q->served_table, id, now_ms);
  return find_record (q, id);
}

static void
note_served (DlQuarantine *q,
             DlSignatureRecord *r,
             const DlFate *fate,
             uint64_t now_ms,
             DlQuarantineNews *news)
{
  if (r->hold_ms != 0 || is_suspected (r, now_ms))
    quarantine_will_tell (q, r, now_ms);
  r->fare = fate->fare;
  r->served_ms = now_ms;
  r->own_served_ms = now_ms;
  r->served_count = MIN (r->served_count + 1, QUARANTINE_SERVED_COUNT_MAX);
  quarantine_count_served (&r->served_lately, now_ms);
  quarantine_release_if_served (r, now_ms, news);
}

void
dl_quarantine_served (DlQuarantine *q,
                      const DlFate *fate,
                      uint64_t now_ms,
                      DlQuarantineNews *news)
{
  *news = (DlQuarantineNews){ 0 };
  quarantine_count_fare (q, fate->fare, now_ms);
  for (size_t i = 0; i < fate->signatures->count; i++)
    {
      DlSignatureRecord *r = record_of_served (q, &fate->signatures->ids[i], now_ms);

      if (r != NULL)
        note_served (q, r, fate, now_ms, news);
    }
}

void
dl_quarantine_broken_off (DlQuarantine *q, const DlFate *fate, uint64_t now_ms)
{
  quarantine_note_break (q, fate, now_ms);
  for (size_t i = 0; i < fate->signatures->count; i++)
    {
      DlSignatureRecord *r = quarantine_get_record (q, &fate->signatures->ids[i], now_ms);
      DlSignatureCrash crash = { .upstream = fate->upstream, .at_ms = now_ms };

      r->fare = fate->fare;
      r->is_partless = fate->signatures->count == 1;
      r->broken_count++;
      if (!quarantine_note_crash (q, r, crash))
        continue;
      quarantine_will_tell (q, r, now_ms);
      if (r->hold_ms != 0)
        quarantine_extend_hold (r, fate->is_trial, now_ms);
    }
}

/* -------- new requests -------- */

const DlSignatureRecord *
dl_quarantine_find (const DlQuarantine *q, const DlSignatures *signatures)
{
  const DlSignatureRecord *found = NULL;

  for (size_t i = 0; i < signatures->count; i++)
    {
      const DlSignatureRecord *r = find_record (q, &signatures->ids[i]);

      if (r != NULL && r->hold_ms != 0 && (found == NULL || r->hold_ms > found->hold_ms))
        found = r;
    }
  return found;
}

/* The record of the quarantined whole request, or NULL. */
static DlSignatureRecord *
find_held_whole (const DlQuarantine *q, const DlSignatures *signatures)
{
  for (size_t i = 0; i < signatures->count; i++)
    {
      DlSignatureRecord *r = find_record (q, &signatures->ids[i]);

      if (r != NULL && r->hold_ms != 0 && dl_signature_is_whole (&r->id))
        return r;
    }
  return NULL;
}

/* Whether this entry may make the trial of a signature whose hold is over. */
static bool
has_turn (const DlQuarantine *q, const DlSignatureRecord *r, uint64_t now_ms)
{
  bool is_whole = dl_signature_is_whole (&r->id);
  uint64_t since_ms = now_ms - r->hold_ms;
  unsigned turns = is_whole ? q->entries : MIN (q->entries, TURNS_MAX);

  if (!is_whole && r->level < DL_QUARANTINE_TURNS_LEVEL)
    return true;
  return q->position >= 0
         && since_ms / DL_QUARANTINE_TURN_MS % turns == (unsigned)q->position % turns
         && (turns == 1 || since_ms % DL_QUARANTINE_TURN_MS >= TURN_GUARD_MS);
}

/* True when all trials of the whole request were sent. */
static bool
is_exhausted (const DlSignatureRecord *r)
{
  return dl_signature_is_whole (&r->id) && r->trials >= DL_QUARANTINE_TRIALS_MAX;
}

static bool
may_try (const DlQuarantine *q, const DlSignatureRecord *r, uint64_t now_ms)
{
  return now_ms >= r->hold_ms && !is_exhausted (r) && has_turn (q, r, now_ms);
}

static void
begin_trial (DlQuarantine *q, const DlSignatures *signatures, uint64_t now_ms)
{
  for (size_t i = 0; i < signatures->count; i++)
    {
      DlSignatureRecord *r = find_record (q, &signatures->ids[i]);

      if (r != NULL && r->hold_ms != 0)
        {
          r->hold_ms = now_ms + DL_QUARANTINE_TRIAL_MS;
          quarantine_will_tell (q, r, now_ms);
        }
    }
}

static uint64_t
retry_after_ms (const DlSignatureRecord *r, uint64_t now_ms)
{
  if (is_exhausted (r))
    return DL_QUARANTINE_HOLD_MAX_MS;
  return r->hold_ms > now_ms ? r->hold_ms - now_ms : DL_QUARANTINE_TURN_MS;
}

DlQuarantineDecision
dl_quarantine_admit (DlQuarantine *q,
                     const DlSignatures *signatures,
                     uint64_t now_ms,
                     const DlSignature **found,
                     uint64_t *retry_ms)
{
  const DlSignatureRecord *r = dl_quarantine_find (q, signatures);
  DlSignatureRecord *whole = find_held_whole (q, signatures);

  if (r == NULL)
    return DL_QUARANTINE_ALLOW;
  if (whole != NULL)
    whole->came_ms = now_ms;
  if (whole != NULL && !may_try (q, whole, now_ms))
    r = whole;
  *found = &r->id;
  if (may_try (q, r, now_ms))
    {
      begin_trial (q, signatures, now_ms);
      return DL_QUARANTINE_TRIAL;
    }
  *retry_ms = retry_after_ms (r, now_ms);
  return DL_QUARANTINE_REFUSE;
}

void
dl_quarantine_trial_sent (DlQuarantine *q,
                          const DlSignatures *signatures,
                          uint64_t now_ms)
{
  DlSignatureRecord *whole = find_held_whole (q, signatures);

  if (whole == NULL)
    return;
  whole->trials++;
  quarantine_will_tell (q, whole, now_ms);
}

/* True when two upstreams crashed under the whole request, and none served it. */
static bool
is_suspected_whole (const DlSignatureRecord *r)
{
  return dl_signature_is_whole (&r->id) && r->served_count == 0
         && quarantine_count_crashes (r) >= SUSPECT_CRASHES;
}

static bool
record_allows_retry (const DlSignatureRecord *r,
                     bool is_trial,
                     DlQuarantineFailure failure)
{
  if (r->hold_ms == 0)
    return failure != DL_QUARANTINE_MAY_HAVE_RUN || !is_suspected_whole (r);
  switch (failure)
    {
    case DL_QUARANTINE_NOT_SENT:
      return is_trial;
    case DL_QUARANTINE_NOT_RUN:
      return is_trial && !dl_signature_is_whole (&r->id);
    case DL_QUARANTINE_MAY_HAVE_RUN:
      break;
    }
  return false;
}

bool
dl_quarantine_allows_retry (const DlQuarantine *q,
                            const DlSignatures *signatures,
                            bool is_trial,
                            DlQuarantineFailure failure)
{
  for (size_t i = 0; i < signatures->count; i++)
    {
      const DlSignatureRecord *r = find_record (q, &signatures->ids[i]);

      if (r != NULL && !record_allows_retry (r, is_trial, failure))
        return false;
    }
  return true;
}

bool
dl_quarantine_take_changed (DlQuarantine *q)
{
  bool changed = q->changed;

  q->changed = false;
  return changed;
}

/* -------- forgetting -------- */

static void
drop_old_crashes (DlSignatureRecord *r, uint64_t evidence_ms, uint64_t now_ms)
{
  size_t kept = 0;

  for (size_t i = 0; i < r->crash_count; i++)
    if (now_ms <= r->crashes[i].at_ms + evidence_ms)
      r->crashes[kept++] = r->crashes[i];
  r->crash_count = kept;
}

static bool
expire_part (DlSignatureRecord *r, uint64_t now_ms)
{
  if (r->hold_ms != 0)
    return now_ms > r->hold_ms + FORGET_HELD_MS;
  drop_old_crashes (r, DL_QUARANTINE_EVIDENCE_MS, now_ms);
  return r->crash_count == 0 && now_ms > r->served_ms + SERVED_MEMORY_MS;
}

static bool
expire_whole (DlSignatureRecord *r, uint64_t now_ms)
{
  if (r->hold_ms != 0)
    return now_ms > MAX (r->hold_ms, r->came_ms) + FORGET_WHOLE_MS;
  drop_old_crashes (r, DL_QUARANTINE_WHOLE_EVIDENCE_MS, now_ms);
  return quarantine_count_crashes (r) == 0 && now_ms > r->served_ms + CLEARED_MEMORY_MS;
}

/* Returns true when nothing of the record matters any more. */
static bool
expire_record (DlSignatureRecord *r, uint64_t now_ms)
{
  return dl_signature_is_whole (&r->id) ? expire_whole (r, now_ms)
                                        : expire_part (r, now_ms);
}

void
dl_quarantine_expire (DlQuarantine *q, uint64_t now_ms, DlQuarantineNews *news)
{
  GHashTableIter iter;
  gpointer value;

  *news = (DlQuarantineNews){ 0 };
  g_hash_table_iter_init (&iter, q->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DlSignatureRecord *r = value;

      if (!expire_record (r, now_ms))
        continue;
      if (r->hold_ms != 0 && news->released_count == DL_SIGNATURE_RECORDS_MAX)
        continue; /* the next time */
      if (r->hold_ms != 0)
        news->released[news->released_count++] = r->id;
      q->whole_count -= dl_signature_is_whole (&r->id);
      g_hash_table_iter_remove (&iter);
    }
}
