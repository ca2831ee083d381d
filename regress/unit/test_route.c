/* Upstream choice from tables of candidates, the circuit breaker and the prefix index. */
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <talloc.h>

#include "policy/breaker.h"
#include "policy/prefix.h"
#include "policy/route.h"
#include "unit.h"

#define DRAWS          200
#define CANDIDATES_MAX 3
#define CAPACITY       4
#define QUEUE          2

/* How a candidate differs from an idle one in the same data centre. */
typedef struct
{
  const char *name;
  unsigned load;
  unsigned in_flight;
  unsigned in_flight_at_report;
  unsigned capacity;
  uint8_t version;
  DlDistance distance;
  bool down;
  bool leaving;
  bool ejected;
  bool has_prefix;
} Row;

typedef struct
{
  const char *name;
  size_t count;
  Row rows[CANDIDATES_MAX];
  uint8_t version; /* required; 0: any */
  const char *avoid;
  int chosen; /* expected index or error, for every random number */
} RouteCase;

static const RouteCase route_cases[] = {
  { .name = "no candidate", .chosen = -ENOENT },
  { .name = "not connected",
    .count = 1,
    .rows = { { .down = true } },
    .chosen = -ENOENT },
  { .name = "leaving", .count = 2, .rows = { { .leaving = true } }, .chosen = 1 },
  { .name = "full", .count = 1, .rows = { { .load = 6 } }, .chosen = -EBUSY },
  { .name = "full by own requests since the report",
    .count = 2,
    .rows = { { .load = 3, .in_flight = 4, .in_flight_at_report = 1 }, { .load = 5 } },
    .chosen = 1 },
  { .name = "own requests that ended since the report",
    .count = 1,
    .rows = { { .load = 6, .in_flight = 1, .in_flight_at_report = 2 } },
    .chosen = 0 },
  { .name = "other version",
    .count = 2,
    .rows = { { .version = 2 }, { .version = 1 } },
    .version = 1,
    .chosen = 1 },
  { .name = "only the other version",
    .count = 1,
    .rows = { { .version = 2 } },
    .version = 1,
    .chosen = -ENOENT },
  { .name = "the pinned version is full",
    .count = 2,
    .rows = { { .version = 1, .load = 9 }, { .version = 2 } },
    .version = 1,
    .chosen = -EBUSY },
  { .name = "nearest first",
    .count = 2,
    .rows = { { .distance = DL_DISTANCE_OTHER_REGION }, { .load = 3 } },
    .chosen = 1 },
  { .name = "far when the near one would queue",
    .count = 2,
    .rows = { { .distance = DL_DISTANCE_OTHER_REGION }, { .load = 4 } },
    .chosen = 0 },
  { .name = "queues when no other has capacity",
    .count = 1,
    .rows = { { .load = 5 } },
    .chosen = 0 },
  { .name = "breaker open",
    .count = 2,
    .rows = { { .ejected = true }, { .load = 5 } },
    .chosen = 1 },
  { .name = "every breaker open",
    .count = 1,
    .rows = { { .ejected = true } },
    .chosen = -EBUSY },
  { .name = "avoided",
    .count = 2,
    .rows = { { .name = "a" }, { .name = "b", .load = 5 } },
    .avoid = "a",
    .chosen = 1 },
  { .name = "avoided, but the only one",
    .count = 1,
    .rows = { { .name = "a" } },
    .avoid = "a",
    .chosen = 0 },
  { .name = "less loaded of two",
    .count = 2,
    .rows = { { .load = 2 }, { .load = 1 } },
    .chosen = 1 },
  { .name = "load by capacity",
    .count = 2,
    .rows = { { .load = 3 }, { .capacity = 16, .load = 8 } },
    .chosen = 1 },
  { .name = "upstream with the prefix",
    .count = 3,
    .rows = { { 0 }, { .has_prefix = true, .load = 3 }, { 0 } },
    .chosen = 1 },
  { .name = "no queueing for the prefix",
    .count = 2,
    .rows = { { .load = 1 }, { .has_prefix = true, .load = 4 } },
    .chosen = 0 },
};

static DlRouteCandidate
candidate_of (const Row *row)
{
  return (DlRouteCandidate){
    .name = row->name != NULL ? row->name : "x",
    .distance = row->distance,
    .connected = !row->down,
    .accepts = !row->leaving,
    .allowed = !row->ejected,
    .has_prefix = row->has_prefix,
    .version.bytes[0] = row->version,
    .capacity = row->capacity > 0 ? row->capacity : CAPACITY,
    .queue = QUEUE,
    .reported = row->load,
    .in_flight = row->in_flight,
    .in_flight_at_report = row->in_flight_at_report,
  };
}

static void
test_choices (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (route_cases); i++)
    {
      const RouteCase *c = &route_cases[i];
      DlRouteCandidate candidates[CANDIDATES_MAX];
      bool passed = true;

      for (size_t j = 0; j < c->count; j++)
        candidates[j] = candidate_of (&c->rows[j]);
      for (uint64_t draw = 0; draw < DRAWS && passed; draw++)
        {
          const DlRouteQuery query = {
            .version.bytes[0] = c->version,
            .avoid = c->avoid,
            .random = draw * 0x9e3779b97f4a7c15u,
          };

          passed = dl_route_choose (candidates, c->count, &query) == c->chosen;
        }
      if (!passed)
        fprintf (stderr, "  case \"%s\"\n", c->name);
      CU_ASSERT (passed);
    }
}

