/* Tests of confinement to regions, evacuations and cold upstreams. */
#include <glib.h>
#include <talloc.h>

#include "policy/cold_start.h"
#include "policy/evacuation.h"
#include "policy/regions.h"
#include "unit.h"

#define START_MS 100000

/* -------- regions -------- */

static const char *north[] = { "north" };
static const char *north_south[] = { "north", "south" };
static const DlRegions open_set = { 0 };
static const DlRegions only_north = { true, north, 1 };
static const DlRegions both_regions = { true, north_south, 2 };
static const DlRegions nowhere = { true, NULL, 0 };

/* Guards against requests that leave the regions of their route or organisation. */
static void
test_regions (void)
{
  static const struct
  {
    const DlRegions *route;
    const DlRegions *organisation;
    const char *region;
    bool allowed;
  } cases[] = {
    { &open_set, NULL, "east", true },
    { &open_set, &open_set, NULL, true },
    { &only_north, NULL, "north", true },
    { &only_north, NULL, "south", false },
    { &only_north, NULL, "nor", false },
    { &only_north, NULL, NULL, false },
    { &open_set, &only_north, "south", false },
    { &both_regions, &only_north, "south", false },
    { &both_regions, &only_north, "north", true },
    { &nowhere, &open_set, "north", false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      DlHomes homes = { cases[i].route, cases[i].organisation };

      CU_ASSERT_EQUAL (dl_homes_allow (&homes, cases[i].region), cases[i].allowed);
    }
}

/* -------- evacuations -------- */

/* Guards against an evacuation that is lost when it is told twice, or begun again. */
static void
test_evacuations (void)
{
  DlEvacuations *e = dl_evacuations_new (NULL);

  CU_ASSERT_FALSE (dl_evacuations_end (e, "a", START_MS));
  CU_ASSERT_TRUE (dl_evacuations_begin (e, "a"));
  CU_ASSERT_FALSE (dl_evacuations_begin (e, "a"));
  CU_ASSERT_TRUE (dl_evacuations_include (e, "a"));
  CU_ASSERT_FALSE (dl_evacuations_include (e, "b"));
  CU_ASSERT_EQUAL (dl_evacuations_count (e), 1);
  CU_ASSERT_TRUE (dl_evacuations_end (e, "a", START_MS));
  CU_ASSERT_FALSE (dl_evacuations_include (e, "a"));
  CU_ASSERT_EQUAL (dl_evacuations_ended_ms (e, "a"), START_MS);
  CU_ASSERT_TRUE (dl_evacuations_begin (e, "a"));
  CU_ASSERT_TRUE (dl_evacuations_include (e, "a"));
  talloc_free (e);
}

/* -------- cold upstreams -------- */

static const DlColdTraits traits = { .per_s = 18, .start_ms = 3000 };
static const DlColdBound bound = { .overage = 1.5, .slack = 5 };

static void
test_cold_time (void)
{
  static const DlColdTraits never = { 0 };
  DlColdStart cold = { 0 };

  CU_ASSERT_EQUAL (dl_cold_start_remaining_ms (&cold, &traits, START_MS), 0);
  dl_cold_start_suspected (&cold, START_MS);
  CU_ASSERT_EQUAL (dl_cold_start_remaining_ms (&cold, &traits, START_MS + 1000), 2000);
  CU_ASSERT_EQUAL (dl_cold_start_remaining_ms (&cold, &never, START_MS), 0);
  dl_cold_start_told (&cold, 5000, START_MS, START_MS);
  CU_ASSERT_EQUAL (dl_cold_start_remaining_ms (&cold, &traits, START_MS + 1000), 4000);
  dl_cold_start_told (&cold, 0, START_MS + 3000, START_MS + 3000);
  CU_ASSERT_EQUAL (dl_cold_start_remaining_ms (&cold, &traits, START_MS + 3000), 0);
}

/* Guards against a list entry that was written before a response and read after it: the
 * upstream, which has become cold meanwhile, would be filled at once. */
static void
test_cold_list_is_older (void)
{
  DlColdStart cold = { 0 };

  dl_cold_start_listed (&cold, 3000, START_MS);
  CU_ASSERT_EQUAL (dl_cold_start_remaining_ms (&cold, &traits, START_MS), 3000);
  dl_cold_start_listed (&cold, 0, START_MS + 100);
  CU_ASSERT_EQUAL (dl_cold_start_remaining_ms (&cold, &traits, START_MS + 100), 0);
  dl_cold_start_told (&cold, 3000, START_MS + 200, START_MS + 200);
  dl_cold_start_listed (&cold, 0, START_MS + 300);
  CU_ASSERT_EQUAL (dl_cold_start_remaining_ms (&cold, &traits, START_MS + 300), 2900);
  dl_cold_start_listed (&cold, 5000, START_MS + 400);
  CU_ASSERT_EQUAL (dl_cold_start_remaining_ms (&cold, &traits, START_MS + 400), 5000);
  dl_cold_start_told (&cold, 0, START_MS + 500, START_MS + 500);
  CU_ASSERT_EQUAL (dl_cold_start_remaining_ms (&cold, &traits, START_MS + 500), 0);
}

/* Guards against a response that left the upstream before it became cold and arrives
 * after one that tells so. */
static void
test_cold_responses_overtake (void)
{
  DlColdStart cold = { 0 };

  dl_cold_start_told (&cold, 0, START_MS, START_MS + 50);
  CU_ASSERT_EQUAL (dl_cold_start_remaining_ms (&cold, &traits, START_MS + 50), 0);
  dl_cold_start_told (&cold, 3000, START_MS + 60, START_MS + 100);
  dl_cold_start_told (&cold, 0, START_MS + 90, START_MS + 200);
  CU_ASSERT_EQUAL (dl_cold_start_remaining_ms (&cold, &traits, START_MS + 200), 2900);
  dl_cold_start_told (&cold, 4000, START_MS + 90, START_MS + 300);
  CU_ASSERT_EQUAL (dl_cold_start_remaining_ms (&cold, &traits, START_MS + 300), 4000);
  dl_cold_start_told (&cold, 0, START_MS + 300, START_MS + 400);
  CU_ASSERT_EQUAL (dl_cold_start_remaining_ms (&cold, &traits, START_MS + 400), 0);
}

/* Without a share, an upstream is left alone until it is not cold any more. */
static void
test_cold_without_share (void)
{
  DlColdStart cold = { 0 };
  DlColdShare none = { 0 };

  dl_cold_start_suspected (&cold, START_MS);
  CU_ASSERT_EQUAL (dl_cold_start_wait_ms (&cold, &traits, none, START_MS), 3000);
  CU_ASSERT_EQUAL (dl_cold_start_wait_ms (&cold, &traits, none, START_MS + 3000), 0);
}

#define ENTRIES_MAX 40
#define RUN_MS      2900
#define WINDOW_MS   1000

/* One entry of a fleet that sends as much as it may. */
typedef struct
{
  uint64_t score;
  bool registered; /* the others know it */
  DlColdStart cold;
} ColdEntry;

static DlColdShare
share_of (const ColdEntry *entries, unsigned count, unsigned self)
{
  uint64_t scores[ENTRIES_MAX];
  size_t n = 0;
  size_t at = 0;

  for (unsigned i = 0; i < count; i++)
    {
      if (!entries[i].registered && i != self)
        continue;
      if (i == self)
        at = n;
      scores[n++] = entries[i].score;
    }
  return dl_cold_share (scores, n, at, &traits, &bound);
}

/* Most requests in any second that COUNT entries send, when each has lost its memory
 * RESTARTS times in the run, and NEW of them are known to themselves only. */
static unsigned
most_in_a_second (unsigned count, unsigned restarts, unsigned new, GRand *random)
{
  ColdEntry entries[ENTRIES_MAX] = { 0 };
  unsigned sent[RUN_MS] = { 0 };
  unsigned most = 0;

  for (unsigned i = 0; i < count; i++)
    {
      entries[i].score = (uint64_t)g_rand_int (random);
      entries[i].registered = i >= new;
      dl_cold_start_suspected (&entries[i].cold, START_MS);
    }
  for (unsigned t = 0; t < RUN_MS; t++)
    for (unsigned i = 0; i < count; i++)
      {
        ColdEntry *e = &entries[i];

        if (restarts > 0 && g_rand_int_range (random, 0, RUN_MS) < (int)restarts)
          e->cold.sent_ms = 0;
        if (dl_cold_start_wait_ms (&e->cold, &traits, share_of (entries, count, i),
                                   START_MS + t)
            > 0)
          continue;
        dl_cold_start_sent (&e->cold, START_MS + t);
        sent[t]++;
      }
  for (unsigned from = 0; from + WINDOW_MS <= RUN_MS; from++)
    {
      unsigned sum = 0;

      for (unsigned t = from; t < from + WINDOW_MS; t++)
        sum += sent[t];
      most = MAX (most, sum);
    }
  return most;
}

/* The load: all entries want to send to an upstream that has just come back.  Guards
 * against shares that add up to more than the bound, when entries restart or are new, and
 * against an upstream that is hardly filled. */
static void
test_cold_shares_add_up (void)
{
  unsigned bound_requests = (unsigned)(traits.per_s * bound.overage + bound.slack);
  uint32_t seed = unit_first_seed ("cold shares", 1);
  GRand *random = g_rand_new_with_seed (seed);

  for (unsigned count = 1; count <= ENTRIES_MAX; count += 3)
    {
      unsigned calm = most_in_a_second (count, 0, 0, random);

      CU_ASSERT (calm <= bound_requests);
      CU_ASSERT (calm >= traits.per_s);
      CU_ASSERT (most_in_a_second (count, 1, 0, random) <= bound_requests);
      CU_ASSERT (most_in_a_second (count, 0, MIN (count, 2), random) <= bound_requests);
    }
  g_rand_free (random);
}

static const CU_TestInfo confinement_tests[] = {
  { "regions of route and organisation", test_regions },
  { "evacuations", test_evacuations },
  { "how long an upstream is cold", test_cold_time },
  { "a list entry that is older than a response", test_cold_list_is_older },
  { "responses that overtake each other", test_cold_responses_overtake },
  { "a cold upstream without a share", test_cold_without_share },
  { "shares of a cold upstream add up", test_cold_shares_add_up },
  CU_TEST_INFO_NULL,
};

UNIT_SUITE ("confinement", confinement_tests)
