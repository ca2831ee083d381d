/* Tests of who is served, and in which order, when there is too little room. */
#include <glib.h>
#include <talloc.h>

#include "policy/availability.h"
#include "policy/engine_order.h"
#include "policy/held_bytes.h"
#include "policy/machine_pace.h"
#include "policy/priority_share.h"
#include "policy/routing.h"
#include "policy/wait_queue.h"
#include "unit.h"

#define START_MS 100000

/* -------- priorities of one service -------- */

static void
test_ranks_of_routes (void)
{
  DlRouting *routing = dl_routing_new (NULL);
  DlRouteTarget to_a[] = { { "a", 1 } };
  DlRouteTarget to_b[] = { { "b", 1 } };
  DlRouteTarget to_both[] = { { "a", 1 }, { "b", 1 } };
  DlServiceEntry services[] = { { .name = "a" }, { .name = "b" } };
  DlOrganisation organisations[] = {
    { .has_priority = true, .priority = 0 },
    { .has_priority = true, .priority = 1 },
    { .has_priority = false },
  };
  DlRouteEntry routes[] = {
    { .priority = 2, .targets = to_a, .target_count = 1 },
    { .priority = 0, .targets = to_a, .target_count = 1 },
    { .priority = 3, .targets = to_b, .target_count = 1 },
    { .priority = 3, .targets = to_both, .target_count = 2 },
  };
  const DlServiceEntry *a = &services[0];
  const DlServiceEntry *b = &services[1];

  routing->services = services;
  routing->service_count = G_N_ELEMENTS (services);
  routing->organisations = organisations;
  routing->organisation_count = G_N_ELEMENTS (organisations);
  routing->routes = routes;
  routing->route_count = G_N_ELEMENTS (routes);
  dl_routing_rank_routes (routing);
  CU_ASSERT_TRUE (dl_service_is_ranked (a));
  CU_ASSERT_EQUAL (dl_service_rank (a, &routes[0]), 1);
  CU_ASSERT_EQUAL (dl_service_rank (a, &routes[1]), 0);
  CU_ASSERT_EQUAL (dl_service_rank (a, &routes[3]), 2);
  /* The organisation first, then the route. */
  CU_ASSERT_EQUAL (dl_routing_rank (routing, a, &routes[1], &organisations[0]), 0);
  CU_ASSERT_EQUAL (dl_routing_rank (routing, a, &routes[0], &organisations[0]), 1);
  CU_ASSERT_EQUAL (dl_routing_rank (routing, a, &routes[1], &organisations[1]), 3);
  CU_ASSERT_EQUAL (dl_routing_rank (routing, a, &routes[1], &organisations[2]), 6);
  /* Guards against a service whose routes agree being ranked, as one of them also leads
   * to a service whose routes differ. */
  CU_ASSERT_FALSE (dl_service_is_ranked (b));
  CU_ASSERT_EQUAL (dl_service_rank (b, &routes[2]), 0);
  CU_ASSERT_EQUAL (dl_service_rank (b, &routes[3]), 0);
  talloc_free (routing);
}

/* -------- a queue with more requests than there is room -------- */

#define RANKS          2
#define SIMULATED_MS   20000
#define COUNT_FROM_MS  4000
#define SERVICE_PER_MS 0.03 /* requests that find room */

typedef struct
{
  unsigned rank;
  uint64_t arrived_ms;
} Arrival;

typedef struct
{
  unsigned arrived[RANKS];
  unsigned served[RANKS];
} Outcome;

static Outcome
play_overload (const double per_ms[RANKS], const uint64_t target_ms[RANKS], GRand *random)
{
  DlWaitQueue *queue = dl_wait_queue_new (NULL);
  Outcome outcome = { 0 };
  double room = 0;

  for (uint64_t t = 0; t < SIMULATED_MS; t++)
    {
      uint64_t now_ms = START_MS + t;
      Arrival *a;

      for (unsigned rank = 0; rank < RANKS; rank++)
        if (g_rand_double (random) < per_ms[rank])
          {
            DlWaitClass class = { .is_ranked = true,
                                  .priority = rank,
                                  .rank = rank,
                                  .target_ms = target_ms[rank] };

            a = talloc (queue, Arrival);
            *a = (Arrival){ .rank = rank, .arrived_ms = t };
            outcome.arrived[rank] += t >= COUNT_FROM_MS;
            dl_wait_queue_arrived (queue, rank, now_ms);
            dl_wait_queue_push (queue, a, &class, now_ms);
          }
      while (dl_wait_queue_expired (queue, now_ms) != NULL)
        ;
      for (room = MIN (room + SERVICE_PER_MS, 1);
           room >= 1 && (a = dl_wait_queue_after (queue, NULL)) != NULL; room -= 1)
        {
          dl_wait_queue_remove (queue, a);
          dl_wait_queue_dispatched (queue, now_ms);
          dl_wait_queue_sent (queue, a->rank, now_ms);
          outcome.served[a->rank] += a->arrived_ms >= COUNT_FROM_MS;
        }
    }
  talloc_free (queue);
  return outcome;
}

