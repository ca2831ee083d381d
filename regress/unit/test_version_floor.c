/* Tests of what nodes know of the announcements of versions, and of the floors that
 * follow from it. */
#include <glib.h>

#include "policy/version_floor.h"
#include "unit.h"

#define LIMIT_MS  8000
#define FOUND_MS  20000
#define BEFORE_MS 3000 /* how old a late copy of the store may be */
#define VERSIONS  6
#define ROUNDS    200

static const uint64_t floor_after_ms = LIMIT_MS - DL_VERSION_FLOOR_MARGIN_MS;

static bool
add (DlVersionFloor *floor,
     uint64_t version,
     DlAnnouncementSource source,
     uint64_t announced_ms,
     uint64_t found_ms)
{
  return dl_version_floor_add (floor, &(DlAnnouncement){
                                          .version = version,
                                          .source = source,
                                          .announced_ms = announced_ms,
                                          .found_ms = found_ms,
                                      });
}

static uint64_t
floor_at (const DlVersionFloor *floor, uint64_t now_ms)
{
  return dl_version_floor_at (floor, LIMIT_MS, now_ms);
}

/* A reader that was suspended passes a version on late, and no node observed it. */
static void
test_late_copy_extended_the_limit (void)
{
  DlVersionFloor floor = { 0 };
  uint64_t earliest_ms = FOUND_MS - BEFORE_MS;

  CU_ASSERT_TRUE (add (&floor, 2, DL_ANNOUNCED_BETWEEN, earliest_ms, FOUND_MS));
  CU_ASSERT_EQUAL (dl_version_floor_start_ms (&floor, 1, FOUND_MS), 0);
  CU_ASSERT_EQUAL (dl_version_floor_start_ms (&floor, 2, FOUND_MS), FOUND_MS);
  CU_ASSERT_EQUAL (dl_version_floor_start_ms (&floor, 2,
                                              FOUND_MS + DL_VERSION_FLOOR_SETTLE_MS),
                   earliest_ms);
  CU_ASSERT_EQUAL (floor_at (&floor, earliest_ms + floor_after_ms - 1), 0);
  CU_ASSERT_EQUAL (floor_at (&floor, earliest_ms + floor_after_ms), 2);
}

/* An observer's report arrives soon; until then the earliest possible time, which may be
 * far too early, stops no requests. */
static void
test_late_copy_stopped_requests_too_early (void)
{
  DlVersionFloor floor = { 0 };

  add (&floor, 2, DL_ANNOUNCED_BETWEEN, FOUND_MS - LIMIT_MS, FOUND_MS);
  CU_ASSERT_EQUAL (floor_at (&floor, FOUND_MS), 0);
  CU_ASSERT_EQUAL (floor_at (&floor, FOUND_MS + DL_VERSION_FLOOR_SETTLE_MS - 1), 0);
  CU_ASSERT_TRUE (dl_version_floor_announced (&floor, 2, FOUND_MS - 50));
  CU_ASSERT_EQUAL (floor_at (&floor, FOUND_MS + DL_VERSION_FLOOR_SETTLE_MS), 0);
  CU_ASSERT_EQUAL (floor_at (&floor, FOUND_MS - 50 + floor_after_ms), 2);
}

/* Each node knows an earliest possible time, by when its own copy was read last. */
static void
test_oldest_copy_stopped_requests_too_early (void)
{
  DlVersionFloor floor = { 0 };
  uint64_t settled_ms = FOUND_MS + DL_VERSION_FLOOR_SETTLE_MS;

  add (&floor, 2, DL_ANNOUNCED_BETWEEN, FOUND_MS - LIMIT_MS, FOUND_MS);
  CU_ASSERT_TRUE (add (&floor, 2, DL_ANNOUNCED_BETWEEN, FOUND_MS - 500, FOUND_MS + 600));
  CU_ASSERT_FALSE (add (&floor, 2, DL_ANNOUNCED_BETWEEN, FOUND_MS - 3000, FOUND_MS));
  CU_ASSERT_EQUAL (floor_at (&floor, settled_ms), 0);
  CU_ASSERT_EQUAL (floor_at (&floor, FOUND_MS - 500 + floor_after_ms - 1), 0);
  CU_ASSERT_EQUAL (floor_at (&floor, FOUND_MS - 500 + floor_after_ms), 2);
}

static void
test_late_observer_extended_the_limit (void)
{
  DlVersionFloor floor = { 0 };

  CU_ASSERT_TRUE (add (&floor, 2, DL_ANNOUNCED_GUESSED, FOUND_MS, FOUND_MS));
  CU_ASSERT_TRUE (dl_version_floor_announced (&floor, 2, FOUND_MS - 1000));
  CU_ASSERT_TRUE (dl_version_floor_announced (&floor, 2, FOUND_MS - 4000));
  CU_ASSERT_FALSE (dl_version_floor_announced (&floor, 2, FOUND_MS));
  CU_ASSERT_FALSE (add (&floor, 2, DL_ANNOUNCED_GUESSED, 1, 1));
  CU_ASSERT_EQUAL (floor_at (&floor, FOUND_MS - 4000 + floor_after_ms), 2);
}

/* The node read the store when the older version had been replaced already. */
static void
test_skipped_version_had_no_limit (void)
{
  DlVersionFloor floor = { 0 };

  dl_version_floor_announced (&floor, 4, FOUND_MS);
  CU_ASSERT_TRUE (dl_version_floor_announced (&floor, 3, FOUND_MS - 2000));
  CU_ASSERT_EQUAL (floor_at (&floor, FOUND_MS - 2000 + floor_after_ms), 3);
  CU_ASSERT_EQUAL (floor_at (&floor, FOUND_MS + floor_after_ms), 4);
}

