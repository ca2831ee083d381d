/*
 * The soak's weights: model servers lose theirs and take them again while what is staged
 * turns bad, calls of the stagers are late, versions are announced, and servers, stagers
 * and entries stand still or end.  No request may run on weights that were taken with a
 * chunk that was missing, of another version, or bad for too long.
 *
 * Each process has a thread that plays its faults, and each server one more that lets it
 * go on when it was stopped, by its stand-in or from here.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "kernel/kernel.h"
#include "soak.h"

#define PHASE_MS           13000
#define CALLERS            10
#define STREAM_EVENTS      10 /* of a whole stream */
#define ALL_CHUNKS         16
#define STILL_MIN_MS       100
#define STILL_MAX_MS       5000 /* servers stand still for up to this */
#define SPOILT_MS          3000 /* a chunk that was bad for longer is spoilt */
#define READ_LATE_MAX_MS   900
#define WRITES_MAX         4
#define COMMANDS_MAX       3
#define KNOBS_AT_ONCE      4
#define LOSE_ONE_IN        2 /* so many steps take a server's weights */
#define PAUSE_ONE_IN       5
#define STEP_MIN_MS        300 /* between two steps at a server */
#define STEP_MAX_MS        4000
#define VERSION_GAP_MIN_MS 500
#define VERSION_GAP_MAX_MS 4000
#define FAULT_MIN_MS       100 /* of a stager or an entry */
#define FAULT_MAX_MS       2500
#define FAULT_GAP_MIN_MS   500
#define FAULT_GAP_MAX_MS   4000
#define US_PER_MS          1000

typedef struct Phase Phase;

/* What a thread plays its faults on. */
typedef struct
{
  Phase *phase;
  unsigned index;
  GRand *random; /* only this thread's */
  GThread *thread;
} Actor;

struct Phase
{
  Soak *soak;
  GRand *random; /* of its own, so that the other phases of a seed stay the same */
  GPtrArray *actors;
  GPtrArray *watchers; /* actors that let servers go on */
  gint faults_stop;    /* these and the next are atomic */
  gint watch_stop;
  gint calls_stop;
  gint complete; /* streams, while faults were played */
};

/* -------- threads -------- */

static void
actor_start (Phase *phase, GPtrArray *list, GThreadFunc run, unsigned index)
{
  Actor *a = g_new0 (Actor, 1);

  *a = (Actor){ .phase = phase, .index = index };
  a->random = g_rand_new_with_seed (g_rand_int (phase->random));
  a->thread = g_thread_new ("weights", run, a);
  g_ptr_array_add (list, a);
}

static void
actor_join (gpointer data)
{
  Actor *a = data;

  g_thread_join (a->thread);
  g_rand_free (a->random);
  g_free (a);
}

/* Waits for a random time, or until the faults are over; returns false then. */
static bool
actor_wait (Actor *a, gint32 least_ms, gint32 most_ms)
{
  gint64 until_ms = soak_now_ms () + g_rand_int_range (a->random, least_ms, most_ms);

  while (soak_now_ms () < until_ms && !g_atomic_int_get (&a->phase->faults_stop))
    g_usleep (SOAK_POLL_US);
  return !g_atomic_int_get (&a->phase->faults_stop);
}

static void
log_fault (Actor *a, const char *what, uint64_t value)
{
  char *text = g_strdup_printf ("weights: %s %" G_GUINT64_FORMAT " at", what, value);

  soak_log_event (a->phase->soak, text, a->index);
  g_free (text);
}

/* -------- callers -------- */

static void
check_response (Phase *phase, const char *id, const Response *r)
{
  if (r->status != 200 || !r->complete)
    return;
  if (!has_events (r->body, 1, STREAM_EVENTS))
    soak_report_violation (phase->soak, id, "its stream is complete and not whole");
  if (!g_atomic_int_get (&phase->faults_stop))
    g_atomic_int_inc (&phase->complete);
}

