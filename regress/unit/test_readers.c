/* Selection of the entries that read the store for a region, and failing readers. */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "policy/read_progress.h"
#include "policy/readers.h"
#include "unit.h"

#define READERS     4
#define ENTRIES_MAX (READERS * DL_ENTRIES_PER_READER)
#define NAME_BYTES  24

typedef struct
{
  char names[ENTRIES_MAX][NAME_BYTES];
  unsigned count;
} Region;

static void
fill (Region *r, unsigned count)
{
  r->count = count;
  for (unsigned i = 0; i < count; i++)
    snprintf (r->names[i], NAME_BYTES, "entry-%u", i);
}

/* Name of the entry that entry I asks; its own when it reads the store itself.  Entry
 * ABSENT is down; -1: none is. */
static const char *
chosen_name (const Region *r, unsigned i, int absent)
{
  const char *others[ENTRIES_MAX];
  size_t count = 0;
  int chosen;

  for (unsigned k = 0; k < r->count; k++)
    if (k != i && (int)k != absent)
      others[count++] = r->names[k];
  chosen = dl_readers_choose (&(DlReadersQuery){
      .self = r->names[i], .is_entry = true, .others = others, .other_count = count });
  return chosen < 0 ? r->names[i] : others[chosen];
}

static bool
is_reader (const Region *r, unsigned i, int absent)
{
  return strcmp (chosen_name (r, i, absent), r->names[i]) == 0;
}

static void
test_one_reader_for_thirty (void)
{
  Region r;

  for (unsigned count = 1; count <= ENTRIES_MAX; count++)
    {
      unsigned readers = 0;

      fill (&r, count);
      for (unsigned i = 0; i < count; i++)
        readers += is_reader (&r, i, -1);
      CU_ASSERT_EQUAL (readers,
                       (count + DL_ENTRIES_PER_READER - 1) / DL_ENTRIES_PER_READER);
    }
}

/* A reader that is asked reads the store itself, so that data never takes two hops. */
static void
test_others_ask_readers (void)
{
  Region r;
  unsigned asked[ENTRIES_MAX] = { 0 };

  fill (&r, ENTRIES_MAX);
  for (unsigned i = 0; i < r.count; i++)
    for (unsigned k = 0; k < r.count; k++)
      if (k != i && strcmp (chosen_name (&r, i, -1), r.names[k]) == 0)
        {
          CU_ASSERT_TRUE (is_reader (&r, k, -1));
          asked[k]++;
        }
  for (unsigned k = 0; k < r.count; k++)
    CU_ASSERT (!is_reader (&r, k, -1) || (asked[k] > 0 && asked[k] < ENTRIES_MAX / 2));
}

/* When a reader goes down, another one replaces it and few entries change their reader.
 */
static void
test_reader_goes_down (void)
{
  Region r;

  fill (&r, ENTRIES_MAX);
  for (unsigned gone = 0; gone < r.count; gone++)
    {
      unsigned readers = 0;
      unsigned changed = 0;

      if (!is_reader (&r, gone, -1))
        continue;
      for (unsigned i = 0; i < r.count; i++)
        {
          if (i == gone)
            continue;
          readers += is_reader (&r, i, (int)gone);
          changed
              += strcmp (chosen_name (&r, i, -1), chosen_name (&r, i, (int)gone)) != 0;
          CU_ASSERT_STRING_NOT_EQUAL (chosen_name (&r, i, (int)gone), r.names[gone]);
        }
      CU_ASSERT_EQUAL (readers, READERS);
      CU_ASSERT (changed < ENTRIES_MAX / 2 + 5);
    }
}

/* A stager asks readers too, and reads the store itself only if there is no entry. */
static void
test_stagers_ask_readers (void)
{
  Region r;
  const char *names[ENTRIES_MAX];

  fill (&r, ENTRIES_MAX);
  for (unsigned i = 0; i < r.count; i++)
    names[i] = r.names[i];
  for (unsigned n = 0; n < 20; n++)
    {
      char self[NAME_BYTES];
      int chosen;

      snprintf (self, sizeof self, "stager-%u", n);
      chosen = dl_readers_choose (
          &(DlReadersQuery){ .self = self, .others = names, .other_count = r.count });
      CU_ASSERT_TRUE (chosen >= 0 && is_reader (&r, (unsigned)chosen, -1));
      CU_ASSERT_EQUAL (dl_readers_choose (&(DlReadersQuery){ .self = self }), -1);
    }
}

