/* Tests of sharing an upstream's limit of requests among entries. */
#include <glib.h>

#include "policy/rate_limit.h"
#include "unit.h"

#define START_MS 100000

typedef struct
{
  const char *name;
  double limit_per_s;
  unsigned wanting; /* of the entries, the first ones; the last one has the best score */
  unsigned entries;
  unsigned self;
  DlRateShare share;
} ShareCase;

static const ShareCase share_cases[] = {
  { "alone", 1.4, 1, 1, 0, { true, 1 } },
  { "all want, all hold", 1.5, 8, 8, 0, { true, 8 } },
  { "one in eight is over the holders", 1.4, 8, 8, 0, { false, 8 } },
  { "the others hold", 1.4, 8, 8, 1, { true, 7 } },
  { "a low limit", 0.2, 8, 8, 3, { true, 5 } },
  { "the only one that wants", 0.2, 1, 8, 0, { true, 1 } },
  { "one of two that want", 2, 2, 8, 1, { true, 2 } },
  { "idle, among the holders", 2, 2, 8, 7, { true, 8 } },
  { "a large fleet", 1.4, 390, 390, 0, { false, 390 } },
  { "a large fleet, best score", 1.4, 390, 390, 389, { true, 7 } },
  { "a limit that allows all", 1000, 390, 390, 0, { true, 390 } },
};

static void
test_shares (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (share_cases); i++)
    {
      const ShareCase *c = &share_cases[i];
      DlRateEntry *entries = g_new0 (DlRateEntry, c->entries);
      DlRateShare share;

      for (unsigned n = 0; n < c->entries; n++)
        entries[n] = (DlRateEntry){ .wants = n < c->wanting, .score = n };
      share = dl_rate_share (entries, c->entries, c->self, c->limit_per_s);
      CU_ASSERT_EQUAL (share.holds, c->share.holds);
      CU_ASSERT_EQUAL (share.divisor, c->share.divisor);
      if (share.holds != c->share.holds || share.divisor != c->share.divisor)
        g_print ("%s: holds %d, divisor %u\n", c->name, share.holds, share.divisor);
      g_free (entries);
    }
}

static void
set_share (DlRateLimit *limit, bool holds, unsigned divisor, uint64_t random)
{
  dl_rate_limit_set_share (limit, (DlRateShare){ .holds = holds, .divisor = divisor },
                           START_MS, random);
}

static void
test_requests_are_spaced (void)
{
  DlRateLimit limit = dl_rate_limit_init ();

  CU_ASSERT_EQUAL (dl_rate_limit_wait_ms (&limit, START_MS), 0);
  CU_ASSERT_TRUE (dl_rate_limit_named (&limit, 2, START_MS, true, START_MS));
  set_share (&limit, true, 4, 0);
  CU_ASSERT_EQUAL (dl_rate_limit_wait_ms (&limit, START_MS), 0);
  dl_rate_limit_sent (&limit, START_MS);
  CU_ASSERT_EQUAL (dl_rate_limit_wait_ms (&limit, START_MS + 1), 1999);
  CU_ASSERT_EQUAL (dl_rate_limit_wait_ms (&limit, START_MS + 2000), 0);
  CU_ASSERT_TRUE (dl_rate_limit_named (&limit, 4, START_MS + 500, true, START_MS));
  CU_ASSERT_EQUAL (dl_rate_limit_wait_ms (&limit, START_MS + 1000), 0);
}

static void
test_entries_that_learn_together_do_not_send_together (void)
{
  DlRateLimit limit = dl_rate_limit_init ();

  dl_rate_limit_named (&limit, 2, START_MS, true, START_MS);
  set_share (&limit, true, 4, 500000);
  CU_ASSERT_EQUAL (dl_rate_limit_wait_ms (&limit, START_MS), 1000);
}

