/*
 * Tests of load balancing and queueing: tables of cases, and a simulation of the heaviest
 * load of the first site with several entries that share upstreams.
 */
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "policy/balance.h"
#include "policy/wait_queue.h"
#include "unit.h"

#define CAPACITY 4
#define NOW_MS   10000

/* -------- tables -------- */

typedef struct
{
  const char *name;
  DlUpstreamLoad load;
  double estimate; /* with two entries */
  bool has_room;
} LoadCase;

static const LoadCase load_cases[] = {
  { "never reported", { .capacity = CAPACITY, .in_flight = 1 }, 2, true },
  { "never reported, the others' share fills it",
    { .capacity = CAPACITY, .in_flight = 2 },
    4,
    false },
  { "reported",
    { .capacity = CAPACITY, .reported = 3, .share = 1, .reported_ms = NOW_MS - 100 },
    3,
    true },
  { "reported, the free slot is another entry's",
    { .capacity = CAPACITY, .reported = 3, .reported_ms = NOW_MS - 100 },
    3,
    false },
  { "sent since the report",
    { .capacity = CAPACITY,
      .reported = 3,
      .share = 1,
      .reported_ms = NOW_MS,
      .in_flight = 1,
      .sent_since = 1 },
    4,
    false },
  { "ended since the report",
    { .capacity = CAPACITY, .reported = 4, .reported_ms = NOW_MS, .ended_since = 2 },
    2,
    true },
  { "never fewer than its own",
    { .capacity = CAPACITY,
      .reported = 0,
      .share = 1,
      .reported_ms = NOW_MS,
      .in_flight = 3 },
    3,
    true },
  { "an old report is ignored",
    { .capacity = CAPACITY,
      .reported = 4,
      .reported_ms = NOW_MS - DL_BALANCE_REPORT_MAX_AGE_MS - 1 },
    0,
    true },
  { "a relayed report counts for longer",
    { .capacity = CAPACITY,
      .is_relayed = true,
      .reported = 4,
      .share = 1,
      .reported_ms = NOW_MS - DL_BALANCE_REPORT_MAX_AGE_MS - 1 },
    4,
    true },
  { "nothing is sent where relays tell no load",
    { .capacity = CAPACITY,
      .is_relayed = true,
      .reported = 4,
      .reported_ms = NOW_MS - DL_BALANCE_RELAYED_MAX_AGE_MS - 1 },
    0,
    false },
};

/* Entries of other regions count less, in a large fleet even less, and one at least
 * shares. */
static DlWaitDecision
push (DlWaitQueue *queue,
      void *item,
      unsigned priority,
      uint64_t target_ms,
      uint64_t now_ms)
{
  DlWaitClass class = { .priority = priority, .target_ms = target_ms };

  return dl_wait_queue_push (queue, item, &class, now_ms);
}

static void
test_sharing_entries (void)
{
  CU_ASSERT_EQUAL (dl_balance_sharing_entries (3, 5, false), 4);
  CU_ASSERT_EQUAL (dl_balance_sharing_entries (30, 119, true), 35);
  CU_ASSERT_EQUAL (dl_balance_sharing_entries (0, 3, false), 1);
}

static void
test_estimates (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (load_cases); i++)
    {
      const LoadCase *c = &load_cases[i];

      CU_ASSERT_EQUAL (dl_balance_estimate (&c->load, 2, NOW_MS), c->estimate);
      CU_ASSERT_EQUAL (dl_balance_has_room (&c->load, 2, NOW_MS), c->has_room);
    }
}

typedef struct
{
  const char *name;
  DlUpstreamLoad loads[3];
  DlBalanceCandidate candidates[3]; /* without their loads */
  int chosen;
  bool wait_for_others;
} ChoiceCase;

#define FREE                                                \
  {                                                         \
    .capacity = CAPACITY, .share = 1, .reported_ms = NOW_MS \
  }
#define FULL                                                          \
  {                                                                   \
    .capacity = CAPACITY, .reported = CAPACITY, .reported_ms = NOW_MS \
  }