/* The load: a kind with a long target and a more urgent one with a short target ask for
 * one and a half times the room.  Guards against the more urgent one being served less
 * often, as the other may wait longer, and against the other being starved. */
static void
test_urgent_requests_are_served_as_often (void)
{
  static const double per_ms[RANKS] = { 0.025, 0.02 };
  static const uint64_t target_ms[RANKS] = { 400, 1000 };
  GRand *random = g_rand_new_with_seed (unit_first_seed ("overload", 1));
  Outcome o = play_overload (per_ms, target_ms, random);
  double urgent = (double)o.served[0] / o.arrived[0];
  double other = (double)o.served[1] / o.arrived[1];

  CU_ASSERT (urgent >= other);
  CU_ASSERT (other >= urgent / 2);
  CU_ASSERT (o.served[0] + o.served[1]
             >= 0.8 * SERVICE_PER_MS * (SIMULATED_MS - COUNT_FROM_MS));
  g_rand_free (random);
}

/* The load: the more urgent kind alone asks for twice the room. */
static void
test_less_urgent_requests_are_not_starved (void)
{
  static const double per_ms[RANKS] = { 0.06, 0.02 };
  static const uint64_t target_ms[RANKS] = { 400, 400 };
  GRand *random = g_rand_new_with_seed (unit_first_seed ("starvation", 1));
  Outcome o = play_overload (per_ms, target_ms, random);
  double all = (double)(o.served[0] + o.served[1]) / (o.arrived[0] + o.arrived[1]);

  CU_ASSERT ((double)o.served[1] / o.arrived[1] >= all / 4);
  g_rand_free (random);
}

/* Guards against a request that is refused for those before it that are refused
 * themselves: a more urgent one is put before two that have too little time left, and one
 * behind these that has enough. */
static void
test_refused_requests_do_not_delay_others (void)
{
  DlWaitQueue *queue = dl_wait_queue_new (NULL);
  const DlWaitClass late = { .is_ranked = true, .priority = 1, .target_ms = 400 };
  const DlWaitClass urgent = { .is_ranked = true, .target_ms = 400 };
  const uint64_t later_ms = START_MS + 60;
  int items[5], first;

  for (unsigned i = 0; i < DL_WAIT_RATE_WINDOW_MS / 20; i++)
    dl_wait_queue_dispatched (queue, START_MS);
  for (unsigned i = 0; i < G_N_ELEMENTS (items); i++)
    CU_ASSERT_EQUAL (dl_wait_queue_push (queue, &items[i], &late,
                                         i < 3 ? START_MS : later_ms),
                     DL_WAIT_QUEUED);
  CU_ASSERT_EQUAL (dl_wait_queue_push (queue, &first, &urgent, later_ms), DL_WAIT_QUEUED);
  CU_ASSERT_PTR_EQUAL (dl_wait_queue_after (queue, NULL), &first);
  CU_ASSERT_PTR_EQUAL (dl_wait_queue_expired (queue, later_ms), &items[1]);
  CU_ASSERT_PTR_EQUAL (dl_wait_queue_expired (queue, later_ms), &items[2]);
  CU_ASSERT_PTR_NULL (dl_wait_queue_expired (queue, later_ms));
  talloc_free (queue);
}

/* Guards against ranks above the highest priority being treated alike: three priorities
 * of organisations and four of routes make twelve ranks. */
static void
test_high_ranks_are_told_apart (void)
{
  DlWaitQueue *queue = dl_wait_queue_new (NULL);
  const DlWaitClass last = { .is_ranked = true, .priority = 11, .target_ms = 1000 };
  const DlWaitClass other = { .is_ranked = true, .priority = 10, .target_ms = 1000 };
  int first, second;

  for (unsigned i = 0; i < DL_WAIT_RATE_WINDOW_MS / 20; i++)
    dl_wait_queue_dispatched (queue, START_MS);
  CU_ASSERT_EQUAL (dl_wait_queue_push (queue, &second, &last, START_MS), DL_WAIT_QUEUED);
  CU_ASSERT_EQUAL (dl_wait_queue_push (queue, &first, &other, START_MS), DL_WAIT_QUEUED);
  CU_ASSERT_PTR_EQUAL (dl_wait_queue_after (queue, NULL), &first);
  talloc_free (queue);
}

