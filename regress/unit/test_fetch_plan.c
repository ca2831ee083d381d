/*
 * Tests of fetch plans: the plans of many hosts are simulated together in steps of a few
 * milliseconds, with the speeds of the first site's links of the origin and the hosts.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "policy/fetch_plan.h"
#include "unit.h"

#define CHUNKS          64
#define HOSTS_MAX       40
#define STEP_MS         5
#define ORIGIN_CHUNK_MS 27 /* time of a chunk on the origin's link */
#define LEAF_CHUNK_MS   35 /* time of a chunk on the link of a leaf */
#define ANNOUNCE_MS     45 /* between announcements of the chunks that hosts have */
#define RUN_MS          20000
#define BITMAP_BYTES    (CHUNKS / 8)

typedef struct
{
  unsigned hubs;
  unsigned leaves;
  uint64_t origin_down_from_ms;
  uint64_t origin_down_to_ms;
  uint64_t hub_death_ms; /* of the first hub; 0: never */
} Scenario;

typedef struct
{
  bool busy;
  bool refused; /* the origin was unavailable when it began */
  int peer;     /* index of the host; -1 for the origin */
  unsigned index;
  uint64_t done_ms;
} Transfer;

typedef struct
{
  char name[16];
  char region[8];
  bool is_hub;
  bool dead;
  DlFetchPlan *plan;
  Transfer transfers[DL_FETCH_PARALLEL_HUB];
  uint64_t link_idle_ms; /* when its link is idle again */
  uint64_t complete_ms;
} Host;

static Host hosts[HOSTS_MAX];
static unsigned host_count;
static uint64_t origin_idle_ms;
static unsigned origin_fetches;

static bool
origin_is_down (const Scenario *scenario, uint64_t now_ms)
{
  return now_ms >= scenario->origin_down_from_ms && now_ms < scenario->origin_down_to_ms;
}

static int
find_host (const char *name)
{
  for (unsigned i = 0; i < host_count; i++)
    if (strcmp (hosts[i].name, name) == 0)
      return (int)i;
  return -1;
}

static void
start_transfer (const Scenario *scenario, Host *h, const DlFetch *fetch, uint64_t now_ms)
{
  Transfer *f = h->transfers;
  uint64_t ready_ms = now_ms;

  while (f->busy)
    f++;
  *f = (Transfer){ .busy = true, .peer = -1, .index = fetch->index };
  if (fetch->peer != NULL)
    f->peer = find_host (fetch->peer);
  else if (origin_is_down (scenario, now_ms))
    f->refused = true;
  else
    {
      origin_idle_ms = MAX (origin_idle_ms, now_ms) + ORIGIN_CHUNK_MS;
      ready_ms = origin_idle_ms;
      origin_fetches++;
    }
  if (!h->is_hub)
    {
      h->link_idle_ms = MAX (h->link_idle_ms, now_ms) + LEAF_CHUNK_MS;
      ready_ms = MAX (ready_ms, h->link_idle_ms);
    }
  f->done_ms = MAX (ready_ms, now_ms + STEP_MS);
}

static void
end_transfer (const Scenario *scenario, Host *h, Transfer *f, uint64_t now_ms)
{
  bool lost = f->refused
              || (f->peer >= 0 ? hosts[f->peer].dead : origin_is_down (scenario, now_ms));

  f->busy = false;
  if (lost)
    {
      dl_fetch_plan_failed (h->plan, f->index,
                            f->peer < 0 ? DL_FETCH_ORIGIN_BACKOFF_MS
                                        : DL_FETCH_FAILED_BACKOFF_MS,
                            now_ms);
      return;
    }
  dl_fetch_plan_arrived (h->plan, f->index);
  if (dl_fetch_plan_missing (h->plan) == 0)
    h->complete_ms = now_ms;
}

