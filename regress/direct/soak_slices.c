/*
 * The soak's planned work on entries that run in slices, as with a part of a core.
 *
 * Entries get SIGTERM and SIGHUP, also while they start, configurations come, and second
 * processes are started on addresses in use, while a thread lets each entry run and stand
 * still in turns, and for long as it begins to close its ports.  soak_slices_calls.c
 * sends requests meanwhile.
 */
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include "raw_call.h"
#include "soak.h"

#define PHASE_MS  6000
#define GRACE_MS  8000  /* as in the nodes' settings */
#define REST_MS   20000 /* from the phase's last step until all entries serve again */
#define POLL_US   1000
#define US_PER_MS 1000

#define SLICE_MIN_MS  5
#define SLICE_MAX_MS  60
#define LONG_PAUSE_MS 350
#define LATE_STOP_MS  3000 /* the process does not end before */

#define STOP_GAP_MAX_MS     800
#define SIGNAL_GAP_MAX_MS   3000
#define START_GAP_MAX_MS    200
#define START_SIGNAL_MS     2 /* from the start to the first signal */
#define START_SIGNALS_MS    100
#define SIGNAL_BIT(n)       (UINT64_C (1) << ((n)-1))
#define CHANGE_GAP_MAX_MS   600
#define ANSWER_MAX_MS       800
#define SECOND_AFTER_MAX_MS 1000 /* from SIGTERM to the start of a second process */

/* One pause in so many may be long; each run chooses one. */
static const gint32 long_pauses_every[] = { 50, 10, 4 };

typedef enum
{
  ENTRY_RUNS,
  ENTRY_STOPS,
  ENTRY_ENDED,
} EntryState;

/* An entry; PROCESS->pid is changed, and signals are sent to it, under the lock. */
typedef struct
{
  Process *process;
  unsigned index;
  EntryState state;
  gint64 next_ms;     /* the next step: SIGTERM, a further signal, or the start */
  gint64 stop_ms;     /* the first SIGTERM */
  gint late;          /* atomic; it has stopped for LATE_STOP_MS */
  gint64 hup_ms;      /* SIGHUP from then on, while it starts; 0: none */
  bool has_addresses; /* it has surely started; else unknown */
  Process second;     /* on the same addresses */
  gint64 second_hup_ms;
  /* The rest is the slices' thread's. */
  bool stands;
  gint64 slice_us;
  bool watches;  /* this stop has had its WATCH */
  RawCall watch; /* an idle connection to another port */
} SlicedEntry;

typedef struct
{
  Soak *soak;
  SlicedEntry entries[ENTRIES];
  GMutex lock;
  GRand *random;     /* of the slices' thread */
  gint32 long_every; /* in long_pauses_every */
  gint stop;         /* atomic; of the slices' thread */
} Slices;

/* -------- slices -------- */

static gint64
next_slice_us (Slices *s, bool stands)
{
  bool is_long = stands && g_rand_int_range (s->random, 0, s->long_every) == 0;
  gint32 min_ms = is_long ? SLICE_MAX_MS : SLICE_MIN_MS;
  gint32 max_ms = is_long ? LONG_PAUSE_MS : SLICE_MAX_MS;

  return g_get_monotonic_time ()
         + g_rand_int_range (s->random, min_ms * US_PER_MS, max_ms * US_PER_MS);
}

static void
set_slice (Slices *s, SlicedEntry *e, bool stands)
{
  g_mutex_lock (&s->lock);
  e->stands = stands;
  if (e->process->pid > 0)
    kill (e->process->pid, stands ? SIGSTOP : SIGCONT);
  g_mutex_unlock (&s->lock);
}

