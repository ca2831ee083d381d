/* What changes around requests: configuration, servers, weights, the store, the nodes. */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "direct.h"
#include "kernel/address.h"

/* -------- configuration, servers -------- */

static int
status_with_key (World *w, unsigned entry, const char *key)
{
  Call c = request (w, "/r/x", "key");
  Answer a;
  int status;

  c.address = w->entry[entry];
  c.key = key;
  a = call (&c);
  status = a.status;
  answer_free (&a);
  return status;
}

static bool
key2_is_unknown (World *w)
{
  return status_with_key (w, 0, "key2") == 401 && status_with_key (w, 1, "key2") == 401;
}

static void
test_key_taken_away (World *w)
{
  CHECK (status_with_key (w, 0, "key2") == 200);
  CHECK (world_configure (w, true));
  CHECK (eventually (key2_is_unknown, w));
  CHECK (status_with_key (w, 0, "key1") == 200);
}

/* An older version, or one that cannot be read, changes nothing. */
static void
test_bad_configuration (World *w)
{
  CHECK (world_put (w, "config", "main", "{\"version\":\"odd\"}"));
  CHECK (status_with_key (w, 0, "key1") == 200);
  w->config_version -= 2; /* world_configure adds one */
  CHECK (world_configure (w, false));
  CHECK (key2_is_unknown (w));
  w->config_version += 10;
  CHECK (world_configure (w, true));
}

static bool
first_server_is_left (World *w)
{
  uint64_t before = recorded (w->server[0], "ran");

  for (int i = 0; i < 12; i++)
    {
      char *id = g_strdup_printf ("drain-%" G_GUINT64_FORMAT "-%d", before, i);
      Call c = request (w, "/r/x", id);
      Answer a = call (&c);

      CHECK (a.status == 200);
      answer_free (&a);
      g_free (id);
    }
  return recorded (w->server[0], "ran") == before;
}

static void
test_server_leaves (World *w)
{
  CHECK (world_put (w, "servers", "i-77", "{\"backend\":17}"));
  CHECK (world_put (w, "servers", "i-78", "\"not an entry\""));
  CHECK (world_list_server (w, 0, "draining"));
  CHECK (eventually (first_server_is_left, w));
  CHECK (world_list_server (w, 0, "ready"));
}

/* -------- weights -------- */

static uint64_t awaited_version;

static bool
serve_version (World *w)
{
  return recorded (w->server[0], "version") == awaited_version
         && recorded (w->server[1], "version") == awaited_version;
}

static void
bring_version (World *w, uint64_t version)
{
  awaited_version = version;
  CHECK (world_name_version (w, version));
  CHECK (eventually (serve_version, w));
  CHECK (recorded (w->server[0], "mixed") == 0);
  CHECK (recorded (w->server[1], "mixed") == 0);
}

static void
test_version (World *w)
{
  uint64_t before = recorded (w->origin, "drawn");

  bring_version (w, 2);
  /* Two entries and two stagers share one copy, and little more. */
  CHECK (recorded (w->origin, "drawn") - before <= 2 * 16 * 4096);
}

static void
test_version_with_faults (World *w)
{
  CHECK (set_fault (w->origin, "corrupt", 3));
  set_both (w, "rot", 1);
  bring_version (w, 3);
}

static void
test_versions_in_succession (World *w)
{
  CHECK (world_name_version (w, 4));
  bring_version (w, 5);
}

/* A server that starts anew holds nothing and is filled again. */
static void
test_server_starts_anew (World *w)
{
  process_end (&w->server_process[0], SIGKILL);
  CHECK (process_start (&w->server_process[0]));
  CHECK (eventually (serve_version, w));
  CHECK (recorded (w->server[0], "mixed") == 0);
}

/* -------- the store away, entries ending -------- */

static bool
is_refused (World *w)
{
  return status_with_key (w, 0, "key1") == 503;
}

static bool
is_served (World *w)
{
  return status_with_key (w, 0, "key1") == 200 && status_with_key (w, 1, "key1") == 200;
}

static int
ready_status (World *w)
{
  Answer a = call (&(Call){ .address = w->ready[0], .target = "/-/readyz" });
  int status = a.status;

  answer_free (&a);
  return status;
}

static bool
is_not_ready (World *w)
{
  return ready_status (w) == 503;
}

/* More than an entry keeps open beside those that it answers. */
#define IDLE_CONNECTIONS 650

