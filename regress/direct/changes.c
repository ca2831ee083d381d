/*
 * Tests of changes while requests go on: of the configuration, the servers, the weights,
 * the store and the nodes.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "direct.h"
#include "kernel/address.h"

/* -------- configuration, servers -------- */

static bool
key2_is_unknown (Testbed *tb)
{
  return status_with_key (tb, 0, "key2") == 401 && status_with_key (tb, 1, "key2") == 401;
}

static void
test_key_revoked (Testbed *tb)
{
  CHECK (status_with_key (tb, 0, "key2") == 200);
  CHECK (testbed_configure (tb, true));
  CHECK (eventually (key2_is_unknown, tb));
  CHECK (status_with_key (tb, 0, "key1") == 200);
}

/* A configuration that is older or malformed is ignored. */
static void
test_bad_configuration (Testbed *tb)
{
  CHECK (testbed_put (tb, "config", "main", "{\"version\":\"odd\"}"));
  CHECK (status_with_key (tb, 0, "key1") == 200);
  tb->config_version -= 2; /* world_configure adds one */
  CHECK (testbed_configure (tb, false));
  CHECK (key2_is_unknown (tb));
  tb->config_version += 10;
  CHECK (testbed_configure (tb, true));
}

static bool
first_server_gets_no_requests (Testbed *tb)
{
  uint64_t before = recorded (tb->server[0], "ran");

  for (int i = 0; i < 12; i++)
    {
      char *id = g_strdup_printf ("drain-%" G_GUINT64_FORMAT "-%d", before, i);
      Call c = default_call (tb, "/r/x", id);
      Response r = call (&c);

      CHECK (r.status == 200);
      response_free (&r);
      g_free (id);
    }
  return recorded (tb->server[0], "ran") == before;
}

static void
test_server_drains (Testbed *tb)
{
  CHECK (testbed_put (tb, "servers", "i-77", "{\"backend\":17}"));
  CHECK (testbed_put (tb, "servers", "i-78", "\"not an entry\""));
  CHECK (testbed_list_server (tb, 0, "draining"));
  CHECK (eventually (first_server_gets_no_requests, tb));
  CHECK (testbed_restart_server (tb, 0));
}

/* -------- weights -------- */

static uint64_t expected_version;

static void
roll_out_version (Testbed *tb, uint64_t version)
{
  expected_version = version;
  CHECK (testbed_announce_version (tb, version));
  CHECK (version_is_loaded (tb, expected_version));
  CHECK (recorded (tb->server[0], "mixed") == 0);
  CHECK (recorded (tb->server[1], "mixed") == 0);
}

static void
test_version_reaches_servers (Testbed *tb)
{
  uint64_t before = recorded (tb->origin, "drawn");

  roll_out_version (tb, 2);
  /* Two entries and two stagers share one copy of 16 chunks; the bound is two copies. */
  CHECK (recorded (tb->origin, "drawn") - before <= 2 * 16 * 4096);
}

static void
test_version_with_faults (Testbed *tb)
{
  CHECK (set_fault (tb->origin, "corrupt", 3));
  set_fault_on_both (tb, "rot", 1);
  roll_out_version (tb, 3);
}

static void
test_versions_in_succession (Testbed *tb)
{
  CHECK (testbed_announce_version (tb, 4));
  roll_out_version (tb, 5);
}

/* A server that restarts has lost its staged chunks and gets the target version again. */
static void
test_server_restarts (Testbed *tb)
{
  process_end (&tb->server_process[0], SIGKILL);
  CHECK (process_start (&tb->server_process[0]));
  CHECK (version_is_loaded (tb, expected_version));
  CHECK (recorded (tb->server[0], "mixed") == 0);
}

/* -------- store outages, ends of entries -------- */

static bool
requests_are_refused (Testbed *tb)
{
  return status_with_key (tb, 0, "key1") == 503;
}

static int
ready_status (Testbed *tb)
{
  Response r = call (&(Call){ .address = tb->ready[0], .target = "/-/readyz" });
  int status = r.status;

  response_free (&r);
  return status;
}

static bool
entry_is_not_ready (Testbed *tb)
{
  return ready_status (tb) == 503;
}

/* More idle connections than an entry keeps open. */
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
closes_connection (Testbed *tb)
{
  Call c = default_call (tb, "/r/x", "many");
  Response r = call (&c);
  char *connection = response_header (&r, "Connection");
  bool closes = r.status == 200 && g_strcmp0 (connection, "close") == 0;

  g_free (connection);
  response_free (&r);
  return closes;
}

