/* The soak's planned work: entries are stopped in series and at the same time, with
 * repeated signals, while the configuration, the servers and the weights change. */
#include <glib.h>
#include <signal.h>
#include <sys/wait.h>

#include "soak.h"

#define PLAN_POLL_US      10000
#define LONG_EVENT_MS     450 /* a stream of ten events then lasts 4.5 s or more */
#define EVENT_SPREAD_MS   100
#define LONG_ANSWER_MS    4000
#define ANSWER_SPREAD_MS  3500
#define DURATIONS_MS      4000
#define STOP_GAP_MAX_MS   5000
#define SIGNAL_GAP_MAX_MS 4000
#define START_GAP_MAX_MS  200
#define CHANGE_GAP_MAX_MS 1500

typedef enum
{
  ENTRY_RUNS,
  ENTRY_STOPS,
  ENTRY_ENDED,
} EntryState;

/* What is planned next for an entry: in each state, at NEXT_MS, its SIGTERM, a further
 * signal, or its start. */
typedef struct
{
  EntryState state;
  gint64 next_ms;
} PlannedEntry;

/* -------- stops of entries -------- */

static void
send_reload (Soak *soak, unsigned index)
{
  const Process *p = &soak->testbed->entry_process[index];

  if (p->pid <= 0 || !soak_has_started (p))
    return;
  soak_log_event (soak, "planned: SIGHUP", index);
  kill (p->pid, SIGHUP);
}

static void
begin_stop (Soak *soak, PlannedEntry *e, unsigned index)
{
  soak_log_event (soak, "planned: SIGTERM", index);
  soak_stop_entry (soak, index);
  e->state = ENTRY_STOPS;
  e->next_ms = soak_random_due_ms (soak->random, 0, SIGNAL_GAP_MAX_MS);
}

static void
watch_stop (Soak *soak, PlannedEntry *e, unsigned index)
{
  Process *p = &soak->testbed->entry_process[index];
  int status;

  if (waitpid (p->pid, &status, WNOHANG) == p->pid)
    {
      p->pid = 0;
      soak_log_event (soak, "planned: has ended", index);
      soak_check_exit (soak, index, status);
      e->state = ENTRY_ENDED;
      e->next_ms = soak_random_due_ms (soak->random, 0, START_GAP_MAX_MS);
    }
  else if (soak_now_ms () >= e->next_ms)
    {
      soak_log_event (soak, "planned: SIGTERM again", index);
      kill (p->pid, SIGTERM);
      e->next_ms = soak_random_due_ms (soak->random, 0, SIGNAL_GAP_MAX_MS);
    }
}

/* Continues with entry INDEX; a running one is stopped only if MAY_STOP. */
static void
advance_entry (Soak *soak, PlannedEntry *e, unsigned index, bool may_stop)
{
  switch (e->state)
    {
    case ENTRY_RUNS:
      soak_check_process (soak, &soak->testbed->entry_process[index]);
      if (may_stop && soak_now_ms () >= e->next_ms)
        begin_stop (soak, e, index);
      break;
    case ENTRY_STOPS:
      watch_stop (soak, e, index);
      break;
    case ENTRY_ENDED:
      if (soak_now_ms () < e->next_ms)
        break;
      soak_log_event (soak, "planned: start", index);
      process_start (&soak->testbed->entry_process[index]);
      e->state = ENTRY_RUNS;
      e->next_ms = soak_random_due_ms (soak->random, 0, STOP_GAP_MAX_MS);
      break;
    }
}

/* -------- changes -------- */

typedef enum
{
  CHANGE_RELOAD,
  CHANGE_KEYS,
  CHANGE_DRAIN,
  CHANGE_UNDRAIN,
  CHANGE_VERSION,
  CHANGES,
} PlannedChange;

static void
make_change (Soak *soak)
{
  PlannedChange change = (PlannedChange)g_rand_int_range (soak->random, 0, CHANGES);

  switch (change)
    {
    case CHANGE_RELOAD:
      send_reload (soak, (unsigned)g_rand_int_range (soak->random, 0, ENTRIES));
      break;
    case CHANGE_KEYS:
      soak_log_event (soak, "planned: change configuration", 0);
      soak_change_keys (soak);
      break;
    case CHANGE_DRAIN:
      soak_log_event (soak, "planned: drain server", 0);
      testbed_list_server (soak->testbed, 0, "draining");
      break;
    case CHANGE_UNDRAIN:
      soak_log_event (soak, "planned: list server", 0);
      testbed_list_server (soak->testbed, 0, "ready");
      break;
    case CHANGE_VERSION:
      soak_log_event (soak, "planned: announce version", 0);
      soak_announce_version (soak);
      break;
    case CHANGES:
      break;
    }
}

/* Chooses anew how long requests run: three times in four, some outlast a stop's limit if
 * they begin late in it. */
static void
choose_durations (Soak *soak)
{
  bool last_long = g_rand_int_range (soak->random, 0, 4) > 0;
  uint64_t event_ms = (uint64_t)g_rand_int_range (soak->random, 0, EVENT_SPREAD_MS);
  uint64_t answer_ms = (uint64_t)g_rand_int_range (soak->random, 0, ANSWER_SPREAD_MS);

  event_ms += last_long ? LONG_EVENT_MS : SOAK_EVENT_MS;
  answer_ms += last_long ? LONG_ANSWER_MS : 0;
  soak_log_event (soak, "planned: requests last long:", last_long);
  soak_set_event_ms (soak, event_ms);
  set_fault (soak->testbed->server[SERVERS - 1], "answer_ms", answer_ms);
}

void
soak_plan_work (Soak *soak, unsigned seconds)
{
  PlannedEntry entries[ENTRIES] = { 0 };
  gint64 end = soak_now_ms () + (gint64)seconds * 1000;
  gint64 change_ms = soak_random_due_ms (soak->random, 0, CHANGE_GAP_MAX_MS);
  gint64 durations_ms = 0;
  bool active = true;

  for (unsigned i = 0; i < ENTRIES; i++)
    entries[i].next_ms = soak_random_due_ms (soak->random, 0, STOP_GAP_MAX_MS);
  while (active)
    {
      bool in_time = soak_now_ms () < end;

      active = in_time;
      for (unsigned i = 0; i < ENTRIES; i++)
        {
          advance_entry (soak, &entries[i], i, in_time);
          active = active || entries[i].state != ENTRY_RUNS;
        }
      if (in_time && soak_now_ms () >= durations_ms)
        {
          choose_durations (soak);
          durations_ms = soak_now_ms () + DURATIONS_MS;
        }
      for (unsigned i = 0; i < SERVERS - 1; i++)
        soak_check_process (soak, &soak->testbed->stager_process[i]);
      if (in_time && soak_now_ms () >= change_ms)
        {
          make_change (soak);
          change_ms = soak_random_due_ms (soak->random, 0, CHANGE_GAP_MAX_MS);
        }
      g_usleep (PLAN_POLL_US);
    }
  testbed_list_server (soak->testbed, 0, "ready");
}