static bool
call_entry (void *data, GRand *random, CURL *curl, unsigned entry, unsigned n)
{
  const Actor *caller = data;
  char *id = g_strdup_printf ("w%u-%u", caller->index, n);
  Response r = soak_call_stream (caller->phase->soak, random, curl, entry, id);
  bool answered = r.status != 0;

  check_response (caller->phase, id, &r);
  response_free (&r);
  g_free (id);
  return answered;
}

static gpointer
run_caller (gpointer data)
{
  Actor *a = data;

  soak_keep_calling (&(SoakKeptCalls){
      .number = a->index,
      .seed = g_rand_int (a->random),
      .stop = &a->phase->calls_stop,
      .send = call_entry,
      .data = a,
  });
  return NULL;
}

/* -------- servers -------- */

/* A fault of a stand-in and the bounds of its value. */
typedef struct
{
  const char *knob;
  gint32 least;
  gint32 most;
} WeightsKnob;

static const WeightsKnob knobs[] = {
  { "rot", 1, ALL_CHUNKS },
  { "rot_after_read", 1, ALL_CHUNKS },
  { "rot_at_command", 1, ALL_CHUNKS },
  { "rot_at_command", 1, ALL_CHUNKS },
  { "command_late_ms", STILL_MIN_MS, STILL_MAX_MS },
  { "command_late_ms", SPOILT_MS, STILL_MAX_MS },
  { "command_stall_ms", STILL_MIN_MS, STILL_MAX_MS },
  { "command_stall_ms", SPOILT_MS, STILL_MAX_MS },
  { "commands_late", 1, COMMANDS_MAX },
  { "read_late_ms", 0, READ_LATE_MAX_MS },
  { "read_late_ms", 0, 0 },
  { "write_at_command", 1, WRITES_MAX },
  { "stop_at_command", 1, 1 },
  { "stop_at_read", 1, 1 },
};

static void
arm_knob (Actor *a)
{
  const WeightsKnob *k = &knobs[g_rand_int_range (a->random, 0, G_N_ELEMENTS (knobs))];
  uint64_t value = (uint64_t)g_rand_int_range (a->random, k->least, k->most + 1);

  log_fault (a, k->knob, value);
  set_fault (a->phase->soak->testbed->server[a->index], k->knob, value);
}

static void
lose_weights (Soak *soak, unsigned server)
{
  Testbed *tb = soak->testbed;

  soak_log_event (soak, "weights: lost by server", server);
  if (!set_fault (tb->server[server], "lose_weights", 1)
      || !testbed_restart_server (tb, server)
      || !set_fault (tb->server[server], "born", tb->server_started[server]))
    soak_report_violation (soak, tb->server_process[server].name,
                           "could not be started without weights");
}

/* Reports requests that ran on spoilt weights beyond SEEN of them; returns their number
 * now. */
static uint64_t
check_runs (Soak *soak, unsigned server, uint64_t seen)
{
  json_object *records = fetch_records (soak->testbed->server[server]);
  uint64_t runs
      = json_object_get_uint64 (json_object_object_get (records, "spoilt_runs"));
  gint64 last_ms
      = json_object_get_int64 (json_object_object_get (records, "spoilt_run_ms"));
  char *text;

  json_object_put (records);
  if (runs <= seen)
    return seen;
  last_ms += soak_now_ms () - (gint64)dl_clock_ms () - soak->start_ms;
  text = g_strdup_printf ("%u requests ran on spoilt weights, the last at %.2f s",
                          (unsigned)(runs - seen), (double)last_ms / US_PER_MS);
  soak_report_violation (soak, soak->testbed->server_process[server].name, text);
  soak_log_event (soak, text, server);
  g_free (text);
  return runs;
}

