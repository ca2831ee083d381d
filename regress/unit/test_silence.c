/* Tests of the decision what to do about a silent upstream. */
#include <glib.h>

#include "policy/patience.h"
#include "policy/retry.h"
#include "policy/silence.h"
#include "unit.h"

typedef struct
{
  const char *name;
  DlSilence silence;
  DlSilenceDecision decision;
} SilenceCase;

/* A replacement may be looked for. */
#define MAY_RETRY                                                                  \
  .target_ms = 400, .remaining_ms = 2000, .may_retry = true, .has_attempts = true, \
  .has_budget = true

static const SilenceCase cases[] = {
  { "just started", { MAY_RETRY, .silent_ms = 0 }, DL_SILENCE_WITHIN_LIMIT },
  { "two targets", { MAY_RETRY, .silent_ms = 800 }, DL_SILENCE_WITHIN_LIMIT },
  { "over two targets", { MAY_RETRY, .silent_ms = 801 }, DL_SILENCE_REPLACE },
  { "over two targets, reported up",
    { MAY_RETRY, .silent_ms = 801, .reported_up = true },
    DL_SILENCE_WITHIN_LIMIT },
  { "over four targets, reported up",
    { MAY_RETRY, .silent_ms = 1601, .reported_up = true },
    DL_SILENCE_REPLACE },
  { "a short target",
    { .silent_ms = DL_SILENCE_MIN_MS, .target_ms = 40, .has_budget = true },
    DL_SILENCE_WITHIN_LIMIT },
  { "the route allows one run",
    { .silent_ms = 900,
      .target_ms = 400,
      .remaining_ms = 2000,
      .has_attempts = true,
      .has_budget = true },
    DL_SILENCE_KEEP_ROUTE },
  { "attempts used up",
    { .silent_ms = 900,
      .target_ms = 400,
      .remaining_ms = 2000,
      .may_retry = true,
      .has_attempts = false,
      .has_budget = true },
    DL_SILENCE_KEEP_ROUTE },
  { "no time left",
    { .silent_ms = 900,
      .target_ms = 400,
      .remaining_ms = DL_ATTEMPT_MIN_MS - 1,
      .may_retry = true,
      .has_attempts = true,
      .has_budget = true },
    DL_SILENCE_KEEP_TIME },
  { "budget empty",
    { .silent_ms = 900,
      .target_ms = 400,
      .remaining_ms = 2000,
      .may_retry = true,
      .has_attempts = true },
    DL_SILENCE_KEEP_BUDGET },
};

static void
test_decisions (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    CU_ASSERT_EQUAL (dl_silence_decide (&cases[i].silence), cases[i].decision);
}

/* Asking whether the budget allows a retry spends nothing. */
static void
test_asking_is_free (void)
{
  DlRetryBudget budget;

  dl_retry_init_share (&budget, 1);
  CU_ASSERT_FALSE (dl_retry_allows (&budget, 100));
  dl_retry_first_attempt (&budget, 100);
  CU_ASSERT_TRUE (dl_retry_allows (&budget, 100));
  CU_ASSERT_TRUE (dl_retry_allows (&budget, 100));
  CU_ASSERT_FALSE (dl_retry_allows (&budget, 0));
  CU_ASSERT_TRUE (dl_retry_spend (&budget, 100));
  CU_ASSERT_FALSE (dl_retry_allows (&budget, 100));
}

typedef struct
{
  const char *name;
  DlPatience patience;
  uint64_t until_ms;
} PatienceCase;

static const PatienceCase patience_cases[] = {
  { "two seconds at least",
    { .is_stream = true, .target_ms = 200, .received_ms = 5000, .deadline_ms = 20000 },
    7000 },
  { "four targets",
    { .is_stream = true,
      .target_ms = 600,
      .target_gap_ms = 200,
      .received_ms = 5000,
      .deadline_ms = 20000 },
    7400 },
  { "eight targets for gaps",
    { .is_stream = true,
      .target_ms = 500,
      .target_gap_ms = 400,
      .received_ms = 5000,
      .deadline_ms = 20000 },
    8200 },
  { "never beyond the last start",
    { .is_stream = true,
      .target_ms = 500,
      .target_gap_ms = 400,
      .received_ms = 5000,
      .deadline_ms = 7000 },
    7000 - DL_ATTEMPT_MIN_MS },
  { "no stream: to the deadline",
    { .target_ms = 500, .received_ms = 5000, .deadline_ms = 20000 },
    20000 - DL_ATTEMPT_MIN_MS },
  { "no time at all",
    { .is_stream = true, .target_ms = 500, .received_ms = 10, .deadline_ms = 50 },
    0 },
};

static void
test_patience (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (patience_cases); i++)
    CU_ASSERT_EQUAL (dl_patience_until_ms (&patience_cases[i].patience),
                     patience_cases[i].until_ms);
}

/* A retry that was reserved and not sent is there for another request. */
static void
test_returned_retry (void)
{
  DlRetryBudget budget;

  dl_retry_init_share (&budget, 1);
  dl_retry_first_attempt (&budget, 100);
  CU_ASSERT_TRUE (dl_retry_spend (&budget, 100));
  dl_retry_return (&budget);
  CU_ASSERT_TRUE (dl_retry_spend (&budget, 100));
  dl_retry_return (&budget);
  dl_retry_return (&budget);
  CU_ASSERT_TRUE (dl_retry_spend (&budget, 100));
  CU_ASSERT_FALSE (dl_retry_spend (&budget, 100));
}

static const CU_TestInfo tests[] = {
  { "a silent upstream is kept or left", test_decisions },
  { "asking the retry budget is free", test_asking_is_free },
  { "how long a caller waits", test_patience },
  { "a retry that was not sent", test_returned_retry },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("silence", tests)
