/* The rate limit on log lines. */
#include <glib.h>

#include "kernel/log_rate.h"
#include "unit.h"

#define START_MS 1000
#define S_MS     1000

/* Drops lines over the rate limit, as the log does. */
static unsigned
write_lines (DlLogRate *rate, unsigned lines, DlLogClass class, uint64_t now_ms)
{
  unsigned written = 0;

  for (unsigned i = 0; i < lines; i++)
    if (dl_log_rate_take (rate, class, now_ms))
      written++;
    else
      dl_log_rate_drop (rate, 1, now_ms);
  return written;
}

static void
test_bound (void)
{
  DlLogRate rate;
  unsigned written = 0;

  dl_log_rate_init (&rate, START_MS);
  for (unsigned s = 0; s < 60; s++)
    written += write_lines (&rate, 500, DL_LOG_STATE, START_MS + s * S_MS);
  CU_ASSERT (written <= DL_LOG_LINES_BURST + 60 * DL_LOG_LINES_PER_S);
  CU_ASSERT (written >= 59 * DL_LOG_LINES_PER_S);
}

/* A burst of lines about requests leaves room for the line that explains it. */
static void
test_reserve (void)
{
  DlLogRate rate;

  dl_log_rate_init (&rate, START_MS);
  for (unsigned s = 0; s < 30; s++)
    {
      write_lines (&rate, 500, DL_LOG_REQUEST, START_MS + s * S_MS);
      CU_ASSERT_TRUE (dl_log_rate_take (&rate, DL_LOG_STATE, START_MS + s * S_MS));
    }
}

/* A burst of other lines leaves room for those that are to be kept, whose number is
 * bounded, too. */
static void
test_kept_lines_survive_a_burst (void)
{
  DlLogRate rate;
  unsigned kept = 0;

  dl_log_rate_init (&rate, START_MS);
  for (unsigned s = 0; s < 30; s++)
    {
      write_lines (&rate, 500, DL_LOG_REQUEST, START_MS + s * S_MS);
      write_lines (&rate, 500, DL_LOG_STATE, START_MS + s * S_MS);
      CU_ASSERT_TRUE (dl_log_rate_take (&rate, DL_LOG_KEPT, START_MS + s * S_MS));
      kept += write_lines (&rate, 500, DL_LOG_KEPT, START_MS + s * S_MS);
    }
  CU_ASSERT (kept <= DL_LOG_KEPT_BURST + 30 * DL_LOG_KEPT_PER_S);
}

/* Every line is either written or counted as dropped, also while the limit is reached. */
static void
test_dropped_are_reported (void)
{
  static const DlLogClass classes[] = { DL_LOG_REQUEST, DL_LOG_STATE, DL_LOG_KEPT };
  DlLogRate rate;
  uint64_t written = 0;
  uint64_t reported = 0;

  dl_log_rate_init (&rate, START_MS);
  for (unsigned s = 0; s < 60; s++)
    {
      written += write_lines (&rate, 500, classes[s % G_N_ELEMENTS (classes)],
                              START_MS + s * S_MS);
      reported += dl_log_rate_report (&rate, START_MS + s * S_MS);
    }
  CU_ASSERT (reported > 0);
  CU_ASSERT_EQUAL (written + reported + rate.dropped, 60 * 500);
}

static void
test_nothing_to_report (void)
{
  DlLogRate rate;

  dl_log_rate_init (&rate, START_MS);
  CU_ASSERT_EQUAL (dl_log_rate_report (&rate, START_MS + 60 * S_MS), 0);
  dl_log_rate_drop (&rate, 1, START_MS);
  CU_ASSERT_EQUAL (dl_log_rate_report (&rate, START_MS + DL_LOG_REPORT_MS - 1), 0);
  CU_ASSERT_EQUAL (dl_log_rate_report (&rate, START_MS + DL_LOG_REPORT_MS), 1);
  CU_ASSERT_EQUAL (dl_log_rate_report (&rate, START_MS + 2 * DL_LOG_REPORT_MS), 0);
}

static const CU_TestInfo tests[] = {
  { "lines are bounded", test_bound },
  { "requests leave room for the rest", test_reserve },
  { "lines to be kept survive a burst", test_kept_lines_survive_a_burst },
  { "dropped lines are told", test_dropped_are_reported },
  { "nothing dropped, nothing told", test_nothing_to_report },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("log rate", tests)