static void
test_older_word_changes_nothing (void)
{
  DlRateLimit limit = dl_rate_limit_init ();

  dl_rate_limit_named (&limit, 2, START_MS, true, START_MS);
  CU_ASSERT_FALSE (
      dl_rate_limit_named (&limit, DL_RATE_NONE, START_MS - 1, true, START_MS));
  CU_ASSERT_EQUAL (limit.limit_per_s, 2);
  CU_ASSERT_TRUE (
      dl_rate_limit_named (&limit, DL_RATE_NONE, START_MS + 1, false, START_MS));
  CU_ASSERT_EQUAL (dl_rate_limit_wait_ms (&limit, START_MS + 1), 0);
}

static void
test_entry_without_share_learns_of_the_end (void)
{
  DlRateLimit limit = dl_rate_limit_init ();

  dl_rate_limit_named (&limit, 1, START_MS, false, START_MS);
  set_share (&limit, false, 8, 0);
  CU_ASSERT_EQUAL (dl_rate_limit_wait_ms (&limit, START_MS), DL_RATE_UNHEARD_MS);
  dl_rate_limit_named (&limit, DL_RATE_NONE, START_MS + 10, false, START_MS + 20);
  CU_ASSERT_EQUAL (dl_rate_limit_wait_ms (&limit, START_MS + 20), 0);
}

/* When nobody hears from the upstream, as its holders have nothing to send. */
static void
test_entry_without_share_tries_when_nobody_heard (void)
{
  DlRateLimit limit = dl_rate_limit_init ();

  dl_rate_limit_named (&limit, 1, START_MS, false, START_MS);
  set_share (&limit, false, 8, 0);
  CU_ASSERT_EQUAL (dl_rate_limit_wait_ms (&limit, START_MS + DL_RATE_UNHEARD_MS), 0);
  dl_rate_limit_sent (&limit, START_MS + DL_RATE_UNHEARD_MS);
  CU_ASSERT_EQUAL (dl_rate_limit_wait_ms (&limit, START_MS + DL_RATE_UNHEARD_MS + 1),
                   7999);
}

/* -------- fleets -------- */

#define STEP_MS         10
#define PLAY_MS         60000
#define TELL_MS         500 /* between two statuses of an entry */
#define DELAY_MS        40  /* until the others have one */
#define ANSWER_MS       60  /* until the upstream's answer arrives */
#define WANTS_MS        10000
#define TELL_WANTS_MS   1000
#define SHARE_MS        200
#define STABLE_MS       3000 /* from when on the users count */
#define LOAD_MAX_PER_S  400  /* of all entries */
#define RESTART_AFTER_S 20

/* When the entries have requests. */
typedef enum
{
  DEMAND_ALL,
  DEMAND_ONE,
  DEMAND_SPARSE, /* each has one now and then */
  DEMAND_WAKING, /* half have none for a long time, then all do at once */
  DEMAND_KINDS,
} Demand;

typedef struct
{
  DlRateLimit limit;
  uint64_t score;
  uint64_t wanted_ms;       /* last request; 0: none */
  uint64_t wanted_since_ms; /* first one after a long time without any */
  uint64_t answer_ms;       /* an answer arrives then; 0: none is due */
  uint64_t restart_ms;      /* last restart; what it sends soon after does not count */
  bool told_wants;          /* what the others know of it */
  uint64_t told_ms;
} FleetEntry;

typedef struct
{
  FleetEntry *entries;
  unsigned count;
  double limit_per_s;
  Demand demand;
  bool restarts;
  GRand *random;
  GArray *arrivals; /* times at the upstream that count */
  unsigned sent;
  unsigned most; /* arrivals in a window */
} RateFleet;