/* -------- readers that failed -------- */

#define NOW_MS 5000
#define KIND   "config"

/* Reports a failure of READER from COUNT calls; returns the last backoff. */
static uint64_t
fail (DlReaderHealth *health, const char *reader, unsigned count, uint64_t now_ms)
{
  uint64_t backoff_ms = 0;
  bool is_new;

  for (unsigned i = 0; i < count; i++)
    {
      backoff_ms = dl_reader_health_failed (health, reader, 777, now_ms, &is_new);
      CU_ASSERT_EQUAL (is_new, i == 0);
    }
  return backoff_ms;
}

/* All watches of an entry lose a reader at the same time: that counts as one failure. */
static void
test_one_reader_fails (void)
{
  DlReaderHealth *health = dl_reader_health_new (NULL, true);

  CU_ASSERT_EQUAL (fail (health, "a", 4, NOW_MS), DL_READER_BACKOFF_MS);
  CU_ASSERT_FALSE (dl_reader_health_must_use_store (health, NOW_MS));
  CU_ASSERT_FALSE (dl_reader_health_may_ask (health, "a", KIND, NOW_MS));
  CU_ASSERT_TRUE (dl_reader_health_may_ask (health, "b", KIND, NOW_MS));
  CU_ASSERT_TRUE (
      dl_reader_health_may_ask (health, "a", KIND, NOW_MS + DL_READER_AVOID_MS));
  talloc_free (health);
}

static void
test_readers_fail_in_a_row (void)
{
  DlReaderHealth *health = dl_reader_health_new (NULL, true);

  fail (health, "a", 2, NOW_MS);
  fail (health, "b", 2, NOW_MS);
  dl_reader_health_succeeded (health, KIND);
  fail (health, "c", 1, NOW_MS);
  CU_ASSERT_FALSE (dl_reader_health_must_use_store (health, NOW_MS));
  fail (health, "d", 1, NOW_MS);
  CU_ASSERT_EQUAL (fail (health, "e", 3, NOW_MS), 777);
  CU_ASSERT_TRUE (dl_reader_health_must_use_store (health, NOW_MS));
  CU_ASSERT_FALSE (dl_reader_health_must_use_store (health, NOW_MS + DL_READER_AVOID_MS));
  talloc_free (health);
}

/* Readers that wait for the store themselves are asked again soon, and however many do,
 * the store gets no further calls over the link that they wait for. */
static void
test_readers_are_stale (void)
{
  DlReaderHealth *health = dl_reader_health_new (NULL, true);
  static const char *const names[] = { "a", "b", "c", "d", "e" };
  bool is_new;

  for (unsigned i = 0; i < sizeof names / sizeof *names; i++)
    {
      for (unsigned k = 0; k < 2; k++)
        {
          CU_ASSERT_EQUAL (dl_reader_health_stale (health, names[i], KIND, NOW_MS,
                                                   &is_new),
                           i < 2 ? DL_READER_BACKOFF_MS : DL_READER_STALE_BACKOFF_MS);
          CU_ASSERT_EQUAL (is_new, k == 0);
        }
      CU_ASSERT_FALSE (dl_reader_health_may_ask (health, names[i], KIND, NOW_MS));
      CU_ASSERT_TRUE (dl_reader_health_may_ask (health, names[i], KIND,
                                                NOW_MS + DL_READER_STALE_AVOID_MS));
    }
  CU_ASSERT_FALSE (dl_reader_health_must_use_store (health, NOW_MS));
  dl_reader_health_succeeded (health, KIND);
  CU_ASSERT_EQUAL (dl_reader_health_stale (health, "f", KIND, NOW_MS, &is_new),
                   DL_READER_BACKOFF_MS);
  talloc_free (health);
}

