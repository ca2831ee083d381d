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
#define EARNERS   8 /* requests that earn the retries of a test */
#define OTHERS    8 /* requests of others: more than a server has slots */
/* Before this long before its limit a version is not required of upstreams yet. */
#define SENT_BEFORE_MS 1600
/* Requests that wait start this long after the limit, and the other upstream has free
 * request slots this long after it. */
#define START_AFTER_MS 150
#define FREE_AFTER_MS  300
/* From the second announcement in quick succession to the third. */
#define NEXT_MS 1500
/* For so long after an announcement some processes are paused; another one follows. */
#define LATE_MS 1900
/* Longer than a watch at a reader may take, after which the store is asked. */
#define READER_PAUSE_MS 2800
#define WATCHES_SENT_MS 150
/* Entries end so long after an announcement, and learn what they need within this time
 * of their start. */
#define KNOWN_MS    100
#define IN_TOUCH_MS 3000
/* Streams are sent from and until so long after a limit. */
#define PROBE_AFTER_MS 30
#define PROBE_UNTIL_MS 450

/* A stream is sent so long before a limit and is silent until after it; its replacement
 * is started while the version is not required yet. */
#define SILENT_BEFORE_MS 2700
#define SILENCE_MS       3000
#define AFTER_SILENCE_MS 900
#define QUEUE_MS         8000

static uint64_t newest = 1; /* version announced */
static uint64_t newest_ms;  /* when it was */

static void
sleep_until (uint64_t at_ms)
{
  uint64_t now_ms = dl_clock_ms ();

  if (at_ms > now_ms)
    g_usleep ((at_ms - now_ms) * US_PER_MS);
}

/* The limit of the version that was announced last. */
static uint64_t
limit_ms (const Testbed *tb)
{
  return newest_ms + testbed_version_ms (tb);
}

/* Announces the next version, and tells the servers when it must be in effect. */
static void
announce_next (Testbed *tb)
{
  CHECK (testbed_announce_version (tb, ++newest));
  newest_ms = dl_clock_ms ();
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    {
      CHECK (set_fault (tb->server[i], "due_in_ms", limit_ms (tb) - dl_clock_ms ()));
      CHECK (set_fault (tb->server[i], "due_version", newest));
    }
}

/* Sends requests that earn retries; true if the entry sent some to each server. */
static bool
entry_uses_both_servers (Testbed *tb, unsigned entry)
{
  uint64_t before[MODEL_SERVERS];
  bool all = true;

  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    before[i] = recorded (tb->server[i], "received");
  for (unsigned n = 0; n < EARNERS; n++)
    status_with_key (tb, entry, "key1");
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    all = all && recorded (tb->server[i], "received") > before[i];
  return all;
}

static bool
both_servers_are_used (Testbed *tb)
{
  return entry_uses_both_servers (tb, 0) && entry_uses_both_servers (tb, 1);
}

/* The first server keeps its version from now on, as no stager loads another.  Before
 * that, the entries must have heard from its stager that it is up. */
static void
keep_first_server_old (Testbed *tb)
{
  CHECK (eventually (both_servers_are_used, tb));
  kill (tb->stager_process[0].pid, SIGSTOP);
}

static void
bring_up_to_date (Testbed *tb)
{
  set_fault_on_both (tb, "queue_ms", 0);
  set_fault_on_both (tb, "others", 0);
  kill (tb->stager_process[0].pid, SIGCONT);
  CHECK (version_is_loaded (tb, newest));
  CHECK (eventually (requests_are_served, tb));
}

static bool
first_has_queued_two (Testbed *tb)
{
  return recorded (tb->server[0], "queued") == 2;
}

static uint64_t
version_of (const Response *r)
{
  char *text = response_header (r, "X-Weight-Versions");
  uint64_t version = text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;

  g_free (text);
  return version;
}

/* -------- requests that wait at their upstream -------- */

/* Two streams wait at the first server from before to after DUE_MS, the limit of VERSION,
 * while the other server is full. */