static const ChoiceCase choice_cases[] = {
  { "the free one",
    { FULL, FREE, FULL },
    { { .allowed = true }, { .allowed = true }, { .allowed = true } },
    1 },
  { "none free",
    { FULL, FULL, FULL },
    { { .allowed = true }, { .allowed = true }, { .allowed = true } },
    -EBUSY },
  { "none allowed", { FREE, FREE, FREE }, { { 0 } }, -ENOENT },
  { "the one in the same data centre",
    { FREE, FREE, FREE },
    { { .allowed = true },
      { .allowed = true },
      { .allowed = true, .same_data_center = true } },
    2 },
  { "the one that failed it when no other is free",
    { FREE, FULL, FULL },
    { { .allowed = true, .avoided = true, .same_data_center = true },
      { .allowed = true },
      { .allowed = true } },
    0 },
  { "another than the one that failed it",
    { FREE, FREE, FULL },
    { { .allowed = true, .avoided = true, .same_data_center = true },
      { .allowed = true },
      { .allowed = true } },
    1 },
  { "waits for another than the one that failed it",
    { FREE, FULL, FULL },
    { { .allowed = true, .avoided = true }, { .allowed = true }, { .allowed = true } },
    -EBUSY,
    .wait_for_others = true },
  { "the one that failed it when no other may get requests",
    { FREE, FREE, FULL },
    { { .allowed = true, .avoided = true }, { 0 }, { 0 } },
    0,
    .wait_for_others = true },
  { "not the one that holds it, even if no other is free",
    { FREE, FULL, FULL },
    { { .allowed = true, .replaced = true }, { .allowed = true }, { .allowed = true } },
    -EBUSY },
  { "one that failed it rather than the one that holds it",
    { FREE, FREE, FULL },
    { { .allowed = true, .replaced = true },
      { .allowed = true, .avoided = true },
      { .allowed = true } },
    1 },
  { "not the one that fails often",
    { { .capacity = CAPACITY, .share = 1, .reported_ms = NOW_MS, .failure_rate = 0.4 },
      { .capacity = CAPACITY, .reported = 2, .share = 1, .reported_ms = NOW_MS },
      FULL },
    { { .allowed = true }, { .allowed = true }, { .allowed = true } },
    1 },
  { "not the slow one",
    { { .capacity = CAPACITY, .share = 1, .reported_ms = NOW_MS, .pace = 5 },
      { .capacity = CAPACITY, .reported = 2, .share = 1, .reported_ms = NOW_MS },
      FULL },
    { { .allowed = true }, { .allowed = true }, { .allowed = true } },
    1 },
};

static void
test_choices (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (choice_cases); i++)
    for (uint64_t random = 0; random < 50; random++)
      {
        const ChoiceCase *c = &choice_cases[i];
        DlBalanceCandidate candidates[3];

        for (size_t k = 0; k < 3; k++)
          {
            candidates[k] = c->candidates[k];
            candidates[k].load = &c->loads[k];
          }
        CU_ASSERT_EQUAL (dl_balance_choose (candidates, 3,
                                            &(DlBalanceQuery){ .entries = 1,
                                                               .now_ms = NOW_MS,
                                                               .wait_for_others
                                                               = c->wait_for_others,
                                                               .random = random * 7919 }),
                         c->chosen);
      }
}

/* -------- the queue -------- */

static void
test_queue_order (void)
{
  DlWaitQueue *queue = dl_wait_queue_new (NULL);
  const uint64_t patience_ms = 3000 / DL_WAIT_TARGET_DIVISOR;
  int first, second, urgent;

  CU_ASSERT_EQUAL (push (queue, &first, 2, 3000, 1000), DL_WAIT_QUEUED);
  for (uint64_t i = 0; i < 50; i++)
    dl_wait_queue_dispatched (queue, 1000);
  CU_ASSERT_EQUAL (push (queue, &second, 2, 3000, 1005), DL_WAIT_QUEUED);
  CU_ASSERT_EQUAL (push (queue, &urgent, 0, 3000, 1010), DL_WAIT_QUEUED);
  CU_ASSERT_PTR_EQUAL (dl_wait_queue_after (queue, NULL), &urgent);
  dl_wait_queue_remove (queue, &urgent);
  CU_ASSERT_PTR_EQUAL (dl_wait_queue_after (queue, NULL), &first);
  CU_ASSERT_PTR_NULL (dl_wait_queue_expired (queue, 999 + patience_ms));
  CU_ASSERT_PTR_EQUAL (dl_wait_queue_expired (queue, 1000 + patience_ms), &first);
  CU_ASSERT_EQUAL (dl_wait_queue_length (queue), 1);
  talloc_free (queue);
}

