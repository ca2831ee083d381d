/* Faults and changes of the soak, which overlap. */
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "soak.h"

#define FAULTS_AT_ONCE 3
#define FAULT_LEAST_MS 150
#define FAULT_MOST_MS  2500
#define QUIET_MOST_MS  400 /* between the starts of two faults */
#define WRITE_TRIES    8

/* -------- faults of processes -------- */

static Process *
find_process (World *w, unsigned index)
{
  if (index < ENTRIES)
    return &w->entry_process[index];
  index -= ENTRIES;
  if (index < SERVERS - 1)
    return &w->stager_process[index];
  index -= SERVERS - 1;
  /* The plain server, whose records tell what ran once, stays up. */
  return &w->server_process[index];
}

/* What an engine recorded would be lost with its process. */
void
soak_check_engine (Soak *soak, unsigned server)
{
  World *w = soak->world;

  if (recorded (w->server[server], "mixed") > 0)
    soak_break_promise (soak, w->server_process[server].name,
                        "took weights that are not whole");
  if (recorded (w->server[server], "keys_seen") > 0)
    soak_break_promise (soak, w->server_process[server].name, "was shown a caller's key");
}

static void
kill_process (Soak *soak, unsigned index)
{
  if (index >= ENTRIES + SERVERS - 1)
    soak_check_engine (soak, index - (ENTRIES + SERVERS - 1));
  process_end (find_process (soak->world, index), SIGKILL);
}

static void
start_process (Soak *soak, unsigned index)
{
  process_start (find_process (soak->world, index));
}

/* True when the process has said that it started, so that it handles signals. */
static bool
has_started (const Process *p)
{
  char *text = NULL;
  const char *start;
  bool started;

  g_file_get_contents (p->log, &text, NULL, NULL);
  start = text != NULL ? g_strrstr (text, PROCESS_LOG_MARK) : NULL;
  started = start != NULL && strstr (start, "\"event\":100,") != NULL;
  g_free (text);
  return started;
}

static void
stop_entry (Soak *soak, unsigned index)
{
  Process *p = &soak->world->entry_process[index];

  soak->stopped_early[index] = !has_started (p);
  kill (p->pid, SIGTERM);
}

/* A planned stop ends well, and in its time; one that came before the process could
 * handle it ends it as it is. */
static void
restart_entry (Soak *soak, unsigned index)
{
  Process *p = &soak->world->entry_process[index];
  int status = process_end (p, 0);
  bool good = status != -1 && WIFEXITED (status) && WEXITSTATUS (status) == 0;
  bool early = status != -1 && soak->stopped_early[index] && WIFSIGNALED (status)
               && WTERMSIG (status) == SIGTERM;

  if (!good && !early)
    soak_break_promise (soak, p->name, "did not end well after a planned stop");
  process_start (p);
}

static void
suspend_process (Soak *soak, unsigned index)
{
  kill (find_process (soak->world, index)->pid, SIGSTOP);
}

static void
resume_process (Soak *soak, unsigned index)
{
  kill (find_process (soak->world, index)->pid, SIGCONT);
}

static void
suspend_store (Soak *soak, unsigned index)
{
  kill (soak->world->store_process.pid, SIGSTOP);
}

static void
resume_store (Soak *soak, unsigned index)
{
  kill (soak->world->store_process.pid, SIGCONT);
}

/* -------- faults of connections -------- */

static Proxy *
find_proxy (Soak *soak, unsigned index)
{
  return g_ptr_array_index (soak->world->proxies, index);
}

static void
disturb_proxy (Soak *soak, unsigned index)
{
  proxy_set_mode (find_proxy (soak, index),
                  (ProxyMode)g_rand_int_range (soak->random, PROXY_DELAY, PROXY_MODES));
}

static void
heal_proxy (Soak *soak, unsigned index)
{
  proxy_set_mode (find_proxy (soak, index), PROXY_PASS);
}

