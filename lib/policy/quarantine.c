#include "policy/quarantine.h"

#include <string.h>
#include <talloc.h>

#include "policy/quarantine_private.h"

#define FORGET_HELD_MS 600000 /* a quarantined part that no request had for so long */
/* More requests that were served do not add to the evidence that a part needs. */
#define SERVED_COUNT_MAX 1000
/* Others are told first of what changed within this time. */
#define NEWS_MS 5000
/* Others are told what this entry saw for this long, as a datagram may be lost. */
#define TELL_MS 1200
/* That a part with so many crashes within this time was served matters to the others. */
#define SUSPECT_CRASHES 2
#define SUSPECT_MS      10000
/* That a part was served is remembered for this long. */
#define SERVED_MEMORY_MS 30000
/* Many entries share turns, so that each turn comes soon. */
#define TURNS_MAX 8
/* No trials at the start of a turn, when another entry may take it for its own. */
#define TURN_GUARD_MS 150

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

static DlSignatureRecord *
get_record (DlQuarantine *q, const DlSignature *id)
{
  DlSignatureRecord *r = g_hash_table_lookup (q->records, id->text);

  if (r != NULL)
    return r;
  r = talloc_zero (q, DlSignatureRecord);
  g_assert (r != NULL);
  r->id = *id;
  g_hash_table_insert (q->records, r->id.text, r);
  return r;
}

/* Returns false for a crash that is known. */
static bool
add_crash (DlQuarantine *q, DlSignatureRecord *r, DlSignatureCrash crash)
{
  if (!quarantine_add_crash (r, crash))
    return false;
  q->crashed_ms = MAX (q->crashed_ms, crash.at_ms);
  return true;
}

/* True when the part was in several crashes lately, and not served since the last one. */
static bool
is_suspected (const DlSignatureRecord *r, uint64_t now_ms)
{
  return quarantine_count_crashes (r) > 0 && r->crash_count >= SUSPECT_CRASHES
         && now_ms <= r->crashes[r->crash_count - SUSPECT_CRASHES].at_ms + SUSPECT_MS;
}

/* What this entry saw of the part is told to the others, at once and again. */
static void
tell (DlQuarantine *q, DlSignatureRecord *r, uint64_t now_ms)
{
  r->tell_until_ms = now_ms + TELL_MS;
  q->changed = true;
}

/* Releases the part if that is due, and notes it. */
static void
release_if_served (DlQuarantine *q,
                   DlSignatureRecord *r,
                   uint64_t now_ms,
                   DlQuarantineNews *news)
{
  if (!quarantine_release_served (r))
    return;
  r->changed_ms = now_ms;
  news->released[news->released_count++] = r->id;
}

/* -------- how requests end -------- */

void
dl_quarantine_served (DlQuarantine *q,
                      const DlSignatures *signatures,
                      uint64_t now_ms,
                      DlQuarantineNews *news)
{
  *news = (DlQuarantineNews){ 0 };
  quarantine_count_served (&q->served, now_ms);
  for (size_t i = 0; i < signatures->count; i++)
    {
      DlSignatureRecord *r = get_record (q, &signatures->ids[i]);

      if (r->hold_ms != 0 || is_suspected (r, now_ms))
        tell (q, r, now_ms);
      r->served_ms = now_ms;
      r->served_count = MIN (r->served_count + 1, SERVED_COUNT_MAX);
      quarantine_count_served (&r->served_lately, now_ms);
      release_if_served (q, r, now_ms, news);
    }
}

void
dl_quarantine_broken_off (DlQuarantine *q,
                          const DlSignatures *signatures,
                          uint64_t upstream,
                          bool is_trial,
                          uint64_t now_ms)
{
  quarantine_note_break (q, upstream, now_ms);
  for (size_t i = 0; i < signatures->count; i++)
    {
      DlSignatureRecord *r = get_record (q, &signatures->ids[i]);

      r->broken_count++;
      if (!add_crash (q, r, (DlSignatureCrash){ .upstream = upstream, .at_ms = now_ms }))
        continue;
      tell (q, r, now_ms);
      if (r->hold_ms != 0)
        quarantine_extend_hold (r, is_trial, now_ms);
    }
}

/* -------- new requests -------- */

const DlSignatureRecord *
dl_quarantine_find (const DlQuarantine *q, const DlSignatures *signatures)
{
  const DlSignatureRecord *found = NULL;

  for (size_t i = 0; i < signatures->count; i++)
    {
      const DlSignatureRecord *r
          = g_hash_table_lookup (q->records, signatures->ids[i].text);

      if (r != NULL && r->hold_ms != 0 && (found == NULL || r->hold_ms > found->hold_ms))
        found = r;
    }
  return found;
}

/* Whether this entry may make the trial of a part whose hold is over. */
static bool
has_turn (const DlQuarantine *q, const DlSignatureRecord *r, uint64_t now_ms)
{
  uint64_t since_ms = now_ms - r->hold_ms;
  unsigned turns = MIN (q->entries, TURNS_MAX);

  if (r->level < DL_QUARANTINE_TURNS_LEVEL)
    return true;
  return q->position >= 0
         && since_ms / DL_QUARANTINE_TURN_MS % turns == (unsigned)q->position % turns
         && (turns == 1 || since_ms % DL_QUARANTINE_TURN_MS >= TURN_GUARD_MS);
}

static void
begin_trial (DlQuarantine *q, const DlSignatures *signatures, uint64_t now_ms)
{
  for (size_t i = 0; i < signatures->count; i++)
    {
      DlSignatureRecord *r = g_hash_table_lookup (q->records, signatures->ids[i].text);

      if (r != NULL && r->hold_ms != 0)
        {
          r->hold_ms = now_ms + DL_QUARANTINE_TRIAL_MS;
          tell (q, r, now_ms);
        }
    }
}

