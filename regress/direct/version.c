/*
 * Tests of requests that start on weights which should have been replaced.  On which
 * version a request started, and when, is read from the upstreams' own records.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "direct.h"
#include "kernel/kernel.h"

#define US_PER_MS 1000
#define EVENTS    10
#define EARNERS   6 /* requests that earn the retries of a test */
#define OTHERS    8 /* requests of others: more than a server has slots */
/* Before this long before its limit a version is not required of upstreams yet. */
#define SENT_BEFORE_MS 1600
/* Requests that wait start this long after the limit, and the other upstream has free
 * request slots this long after it. */
#define START_AFTER_MS 150
#define FREE_AFTER_MS  300

static uint64_t newest = 1; /* version announced */
static uint64_t newest_ms;  /* when it was */

static void
sleep_until (uint64_t at_ms)
{
  uint64_t now_ms = dl_clock_ms ();

  if (at_ms > now_ms)
    g_usleep ((at_ms - now_ms) * US_PER_MS);
}

/* Announces the next version, and tells the servers when it must be in effect. */
static void
announce_next (Testbed *tb)
{
  CHECK (testbed_announce_version (tb, ++newest));
  newest_ms = dl_clock_ms ();
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    {
      uint64_t limit_ms = newest_ms + testbed_version_ms (tb);

      CHECK (set_fault (tb->server[i], "due_in_ms", limit_ms - dl_clock_ms ()));
      CHECK (set_fault (tb->server[i], "due_version", newest));
    }
}

static bool
servers_have_newest (Testbed *tb)
{
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    if (recorded (tb->server[i], "version") != newest)
      return false;
  return true;
}

/* The first server keeps its version from now on, as no stager loads another. */
static void
keep_first_server_old (Testbed *tb)
{
  for (unsigned i = 0; i < EARNERS; i++)
    CHECK (status_with_key (tb, i % ENTRIES, "key1") == 200);
  kill (tb->stager_process[0].pid, SIGSTOP);
}

static void
bring_up_to_date (Testbed *tb)
{
  set_fault_on_both (tb, "queue_ms", 0);
  set_fault_on_both (tb, "others", 0);
  kill (tb->stager_process[0].pid, SIGCONT);
  CHECK (eventually (servers_have_newest, tb));
  CHECK (eventually (requests_are_served, tb));
}

static bool
first_has_queued_two (Testbed *tb)
{
  return recorded (tb->server[0], "queued") == 2;
}

static bool
is_from_newest (const Response *r)
{
  char *text = response_header (r, "X-Weight-Versions");
  bool is_newest = text != NULL && g_ascii_strtoull (text, NULL, 10) == newest;

  g_free (text);
  return is_newest;
}

/* -------- requests that wait at their upstream -------- */

/* Two streams wait at the first server from before to after the limit of the version that
 * was announced at DUE_FROM_MS, while the other server is full. */
static void
check_waiting_streams (Testbed *tb, uint64_t due_from_ms)
{
  uint64_t before = recorded_by_models (tb, "outdated_starts");
  uint64_t limit_ms = due_from_ms + testbed_version_ms (tb);
  Call resumable = default_call (tb, "/s/x", "wait-1");
  Call single = default_call (tb, "/s/single/x", "wait-2");
  Background b[2];

  CHECK (set_fault (tb->server[0], "queue_ms", SENT_BEFORE_MS + START_AFTER_MS));
  sleep_until (limit_ms - SENT_BEFORE_MS);
  background_start (&b[0], &resumable);
  background_start (&b[1], &single);
  CHECK (eventually (first_has_queued_two, tb));
  CHECK (dl_clock_ms () < limit_ms);
  sleep_until (limit_ms + FREE_AFTER_MS);
  CHECK (set_fault (tb->server[1], "others", 0));
  background_join (&b[0]);
  background_join (&b[1]);
  CHECK (recorded_by_models (tb, "outdated_starts") == before);
  CHECK (b[0].response.status == 200 && b[0].response.complete);
  CHECK (has_events (b[0].response.body, 1, EVENTS));
  CHECK (is_from_newest (&b[0].response));
  CHECK (b[1].response.status == 502);
  CHECK (runs_of (tb, "wait-1") == 1 && runs_of (tb, "wait-2") == 0);
  response_free (&b[0].response);
  response_free (&b[1].response);
}

static void
test_waiting_request_started_after_the_limit (Testbed *tb)
{
  keep_first_server_old (tb);
  CHECK (set_fault (tb->server[1], "others", OTHERS));
  announce_next (tb);
  check_waiting_streams (tb, newest_ms);
  bring_up_to_date (tb);
}

const TestFunc version_tests[] = {
  test_waiting_request_started_after_the_limit,
  NULL,
};