/* A reader whose copy of one kind is too old may have a fresh one of another. */
static void
test_kinds_count_apart (void)
{
  DlReaderHealth *health = dl_reader_health_new (NULL, true);
  static const char *const names[] = { "a", "b", "c" };
  bool is_new;

  for (unsigned i = 0; i < sizeof names / sizeof *names; i++)
    {
      dl_reader_health_stale (health, names[i], "versions", NOW_MS, &is_new);
      CU_ASSERT_TRUE (dl_reader_health_may_ask (health, names[i], KIND, NOW_MS));
    }
  CU_ASSERT_EQUAL (dl_reader_health_stale (health, "a", KIND, NOW_MS, &is_new),
                   DL_READER_BACKOFF_MS);
  CU_ASSERT_TRUE (is_new);
  dl_reader_health_succeeded (health, KIND);
  CU_ASSERT_EQUAL (dl_reader_health_stale (health, "d", "versions", NOW_MS, &is_new),
                   DL_READER_STALE_BACKOFF_MS);
  fail (health, "e", 1, NOW_MS);
  CU_ASSERT_FALSE (dl_reader_health_may_ask (health, "e", "versions", NOW_MS));
  talloc_free (health);
}

/* -------- reading the store without a reader -------- */

#define STEP_MS 10
/* The call itself, and a table of 1,651 routes over a link between regions. */
#define CALL_MS      200
#define SIMULATED_MS 20000
/* An entry of a region whose readers' copies are all too old. */
typedef struct
{
  DlReaderHealth *health;
  DlReaderCopy copy;
} Lone;

/* Plays a region of COUNT entries whose readers' copies are all too old while the store
 * is well; returns the highest age of a copy, and in *READS the most calls to the store
 * in a step. */
static uint64_t
play_region (size_t count, uint64_t apply_ms, unsigned *reads)
{
  Lone *lones = talloc_zero_array (NULL, Lone, (unsigned)count);
  uint64_t oldest_ms = 0;

  *reads = 0;
  for (size_t i = 0; i < count; i++)
    lones[i] = (Lone){
      .health = dl_reader_health_new (lones, true),
      .copy = { .kind = KIND, .synced_ms = NOW_MS, .apply_ms = apply_ms, .position = i },
    };
  for (uint64_t now_ms = NOW_MS; now_ms < NOW_MS + SIMULATED_MS; now_ms += STEP_MS)
    {
      unsigned reads_now = 0;

      for (size_t i = 0; i < count; i++)
        {
          DlReaderCopy *copy = &lones[i].copy;

          oldest_ms = MAX (oldest_ms, now_ms - copy->synced_ms);
          if (now_ms < dl_reader_health_direct_ms (lones[i].health, copy))
            continue;
          copy->synced_ms = now_ms;
          reads_now++;
        }
      *reads = MAX (*reads, reads_now);
    }
  talloc_free (lones);
  return oldest_ms;
}

/* The load that this answers: a region of so many entries, and the time for a change. */
static const struct
{
  size_t entries;
  uint64_t apply_ms;
} regions[] = { { 1, 2000 }, { 3, 2000 }, { 14, 3000 }, { 30, 4000 }, { 60, 4000 } };

static void
test_readers_with_old_copies_do_not_let_a_copy_grow_old (void)
{
  for (size_t i = 0; i < sizeof regions / sizeof *regions; i++)
    {
      unsigned reads;
      uint64_t oldest_ms = play_region (regions[i].entries, regions[i].apply_ms, &reads);

      CU_ASSERT (oldest_ms + CALL_MS <= regions[i].apply_ms);
      CU_ASSERT (reads <= 2 * (1 + (regions[i].entries - 1) / DL_ENTRIES_PER_READER));
    }
}

/* A copy that a reader is receiving is waited for, at first by all entries. */
static void
test_reader_that_receives_a_newer_copy_is_waited_for (void)
{
  DlReaderHealth *health = dl_reader_health_new (NULL, true);
  DlReaderCopy copy = { .kind = KIND, .synced_ms = NOW_MS, .apply_ms = 3000 };
  uint64_t due_ms = dl_reader_health_direct_ms (health, &copy);

  dl_reader_health_reading (health, KIND, due_ms - 100);
  CU_ASSERT (dl_reader_health_direct_ms (health, &copy) > due_ms);
  dl_reader_health_reading (health, KIND, due_ms + 1000);
  CU_ASSERT (dl_reader_health_direct_ms (health, &copy) > due_ms + 1000);
  copy.position = 1;
  CU_ASSERT_EQUAL (dl_reader_health_direct_ms (health, &copy),
                   due_ms + 1000 + DL_READER_RENEWAL_WAIT_MS + DL_READER_RENEWAL_STEP_MS);
  copy.apply_ms = 0;
  CU_ASSERT_EQUAL (dl_reader_health_direct_ms (health, &copy), UINT64_MAX);
  talloc_free (health);
}

