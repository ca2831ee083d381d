/* Which entries of a region read the store for the others. */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "policy/readers.h"
#include "unit.h"

#define ENTRIES_MAX 40
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

/* Name of the entry that entry I asks; its own when it reads the store itself.  ABSENT is
 * down; -1 for none. */
static const char *
choice (const Region *r, unsigned i, int absent)
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
  return strcmp (choice (r, i, absent), r->names[i]) == 0;
}

static void
test_one_reader_for_ten (void)
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

/* Whoever is asked reads the store itself: there are no chains. */
static void
test_followers_ask_readers (void)
{
  Region r;
  unsigned asked[ENTRIES_MAX] = { 0 };

  fill (&r, ENTRIES_MAX);
  for (unsigned i = 0; i < r.count; i++)
    for (unsigned k = 0; k < r.count; k++)
      if (k != i && strcmp (choice (&r, i, -1), r.names[k]) == 0)
        {
          CU_ASSERT_TRUE (is_reader (&r, k, -1));
          asked[k]++;
        }
  for (unsigned k = 0; k < r.count; k++)
    CU_ASSERT (!is_reader (&r, k, -1) || (asked[k] > 0 && asked[k] < ENTRIES_MAX / 2));
}

/* When a reader goes, another takes its place, and few others change whom they ask. */
static void
test_a_reader_goes (void)
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
          changed += strcmp (choice (&r, i, -1), choice (&r, i, (int)gone)) != 0;
          CU_ASSERT_STRING_NOT_EQUAL (choice (&r, i, (int)gone), r.names[gone]);
        }
      CU_ASSERT_EQUAL (readers, 4);
      CU_ASSERT (changed < ENTRIES_MAX / 2 + 5);
    }
}

/* A stager asks readers too, and reads the store itself only without any entry. */
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

/* Fails READER as seen by COUNT calls; returns the last pause. */
static uint64_t
fail (DlReaderHealth *trust, const char *reader, unsigned count, uint64_t now_ms)
{
  uint64_t pause_ms = 0;
  bool is_new;

  for (unsigned i = 0; i < count; i++)
    {
      pause_ms = dl_reader_health_failed (trust, reader, 777, now_ms, &is_new);
      CU_ASSERT_EQUAL (is_new, i == 0);
    }
  return pause_ms;
}

/* All watches of an entry lose a reader at once: that is one failure. */
static void
test_one_reader_fails (void)
{
  DlReaderHealth *trust = dl_reader_health_new (NULL, true);

  CU_ASSERT_EQUAL (fail (trust, "a", 4, NOW_MS), DL_READER_BACKOFF_MS);
  CU_ASSERT_FALSE (dl_reader_health_must_use_store (trust, NOW_MS));
  CU_ASSERT_FALSE (dl_reader_health_may_ask (trust, "a", NOW_MS));
  CU_ASSERT_TRUE (dl_reader_health_may_ask (trust, "b", NOW_MS));
  CU_ASSERT_TRUE (dl_reader_health_may_ask (trust, "a", NOW_MS + DL_READER_AVOID_MS));
  talloc_free (trust);
}

static void
test_readers_fail_in_a_row (void)
{
  DlReaderHealth *trust = dl_reader_health_new (NULL, true);

  fail (trust, "a", 2, NOW_MS);
  fail (trust, "b", 2, NOW_MS);
  dl_reader_health_succeeded (trust);
  fail (trust, "c", 1, NOW_MS);
  CU_ASSERT_FALSE (dl_reader_health_must_use_store (trust, NOW_MS));
  fail (trust, "d", 1, NOW_MS);
  CU_ASSERT_EQUAL (fail (trust, "e", 3, NOW_MS), 777);
  CU_ASSERT_TRUE (dl_reader_health_must_use_store (trust, NOW_MS));
  CU_ASSERT_FALSE (dl_reader_health_must_use_store (trust, NOW_MS + DL_READER_AVOID_MS));
  talloc_free (trust);
}

/* However many fail, stagers do not rush to the store. */
static void
test_stagers_wait (void)
{
  DlReaderHealth *trust = dl_reader_health_new (NULL, false);
  static const char *const names[] = { "a", "b", "c", "d", "e" };

  for (unsigned i = 0; i < sizeof names / sizeof *names; i++)
    CU_ASSERT_EQUAL (fail (trust, names[i], 1, NOW_MS), DL_READER_NODE_BACKOFF_MS);
  CU_ASSERT_FALSE (dl_reader_health_must_use_store (trust, NOW_MS));
  talloc_free (trust);
}

static const CU_TestInfo tests[] = {
  { "one reader fails", test_one_reader_fails },
  { "readers fail in a row", test_readers_fail_in_a_row },
  { "stagers wait", test_stagers_wait },
  { "stagers ask readers", test_stagers_ask_readers },
  { "one reader for ten entries", test_one_reader_for_ten },
  { "followers ask readers", test_followers_ask_readers },
  { "a reader goes", test_a_reader_goes },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("readers", tests)