static void
reset_proxy (Soak *soak, unsigned index)
{
  proxy_reset (find_proxy (soak, index));
}

static void
silence_proxy (Soak *soak, unsigned index)
{
  proxy_silence (find_proxy (soak, index));
}

/* -------- faults of stand-ins -------- */

typedef struct
{
  const char *knob;
  uint64_t value;
  uint64_t healed;
} Knob;

static const Knob store_knobs[] = {
  { "outage", 1, 0 }, { "outage", 2, 0 },     { "outage", 3, 0 },
  { "deaf", 1, 0 },   { "history", 1, 1000 },
};

static void
disturb_store (Soak *soak, unsigned index)
{
  set_fault (soak->world->store, store_knobs[index].knob, store_knobs[index].value);
}

static void
heal_store (Soak *soak, unsigned index)
{
  set_fault (soak->world->store, store_knobs[index].knob, store_knobs[index].healed);
}

static void
lose_writes (Soak *soak, unsigned index)
{
  set_fault (soak->world->store, "lose_writes", 2);
}

static const char *const server_knobs[]
    = { "cut",     "cut_resumed", "shed",   "fail", "lose",
        "foreign", "unsealed",    "silent", "rot" };

static void
disturb_server (Soak *soak, unsigned index)
{
  unsigned knob
      = (unsigned)g_rand_int_range (soak->random, 0, G_N_ELEMENTS (server_knobs));

  set_fault (soak->world->server[index], server_knobs[knob],
             (uint64_t)g_rand_int_range (soak->random, 1, 5));
}

static void
spoil_origin (Soak *soak, unsigned index)
{
  set_fault (soak->world->origin, "corrupt", 2);
}

static void
do_nothing (Soak *soak, unsigned index)
{
}

/* -------- changes -------- */

/* Takes the second key away, or gives it back. */
static void
change_configuration (Soak *soak, unsigned index)
{
  KeyChange change = { .has_key2 = !soak->key2, .begun_ms = soak_now_ms () };
  bool done = world_configure (soak->world, soak->key2);

  change.done_ms = soak_now_ms ();
  if (done)
    soak->key2 = change.has_key2;
  /* Without an answer the key may be there again, and is not surely gone. */
  if (done || change.has_key2)
    g_array_append_val (soak->keys, change);
}

static void
drain_server (Soak *soak, unsigned index)
{
  world_list_server (soak->world, index, "draining");
}

/* Answers to the runner may be lost too, a bounded number of times. */
static void
list_server (Soak *soak, unsigned index)
{
  for (unsigned i = 0; i < WRITE_TRIES; i++)
    if (world_list_server (soak->world, index, "ready"))
      return;
  soak_break_promise (soak, "store", "does not take an entry, though it is well");
}

static void
name_version (Soak *soak, unsigned index)
{
  if (world_name_version (soak->world, soak->version + 1))
    soak->version++;
}

#define PROCESSES (ENTRIES + 2 * (SERVERS - 1))
#define PROXIES   (2 + SERVERS + ENTRIES)
/* Servers of which one may leave: of those with engines. */
#define LEAVING 1

static const FaultKind kinds[] = {
  { "kill", kill_process, start_process, PROCESSES, 'p' },
  { "planned stop", stop_entry, restart_entry, ENTRIES, 'p' },
  { "suspend", suspend_process, resume_process, PROCESSES, 'p' },
  { "suspend the store", suspend_store, resume_store, 1, 's' },
  { "disturb proxy", disturb_proxy, heal_proxy, PROXIES, 'x' },
  { "reset proxy", reset_proxy, do_nothing, PROXIES, 'r' },
  { "silence proxy", silence_proxy, do_nothing, PROXIES, 'r' },
  { "disturb store", disturb_store, heal_store, G_N_ELEMENTS (store_knobs), 'k' },
  { "lose writes", lose_writes, do_nothing, 1, 'l' },
  { "disturb server", disturb_server, do_nothing, SERVERS, 'v' },
  { "spoil origin", spoil_origin, do_nothing, 1, 'o' },
  { "change configuration", change_configuration, do_nothing, 1, 'c' },
  { "drain server", drain_server, list_server, LEAVING, 'd' },
  { "name version", name_version, do_nothing, 1, 'n' },
};

