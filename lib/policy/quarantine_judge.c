#include <math.h>
#include <string.h>

#include "policy/quarantine_private.h"

/* Evidence is the logarithm of odds.  A part is quarantined at odds of 125 to 1; one
 * crash adds 5 to 1 at the most, so that at least three are needed. */
#define ODDS_QUARANTINED   125.0
#define ODDS_PER_CRASH_MAX 5.0
#define ROUNDING           1e-9 /* of sums of evidence */
/* Requests without the part that are taken to have broken off, and been served, before
 * any were seen. */
#define PRIOR_BROKEN 1.0
#define PRIOR_SERVED 2.0
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
/* How requests fare is counted over the current and the previous period. */
#define PERIOD_MS 5000

/* -------- how requests fare -------- */

static DlServedCount
roll_period (DlServedCount count, uint64_t now_ms)
{
  if (now_ms < count.period_ms + PERIOD_MS)
    return count;
  return (DlServedCount){
    .period_ms = now_ms,
    .before = now_ms < count.period_ms + 2 * PERIOD_MS ? count.now : 0,
  };
}

void
quarantine_count_served (DlServedCount *count, uint64_t now_ms)
{
  *count = roll_period (*count, now_ms);
  count->now++;
}

static unsigned
served_lately (DlServedCount count, uint64_t now_ms)
{
  count = roll_period (count, now_ms);
  return count.now + count.before;
}

/* The count of FARE, or that which was used longest ago, emptied. */
static QuarantineFare *
get_fare (DlQuarantine *q, uint64_t fare)
{
  QuarantineFare *oldest = &q->fares[0];

  for (size_t i = 0; i < QUARANTINE_FARES_MAX; i++)
    {
      if (q->fares[i].fare == fare)
        return &q->fares[i];
      if (q->fares[i].served.period_ms < oldest->served.period_ms)
        oldest = &q->fares[i];
    }
  *oldest = (QuarantineFare){ .fare = fare };
  return oldest;
}

void
quarantine_count_fare (DlQuarantine *q, uint64_t fare, uint64_t now_ms)
{
  quarantine_count_served (&get_fare (q, fare)->served, now_ms);
}

/* Requests of the kind FARE that were served lately. */
static unsigned
fare_served_lately (const DlQuarantine *q, uint64_t fare, uint64_t now_ms)
{
  for (size_t i = 0; i < QUARANTINE_FARES_MAX; i++)
    if (q->fares[i].fare == fare)
      return served_lately (q->fares[i].served, now_ms);
  return 0;
}

static uint64_t
fare_of (const DlSignatureRecord *r)
{
  return dl_signature_is_whole (&r->id) ? r->fare : DL_QUARANTINE_FARE_PARTS;
}

void
quarantine_note_break (DlQuarantine *q, const DlFate *fate, uint64_t now_ms)
{
  for (size_t i = 0; i < QUARANTINE_BREAKS_MAX; i++)
    if (q->breaks[i].requests > 0 && q->breaks[i].upstream == fate->upstream
        && now_ms <= q->breaks[i].at_ms + SAME_CRASH_MS)
      {
        q->breaks[i].requests++;
        return;
      }
  q->breaks[q->next_break] = (QuarantineBreak){
    .upstream = fate->upstream,
    .fare = fate->fare,
    .at_ms = now_ms,
    .requests = 1,
  };
  q->next_break = (q->next_break + 1) % QUARANTINE_BREAKS_MAX;
}

/* -------- crashes of a part -------- */

