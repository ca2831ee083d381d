/* Simulated swarms: every chunk arrives, only once, within limits of time and bytes. */
#include <stdio.h>
#include <talloc.h>

#include "policy/swarm.h"
#include "swarm_driver.h"
#include "unit.h"

#define SEEDS 2

typedef struct
{
  const char *name;
  DriverOptions options; /* those that differ between cases */
  double time_max;       /* in multiples of the time of one copy on a host's link */
  double origin_max;     /* copies */
  double region_max;     /* copies */
} SwarmCase;

static const SwarmCase swarm_cases[] = {
  { "origin bytes weighed",
    { .hosts = 16, .weigh_origin_bytes = true },
    1.2,
    1.05,
    1.05 },
  { "time weighed", { .hosts = 16 }, 1.2, 2.0, 1.05 },
  { "more hosts", { .hosts = 36, .weigh_origin_bytes = true }, 1.25, 1.05, 1.05 },
  { "one host in each region",
    { .hosts = 3, .weigh_origin_bytes = true },
    2.2,
    1.05,
    1.05 },
  { "shared link", { .hosts = 16, .shared = true }, 2.6, 2.0, 1.05 },
  { "hosts die",
    { .hosts = 24, .weigh_origin_bytes = true, .killed = 4 },
    3.0,
    1.3,
    1.3 },
  { "half of the hosts replaced",
    { .hosts = 24, .weigh_origin_bytes = true, .replaced = 12 },
    3.0,
    1.3,
    1.7 },
  { "corrupting hosts",
    { .hosts = 24, .weigh_origin_bytes = true, .corrupt = 2 },
    2.0,
    1.3,
    1.3 },
  { "stalling hosts",
    { .hosts = 24, .weigh_origin_bytes = true, .stalled = 3 },
    3.0,
    1.3,
    1.3 },
  { "all faults at once",
    { .hosts = 24, .killed = 2, .replaced = 3, .corrupt = 1, .stalled = 1 },
    3.0,
    2.0,
    1.4 },
};

static void
run_case (const SwarmCase *c, uint64_t seed)
{
  DriverOptions options = c->options;
  DriverResult result;
  double copy_us;

  options.chunks = 128;
  options.chunk_bytes = 64 << 10;
  options.link_bytes_per_s = 2 << 20;
  options.origin_bytes_per_s = 4 << 20;
  options.latency_us = 2000;
  options.seed = seed;
  options.limit_us = 60000000;
  copy_us = 1e6 * options.chunks * options.chunk_bytes / (double)options.link_bytes_per_s;
  result = driver_run (&options);
  if (!result.complete || (double)result.time_us > c->time_max * copy_us
      || result.origin_copies > c->origin_max || result.region_copies > c->region_max
      || result.duplicate_part > 0.01 || result.refetched > 0)
    {
      fprintf (stderr,
               "  %s, seed %lu: complete %d, time %.2f, origin %.3f, region %.3f, "
               "duplicates %.4f, fetched again %u\n",
               c->name, (unsigned long)seed, result.complete,
               (double)result.time_us / copy_us, result.origin_copies,
               result.region_copies, result.duplicate_part, result.refetched);
      CU_FAIL ("a limit was exceeded");
    }
}

static void
test_cases (void)
{
  uint64_t first = unit_first_seed ("swarm cases", 1);

  for (size_t i = 0; i < sizeof swarm_cases / sizeof swarm_cases[0]; i++)
    for (uint64_t seed = first; seed < first + SEEDS; seed++)
      run_case (&swarm_cases[i], seed);
}

/* -------- single decisions -------- */

typedef struct
{
  void *context;
  DlBudget budget;
  DlSwarm *swarm;
} Single;

/* The swarm of host "b", in the home region with "a", with one chunk to fetch. */
static Single
single_new (void)
{
  const DlSwarmHost hosts[] = { { "a", "home" }, { "b", "home" } };
  const uint32_t lengths[] = { 1000 };
  DlDigest digest = { { 1 } };
  Single s = { .context = talloc_new (NULL) };
  DlBudget *unlimited = talloc_zero (s.context, DlBudget);

  s.swarm = dl_swarm_new (s.context,
                          &(DlSwarmOptions){
                              .name = "b",
                              .region = "home",
                              .home_region = "home",
                              .manifest_bytes = 100,
                              .weigh_origin_bytes = true,
                              .budgets = { unlimited, unlimited, unlimited, unlimited },
                          },
                          0);
  dl_swarm_set_hosts (s.swarm, hosts, 2, 0);
  dl_swarm_mark_verified (s.swarm, DL_SWARM_MANIFEST);
  dl_swarm_set_manifest (s.swarm, &digest, lengths, 1, 0);
  return s;
}

