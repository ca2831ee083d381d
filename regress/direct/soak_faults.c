/* The faults and changes of the soak. */
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "soak.h"

#define FAULTS_MAX       3
#define FAULT_MIN_MS     150
#define FAULT_MAX_MS     2500
#define FAULT_GAP_MAX_MS 400 /* between the starts of two faults */
#define WRITE_TRIES      8

/* -------- faults of processes -------- */

static Process *
find_process (Testbed *tb, unsigned index)
{
  if (index < ENTRIES)
    return &tb->entry_process[index];
  index -= ENTRIES;
  if (index < SERVERS - 1)
    return &tb->stager_process[index];
  index -= SERVERS - 1;
  /* The plain server is never killed, so that its records of what ran are kept. */
  return &tb->server_process[index];
}

void
soak_check_engine (Soak *soak, unsigned server)
{
  Testbed *tb = soak->testbed;

  if (recorded (tb->server[server], "mixed") > 0)
    soak_report_violation (soak, tb->server_process[server].name,
                           "loaded weights that are not complete");
  if (recorded (tb->server[server], "keys_seen") > 0)
    soak_report_violation (soak, tb->server_process[server].name,
                           "received a caller's key");
}

static void
kill_process (Soak *soak, unsigned index)
{
  if (index >= ENTRIES + SERVERS - 1)
    soak_check_engine (soak, index - (ENTRIES + SERVERS - 1));
  process_end (find_process (soak->testbed, index), SIGKILL);
}

static void
start_process (Soak *soak, unsigned index)
{
  process_start (find_process (soak->testbed, index));
}

bool
soak_has_started (const Process *p)
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

void
soak_stop_entry (Soak *soak, unsigned index)
{
  Process *p = &soak->testbed->entry_process[index];

  soak->stopped_before_start[index] = !soak_has_started (p);
  kill (p->pid, SIGTERM);
}

void
soak_check_exit (Soak *soak, unsigned index, int status)
{
  bool good = status != -1 && WIFEXITED (status) && WEXITSTATUS (status) == 0;
  bool early = status != -1 && soak->stopped_before_start[index] && WIFSIGNALED (status)
               && WTERMSIG (status) == SIGTERM;

  if (!good && !early)
    soak_report_violation (soak, soak->testbed->entry_process[index].name,
                           "did not exit with status 0 after SIGTERM");
}

static void
restart_entry (Soak *soak, unsigned index)
{
  Process *p = &soak->testbed->entry_process[index];

  soak_check_exit (soak, index, process_end (p, 0));
  process_start (p);
}

static void
suspend_process (Soak *soak, unsigned index)
{
  kill (find_process (soak->testbed, index)->pid, SIGSTOP);
}

static void
resume_process (Soak *soak, unsigned index)
{
  kill (find_process (soak->testbed, index)->pid, SIGCONT);
}

static void
suspend_store (Soak *soak, unsigned index)
{
  kill (soak->testbed->store_process.pid, SIGSTOP);
}

static void
resume_store (Soak *soak, unsigned index)
{
  kill (soak->testbed->store_process.pid, SIGCONT);
}

/* -------- faults of connections -------- */

static Proxy *
find_proxy (Soak *soak, unsigned index)
{
  return g_ptr_array_index (soak->testbed->proxies, index);
}

static void
disturb_proxy (Soak *soak, unsigned index)
{
  proxy_set_mode (find_proxy (soak, index),
                  (ProxyMode)g_rand_int_range (soak->random, PROXY_DELAY, PROXY_MODES));
}

static void
restore_proxy (Soak *soak, unsigned index)
{
  proxy_set_mode (find_proxy (soak, index), PROXY_PASS);
}

static void
reset_proxy (Soak *soak, unsigned index)
{
  proxy_reset (find_proxy (soak, index));
}

static void
stall_proxy (Soak *soak, unsigned index)
{
  proxy_stall (find_proxy (soak, index));
}

/* -------- faults of stand-ins -------- */

typedef struct
{
  const char *knob;
  uint64_t value;
  uint64_t normal;
} Knob;