static bool
is_struck (const Soak *soak, const FaultKind *kind, unsigned index)
{
  for (guint i = 0; i < soak->faults->len; i++)
    {
      const Fault *f = &g_array_index (soak->faults, Fault, i);

      if (f->kind->group == kind->group && f->index == index)
        return true;
    }
  return false;
}

static bool
is_under_way (const Soak *soak, char group)
{
  for (guint i = 0; i < soak->faults->len; i++)
    if (g_array_index (soak->faults, Fault, i).kind->group == group)
      return true;
  return false;
}

/* While the store is suspended the runner cannot set its faults, and while it is away the
 * runner cannot change its objects. */
static bool
can_act (const Soak *soak, const FaultKind *kind)
{
  bool suspended = is_under_way (soak, 's');

  if (strchr ("kl", kind->group) != NULL)
    return !suspended;
  if (strchr ("cdn", kind->group) != NULL)
    return !suspended && !is_under_way (soak, 'k');
  return true;
}

static void
note (Soak *soak, const char *what, const Fault *f)
{
  g_string_append_printf (soak->history, "  %6.2f s  %s: %s %u\n",
                          (double)(soak_now_ms () - soak->start_ms) / 1000.0, what,
                          f->kind->name, f->index);
}

static void
start_fault (Soak *soak)
{
  const FaultKind *kind
      = &kinds[g_rand_int_range (soak->random, 0, G_N_ELEMENTS (kinds))];
  Fault fault = {
    .kind = kind,
    .index = (unsigned)g_rand_int_range (soak->random, 0, (gint32)kind->targets),
    .until_ms
    = soak_now_ms () + g_rand_int_range (soak->random, FAULT_LEAST_MS, FAULT_MOST_MS),
  };

  if (is_struck (soak, kind, fault.index) || !can_act (soak, kind))
    return;
  note (soak, "begins", &fault);
  kind->start (soak, fault.index);
  g_array_append_val (soak->faults, fault);
}

/* Ends those that are due by NOW, the last one first. */
static void
end_faults (Soak *soak, gint64 now)
{
  for (guint i = soak->faults->len; i-- > 0;)
    {
      Fault f = g_array_index (soak->faults, Fault, i);

      if (f.until_ms > now || !can_act (soak, f.kind))
        continue;
      g_array_remove_index (soak->faults, i);
      note (soak, "ends", &f);
      f.kind->end (soak, f.index);
    }
}

/* A process that nobody ended has ended. */
static void
check_process (Soak *soak, Process *p)
{
  int status;

  if (p->pid <= 0 || waitpid (p->pid, &status, WNOHANG) != p->pid)
    return;
  p->pid = 0;
  soak_break_promise (soak, p->name, "ended by itself");
  process_start (p);
}

static void
check_processes (Soak *soak)
{
  for (unsigned i = 0; i < PROCESSES; i++)
    if (!is_struck (soak, &kinds[0], i))
      check_process (soak, find_process (soak->world, i));
}

/* -------- running -------- */

void
soak_press (Soak *soak, unsigned seconds)
{
  gint64 end = soak_now_ms () + (gint64)seconds * 1000;
  gint64 next = soak_now_ms ();

  while (soak_now_ms () < end)
    {
      end_faults (soak, soak_now_ms ());
      check_processes (soak);
      if (soak_now_ms () >= next && soak->faults->len < FAULTS_AT_ONCE)
        {
          start_fault (soak);
          next = soak_now_ms () + g_rand_int_range (soak->random, 0, QUIET_MOST_MS);
        }
      g_usleep (SOAK_TURN_US);
    }
  while (soak->faults->len > 0)
    end_faults (soak, G_MAXINT64);
}