static int
connect_to (const char *text)
{
  struct sockaddr_in at;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (dl_address_parse (dl_str (text), &at) < 0
      || connect (fd, (struct sockaddr *)&at, sizeof at) < 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static bool
closes_connection (World *w)
{
  Call c = request (w, "/r/x", "many");
  Answer a = call (&c);
  char *connection = answer_header (&a, "Connection");
  bool closes = a.status == 200 && g_strcmp0 (connection, "close") == 0;

  g_free (connection);
  answer_free (&a);
  return closes;
}

/* Idle connections do not pile up: answers close theirs while there are many. */
static void
test_many_connections (World *w)
{
  int fds[IDLE_CONNECTIONS];

  CHECK (!closes_connection (w));
  for (unsigned i = 0; i < IDLE_CONNECTIONS; i++)
    fds[i] = connect_to (w->entry[0]);
  CHECK (fds[IDLE_CONNECTIONS - 1] >= 0);
  CHECK (eventually (closes_connection, w));
  for (unsigned i = 0; i < IDLE_CONNECTIONS; i++)
    close (fds[i]);
}

/* Index of the entry that asks the other in place of the store; ENTRIES for none. */
static unsigned
find_follower (World *w)
{
  unsigned follower = ENTRIES;

  for (unsigned i = 0; i < ENTRIES; i++)
    {
      Answer a = call (&(Call){ .address = w->metrics[i], .target = "/metrics" });
      const char *line = strstr (a.body, "\ndaisy_node_relay_answers_total ");

      /* The other one answers it. */
      if (line != NULL && atoi (strchr (line + 1, ' ')) > 0)
        follower = 1 - i;
      answer_free (&a);
    }
  return follower;
}

static bool
has_follower (World *w)
{
  return find_follower (w) < ENTRIES;
}

static unsigned follower;

static bool
follower_knows_key2 (World *w)
{
  return status_with_key (w, follower, "key2") == 200;
}

static bool
follower_has_lost_key2 (World *w)
{
  return status_with_key (w, follower, "key2") == 401;
}

/* An entry that asks another one goes on by itself when that one is silent. */
static void
test_reader_is_silent (World *w)
{
  CHECK (eventually (has_follower, w));
  follower = find_follower (w);
  CHECK (world_configure (w, false));
  CHECK (eventually (follower_knows_key2, w));
  kill (w->entry_process[1 - follower].pid, SIGSTOP);
  CHECK (world_configure (w, true));
  CHECK (eventually (follower_has_lost_key2, w));
  kill (w->entry_process[1 - follower].pid, SIGCONT);
  CHECK (eventually (key2_is_unknown, w));
}

/* Without fresh word of the store a key proves nothing; what needs none is served. */
static void
test_store_away (World *w)
{
  Call open = request (w, "/p/x", "open-1");
  Answer a;

  kill (w->store_process.pid, SIGSTOP);
  CHECK (eventually (is_refused, w));
  CHECK (eventually (is_not_ready, w));
  open.key = NULL;
  a = call (&open);
  CHECK (a.status == 200);
  answer_free (&a);
  kill (w->store_process.pid, SIGCONT);
  CHECK (eventually (is_served, w));
}

static gpointer
long_stream (gpointer data)
{
  Call c = request (data, "/s/x", "long-1");
  Answer *a = g_new0 (Answer, 1);

  *a = call (&c);
  return a;
}

static bool
long_stream_runs (World *w)
{
  return runs_of (w, "long-1") == 1;
}

/* A planned stop: not ready at once, the stream ends whole, the process ends well. */
static void
test_planned_stop (World *w)
{
  GThread *thread;
  Answer *a;
  int status;

  set_both (w, "event_ms", 100);
  thread = g_thread_new ("stream", long_stream, w);
  CHECK (eventually (long_stream_runs, w));
  status = process_end (&w->entry_process[0], SIGTERM);
  a = g_thread_join (thread);
  CHECK (a->status == 200 && a->whole && has_events (a->body, 1, 10));
  CHECK (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  answer_free (a);
  g_free (a);
  set_both (w, "event_ms", 20);
  CHECK (process_start (&w->entry_process[0]));
  CHECK (eventually (is_served, w));
}

static void
test_all_killed (World *w)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    process_end (&w->entry_process[i], SIGKILL);
  for (unsigned i = 0; i < SERVERS - 1; i++)
    process_end (&w->stager_process[i], SIGKILL);
  for (unsigned i = 0; i < ENTRIES; i++)
    CHECK (process_start (&w->entry_process[i]));
  for (unsigned i = 0; i < SERVERS - 1; i++)
    CHECK (process_start (&w->stager_process[i]));
  CHECK (eventually (is_served, w));
  CHECK (key2_is_unknown (w));
  bring_version (w, 6);
}

static bool
has_reloaded (World *w)
{
  char *text = NULL;
  bool found;

  g_file_get_contents (w->entry_process[0].log, &text, NULL, NULL);
  found = text != NULL && strstr (text, "told to reload") != NULL;
  g_free (text);
  return found;
}

static void
test_reload (World *w)
{
  kill (w->entry_process[0].pid, SIGHUP);
  CHECK (eventually (has_reloaded, w));
  CHECK (eventually (is_served, w));
}

const TestFunc change_tests[] = {
  test_key_taken_away,      test_bad_configuration,
  test_server_leaves,       test_version,
  test_version_with_faults, test_versions_in_succession,
  test_server_starts_anew,  test_many_connections,
  test_reader_is_silent,    test_store_away,
  test_planned_stop,        test_reload,
  test_all_killed,          NULL,
};
