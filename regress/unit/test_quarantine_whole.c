/* Tests of the quarantine of whole requests: random days of a fleet whose upstreams crash
 * under one request that comes again, or by faults of their own. */
#include <glib.h>
#include <stdio.h>
#include <talloc.h>

#include "quarantine_driver.h"
#include "unit.h"

#define ENTRIES       8
#define UPSTREAMS_MAX 24
#define RUNNING_MAX   2000
#define START_MS      100000
#define STEP_MS       10
#define SWEEP_MS      40
#define STATUS_MS     500
#define DOWN_MS       4000
#define STARTS_MS     1000 /* until an entry that starts takes requests */
#define POPULAR       40   /* identities of sound requests that come often */
#define ATTEMPTS_MAX  2
/* As the users state it: later than this after a request has crashed its third upstream,
 * machines that were in touch for so long send it at most SENT_MAX times. */
#define STABLE_WINDOW_MS 3000
#define CRASHES          3
#define SENT_MAX         3

/* A request at an upstream. */
typedef struct
{
  bool used;
  bool is_bad;
  bool is_trial;
  unsigned entry;
  unsigned upstream;
  unsigned attempts;
  uint64_t sent_ms;
  uint64_t ends_ms;
  DlSignatures signatures;
} RunningRequest;

/* Records on their way. */
typedef struct
{
  uint64_t at_ms;
  unsigned to;
  GBytes *packed;
} Datagram;

typedef struct
{
  DlQuarantine *entry[ENTRIES];
  uint64_t started_ms[ENTRIES];
  unsigned upstreams;
  uint64_t up_from_ms[UPSTREAMS_MAX];
  uint64_t instance[UPSTREAMS_MAX];
  uint64_t instances;
  RunningRequest running[RUNNING_MAX];
  GQueue datagrams; /* of Datagram */
  GRand *random;
  uint64_t now_ms;
  unsigned rate; /* sound requests a second */
  uint64_t bad_every_ms;
  uint64_t restart_every_ms; /* of one entry; 0: never */
  unsigned unique;           /* sound requests that came once */
  unsigned crashes;          /* by the bad request */
  uint64_t third_ms;         /* when it caused the third one; 0 before */
  unsigned sent_late;
  unsigned sound;
  unsigned refused; /* of those */
} Fleet;

static void fleet_attempt (Fleet *f, RunningRequest r);

/* A random upstream that is up, or -1. */
static int
fleet_pick (Fleet *f)
{
  unsigned first = (unsigned)g_rand_int_range (f->random, 0, (int)f->upstreams);

  for (unsigned i = 0; i < f->upstreams; i++)
    if (f->up_from_ms[(first + i) % f->upstreams] <= f->now_ms)
      return (int)((first + i) % f->upstreams);
  return -1;
}

static bool
fleet_may_retry (Fleet *f, const RunningRequest *r)
{
  return r->attempts < ATTEMPTS_MAX
         && dl_quarantine_allows_retry (f->entry[r->entry], &r->signatures, r->is_trial,
                                        DL_QUARANTINE_MAY_HAVE_RUN);
}

static void
fleet_crash (Fleet *f, unsigned upstream)
{
  uint64_t instance = f->instance[upstream];
  g_autoptr (GArray) broken = g_array_new (FALSE, FALSE, sizeof (RunningRequest));

  f->up_from_ms[upstream] = f->now_ms + DOWN_MS;
  f->instance[upstream] = ++f->instances;
  for (unsigned i = 0; i < RUNNING_MAX; i++)
    if (f->running[i].used && f->running[i].upstream == upstream)
      {
        f->running[i].used = false;
        g_array_append_val (broken, f->running[i]);
      }
  for (guint i = 0; i < broken->len; i++)
    {
      RunningRequest r = g_array_index (broken, RunningRequest, i);

      quarantine_break_off (f->entry[r.entry], &r.signatures, instance, r.is_trial,
                            f->now_ms);
      if (fleet_may_retry (f, &r))
        fleet_attempt (f, r);
    }
}

/* True when the entry was in touch for as long as it takes to count. */
static bool
in_touch (const Fleet *f, unsigned entry)
{
  return f->started_ms[entry] == 0
         || f->now_ms >= f->started_ms[entry] + STABLE_WINDOW_MS;
}

static void
fleet_attempt (Fleet *f, RunningRequest r)
{
  int upstream = fleet_pick (f);

  if (upstream < 0)
    return;
  if (r.is_bad && f->third_ms != 0 && f->now_ms > f->third_ms + STABLE_WINDOW_MS
      && in_touch (f, r.entry))
    f->sent_late++;
  r.used = true;
  r.upstream = (unsigned)upstream;
  r.attempts++;
  r.sent_ms = f->now_ms;
  if (r.is_trial)
    dl_quarantine_trial_sent (f->entry[r.entry], &r.signatures, f->now_ms);
  r.ends_ms = f->now_ms + (uint64_t)g_rand_int_range (f->random, 20, 150);
  for (unsigned i = 0; i < RUNNING_MAX; i++)
    if (!f->running[i].used)
      {
        f->running[i] = r;
        return;
      }
}