static gpointer
play_server (gpointer data)
{
  Actor *a = data;
  Soak *soak = a->phase->soak;
  uint64_t seen = 0;

  while (actor_wait (a, STEP_MIN_MS, STEP_MAX_MS))
    {
      gint32 count = g_rand_int_range (a->random, 1, KNOBS_AT_ONCE + 1);

      for (gint32 i = 0; i < count; i++)
        arm_knob (a);
      if (g_rand_int_range (a->random, 0, LOSE_ONE_IN) == 0)
        lose_weights (soak, a->index);
      seen = check_runs (soak, a->index, seen);
      if (g_rand_int_range (a->random, 0, PAUSE_ONE_IN) == 0)
        {
          actor_wait (a, 0, STEP_MIN_MS);
          kill (soak->testbed->server_process[a->index].pid, SIGSTOP);
        }
    }
  return NULL;
}

/* Lets a stopped server go on after a random time. */
static gpointer
watch_server (gpointer data)
{
  Actor *a = data;
  Process *p = &a->phase->soak->testbed->server_process[a->index];
  siginfo_t info;

  while (!g_atomic_int_get (&a->phase->watch_stop))
    {
      info.si_pid = 0;
      waitid (P_PID, (id_t)p->pid, &info, WSTOPPED | WNOHANG);
      if (info.si_pid != 0)
        {
          gint32 still_ms = g_rand_int_range (a->random, STILL_MIN_MS, STILL_MAX_MS);

          log_fault (a, "stands still, ms:", (uint64_t)still_ms);
          g_usleep ((gulong)still_ms * US_PER_MS);
          kill (p->pid, SIGCONT);
          log_fault (a, "goes on after ms", (uint64_t)still_ms);
        }
      soak_check_process (a->phase->soak, p);
      g_usleep (SOAK_POLL_US);
    }
  return NULL;
}

/* -------- the other processes -------- */

static gpointer
play_versions (gpointer data)
{
  Actor *a = data;
  Soak *soak = a->phase->soak;

  while (actor_wait (a, VERSION_GAP_MIN_MS, VERSION_GAP_MAX_MS))
    {
      log_fault (a, "version", soak->version + 1);
      soak_announce_version (soak);
    }
  return NULL;
}

/* Plays faults of PROCESS: pauses, and ends by STOP. */
static void
play_process (Actor *a,
              Process *process,
              void (*stop) (Actor *actor, Process *process),
              const char *name)
{
  while (actor_wait (a, FAULT_GAP_MIN_MS, FAULT_GAP_MAX_MS))
    {
      bool paused = g_rand_boolean (a->random);

      soak_check_process (a->phase->soak, process);
      log_fault (a, name, paused);
      if (paused)
        kill (process->pid, SIGSTOP);
      else
        stop (a, process);
      actor_wait (a, FAULT_MIN_MS, FAULT_MAX_MS);
      if (paused)
        kill (process->pid, SIGCONT);
      else
        process_start (process);
      log_fault (a, "goes on:", paused);
    }
  soak_check_process (a->phase->soak, process);
}

static void
kill_stager (Actor *a, Process *process)
{
  process_end (process, SIGKILL);
}

static gpointer
play_stager (gpointer data)
{
  Actor *a = data;

  play_process (a, &a->phase->soak->testbed->stager_process[a->index], kill_stager,
                "stager, paused:");
  return NULL;
}

static void
stop_entry (Actor *a, Process *process)
{
  soak_stop_entry (a->phase->soak, a->index);
  soak_check_exit (a->phase->soak, a->index, process_end (process, 0));
}

static gpointer
play_entry (gpointer data)
{
  Actor *a = data;

  play_process (a, &a->phase->soak->testbed->entry_process[a->index], stop_entry,
                "entry, paused:");
  return NULL;
}

/* -------- checks -------- */

static uint64_t expected_version;
static uint64_t received_before[MODEL_SERVERS];

static bool
servers_have_version (Testbed *tb)
{
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    if (recorded (tb->server[i], "version") < expected_version)
      return false;
  return true;
}

