/*
 * Tests of upstreams that name how many requests a second they take from all entries
 * together.  How many they got is read from their own records.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "direct.h"

#define PLAIN        2 /* index of the plain service's only server */
#define LIMIT_MILLIS 1200
#define LOAD_MS      12000
#define PAUSE_US     20000
#define LEARN_MS     4000
#define CALLERS      4
#define US_PER_MS    1000

/* Callers that send requests to both entries in turn. */
typedef struct
{
  Testbed *testbed;
  const char *target;
  gint stop;
  gint served;
  gint refused;
  gint failed;       /* neither */
  gint slow_refused; /* refused over REFUSED_MAX_MS after they were sent */
} Load;

#define REFUSED_MAX_MS 250

static void
send_one (Load *load, unsigned n)
{
  static gint number;
  char *id = g_strdup_printf ("limit-%d", g_atomic_int_add (&number, 1));
  Call c = default_call (load->testbed, load->target, id);
  gint64 begin_us = g_get_monotonic_time ();
  Response r;
  char *retry;

  c.address = load->testbed->entry[n % ENTRIES];
  c.key = g_str_has_prefix (load->target, "/p/") ? NULL : c.key;
  r = call (&c);
  retry = response_header (&r, "Retry-After");
  g_atomic_int_add (&load->served, r.status == 200);
  g_atomic_int_add (&load->refused, r.status == 503 && retry != NULL);
  g_atomic_int_add (&load->failed, r.status != 200 && (r.status != 503 || retry == NULL));
  if (r.status == 503)
    g_atomic_int_add (&load->slow_refused,
                      g_get_monotonic_time () - begin_us > REFUSED_MAX_MS * US_PER_MS);
  g_free (retry);
  response_free (&r);
  g_free (id);
}

static gpointer
run_caller (gpointer data)
{
  Load *load = data;

  for (unsigned n = 0; !g_atomic_int_get (&load->stop); n++)
    {
      send_one (load, n);
      g_usleep (PAUSE_US);
    }
  return NULL;
}

static void
load_start (Load *load, GThread *threads[CALLERS])
{
  for (unsigned i = 0; i < CALLERS; i++)
    threads[i] = g_thread_new ("limit", run_caller, load);
}

static void
load_stop (Load *load, GThread *threads[CALLERS])
{
  g_atomic_int_set (&load->stop, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
}

static uint64_t
limited_most (Testbed *tb, unsigned server)
{
  return recorded (tb->server[server], "limited_most");
}

static void
set_limit (Testbed *tb, unsigned server, uint64_t millis)
{
  CHECK (set_fault (tb->server[server], "limit_millis", millis));
}

static void
test_entries_together_sent_more_than_the_limit (Testbed *tb)
{
  Load load = { .testbed = tb, .target = "/r/x" };
  GThread *threads[CALLERS];

  set_limit (tb, 0, LIMIT_MILLIS);
  load_start (&load, threads);
  g_usleep (LOAD_MS * US_PER_MS);
  load_stop (&load, threads);
  CHECK (limited_most (tb, 0) <= LIMITED_MAX (LIMIT_MILLIS));
  CHECK (load.failed == 0 && load.refused == 0); /* the other server takes them */
  set_limit (tb, 0, 0);
}

/* Entries that stop, die and start do not add to what the others send. */
static void
test_restarted_entry_broke_the_limit (Testbed *tb)
{
  Load load = { .testbed = tb, .target = "/r/x" };
  GThread *threads[CALLERS];

  set_limit (tb, 1, LIMIT_MILLIS);
  load_start (&load, threads);
  g_usleep (LEARN_MS * US_PER_MS);
  process_end (&tb->entry_process[1], SIGKILL);
  g_usleep (LOAD_MS / 4 * US_PER_MS);
  CHECK (process_start (&tb->entry_process[1]));
  g_usleep (LOAD_MS / 2 * US_PER_MS);
  kill (tb->entry_process[1].pid, SIGTERM);
  process_end (&tb->entry_process[1], 0);
  CHECK (process_start (&tb->entry_process[1]));
  g_usleep (LOAD_MS / 2 * US_PER_MS);
  load_stop (&load, threads);
  CHECK (limited_most (tb, 1) <= LIMITED_MAX (LIMIT_MILLIS));
  set_limit (tb, 1, 0);
  CHECK (eventually (requests_are_served, tb));
}

static void
test_request_waited_for_an_upstream_at_its_limit (Testbed *tb)
{
  Load load = { .testbed = tb, .target = "/p/x" };
  GThread *threads[CALLERS];

  set_limit (tb, PLAIN, LIMIT_MILLIS);
  load_start (&load, threads);
  g_usleep (LOAD_MS * US_PER_MS);
  load_stop (&load, threads);
  CHECK (limited_most (tb, PLAIN) <= LIMITED_MAX (LIMIT_MILLIS));
  CHECK (load.served >= LOAD_MS / 1000 * LIMIT_MILLIS / 1000 / 2);
  CHECK (load.failed == 0 && load.slow_refused == 0);
}

static bool
plain_server_is_used_freely (Testbed *tb)
{
  Load load = { .testbed = tb, .target = "/p/x" };

  for (unsigned n = 0; n < 5 * ENTRIES; n++)
    send_one (&load, n);
  return load.served == 5 * ENTRIES;
}

static void
test_entry_did_not_learn_that_the_limit_ended (Testbed *tb)
{
  CHECK (!plain_server_is_used_freely (tb)); /* it has the limit of the test before */
  set_limit (tb, PLAIN, 0);
  CHECK (eventually (plain_server_is_used_freely, tb));
}

const TestFunc limit_tests[] = {
  test_entries_together_sent_more_than_the_limit,
  test_restarted_entry_broke_the_limit,
  test_request_waited_for_an_upstream_at_its_limit,
  test_entry_did_not_learn_that_the_limit_ended,
  NULL,
};