bool
quarantine_add_crash (DlSignatureRecord *r, DlSignatureCrash crash)
{
  size_t at;

  for (size_t i = 0; i < r->crash_count; i++)
    {
      DlSignatureCrash *c = &r->crashes[i];

      if (c->upstream == crash.upstream && c->at_ms <= crash.at_ms + SAME_CRASH_MS
          && crash.at_ms <= c->at_ms + SAME_CRASH_MS)
        return false;
    }
  if (r->crash_count == DL_SIGNATURE_CRASHES_MAX)
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

unsigned
quarantine_count_crashes (const DlSignatureRecord *r)
{
  unsigned count = 0;

  for (size_t i = 0; i < r->crash_count; i++)
    count += r->crashes[i].at_ms > r->served_ms;
  return count;
}

uint64_t
quarantine_newest_crash_ms (const DlSignatureRecord *r)
{
  return r->crash_count > 0 ? r->crashes[r->crash_count - 1].at_ms : 0;
}

static bool
was_in_crash (const DlSignatureRecord *r, uint64_t upstream)
{
  for (size_t i = 0; i < r->crash_count; i++)
    if (r->crashes[i].upstream == upstream)
      return true;
  return false;
}

/* -------- evidence -------- */

/* True for a settled crash after which no request with the signature was served. */
static bool
counts (const DlSignatureRecord *r, const DlSignatureCrash *c, uint64_t now_ms)
{
  bool is_whole = dl_signature_is_whole (&r->id);
  uint64_t settle_ms = is_whole ? DL_QUARANTINE_WHOLE_SETTLE_MS : DL_QUARANTINE_SETTLE_MS;
  uint64_t evidence_ms
      = is_whole ? DL_QUARANTINE_WHOLE_EVIDENCE_MS : DL_QUARANTINE_EVIDENCE_MS;

  return c->at_ms > r->served_ms && now_ms >= c->at_ms + settle_ms
         && now_ms <= c->at_ms + evidence_ms;
}

/* The logarithm of the odds by which one crash speaks against the part: how improbable it
 * is that a request without the part breaks off at an upstream that had none with it. */
static double
evidence_per_crash (const DlQuarantine *q, const DlSignatureRecord *r, uint64_t now_ms)
{
  double broken = PRIOR_BROKEN;
  uint64_t fare = fare_of (r);
  unsigned all = fare_served_lately (q, fare, now_ms);
  unsigned own = served_lately (r->served_lately, now_ms);
  double served = PRIOR_SERVED + (all > own ? all - own : 0);

  for (size_t i = 0; i < QUARANTINE_BREAKS_MAX; i++)
    {
      const QuarantineBreak *b = &q->breaks[i];

      if (b->requests > 0 && b->fare == fare && now_ms <= b->at_ms + 2 * PERIOD_MS
          && !was_in_crash (r, b->upstream))
        broken += b->requests;
    }
  return log (MIN ((broken + served) / broken, ODDS_PER_CRASH_MAX));
}

/* The evidence that it takes.  That a part was served before speaks for it. */
static double
evidence_needed (const DlSignatureRecord *r)
{
  return log (ODDS_QUARANTINED * (1 + r->served_count)) - ROUNDING;
}

/* Whether crashes in which OTHER was, which is quarantined, may be laid to it instead of
 * R.  A whole request whose prompt has parts explains no crash of a part: it may be one
 * of several with that part. */
static bool
explains (const DlSignatureRecord *other, const DlSignatureRecord *r)
{
  return !dl_signature_is_whole (&other->id) || dl_signature_is_whole (&r->id)
         || other->is_partless;
}

/* True when another signature that is quarantined now was in the crash. */
static bool
is_explained (const DlQuarantine *q,
              const DlSignatureRecord *r,
              const DlSignatureCrash *c)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, q->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DlSignatureRecord *other = value;

      if (other != r && other->hold_ms != 0 && explains (other, r)
          && was_in_crash (other, c->upstream))
        return true;
    }
  return false;
}

/* Crashes that count, with those at the same moment taken as one.  UNEXPLAINED: without
 * those that a quarantined part explains. */
static unsigned
count_episodes (const DlQuarantine *q,
                const DlSignatureRecord *r,
                bool unexplained,
                uint64_t now_ms)
{
  unsigned episodes = 0;
  uint64_t start_ms = 0;

  for (size_t i = 0; i < r->crash_count; i++)
    {
      const DlSignatureCrash *c = &r->crashes[i];

      if (!counts (r, c, now_ms) || (unexplained && is_explained (q, r, c)))
        continue;
      if (episodes > 0 && c->at_ms < start_ms + EPISODE_MS)
        continue;
      start_ms = c->at_ms;
      episodes++;
    }
  return episodes;
}

/* Crashes of a whole request that count.  Those at the same moment are taken as one if
 * they may have a common cause. */
static unsigned
count_whole_crashes (const DlSignatureRecord *r, uint64_t now_ms)
{
  unsigned count = 0;
  uint64_t start_ms = 0;

  for (size_t i = 0; i < r->crash_count; i++)
    {
      const DlSignatureCrash *c = &r->crashes[i];

      if (!counts (r, c, now_ms))
        continue;
      if (count > 0 && c->is_shared && c->at_ms < start_ms + EPISODE_MS)
        continue;
      start_ms = c->at_ms;
      count++;
    }
  return count;
}

