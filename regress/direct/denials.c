/*
 * Tests of requests that the routing table does not allow, at entries whose table may
 * have been replaced.
 */
#include <signal.h>
#include <unistd.h>

#include "direct.h"
#include "played.h"

/* Stated by the users: a configuration is in force within this time. */
#define APPLY_MS 2000
/* An entry that was registered is known to the others within this time. */
#define KNOWN_MS    1500
#define OUTAGE_MS   3500
#define POLL_MS     50
#define REFUSED     503
#define DENIED_PATH 404
#define DENIED_KEY  401

/* Last number of the address of the entry that the test plays. */
#define PLAYED_HOST  75
#define STATUS_TIMES 5

static int
status_without_route (const Testbed *tb, unsigned entry)
{
  Call c = default_call (tb, "/none/", "path");
  Response r;
  int status;

  c.address = tb->entry[entry];
  r = call (&c);
  status = r.status;
  response_free (&r);
  return status;
}

/* True when both entries respond so to a path without a route and to an unknown key. */
static bool
all_respond (const Testbed *tb, int path_status, int key_status)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    if (status_without_route (tb, i) != path_status
        || status_with_key (tb, i, "wrong") != key_status)
      return false;
  return true;
}

static bool
all_deny (Testbed *tb)
{
  return all_respond (tb, DENIED_PATH, DENIED_KEY);
}

static bool
all_refuse (Testbed *tb)
{
  return all_respond (tb, REFUSED, REFUSED);
}

static void
test_request_was_denied_in_an_outage_by_a_table_that_may_have_been_replaced (Testbed *tb)
{
  unsigned denied = 0;
  gint64 begin_us;

  CHECK (eventually (all_deny, tb));
  begin_us = g_get_monotonic_time ();
  kill (tb->store_process.pid, SIGSTOP);
  g_usleep (APPLY_MS * G_TIME_SPAN_MILLISECOND);
  while (g_get_monotonic_time () < begin_us + OUTAGE_MS * G_TIME_SPAN_MILLISECOND)
    {
      denied += !all_refuse (tb);
      g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
  kill (tb->store_process.pid, SIGCONT);
  g_print ("rounds in which a request was denied by an old table: %u\n", denied);
  CHECK (denied == 0);
  CHECK (eventually (all_deny, tb));
}

/* Tells the real nodes that an entry has a table of VERSION. */
static void
tell_version (const Testbed *tb, uint64_t version)
{
  g_autofree char *address
      = g_strdup_printf ("%s.%u:" PLAYED_NODE_PORT, tb->subnet, PLAYED_HOST);
  char name[] = "entry-with-a-newer-table";
  int fd = played_socket (address);

  CHECK (fd >= 0);
  for (unsigned n = 1; n <= STATUS_TIMES; n++)
    {
      Daisyloft__Wire__NodeStatus status = played_status (name, n);

      status.routing_version = version;
      played_tell_region (tb, fd, &status);
      g_usleep (POLL_MS * G_TIME_SPAN_MILLISECOND);
    }
  close (fd);
}

static void
register_played (Testbed *tb)
{
  g_autofree char *address
      = g_strdup_printf ("%s.%u:" PLAYED_NODE_PORT, tb->subnet, PLAYED_HOST);
  g_autofree char *listen = g_strdup_printf ("%s.%u:8001", tb->subnet, PLAYED_HOST);

  CHECK (played_register (tb, &(PlayedEntry){ .name = "entry-with-a-newer-table",
                                              .region = "r1",
                                              .address = address,
                                              .listen = listen }));
}

/* The table of the real entries is proved all the while, and was replaced since. */
static void
test_request_was_denied_by_a_table_older_than_that_of_another_entry (Testbed *tb)
{
  g_autofree char *object = played_object ("r1", "entry-with-a-newer-table");

  CHECK (eventually (all_deny, tb));
  register_played (tb);
  g_usleep (KNOWN_MS * G_TIME_SPAN_MILLISECOND);
  tell_version (tb, tb->config_version + 1);
  CHECK (all_refuse (tb));
  CHECK (requests_are_served (tb));
  CHECK (testbed_configure (tb, false));
  CHECK (eventually (all_deny, tb));
  CHECK (testbed_delete (tb, "daisyloft-nodes", object));
}

const TestFunc denial_tests[] = {
  test_request_was_denied_in_an_outage_by_a_table_that_may_have_been_replaced,
  test_request_was_denied_by_a_table_older_than_that_of_another_entry,
  NULL,
};
