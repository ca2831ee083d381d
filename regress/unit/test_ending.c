/* Tests of the decision what becomes of a request whose attempt ends. */
#include <glib.h>

#include "policy/ending.h"
#include "policy/silence.h"
#include "unit.h"

typedef struct
{
  const char *name;
  DlEnding ending;
  DlEndDecision decision;
} EndingCase;

/* The request may be sent again, as far as counts allow it. */
#define FREE .may_run_again = true, .remaining_ms = 2000, .has_budget = true
/* The only attempt of a request that may be sent once more. */
#define ONE .counts = { .sent = 1, .max = 2 }
/* The second attempt of a stream whose caller has a part of it. */
#define PARTIAL .counts = { .sent = 2, .max = 2, .is_partial = true }

static const EndingCase cases[] = {
  { "broke off", { FREE, ONE, .cause = DL_END_BROKEN }, DL_END_RETRY },
  { "refused", { FREE, ONE, .cause = DL_END_NOT_RUN }, DL_END_RETRY },
  { "withdrawn", { FREE, ONE, .cause = DL_END_OUTDATED }, DL_END_RETRY },
  { "time over", { FREE, ONE, .cause = DL_END_TIME_OVER }, DL_END_RETRY },
  { "no connection", { FREE, ONE, .cause = DL_END_NOT_SENT }, DL_END_RETRY },
  { "no connection needs no budget",
    { .cause = DL_END_NOT_SENT, .counts = { .sent = 2, .max = 2 }, .remaining_ms = 2000 },
    DL_END_RETRY },
  { "no connection, often",
    { FREE, .cause = DL_END_NOT_SENT,
      .counts = { .sent = 1, .not_sent = DL_NOT_SENT_MAX, .max = 2 } },
    DL_END_REQUEST },
  { "no time",
    { ONE, .cause = DL_END_BROKEN, .may_run_again = true, .has_budget = true,
      .remaining_ms = DL_ATTEMPT_MIN_MS - 1 },
    DL_END_REQUEST },
  { "no budget",
    { ONE, .cause = DL_END_BROKEN, .may_run_again = true, .remaining_ms = 2000 },
    DL_END_REQUEST },
  { "crashes upstreams",
    { FREE, ONE, .cause = DL_END_BROKEN, .is_forbidden = true },
    DL_END_REQUEST },
  { "the route allows one run",
    { ONE, .cause = DL_END_BROKEN, .remaining_ms = 2000, .has_budget = true },
    DL_END_REQUEST },
  { "the route allows one run, and it was refused",
    { ONE, .cause = DL_END_NOT_RUN, .remaining_ms = 2000, .has_budget = true },
    DL_END_RETRY },
  { "attempts used up",
    { FREE, .cause = DL_END_NOT_RUN, .counts = { .sent = 2, .max = 2 } },
    DL_END_REQUEST },

  { "silent, not started", { FREE, ONE, .cause = DL_END_SILENT }, DL_END_KEEP },
  { "silent, started",
    { FREE, ONE, .cause = DL_END_SILENT, .has_started = true },
    DL_END_KEEP },
  { "silent beside another",
    { FREE, ONE, .cause = DL_END_SILENT, .others = 1 },
    DL_END_KEEP },
  { "old weights, started",
    { FREE, ONE, .cause = DL_END_OUTDATED, .has_started = true },
    DL_END_KEEP },
  { "quarantined, started",
    { FREE, ONE, .cause = DL_END_QUARANTINED, .has_started = true },
    DL_END_KEEP },
  { "quarantined, not started",
    { FREE, ONE, .cause = DL_END_QUARANTINED },
    DL_END_REQUEST },

  { "refused beside another",
    { FREE, PARTIAL, .cause = DL_END_NOT_RUN, .others = 1 },
    DL_END_LEAVE },
  { "no connection beside another",
    { FREE, PARTIAL, .cause = DL_END_NOT_SENT, .others = 1 },
    DL_END_LEAVE },
  { "broke off beside another",
    { FREE, PARTIAL, .cause = DL_END_BROKEN, .others = 1 },
    DL_END_LEAVE },
  { "overtaken",
    { FREE, PARTIAL, .cause = DL_END_OVERTAKEN, .others = 1 },
    DL_END_LEAVE },
  { "withdrawn beside another",
    { FREE, PARTIAL, .cause = DL_END_OUTDATED, .others = 1 },
    DL_END_LEAVE },
  { "quarantined beside another",
    { FREE, PARTIAL, .cause = DL_END_QUARANTINED, .others = 1 },
    DL_END_LEAVE },
  { "the process ends, beside another",
    { FREE, PARTIAL, .cause = DL_END_STOPPED, .has_started = true, .others = 1 },
    DL_END_REQUEST },
  { "no place", { FREE, PARTIAL, .cause = DL_END_WAITED }, DL_END_REQUEST },

  { "a part came, refused", { FREE, PARTIAL, .cause = DL_END_NOT_RUN }, DL_END_RETRY },
  { "a part came, withdrawn", { FREE, PARTIAL, .cause = DL_END_OUTDATED }, DL_END_RETRY },
  { "a part came, broke off twice",
    { FREE, PARTIAL, .cause = DL_END_BROKEN },
    DL_END_REQUEST },
  { "a part came, refused often",
    { FREE, .cause = DL_END_NOT_RUN,
      .counts = { .sent = DL_NOT_RUN_MAX + 1,
                  .not_run = DL_NOT_RUN_MAX - 1,
                  .max = 2,
                  .is_partial = true } },
    DL_END_REQUEST },
  { "a part came, refused often beside a run that broke off",
    { FREE, .cause = DL_END_BROKEN,
      .counts = { .sent = DL_NOT_RUN_MAX + 1,
                  .not_run = DL_NOT_RUN_MAX,
                  .max = 2,
                  .is_partial = true } },
    DL_END_RETRY },
  { "a part came, refused, no budget",
    { PARTIAL, .cause = DL_END_NOT_RUN, .may_run_again = true, .remaining_ms = 2000 },
    DL_END_REQUEST },
};

