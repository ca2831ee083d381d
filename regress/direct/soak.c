/*
 * A soak: the real programs run under random, overlapping faults while callers send
 * requests.  The responses are checked against the records of the stand-ins.
 *
 * Faults: processes are killed, shut down gracefully, suspended and started again;
 * connections are delayed, reset, stalled or blocked in one or both directions; the store
 * loses responses, is unavailable or sends no events to watches; servers cut streams,
 * refuse requests, fail and send invalid responses; meanwhile the configuration, the
 * servers and the version of the weights change.  Datagrams between nodes are disturbed
 * only by suspending the nodes.
 *
 * After the faults, phases with stricter checks follow: planned work alone, in which each
 * request that ran must be answered, model servers that are silent for a while, planned
 * work on entries that run in slices, versions that are named while streams wait, weights
 * that are spoilt as servers take them, a prompt part and a whole request that crash the
 * servers, limits of requests, and a loss of power.
 */
#include "soak.h"

#include <glib.h>
#include <string.h>

#define LONG_EVENT_MS 200                  /* a stream of ten events then lasts 2 s */
#define REVOKE_MS     3000                 /* equals revoke_ms in the nodes' settings */
#define SETTLE_US     (3 * G_USEC_PER_SEC) /* after the last fault, before planned work */

gint64
soak_now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

gint64
soak_random_due_ms (GRand *random, gint32 least_ms, gint32 most_ms)
{
  return soak_now_ms () + g_rand_int_range (random, least_ms, most_ms);
}

void
soak_report_violation (Soak *soak, const char *who, const char *what)
{
  g_mutex_lock (&soak->lock);
  soak->violations++;
  print_failure ("soak: %s: %s", who, what);
  g_mutex_unlock (&soak->lock);
}

void
soak_log_event (Soak *soak, const char *what, unsigned index)
{
  g_mutex_lock (&soak->lock);
  g_string_append_printf (soak->history, "  %6.2f s  %s %u\n",
                          (double)(soak_now_ms () - soak->start_ms) / 1000.0, what,
                          index);
  g_mutex_unlock (&soak->lock);
}

/* -------- checks after the faults -------- */

static bool
entries_serve (Testbed *tb)
{
  bool served = true;

  for (unsigned i = 0; i < ENTRIES; i++)
    {
      Call c = default_call (tb, "/r/x", "afterwards");
      Response r;

      c.address = tb->via_entry[i];
      r = call (&c);
      served = served && r.status == 200;
      response_free (&r);
    }
  return served;
}

static uint64_t final_version;

static bool
servers_have_final_version (Testbed *tb)
{
  for (unsigned i = 0; i < SERVERS - 1; i++)
    if (recorded (tb->server[i], "version") != final_version)
      return false;
  return true;
}

/* Checks that after the last fault all entries serve and the newest version reaches all
 * model servers. */
static void
check_recovery (Soak *soak)
{
  Testbed *tb = soak->testbed;

  if (!eventually (entries_serve, tb))
    soak_report_violation (soak, "entries", "do not serve after the last fault");
  final_version = ++soak->version;
  set_fault (tb->store, "lose_writes", 0);
  if (!testbed_announce_version (tb, final_version)
      || !eventually (servers_have_final_version, tb))
    soak_report_violation (soak, "servers", "do not get the newest version");
  for (unsigned i = 0; i < SERVERS - 1; i++)
    soak_check_engine (soak, i);
}

/* True if the request must not have run: a configuration without the second key had been
 * acknowledged more than REVOKE_MS before it was sent, and no later write that gives the
 * key back was begun before it ended. */
static bool
is_revoked (const Soak *soak, const SentRequest *req)
{
  bool revoked = false;

  for (guint i = 0; i < soak->keys->len; i++)
    {
      const KeyChange *k = &g_array_index (soak->keys, KeyChange, i);

      if (k->has_key2 && k->begun_ms <= req->done_ms)
        revoked = false;
      else if (!k->has_key2 && k->done_ms + REVOKE_MS < req->sent_ms)
        revoked = true;
    }
  return revoked;
}

uint64_t
soak_runs_in (json_object *object, const char *id)
{
  json_object *runs = json_object_object_get (object, "runs");

  return json_object_get_uint64 (json_object_object_get (runs, id));
}

