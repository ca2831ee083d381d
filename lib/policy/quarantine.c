#include "policy/quarantine.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <talloc.h>

/* Evidence is the logarithm of odds.  A part is quarantined at odds of 125 to 1; one
 * crash adds 5 to 1 at the most, so that at least three are needed. */
#define ODDS_QUARANTINED   125.0
#define ODDS_PER_CRASH_MAX 5.0
#define ROUNDING           1e-9 /* of sums of evidence */
/* Requests without the part that are taken to have broken off, and been served, before
 * any were seen. */
#define PRIOR_BROKEN 1.0
#define PRIOR_SERVED 3.0
/* Crashes within this time count once: they may have one cause. */
#define EPISODE_MS 250
/* Reports of one upstream's crash within this time are of the same crash. */
#define SAME_CRASH_MS 2000
/* The hold of the lowest level, and how much longer that of the next one is. */
#define HOLD_MIN_MS 1000
#define HOLD_FACTOR 3
/* Crashes of the lowest level, and those that justify no higher one: many requests may be
 * on their way when the part is quarantined. */
#define LEVEL_CRASHES_MIN 3
#define LEVEL_CRASHES_MAX 5
#define FORGET_HELD_MS    600000 /* a quarantined part that no request had for so long */
/* How requests fare is counted over the current and the previous period. */
#define PERIOD_MS  5000
#define BREAKS_MAX 64
/* Others are told first of what changed within this time. */
#define NEWS_MS 5000
/* For this long after a crash, others are told that its part was served since. */
#define TELL_SERVED_MS 3000
/* Many entries share turns, so that each turn comes soon. */
#define TURNS_MAX 8
/* No trials at the start of a turn, when another entry may take it for its own. */
#define TURN_GUARD_MS 150

/* Requests that broke off at one upstream. */
typedef struct
{
  uint64_t upstream;
  uint64_t at_ms;
  unsigned requests;
} Break;

struct DlQuarantine
{
  GHashTable *records; /* id text to DlPartRecord */
  Break breaks[BREAKS_MAX];
  size_t next_break;
  uint64_t period_ms; /* start of the current period */
  unsigned served;    /* requests in the current period */
  unsigned served_before;
  int position;
  unsigned entries;
  bool changed;
};

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

static DlPartRecord *
get_record (DlQuarantine *q, const DlPartId *id)
{
  DlPartRecord *r = g_hash_table_lookup (q->records, id->text);

  if (r != NULL)
    return r;
  r = talloc_zero (q, DlPartRecord);
  g_assert (r != NULL);
  r->id = *id;
  g_hash_table_insert (q->records, r->id.text, r);
  return r;
}

/* -------- evidence -------- */

/* True for a crash after which no request with the part was served. */
static bool
counts (const DlPartRecord *r, const DlPartCrash *c, uint64_t now_ms)
{
  return c->at_ms > r->served_ms && now_ms <= c->at_ms + DL_QUARANTINE_EVIDENCE_MS;
}

static bool
was_in_crash (const DlPartRecord *r, uint64_t upstream)
{
  for (size_t i = 0; i < r->crash_count; i++)
    if (r->crashes[i].upstream == upstream)
      return true;
  return false;
}

/* The logarithm of the odds by which one crash speaks against the part: how improbable it
 * is that a request breaks off at an upstream that had no request with the part. */
static double
evidence_per_crash (const DlQuarantine *q, const DlPartRecord *r, uint64_t now_ms)
{
  double broken = PRIOR_BROKEN;
  double served = PRIOR_SERVED + q->served + q->served_before;

  for (size_t i = 0; i < BREAKS_MAX; i++)
    {
      const Break *b = &q->breaks[i];

      if (b->requests > 0 && now_ms <= b->at_ms + 2 * PERIOD_MS
          && !was_in_crash (r, b->upstream))
        broken += b->requests;
    }
  return log (MIN ((broken + served) / broken, ODDS_PER_CRASH_MAX));
}

/* Crashes that count, with those at the same moment taken as one. */
static unsigned
count_episodes (const DlPartRecord *r, uint64_t now_ms)
{
  unsigned episodes = 0;
  uint64_t start_ms = 0;

  for (size_t i = 0; i < r->crash_count; i++)
    if (counts (r, &r->crashes[i], now_ms)
        && (episodes == 0 || r->crashes[i].at_ms >= start_ms + EPISODE_MS))
      {
        start_ms = r->crashes[i].at_ms;
        episodes++;
      }
  return episodes;
}

static unsigned
count_crashes (const DlPartRecord *r)
{
  unsigned count = 0;

  for (size_t i = 0; i < r->crash_count; i++)
    count += r->crashes[i].at_ms > r->served_ms;
  return count;
}

static uint64_t
newest_crash_ms (const DlPartRecord *r)
{
  return r->crash_count > 0 ? r->crashes[r->crash_count - 1].at_ms : 0;
}

