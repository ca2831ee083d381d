/* Tests of the decision whether an attempt ended at the end of its time. */
#include <glib.h>

#include "policy/time_limit.h"
#include "unit.h"

#define ALLOWANCE DL_TIME_LIMIT_ALLOWANCE_MS

typedef struct
{
  const char *name;
  DlAttemptTime attempt;
  bool reached;
} LimitCase;

static const LimitCase cases[] = {
  { "at once", { .given_ms = 4000, .elapsed_ms = 0 }, false },
  { "halfway", { .given_ms = 4000, .elapsed_ms = 2000 }, false },
  { "just before the allowance",
    { .given_ms = 4000, .elapsed_ms = 4000 - ALLOWANCE - 1 },
    false },
  { "in the allowance", { .given_ms = 4000, .elapsed_ms = 4000 - ALLOWANCE }, true },
  { "at the end", { .given_ms = 4000, .elapsed_ms = 4000 }, true },
  { "seen late", { .given_ms = 4000, .elapsed_ms = 4900 }, true },
  { "a short time, early", { .given_ms = 40, .elapsed_ms = 1 }, false },
  { "a short time, in its share", { .given_ms = 40, .elapsed_ms = 35 }, true },
  { "the shortest time, at once", { .given_ms = 1, .elapsed_ms = 0 }, false },
  { "the shortest time", { .given_ms = 1, .elapsed_ms = 1 }, true },
  { "no time was given", { .given_ms = 0, .elapsed_ms = 0 }, false },
  { "no time was given, later", { .given_ms = 0, .elapsed_ms = 9000 }, false },
  { "the longest time", { .given_ms = UINT64_MAX, .elapsed_ms = 60000 }, false },
};

static void
test_reached (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    if (dl_time_limit_reached (&cases[i].attempt) != cases[i].reached)
      CU_FAIL_FATAL (cases[i].name);
}

static const CU_TestInfo tests[] = {
  { "an attempt ended at the end of its time", test_reached },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("time limit", tests)