static void
check_waiting_streams (Testbed *tb, uint64_t version, uint64_t due_ms)
{
  char *ids[] = { g_strdup_printf ("wait-%" G_GUINT64_FORMAT, version),
                  g_strdup_printf ("wait-single-%" G_GUINT64_FORMAT, version) };
  Call resumable = default_call (tb, "/s/x", ids[0]);
  Call single = default_call (tb, "/s/single/x", ids[1]);
  Background b[2];

  CHECK (set_fault (tb->server[0], "queue_ms", SENT_BEFORE_MS + START_AFTER_MS));
  sleep_until (due_ms - SENT_BEFORE_MS);
  background_start (&b[0], &resumable);
  background_start (&b[1], &single);
  CHECK (eventually (first_has_queued_two, tb));
  CHECK (dl_clock_ms () < due_ms);
  sleep_until (due_ms + FREE_AFTER_MS);
  CHECK (set_fault (tb->server[1], "others", 0));
  background_join (&b[0]);
  background_join (&b[1]);
  CHECK (recorded_by_models (tb, "outdated_starts") == 0);
  CHECK (b[0].response.status == 200 && b[0].response.complete);
  CHECK (has_events (b[0].response.body, 1, EVENTS));
  CHECK (version_of (&b[0].response) >= version);
  CHECK (b[1].response.status == 502);
  CHECK (runs_of (tb, ids[0]) == 1 && runs_of (tb, ids[1]) == 0);
  response_free (&b[0].response);
  response_free (&b[1].response);
  g_free (ids[0]);
  g_free (ids[1]);
}

static void
test_waiting_request_started_after_the_limit (Testbed *tb)
{
  keep_first_server_old (tb);
  CHECK (set_fault (tb->server[1], "others", OTHERS));
  announce_next (tb);
  check_waiting_streams (tb, newest, limit_ms (tb));
  bring_up_to_date (tb);
}

/* The first version is so soon followed by others that no stager loads it. */
static void
test_waiting_request_started_after_the_limit_of_a_skipped_version (Testbed *tb)
{
  uint64_t skipped = newest + 1;
  uint64_t skipped_limit_ms;

  keep_first_server_old (tb);
  CHECK (set_fault (tb->server[1], "others", OTHERS));
  announce_next (tb);
  skipped_limit_ms = limit_ms (tb);
  announce_next (tb);
  sleep_until (newest_ms + NEXT_MS);
  announce_next (tb);
  check_waiting_streams (tb, skipped, skipped_limit_ms);
  bring_up_to_date (tb);
}

/* A stream falls silent on weights that become too old, and its replacement has not
 * started when they do. */
static void
test_silent_stream_outlasts_withdrawn_replacement (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "replacement-withdrawn");
  Background b;
  uint64_t withdrawn;

  CHECK (eventually (both_servers_are_used, tb));
  earn_retries (tb);
  for (unsigned i = 0; i < MODEL_SERVERS; i++)
    kill (tb->stager_process[i].pid, SIGSTOP);
  withdrawn = metric_value (tb, 0, "daisy_direct_withdrawn_total");
  set_fault_on_both (tb, "pause_before", 4);
  set_fault_on_both (tb, "pause_ms", SILENCE_MS);
  set_fault_on_both (tb, "pauses", 1);
  set_fault_on_both (tb, "queue_resumed_ms", QUEUE_MS);
  announce_next (tb);
  sleep_until (limit_ms (tb) - SILENT_BEFORE_MS);
  c.deadline_ms = SILENCE_MS + AFTER_SILENCE_MS;
  background_start (&b, &c);
  background_join (&b);
  CHECK (metric_value (tb, 0, "daisy_direct_withdrawn_total") == withdrawn + 1);
  CHECK (b.response.status == 200 && b.response.complete);
  CHECK (has_events (b.response.body, 1, EVENTS));
  CHECK (runs_of (tb, c.id) == 1 && recorded_by_models (tb, "outdated_starts") == 0);
  response_free (&b.response);
  set_fault_on_both (tb, "queue_resumed_ms", 0);
  set_fault_on_both (tb, "pauses", 0);
  kill (tb->stager_process[1].pid, SIGCONT);
  bring_up_to_date (tb);
}

/* -------- entries that learn late -------- */

/* Sends streams to both entries from just after DUE_MS, the limit of VERSION, which the
 * first server does not have, until a newer version is required anyway.  If the other
 * server has the version, some must be served. */
static void
check_streams_after (Testbed *tb, uint64_t version, uint64_t due_ms)
{
  bool is_there;
  unsigned served = 0;

  set_fault_on_both (tb, "events", 1);
  sleep_until (due_ms + PROBE_AFTER_MS);
  is_there = recorded (tb->server[1], "version") >= version;
  for (unsigned n = 0; dl_clock_ms () < due_ms + PROBE_UNTIL_MS; n++)
    {
      char *id = g_strdup_printf ("probe-%" G_GUINT64_FORMAT "-%u", version, n);
      Call c = default_call (tb, "/s/x", id);
      Response r;

      c.address = tb->entry[n % ENTRIES];
      r = call (&c);
      CHECK (r.status == 200 || (r.status == 503 && runs_of (tb, id) == 0));
      served += r.status == 200;
      response_free (&r);
      g_free (id);
    }
  set_fault_on_both (tb, "events", EVENTS);
  CHECK (recorded_by_models (tb, "outdated_starts") == 0);
  CHECK (!is_there || served > 0);
}