/* Runs the swarm and returns the number of actions of the type. */
static unsigned
run_and_count (Single *s, DlSwarmActionType type, uint64_t now_us)
{
  DlSwarmAction action;
  unsigned count = 0;

  dl_swarm_run (s->swarm, now_us);
  while (dl_swarm_take (s->swarm, &action))
    count += action.type == type ? 1 : 0;
  return count;
}

/* Host "a" connects and announces the chunk. */
static void
offer (Single *s, uint64_t now_us)
{
  dl_swarm_peer_up (s->swarm, "a", now_us);
  dl_swarm_peer_has (s->swarm, "a", 0);
  dl_swarm_peer_queue (s->swarm, "a", 0, now_us);
}

static void
test_corrupt_peer_is_avoided (void)
{
  Single s = single_new ();

  for (int i = 0; i < 2; i++)
    {
      offer (&s, 0);
      CU_ASSERT_EQUAL (run_and_count (&s, DL_SWARM_WANT, 0), 1);
      CU_ASSERT_FALSE (dl_swarm_avoids (s.swarm, "a"));
      dl_swarm_peer_corrupt (s.swarm, "a", 0, 1000, 0);
    }
  CU_ASSERT_TRUE (dl_swarm_avoids (s.swarm, "a"));
  offer (&s, 0);
  /* The only missing chunk is fetched from the origin instead. */
  CU_ASSERT_EQUAL (run_and_count (&s, DL_SWARM_FETCH, 0), 1);
  talloc_free (s.context);
}

static void
test_stalled_peer_times_out (void)
{
  Single s = single_new ();

  offer (&s, 0);
  CU_ASSERT_EQUAL (run_and_count (&s, DL_SWARM_WANT, 0), 1);
  CU_ASSERT_EQUAL (run_and_count (&s, DL_SWARM_CANCEL, 1000000), 0);
  CU_ASSERT_EQUAL (run_and_count (&s, DL_SWARM_CANCEL, 3000000), 1);
  CU_ASSERT_EQUAL (dl_swarm_arrived (s.swarm, "a", 0, 1000, 4000000), DL_SWARM_NEW);
  CU_ASSERT_EQUAL (dl_swarm_arrived (s.swarm, "a", 0, 1000, 4000000), DL_SWARM_DUPLICATE);
  CU_ASSERT_TRUE (dl_swarm_is_complete (s.swarm));
  talloc_free (s.context);
}

static void
test_paused_swarm_serves_only (void)
{
  Single s = single_new ();

  dl_swarm_set_paused (s.swarm, true);
  offer (&s, 0);
  CU_ASSERT_EQUAL (run_and_count (&s, DL_SWARM_WANT, 10000000), 0);
  dl_swarm_peer_wants (s.swarm, "a", DL_SWARM_MANIFEST, false, 10000000);
  CU_ASSERT_EQUAL (run_and_count (&s, DL_SWARM_SEND, 10000000), 1);
  dl_swarm_peer_wants (s.swarm, "a", 0, false, 10000000);
  CU_ASSERT_EQUAL (run_and_count (&s, DL_SWARM_REFUSE, 10000000), 1);
  talloc_free (s.context);
}

static void
test_unusable_source_refuses_waiters (void)
{
  Single s = single_new ();

  dl_swarm_peer_up (s.swarm, "a", 0);
  dl_swarm_peer_wants (s.swarm, "a", 0, true, 0);
  CU_ASSERT_EQUAL (run_and_count (&s, DL_SWARM_REFUSE, 0), 0);
  dl_swarm_fetch_failed (s.swarm, 0, 100, true, 0);
  CU_ASSERT_EQUAL (run_and_count (&s, DL_SWARM_REFUSE, 0), 1);
  talloc_free (s.context);
}

static const CU_TestInfo swarm_tests[] = {
  { "many hosts, with and without faults", test_cases },
  { "corrupt peer is avoided", test_corrupt_peer_is_avoided },
  { "stalled peer times out", test_stalled_peer_times_out },
  { "paused swarm serves only", test_paused_swarm_serves_only },
  { "unusable source refuses waiters", test_unusable_source_refuses_waiters },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("swarm", swarm_tests)
