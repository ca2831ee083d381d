/* Tests of the backoff of calls to one peer. */
#include "policy/backoff.h"
#include "unit.h"

static const DlBackoffBounds bounds = { .first_ms = 50, .max_ms = 400 };

/* Calls to a peer that always fails are few, also when several fail together. */
static void
test_pauses_grow_up_to_a_bound (void)
{
  DlBackoff b = { 0 };
  unsigned calls = 0;

  for (uint64_t now_ms = 1000; now_ms < 11000; now_ms += 10)
    if (dl_backoff_allows (&b, now_ms))
      {
        calls++;
        CU_ASSERT_TRUE (dl_backoff_failed (&b, &bounds, now_ms));
        CU_ASSERT_FALSE (dl_backoff_failed (&b, &bounds, now_ms));
        CU_ASSERT (b.pause_ms <= bounds.max_ms);
      }
  CU_ASSERT (calls >= 25 && calls <= 29);
}

static void
test_success_ends_the_pause (void)
{
  DlBackoff b = { 0 };

  CU_ASSERT_TRUE (dl_backoff_failed (&b, &bounds, 1000));
  CU_ASSERT_FALSE (dl_backoff_allows (&b, 1049));
  dl_backoff_succeeded (&b);
  CU_ASSERT_TRUE (dl_backoff_allows (&b, 1000));
  CU_ASSERT_TRUE (dl_backoff_failed (&b, &bounds, 1001));
  CU_ASSERT (b.pause_ms == bounds.first_ms);
}

static const CU_TestInfo tests[] = {
  { "pauses grow up to a bound", test_pauses_grow_up_to_a_bound },
  { "success ends the pause", test_success_ends_the_pause },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("backoff", tests)
