/* Random days of a fleet of entries whose upstreams crash on a prompt part, or by faults
 * of their own. */
#include <glib.h>
#include <stdio.h>
#include <talloc.h>

#include "quarantine_driver.h"
#include "unit.h"

#define ENTRIES   8
#define UPSTREAMS 24
#define START_MS  100000
/* Times between which entries exchange their records, and after which these arrive. */
#define EXCHANGE_MS 40
#define DELAY_MS    20
/* As the users state it: at most so many requests with a part that crashes upstreams are
 * sent later than this after the fifth crash. */
#define STABLE_WINDOW_MS 3000
#define CRASHES          5
#define SENT_MAX         3
/* A fleet of entries and upstreams in steps of STEP_MS.  Requests last REQUEST_MS; one
 * with the bad part crashes its upstream soon after it began. */
#define STEP_MS     10
#define REQUEST_MS  1000
#define POISON_MS   60
#define DOWN_MS     4000
#define RUNNING_MAX 2000
#define FIRST_PARTS 60
#define BODIES      50 /* of sound requests, and of bad ones */

typedef struct
{
  bool used;
  bool is_poison;
  bool is_trial;
  unsigned entry;
  unsigned upstream;
  uint64_t began_ms;
  DlSignatures parts;
} RunningRequest;

typedef struct
{
  DlQuarantine *entries[ENTRIES];
  uint64_t up_from_ms[UPSTREAMS];
  uint64_t instance[UPSTREAMS];
  uint64_t instances;
  RunningRequest running[RUNNING_MAX];
  GRand *random;
  uint64_t now_ms;
  unsigned crashes;   /* by the bad part */
  uint64_t fifth_ms;  /* when it caused the fifth one; 0 before */
  unsigned sent_late; /* with the bad part, later than STABLE_WINDOW_MS after it */
  unsigned sound;     /* requests without the bad part */
  unsigned refused;   /* of those */
} Fleet;

static void
fleet_crash (Fleet *f, unsigned upstream)
{
  f->up_from_ms[upstream] = f->now_ms + DOWN_MS;
  for (unsigned i = 0; i < RUNNING_MAX; i++)
    {
      RunningRequest *r = &f->running[i];

      if (!r->used || r->upstream != upstream)
        continue;
      r->used = false;
      quarantine_break_off (f->entries[r->entry], &r->parts, f->instance[upstream],
                            r->is_trial, f->now_ms);
    }
  f->instance[upstream] = ++f->instances;
}

/* A random upstream that is up, or -1. */
static int
fleet_pick (Fleet *f)
{
  for (unsigned i = 0; i < UPSTREAMS; i++)
    {
      int u = g_rand_int_range (f->random, 0, UPSTREAMS);

      if (f->up_from_ms[u] <= f->now_ms)
        return u;
    }
  return -1;
}

static void
fleet_send (Fleet *f, bool is_poison)
{
  char first[16];
  char body[32];
  DlSignatures whole;
  RunningRequest r = { .used = true, .is_poison = is_poison, .began_ms = f->now_ms };
  int upstream = fleet_pick (f);
  DlQuarantineDecision decision;
  const DlSignature *part;
  uint64_t retry_ms;

  g_snprintf (first, sizeof first, "first-%d",
              g_rand_int_range (f->random, 0, FIRST_PARTS));
  r.parts = quarantine_parts (first, is_poison ? "bad" : "");
  g_snprintf (body, sizeof body, "%s %d", is_poison ? "bad" : "sound",
              g_rand_int_range (f->random, 0, BODIES));
  whole = quarantine_whole (body);
  dl_signatures_add_whole (&r.parts, whole.ids[0]);
  r.entry = (unsigned)g_rand_int_range (f->random, 0, ENTRIES);
  f->sound += !is_poison;
  decision
      = dl_quarantine_admit (f->entries[r.entry], &r.parts, f->now_ms, &part, &retry_ms);
  r.is_trial = decision == DL_QUARANTINE_TRIAL;
  if (decision == DL_QUARANTINE_REFUSE)
    {
      f->refused += !is_poison;
      return;
    }
  if (upstream < 0)
    return;
  f->sent_late
      += is_poison && f->fifth_ms != 0 && f->now_ms > f->fifth_ms + STABLE_WINDOW_MS;
  r.upstream = (unsigned)upstream;
  for (unsigned i = 0; i < RUNNING_MAX; i++)
    if (!f->running[i].used)
      {
        f->running[i] = r;
        return;
      }
}

static void
fleet_finish (Fleet *f)
{
  DlQuarantineNews news;

  for (unsigned i = 0; i < RUNNING_MAX; i++)
    {
      RunningRequest *r = &f->running[i];

      if (!r->used)
        continue;
      if (r->is_poison && f->now_ms >= r->began_ms + POISON_MS)
        {
          if (++f->crashes == CRASHES)
            f->fifth_ms = f->now_ms;
          fleet_crash (f, r->upstream);
        }
      else if (f->now_ms >= r->began_ms + REQUEST_MS)
        {
          r->used = false;
          quarantine_serve (f->entries[r->entry], &r->parts, f->now_ms, &news);
        }
    }
}

