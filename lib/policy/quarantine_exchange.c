#include <string.h>

#include "policy/quarantine_private.h"

/* Others are told first of what changed within this time. */
#define NEWS_MS 5000
/* That a request was served is told once others know of so many crashes of it. */
#define ANSWERED_CRASHES 2
/* Quarantined whole requests are told in groups, one a GROUP_MS, as there may be many,
 * and for a long time. */
#define GROUP_MS      1000
#define GROUPS_MIN    2
#define GROUP_RECORDS 8

/* -------- what others told -------- */

static void
merge_record (DlQuarantine *q, DlSignatureRecord *r, const DlSignatureRecord *told)
{
  for (size_t i = 0; i < told->crash_count; i++)
    quarantine_note_crash (q, r, told->crashes[i]);
  r->served_ms = MAX (r->served_ms, told->served_ms);
  r->hold_ms = MAX (r->hold_ms, told->hold_ms);
  r->is_partless = r->is_partless || told->is_partless;
  r->level = MAX (r->level, told->level);
  if (told->hold_ms != 0)
    r->trials = MAX (r->trials, told->trials);
  r->came_ms = MAX (r->came_ms, told->came_ms);
  r->served_count
      = MAX (r->served_count, MIN (told->served_count, QUARANTINE_SERVED_COUNT_MAX));
  r->broken_count = MAX (r->broken_count, told->broken_count);
}

/* True when a crash that was told is from before this entry served the request. */
static bool
cleared_a_crash (const DlSignatureRecord *r, const DlSignatureRecord *told)
{
  for (size_t i = 0; i < told->crash_count; i++)
    if (told->crashes[i].at_ms > told->served_ms
        && told->crashes[i].at_ms < r->own_served_ms)
      return true;
  return false;
}

/* True when others suspect a whole request and do not know that this entry served it. */
static bool
needs_answer (const DlSignatureRecord *r, const DlSignatureRecord *told, uint64_t now_ms)
{
  if (!dl_signature_is_whole (&r->id) || r->own_served_ms == 0
      || r->crash_count < ANSWERED_CRASHES || now_ms <= r->tell_until_ms)
    return false;
  return told->served_count == 0 || cleared_a_crash (r, told);
}

/* A signature that others quarantined, and that was not, is so here too. */
static void
adopt_hold (DlSignatureRecord *r, uint64_t now_ms, DlQuarantineNews *news)
{
  if (r->hold_ms == 0 || quarantine_release_served (r))
    return;
  r->changed_ms = now_ms;
  news->quarantined[news->quarantined_count++] = r->id;
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
      const DlSignatureRecord *told = &records->items[i];
      DlSignatureRecord *r = quarantine_get_record (q, &told->id, now_ms);
      bool was_held = r->hold_ms != 0;

      merge_record (q, r, told);
      if (needs_answer (r, told, now_ms))
        quarantine_will_tell (q, r, now_ms);
      if (was_held)
        quarantine_release_if_served (r, now_ms, news);
      else
        adopt_hold (r, now_ms, news);
    }
}

void
dl_quarantine_restore (DlQuarantine *q,
                       const DlSignature *whole,
                       unsigned trials,
                       uint64_t now_ms,
                       DlQuarantineNews *news)
{
  DlSignatureRecord *r = quarantine_get_record (q, whole, now_ms);

  *news = (DlQuarantineNews){ 0 };
  if (r->served_count > 0)
    return;
  r->trials = MAX (r->trials, trials);
  r->came_ms = MAX (r->came_ms, now_ms);
  if (r->hold_ms != 0)
    return;
  quarantine_note_crash (q, r, (DlSignatureCrash){ .at_ms = now_ms });
  r->hold_ms = now_ms + DL_QUARANTINE_TRIAL_MS;
  r->changed_ms = now_ms;
  news->quarantined[news->quarantined_count++] = r->id;
}

/* -------- what others are told -------- */

/* A record that may be told. */
typedef struct
{
  const DlSignatureRecord *record;
  unsigned urgency;
} Ranked;

static unsigned
urgency (const DlSignatureRecord *r, uint64_t now_ms)
{
  bool changed = r->changed_ms != 0 && now_ms <= r->changed_ms + NEWS_MS;
  bool telling = now_ms <= r->tell_until_ms;
  bool held = r->hold_ms != 0;

  if (changed || (held && (telling || !dl_signature_is_whole (&r->id))))
    return 2;
  return telling ? 1 : 0;
}

/* Whether the turn of a quarantined whole request, of HELD, has come to be told again. */
static bool
is_group_due (const DlSignatureRecord *r, size_t held, uint64_t now_ms)
{
  uint64_t groups = MAX (GROUPS_MIN, held / GROUP_RECORDS);

  return (now_ms / GROUP_MS + dl_signature_key (&r->id)) % groups == 0;
}

/* Quarantined signatures are told as long as they are, so that a new entry learns of
 * them. */
static bool
is_worth_telling (const DlSignatureRecord *r, size_t held_whole, uint64_t now_ms)
{
  if (now_ms <= r->tell_until_ms)
    return true;
  if (r->hold_ms == 0)
    return false;
  return urgency (r, now_ms) > 0 || is_group_due (r, held_whole, now_ms);
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

static int
compare_ranked (const void *a, const void *b)
{
  const Ranked *x = a;
  const Ranked *y = b;
  uint64_t x_ms = quarantine_newest_crash_ms (x->record);
  uint64_t y_ms = quarantine_newest_crash_ms (y->record);

  if (x->urgency != y->urgency)
    return x->urgency > y->urgency ? -1 : 1;
  if (x->record->crash_count != y->record->crash_count)
    return x->record->crash_count > y->record->crash_count ? -1 : 1;
  if (x_ms != y_ms)
    return x_ms > y_ms ? -1 : 1;
  return strcmp (x->record->id.text, y->record->id.text);
}

static size_t
count_held_whole (const DlQuarantine *q)
{
  size_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, q->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DlSignatureRecord *r = value;

      count += r->hold_ms != 0 && dl_signature_is_whole (&r->id);
    }
  return count;
}

void
dl_quarantine_export (const DlQuarantine *q, uint64_t now_ms, DlSignatureRecords *records)
{
  g_autoptr (GArray) ranked = g_array_new (FALSE, FALSE, sizeof (Ranked));
  size_t held_whole = count_held_whole (q);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, q->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Ranked r = { .record = value, .urgency = urgency (value, now_ms) };

      if (is_worth_telling (r.record, held_whole, now_ms))
        g_array_append_val (ranked, r);
    }
  g_array_sort (ranked, compare_ranked);
  records->count = MIN (ranked->len, DL_SIGNATURE_RECORDS_MAX);
  for (guint i = 0; i < records->count; i++)
    records->items[i] = shortened (*g_array_index (ranked, Ranked, i).record, now_ms);
}
