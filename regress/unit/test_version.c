/* Tests of the version floor when announcements become known late, in part, or in any
 * order. */
#include <glib.h>

#include "policy/version_floor.h"
#include "unit.h"

#define LIMIT_MS  8000
#define STEPS_MAX 4
/* When the floor rises to a version announced at AT_MS. */
#define FLOOR_MS(at_ms) ((at_ms) + LIMIT_MS - DL_VERSION_FLOOR_MARGIN_MS)

typedef struct
{
  uint64_t version; /* 0 ends a list */
  uint64_t at_ms;
} Announced;

typedef struct
{
  const char *name;
  Announced learnt[STEPS_MAX + 1]; /* as they become known to the node */
  Announced true_ones[STEPS_MAX + 1];
} FloorCase;

/* From its own limit on, and not before, each version must be the floor. */
static void
check_floor (const FloorCase *c)
{
  DlVersionFloor floor = { 0 };

  for (const Announced *a = c->learnt; a->version != 0; a++)
    dl_version_floor_announced (&floor, a->version, a->at_ms);
  for (const Announced *a = c->true_ones; a->version != 0; a++)
    {
      uint64_t floor_ms = FLOOR_MS (a->at_ms);
      uint64_t before = dl_version_floor_at (&floor, LIMIT_MS, floor_ms - 1);
      uint64_t then = dl_version_floor_at (&floor, LIMIT_MS, floor_ms);

      if (before >= a->version || then != a->version)
        g_printerr ("\n  %s: version %" G_GUINT64_FORMAT ": floor %" G_GUINT64_FORMAT
                    ", then %" G_GUINT64_FORMAT "\n",
                    c->name, a->version, before, then);
      CU_ASSERT_TRUE (before < a->version);
      CU_ASSERT_EQUAL (then, a->version);
    }
}

static const FloorCase late_cases[] = {
  { "a late copy after the observation",
    { { 2, 1000 }, { 3, 3000 }, { 3, 6000 } },
    { { 2, 1000 }, { 3, 3000 } } },
  { "the observation after a late copy",
    { { 2, 1000 }, { 3, 6000 }, { 3, 3000 } },
    { { 2, 1000 }, { 3, 3000 } } },
  { "the observation after a late copy and a newer version",
    { { 3, 6000 }, { 4, 9000 }, { 3, 3000 } },
    { { 3, 3000 }, { 4, 9000 } } },
};

static void
test_late_copy_extended_the_limit (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (late_cases); i++)
    check_floor (&late_cases[i]);
}

static const FloorCase skipped_cases[] = {
  { "a skipped version",
    { { 2, 1000 }, { 4, 5000 }, { 3, 3000 } },
    { { 2, 1000 }, { 3, 3000 }, { 4, 5000 } } },
  { "two skipped versions, the newer one first",
    { { 2, 1000 }, { 6, 9000 }, { 4, 5000 }, { 3, 3000 } },
    { { 2, 1000 }, { 3, 3000 }, { 4, 5000 }, { 6, 9000 } } },
};

static void
test_limit_of_a_skipped_version_is_unknown (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (skipped_cases); i++)
    check_floor (&skipped_cases[i]);
}

static const FloorCase start_cases[] = {
  { "the newest first, then one before it",
    { { 3, 3000 }, { 2, 1000 } },
    { { 2, 1000 }, { 3, 3000 } } },
  { "the newest first, then all before it",
    { { 4, 5000 }, { 2, 1000 }, { 3, 3000 } },
    { { 2, 1000 }, { 3, 3000 }, { 4, 5000 } } },
};

static void
test_entry_that_has_just_started_knows_the_newest_only (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (start_cases); i++)
    check_floor (&start_cases[i]);
}

static const CU_TestInfo tests[] = {
  { "a late copy does not extend the limit", test_late_copy_extended_the_limit },
  { "a skipped version has its limit", test_limit_of_a_skipped_version_is_unknown },
  { "an entry that starts learns all limits",
    test_entry_that_has_just_started_knows_the_newest_only },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("version", tests)
