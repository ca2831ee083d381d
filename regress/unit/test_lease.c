/*
 * Tests of leases.  Random schedules run several processes against a small model of the
 * store, with differing clocks, pauses, and writes that are late, dropped or whose
 * response is lost.  At no time may two processes act; fences rise; a fenced holder's
 * writes are refused.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "policy/lease.h"
#include "unit.h"

#define NODES      4
#define TTL_MS     300
#define MARGIN_MS  60
#define STEPS      6000
#define SCHEDULES  60
#define TIMEOUT_MS 80 /* after which the response to a call counts as lost */

/* The object of the lease, and a work object that holders write under their fence. */
typedef struct
{
  uint64_t revision; /* of the whole store */
  uint64_t lease_revision;
  DlLeaseValue lease;
  uint64_t work_revision;
  uint64_t work_fence;
} Store;

typedef struct
{
  DlLease lease;
  uint64_t offset_ms; /* of its clock */
  uint64_t paused_until_ms;
  /* A write of the lease in transit, and its response. */
  bool writing;
  bool applied;
  bool responded;
  DlLeaseStep step;
  uint64_t arrives_ms;  /* UINT64_MAX: dropped */
  uint64_t response_ms; /* UINT64_MAX: lost */
  uint64_t gives_up_ms;
  DlLeaseOutcome outcome;
  uint64_t outcome_revision;
  /* A write of the work object in transit. */
  uint64_t work_arrives_ms; /* 0: none */
  uint64_t work_revision;
  uint64_t work_fence;
} Node;

static void
store_apply (Store *store, Node *n)
{
  n->applied = true;
  n->outcome = DL_LEASE_CONFLICT;
  if (store->lease_revision != n->step.revision)
    return;
  store->lease = n->step.value;
  store->lease_revision = ++store->revision;
  n->outcome = DL_LEASE_COMMITTED;
  n->outcome_revision = store->lease_revision;
}

static void
node_send (Node *n, const DlLeaseStep *step, GRand *rand, uint64_t now)
{
  n->writing = true;
  n->applied = n->responded = false;
  n->step = *step;
  n->arrives_ms = now + (uint64_t)g_rand_int_range (rand, 0, 30);
  if (g_rand_int_range (rand, 0, 20) == 0)
    n->arrives_ms = now + (uint64_t)g_rand_int_range (rand, 0, 3 * TTL_MS);
  if (g_rand_int_range (rand, 0, 20) == 0)
    n->arrives_ms = UINT64_MAX;
  n->response_ms = n->arrives_ms;
  if (n->arrives_ms != UINT64_MAX)
    n->response_ms += (uint64_t)g_rand_int_range (rand, 0, 30);
  if (g_rand_int_range (rand, 0, 10) == 0)
    n->response_ms = UINT64_MAX;
  n->gives_up_ms = now + TIMEOUT_MS;
}

/* Applies the writes that have arrived, also those of paused nodes. */
static void
store_step (Store *store, Node *n, uint64_t now)
{
  if (n->writing && !n->applied && now >= n->arrives_ms)
    store_apply (store, n);
  if (n->work_arrives_ms > 0 && now >= n->work_arrives_ms)
    {
      n->work_arrives_ms = 0;
      if (n->work_revision != store->work_revision)
        return; /* refused: another write came first */
      CU_ASSERT (n->work_fence >= store->work_fence);
      store->work_fence = n->work_fence;
      store->work_revision = ++store->revision;
    }
}