static bool
servers_are_used (Testbed *tb)
{
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    if (recorded (tb->server[i], "received") <= received_before[i])
      return false;
  return requests_are_served (tb);
}

/* Announces a version, and checks that all servers get it. */
static void
check_new_version (Soak *soak)
{
  uint64_t before = soak->version;

  soak_announce_version (soak);
  if (soak->version == before)
    soak_report_violation (soak, "store", "accepts no version, though it is available");
  expected_version = soak->version;
  soak_log_event (soak, "weights: is expected, version", (unsigned)expected_version);
  if (!eventually (servers_have_version, soak->testbed))
    soak_report_violation (soak, "servers",
                           "do not get the newest version, spoilt weights");
}

/* After the last fault, under callers. */
static void
check_afterwards (Phase *phase)
{
  Soak *soak = phase->soak;

  /* A write that is late lands with the second command after it. */
  check_new_version (soak);
  check_new_version (soak);
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    received_before[i] = recorded (soak->testbed->server[i], "received");
  if (!eventually (servers_are_used, soak->testbed))
    soak_report_violation (soak, "servers", "are not used after spoilt weights");
  if (g_atomic_int_get (&phase->complete) == 0)
    soak_report_violation (soak, "callers", "got no whole stream beside spoilt weights");
}

/* -------- running -------- */

static void
heal_servers (Soak *soak)
{
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    for (size_t k = 0; k < G_N_ELEMENTS (knobs); k++)
      set_fault (soak->testbed->server[i], knobs[k].knob, 0);
}

/* The servers' loads are counted from here on, and all have been started by the runner.
 */
static void
begin (Phase *phase)
{
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    {
      soak_check_engine (phase->soak, i);
      check_runs (phase->soak, i, 0);
      lose_weights (phase->soak, i);
    }
  check_new_version (phase->soak);
}

static void
start_faults (Phase *phase)
{
  actor_start (phase, phase->actors, play_versions, 0);
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    {
      actor_start (phase, phase->watchers, watch_server, i);
      actor_start (phase, phase->actors, play_server, i);
      actor_start (phase, phase->actors, play_stager, i);
    }
  for (unsigned i = 0; i < ENTRIES; i++)
    actor_start (phase, phase->actors, play_entry, i);
}

static void
play (Phase *phase)
{
  start_faults (phase);
  g_usleep (PHASE_MS * US_PER_MS);
  g_atomic_int_set (&phase->faults_stop, 1);
  g_ptr_array_free (phase->actors, TRUE);
  heal_servers (phase->soak);
  g_atomic_int_set (&phase->watch_stop, 1);
  g_ptr_array_free (phase->watchers, TRUE);
}

static void
end (Phase *phase)
{
  Soak *soak = phase->soak;

  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    {
      check_runs (soak, i, 0);
      if (recorded (soak->testbed->server[i], "version") != soak->version)
        soak_report_violation (soak, soak->testbed->server_process[i].name,
                               "has lost the newest version again");
      /* Loads that were given up in time are allowed here only. */
      set_fault (soak->testbed->server[i], "mixed", 0);
    }
  g_rand_free (phase->random);
}

void
soak_spoil_weights (Soak *soak, uint32_t seed)
{
  Phase phase = {
    .soak = soak,
    .random = g_rand_new_with_seed (seed),
    .actors = g_ptr_array_new_with_free_func (actor_join),
    .watchers = g_ptr_array_new_with_free_func (actor_join),
  };
  GPtrArray *callers = g_ptr_array_new_with_free_func (actor_join);

  begin (&phase);
  for (unsigned i = 0; i < CALLERS; i++)
    actor_start (&phase, callers, run_caller, i);
  play (&phase);
  check_afterwards (&phase);
  g_atomic_int_set (&phase.calls_stop, 1);
  g_ptr_array_free (callers, TRUE);
  end (&phase);
}