static void
announce_chunks (uint64_t now_ms)
{
  for (unsigned i = 0; i < host_count; i++)
    for (unsigned j = 0; j < host_count; j++)
      {
        bool same_region = strcmp (hosts[i].region, hosts[j].region) == 0;

        if (i == j || hosts[j].dead)
          continue;
        if (hosts[i].dead)
          dl_fetch_plan_remove_peer (hosts[j].plan, hosts[i].name);
        else if (hosts[i].is_hub ? (hosts[j].is_hub || same_region) : !hosts[j].is_hub)
          dl_fetch_plan_set_peer (hosts[j].plan, hosts[i].name, hosts[i].region,
                                  hosts[i].is_hub, dl_fetch_plan_bitmap (hosts[i].plan));
      }
}

static void
step_host (const Scenario *scenario, Host *h, GRand *random, uint64_t now_ms)
{
  DlFetch fetch;

  for (unsigned f = 0; f < DL_FETCH_PARALLEL_HUB; f++)
    if (h->transfers[f].busy && h->transfers[f].done_ms <= now_ms)
      end_transfer (scenario, h, &h->transfers[f], now_ms);
  while (dl_fetch_plan_next (h->plan, now_ms, g_rand_int (random), &fetch))
    start_transfer (scenario, h, &fetch, now_ms);
}

static void
make_hosts (const Scenario *scenario, void *context)
{
  static const char *const regions[] = { "a", "b", "c" };

  memset (hosts, 0, sizeof hosts);
  host_count = scenario->hubs + scenario->leaves;
  origin_idle_ms = 0;
  origin_fetches = 0;
  for (unsigned i = 0; i < host_count; i++)
    {
      Host *h = &hosts[i];

      h->is_hub = i < scenario->hubs;
      g_snprintf (h->name, sizeof h->name, "%s-%u", h->is_hub ? "hub" : "leaf", i);
      g_strlcpy (h->region, regions[i % G_N_ELEMENTS (regions)], sizeof h->region);
      h->plan = dl_fetch_plan_new (context, &(DlFetchPlanOptions){
                                                .host = h->name,
                                                .region = h->region,
                                                .model = "m",
                                                .version = 2,
                                                .chunks = CHUNKS,
                                                .is_hub = h->is_hub,
                                                .started_ms = 1,
                                                .origin_chunk_us = ORIGIN_CHUNK_MS * 1000,
                                            });
    }
}

/* Simulates RUN_MS; returns when the last live host was complete. */
static uint64_t
run_scenario (const Scenario *scenario, uint32_t seed)
{
  void *context = talloc_new (NULL);
  GRand *random = g_rand_new_with_seed (seed);
  uint64_t last_ms = 0;

  make_hosts (scenario, context);
  for (uint64_t now_ms = 1; now_ms < RUN_MS; now_ms += STEP_MS)
    {
      if (scenario->hub_death_ms != 0 && now_ms >= scenario->hub_death_ms)
        hosts[0].dead = true;
      if (now_ms % ANNOUNCE_MS < STEP_MS)
        announce_chunks (now_ms);
      for (unsigned i = 0; i < host_count; i++)
        if (!hosts[i].dead)
          step_host (scenario, &hosts[i], random, now_ms);
    }
  for (unsigned i = 0; i < host_count; i++)
    {
      if (hosts[i].dead)
        continue;
      CU_ASSERT (hosts[i].complete_ms > 0);
      last_ms = MAX (last_ms, hosts[i].complete_ms);
    }
  g_rand_free (random);
  talloc_free (context);
  return last_ms;
}

typedef struct
{
  const char *name;
  Scenario scenario;
  uint64_t last_max_ms;        /* when the last host must be complete; 0: any time */
  unsigned origin_fetches_max; /* fetches from the origin */
} PlanCase;

/* With hubs a leaf only receives, so that it needs the time of one copy on its link after
 * the first chunks have arrived. */
static const PlanCase plan_cases[] = {
  { "hubs", { .hubs = 8, .leaves = 27 }, 3200, CHUNKS + 8 },
  { "no hubs", { .leaves = 27 }, 0, 2 * CHUNKS },
  { "a hub dies", { .hubs = 8, .leaves = 27, .hub_death_ms = 600 }, 6000, 2 * CHUNKS },
  { "the origin is unavailable",
    { .hubs = 8, .leaves = 27, .origin_down_from_ms = 500, .origin_down_to_ms = 6500 },
    10500,
    CHUNKS + CHUNKS / 2 },
  { "one hub", { .hubs = 1, .leaves = 5 }, 0, 2 * CHUNKS },
};