/* With stale reports, requests must still spread over the upstreams. */
static void
test_spread (void)
{
  DlRouteCandidate candidates[8];
  unsigned most = 0;

  for (int i = 0; i < 8; i++)
    candidates[i] = candidate_of (&(Row){ .capacity = 100, .load = 10 });
  candidates[0].reported = 0;
  for (uint64_t draw = 0; draw < 80; draw++)
    {
      int chosen = dl_route_choose (candidates, 8,
                                    &(DlRouteQuery){ .random = (draw + 1)
                                                               * 0x9e3779b97f4a7c15u });

      candidates[chosen].in_flight++;
    }
  for (int i = 0; i < 8; i++)
    most = MAX (most, candidates[i].in_flight);
  CU_ASSERT (most < 30);
}

static void
test_breaker (void)
{
  DlBreaker b = { 0 };

  for (int i = 1; i < DL_BREAKER_FAILURES; i++)
    CU_ASSERT_FALSE (dl_breaker_failed (&b, 0, 0));
  dl_breaker_succeeded (&b, 0, 1000, 0, 0);
  for (int i = 1; i < DL_BREAKER_FAILURES; i++)
    CU_ASSERT_FALSE (dl_breaker_failed (&b, 0, 0));
  CU_ASSERT (dl_breaker_failed (&b, 0, 0));
  CU_ASSERT_FALSE (dl_breaker_allows (&b, DL_BREAKER_BACKOFF_MS - 1));
  CU_ASSERT (dl_breaker_allows (&b, DL_BREAKER_BACKOFF_MS));
  /* One probe at a time. */
  dl_breaker_sent (&b, DL_BREAKER_BACKOFF_MS);
  CU_ASSERT_FALSE (dl_breaker_allows (&b, DL_BREAKER_BACKOFF_MS));
  /* A single failed probe opens it again, and the backoff doubles. */
  CU_ASSERT (dl_breaker_failed (&b, DL_BREAKER_BACKOFF_MS, 0));
  CU_ASSERT_FALSE (dl_breaker_allows (&b, 3 * DL_BREAKER_BACKOFF_MS - 1));
  CU_ASSERT (dl_breaker_allows (&b, 3 * DL_BREAKER_BACKOFF_MS));
  /* After a probe without a result the next one is allowed. */
  dl_breaker_sent (&b, 3 * DL_BREAKER_BACKOFF_MS);
  dl_breaker_neutral (&b, 3 * DL_BREAKER_BACKOFF_MS);
  CU_ASSERT (dl_breaker_allows (&b, 3 * DL_BREAKER_BACKOFF_MS));
  dl_breaker_sent (&b, 3 * DL_BREAKER_BACKOFF_MS);
  dl_breaker_succeeded (&b, 3 * DL_BREAKER_BACKOFF_MS, 1000, 0, 0);
  CU_ASSERT_EQUAL (b.state, DL_BREAKER_CLOSED);
}

static void
test_slow (void)
{
  DlBreaker slow = { 0 };
  DlBreaker usual = { 0 };
  bool opened = false;

  for (int i = 0; i < 2 * DL_BREAKER_SLOW_SAMPLES; i++)
    {
      CU_ASSERT_FALSE (dl_breaker_succeeded (&usual, 0, 150000, 100000, 0));
      opened = opened || dl_breaker_succeeded (&slow, 0, 900000, 100000, 0);
    }
  CU_ASSERT (opened);
}

static void
test_prefixes (void)
{
  void *context = talloc_new (NULL);
  DlPrefixIndex *index = dl_prefix_new (context);
  uint64_t p = dl_prefix_hash (dl_str ("a prompt"));

  CU_ASSERT_EQUAL (dl_prefix_hash (dl_str ("")), 0);
  dl_prefix_add (index, p, 1, 10);
  dl_prefix_add (index, p, 2, 20);
  dl_prefix_add (index, 0, 1, 20);
  CU_ASSERT (dl_prefix_holds (index, p, 1, 10));
  CU_ASSERT (dl_prefix_holds (index, p, 2, 20));
  CU_ASSERT_FALSE (dl_prefix_holds (index, 0, 1, 20));
  dl_prefix_drop (index, p, 1);
  CU_ASSERT_FALSE (dl_prefix_holds (index, p, 1, 20));
  /* Dropped when not reported again for a long time, or when the upstream restarted. */
  CU_ASSERT_FALSE (dl_prefix_holds (index, p, 2, 21 + DL_PREFIX_MAX_AGE_MS));
  dl_prefix_drop_upstream (index, 2);
  CU_ASSERT_FALSE (dl_prefix_holds (index, p, 2, 20));
  for (uint64_t i = 1; i <= DL_PREFIX_MAX + 10; i++)
    dl_prefix_add (index, i, 3, 30);
  CU_ASSERT_EQUAL (dl_prefix_count (index), DL_PREFIX_MAX);
  CU_ASSERT_FALSE (dl_prefix_holds (index, 1, 3, 30));
  CU_ASSERT (dl_prefix_holds (index, DL_PREFIX_MAX + 10, 3, 30));
  talloc_free (context);
}

static const CU_TestInfo route_tests[] = {
  { "choices", test_choices },   { "spread with stale reports", test_spread },
  { "breaker", test_breaker },   { "slow upstream", test_slow },
  { "prefixes", test_prefixes }, CU_TEST_INFO_NULL,
};
UNIT_SUITE ("route", route_tests)