/* Checks all requests against the records of the plain server, which is never killed. */
static void
check_requests (Soak *soak)
{
  json_object *plain = fetch_records (soak->testbed->server[SERVERS - 1]);

  for (guint i = 0; i < soak->requests->len; i++)
    {
      const SentRequest *req = g_ptr_array_index (soak->requests, i);
      uint64_t runs = soak_runs_in (plain, req->id);

      if (req->kind == REQUEST_UNSAFE && runs > 1)
        soak_report_violation (soak, req->id, "ran more than once");
      if (req->kind == REQUEST_UNSAFE && runs > 0
          && (req->status == 503 || req->status == 429))
        soak_report_violation (soak, req->id, "was refused and has run");
      if (req->with_key2 && (runs > 0 || req->status == 200) && is_revoked (soak, req))
        soak_report_violation (soak, req->id, "ran after its key was revoked");
    }
  if (plain == NULL)
    soak_report_violation (soak, "plain server", "has no records");
  json_object_put (plain);
}

/* The phases in which nothing happens that a fault explains.  A long one is played by
 * every second seed, so that CI takes a few minutes. */
static void
run_strict_phases (Soak *soak, uint32_t seed, unsigned seconds)
{
  SoakKept kept;

  soak_heal (soak);
  g_usleep (SETTLE_US);
  if (!eventually (entries_serve, soak->testbed))
    soak_report_violation (soak, "entries", "do not serve after the faults");
  soak_start_kept (soak, &kept, 0);
  soak_plan_work (soak, seconds);
  soak_end_kept (soak, &kept);
  soak_start_kept (soak, &kept, SOAK_SILENCE_STREAM_CALLERS);
  soak_silence_servers (soak);
  soak_end_kept (soak, &kept);
  soak_set_event_ms (soak, SOAK_EVENT_MS);
  soak_slice_entries (soak);
  if (!eventually (entries_serve, soak->testbed))
    soak_report_violation (soak, "entries", "do not serve after the slices");
  if (seed % 2 == 0)
    soak_name_versions (soak, seed);
  soak_spoil_weights (soak, seed);
  soak_poison_servers (soak);
  soak_limit_servers (soak);
  soak_cut_power (soak);
}

static void
sent_request_free (gpointer data)
{
  g_free (((SentRequest *)data)->id);
  g_free (data);
}

static Soak
soak_init (Testbed *testbed, uint32_t seed)
{
  return (Soak){
    .testbed = testbed,
    .random = g_rand_new_with_seed (seed),
    .history = g_string_new (NULL),
    .start_ms = soak_now_ms (),
    .faults = g_array_new (FALSE, FALSE, sizeof (Fault)),
    .keys = g_array_new (FALSE, FALSE, sizeof (KeyChange)),
    .key2 = true,
    .version = 1,
    .requests = g_ptr_array_new_with_free_func (sent_request_free),
  };
}

/* Prints the history of a soak with violations, and returns their number. */
static unsigned
soak_finish (Soak *soak)
{
  if (soak->violations > 0)
    g_print ("%s", soak->history->str);
  g_rand_free (soak->random);
  g_string_free (soak->history, TRUE);
  g_array_free (soak->faults, TRUE);
  g_array_free (soak->keys, TRUE);
  g_ptr_array_free (soak->requests, TRUE);
  return soak->violations;
}

unsigned
soak_run_whole (Testbed *testbed, uint32_t seed)
{
  Soak soak = soak_init (testbed, seed);

  soak_set_event_ms (&soak, SOAK_EVENT_MS);
  soak_poison_whole (&soak, seed);
  return soak_finish (&soak);
}

unsigned
soak_run (Testbed *testbed, uint32_t seed, unsigned seconds)
{
  Soak soak = soak_init (testbed, seed);
  SoakCaller callers[SOAK_CALLERS];
  GThread *threads[SOAK_CALLERS];
  SoakLimits *limits = soak_start_limits (&soak, seed);

  set_fault (testbed->server[SERVERS - 2], "event_ms", LONG_EVENT_MS);
  for (unsigned i = 0; i < SOAK_CALLERS; i++)
    {
      callers[i] = (SoakCaller){ &soak, i, g_rand_int (soak.random) };
      threads[i] = g_thread_new ("caller", soak_run_caller, &callers[i]);
    }
  soak_inject_faults (&soak, seconds);
  g_atomic_int_set (&soak.stop, 1);
  for (unsigned i = 0; i < SOAK_CALLERS; i++)
    g_thread_join (threads[i]);
  soak_end_limits (limits);
  run_strict_phases (&soak, seed, seconds);
  check_recovery (&soak);
  check_requests (&soak);
  if (soak.complete == 0)
    soak_report_violation (&soak, "callers", "nothing was served");
  g_print ("soak: seed %u: %u requests, %u served, %u refused\n", seed,
           soak.requests->len, soak.complete, soak.refused);
  return soak_finish (&soak);
}