/* True once, when the process begins to close its ports. */
static bool
begins_to_close (Slices *s, SlicedEntry *e)
{
  char byte;
  ssize_t n;

  if (!g_atomic_int_get (&e->late))
    {
      e->watches = false;
      raw_call_free (&e->watch);
      return false;
    }
  if (!e->watches)
    {
      e->watches = true;
      raw_call_open (&e->watch, s->soak->testbed->metrics[e->index]);
    }
  if (e->watch.fd < 0)
    return false;
  n = recv (e->watch.fd, &byte, 1, MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return false;
  raw_call_free (&e->watch);
  return true;
}

static void
turn_slice (Slices *s, SlicedEntry *e)
{
  if (begins_to_close (s, e))
    {
      set_slice (s, e, true);
      e->slice_us = g_get_monotonic_time () + LONG_PAUSE_MS * US_PER_MS;
    }
  else if (g_get_monotonic_time () >= e->slice_us)
    {
      set_slice (s, e, !e->stands);
      e->slice_us = next_slice_us (s, e->stands);
    }
}

static gpointer
run_slices (gpointer data)
{
  Slices *s = data;

  while (!g_atomic_int_get (&s->stop))
    {
      for (unsigned i = 0; i < ENTRIES; i++)
        turn_slice (s, &s->entries[i]);
      g_usleep (POLL_US);
    }
  for (unsigned i = 0; i < ENTRIES; i++)
    {
      set_slice (s, &s->entries[i], false);
      raw_call_free (&s->entries[i].watch);
    }
  return NULL;
}

/* -------- entries -------- */

/* The set of signals that TEXT, a process's status by the system, names FIELD. */
static uint64_t
signal_set (const char *text, const char *field)
{
  const char *at = strstr (text, field);
  uint64_t set = 0;

  return at != NULL && sscanf (at + strlen (field), "%" SCNx64, &set) == 1 ? set : 0;
}

/* True once the process holds or handles SIGHUP, before which the system's loader may
 * still run in it. */
static bool
takes_signals (const Process *p)
{
  char *path = g_strdup_printf ("/proc/%d/status", p->pid);
  char *text = NULL;
  bool takes = false;

  if (g_file_get_contents (path, &text, NULL, NULL))
    takes = ((signal_set (text, "SigBlk:") | signal_set (text, "SigCgt:"))
             & SIGNAL_BIT (SIGHUP))
            != 0;
  g_free (text);
  g_free (path);
  return takes;
}

static void
send_signal (Slices *s, const SlicedEntry *e, int signum, const char *what)
{
  soak_log_event (s->soak, what, e->index);
  kill (e->process->pid, signum);
}

/* Returns true once the process has ended, with *STATUS. */
static bool
has_ended (Slices *s, Process *p, int *status)
{
  bool ended;

  g_mutex_lock (&s->lock);
  ended = p->pid > 0 && waitpid (p->pid, status, WNOHANG) == p->pid;
  if (ended)
    p->pid = 0;
  g_mutex_unlock (&s->lock);
  return ended;
}

static void
start_entry (Slices *s, SlicedEntry *e)
{
  soak_log_event (s->soak, "slices: start", e->index);
  e->has_addresses = false;
  g_atomic_int_set (&e->late, 0);
  g_mutex_lock (&s->lock);
  process_start (e->process);
  g_mutex_unlock (&s->lock);
  e->state = ENTRY_RUNS;
  e->next_ms = soak_random_due_ms (s->soak->random, 0, STOP_GAP_MAX_MS);
  e->hup_ms = soak_random_due_ms (s->soak->random, 0, START_SIGNALS_MS) + START_SIGNAL_MS;
}

static void
entry_ended (Slices *s, SlicedEntry *e, const char *violation)
{
  soak_log_event (s->soak, "slices: has ended", e->index);
  if (violation != NULL)
    soak_report_violation (s->soak, e->process->name, violation);
  e->state = ENTRY_ENDED;
  e->next_ms = soak_random_due_ms (s->soak->random, 0, START_GAP_MAX_MS);
}

/* A running entry; it is stopped only if MAY_STOP. */
static void
watch_entry (Slices *s, SlicedEntry *e, bool may_stop)
{
  gint64 now_ms = soak_now_ms ();
  int status;

  if (has_ended (s, e->process, &status))
    entry_ended (s, e,
                 WIFSIGNALED (status) ? "ended by a signal that is no stop"
                                      : "ended by itself");
  else if (e->hup_ms != 0 && now_ms >= e->hup_ms && takes_signals (e->process))
    {
      send_signal (s, e, SIGHUP, "slices: SIGHUP at the start");
      e->hup_ms = 0;
    }
  else if (may_stop && now_ms >= e->next_ms && takes_signals (e->process))
    {
      send_signal (s, e, SIGTERM, "slices: SIGTERM");
      e->state = ENTRY_STOPS;
      e->stop_ms = now_ms;
      e->next_ms = soak_random_due_ms (s->soak->random, 0, SIGNAL_GAP_MAX_MS);
    }
}

static void
watch_stop (Slices *s, SlicedEntry *e)
{
  gint64 now_ms = soak_now_ms ();
  int status;

  g_atomic_int_set (&e->late, now_ms >= e->stop_ms + LATE_STOP_MS);
  if (has_ended (s, e->process, &status))
    entry_ended (s, e,
                 WIFEXITED (status) && WEXITSTATUS (status) == 0
                     ? NULL
                     : "did not exit with status 0 after SIGTERM");
  else if (now_ms >= e->stop_ms + GRACE_MS)
    {
      send_signal (s, e, SIGKILL, "slices: SIGKILL");
      soak_report_violation (s->soak, e->process->name, "is there after its grace time");
      e->stop_ms = now_ms;
    }
  else if (now_ms >= e->next_ms)
    {
      if (g_rand_int_range (s->soak->random, 0, 2) == 0)
        send_signal (s, e, SIGTERM, "slices: SIGTERM again");
      else
        send_signal (s, e, SIGHUP, "slices: SIGHUP in the stop");
      e->next_ms = soak_random_due_ms (s->soak->random, 0, SIGNAL_GAP_MAX_MS);
    }
}

/* -------- second processes -------- */

/* Not before the entry has its addresses: a second process could take them first. */
static bool
may_start_second (SlicedEntry *e)
{
  bool runs
      = e->state == ENTRY_RUNS
        || (e->state == ENTRY_STOPS && soak_now_ms () < e->stop_ms + SECOND_AFTER_MAX_MS);

  if (!runs || e->second.pid > 0)
    return false;
  e->has_addresses = e->has_addresses || soak_has_started (e->process);
  return e->has_addresses;
}

static void
start_second (Slices *s, SlicedEntry *e)
{
  if (!may_start_second (e))
    return;
  soak_log_event (s->soak, "slices: second process", e->index);
  e->second = *e->process;
  process_start (&e->second);
  e->second_hup_ms
      = soak_random_due_ms (s->soak->random, 0, START_SIGNALS_MS) + START_SIGNAL_MS;
}

/* A second process ends by itself, with an error, where its addresses are in use. */
static void
watch_second (Slices *s, SlicedEntry *e)
{
  int status;

  if (e->second.pid <= 0)
    return;
  if (has_ended (s, &e->second, &status))
    {
      if (!WIFEXITED (status))
        soak_report_violation (s->soak, e->process->name, "second ended by a signal");
      else if (WEXITSTATUS (status) == 0)
        soak_report_violation (s->soak, e->process->name, "second ended without error");
    }
  else if (e->second_hup_ms != 0 && soak_now_ms () >= e->second_hup_ms
           && takes_signals (&e->second))
    {
      soak_log_event (s->soak, "slices: SIGHUP to the second process", e->index);
      kill (e->second.pid, SIGHUP);
      e->second_hup_ms = 0;
    }
}

/* The second process of an entry that has ended may serve in its place. */
static void
adopt_second (Slices *s, SlicedEntry *e)
{
  if (!soak_has_started (&e->second))
    return;
  soak_log_event (s->soak, "slices: the second process serves", e->index);
  e->has_addresses = true;
  g_mutex_lock (&s->lock);
  e->process->pid = e->second.pid;
  e->second.pid = 0;
  g_mutex_unlock (&s->lock);
  e->state = ENTRY_RUNS;
  e->next_ms = soak_random_due_ms (s->soak->random, 0, STOP_GAP_MAX_MS);
  e->hup_ms = 0;
  g_atomic_int_set (&e->late, 0);
}

/* Continues with entry E. */
static void
advance_entry (Slices *s, SlicedEntry *e, bool may_stop)
{
  watch_second (s, e);
  switch (e->state)
    {
    case ENTRY_RUNS:
      watch_entry (s, e, may_stop && e->second.pid <= 0);
      break;
    case ENTRY_STOPS:
      watch_stop (s, e);
      break;
    case ENTRY_ENDED:
      if (e->second.pid > 0)
        adopt_second (s, e);
      else if (soak_now_ms () >= e->next_ms)
        start_entry (s, e);
      break;
    }
}

/* -------- changes -------- */

typedef enum
{
  CHANGE_RELOAD,
  CHANGE_KEYS,
  CHANGE_SECOND,
  CHANGE_ANSWERS,
  CHANGES,
} SlicedChange;

static void
make_change (Slices *s)
{
  SlicedChange change = (SlicedChange)g_rand_int_range (s->soak->random, 0, CHANGES);
  SlicedEntry *e = &s->entries[g_rand_int_range (s->soak->random, 0, ENTRIES)];

  switch (change)
    {
    case CHANGE_RELOAD:
      if (e->state == ENTRY_RUNS && e->hup_ms == 0)
        send_signal (s, e, SIGHUP, "slices: SIGHUP");
      break;
    case CHANGE_KEYS:
      soak_log_event (s->soak, "slices: change configuration", 0);
      soak_change_keys (s->soak);
      break;
    case CHANGE_SECOND:
      start_second (s, e);
      break;
    case CHANGE_ANSWERS:
      set_fault (s->soak->testbed->server[SERVERS - 1], "answer_ms",
                 (uint64_t)g_rand_int_range (s->soak->random, 0, ANSWER_MAX_MS));
      break;
    case CHANGES:
      break;
    }
}

/* -------- the phase -------- */

static bool
is_settled (const SlicedEntry *e)
{
  return e->state == ENTRY_RUNS && e->hup_ms == 0 && e->second.pid <= 0;
}

static void
plan (Slices *s)
{
  gint64 end_ms = soak_now_ms () + PHASE_MS;
  gint64 change_ms = 0;
  bool active = true;

  while (active)
    {
      bool in_time = soak_now_ms () < end_ms;

      active = in_time;
      for (unsigned i = 0; i < ENTRIES; i++)
        {
          advance_entry (s, &s->entries[i], in_time);
          active = active || !is_settled (&s->entries[i]);
        }
      if (in_time && soak_now_ms () >= change_ms)
        {
          make_change (s);
          change_ms = soak_random_due_ms (s->soak->random, 0, CHANGE_GAP_MAX_MS);
        }
      if (active && soak_now_ms () >= end_ms + REST_MS)
        {
          soak_report_violation (s->soak, "entries", "do not come to rest");
          active = false;
        }
      g_usleep (POLL_US);
    }
}

void
soak_slice_entries (Soak *soak)
{
  Slices s = { .soak = soak, .random = g_rand_new_with_seed (g_rand_int (soak->random)) };
  SoakSlicedCalls *calls = soak_start_sliced_calls (soak);
  GThread *thread;

  s.long_every = long_pauses_every[g_rand_int_range (soak->random, 0,
                                                     G_N_ELEMENTS (long_pauses_every))];
  for (unsigned i = 0; i < ENTRIES; i++)
    s.entries[i] = (SlicedEntry){
      .process = &soak->testbed->entry_process[i],
      .index = i,
      .next_ms = soak_random_due_ms (soak->random, 0, STOP_GAP_MAX_MS),
      .watch = { .fd = -1 },
    };
  thread = g_thread_new ("slices", run_slices, &s);
  plan (&s);
  soak_end_sliced_calls (calls);
  g_atomic_int_set (&s.stop, 1);
  g_thread_join (thread);
  set_fault (soak->testbed->server[SERVERS - 1], "answer_ms", 0);
  g_rand_free (s.random);
  g_mutex_clear (&s.lock);
}
