/*
 * Unit tests: each file registers its suites at load time, and main runs them with CUnit:
 * the one that its argument names, or all that do not run alone.
 */
#ifndef UNIT_H
#define UNIT_H

#include <CUnit/CUnit.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct UnitSuite
{
  const char *name;
  bool alone;               /* runs only when it is named */
  const CU_TestInfo *tests; /* ends with CU_TEST_INFO_NULL */
  struct UnitSuite *next;
} UnitSuite;

void unit_register (UnitSuite *suite);

/* Returns the first seed of a run of randomised tests: the environment variable
 * UNIT_SEED, which make soak sets, or else FALLBACK.  Prints it with WHAT, so that the
 * run can be repeated. */
uint32_t unit_first_seed (const char *what, uint32_t fallback);

/* Fails the running test unless both strings are equal; NULL equals only NULL. */
void unit_assert_text (const char *actual, const char *expected);

#define UNIT_SUITE_OF(suite_name, suite_tests, is_alone)                       \
  static UnitSuite suite_tests##_suite                                         \
      = { .name = (suite_name), .alone = (is_alone), .tests = (suite_tests) }; \
  static void __attribute__ ((constructor)) suite_tests##_register (void)      \
  {                                                                            \
    unit_register (&suite_tests##_suite);                                      \
  }
#define UNIT_SUITE(suite_name, suite_tests) UNIT_SUITE_OF (suite_name, suite_tests, false)
#define UNIT_SUITE_ALONE(suite_name, suite_tests) \
  UNIT_SUITE_OF (suite_name, suite_tests, true)

#endif
