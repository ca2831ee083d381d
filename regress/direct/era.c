/*
 * Tests of a store that comes back from a copy some seconds old: what was written since
 * is lost, and revisions are given out again.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "direct.h"

#define POLL_US 50000
/* How long the entries are watched after a return; longer than it takes them to list the
 * store again. */
#define WATCHED_POLLS 30
/* Versions of the configuration that are written between a copy and the return to it. */
#define LOST_VERSIONS 5
/* More than the revisions that were given out between a copy and the return to it. */
#define SKIPPED_REVISIONS 500

/* Age of the routing table's proof, in milliseconds, below which a return before is
 * over. */
#define RECENT_MS 1500

static bool
has_recent_table (Testbed *tb, unsigned entry)
{
  Response r = call (&(Call){ .address = tb->metrics[entry], .target = "/dump" });
  json_object *dump = r.body != NULL ? json_tokener_parse (r.body) : NULL;
  json_object *age = NULL;
  bool is_recent = json_pointer_get (dump, "/tasks/state/routing_age_ms", &age) == 0
                   && json_object_get_uint64 (age) < RECENT_MS;

  json_object_put (dump);
  response_free (&r);
  return is_recent;
}

static bool
tables_are_recent (Testbed *tb)
{
  return has_recent_table (tb, 0) && has_recent_table (tb, 1);
}

/* Waits until the entries have got over a return before, so that the next one counts
 * alone. */
static bool
take_copy (Testbed *tb)
{
  return eventually (tables_are_recent, tb) && set_fault (tb->store, "snapshot", 1);
}

static bool
return_to_copy (Testbed *tb)
{
  return set_fault (tb->store, "restore", 1);
}

static bool
key2_is_known (Testbed *tb)
{
  return status_with_key (tb, 0, "key2") == 200 && status_with_key (tb, 1, "key2") == 200;
}

static bool
key2_is_unknown (Testbed *tb)
{
  return status_with_key (tb, 0, "key2") == 401 && status_with_key (tb, 1, "key2") == 401;
}

/* -------- configuration -------- */

/* Writes VERSIONS configurations, each without "key2". */
static void
configure_repeatedly (Testbed *tb, unsigned versions)
{
  for (unsigned i = 0; i < versions; i++)
    CHECK (testbed_configure (tb, true));
}

static void
test_configuration_under_reused_revision (Testbed *tb)
{
  CHECK (take_copy (tb));
  configure_repeatedly (tb, LOST_VERSIONS);
  CHECK (eventually (key2_is_unknown, tb));
  CHECK (return_to_copy (tb));
  tb->config_version--;
  CHECK (testbed_configure (tb, true));
  CHECK (testbed_configure (tb, false));
  CHECK (eventually (key2_is_known, tb));
}

static void
signal_entries (Testbed *tb, int signum)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    kill (tb->entry_process[i].pid, signum);
}

/* The entries find a store whose history seems to go on from the revision that they know.
 */
static void
test_revisions_overtake_without_410 (Testbed *tb)
{
  CHECK (take_copy (tb));
  configure_repeatedly (tb, LOST_VERSIONS);
  CHECK (eventually (key2_is_unknown, tb));
  signal_entries (tb, SIGSTOP);
  CHECK (return_to_copy (tb));
  CHECK (testbed_configure (tb, false));
  CHECK (set_fault (tb->store, "skip", SKIPPED_REVISIONS));
  signal_entries (tb, SIGCONT);
  CHECK (eventually (key2_is_known, tb));
}

/* -------- servers -------- */

/* No request reaches the first server, the only one that could be listed. */
static bool
no_request_is_served (Testbed *tb)
{
  uint64_t before = recorded (tb->server[0], "ran");

  return status_with_key (tb, 0, "key1") != 200 && status_with_key (tb, 1, "key1") != 200
         && recorded (tb->server[0], "ran") == before;
}

/* The copy lists the first server, which has left; it must get no requests. */
static void
return_to_copy_with_first_server (Testbed *tb)
{
  CHECK (eventually (no_request_is_served, tb));
  CHECK (return_to_copy (tb));
  for (unsigned i = 0; i < WATCHED_POLLS; i++)
    {
      CHECK (no_request_is_served (tb));
      g_usleep (POLL_US);
    }
}

static void
test_server_that_left_after_the_copy (Testbed *tb)
{
  CHECK (testbed_list_server (tb, 1, "draining"));
  CHECK (take_copy (tb));
  CHECK (testbed_list_server (tb, 0, "draining"));
  return_to_copy_with_first_server (tb);
  CHECK (testbed_list_server (tb, 0, "draining"));
  CHECK (testbed_restart_server (tb, 0));
  CHECK (eventually (requests_are_served, tb));
}