static uint64_t
hold_duration_ms (unsigned level)
{
  uint64_t hold_ms = HOLD_MIN_MS;

  for (unsigned i = 0; i < level && hold_ms < DL_QUARANTINE_HOLD_MAX_MS; i++)
    hold_ms *= HOLD_FACTOR;
  return MIN (hold_ms, DL_QUARANTINE_HOLD_MAX_MS);
}

/* The level that the number of crashes alone justifies. */
static unsigned
level_of_crashes (unsigned crashes)
{
  return CLAMP (crashes, LEVEL_CRASHES_MIN, LEVEL_CRASHES_MAX) - LEVEL_CRASHES_MIN;
}

/* Releases a part of which a request was served after its last crash; otherwise
 * quarantines it if the evidence suffices.  Returns true when it is quarantined now and
 * was not before. */
static bool
judge (DlQuarantine *q, DlPartRecord *r, bool was_held, uint64_t now_ms)
{
  if (count_crashes (r) == 0)
    {
      r->hold_ms = 0;
      r->level = 0;
    }
  else if (r->hold_ms == 0
           && count_episodes (r, now_ms) * evidence_per_crash (q, r, now_ms)
                  >= log (ODDS_QUARANTINED) - ROUNDING)
    {
      r->level = level_of_crashes (count_crashes (r));
      r->hold_ms = newest_crash_ms (r) + hold_duration_ms (r->level);
    }
  if ((r->hold_ms != 0) != was_held)
    {
      r->changed_ms = now_ms;
      q->changed = true;
    }
  return r->hold_ms != 0 && !was_held;
}

/* Adds a crash in the order of time, in place of the oldest one when there are too many.
 * Returns false for one that is known. */
static bool
add_crash (DlPartRecord *r, DlPartCrash crash)
{
  size_t at;

  for (size_t i = 0; i < r->crash_count; i++)
    {
      DlPartCrash *c = &r->crashes[i];

      if (c->upstream == crash.upstream && c->at_ms <= crash.at_ms + SAME_CRASH_MS
          && crash.at_ms <= c->at_ms + SAME_CRASH_MS)
        return false;
    }
  if (r->crash_count == DL_PART_CRASHES_MAX)
    {
      if (crash.at_ms <= r->crashes[0].at_ms)
        return false;
      memmove (r->crashes, r->crashes + 1, --r->crash_count * sizeof crash);
    }
  for (at = r->crash_count; at > 0 && r->crashes[at - 1].at_ms > crash.at_ms; at--)
    r->crashes[at] = r->crashes[at - 1];
  r->crashes[at] = crash;
  r->crash_count++;
  return true;
}

/* A quarantined part was in another crash; IS_TRIAL: with a request that was a trial. */
static void
extend_hold (DlPartRecord *r, bool is_trial, uint64_t now_ms)
{
  r->level = MAX (r->level + is_trial, level_of_crashes (count_crashes (r)));
  r->hold_ms = MAX (r->hold_ms, now_ms + hold_duration_ms (r->level));
}

/* -------- how requests end -------- */

static void
roll_period (DlQuarantine *q, uint64_t now_ms)
{
  if (now_ms < q->period_ms + PERIOD_MS)
    return;
  q->served_before = now_ms < q->period_ms + 2 * PERIOD_MS ? q->served : 0;
  q->served = 0;
  q->period_ms = now_ms;
}

void
dl_quarantine_served (DlQuarantine *q, const DlPromptParts *parts, uint64_t now_ms)
{
  roll_period (q, now_ms);
  q->served++;
  for (size_t i = 0; i < parts->count; i++)
    {
      DlPartRecord *r = get_record (q, &parts->ids[i]);
      bool was_held = r->hold_ms != 0;

      q->changed = q->changed || count_crashes (r) > 0;
      r->served_ms = now_ms;
      judge (q, r, was_held, now_ms);
    }
}

static void
note_break (DlQuarantine *q, uint64_t upstream, uint64_t now_ms)
{
  for (size_t i = 0; i < BREAKS_MAX; i++)
    if (q->breaks[i].requests > 0 && q->breaks[i].upstream == upstream
        && now_ms <= q->breaks[i].at_ms + SAME_CRASH_MS)
      {
        q->breaks[i].requests++;
        return;
      }
  q->breaks[q->next_break]
      = (Break){ .upstream = upstream, .at_ms = now_ms, .requests = 1 };
  q->next_break = (q->next_break + 1) % BREAKS_MAX;
}

bool
dl_quarantine_broken_off (DlQuarantine *q,
                          const DlPromptParts *parts,
                          uint64_t upstream,
                          bool is_trial,
                          uint64_t now_ms)
{
  bool quarantined = false;

  roll_period (q, now_ms);
  note_break (q, upstream, now_ms);
  for (size_t i = 0; i < parts->count; i++)
    {
      DlPartRecord *r = get_record (q, &parts->ids[i]);
      bool was_held = r->hold_ms != 0;

      if (!add_crash (r, (DlPartCrash){ .upstream = upstream, .at_ms = now_ms }))
        continue;
      q->changed = true;
      if (was_held)
        extend_hold (r, is_trial, now_ms);
      quarantined = judge (q, r, was_held, now_ms) || quarantined;
    }
  return quarantined;
}

