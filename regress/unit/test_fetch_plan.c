/*
 * Who fetches which chunk: many plans run against each other in steps of a few
 * milliseconds, over an origin link and host links of the first site's speeds.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "policy/fetch_plan.h"
#include "unit.h"

#define CHUNKS       64
#define HOSTS_MAX    40
#define STEP_MS      5
#define ORIGIN_MS    27 /* that a chunk takes on the origin's link */
#define SMALL_MS     35 /* on the link of an upstream's host */
#define TELL_MS      45 /* until others know of a chunk */
#define RUN_MS       20000
#define BITMAP_BYTES (CHUNKS / 8)

typedef struct
{
  unsigned hubs;
  unsigned leaves;
  uint64_t origin_away_from_ms;
  uint64_t origin_away_to_ms;
  uint64_t hub_dies_ms; /* the first hub; 0: never */
} World;

typedef struct
{
  bool busy;
  bool refused; /* the origin was away when it began */
  int peer;     /* index of the host; -1 for the origin */
  unsigned index;
  uint64_t done_ms;
} Flow;

typedef struct
{
  char name[16];
  char region[8];
  bool is_hub;
  bool dead;
  DlFetchPlan *plan;
  Flow flows[DL_FETCH_PARALLEL_HUB];
  uint64_t down_free_ms; /* when its link is free again */
  uint64_t whole_ms;
} Host;

static Host hosts[HOSTS_MAX];
static unsigned host_count;
static uint64_t origin_free_ms;
static unsigned origin_draws;

static bool
origin_is_away (const World *world, uint64_t now_ms)
{
  return now_ms >= world->origin_away_from_ms && now_ms < world->origin_away_to_ms;
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
start_flow (const World *world, Host *h, const DlFetch *fetch, uint64_t now_ms)
{
  Flow *f = h->flows;
  uint64_t ready_ms = now_ms;

  while (f->busy)
    f++;
  *f = (Flow){ .busy = true, .peer = -1, .index = fetch->index };
  if (fetch->peer != NULL)
    f->peer = find_host (fetch->peer);
  else if (origin_is_away (world, now_ms))
    f->refused = true;
  else
    {
      origin_free_ms = MAX (origin_free_ms, now_ms) + ORIGIN_MS;
      ready_ms = origin_free_ms;
      origin_draws++;
    }
  if (!h->is_hub)
    {
      h->down_free_ms = MAX (h->down_free_ms, now_ms) + SMALL_MS;
      ready_ms = MAX (ready_ms, h->down_free_ms);
    }
  f->done_ms = MAX (ready_ms, now_ms + STEP_MS);
}

static void
end_flow (const World *world, Host *h, Flow *f, uint64_t now_ms)
{
  bool lost = f->refused
              || (f->peer >= 0 ? hosts[f->peer].dead : origin_is_away (world, now_ms));

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
    h->whole_ms = now_ms;
}

static void
tell_others (uint64_t now_ms)
{
  for (unsigned i = 0; i < host_count; i++)
    for (unsigned j = 0; j < host_count; j++)
      {
        bool near = strcmp (hosts[i].region, hosts[j].region) == 0;

        if (i == j || hosts[j].dead)
          continue;
        if (hosts[i].dead)
          dl_fetch_plan_remove_peer (hosts[j].plan, hosts[i].name);
        else if (hosts[i].is_hub ? (hosts[j].is_hub || near) : !hosts[j].is_hub)
          dl_fetch_plan_set_peer (hosts[j].plan, hosts[i].name, hosts[i].region,
                                  hosts[i].is_hub, dl_fetch_plan_bitmap (hosts[i].plan));
      }
}

static void
step_host (const World *world, Host *h, GRand *random, uint64_t now_ms)
{
  DlFetch fetch;

  for (unsigned f = 0; f < DL_FETCH_PARALLEL_HUB; f++)
    if (h->flows[f].busy && h->flows[f].done_ms <= now_ms)
      end_flow (world, h, &h->flows[f], now_ms);
  while (dl_fetch_plan_next (h->plan, now_ms, g_rand_int (random), &fetch))
    start_flow (world, h, &fetch, now_ms);
}

static void
make_hosts (const World *world, void *context)
{
  static const char *const regions[] = { "a", "b", "c" };

  memset (hosts, 0, sizeof hosts);
  host_count = world->hubs + world->leaves;
  origin_free_ms = 0;
  origin_draws = 0;
  for (unsigned i = 0; i < host_count; i++)
    {
      Host *h = &hosts[i];

      h->is_hub = i < world->hubs;
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
                                                .origin_chunk_us = ORIGIN_MS * 1000,
                                            });
    }
}