/* A region has more stagers than a reader can answer every few milliseconds. */
static void
test_stager_polled_a_reader_that_was_receiving_a_copy (void)
{
  DlReaderHealth *entry = dl_reader_health_new (NULL, true);
  DlReaderHealth *stager = dl_reader_health_new (NULL, false);

  CU_ASSERT_EQUAL (dl_reader_health_reading (entry, KIND, NOW_MS),
                   DL_READER_READING_BACKOFF_MS);
  CU_ASSERT_EQUAL (dl_reader_health_reading (stager, KIND, NOW_MS),
                   DL_READER_NODE_BACKOFF_MS);
  talloc_free (entry);
  talloc_free (stager);
}

/* -------- progress of a read -------- */

typedef struct
{
  const char *name;
  DlReadProgress progress;
  bool progresses;
  bool is_arriving;
} ProgressCase;

static const ProgressCase progress_cases[] = {
  { "no read", { 0 }, false, false },
  { "not due", { .due_ms = NOW_MS + 100 }, true, false },
  { "just late", { .due_ms = NOW_MS - DL_READ_BEGIN_MS + 1 }, true, false },
  { "nothing has come", { .due_ms = NOW_MS - DL_READ_BEGIN_MS }, false, false },
  { "arriving", { NOW_MS - 4000, NOW_MS - DL_READ_PAUSE_MS + 1 }, true, true },
  { "stopped", { NOW_MS - 4000, NOW_MS - DL_READ_PAUSE_MS }, false, false },
};

static void
test_read_progresses_while_its_response_is_due_or_arrives (void)
{
  for (size_t i = 0; i < sizeof progress_cases / sizeof *progress_cases; i++)
    {
      const ProgressCase *c = &progress_cases[i];

      CU_ASSERT_EQUAL (dl_read_progresses (&c->progress, NOW_MS), c->progresses);
      CU_ASSERT_EQUAL (dl_read_is_arriving (&c->progress, NOW_MS), c->is_arriving);
    }
}

static void
test_store_that_does_not_answer_is_left_alone (void)
{
  DlReaderHealth *health = dl_reader_health_new (NULL, true);
  DlReaderCopy first = { .kind = KIND, .synced_ms = NOW_MS, .apply_ms = 2000 };
  DlReaderCopy last = first;
  uint64_t failed_ms = NOW_MS + 2000;

  last.position = DL_ENTRIES_PER_READER - 1;
  dl_reader_health_store_failed (health, &first, failed_ms);
  CU_ASSERT_EQUAL (dl_reader_health_direct_ms (health, &first),
                   failed_ms + DL_READER_DIRECT_RETRY_MS);
  dl_reader_health_store_failed (health, &last, failed_ms);
  CU_ASSERT (dl_reader_health_direct_ms (health, &last)
             > failed_ms + DL_READER_DIRECT_RETRY_MS + DL_READER_DIRECT_SPREAD_MS / 2);
  dl_reader_health_succeeded (health, KIND);
  CU_ASSERT (dl_reader_health_direct_ms (health, &first) < failed_ms);
  talloc_free (health);
}

static void
test_copy_without_a_bound_is_left_to_readers (void)
{
  DlReaderHealth *entry = dl_reader_health_new (NULL, true);
  DlReaderHealth *stager = dl_reader_health_new (NULL, false);
  DlReaderCopy copy = { .kind = KIND, .synced_ms = NOW_MS, .apply_ms = 2000 };
  DlReaderCopy unbounded = { .kind = KIND, .synced_ms = NOW_MS };

  CU_ASSERT_EQUAL (dl_reader_health_direct_ms (stager, &copy), UINT64_MAX);
  CU_ASSERT_EQUAL (dl_reader_health_direct_ms (entry, &unbounded), UINT64_MAX);
  talloc_free (entry);
  talloc_free (stager);
}

/* A region whose hosts have all just started: an entry that reads the store takes
 * READ_MS, unless it is one that the store does not answer. */
#define STARTED_MS 1000
#define READ_MS    2500
#define ASK_MS     1000 /* entries ask a reader again after so long */
#define UNANSWERED 2    /* entries that rank first, which the store does not answer */

typedef struct
{
  Lone entry;
  uint64_t reading_ms; /* since when it reads the store; 0: it does not */
} Starting;