/* True when an upstream without the signature was lost at the time of the crash. */
static bool
is_shared (const DlQuarantine *q, const DlSignatureRecord *r, const DlSignatureCrash *c)
{
  for (size_t i = 0; i < QUARANTINE_BREAKS_MAX; i++)
    {
      const QuarantineBreak *b = &q->breaks[i];

      if (b->requests > 0 && b->at_ms < c->at_ms + EPISODE_MS
          && c->at_ms < b->at_ms + EPISODE_MS && !was_in_crash (r, b->upstream))
        return true;
    }
  return false;
}

/* Notes which new crashes of whole requests may have a common cause. */
static void
mark_shared_crashes (DlQuarantine *q, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, q->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DlSignatureRecord *r = value;

      if (r->crash_count < 2 || !dl_signature_is_whole (&r->id))
        continue;
      for (size_t i = 0; i < r->crash_count; i++)
        if (now_ms <= r->crashes[i].at_ms + SAME_CRASH_MS)
          r->crashes[i].is_shared
              = r->crashes[i].is_shared || is_shared (q, r, &r->crashes[i]);
    }
}

static bool
has_evidence (const DlQuarantine *q, const DlSignatureRecord *r, uint64_t now_ms)
{
  double each = evidence_per_crash (q, r, now_ms);
  double needed = evidence_needed (r);

  return count_episodes (q, r, false, now_ms) * each >= needed
         && count_episodes (q, r, true, now_ms) * each >= needed;
}

static bool
is_guilty (const DlQuarantine *q, const DlSignatureRecord *r, uint64_t now_ms)
{
  if (dl_signature_is_whole (&r->id) && r->served_count == 0)
    return count_whole_crashes (r, now_ms) >= LEVEL_CRASHES_MIN;
  return has_evidence (q, r, now_ms);
}

/* -------- the hold -------- */

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

void
quarantine_extend_hold (DlSignatureRecord *r, bool is_trial, uint64_t now_ms)
{
  r->level = MAX (r->level + is_trial, level_of_crashes (quarantine_count_crashes (r)));
  r->hold_ms = MAX (r->hold_ms, now_ms + hold_duration_ms (r->level));
}

static void
hold (DlSignatureRecord *r)
{
  r->level = level_of_crashes (quarantine_count_crashes (r));
  r->hold_ms = quarantine_newest_crash_ms (r) + hold_duration_ms (r->level);
}

/* -------- judging -------- */

/* True when A is more likely than B to be the cause of crashes that both were in. */
static bool
is_more_specific (const DlSignatureRecord *a, const DlSignatureRecord *b)
{
  if (a->served_count != b->served_count)
    return a->served_count < b->served_count;
  if (a->broken_count != b->broken_count)
    return a->broken_count < b->broken_count;
  return strcmp (a->id.text, b->id.text) < 0; /* alike at all entries */
}

/* The part that is to be quarantined next; NULL for none. */
static DlSignatureRecord *
find_guilty (const DlQuarantine *q, uint64_t now_ms)
{
  DlSignatureRecord *found = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, q->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DlSignatureRecord *r = value;

      if (r->crash_count >= LEVEL_CRASHES_MIN && r->hold_ms == 0
          && is_guilty (q, r, now_ms) && (found == NULL || is_more_specific (r, found)))
        found = r;
    }
  return found;
}

void
dl_quarantine_judge (DlQuarantine *q, uint64_t now_ms, DlQuarantineNews *news)
{
  DlSignatureRecord *guilty;

  *news = (DlQuarantineNews){ 0 };
  if (now_ms > q->crashed_ms + DL_QUARANTINE_EVIDENCE_MS)
    return;
  mark_shared_crashes (q, now_ms);
  while (news->quarantined_count < DL_SIGNATURE_RECORDS_MAX
         && (guilty = find_guilty (q, now_ms)) != NULL)
    {
      hold (guilty);
      guilty->changed_ms = now_ms;
      news->quarantined[news->quarantined_count++] = guilty->id;
      q->changed = true; /* quarantined parts are told */
    }
}

bool
quarantine_release_served (DlSignatureRecord *r)
{
  bool was_held = r->hold_ms != 0;

  if (quarantine_count_crashes (r) > 0)
    return false;
  r->hold_ms = 0;
  r->level = 0;
  r->trials = 0;
  return was_held;
}