static void
fleet_judge (Fleet *f)
{
  DlQuarantineNews news;

  for (unsigned i = 0; i < ENTRIES; i++)
    dl_quarantine_judge (f->entries[i], f->now_ms, &news);
}

/* Each entry tells each other one; one datagram in fifty is lost. */
static void
fleet_exchange (Fleet *f)
{
  for (unsigned a = 0; a < ENTRIES; a++)
    {
      if (!dl_quarantine_take_changed (f->entries[a]) && f->now_ms % 500 != 0)
        continue;
      for (unsigned b = 0; b < ENTRIES; b++)
        if (a != b && g_rand_int_range (f->random, 0, 50) > 0)
          quarantine_tell (f->entries[a], f->entries[b], f->now_ms, f->now_ms + DELAY_MS);
    }
}

static Fleet *
fleet_new (uint32_t seed)
{
  Fleet *f = g_new0 (Fleet, 1);

  f->random = g_rand_new_with_seed (seed);
  f->now_ms = START_MS;
  for (unsigned i = 0; i < ENTRIES; i++)
    {
      f->entries[i] = dl_quarantine_new (NULL);
      dl_quarantine_set_turns (f->entries[i], (int)i, ENTRIES);
    }
  for (unsigned i = 0; i < UPSTREAMS; i++)
    f->instance[i] = ++f->instances;
  return f;
}

static void
fleet_free (Fleet *f)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    talloc_free (f->entries[i]);
  g_rand_free (f->random);
  g_free (f);
}

/* Plays DURATION_MS with RATE sound and POISON_RATE bad requests a second. */
static void
fleet_play (Fleet *f, uint64_t duration_ms, unsigned rate, unsigned poison_rate)
{
  for (uint64_t end_ms = f->now_ms + duration_ms; f->now_ms < end_ms;
       f->now_ms += STEP_MS)
    {
      unsigned chance = 1000 / STEP_MS;

      for (unsigned i = 0; i < rate / chance + 1; i++)
        if (g_rand_int_range (f->random, 0, (int)(rate / chance + 1) * (int)chance)
            < (int)rate)
          fleet_send (f, false);
      if (g_rand_int_range (f->random, 0, (int)chance) < (int)poison_rate)
        fleet_send (f, true);
      fleet_finish (f);
      if (f->now_ms % EXCHANGE_MS == 0)
        {
          fleet_judge (f);
          fleet_exchange (f);
        }
      if (f->now_ms % 1000 == 0)
        for (unsigned i = 0; i < ENTRIES; i++)
          quarantine_expire (f->entries[i], f->now_ms);
    }
}

static void
test_fleet_stops_sending_a_part_that_crashes_upstreams (void)
{
  static const unsigned rates[] = { 20, 60, 180 };
  uint32_t first = unit_first_seed ("fleet with a bad part", 1);

  for (uint32_t seed = first; seed < first + 9; seed++)
    {
      Fleet *f = fleet_new (seed);

      fleet_play (f, 5000, rates[seed % 3], 0);
      fleet_play (f, 60000, rates[seed % 3], 2 + 5 * (seed / 3 % 3));
      CU_ASSERT_TRUE (f->fifth_ms == 0 || f->sent_late <= SENT_MAX);
      CU_ASSERT_TRUE (f->crashes < 20);
      /* Of the sound ones hardly any is refused. */
      CU_ASSERT_TRUE (f->refused * 20 < f->sound);
      if (f->sent_late > SENT_MAX || f->crashes >= 20 || f->refused * 20 >= f->sound)
        g_print ("seed %u: %u late, %u crashes, %u of %u refused\n", seed, f->sent_late,
                 f->crashes, f->refused, f->sound);
      fleet_free (f);
    }
}

/* Crashes in a row, a lost rack, and a loss of power. */
static void
play_ordinary_faults (Fleet *f, unsigned rate)
{
  for (unsigned i = 0; i < 12; i++)
    {
      fleet_crash (f, i % UPSTREAMS);
      fleet_play (f, 400, rate, 0);
    }
  for (unsigned i = 0; i < UPSTREAMS / 3; i++)
    fleet_crash (f, i);
  fleet_play (f, 2000, rate, 0);
  for (unsigned i = 0; i < UPSTREAMS; i++)
    fleet_crash (f, i);
  fleet_play (f, 6000, rate, 0);
}

static void
test_fleet_serves_sound_requests_through_ordinary_faults (void)
{
  uint32_t first = unit_first_seed ("fleet with ordinary faults", 1);

  for (uint32_t seed = first; seed < first + 9; seed++)
    {
      Fleet *f = fleet_new (seed);
      unsigned rate = 40 << seed % 3;

      fleet_play (f, 5000, rate, 0);
      play_ordinary_faults (f, rate);
      CU_ASSERT_TRUE (f->refused * 100 < f->sound);
      if (f->refused * 100 >= f->sound)
        g_print ("seed %u: %u of %u refused\n", seed, f->refused, f->sound);
      fleet_free (f);
    }
}

static const CU_TestInfo quarantine_fleet_tests[] = {
  { "fleet with a bad part", test_fleet_stops_sending_a_part_that_crashes_upstreams },
  { "fleet with ordinary faults",
    test_fleet_serves_sound_requests_through_ordinary_faults },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("quarantine fleets", quarantine_fleet_tests)