static void
test_scenarios (void)
{
  uint32_t seed = unit_first_seed ("fetch plan", 1);

  for (size_t i = 0; i < G_N_ELEMENTS (plan_cases); i++)
    for (uint32_t s = 0; s < 3; s++)
      {
        const PlanCase *c = &plan_cases[i];
        uint64_t last_ms = run_scenario (&c->scenario, seed + s);

        if ((c->last_max_ms > 0 && last_ms > c->last_max_ms)
            || origin_fetches > c->origin_fetches_max)
          g_print ("%s, seed %u: whole after %" G_GUINT64_FORMAT " ms, %u draws\n",
                   c->name, seed + s, last_ms, origin_fetches);
        CU_ASSERT (c->last_max_ms == 0 || last_ms <= c->last_max_ms);
        CU_ASSERT (origin_fetches <= c->origin_fetches_max);
      }
}

static void
test_lost_chunk_is_fetched_again (void)
{
  DlFetchPlan *plan = dl_fetch_plan_new (NULL, &(DlFetchPlanOptions){
                                                   .host = "a",
                                                   .region = "r",
                                                   .model = "m",
                                                   .version = 1,
                                                   .chunks = 1,
                                                   .is_hub = true,
                                                   .started_ms = 1,
                                               });
  DlFetch fetch;

  CU_ASSERT_TRUE (dl_fetch_plan_next (plan, 10, 0, &fetch));
  CU_ASSERT_PTR_NULL (fetch.peer);
  CU_ASSERT_FALSE (dl_fetch_plan_next (plan, 10, 0, &fetch));
  dl_fetch_plan_arrived (plan, 0);
  CU_ASSERT_TRUE (dl_fetch_plan_holds (plan, 0));
  dl_fetch_plan_lost (plan, 0);
  CU_ASSERT_EQUAL (dl_fetch_plan_missing (plan), 1);
  CU_ASSERT_TRUE (dl_fetch_plan_next (plan, 20, 0, &fetch));
  talloc_free (plan);
}

/* -------- cost by the number of hosts -------- */

#define COST_EVENTS 2000
#define COST_RUNS   30
/* Hosts that are compared, and how much dearer an event may be among the more numerous:
 * as the logarithm of their number, doubled. */
#define COST_FEW_HOSTS  100
#define COST_MANY_HOSTS 1500
#define COST_RATIO_MAX  3.2

static int64_t
processor_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

/* Processor time of COST_EVENTS announcements of hosts, each with the choice of what to
 * fetch next: a leaf among HOST_COUNT others of which a tenth are hubs. */
static int64_t
event_cost_ns (unsigned hosts_known)
{
  DlFetchPlan *plan = dl_fetch_plan_new (NULL, &(DlFetchPlanOptions){
                                                   .host = "self",
                                                   .region = "region-0",
                                                   .model = "m",
                                                   .version = 2,
                                                   .chunks = CHUNKS,
                                                   .started_ms = 1,
                                                   .origin_chunk_us = 27000,
                                               });
  uint8_t bits[BITMAP_BYTES] = { 0 };
  char name[16];
  char region[16];
  int64_t started_ns = 0;

  for (unsigned n = 0; n < hosts_known + COST_EVENTS; n++)
    {
      unsigned host = n % hosts_known;
      DlFetch fetch;

      if (n == hosts_known)
        started_ns = processor_ns ();
      g_snprintf (name, sizeof name, "host-%u", host);
      g_snprintf (region, sizeof region, "region-%u", host % 5);
      bits[n / hosts_known % BITMAP_BYTES] |= (uint8_t)(1u << (host % 8));
      dl_fetch_plan_set_peer (plan, name, region, host % 10 == 0,
                              dl_str_bytes (bits, sizeof bits));
      if (n >= hosts_known && dl_fetch_plan_next (plan, 100, n, &fetch))
        dl_fetch_plan_failed (plan, fetch.index, 1, 50);
    }
  started_ns = processor_ns () - started_ns;
  talloc_free (plan);
  return started_ns;
}