static void
test_server_removed_after_the_copy (Testbed *tb)
{
  CHECK (testbed_list_server (tb, 1, "draining"));
  CHECK (take_copy (tb));
  CHECK (testbed_delete (tb, "servers", "i-1"));
  return_to_copy_with_first_server (tb);
  CHECK (testbed_list_server (tb, 0, "draining"));
  CHECK (testbed_restart_server (tb, 0));
  CHECK (eventually (requests_are_served, tb));
}

/* Only the second server may get requests, and its entry is lost. */
static void
test_server_registered_after_the_copy (Testbed *tb)
{
  CHECK (testbed_delete (tb, "servers", "i-2"));
  CHECK (take_copy (tb));
  CHECK (testbed_list_server (tb, 0, "draining"));
  CHECK (eventually (no_request_is_served, tb));
  CHECK (testbed_restart_server (tb, 1));
  CHECK (eventually (requests_are_served, tb));
  CHECK (return_to_copy (tb));
  for (unsigned i = 0; i < WATCHED_POLLS; i++)
    {
      CHECK (requests_are_served (tb));
      g_usleep (POLL_US);
    }
  CHECK (testbed_list_server (tb, 1, "ready"));
  CHECK (testbed_list_server (tb, 0, "draining"));
  CHECK (testbed_restart_server (tb, 0));
  CHECK (eventually (requests_are_served, tb));
}

/* -------- nodes -------- */

static bool
lists_both_entries (Testbed *tb, unsigned directory)
{
  Response r = call (&(Call){
      .address = tb->directory[directory],
      .target = "/-/resolve?name=x.example&region=r1&zone=d1",
  });
  bool both = r.status == 200 && strstr (r.body, tb->entry[0]) != NULL
              && strstr (r.body, tb->entry[1]) != NULL;

  response_free (&r);
  return both;
}

static bool
both_list_both_entries (Testbed *tb)
{
  return lists_both_entries (tb, 0) && lists_both_entries (tb, 1);
}

static size_t
count_nodes (Testbed *tb)
{
  Response r
      = call (&(Call){ .address = tb->store, .target = "/-/objects/daisyloft-nodes" });
  json_object *body = r.body != NULL ? json_tokener_parse (r.body) : NULL;
  size_t count = json_object_array_length (json_object_object_get (body, "items"));

  json_object_put (body);
  response_free (&r);
  return count;
}

static bool
all_nodes_are_registered (Testbed *tb)
{
  return count_nodes (tb) == ENTRIES + SERVERS - 1;
}

static void
delete_nodes (Testbed *tb)
{
  static const char *const names[]
      = { "r1.0.entry-1", "r1.0.entry-2", "r1.1.stager-1", "r1.1.stager-2" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    CHECK (testbed_delete (tb, "daisyloft-nodes", names[i]));
}

static void
test_nodes_registered_after_the_copy (Testbed *tb)
{
  uint64_t drawn;

  end_nodes (tb);
  delete_nodes (tb);
  CHECK (set_fault (tb->store, "snapshot", 1));
  start_nodes (tb);
  CHECK (eventually (all_nodes_are_registered, tb));
  CHECK (eventually (both_list_both_entries, tb));
  CHECK (eventually (requests_are_served, tb));
  CHECK (eventually (tables_are_recent, tb));
  drawn = recorded (tb->origin, "drawn");
  CHECK (return_to_copy (tb));
  for (unsigned i = 0; i < WATCHED_POLLS; i++)
    {
      CHECK (both_list_both_entries (tb));
      CHECK (requests_are_served (tb));
      g_usleep (POLL_US);
    }
  CHECK (eventually (all_nodes_are_registered, tb));
  CHECK (recorded (tb->origin, "drawn") == drawn);
}

/* -------- keys -------- */

static void
test_key_revoked_before_the_return (Testbed *tb)
{
  CHECK (testbed_configure (tb, false));
  CHECK (eventually (key2_is_known, tb));
  CHECK (take_copy (tb));
  CHECK (testbed_configure (tb, true));
  CHECK (eventually (key2_is_unknown, tb));
  CHECK (return_to_copy (tb));
  process_end (&tb->entry_process[0], SIGKILL);
  CHECK (process_start (&tb->entry_process[0]));
  for (unsigned i = 0; i < WATCHED_POLLS; i++)
    {
      CHECK (status_with_key (tb, 0, "key2") != 200);
      CHECK (status_with_key (tb, 1, "key2") != 200);
      g_usleep (POLL_US);
    }
  tb->config_version--;
  CHECK (testbed_configure (tb, true));
  CHECK (eventually (key2_is_unknown, tb));
  CHECK (eventually (requests_are_served, tb));
}

const TestFunc era_tests[] = {
  test_configuration_under_reused_revision, test_revisions_overtake_without_410,
  test_server_that_left_after_the_copy,     test_server_removed_after_the_copy,
  test_server_registered_after_the_copy,    test_nodes_registered_after_the_copy,
  test_key_revoked_before_the_return,       NULL,
};