/* -------- the order at engines -------- */

static void
test_engine_order (void)
{
  DlEngineOrder off = { .rank = 2, .prompt_tokens = 5000, .usual_prompt_tokens = 900 };
  DlEngineOrder o = { .by_rank = true, .by_size = true, .usual_prompt_tokens = 900 };
  unsigned last = 0;

  CU_ASSERT_FALSE (dl_engine_order_applies (&off));
  for (unsigned rank = 0; rank < 3; rank++)
    for (unsigned size = 0; size < 2; size++)
      {
        unsigned place;

        o.rank = rank;
        o.prompt_tokens = 900 + 900 * size;
        place = dl_engine_order_place (&o);
        CU_ASSERT (rank + size == 0 || place > last);
        CU_ASSERT (place <= DL_ENGINE_ORDER_LAST);
        last = place;
      }
  o.rank = 9;
  CU_ASSERT_EQUAL (dl_engine_order_place (&o), DL_ENGINE_ORDER_LAST);
}

/* -------- the pace of machines -------- */

/* Guards against a figure that is taken for true long after it was told. */
static void
test_machine_pace (void)
{
  DlMachinePace pace = { 0 };

  CU_ASSERT_DOUBLE_EQUAL (dl_machine_pace_at (&pace, START_MS), 1, 0.001);
  dl_machine_pace_told (&pace, 0, START_MS);
  CU_ASSERT_FALSE (dl_machine_pace_is_told (&pace));
  dl_machine_pace_told (&pace, 300, START_MS);
  CU_ASSERT_DOUBLE_EQUAL (dl_machine_pace_at (&pace, START_MS), 3, 0.001);
  CU_ASSERT_DOUBLE_EQUAL (dl_machine_pace_at (&pace, START_MS + DL_MACHINE_PACE_HALF_MS),
                          2, 0.001);
  CU_ASSERT_DOUBLE_EQUAL (dl_machine_pace_at (&pace, START_MS + 5000), 1, 0.001);
  dl_machine_pace_told (&pace, 4000000, START_MS);
  CU_ASSERT_DOUBLE_EQUAL (dl_machine_pace_at (&pace, START_MS), 20, 0.001);
}

/* -------- when callers return -------- */

/* Guards against callers who are told to return into the same outage, or later than they
 * do. */
static void
test_return_time (void)
{
  for (uint64_t random = 0; random < 5000; random += 7)
    {
      uint64_t ms = dl_availability_return_ms (6000, random);

      CU_ASSERT (ms < 2000 && ms >= 1200);
    }
  CU_ASSERT_EQUAL (dl_availability_return_ms (0, 5), 0);
}

/* -------- what requests hold -------- */

static void
test_held_bytes (void)
{
  DlHeldBytes held = { .max = 100000 };

  CU_ASSERT_TRUE (dl_held_bytes_change (&held, 0, DL_HELD_FREE_BYTES));
  CU_ASSERT_EQUAL (held.bytes, 0);
  CU_ASSERT_TRUE (dl_held_bytes_change (&held, DL_HELD_FREE_BYTES, 60000));
  CU_ASSERT_EQUAL (held.bytes, 60000);
  CU_ASSERT_FALSE (dl_held_bytes_change (&held, 0, 40001));
  CU_ASSERT_TRUE (dl_held_bytes_change (&held, 0, 40000));
  CU_ASSERT_FALSE (dl_held_bytes_change (&held, 0, DL_HELD_FREE_BYTES + 1));
  CU_ASSERT_TRUE (dl_held_bytes_change (&held, 0, 1000));
  CU_ASSERT_TRUE (dl_held_bytes_change (&held, 60000, 0));
  CU_ASSERT_EQUAL (held.bytes, 40000);
}

static const CU_TestInfo overload_tests[] = {
  { "ranks of routes", test_ranks_of_routes },
  { "urgent requests", test_urgent_requests_are_served_as_often },
  { "less urgent requests", test_less_urgent_requests_are_not_starved },
  { "refused requests", test_refused_requests_do_not_delay_others },
  { "high ranks", test_high_ranks_are_told_apart },
  { "the order at engines", test_engine_order },
  { "the pace of machines", test_machine_pace },
  { "when callers return", test_return_time },
  { "what requests hold", test_held_bytes },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("overload", overload_tests)