/* A random entry that takes requests. */
static unsigned
fleet_pick_entry (Fleet *f)
{
  for (;;)
    {
      unsigned e = (unsigned)g_rand_int_range (f->random, 0, ENTRIES);

      if (f->started_ms[e] == 0 || f->now_ms >= f->started_ms[e] + STARTS_MS)
        return e;
    }
}

static void
fleet_send (Fleet *f, bool is_bad)
{
  RunningRequest r = { .is_bad = is_bad, .entry = fleet_pick_entry (f) };
  const DlSignature *found;
  uint64_t retry_ms;
  char body[32];

  if (is_bad)
    g_snprintf (body, sizeof body, "bad");
  else if (g_rand_boolean (f->random))
    g_snprintf (body, sizeof body, "popular %d",
                g_rand_int_range (f->random, 0, POPULAR));
  else
    g_snprintf (body, sizeof body, "once %u", ++f->unique);
  r.signatures = quarantine_whole (body);
  f->sound += !is_bad;
  switch (dl_quarantine_admit (f->entry[r.entry], &r.signatures, f->now_ms, &found,
                               &retry_ms))
    {
    case DL_QUARANTINE_REFUSE:
      f->refused += !is_bad;
      return;
    case DL_QUARANTINE_TRIAL:
      r.is_trial = true;
      break;
    case DL_QUARANTINE_ALLOW:
      break;
    }
  fleet_attempt (f, r);
}

static void
fleet_finish (Fleet *f)
{
  DlQuarantineNews news;

  for (unsigned i = 0; i < RUNNING_MAX; i++)
    {
      RunningRequest *r = &f->running[i];

      if (!r->used || f->now_ms < r->ends_ms)
        continue;
      if (r->is_bad)
        {
          if (++f->crashes == CRASHES)
            f->third_ms = f->now_ms;
          fleet_crash (f, r->upstream);
          continue;
        }
      r->used = false;
      quarantine_serve (f->entry[r->entry], &r->signatures, f->now_ms, &news);
    }
}

/* One datagram in fifty is lost. */
static void
fleet_tell (Fleet *f, unsigned from)
{
  GBytes *packed = quarantine_pack (f->entry[from], f->now_ms);

  for (unsigned to = 0; to < ENTRIES; to++)
    if (to != from && g_rand_int_range (f->random, 0, 50) > 0)
      {
        Datagram *d = g_new (Datagram, 1);

        *d = (Datagram){ .at_ms
                         = f->now_ms + (uint64_t)g_rand_int_range (f->random, 5, 60),
                         .to = to,
                         .packed = g_bytes_ref (packed) };
        g_queue_push_tail (&f->datagrams, d);
      }
  g_bytes_unref (packed);
}

static void
datagram_free (gpointer data)
{
  Datagram *d = data;

  g_bytes_unref (d->packed);
  g_free (d);
}

static void
fleet_deliver (Fleet *f)
{
  GList *next;

  for (GList *at = f->datagrams.head; at != NULL; at = next)
    {
      Datagram *d = at->data;

      next = at->next;
      if (d->at_ms > f->now_ms)
        continue;
      quarantine_unpack (f->entry[d->to], d->packed, f->now_ms);
      datagram_free (d);
      g_queue_delete_link (&f->datagrams, at);
    }
}

static void
fleet_sweep (Fleet *f)
{
  DlQuarantineNews news;

  for (unsigned i = 0; i < ENTRIES; i++)
    {
      dl_quarantine_judge (f->entry[i], f->now_ms, &news);
      if (dl_quarantine_take_changed (f->entry[i])
          || (f->now_ms / SWEEP_MS + i) % (STATUS_MS / SWEEP_MS) == 0)
        fleet_tell (f, i);
      if (f->now_ms % 400 == 0)
        quarantine_expire (f->entry[i], f->now_ms);
    }
}

static void
fleet_start_entry (Fleet *f, unsigned entry)
{
  f->entry[entry] = dl_quarantine_new (NULL);
  dl_quarantine_set_turns (f->entry[entry], (int)entry, ENTRIES);
}

/* Kills an entry, whose requests end, and starts it anew. */
static void
fleet_restart_entry (Fleet *f, unsigned entry)
{
  for (unsigned i = 0; i < RUNNING_MAX; i++)
    if (f->running[i].entry == entry)
      f->running[i].used = false;
  talloc_free (f->entry[entry]);
  fleet_start_entry (f, entry);
  f->started_ms[entry] = f->now_ms;
}

static Fleet *
fleet_new (uint32_t seed, unsigned upstreams, unsigned rate)
{
  Fleet *f = g_new0 (Fleet, 1);

  f->random = g_rand_new_with_seed (seed);
  f->now_ms = START_MS;
  f->upstreams = upstreams;
  f->rate = rate;
  for (unsigned i = 0; i < ENTRIES; i++)
    fleet_start_entry (f, i);
  for (unsigned i = 0; i < upstreams; i++)
    f->instance[i] = ++f->instances;
  return f;
}