static const Knob store_knobs[] = {
  { "outage", 1, 0 }, { "outage", 2, 0 },     { "outage", 3, 0 },
  { "deaf", 1, 0 },   { "history", 1, 1000 },
};

static void
disturb_store (Soak *soak, unsigned index)
{
  set_fault (soak->testbed->store, store_knobs[index].knob, store_knobs[index].value);
}

static void
restore_store (Soak *soak, unsigned index)
{
  set_fault (soak->testbed->store, store_knobs[index].knob, store_knobs[index].normal);
}

static void
lose_writes (Soak *soak, unsigned index)
{
  set_fault (soak->testbed->store, "lose_writes", 2);
}

static const char *const server_knobs[]
    = { "cut",     "cut_resumed", "shed",   "fail", "lose",
        "foreign", "unsealed",    "silent", "rot" };

static void
disturb_server (Soak *soak, unsigned index)
{
  unsigned knob
      = (unsigned)g_rand_int_range (soak->random, 0, G_N_ELEMENTS (server_knobs));

  set_fault (soak->testbed->server[index], server_knobs[knob],
             (uint64_t)g_rand_int_range (soak->random, 1, 5));
}

static void
corrupt_origin (Soak *soak, unsigned index)
{
  set_fault (soak->testbed->origin, "corrupt", 2);
}

static void
do_nothing (Soak *soak, unsigned index)
{
}

/* -------- changes -------- */

void
soak_change_keys (Soak *soak)
{
  KeyChange change = { .has_key2 = !soak->key2, .begun_ms = soak_now_ms () };
  bool done = testbed_configure (soak->testbed, soak->key2);

  change.done_ms = soak_now_ms ();
  if (done)
    soak->key2 = change.has_key2;
  /* A write without a response may or may not have taken effect: the key may be valid
   * again, but is not certainly revoked. */
  if (done || change.has_key2)
    g_array_append_val (soak->keys, change);
}

static void
change_configuration (Soak *soak, unsigned index)
{
  soak_change_keys (soak);
}

static void
drain_server (Soak *soak, unsigned index)
{
  testbed_list_server (soak->testbed, index, "draining");
}

/* Repeats the write, as "lose writes" may drop a bounded number of responses here too. */
static void
list_server (Soak *soak, unsigned index)
{
  for (unsigned i = 0; i < WRITE_TRIES; i++)
    if (testbed_restart_server (soak->testbed, index))
      return;
  soak_report_violation (soak, "store",
                         "accepts no write of a server, though it is available");
}

void
soak_announce_version (Soak *soak)
{
  if (testbed_announce_version (soak->testbed, soak->version + 1))
    soak->version++;
}

static void
announce_version (Soak *soak, unsigned index)
{
  soak_announce_version (soak);
}

void
soak_set_event_ms (Soak *soak, uint64_t event_ms)
{
  for (unsigned i = 0; i < SERVERS - 1; i++)
    set_fault (soak->testbed->server[i], "event_ms", event_ms);
}

void
soak_heal (Soak *soak)
{
  Testbed *tb = soak->testbed;

  set_fault (tb->store, "lose_writes", 0);
  set_fault (tb->origin, "corrupt", 0);
  for (unsigned i = 0; i < SERVERS; i++)
    for (size_t k = 0; k < G_N_ELEMENTS (server_knobs); k++)
      set_fault (tb->server[i], server_knobs[k], 0);
  for (guint i = 0; i < tb->proxies->len; i++)
    proxy_reset (g_ptr_array_index (tb->proxies, i));
}

#define PROCESSES (ENTRIES + 2 * (SERVERS - 1))
#define PROXIES   (2 + SERVERS + ENTRIES)
/* Only the first model server is drained, so that another one is left. */
#define DRAINABLE_SERVERS 1