/* Two announcements, from before the first of which to after the second the processes
 * PAUSED are stopped; the list ends with NULL. */
static void
check_paused (Testbed *tb, const Process *const *paused)
{
  uint64_t first_limit_ms;

  keep_first_server_old (tb);
  for (const Process *const *p = paused; *p != NULL; p++)
    kill ((*p)->pid, SIGSTOP);
  announce_next (tb);
  first_limit_ms = limit_ms (tb);
  sleep_until (newest_ms + LATE_MS);
  announce_next (tb);
  for (const Process *const *p = paused; *p != NULL; p++)
    kill ((*p)->pid, SIGCONT);
  check_streams_after (tb, newest - 1, first_limit_ms);
  bring_up_to_date (tb);
}

static void
test_entry_paused_at_two_announcements_missed_a_limit (Testbed *tb)
{
  const Process *const paused[] = { &tb->entry_process[0], NULL };

  check_paused (tb, paused);
}

/* The other stager is stopped already. */
static void
test_all_nodes_paused_at_two_announcements_missed_a_limit (Testbed *tb)
{
  const Process *const paused[]
      = { &tb->entry_process[0], &tb->entry_process[1], &tb->stager_process[1], NULL };

  check_paused (tb, paused);
}

static unsigned reader; /* index of the entry that reads the store for all others */

/* Ends all watches of versions, by an object that announces none.  If only one entry
 * answered others then, and nobody else watches the store now, it is the reader. */
static bool
only_the_reader_watches_versions (Testbed *tb)
{
  static unsigned count;
  uint64_t before[ENTRIES];
  unsigned readers = 0;
  char *spec = g_strdup_printf ("\"nothing %u\"", ++count);

  for (unsigned i = 0; i < ENTRIES; i++)
    before[i] = relay_answers (tb, i);
  CHECK (testbed_put (tb, "versions", "none", spec));
  g_free (spec);
  g_usleep (WATCHES_SENT_MS * US_PER_MS);
  for (unsigned i = 0; i < ENTRIES; i++)
    if (relay_answers (tb, i) > before[i])
      {
        reader = i;
        readers++;
      }
  return readers == 1 && recorded (tb->store, "watches.versions") == 1;
}

static void
test_reader_paused_at_an_announcement_made_it_late (Testbed *tb)
{
  keep_first_server_old (tb);
  CHECK (eventually (only_the_reader_watches_versions, tb));
  kill (tb->entry_process[reader].pid, SIGSTOP);
  announce_next (tb);
  sleep_until (newest_ms + READER_PAUSE_MS);
  kill (tb->entry_process[reader].pid, SIGCONT);
  check_streams_after (tb, newest, limit_ms (tb));
  bring_up_to_date (tb);
}

const TestFunc version_tests[] = {
  test_waiting_request_started_after_the_limit,
  test_waiting_request_started_after_the_limit_of_a_skipped_version,
  test_silent_stream_outlasts_withdrawn_replacement,
  test_reader_paused_at_an_announcement_made_it_late,
  test_all_nodes_paused_at_two_announcements_missed_a_limit,
  test_entry_paused_at_two_announcements_missed_a_limit,
  NULL,
};

/* -------- entries that start -------- */

/* Two announcements, after which COUNT entries are killed and started again.  The limit
 * of the first one is long enough after that for an entry to have learnt of it. */
static void
check_started_entries (Testbed *tb, unsigned count)
{
  uint64_t first_limit_ms;

  keep_first_server_old (tb);
  announce_next (tb);
  first_limit_ms = limit_ms (tb);
  sleep_until (newest_ms + LATE_MS);
  announce_next (tb);
  sleep_until (newest_ms + KNOWN_MS);
  for (unsigned i = 0; i < count; i++)
    process_end (&tb->entry_process[i], SIGKILL);
  for (unsigned i = 0; i < count; i++)
    CHECK (process_start (&tb->entry_process[i]));
  CHECK (dl_clock_ms () + IN_TOUCH_MS < first_limit_ms);
  check_streams_after (tb, newest - 1, first_limit_ms);
  bring_up_to_date (tb);
}

static void
test_entry_that_started_after_two_announcements_missed_a_limit (Testbed *tb)
{
  check_started_entries (tb, 1);
}

static void
test_all_entries_started_after_two_announcements_missed_a_limit (Testbed *tb)
{
  check_started_entries (tb, ENTRIES);
}

const TestFunc version_start_tests[] = {
  test_entry_that_started_after_two_announcements_missed_a_limit,
  test_all_entries_started_after_two_announcements_missed_a_limit,
  NULL,
};
