/*
 * The soak's limits: servers name how many requests a second they take, beside all other
 * faults, and then alone, when the entries together must keep to it.
 */
#include <glib.h>

#include "soak.h"

#define CHANGE_MIN_MS    200
#define CHANGE_MAX_MS    1500
#define LIMIT_MIN_MILLIS 100
#define LIMIT_MAX_MILLIS 4000
#define PHASE_MS         11000
#define CALLERS          6
#define PAUSE_US         15000
#define US_PER_MS        1000

/* -------- beside other faults -------- */

struct SoakLimits
{
  Soak *soak;
  GRand *random; /* of its own, so that the other faults of a seed stay the same */
  GThread *thread;
};

/* Sets or ends a limit, or lets the next stream crash the server. */
static void
change_server (SoakLimits *limits)
{
  Testbed *tb = limits->soak->testbed;
  unsigned server = (unsigned)g_rand_int_range (limits->random, 0, SERVERS);

  switch (g_rand_int_range (limits->random, 0, 3))
    {
    case 0:
      set_fault (tb->server[server], "limit_millis", 0);
      break;
    case 1:
      set_fault (tb->server[server], "crash_streams", 1);
      break;
    default:
      set_fault (tb->server[server], "limit_millis",
                 (uint64_t)g_rand_int_range (limits->random, LIMIT_MIN_MILLIS,
                                             LIMIT_MAX_MILLIS));
      break;
    }
}

static gpointer
change_servers (gpointer data)
{
  SoakLimits *limits = data;

  while (!g_atomic_int_get (&limits->soak->stop))
    {
      change_server (limits);
      g_usleep ((gulong)g_rand_int_range (limits->random, CHANGE_MIN_MS, CHANGE_MAX_MS)
                * US_PER_MS);
    }
  return NULL;
}

SoakLimits *
soak_start_limits (Soak *soak, uint32_t seed)
{
  SoakLimits *limits = g_new0 (SoakLimits, 1);

  limits->soak = soak;
  limits->random = g_rand_new_with_seed (seed);
  limits->thread = g_thread_new ("limits", change_servers, limits);
  return limits;
}

void
soak_end_limits (SoakLimits *limits)
{
  g_thread_join (limits->thread);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      set_fault (limits->soak->testbed->server[i], "limit_millis", 0);
      set_fault (limits->soak->testbed->server[i], "crash_streams", 0);
    }
  g_rand_free (limits->random);
  g_free (limits);
}

/* -------- alone -------- */

typedef struct
{
  Soak *soak;
  unsigned number;
  gint *stop;
} LimitCaller;

static gpointer
run_caller (gpointer data)
{
  static const char *const targets[] = { "/r/x", "/s/x", "/p/x" };
  const LimitCaller *caller = data;
  Testbed *tb = caller->soak->testbed;

  for (unsigned n = 0; !g_atomic_int_get (caller->stop); n++)
    {
      char *id = g_strdup_printf ("limit%u-%u", caller->number, n);
      Call c = default_call (tb, targets[n % G_N_ELEMENTS (targets)], id);
      Response r;

      c.address = tb->via_entry[(caller->number + n) % ENTRIES];
      c.key = c.target[1] == 'p' ? NULL : c.key;
      r = call (&c);
      if (r.status != 200 && r.status != 503)
        soak_report_violation (caller->soak, id, "failed beside limits alone");
      response_free (&r);
      g_free (id);
      g_usleep (PAUSE_US);
    }
  return NULL;
}

void
soak_limit_servers (Soak *soak)
{
  uint64_t millis[SERVERS];
  LimitCaller callers[CALLERS];
  GThread *threads[CALLERS];
  gint stop = 0;

  for (unsigned i = 0; i < SERVERS; i++)
    {
      millis[i]
          = (uint64_t)g_rand_int_range (soak->random, LIMIT_MIN_MILLIS, LIMIT_MAX_MILLIS);
      soak_log_event (soak, "limit in thousandths", (unsigned)millis[i]);
      set_fault (soak->testbed->server[i], "limit_millis", millis[i]);
    }
  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i] = (LimitCaller){ .soak = soak, .number = i, .stop = &stop };
      threads[i] = g_thread_new ("limit", run_caller, &callers[i]);
    }
  g_usleep (PHASE_MS * US_PER_MS);
  g_atomic_int_set (&stop, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      if (recorded (soak->testbed->server[i], "limited_most") > LIMITED_MAX (millis[i]))
        soak_report_violation (soak, soak->testbed->server_process[i].name,
                               "got more requests than its limit allows");
      set_fault (soak->testbed->server[i], "limit_millis", 0);
    }
}
