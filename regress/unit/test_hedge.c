/* When a request is sent once more for want of a response. */
#include <glib.h>

#include "policy/hedge.h"
#include "unit.h"

typedef struct
{
  uint64_t late_ms;
  uint64_t delay_ms;
} HedgeCase;

static const HedgeCase hedge_cases[] = {
  { 0, DL_HEDGE_DELAY_MIN_MS },
  { DL_HEDGE_DELAY_MIN_MS / 2, DL_HEDGE_DELAY_MIN_MS },
  { 600, 1200 },
  { DL_HEDGE_DELAY_MAX_MS, DL_HEDGE_DELAY_MAX_MS },
  { 60000, DL_HEDGE_DELAY_MAX_MS },
};

static void
test_slow_server_gets_more_time (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (hedge_cases); i++)
    {
      DlHedge hedge = { 0 };

      dl_hedge_first_responded (&hedge, hedge_cases[i].late_ms);
      CU_ASSERT_EQUAL (dl_hedge_delay_ms (&hedge), hedge_cases[i].delay_ms);
    }
}

static void
test_time_is_short_again (void)
{
  DlHedge hedge = { 0 };

  dl_hedge_first_responded (&hedge, 600);
  dl_hedge_first_responded (&hedge, 3);
  CU_ASSERT_EQUAL (dl_hedge_delay_ms (&hedge), DL_HEDGE_DELAY_MIN_MS);
  dl_hedge_first_responded (&hedge, 600);
  dl_hedge_second_responded (&hedge);
  CU_ASSERT_EQUAL (dl_hedge_delay_ms (&hedge), DL_HEDGE_DELAY_MIN_MS);
}

static const CU_TestInfo tests[] = {
  { "a slow server gets more time", test_slow_server_gets_more_time },
  { "the time is short again", test_time_is_short_again },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("hedge", tests)
