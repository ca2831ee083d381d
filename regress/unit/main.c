/* Runs the suite that its argument names, or all but those that run alone.  Exits 0 if
 * every test passed, 1 if one failed, 2 on other errors. */
#include <CUnit/Basic.h>
#include <sodium.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "unit.h"

static UnitSuite *suites;

void
unit_register (UnitSuite *suite)
{
  suite->next = suites;
  suites = suite;
}

void
unit_assert_text (const char *actual, const char *expected)
{
  bool equal = actual != NULL && expected != NULL ? strcmp (actual, expected) == 0
                                                  : actual == expected;

  if (!equal)
    fprintf (stderr, "  got \"%s\", expected \"%s\"\n", actual, expected);
  CU_ASSERT (equal);
}

uint32_t
unit_first_seed (const char *what, uint32_t fallback)
{
  const char *given = getenv ("UNIT_SEED");
  uint32_t seed = given != NULL ? (uint32_t)strtoul (given, NULL, 10) : fallback;

  printf ("\n  %s: seeds from UNIT_SEED=%u on ", what, seed);
  return seed;
}

static bool
is_to_run (const UnitSuite *suite, const char *named)
{
  return named != NULL ? strcmp (suite->name, named) == 0 : !suite->alone;
}

static int
add_suite (const UnitSuite *suite)
{
  CU_pSuite added = CU_add_suite (suite->name, NULL, NULL);

  if (added == NULL)
    return -1;
  for (const CU_TestInfo *t = suite->tests; t->pName != NULL; t++)
    if (CU_add_test (added, t->pName, t->pTestFunc) == NULL)
      return -1;
  return 0;
}

int
main (int argc, char **argv)
{
  const char *named = argc > 1 ? argv[1] : NULL;
  unsigned failures;

  if (sodium_init () < 0 || CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  for (const UnitSuite *s = suites; s != NULL; s = s->next)
    if (is_to_run (s, named) && add_suite (s) < 0)
      {
        fprintf (stderr, "unit: %s: %s\n", s->name, CU_get_error_msg ());
        return 2;
      }
  if (CU_get_registry ()->uiNumberOfSuites == 0)
    return 2;
  CU_basic_set_mode (CU_BRM_NORMAL);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