/* -------- new requests -------- */

const DlPartRecord *
dl_quarantine_find (const DlQuarantine *q, const DlPromptParts *parts)
{
  const DlPartRecord *found = NULL;

  for (size_t i = 0; i < parts->count; i++)
    {
      const DlPartRecord *r = g_hash_table_lookup (q->records, parts->ids[i].text);

      if (r != NULL && r->hold_ms != 0 && (found == NULL || r->hold_ms > found->hold_ms))
        found = r;
    }
  return found;
}

/* Whether this entry may make the trial of a part whose hold is over. */
static bool
has_turn (const DlQuarantine *q, const DlPartRecord *r, uint64_t now_ms)
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
begin_trial (DlQuarantine *q, const DlPromptParts *parts, uint64_t now_ms)
{
  for (size_t i = 0; i < parts->count; i++)
    {
      DlPartRecord *r = g_hash_table_lookup (q->records, parts->ids[i].text);

      if (r != NULL && r->hold_ms != 0)
        r->hold_ms = now_ms + DL_QUARANTINE_TRIAL_MS;
    }
  q->changed = true;
}

DlQuarantineDecision
dl_quarantine_admit (DlQuarantine *q,
                     const DlPromptParts *parts,
                     uint64_t now_ms,
                     const DlPartId **part,
                     uint64_t *retry_ms)
{
  const DlPartRecord *r = dl_quarantine_find (q, parts);

  if (r == NULL)
    return DL_QUARANTINE_ALLOW;
  *part = &r->id;
  if (now_ms >= r->hold_ms && has_turn (q, r, now_ms))
    {
      begin_trial (q, parts, now_ms);
      return DL_QUARANTINE_TRIAL;
    }
  *retry_ms = r->hold_ms > now_ms ? r->hold_ms - now_ms : DL_QUARANTINE_TURN_MS;
  return DL_QUARANTINE_REFUSE;
}

/* -------- other entries -------- */

bool
dl_quarantine_merge (DlQuarantine *q, const DlPartRecord *record, uint64_t now_ms)
{
  DlPartRecord *r = get_record (q, &record->id);
  bool was_held = r->hold_ms != 0;
  bool is_news = false;

  for (size_t i = 0; i < record->crash_count; i++)
    is_news = add_crash (r, record->crashes[i]) || is_news;
  if (record->served_ms > r->served_ms)
    {
      is_news = is_news || count_crashes (r) > 0;
      r->served_ms = record->served_ms;
    }
  r->hold_ms = MAX (r->hold_ms, record->hold_ms);
  r->level = MAX (r->level, record->level);
  q->changed = q->changed || is_news;
  return judge (q, r, was_held, now_ms);
}

static bool
is_recent_news (const DlPartRecord *r, uint64_t now_ms)
{
  return r->hold_ms != 0 || (r->changed_ms != 0 && now_ms <= r->changed_ms + NEWS_MS);
}

/* Whether other entries may not know yet what matters of the record. */
static bool
is_worth_telling (const DlPartRecord *r, uint64_t now_ms)
{
  if (r->crash_count == 0)
    return false;
  return is_recent_news (r, now_ms) || count_crashes (r) > 0
         || now_ms <= newest_crash_ms (r) + TELL_SERVED_MS;
}

typedef struct
{
  const DlPartRecord *record;
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
  if (newest_crash_ms (x->record) != newest_crash_ms (y->record))
    return newest_crash_ms (x->record) > newest_crash_ms (y->record) ? -1 : 1;
  return strcmp (x->record->id.text, y->record->id.text);
}

void
dl_quarantine_export (const DlQuarantine *q, uint64_t now_ms, DlPartRecords *records)
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
  records->count = MIN (ranked->len, DL_PART_RECORDS_MAX);
  for (guint i = 0; i < records->count; i++)
    records->items[i] = *g_array_index (ranked, Ranked, i).record;
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
drop_old_crashes (DlPartRecord *r, uint64_t now_ms)
{
  size_t kept = 0;

  for (size_t i = 0; i < r->crash_count; i++)
    if (now_ms <= r->crashes[i].at_ms + DL_QUARANTINE_EVIDENCE_MS)
      r->crashes[kept++] = r->crashes[i];
  r->crash_count = kept;
}

/* Returns true when nothing of the record matters any more. */
static bool
expire_record (DlPartRecord *r, uint64_t now_ms)
{
  if (r->hold_ms != 0)
    return now_ms > r->hold_ms + FORGET_HELD_MS;
  drop_old_crashes (r, now_ms);
  return r->crash_count == 0 && now_ms > r->served_ms + DL_QUARANTINE_EVIDENCE_MS;
}

void
dl_quarantine_expire (DlQuarantine *q, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, q->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DlPartRecord *r = value;
      size_t crashes = r->crash_count;
      bool forgotten = expire_record (r, now_ms);

      if (forgotten ? crashes > 0 : r->crash_count != crashes)
        q->changed = true;
      if (forgotten)
        g_hash_table_iter_remove (&iter);
    }
}