DlQuarantineDecision
dl_quarantine_admit (DlQuarantine *q,
                     const DlSignatures *signatures,
                     uint64_t now_ms,
                     const DlSignature **part,
                     uint64_t *retry_ms)
{
  const DlSignatureRecord *r = dl_quarantine_find (q, signatures);

  if (r == NULL)
    return DL_QUARANTINE_ALLOW;
  *part = &r->id;
  if (now_ms >= r->hold_ms && has_turn (q, r, now_ms))
    {
      begin_trial (q, signatures, now_ms);
      return DL_QUARANTINE_TRIAL;
    }
  *retry_ms = r->hold_ms > now_ms ? r->hold_ms - now_ms : DL_QUARANTINE_TURN_MS;
  return DL_QUARANTINE_REFUSE;
}

/* -------- other entries -------- */

static void
merge_record (DlQuarantine *q, DlSignatureRecord *r, const DlSignatureRecord *told)
{
  for (size_t i = 0; i < told->crash_count; i++)
    add_crash (q, r, told->crashes[i]);
  r->served_ms = MAX (r->served_ms, told->served_ms);
  r->hold_ms = MAX (r->hold_ms, told->hold_ms);
  r->level = MAX (r->level, told->level);
  r->served_count = MAX (r->served_count, MIN (told->served_count, SERVED_COUNT_MAX));
  r->broken_count = MAX (r->broken_count, told->broken_count);
}

void
dl_quarantine_merge (DlQuarantine *q,
                     const DlSignatureRecords *records,
                     uint64_t now_ms,
                     DlQuarantineNews *news)
{
  *news = (DlQuarantineNews){ 0 };
  for (size_t i = 0; i < records->count; i++)
    {
      DlSignatureRecord *r = get_record (q, &records->items[i].id);
      bool was_held = r->hold_ms != 0;

      merge_record (q, r, &records->items[i]);
      if (was_held)
        release_if_served (q, r, now_ms, news);
      else if (r->hold_ms != 0 && !quarantine_release_served (r))
        {
          r->changed_ms = now_ms;
          news->quarantined[news->quarantined_count++] = r->id;
        }
    }
}

static bool
is_recent_news (const DlSignatureRecord *r, uint64_t now_ms)
{
  return r->hold_ms != 0 || (r->changed_ms != 0 && now_ms <= r->changed_ms + NEWS_MS);
}

/* Quarantined signatures are told as long as they are, so that a new entry learns of
 * them. */
static bool
is_worth_telling (const DlSignatureRecord *r, uint64_t now_ms)
{
  return r->hold_ms != 0 || now_ms <= r->tell_until_ms;
}

/* Leaves out what all but a new entry know. */
static DlSignatureRecord
shortened (DlSignatureRecord r, uint64_t now_ms)
{
  if (now_ms <= r.tell_until_ms || r.crash_count == 0)
    return r;
  r.crashes[0] = r.crashes[r.crash_count - 1];
  r.crash_count = 1;
  return r;
}

typedef struct
{
  const DlSignatureRecord *record;
  bool news;
} Ranked;

static int
compare_ranked (const void *a, const void *b)
{
  const Ranked *x = a;
  const Ranked *y = b;

  if (x->news != y->news)
    return x->news ? -1 : 1;
  if (x->record->crash_count != y->record->crash_count)
    return x->record->crash_count > y->record->crash_count ? -1 : 1;
  if (quarantine_newest_crash_ms (x->record) != quarantine_newest_crash_ms (y->record))
    return quarantine_newest_crash_ms (x->record) > quarantine_newest_crash_ms (y->record)
               ? -1
               : 1;
  return strcmp (x->record->id.text, y->record->id.text);
}

void
dl_quarantine_export (const DlQuarantine *q, uint64_t now_ms, DlSignatureRecords *records)
{
  g_autoptr (GArray) ranked = g_array_new (FALSE, FALSE, sizeof (Ranked));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, q->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Ranked r = { .record = value, .news = is_recent_news (value, now_ms) };

      if (is_worth_telling (r.record, now_ms))
        g_array_append_val (ranked, r);
    }
  g_array_sort (ranked, compare_ranked);
  records->count = MIN (ranked->len, DL_SIGNATURE_RECORDS_MAX);
  for (guint i = 0; i < records->count; i++)
    records->items[i] = shortened (*g_array_index (ranked, Ranked, i).record, now_ms);
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
drop_old_crashes (DlSignatureRecord *r, uint64_t now_ms)
{
  size_t kept = 0;

  for (size_t i = 0; i < r->crash_count; i++)
    if (now_ms <= r->crashes[i].at_ms + DL_QUARANTINE_EVIDENCE_MS)
      r->crashes[kept++] = r->crashes[i];
  r->crash_count = kept;
}

/* Returns true when nothing of the record matters any more. */
static bool
expire_record (DlSignatureRecord *r, uint64_t now_ms)
{
  if (r->hold_ms != 0)
    return now_ms > r->hold_ms + FORGET_HELD_MS;
  drop_old_crashes (r, now_ms);
  return r->crash_count == 0 && now_ms > r->served_ms + SERVED_MEMORY_MS;
}

void
dl_quarantine_expire (DlQuarantine *q, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, q->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DlSignatureRecord *r = value;

      if (expire_record (r, now_ms))
        g_hash_table_iter_remove (&iter);
    }
}
