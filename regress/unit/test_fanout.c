/*
 * Tests of the choice of relays and hubs in a large fleet.
 */
#include <glib.h>

#include "policy/fanout.h"
#include "unit.h"

typedef struct
{
  const char *what;
  DlFanoutEntry entries[5];
  size_t count;
  size_t wanted;
  size_t chosen[3];
  size_t chosen_count;
} ChoiceCase;

static const ChoiceCase choice_cases[] = {
  { .what = "no entry", .wanted = 2 },
  { .what = "the first two of those ready",
    .entries = { { 5, true, true }, { 9, true, true }, { 7, true, true } },
    .count = 3,
    .wanted = 2,
    .chosen = { 1, 2 },
    .chosen_count = 2 },
  { .what = "not those that are down or not ready",
    .entries = { { 9, false, true }, { 8, true, false }, { 1, true, true } },
    .count = 3,
    .wanted = 2,
    .chosen = { 2 },
    .chosen_count = 1 },
  { .what = "those alive while none is ready",
    .entries = { { 9, false, false }, { 1, true, false }, { 8, true, false } },
    .count = 3,
    .wanted = 2,
    .chosen = { 2, 1 },
    .chosen_count = 2 },
  { .what = "all while none was heard",
    .entries = { { 3, false, false }, { 1, false, false }, { 8, false, false } },
    .count = 3,
    .wanted = 3,
    .chosen = { 2, 0, 1 },
    .chosen_count = 3 },
  { .what = "the best last",
    .entries = { { 1, true, true },
                 { 2, true, true },
                 { 3, true, true },
                 { 4, true, true },
                 { 5, true, true } },
    .count = 5,
    .wanted = 2,
    .chosen = { 4, 3 },
    .chosen_count = 2 },
};

static void
test_choice (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (choice_cases); i++)
    {
      const ChoiceCase *c = &choice_cases[i];
      size_t chosen[3] = { 0 };
      size_t n = dl_fanout_choose (c->entries, c->count, c->wanted, chosen);

      CU_ASSERT_EQUAL (n, c->chosen_count);
      for (size_t k = 0; k < MIN (n, c->chosen_count); k++)
        if (chosen[k] != c->chosen[k])
          {
            g_print ("%s: place %zu has %zu\n", c->what, k, chosen[k]);
            CU_FAIL ("another entry was chosen");
          }
    }
}

static void
test_hubs (void)
{
  const DlFanoutEntry entries[]
      = { { 9, true, true }, { 8, false, true }, { 2, true, false } };

  CU_ASSERT_EQUAL (dl_fanout_before (entries, 3, 5), 1);
  CU_ASSERT_EQUAL (dl_fanout_before (entries + 1, 1, 5), 1);
  CU_ASSERT_EQUAL (dl_fanout_before (entries, 3, 1), 2);
  CU_ASSERT_TRUE (dl_fanout_is_hub (DL_FANOUT_HUBS - 1, false));
  CU_ASSERT_FALSE (dl_fanout_is_hub (DL_FANOUT_HUBS, false));
  CU_ASSERT_TRUE (dl_fanout_is_hub (DL_FANOUT_HUBS, true));
  CU_ASSERT_FALSE (dl_fanout_is_hub (DL_FANOUT_HUBS_KEPT, true));
}

/* A few statuses go to all at once; then the entry keeps to the pace, however long. */
static void
test_statuses_to_all (void)
{
  DlFanoutBurst burst = { 0 };
  const unsigned entries = 149;
  const uint64_t interval_ms = entries * DL_FANOUT_MS_AN_ENTRY;
  unsigned sent = 0;

  for (unsigned i = 0; i < DL_FANOUT_BURST; i++)
    CU_ASSERT_TRUE (dl_fanout_may_tell_all (&burst, entries, 100000 + i));
  CU_ASSERT_FALSE (dl_fanout_may_tell_all (&burst, entries, 100010));
  for (uint64_t ms = 0; ms < 100 * interval_ms; ms += 40)
    sent += dl_fanout_may_tell_all (&burst, entries, 100010 + ms);
  CU_ASSERT (sent >= 98 && sent <= 100);
  CU_ASSERT_FALSE (
      dl_fanout_may_tell_all (&burst, entries, 100010 + 100 * interval_ms - 40));
  /* After a quiet time the burst is whole again. */
  for (unsigned i = 0; i < DL_FANOUT_BURST; i++)
    CU_ASSERT_TRUE (dl_fanout_may_tell_all (&burst, entries, 100000 + 200 * interval_ms));
  for (unsigned i = 0; i < 100; i++)
    CU_ASSERT_TRUE (dl_fanout_may_tell_all (&burst, DL_FANOUT_SMALL_ENTRIES_MAX, 200000));
}

static const CU_TestInfo tests[] = {
  { "choice of relays", test_choice },
  { "hubs", test_hubs },
  { "statuses to all entries", test_statuses_to_all },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("fanout", tests)