static const FaultKind kinds[] = {
  { "kill", kill_process, start_process, PROCESSES, 'p' },
  { "graceful shutdown", soak_stop_entry, restart_entry, ENTRIES, 'p' },
  { "suspend", suspend_process, resume_process, PROCESSES, 'p' },
  { "suspend the store", suspend_store, resume_store, 1, 's' },
  { "disturb proxy", disturb_proxy, restore_proxy, PROXIES, 'x' },
  { "reset proxy", reset_proxy, do_nothing, PROXIES, 'r' },
  { "stall proxy", stall_proxy, do_nothing, PROXIES, 'r' },
  { "disturb store", disturb_store, restore_store, G_N_ELEMENTS (store_knobs), 'k' },
  { "lose writes", lose_writes, do_nothing, 1, 'l' },
  { "disturb server", disturb_server, do_nothing, SERVERS, 'v' },
  { "corrupt origin", corrupt_origin, do_nothing, 1, 'o' },
  { "change configuration", change_configuration, do_nothing, 1, 'c' },
  { "drain server", drain_server, list_server, DRAINABLE_SERVERS, 'd' },
  { "announce version", announce_version, do_nothing, 1, 'n' },
};

static bool
is_fault_active (const Soak *soak, const FaultKind *kind, unsigned index)
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
is_group_active (const Soak *soak, char group)
{
  for (guint i = 0; i < soak->faults->len; i++)
    if (g_array_index (soak->faults, Fault, i).kind->group == group)
      return true;
  return false;
}

/* The runner cannot set faults of the store while it is suspended, nor write its objects
 * while it is suspended or unavailable. */
static bool
can_act (const Soak *soak, const FaultKind *kind)
{
  bool suspended = is_group_active (soak, 's');

  if (strchr ("kl", kind->group) != NULL)
    return !suspended;
  if (strchr ("cdn", kind->group) != NULL)
    return !suspended && !is_group_active (soak, 'k');
  return true;
}

static void
log_fault (Soak *soak, const char *what, const Fault *f)
{
  char *text = g_strdup_printf ("%s: %s", what, f->kind->name);

  soak_log_event (soak, text, f->index);
  g_free (text);
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
    = soak_now_ms () + g_rand_int_range (soak->random, FAULT_MIN_MS, FAULT_MAX_MS),
  };

  if (is_fault_active (soak, kind, fault.index) || !can_act (soak, kind))
    return;
  log_fault (soak, "begins", &fault);
  kind->start (soak, fault.index);
  g_array_append_val (soak->faults, fault);
}

/* Ends the faults that are due by NOW, the last one first. */
static void
end_faults (Soak *soak, gint64 now)
{
  for (guint i = soak->faults->len; i-- > 0;)
    {
      Fault f = g_array_index (soak->faults, Fault, i);

      if (f.until_ms > now || !can_act (soak, f.kind))
        continue;
      g_array_remove_index (soak->faults, i);
      log_fault (soak, "ends", &f);
      f.kind->end (soak, f.index);
    }
}

void
soak_check_process (Soak *soak, Process *p)
{
  int status;

  if (p->pid <= 0 || waitpid (p->pid, &status, WNOHANG) != p->pid)
    return;
  p->pid = 0;
  soak_report_violation (soak, p->name, "ended by itself");
  process_start (p);
}

static void
check_processes (Soak *soak)
{
  for (unsigned i = 0; i < PROCESSES; i++)
    if (!is_fault_active (soak, &kinds[0], i))
      soak_check_process (soak, find_process (soak->testbed, i));
}

/* -------- running -------- */

void
soak_inject_faults (Soak *soak, unsigned seconds)
{
  gint64 end = soak_now_ms () + (gint64)seconds * 1000;
  gint64 next = soak_now_ms ();

  while (soak_now_ms () < end)
    {
      end_faults (soak, soak_now_ms ());
      check_processes (soak);
      if (soak_now_ms () >= next && soak->faults->len < FAULTS_MAX)
        {
          start_fault (soak);
          next = soak_now_ms () + g_rand_int_range (soak->random, 0, FAULT_GAP_MAX_MS);
        }
      g_usleep (SOAK_POLL_US);
    }
  while (soak->faults->len > 0)
    end_faults (soak, G_MAXINT64);
}