static void
fleet_free (Fleet *f)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    talloc_free (f->entry[i]);
  g_queue_clear_full (&f->datagrams, datagram_free);
  g_rand_free (f->random);
  g_free (f);
}

/* True once in EVERY_MS on average; never for 0. */
static bool
is_due (Fleet *f, uint64_t every_ms)
{
  return every_ms > 0 && g_rand_int_range (f->random, 0, (int)every_ms) < STEP_MS;
}

static void
fleet_play (Fleet *f, uint64_t duration_ms)
{
  for (uint64_t end_ms = f->now_ms + duration_ms; f->now_ms < end_ms;
       f->now_ms += STEP_MS)
    {
      fleet_deliver (f);
      if (is_due (f, 1000 / f->rate))
        fleet_send (f, false);
      if (is_due (f, f->bad_every_ms))
        fleet_send (f, true);
      fleet_finish (f);
      if (f->now_ms % SWEEP_MS == 0)
        fleet_sweep (f);
      if (is_due (f, f->restart_every_ms))
        fleet_restart_entry (f, (unsigned)g_rand_int_range (f->random, 0, ENTRIES));
    }
}

/* -------- a bad request -------- */

static void
check_fleet (Fleet *f, uint32_t seed)
{
  bool sent_on = f->sent_late > SENT_MAX;
  bool refused = f->refused * 50 > f->sound;

  CU_ASSERT_TRUE (f->third_ms != 0);
  CU_ASSERT_FALSE (sent_on);
  CU_ASSERT_FALSE (refused);
  if (sent_on || refused || f->third_ms == 0)
    g_print ("seed %u: %u late, %u crashes, %u of %u refused\n", seed, f->sent_late,
             f->crashes, f->refused, f->sound);
}

static void
play_bad_request (const char *name, uint64_t restart_every_ms)
{
  static const unsigned upstreams[] = { 3, 12, 24 };
  static const uint64_t every_ms[] = { 150, 1000, 8000 };
  uint32_t first = unit_first_seed (name, 1);

  for (uint32_t seed = first; seed < first + 9; seed++)
    {
      Fleet *f = fleet_new (seed, upstreams[seed % 3], 40);

      fleet_play (f, 3000);
      f->bad_every_ms = every_ms[seed / 3 % 3];
      f->restart_every_ms = restart_every_ms;
      fleet_play (f, f->bad_every_ms * 20 + 60000);
      check_fleet (f, seed);
      fleet_free (f);
    }
}

static void
test_fleet_sent_a_request_that_crashed_three_upstreams_on (void)
{
  play_bad_request ("fleet with a bad request", 0);
}

static void
test_fleet_whose_entries_restart_sent_the_request_on (void)
{
  play_bad_request ("fleet with a bad request and restarts", 6000);
}

/* One request for each of the three crashes, minutes apart. */
static void
test_request_that_comes_seldom_was_sent_on (void)
{
  Fleet *f = fleet_new (1, 3, 5);

  for (unsigned i = 0; i < 12; i++)
    {
      fleet_play (f, 170000);
      fleet_send (f, true);
      fleet_play (f, 10000);
    }
  check_fleet (f, 1);
  fleet_free (f);
}

/* -------- the trap -------- */

static void
test_fleet_refused_sound_requests_that_come_again_in_ordinary_faults (void)
{
  uint32_t first = unit_first_seed ("fleet with repeated sound requests", 1);

  for (uint32_t seed = first; seed < first + 6; seed++)
    {
      unsigned upstreams = seed % 2 == 0 ? 4 : UPSTREAMS_MAX;
      Fleet *f = fleet_new (seed, upstreams, 100);

      fleet_play (f, 5000);
      for (unsigned i = 0; i < 30; i++)
        {
          fleet_crash (f, i % upstreams);
          fleet_play (f, 1200);
        }
      for (unsigned n = 0; n < 4; n++)
        {
          for (unsigned i = 0; i < upstreams; i++)
            if (f->up_from_ms[i] <= f->now_ms)
              fleet_crash (f, i);
          fleet_play (f, 6000);
        }
      CU_ASSERT_TRUE (f->refused * 200 < f->sound);
      if (f->refused * 200 >= f->sound)
        g_print ("seed %u: %u of %u refused\n", seed, f->refused, f->sound);
      fleet_free (f);
    }
}

static const CU_TestInfo quarantine_whole_tests[] = {
  { "bad request", test_fleet_sent_a_request_that_crashed_three_upstreams_on },
  { "bad request, entries restart",
    test_fleet_whose_entries_restart_sent_the_request_on },
  { "bad request that comes seldom", test_request_that_comes_seldom_was_sent_on },
  { "sound requests that come again",
    test_fleet_refused_sound_requests_that_come_again_in_ordinary_faults },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("quarantine of whole requests", quarantine_whole_tests)
