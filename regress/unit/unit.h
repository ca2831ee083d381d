/*
 * Unit tests: every file registers its suite, and main runs them all under CUnit.
 */
#ifndef UNIT_H
#define UNIT_H

#include <CUnit/CUnit.h>

typedef struct UnitSuite
{
  const char *name;
  const CU_TestInfo *tests; /* ends with CU_TEST_INFO_NULL */
  struct UnitSuite *next;
} UnitSuite;

void unit_register (UnitSuite *suite);

/* Fails the running test unless both texts are equal; NULL equals only NULL. */
void unit_assert_text (const char *actual, const char *expected);

#define UNIT_SUITE(suite_name, suite_tests)                               \
  static UnitSuite suite_tests##_suite                                    \
      = { .name = (suite_name), .tests = (suite_tests) };                 \
  static void __attribute__ ((constructor)) suite_tests##_register (void) \
  {                                                                       \
    unit_register (&suite_tests##_suite);                                 \
  }

#endif