static void
test_decisions (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      DlEndDecision decision = dl_end_decide (&cases[i].ending);

      if (decision != cases[i].decision)
        g_printerr ("ending: %s: %u\n", cases[i].name, (unsigned)decision);
      CU_ASSERT_EQUAL (decision, cases[i].decision);
    }
}

/* No belief of the entry ends a started attempt, whatever else holds. */
static void
test_beliefs_end_no_started_attempt (void)
{
  static const DlEndCause beliefs[]
      = { DL_END_SILENT, DL_END_OUTDATED, DL_END_QUARANTINED };

  for (size_t i = 0; i < G_N_ELEMENTS (beliefs); i++)
    for (unsigned bits = 0; bits < 32; bits++)
      {
        DlEnding e = {
          .cause = beliefs[i],
          .has_started = true,
          .others = bits & 1,
          .counts = { .sent = 1 + (bits & 1), .max = 2, .is_partial = (bits & 2) != 0 },
          .may_run_again = (bits & 4) != 0,
          .is_forbidden = (bits & 8) != 0,
          .has_budget = (bits & 16) != 0,
        };

        CU_ASSERT_EQUAL (dl_end_decide (&e), DL_END_KEEP);
      }
}

static void
test_attempts_left (void)
{
  CU_ASSERT_TRUE (dl_attempts_left (&(DlAttemptCounts){ .sent = 1, .max = 2 }));
  CU_ASSERT_FALSE (
      dl_attempts_left (&(DlAttemptCounts){ .sent = 2, .not_run = 1, .max = 2 }));
  CU_ASSERT_TRUE (dl_attempts_left (
      &(DlAttemptCounts){ .sent = 2, .not_run = 1, .max = 2, .is_partial = true }));
  CU_ASSERT_FALSE (dl_attempts_left (&(DlAttemptCounts){ .sent = 1 + DL_NOT_RUN_MAX,
                                                         .not_run = DL_NOT_RUN_MAX,
                                                         .max = 2,
                                                         .is_partial = true }));
}

static const CU_TestInfo tests[] = {
  { "what becomes of the request", test_decisions },
  { "beliefs end no started attempt", test_beliefs_end_no_started_attempt },
  { "attempts that are left", test_attempts_left },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("ending", tests)