/* Idle connections are bounded: while there are too many, responses close theirs. */
static void
test_many_connections (Testbed *tb)
{
  int fds[IDLE_CONNECTIONS];

  CHECK (!closes_connection (tb));
  for (unsigned i = 0; i < IDLE_CONNECTIONS; i++)
    fds[i] = connect_to (tb->entry[0]);
  CHECK (fds[IDLE_CONNECTIONS - 1] >= 0);
  CHECK (eventually (closes_connection, tb));
  for (unsigned i = 0; i < IDLE_CONNECTIONS; i++)
    close (fds[i]);
}

/* Index of the entry that reads the other one in place of the store; ENTRIES for none. */
static unsigned
find_follower (Testbed *tb)
{
  unsigned follower = ENTRIES;

  for (unsigned i = 0; i < ENTRIES; i++)
    if (relay_answers (tb, i) > 0)
      follower = 1 - i;
  return follower;
}

static bool
follower_exists (Testbed *tb)
{
  return find_follower (tb) < ENTRIES;
}

static unsigned follower;

static bool
follower_knows_key2 (Testbed *tb)
{
  return status_with_key (tb, follower, "key2") == 200;
}

static bool
follower_has_dropped_key2 (Testbed *tb)
{
  return status_with_key (tb, follower, "key2") == 401;
}

/* An entry that reads another one turns to the store when that one no longer answers. */
static void
test_reader_suspended (Testbed *tb)
{
  CHECK (eventually (follower_exists, tb));
  follower = find_follower (tb);
  CHECK (testbed_configure (tb, false));
  CHECK (eventually (follower_knows_key2, tb));
  kill (tb->entry_process[1 - follower].pid, SIGSTOP);
  CHECK (testbed_configure (tb, true));
  CHECK (eventually (follower_has_dropped_key2, tb));
  kill (tb->entry_process[1 - follower].pid, SIGCONT);
  CHECK (eventually (key2_is_unknown, tb));
}

/* Without recent data from the store an entry accepts no key; public routes are served.
 */
static void
test_store_unavailable (Testbed *tb)
{
  Call public_call = default_call (tb, "/p/x", "open-1");
  Response r;

  kill (tb->store_process.pid, SIGSTOP);
  CHECK (eventually (requests_are_refused, tb));
  CHECK (eventually (entry_is_not_ready, tb));
  public_call.key = NULL;
  r = call (&public_call);
  CHECK (r.status == 200);
  response_free (&r);
  kill (tb->store_process.pid, SIGCONT);
  CHECK (eventually (requests_are_served, tb));
}

static bool
long_stream_runs (Testbed *tb)
{
  return runs_of (tb, "long-1") == 1;
}

/* Graceful shutdown: a running stream is served to its end, and the exit status is 0. */
static void
test_graceful_shutdown (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "long-1");
  Background b;
  int status;

  set_fault_on_both (tb, "event_ms", 100);
  background_start (&b, &c);
  CHECK (eventually (long_stream_runs, tb));
  status = process_end (&tb->entry_process[0], SIGTERM);
  background_join (&b);
  CHECK (b.response.status == 200 && b.response.complete
         && has_events (b.response.body, 1, 10));
  CHECK (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  response_free (&b.response);
  set_fault_on_both (tb, "event_ms", 20);
  CHECK (process_start (&tb->entry_process[0]));
  CHECK (eventually (requests_are_served, tb));
}

static void
test_all_killed (Testbed *tb)
{
  end_nodes (tb);
  start_nodes (tb);
  CHECK (eventually (requests_are_served, tb));
  CHECK (key2_is_unknown (tb));
  roll_out_version (tb, 6);
}

static bool
has_reloaded (Testbed *tb)
{
  char *text = NULL;
  bool found;

  g_file_get_contents (tb->entry_process[0].log, &text, NULL, NULL);
  found = text != NULL && strstr (text, "told to reload") != NULL;
  g_free (text);
  return found;
}

static void
test_reload (Testbed *tb)
{
  kill (tb->entry_process[0].pid, SIGHUP);
  CHECK (eventually (has_reloaded, tb));
  CHECK (eventually (requests_are_served, tb));
}

const TestFunc change_tests[] = {
  test_key_revoked,         test_bad_configuration,
  test_server_drains,       test_version_reaches_servers,
  test_version_with_faults, test_versions_in_succession,
  test_server_restarts,     test_many_connections,
  test_reader_suspended,    test_store_unavailable,
  test_graceful_shutdown,   test_reload,
  test_all_killed,          NULL,
};
