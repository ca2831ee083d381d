/* When the store is known to have answered some entry. */
#include "policy/store_heard.h"
#include "unit.h"

#define START_MS 10000

static void
test_store_never_heard_counts_as_away (void)
{
  DlStoreHeard heard = { 0 };

  CU_ASSERT_EQUAL (dl_store_heard_for_ms (&heard, START_MS), 0);
}

static void
test_answers_without_a_gap (void)
{
  DlStoreHeard heard = { 0 };
  uint64_t now_ms = START_MS;

  for (unsigned i = 0; i < 5; i++, now_ms += DL_STORE_HEARD_GAP_MS)
    dl_store_heard (&heard, now_ms);
  dl_store_heard (&heard, START_MS); /* a late word of an older answer */
  CU_ASSERT_EQUAL (dl_store_heard_for_ms (&heard, now_ms), now_ms - START_MS);
  CU_ASSERT_EQUAL (dl_store_heard_for_ms (&heard, now_ms + 1), 0);
}

static void
test_gap_begins_a_new_span (void)
{
  DlStoreHeard heard = { 0 };
  uint64_t back_ms = START_MS + DL_STORE_HEARD_GAP_MS + 1;

  dl_store_heard (&heard, START_MS);
  dl_store_heard (&heard, back_ms);
  CU_ASSERT_EQUAL (dl_store_heard_for_ms (&heard, back_ms + 700), 700);
}

static void
test_return_from_an_older_copy_begins_a_new_span (void)
{
  DlStoreHeard heard = { 0 };

  dl_store_heard (&heard, START_MS);
  dl_store_heard_returned (&heard, START_MS + 200);
  dl_store_heard (&heard, START_MS + 300);
  CU_ASSERT_EQUAL (dl_store_heard_for_ms (&heard, START_MS + 900), 700);
}

static const CU_TestInfo tests[] = {
  { "a store never heard counts as away", test_store_never_heard_counts_as_away },
  { "answers without a gap", test_answers_without_a_gap },
  { "a gap begins a new span", test_gap_begins_a_new_span },
  { "a return from an older copy begins a new span",
    test_return_from_an_older_copy_begins_a_new_span },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("store heard", tests)