/* What an announcement of another host costs hardly depends on how many hosts there are:
 * each of hundreds is announced several times a second.  The sizes take turns, so that
 * other processes' use of the caches bears on both. */
static void
test_cost_of_an_event (void)
{
  int64_t few_ns = INT64_MAX;
  int64_t many_ns = INT64_MAX;
  double ratio;

  for (unsigned i = 0; i < COST_RUNS; i++)
    {
      few_ns = MIN (few_ns, event_cost_ns (COST_FEW_HOSTS));
      many_ns = MIN (many_ns, event_cost_ns (COST_MANY_HOSTS));
    }
  ratio = (double)many_ns / (double)few_ns;

  if (ratio > COST_RATIO_MAX)
    g_print ("an event costs %.1f times as much among %d hosts as among %d\n", ratio,
             COST_MANY_HOSTS, COST_FEW_HOSTS);
  CU_ASSERT (ratio <= COST_RATIO_MAX);
}

/* -------- the manifest -------- */

#define HOSTS_OF_KIND_MAX 64
#define FAST_MS           200

/* Number of requests of all hosts of one kind from the announcement of the version until
 * UNTIL_MS, while the origin never responds. */
static unsigned
count_requests (bool is_hub, bool has_hubs, unsigned hosts_of_kind, uint64_t until_ms)
{
  char names[HOSTS_OF_KIND_MAX][16];
  unsigned requests = 0;

  for (unsigned i = 0; i < hosts_of_kind; i++)
    g_snprintf (names[i], sizeof names[i], "host-%u", i);
  for (unsigned i = 0; i < hosts_of_kind; i++)
    {
      const char *others[HOSTS_OF_KIND_MAX];
      DlManifestSchedule schedule = {
        .host = names[i],
        .is_hub = is_hub,
        .others = others,
        .has_hubs = has_hubs,
        .model = "m",
        .version = 2,
      };

      for (unsigned k = 0; k < hosts_of_kind; k++)
        if (k != i)
          others[schedule.other_count++] = names[k];
      for (uint64_t at_ms = dl_manifest_first_delay_ms (&schedule); at_ms < until_ms;
           at_ms += dl_manifest_interval_ms (&schedule))
        requests++;
    }
  return requests;
}

typedef struct
{
  bool is_hub;
  bool has_hubs;
  unsigned hosts_of_kind;
  uint64_t until_ms;
  unsigned requests_max;
} RequestCase;

/* The origin accepts 48 connections, and a request while it is down occupies one for half
 * a second. */
static const RequestCase request_cases[] = {
  { true, true, 42, FAST_MS, 2 },      { true, true, 8, FAST_MS, 2 },
  { true, true, 42, 60000, 60 * 20 },  { true, true, 8, 60000, 60 * 20 },
  { true, true, 1, 60000, 60 * 20 },   { false, true, 58, 3000, 0 },
  { false, true, 58, 60000, 60 * 20 }, { false, false, 58, 700, 0 },
};

static void
test_manifest_schedule (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (request_cases); i++)
    {
      const RequestCase *c = &request_cases[i];

      CU_ASSERT (count_requests (c->is_hub, c->has_hubs, c->hosts_of_kind, c->until_ms)
                 <= c->requests_max);
    }
  CU_ASSERT_EQUAL (count_requests (true, true, 42, 1), 1);
  CU_ASSERT (count_requests (false, false, 58, 2 * DL_MANIFEST_NO_HUBS_DELAY_MS) > 0);
}

static const CU_TestInfo tests[] = {
  { "schedule of manifest requests", test_manifest_schedule },
  { "cost of an event by the number of hosts", test_cost_of_an_event },
  { "simulation of many hosts", test_scenarios },
  { "a lost chunk", test_lost_chunk_is_fetched_again },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("fetch plan", tests)
