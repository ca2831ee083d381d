/* An entry that starts while some of the listed engines are gone for good. */
#include "policy/engines_wait.h"
#include "unit.h"

#define STARTED_MS 1000
#define TOLD_MS    1800 /* the first stager tells of its engine */

#define STAGGER_MS (DL_ENGINES_WAIT_QUIET_MS / 2)

static bool
awaits (uint64_t heard_ms, bool has_unheard, uint64_t now_ms)
{
  return dl_engines_are_awaited (&(DlEnginesHeard){ .started_ms = STARTED_MS,
                                                    .heard_ms = heard_ms,
                                                    .has_unheard = has_unheard },
                                 now_ms);
}

static void
test_word_of_all_ends_the_wait (void)
{
  CU_ASSERT_FALSE (awaits (TOLD_MS, false, TOLD_MS));
  CU_ASSERT_FALSE (awaits (0, false, STARTED_MS));
}

/* While stagers tell one after the other, the entry waits for the next. */
static void
test_entry_was_ready_between_the_word_of_two_stagers (void)
{
  uint64_t end_ms = STARTED_MS + DL_ENGINES_WAIT_MAX_MS - STAGGER_MS;

  for (uint64_t told_ms = TOLD_MS; told_ms < end_ms; told_ms += STAGGER_MS)
    CU_ASSERT_TRUE (awaits (told_ms, true, told_ms + STAGGER_MS - 1));
}

static void
test_entry_waited_for_engines_that_are_gone (void)
{
  CU_ASSERT_FALSE (awaits (TOLD_MS, true, TOLD_MS + DL_ENGINES_WAIT_QUIET_MS));
}

static void
test_entry_without_a_stager_was_never_ready (void)
{
  CU_ASSERT_TRUE (awaits (0, true, STARTED_MS + DL_ENGINES_WAIT_MAX_MS - 1));
  CU_ASSERT_FALSE (awaits (0, true, STARTED_MS + DL_ENGINES_WAIT_MAX_MS));
}

static const CU_TestInfo tests[] = {
  { "word of all ends the wait", test_word_of_all_ends_the_wait },
  { "an entry was ready between the word of two stagers",
    test_entry_was_ready_between_the_word_of_two_stagers },
  { "an entry waited for engines that are gone",
    test_entry_waited_for_engines_that_are_gone },
  { "an entry without a stager was never ready",
    test_entry_without_a_stager_was_never_ready },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("engines that a starting entry awaits", tests)