/* Entry I is at the time NOW_MS; SEEN: another entry was seen to read the store. */
static void
step_starting (Starting *s, size_t i, bool seen, uint64_t now_ms)
{
  DlReaderHealth *health = s->entry.health;

  if (seen && s->reading_ms == 0 && now_ms % ASK_MS == 0)
    dl_reader_health_reading (health, KIND, now_ms);
  if (s->reading_ms != 0 && now_ms >= s->reading_ms + READ_MS)
    s->entry.copy.synced_ms = now_ms;
  else if (s->reading_ms == 0 && i >= UNANSWERED
           && now_ms >= dl_reader_health_direct_ms (health, &s->entry.copy))
    s->reading_ms = now_ms;
}

/* Without the turns none of them would ever read the store; all at once would fill the
 * link to it. */
static void
test_entries_without_a_copy_read_the_store_one_after_the_other (void)
{
  Starting entries[DL_ENTRIES_PER_READER];
  void *context = talloc_new (NULL);
  uint64_t now_ms = STARTED_MS;
  bool has_copy = false;
  unsigned readers = 0;

  for (size_t i = 0; i < DL_ENTRIES_PER_READER; i++)
    entries[i] = (Starting){
      .entry = { .health = dl_reader_health_new (context, true),
                 .copy = { .kind = KIND, .wanted_ms = STARTED_MS, .position = i } },
    };
  for (; now_ms < STARTED_MS + SIMULATED_MS && !has_copy; now_ms += STEP_MS)
    for (size_t i = 0; i < DL_ENTRIES_PER_READER; i++)
      {
        step_starting (&entries[i], i, readers > 0, now_ms);
        has_copy = has_copy || entries[i].entry.copy.synced_ms != 0;
        readers += entries[i].reading_ms == now_ms;
      }
  CU_ASSERT_TRUE (has_copy);
  CU_ASSERT (readers >= 1 && readers <= 3);
  talloc_free (context);
}

/* A stager has no turn at the store. */
static void
test_stager_without_a_copy_is_left_to_readers (void)
{
  DlReaderHealth *health = dl_reader_health_new (NULL, false);
  DlReaderCopy none = { .kind = KIND, .wanted_ms = STARTED_MS };

  CU_ASSERT_EQUAL (dl_reader_health_direct_ms (health, &none), UINT64_MAX);
  talloc_free (health);
}

/* However many readers fail, stagers do not turn to the store. */
static void
test_stagers_back_off (void)
{
  DlReaderHealth *health = dl_reader_health_new (NULL, false);
  static const char *const names[] = { "a", "b", "c", "d", "e" };

  for (unsigned i = 0; i < sizeof names / sizeof *names; i++)
    CU_ASSERT_EQUAL (fail (health, names[i], 1, NOW_MS), DL_READER_NODE_BACKOFF_MS);
  CU_ASSERT_FALSE (dl_reader_health_must_use_store (health, NOW_MS));
  talloc_free (health);
}

static const CU_TestInfo tests[] = {
  { "one reader fails", test_one_reader_fails },
  { "readers fail in a row", test_readers_fail_in_a_row },
  { "readers are stale", test_readers_are_stale },
  { "kinds count apart", test_kinds_count_apart },
  { "old copies of readers do not let a copy grow old",
    test_readers_with_old_copies_do_not_let_a_copy_grow_old },
  { "a reader that receives a newer copy is waited for",
    test_reader_that_receives_a_newer_copy_is_waited_for },
  { "a stager does not poll a reader that is receiving a copy",
    test_stager_polled_a_reader_that_was_receiving_a_copy },
  { "a read progresses while its response is due or arrives",
    test_read_progresses_while_its_response_is_due_or_arrives },
  { "a store that does not answer is left alone",
    test_store_that_does_not_answer_is_left_alone },
  { "a copy without a bound is left to readers",
    test_copy_without_a_bound_is_left_to_readers },
  { "entries without a copy read the store one after the other",
    test_entries_without_a_copy_read_the_store_one_after_the_other },
  { "a stager without a copy is left to readers",
    test_stager_without_a_copy_is_left_to_readers },
  { "stagers wait", test_stagers_back_off },
  { "stagers ask readers", test_stagers_ask_readers },
  { "one reader for ten entries", test_one_reader_for_thirty },
  { "other entries ask readers", test_others_ask_readers },
  { "a reader goes down", test_reader_goes_down },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("readers", tests)
