/* The soak's loss of power: all hosts but the store's end at once, beside a write. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "soak.h"

#define DELAY_MIN_MS     5 /* from the write's sending to the loss of power */
#define DELAY_MAX_MS     400
#define UP_MAX_MS        1500 /* between two losses */
#define RECOVERY_MS      12000
#define KEY_CHECK_MS     4000 /* over the revocation's bound */
#define RECOVERY_POLL_US 100000
#define HOST_PROCESSES   (ENTRIES + 2 * (SERVERS - 1))
#define US_PER_MS        1000

static gpointer
write_keys (gpointer soak)
{
  soak_change_keys (soak);
  return NULL;
}

static gpointer
write_version (gpointer soak)
{
  soak_announce_version (soak);
  return NULL;
}

/* All processes that lose their power; the plain server keeps the records. */
static void
list_processes (Testbed *tb, Process *list[HOST_PROCESSES])
{
  unsigned count = 0;

  for (unsigned i = 0; i < ENTRIES; i++)
    list[count++] = &tb->entry_process[i];
  for (unsigned i = 0; i < SERVERS - 1; i++)
    {
      list[count++] = &tb->stager_process[i];
      list[count++] = &tb->server_process[i];
    }
}

static void
kill_all (Process *list[HOST_PROCESSES])
{
  for (unsigned i = 0; i < HOST_PROCESSES; i++)
    if (list[i]->pid > 0)
      kill (list[i]->pid, SIGKILL);
  for (unsigned i = 0; i < HOST_PROCESSES; i++)
    process_end (list[i], SIGKILL);
}

/* Starts the processes in random order. */
static void
start_all (Soak *soak, Process *list[HOST_PROCESSES])
{
  for (unsigned i = HOST_PROCESSES; i > 0; i--)
    {
      unsigned k = (unsigned)g_rand_int_range (soak->random, 0, (gint32)i);
      Process *chosen = list[k];

      list[k] = list[i - 1];
      list[i - 1] = chosen;
      process_start (chosen);
    }
}

/* Sends a request with the second key, which check_requests compares with the changes. */
static void
try_key2 (Soak *soak, unsigned entry)
{
  static unsigned count;
  SentRequest *req = g_new0 (SentRequest, 1);
  Call c;
  Response r;

  req->id = g_strdup_printf ("power-%u", count++);
  req->kind = REQUEST_SAFE;
  req->with_key2 = true;
  c = default_call (soak->testbed, "/r/x", req->id);
  c.address = soak->testbed->entry[entry];
  c.key = "key2";
  req->sent_ms = soak_now_ms ();
  r = call (&c);
  req->done_ms = soak_now_ms ();
  req->status = r.status;
  response_free (&r);
  g_ptr_array_add (soak->requests, req);
}

static bool
entry_serves (Soak *soak, unsigned entry)
{
  Call c = default_call (soak->testbed, "/r/x", "after-power");
  Response r;
  bool served;

  c.address = soak->testbed->entry[entry];
  r = call (&c);
  served = r.status == 200;
  response_free (&r);
  return served;
}

static bool
have_newest_version (Soak *soak)
{
  for (unsigned i = 0; i < SERVERS - 1; i++)
    if (recorded (soak->testbed->server[i], "version") < soak->version)
      return false;
  return true;
}

static void
check_after_power (Soak *soak)
{
  gint64 start = soak_now_ms ();
  bool serve = false;
  bool current = false;

  while (soak_now_ms () < start + RECOVERY_MS)
    {
      serve = true;
      for (unsigned i = 0; i < ENTRIES; i++)
        {
          serve = entry_serves (soak, i) && serve;
          try_key2 (soak, i);
        }
      current = have_newest_version (soak);
      if (serve && current && soak_now_ms () >= start + KEY_CHECK_MS)
        break;
      g_usleep (RECOVERY_POLL_US);
    }
  if (!serve)
    soak_report_violation (soak, "entries", "do not serve in time after a loss of power");
  if (!current)
    soak_report_violation (soak, "servers",
                           "lack the newest version after a loss of power");
}

void
soak_cut_power (Soak *soak)
{
  bool keys = g_rand_boolean (soak->random);
  bool twice = g_rand_boolean (soak->random);
  gint32 delay_ms = g_rand_int_range (soak->random, DELAY_MIN_MS, DELAY_MAX_MS);
  Process *list[HOST_PROCESSES];
  GThread *writer;

  list_processes (soak->testbed, list);
  if (keys && !soak->key2)
    soak_change_keys (soak);
  soak_log_event (soak,
                  keys ? "power is lost beside a change of keys, ms:"
                       : "power is lost beside a new version, ms:",
                  (unsigned)delay_ms);
  for (unsigned i = 0; i < SERVERS - 1; i++)
    soak_check_engine (soak, i);
  writer = g_thread_new ("write", keys ? write_keys : write_version, soak);
  g_usleep ((gulong)delay_ms * US_PER_MS);
  kill_all (list);
  g_thread_join (writer);
  start_all (soak, list);
  if (twice)
    {
      soak_log_event (soak, "power is lost again, time:", 2);
      g_usleep ((gulong)g_rand_int_range (soak->random, 0, UP_MAX_MS) * US_PER_MS);
      kill_all (list);
      start_all (soak, list);
    }
  check_after_power (soak);
}
