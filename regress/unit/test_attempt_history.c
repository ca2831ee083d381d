/* The text that tells what became of the attempts of a request. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "policy/attempt_history.h"
#include "unit.h"

#define ARRIVED_MS 5000

static void
test_each_attempt_is_told (void)
{
  DlAttemptHistory history = { 0 };
  size_t first = dl_attempt_history_add (&history, "i-1", ARRIVED_MS + 2);
  size_t second;
  char *text;

  dl_attempt_history_set (&history, first,
                          &(DlAttemptState){ .status = 200,
                                             .events = 3,
                                             .heard_ms = ARRIVED_MS + 63,
                                             .is_reported_up = true });
  second = dl_attempt_history_add (&history, "i-2", ARRIVED_MS + 1690);
  dl_attempt_history_set (&history, second,
                          &(DlAttemptState){ .status = 503,
                                             .heard_ms = ARRIVED_MS + 1691,
                                             .end = "not run",
                                             .ended_ms = ARRIVED_MS + 1691 });
  text = dl_attempt_history_text (NULL, &history, ARRIVED_MS);
  CU_ASSERT_STRING_EQUAL (text,
                          "i-1 sent 2 ms, status 200, 3 events, heard 63 ms, reported "
                          "up, in progress; i-2 sent 1690 ms, status 503, 0 events, "
                          "heard 1691 ms, not reported, ended 1691 ms: not run");
  talloc_free (text);
}

/* Attempts beyond those that are remembered are counted. */
static void
test_history_is_bounded (void)
{
  DlAttemptHistory history = { 0 };
  char *text;

  for (unsigned i = 0; i < DL_ATTEMPT_HISTORY_MAX + 2; i++)
    {
      size_t number = dl_attempt_history_add (&history, "i-1", ARRIVED_MS);

      dl_attempt_history_set (&history, number, &(DlAttemptState){ .status = 200 });
    }
  text = dl_attempt_history_text (NULL, &history, ARRIVED_MS);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "; and 2 more"));
  talloc_free (text);
}

static const CU_TestInfo tests[] = {
  { "each attempt is told", test_each_attempt_is_told },
  { "the history is bounded", test_history_is_bounded },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("attempt history", tests)