static void
node_step (Store *store, Node *n, GRand *rand, uint64_t now)
{
  uint64_t clock = now + n->offset_ms;
  DlLeaseStep step;

  if (n->writing && !n->responded && n->applied && now >= n->response_ms)
    {
      n->responded = true;
      dl_lease_write_done (&n->lease, clock, n->outcome, n->outcome_revision);
    }
  else if (n->writing && !n->responded && now >= n->gives_up_ms)
    {
      n->responded = true;
      dl_lease_write_done (&n->lease, clock, DL_LEASE_UNKNOWN, 0);
    }
  /* A write may still arrive after its sender has given up.  The model keeps one write
   * per node, so a node sends no other one until then. */
  if (n->writing && n->responded && (n->applied || n->arrives_ms == UINT64_MAX))
    n->writing = false;
  if (store->lease_revision > 0 && g_rand_int_range (rand, 0, 3) == 0)
    dl_lease_observe (&n->lease, clock, store->lease_revision, &store->lease);
  if (n->writing && n->lease.pending == DL_LEASE_WAIT)
    return;
  step = dl_lease_next (&n->lease, clock, g_rand_int_range (rand, 0, 200) != 0, 0,
                        store->work_fence);
  if (step.action == DL_LEASE_WRITE)
    node_send (n, &step, rand, now);
  else if (step.action == DL_LEASE_READ && g_rand_int_range (rand, 0, 3) > 0)
    dl_lease_read_done (&n->lease, clock, store->lease_revision,
                        store->lease_revision > 0 ? &store->lease : NULL);
  if (dl_lease_may_act (&n->lease, clock) && n->work_arrives_ms == 0
      && dl_lease_fence (&n->lease) >= store->work_fence)
    {
      n->work_revision = store->work_revision;
      n->work_fence = dl_lease_fence (&n->lease);
      n->work_arrives_ms = now + (uint64_t)g_rand_int_range (rand, 0, 2 * TTL_MS);
    }
}

/* Returns how often the lease changed hands. */
static unsigned
run_schedule (guint32 seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  Store store = { 0 };
  Node nodes[NODES] = { 0 };
  uint64_t fence = 0;
  int holder = -1;
  unsigned changes = 0;

  for (int i = 0; i < NODES; i++)
    {
      char name[] = { 'a', (char)('0' + i), 0 };

      dl_lease_init (&nodes[i].lease, name, name, TTL_MS, MARGIN_MS);
      nodes[i].offset_ms = (uint64_t)g_rand_int_range (rand, 0, 100000);
    }
  for (uint64_t now = 1; now < STEPS; now++)
    {
      int acting = -1;

      for (int i = 0; i < NODES; i++)
        {
          store_step (&store, &nodes[i], now);
          if (now < nodes[i].paused_until_ms)
            continue;
          if (g_rand_int_range (rand, 0, 400) == 0)
            nodes[i].paused_until_ms
                = now + (uint64_t)g_rand_int_range (rand, 0, 4 * TTL_MS);
          else
            node_step (&store, &nodes[i], rand, now);
        }
      for (int i = 0; i < NODES; i++)
        if (dl_lease_may_act (&nodes[i].lease, now + nodes[i].offset_ms))
          {
            CU_ASSERT_EQUAL (acting, -1);
            acting = i;
          }
      if (acting >= 0 && acting != holder)
        {
          CU_ASSERT (dl_lease_fence (&nodes[acting].lease) > fence);
          holder = acting;
          changes++;
        }
      if (acting >= 0)
        fence = MAX (fence, dl_lease_fence (&nodes[acting].lease));
    }
  g_rand_free (rand);
  return changes;
}

static void
test_schedules (void)
{
  guint32 seed = unit_first_seed ("lease schedules", 1);
  unsigned changes = 0;

  for (guint32 i = 0; i < SCHEDULES; i++)
    {
      unsigned before = CU_get_number_of_failures ();

      changes += run_schedule (seed + i);
      if (CU_get_number_of_failures () > before)
        {
          fprintf (stderr, "  lease schedule failed with UNIT_SEED=%u\n", seed + i);
          break;
        }
    }
  CU_ASSERT (changes > SCHEDULES * 3);
}

/* -------- cases -------- */

static const DlLeaseValue other
    = { .holder = "b", .nonce = "b", .fence = 4, .ttl_ms = 100 };