/* A request that would wait too long is refused on arrival. */
static void
test_queue_refuses_at_once (void)
{
  DlWaitQueue *queue = dl_wait_queue_new (NULL);
  int items[200];
  unsigned queued = 0;

  for (unsigned i = 0; i < 100; i++) /* ten slots became free in the last second */
    if (i % 10 == 0)
      dl_wait_queue_dispatched (queue, 2000 + i * 10);
  for (unsigned i = 0; i < G_N_ELEMENTS (items); i++)
    queued += push (queue, &items[i], 1, 2000, 3000) == DL_WAIT_QUEUED;
  /* A fifth of the target is 400 ms, in which four slots become free. */
  CU_ASSERT (queued >= 4 && queued <= 6);
  CU_ASSERT (dl_wait_queue_retry_ms (queue, 0, 3000) >= DL_WAIT_RETRY_MIN_MS);
  CU_ASSERT (dl_wait_queue_retry_ms (queue, 12345, 3000) <= DL_WAIT_RETRY_MAX_MS);
  talloc_free (queue);
}

/* After a quiet time, request slots are expected to become free as fast as responses have
 * made some free; without a response, as slowly as they were filled. */
static void
test_queue_after_quiet (void)
{
  const uint64_t quiet_ms = 10 * DL_WAIT_RATE_WINDOW_MS;
  DlWaitQueue *queue = dl_wait_queue_new (NULL);
  DlWaitQueue *filled = dl_wait_queue_new (NULL);
  int items[3];

  dl_wait_queue_dispatched (queue, 1000); /* long before */
  for (unsigned i = 0; i < 6; i++)        /* requests of 20 ms */
    {
      dl_wait_queue_dispatched (queue, quiet_ms + i * 20);
      dl_wait_queue_dispatched (filled, quiet_ms + i * 20);
      dl_wait_queue_responded (queue);
    }
  for (unsigned i = 0; i < G_N_ELEMENTS (items); i++)
    {
      CU_ASSERT_EQUAL (push (queue, &items[i], 1, 400, quiet_ms + 120), DL_WAIT_QUEUED);
      CU_ASSERT_EQUAL (push (filled, &items[i], 1, 400, quiet_ms + 120),
                       i == 0 ? DL_WAIT_QUEUED : DL_WAIT_REFUSED);
    }
  /* A fifth of the target is 80 ms, in which four slots become free. */
  CU_ASSERT (dl_wait_queue_retry_ms (queue, 0, quiet_ms + 120)
             <= DL_WAIT_RETRY_MIN_MS + 80);
  talloc_free (queue);
  talloc_free (filled);
}

/* Requests that may have run are never refused, go first and keep their own limit. */
static void
test_queue_of_begun (void)
{
  DlWaitQueue *queue = dl_wait_queue_new (NULL);
  int fresh, urgent, lost, lost_later;

  CU_ASSERT_EQUAL (push (queue, &fresh, 1, 400, 1000), DL_WAIT_QUEUED);
  CU_ASSERT_EQUAL (push (queue, &urgent, 0, 400, 1000), DL_WAIT_REFUSED);
  dl_wait_queue_push_begun (queue, &lost, 4000, 1010);
  dl_wait_queue_push_begun (queue, &lost_later, 3000, 1020);
  CU_ASSERT_PTR_EQUAL (dl_wait_queue_after (queue, NULL), &lost);
  CU_ASSERT_PTR_EQUAL (dl_wait_queue_after (queue, &lost), &lost_later);
  CU_ASSERT_PTR_EQUAL (dl_wait_queue_after (queue, &lost_later), &fresh);
  CU_ASSERT_PTR_NULL (dl_wait_queue_after (queue, &fresh));
  CU_ASSERT_PTR_EQUAL (dl_wait_queue_expired (queue, 1100), &fresh);
  CU_ASSERT_PTR_NULL (dl_wait_queue_expired (queue, 2999));
  CU_ASSERT_PTR_EQUAL (dl_wait_queue_expired (queue, 3000), &lost_later);
  CU_ASSERT_PTR_EQUAL (dl_wait_queue_expired (queue, 4000), &lost);
  talloc_free (queue);
}