/* Other nodes cannot take back a floor that was reported to them. */
static void
test_guess_was_reported_as_floor (void)
{
  DlVersionFloor floor = { 0 };
  uint64_t late_ms = FOUND_MS + LIMIT_MS;

  dl_version_floor_announced (&floor, 2, FOUND_MS - LIMIT_MS);
  add (&floor, 3, DL_ANNOUNCED_BETWEEN, FOUND_MS - BEFORE_MS, FOUND_MS);
  add (&floor, 4, DL_ANNOUNCED_GUESSED, FOUND_MS - BEFORE_MS, FOUND_MS);
  CU_ASSERT_EQUAL (floor_at (&floor, late_ms), 4);
  CU_ASSERT_EQUAL (dl_version_floor_certain (&floor, LIMIT_MS, late_ms), 2);
  dl_version_floor_raise (&floor, 3);
  CU_ASSERT_EQUAL (dl_version_floor_certain (&floor, LIMIT_MS, late_ms), 3);
}

/* Requests that wait may stay longer than new ones are sent, but not until the limit. */
static void
test_waiting_requests_are_withdrawn_before_the_limit (void)
{
  DlVersionFloor floor = { 0 };
  uint64_t limit_ms = FOUND_MS + LIMIT_MS;
  uint64_t withdrawn_ms = limit_ms - DL_VERSION_FLOOR_WITHDRAW_MS;

  dl_version_floor_announced (&floor, 2, FOUND_MS);
  CU_ASSERT_EQUAL (dl_version_floor_for_waiting (&floor, LIMIT_MS, withdrawn_ms - 1), 0);
  CU_ASSERT_EQUAL (dl_version_floor_for_waiting (&floor, LIMIT_MS, withdrawn_ms), 2);
  CU_ASSERT_EQUAL (dl_version_floor_due (&floor, LIMIT_MS, limit_ms - 1), 0);
  CU_ASSERT_EQUAL (dl_version_floor_due (&floor, LIMIT_MS, limit_ms), 2);
}

/* Without the time of its announcement a version of another node's floor is due now. */
static void
test_waiting_requests_missed_the_floor_of_another_node (void)
{
  DlVersionFloor floor = { 0 };

  dl_version_floor_announced (&floor, 4, FOUND_MS);
  dl_version_floor_raise (&floor, 3);
  CU_ASSERT_EQUAL (dl_version_floor_for_waiting (&floor, LIMIT_MS, FOUND_MS), 3);
  dl_version_floor_announced (&floor, 3, FOUND_MS - 1000);
  CU_ASSERT_EQUAL (dl_version_floor_for_waiting (&floor, LIMIT_MS, FOUND_MS), 0);
}

static void
test_old_announcement_displaced_a_newer_one (void)
{
  DlVersionFloor floor = { 0 };

  for (uint64_t v = 0; v < DL_VERSION_FLOOR_HISTORY; v++)
    dl_version_floor_announced (&floor, 10 + 2 * v, FOUND_MS + v);
  CU_ASSERT_FALSE (dl_version_floor_announced (&floor, 5, FOUND_MS));
  CU_ASSERT_TRUE (dl_version_floor_announced (&floor, 13, FOUND_MS));
  CU_ASSERT_EQUAL (floor.count, DL_VERSION_FLOOR_HISTORY);
  CU_ASSERT_EQUAL (floor.versions[0].version, 12);
  CU_ASSERT_EQUAL (floor.versions[1].version, 13);
  for (unsigned i = 1; i < floor.count; i++)
    CU_ASSERT (floor.versions[i - 1].version < floor.versions[i].version);
}

/* Reports arrive in any order, and more than once. */
static void
test_floor_depended_on_the_order_of_reports (void)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (1);

  for (unsigned round = 0; round < ROUNDS; round++)
    {
      DlVersionFloor floor = { 0 };
      unsigned seen = 0;

      while (seen != (1u << VERSIONS) - 1)
        {
          unsigned v = (unsigned)g_rand_int_range (random, 0, VERSIONS);

          seen |= 1u << v;
          dl_version_floor_announced (&floor, 1 + v, FOUND_MS + v * 700);
        }
      for (unsigned v = 0; v < VERSIONS; v++)
        CU_ASSERT_EQUAL (floor_at (&floor, FOUND_MS + v * 700 + floor_after_ms), 1 + v);
    }
}

static const CU_TestInfo tests[] = {
  { "late copy extended the limit", test_late_copy_extended_the_limit },
  { "late copy stopped requests too early", test_late_copy_stopped_requests_too_early },
  { "oldest copy stopped requests too early",
    test_oldest_copy_stopped_requests_too_early },
  { "late observer extended the limit", test_late_observer_extended_the_limit },
  { "skipped version had no limit", test_skipped_version_had_no_limit },
  { "guess was reported as floor", test_guess_was_reported_as_floor },
  { "waiting requests are withdrawn before the limit",
    test_waiting_requests_are_withdrawn_before_the_limit },
  { "waiting requests missed the floor of another node",
    test_waiting_requests_missed_the_floor_of_another_node },
  { "old announcement displaced a newer one",
    test_old_announcement_displaced_a_newer_one },
  { "floor depended on the order of reports",
    test_floor_depended_on_the_order_of_reports },
  CU_TEST_INFO_NULL,
};

UNIT_SUITE ("version floor", tests)