/* Runs until all are whole; returns when the last one was, 0 for never. */
static uint64_t
run_world (const World *world, uint32_t seed)
{
  void *context = talloc_new (NULL);
  GRand *random = g_rand_new_with_seed (seed);
  uint64_t last_ms = 0;

  make_hosts (world, context);
  for (uint64_t now_ms = 1; now_ms < RUN_MS; now_ms += STEP_MS)
    {
      if (world->hub_dies_ms != 0 && now_ms >= world->hub_dies_ms)
        hosts[0].dead = true;
      if (now_ms % TELL_MS < STEP_MS)
        tell_others (now_ms);
      for (unsigned i = 0; i < host_count; i++)
        if (!hosts[i].dead)
          step_host (world, &hosts[i], random, now_ms);
    }
  for (unsigned i = 0; i < host_count; i++)
    {
      if (hosts[i].dead)
        continue;
      CU_ASSERT (hosts[i].whole_ms > 0);
      last_ms = MAX (last_ms, hosts[i].whole_ms);
    }
  g_rand_free (random);
  talloc_free (context);
  return last_ms;
}

typedef struct
{
  const char *name;
  World world;
  uint64_t last_max_ms; /* 0: whenever */
  unsigned draws_max;   /* chunks that the origin may send */
} PlanCase;

/* With hubs an upstream's host only receives: the time is one copy on its link, after the
 * first chunks are here. */
static const PlanCase plan_cases[] = {
  { "hubs", { .hubs = 8, .leaves = 27 }, 3200, CHUNKS + 8 },
  { "no hubs", { .leaves = 27 }, 0, 2 * CHUNKS },
  { "a hub dies", { .hubs = 8, .leaves = 27, .hub_dies_ms = 600 }, 6000, 2 * CHUNKS },
  { "the origin is away",
    { .hubs = 8, .leaves = 27, .origin_away_from_ms = 500, .origin_away_to_ms = 6500 },
    10500,
    CHUNKS + CHUNKS / 2 },
  { "one hub", { .hubs = 1, .leaves = 5 }, 0, 2 * CHUNKS },
};

static void
test_worlds (void)
{
  uint32_t seed = unit_first_seed ("fetch plan", 1);

  for (size_t i = 0; i < G_N_ELEMENTS (plan_cases); i++)
    for (uint32_t s = 0; s < 3; s++)
      {
        const PlanCase *c = &plan_cases[i];
        uint64_t last_ms = run_world (&c->world, seed + s);

        if ((c->last_max_ms > 0 && last_ms > c->last_max_ms)
            || origin_draws > c->draws_max)
          g_print ("%s, seed %u: whole after %" G_GUINT64_FORMAT " ms, %u draws\n",
                   c->name, seed + s, last_ms, origin_draws);
        CU_ASSERT (c->last_max_ms == 0 || last_ms <= c->last_max_ms);
        CU_ASSERT (origin_draws <= c->draws_max);
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

/* -------- the manifest -------- */

#define ASKERS_MAX 64
#define FAST_MS    200

/* How often hosts of one kind ask, from the version's name until UNTIL_MS, as the origin
 * never answers. */
static unsigned
count_asks (bool is_hub, bool has_hubs, unsigned hosts_of_kind, uint64_t until_ms)
{
  char names[ASKERS_MAX][16];
  unsigned asks = 0;

  for (unsigned i = 0; i < hosts_of_kind; i++)
    g_snprintf (names[i], sizeof names[i], "host-%u", i);
  for (unsigned i = 0; i < hosts_of_kind; i++)
    {
      const char *others[ASKERS_MAX];
      DlManifestSchedule turn = {
        .host = names[i],
        .is_hub = is_hub,
        .others = others,
        .has_hubs = has_hubs,
        .model = "m",
        .version = 2,
      };

      for (unsigned k = 0; k < hosts_of_kind; k++)
        if (k != i)
          others[turn.other_count++] = names[k];
      for (uint64_t at_ms = dl_manifest_first_delay_ms (&turn); at_ms < until_ms;
           at_ms += dl_manifest_interval_ms (&turn))
        asks++;
    }
  return asks;
}

typedef struct
{
  bool is_hub;
  bool has_hubs;
  unsigned hosts_of_kind;
  uint64_t until_ms;
  unsigned asks_max;
} AskCase;

/* The origin takes 48 connections, and an ask of one that is down holds one for half a
 * second. */
static const AskCase ask_cases[] = {
  { true, true, 42, FAST_MS, 2 },      { true, true, 8, FAST_MS, 2 },
  { true, true, 42, 60000, 60 * 20 },  { true, true, 8, 60000, 60 * 20 },
  { true, true, 1, 60000, 60 * 20 },   { false, true, 58, 3000, 0 },
  { false, true, 58, 60000, 60 * 20 }, { false, false, 58, 700, 0 },
};

static void
test_manifest_turns (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (ask_cases); i++)
    {
      const AskCase *c = &ask_cases[i];

      CU_ASSERT (count_asks (c->is_hub, c->has_hubs, c->hosts_of_kind, c->until_ms)
                 <= c->asks_max);
    }
  CU_ASSERT_EQUAL (count_asks (true, true, 42, 1), 1);
  CU_ASSERT (count_asks (false, false, 58, 2 * DL_MANIFEST_NO_HUBS_DELAY_MS) > 0);
}

static const CU_TestInfo tests[] = {
  { "who asks for the manifest", test_manifest_turns },
  { "many hosts against each other", test_worlds },
  { "a lost chunk", test_lost_chunk_is_fetched_again },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("fetch plan", tests)