/* -------- the heaviest load -------- */

#define ENTRIES    8
#define UPSTREAMS  16
#define SLOTS      16
#define SERVICE_MS 1000 /* for which a request holds a slot */
#define RATE_PER_S 330  /* over 1.25 times what the slots serve */
#define RUN_MS     15000
#define REPORT_MS  100
#define TARGET_MS  400

typedef struct
{
  unsigned running;
  unsigned queued_max; /* requests beyond its slots */
} Upstream;

typedef struct
{
  unsigned upstream;
  unsigned entry;
  uint64_t ends_ms;
} Running;

typedef struct
{
  DlUpstreamLoad loads[UPSTREAMS];
  DlWaitQueue *queue;
} Entry;

typedef struct
{
  GRand *random;
  Upstream upstreams[UPSTREAMS];
  Entry entries[ENTRIES];
  GArray *running; /* of Running */
  uint64_t arrivals[RUN_MS / 1000 * RATE_PER_S + RATE_PER_S];
  unsigned arrived, served, refused, refused_late;
  bool least_loaded; /* baseline: always the least loaded by the last report */
} Simulation;

static int
choose_upstream (Simulation *sim, Entry *e, uint64_t now_ms)
{
  DlBalanceCandidate candidates[UPSTREAMS];
  int best = -EBUSY;

  for (unsigned u = 0; u < UPSTREAMS; u++)
    {
      candidates[u] = (DlBalanceCandidate){ .load = &e->loads[u], .allowed = true };
      if (sim->least_loaded && e->loads[u].reported < SLOTS
          && (best < 0 || e->loads[u].reported < e->loads[best].reported))
        best = (int)u;
    }
  if (sim->least_loaded)
    return best;
  return dl_balance_choose (candidates, UPSTREAMS,
                            &(DlBalanceQuery){ .entries = ENTRIES,
                                               .now_ms = now_ms,
                                               .random = g_rand_int (sim->random) });
}

static bool
dispatch (Simulation *sim, unsigned entry, uint64_t now_ms)
{
  Entry *e = &sim->entries[entry];
  int u = choose_upstream (sim, e, now_ms);
  Running r = { .entry = entry, .ends_ms = now_ms + SERVICE_MS };

  if (u < 0)
    return false;
  r.upstream = (unsigned)u;
  dl_balance_sent (&e->loads[u], 0);
  dl_wait_queue_dispatched (e->queue, now_ms);
  sim->upstreams[u].running++;
  sim->upstreams[u].queued_max
      = MAX (sim->upstreams[u].queued_max,
             sim->upstreams[u].running > SLOTS ? sim->upstreams[u].running - SLOTS : 0);
  g_array_append_val (sim->running, r);
  sim->served++;
  return true;
}

static void
arrive (Simulation *sim, uint64_t now_ms)
{
  unsigned entry = (unsigned)g_rand_int_range (sim->random, 0, ENTRIES);
  uint64_t *at = &sim->arrivals[sim->arrived++];

  *at = now_ms;
  if (dl_wait_queue_length (sim->entries[entry].queue) == 0
      && dispatch (sim, entry, now_ms))
    return;
  if (push (sim->entries[entry].queue, at, 1, TARGET_MS, now_ms) == DL_WAIT_REFUSED)
    sim->refused++;
}

static void
end_running (Simulation *sim, uint64_t now_ms)
{
  for (guint i = 0; i < sim->running->len;)
    {
      const Running *r = &g_array_index (sim->running, Running, i);

      if (r->ends_ms > now_ms)
        {
          i++;
          continue;
        }
      sim->upstreams[r->upstream].running--;
      dl_balance_ended (&sim->entries[r->entry].loads[r->upstream], 0, true, false);
      g_array_remove_index_fast (sim->running, i);
    }
}