static double
demand_per_s (const RateFleet *f, unsigned entry, uint64_t at_ms)
{
  double each = MIN ((double)LOAD_MAX_PER_S / f->count, 20);

  switch (f->demand)
    {
    case DEMAND_ALL:
      return each;
    case DEMAND_ONE:
      return entry == 0 ? each : 0;
    case DEMAND_SPARSE:
      return f->limit_per_s / 2 / f->count;
    case DEMAND_WAKING:
      return entry % 2 == 0 || at_ms > PLAY_MS / 2 ? each : 0;
    case DEMAND_KINDS:
      break;
    }
  return 0;
}

static bool
entry_wants (const FleetEntry *e, uint64_t now_ms)
{
  return e->wanted_ms != 0 && now_ms <= e->wanted_ms + WANTS_MS;
}

static void
fleet_share (RateFleet *f, unsigned self, uint64_t now_ms)
{
  DlRateEntry *entries = g_new0 (DlRateEntry, f->count);
  FleetEntry *e = &f->entries[self];

  for (unsigned i = 0; i < f->count; i++)
    entries[i] = (DlRateEntry){ .wants = f->entries[i].told_wants,
                                .score = f->entries[i].score };
  entries[self].wants
      = entry_wants (e, now_ms) && now_ms >= e->wanted_since_ms + TELL_WANTS_MS;
  if (e->limit.limit_per_s >= 0)
    dl_rate_limit_set_share (&e->limit,
                             dl_rate_share (entries, f->count, self, f->limit_per_s),
                             now_ms, g_rand_int (f->random));
  g_free (entries);
}

static void
fleet_arrive (RateFleet *f, const FleetEntry *e, uint64_t now_ms)
{
  f->sent++;
  if (now_ms < START_MS + STABLE_MS || now_ms < e->restart_ms + STABLE_MS)
    return;
  g_array_append_val (f->arrivals, now_ms);
  while (g_array_index (f->arrivals, uint64_t, 0) + DL_RATE_WINDOW_S * 1000 < now_ms)
    g_array_remove_index (f->arrivals, 0);
  f->most = MAX (f->most, f->arrivals->len);
}

static void
entry_step (RateFleet *f, unsigned index, uint64_t now_ms)
{
  FleetEntry *e = &f->entries[index];
  double chance = demand_per_s (f, index, now_ms - START_MS) * STEP_MS / 1000;

  if (e->answer_ms != 0 && now_ms >= e->answer_ms)
    {
      dl_rate_limit_named (&e->limit, f->limit_per_s, now_ms, true, now_ms);
      e->answer_ms = 0;
      fleet_share (f, index, now_ms);
    }
  if (now_ms >= e->told_ms + TELL_MS)
    {
      e->told_ms = now_ms;
      e->told_wants = entry_wants (e, now_ms);
    }
  if (now_ms % SHARE_MS == 0)
    fleet_share (f, index, now_ms);
  if (g_rand_double (f->random) >= chance)
    return;
  if (!entry_wants (e, now_ms))
    e->wanted_since_ms = now_ms;
  e->wanted_ms = now_ms;
  if (dl_rate_limit_wait_ms (&e->limit, now_ms) > 0)
    return;
  dl_rate_limit_sent (&e->limit, now_ms);
  e->answer_ms = now_ms + ANSWER_MS;
  fleet_arrive (f, e, now_ms);
}

/* All learn of the limit from the first answer of any of them. */
static void
fleet_tell (RateFleet *f, uint64_t now_ms)
{
  uint64_t newest_ms = 0;

  for (unsigned i = 0; i < f->count; i++)
    newest_ms = MAX (newest_ms, f->entries[i].limit.named_ms);
  if (newest_ms == 0 || now_ms < newest_ms + DELAY_MS)
    return;
  for (unsigned i = 0; i < f->count; i++)
    if (dl_rate_limit_named (&f->entries[i].limit, f->limit_per_s, newest_ms, false,
                             now_ms))
      fleet_share (f, i, now_ms);
}

static void
fleet_restart_one (RateFleet *f, uint64_t now_ms)
{
  FleetEntry *e = &f->entries[g_rand_int_range (f->random, 0, (gint32)MAX (f->count, 1))];

  *e = (FleetEntry){ .limit = dl_rate_limit_init (),
                     .score = e->score,
                     .restart_ms = now_ms };
}