static void
test_takeover_waits (void)
{
  DlLease l;
  DlLeaseStep step;

  dl_lease_init (&l, "a", "a", 100, 20);
  dl_lease_observe (&l, 1000, 7, &other);
  CU_ASSERT_EQUAL (dl_lease_next (&l, 1120, true, 0, 0).action, DL_LEASE_WAIT);
  dl_lease_observe (&l, 1121, 8, &other); /* renewed */
  CU_ASSERT_EQUAL (dl_lease_next (&l, 1200, true, 0, 0).action, DL_LEASE_WAIT);
  CU_ASSERT_EQUAL (dl_lease_next (&l, 1242, true, 50, 0).action, DL_LEASE_WAIT);
  step = dl_lease_next (&l, 1242, true, 0, 0);
  CU_ASSERT_EQUAL (step.action, DL_LEASE_WRITE);
  CU_ASSERT_EQUAL (step.revision, 8);
  CU_ASSERT_EQUAL (step.value.fence, 5);
  dl_lease_write_done (&l, 1300, DL_LEASE_COMMITTED, 9);
  CU_ASSERT (dl_lease_may_act (&l, 1341));
  CU_ASSERT (!dl_lease_may_act (&l, 1342)); /* counted from when the write began */
}

static void
test_lost_response_is_read_back (void)
{
  DlLease l;
  DlLeaseStep step;

  dl_lease_init (&l, "a", "a", 100, 20);
  step = dl_lease_next (&l, 1000, true, 0, 6);
  CU_ASSERT_EQUAL (step.action, DL_LEASE_WRITE);
  CU_ASSERT_EQUAL (step.value.fence, 7);
  dl_lease_write_done (&l, 1010, DL_LEASE_UNKNOWN, 0);
  CU_ASSERT (!dl_lease_may_act (&l, 1010));
  CU_ASSERT_EQUAL (dl_lease_next (&l, 1011, true, 0, 6).action, DL_LEASE_READ);
  dl_lease_read_done (&l, 1020, 3, &step.value);
  CU_ASSERT (dl_lease_may_act (&l, 1020));
  CU_ASSERT (!dl_lease_may_act (&l, 1100));
  /* A holder whose fence is below the floor raises it at once. */
  step = dl_lease_next (&l, 1021, true, 0, 9);
  CU_ASSERT_EQUAL (step.action, DL_LEASE_WRITE);
  CU_ASSERT_EQUAL (step.value.fence, 10);
}

static void
test_paused_holder_loses_lease (void)
{
  DlLease l;

  dl_lease_init (&l, "a", "a", 100, 20);
  dl_lease_next (&l, 1000, true, 0, 0);
  dl_lease_write_done (&l, 1001, DL_LEASE_COMMITTED, 1);
  CU_ASSERT (!dl_lease_may_act (&l, 5000));
  dl_lease_observe (&l, 5000, 2, &other);
  CU_ASSERT_EQUAL (dl_lease_next (&l, 5001, true, 0, 0).action, DL_LEASE_WAIT);
}

static void
test_released_lease_is_free_at_once (void)
{
  DlLease l;
  DlLease next;
  DlLeaseStep step;

  dl_lease_init (&l, "a", "a", 100, 20);
  dl_lease_next (&l, 1000, true, 0, 0);
  dl_lease_write_done (&l, 1001, DL_LEASE_COMMITTED, 1);
  step = dl_lease_next (&l, 1002, false, 0, 0);
  CU_ASSERT_EQUAL (step.action, DL_LEASE_WRITE);
  CU_ASSERT (!dl_lease_may_act (&l, 1002));
  dl_lease_init (&next, "b", "b", 100, 20);
  dl_lease_observe (&next, 1003, 2, &step.value);
  step = dl_lease_next (&next, 1003, true, 0, 0);
  CU_ASSERT_EQUAL (step.action, DL_LEASE_WRITE);
  CU_ASSERT_EQUAL (step.value.fence, 2);
}

static const CU_TestInfo lease_tests[] = {
  { "takeover waits", test_takeover_waits },
  { "lost response", test_lost_response_is_read_back },
  { "paused holder", test_paused_holder_loses_lease },
  { "release", test_released_lease_is_free_at_once },
  { "random schedules", test_schedules },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("lease", lease_tests)