static void
step (Simulation *sim, uint64_t now_ms)
{
  end_running (sim, now_ms);
  for (unsigned e = 0; e < ENTRIES; e++)
    {
      DlWaitQueue *queue = sim->entries[e].queue;
      uint64_t *at;

      for (unsigned u = 0; now_ms % REPORT_MS == e && u < UPSTREAMS; u++)
        dl_balance_report (&sim->entries[e].loads[u], sim->upstreams[u].running, ENTRIES,
                           g_rand_int (sim->random), now_ms);
      while ((at = dl_wait_queue_after (queue, NULL)) != NULL
             && dispatch (sim, e, now_ms))
        dl_wait_queue_remove (queue, at);
      while ((at = dl_wait_queue_expired (queue, now_ms)) != NULL)
        {
          sim->refused++;
          sim->refused_late += now_ms - *at > TARGET_MS / 2;
        }
    }
}

static void
simulate (Simulation *sim, uint32_t seed)
{
  void *context = talloc_new (NULL);

  sim->random = g_rand_new_with_seed (seed);
  sim->running = g_array_new (FALSE, FALSE, sizeof (Running));
  for (unsigned e = 0; e < ENTRIES; e++)
    {
      sim->entries[e].queue = dl_wait_queue_new (context);
      for (unsigned u = 0; u < UPSTREAMS; u++)
        sim->entries[e].loads[u].capacity = SLOTS;
    }
  for (uint64_t now_ms = 1; now_ms < RUN_MS; now_ms++)
    {
      step (sim, now_ms);
      if (g_rand_int_range (sim->random, 0, 1000) < RATE_PER_S)
        arrive (sim, now_ms);
    }
  g_array_free (sim->running, TRUE);
  g_rand_free (sim->random);
  talloc_free (context);
}

static unsigned
longest_queue (const Simulation *sim)
{
  unsigned longest = 0;

  for (unsigned u = 0; u < UPSTREAMS; u++)
    longest = MAX (longest, sim->upstreams[u].queued_max);
  return longest;
}

/* Nearly all slots are used, hardly any request queues at an upstream, and none is
 * refused late.  The baseline always takes the least loaded upstream, which sends all
 * entries to the same one. */
static void
test_heaviest_load (void)
{
  uint32_t seed = unit_first_seed ("balance", 1);
  Simulation *sim = g_new0 (Simulation, 1);
  Simulation *baseline = g_new0 (Simulation, 1);
  const double most = UPSTREAMS * SLOTS * (RUN_MS / (double)SERVICE_MS);

  simulate (sim, seed);
  baseline->least_loaded = true;
  simulate (baseline, seed);
  if (longest_queue (sim) > SLOTS / 4 || sim->served <= 0.9 * most)
    g_print ("served %u of %g, at most %u beyond the places (baseline %u)\n", sim->served,
             most, longest_queue (sim), longest_queue (baseline));
  CU_ASSERT (sim->served > 0.9 * most);
  CU_ASSERT (longest_queue (sim) <= SLOTS / 4);
  CU_ASSERT (longest_queue (baseline) > longest_queue (sim));
  CU_ASSERT_EQUAL (sim->refused_late, 0);
  CU_ASSERT (sim->served + sim->refused + ENTRIES * 8 >= sim->arrived);
  g_free (sim);
  g_free (baseline);
}

/* A few slots of an engine stay free, none of a small one. */
static void
test_usable_slots (void)
{
  CU_ASSERT_EQUAL (dl_balance_usable_slots (16), 14);
  CU_ASSERT_EQUAL (dl_balance_usable_slots (12), 11);
  CU_ASSERT_EQUAL (dl_balance_usable_slots (4), 4);
  CU_ASSERT_EQUAL (dl_balance_usable_slots (0), 1);
}

static const CU_TestInfo tests[] = {
  { "entries that share an upstream", test_sharing_entries },
  { "estimates of load", test_estimates },
  { "choices", test_choices },
  { "slots that are left free", test_usable_slots },
  { "order of the queue", test_queue_order },
  { "refused at once", test_queue_refuses_at_once },
  { "queue: requests after a quiet time", test_queue_after_quiet },
  { "queue: requests that may have run go first", test_queue_of_begun },
  { "the heaviest load", test_heaviest_load },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("balance", tests)