static void
rate_fleet_play (RateFleet *f, uint32_t seed)
{
  f->random = g_rand_new_with_seed (seed);
  f->arrivals = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  f->entries = g_new0 (FleetEntry, f->count);
  for (unsigned i = 0; i < f->count; i++)
    f->entries[i]
        = (FleetEntry){ .limit = dl_rate_limit_init (), .score = g_rand_int (f->random) };
  for (uint64_t now_ms = START_MS; now_ms < START_MS + PLAY_MS; now_ms += STEP_MS)
    {
      for (unsigned i = 0; i < f->count; i++)
        entry_step (f, i, now_ms);
      fleet_tell (f, now_ms);
      if (f->restarts && now_ms % (RESTART_AFTER_S * 1000) == 0)
        fleet_restart_one (f, now_ms);
    }
  g_free (f->entries);
  g_array_free (f->arrivals, TRUE);
  g_rand_free (f->random);
}

static double
demand_in_all_per_s (const RateFleet *f)
{
  double sum = 0;

  for (unsigned i = 0; i < f->count; i++)
    sum += demand_per_s (f, i, 0);
  return sum;
}

/* Counts what is allowed as the users state it. */
static unsigned
allowed (double limit_per_s)
{
  return (unsigned)(DL_RATE_BURST_FACTOR * DL_RATE_WINDOW_S * limit_per_s
                    + DL_RATE_BURST);
}

static void
check_fleet (RateFleet *f, uint32_t seed)
{
  double seconds = PLAY_MS / 1000.0;
  bool is_steady = f->demand == DEMAND_ALL || f->demand == DEMAND_ONE;
  bool within;
  bool used;

  rate_fleet_play (f, seed);
  within = f->most <= allowed (f->limit_per_s);
  /* With enough requests, at least half of what the limit allows is used. */
  used = !is_steady || f->restarts
         || f->sent >= MIN (f->limit_per_s, demand_in_all_per_s (f)) * seconds / 2 - 1;
  CU_ASSERT_TRUE (within);
  CU_ASSERT_TRUE (used);
  if (!within || !used)
    g_print ("seed %u: %u entries, limit %.2f, demand %d, restarts %d: %u in a window, "
             "allowed %u, %u sent\n",
             seed, f->count, f->limit_per_s, (int)f->demand, f->restarts, f->most,
             allowed (f->limit_per_s), f->sent);
}

static void
test_fleets_keep_to_the_limit (void)
{
  static const unsigned counts[] = { 1, 2, 8, 42 };
  static const double limits[] = { 0.1, 0.3, 1, 1.4, 3, 10, 50 };
  uint32_t seed = unit_first_seed ("fleets with a limit", 1);

  for (size_t c = 0; c < G_N_ELEMENTS (counts); c++)
    for (size_t l = 0; l < G_N_ELEMENTS (limits); l++)
      for (int d = 0; d < DEMAND_KINDS; d++)
        for (int restarts = 0; restarts < 2; restarts++)
          check_fleet (&(RateFleet){ .count = counts[c],
                                     .limit_per_s = limits[l],
                                     .demand = (Demand)d,
                                     .restarts = restarts != 0 },
                       seed++);
}

static const CU_TestInfo rate_limit_tests[] = {
  { "shares", test_shares },
  { "requests are spaced", test_requests_are_spaced },
  { "entries that learn together",
    test_entries_that_learn_together_do_not_send_together },
  { "older word", test_older_word_changes_nothing },
  { "entry without share, end of the limit", test_entry_without_share_learns_of_the_end },
  { "entry without share, nobody heard",
    test_entry_without_share_tries_when_nobody_heard },
  { "fleets with a limit", test_fleets_keep_to_the_limit },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("rate limit", rate_limit_tests)
