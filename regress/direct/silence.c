/* Tests of upstreams that fall silent, or break off, while no other may take over. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "direct.h"

#define EVENTS         10
#define SILENCE_MS     2000 /* over four latency targets, within the deadline */
#define LARGE_EVENT    60000
#define LARGE_EVENTS   125
#define LARGE_EVENT_MS 4
#define SLOW_EVENT_MS  150
#define SUSPENSION_US  1300000
#define EVENT_MS       20
#define READ_LATE_MS   2600
#define ENDLESS_MS     20000
#define PLACE_WAIT_US  300000

/* -------- silence -------- */

static bool
second_is_leaving (Testbed *tb)
{
  return upstream_number (tb, "i-2", "leaving") == 1;
}

/* Makes the servers' next streams fall silent before event BEFORE for MS. */
static void
set_pause (Testbed *tb, uint64_t before, uint64_t ms)
{
  set_fault_on_both (tb, "pause_before", before);
  set_fault_on_both (tb, "pause_ms", ms);
  set_fault_on_both (tb, "pauses", 1);
}

/* Checks that the stream of call C falls silent before event BEFORE, and reaches the
 * caller whole from the only run. */
static void
check_outlasts_silence (Testbed *tb, const Call *c, uint64_t before)
{
  Response r;

  set_pause (tb, before, SILENCE_MS);
  r = call (c);
  set_fault_on_both (tb, "pauses", 0);
  CHECK (r.status == 200 && r.complete);
  CHECK (has_events (r.body, 1, EVENTS));
  CHECK (runs_of (tb, c->id) == 1);
  response_free (&r);
}

/* The first request of a process earns less than one retry. */
static void
test_silent_stream_is_kept_without_budget (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "silent-budget");

  check_outlasts_silence (tb, &c, 4);
}

static void
test_silent_prompt_is_kept_without_budget (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "silent-budget-first");

  c.address = tb->entry[1];
  check_outlasts_silence (tb, &c, 1);
}

static void
test_silent_stream_is_kept_while_others_are_full (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "silent-full");

  earn_retries (tb);
  fill_server (tb, 1);
  check_outlasts_silence (tb, &c, 4);
  free_server (tb, 1);
}

static void
test_silent_stream_is_kept_while_others_leave (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "silent-leaving");

  earn_retries (tb);
  CHECK (testbed_list_server (tb, 1, "draining"));
  CHECK (eventually (second_is_leaving, tb));
  check_outlasts_silence (tb, &c, 4);
  CHECK (testbed_restart_server (tb, 1));
  CHECK (server_takes_requests (tb, 1));
}

/* The events are larger than what the entry and the sockets hold for the caller. */
static void
test_caller_that_reads_late_keeps_its_upstream (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "late-reader");
  Response r;
  unsigned count = 0;

  earn_retries (tb);
  set_fault_on_both (tb, "event_bytes", LARGE_EVENT);
  set_fault_on_both (tb, "events", LARGE_EVENTS);
  set_fault_on_both (tb, "event_ms", LARGE_EVENT_MS);
  c.stall_ms = READ_LATE_MS;
  r = call (&c);
  set_fault_on_both (tb, "events", EVENTS);
  set_fault_on_both (tb, "event_ms", EVENT_MS);
  set_fault_on_both (tb, "event_bytes", 0);
  for (const char *at = r.body; (at = strstr (at, "data: event")) != NULL; at++)
    count++;
  CHECK (r.status == 200 && r.complete && count == LARGE_EVENTS);
  CHECK (runs_of (tb, c.id) == 1);
  response_free (&r);
}

/* -------- streams that need another upstream -------- */

/* Waits for the response and checks that it is all events, of two runs. */
static void
check_resumed (Testbed *tb, Background *b)
{
  background_join (b);
  CHECK (b->response.status == 200 && b->response.complete);
  CHECK (has_events (b->response.body, 1, EVENTS));
  CHECK (runs_of (tb, b->options.id) == 2);
  response_free (&b->response);
}

static bool
has_kept_a_silent_one (Testbed *tb)
{
  return metric_value (tb, 0, "daisy_direct_silent_kept_total") > 0;
}

static void
test_kept_stream_is_resumed_once_another_has_a_place (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "silent-resumed");
  Background b;
  uint64_t left = metric_value (tb, 0, "daisy_direct_silent_left_total");

  earn_retries (tb);
  fill_server (tb, 1);
  set_pause (tb, 4, ENDLESS_MS);
  CHECK (set_fault (tb->server[1], "pauses", 0));
  background_start (&b, &c);
  CHECK (eventually (has_kept_a_silent_one, tb));
  free_server (tb, 1);
  check_resumed (tb, &b);
  CHECK (metric_value (tb, 0, "daisy_direct_silent_left_total") == left + 1);
}

static uint64_t awaited_running;

static bool
first_runs_awaited (Testbed *tb)
{
  return upstream_number (tb, "i-1", "reported") >= awaited_running;
}

static bool
has_ejected_the_first (Testbed *tb)
{
  return upstream_number (tb, "i-1", "breaker") != 0;
}

static void
test_kept_streams_count_against_their_upstream (Testbed *tb)
{
  static const char *const ids[] = { "dead-1", "dead-2", "dead-3" };
  Background b[G_N_ELEMENTS (ids)];

  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    earn_retries (tb);
  fill_server (tb, 1);
  set_pause (tb, 4, ENDLESS_MS);
  CHECK (set_fault (tb->server[0], "pauses", G_N_ELEMENTS (ids)));
  CHECK (set_fault (tb->server[1], "pauses", 0));
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    {
      Call c = default_call (tb, "/s/x", ids[i]);

      background_start (&b[i], &c);
      awaited_running = i + 1;
      CHECK (eventually (first_runs_awaited, tb));
    }
  CHECK (eventually (has_ejected_the_first, tb));
  free_server (tb, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    check_resumed (tb, &b[i]);
}

static uint64_t awaited_waits;

static bool
waits_as_awaited (Testbed *tb)
{
  return metric_value (tb, 0, "daisy_direct_begun_queued_total") >= awaited_waits;
}

static uint64_t awaited_events;

static bool
first_sent_awaited (Testbed *tb)
{
  return recorded (tb->server[0], "events_sent") >= awaited_events;
}

static bool
first_responds (Testbed *tb)
{
  json_object *records = fetch_records (tb->server[0]);
  bool responds = records != NULL;

  json_object_put (records);
  return responds;
}

/* The server breaks its stream off and refuses what comes next, as an engine does that
 * begins to load. */
static void
test_lost_stream_is_not_sent_back (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "lost-back");
  Background b;

  earn_retries (tb);
  fill_server (tb, 1);
  CHECK (set_fault (tb->server[0], "cut", 1));
  CHECK (set_fault (tb->server[0], "shed_resumed", 1));
  awaited_waits = metric_value (tb, 0, "daisy_direct_begun_queued_total") + 1;
  background_start (&b, &c);
  CHECK (eventually (waits_as_awaited, tb));
  free_server (tb, 1);
  check_resumed (tb, &b);
  CHECK (set_fault (tb->server[0], "shed_resumed", 0));
}

/* The breaker of the first has closed; the second must be full. */
static bool
first_serves (Testbed *tb)
{
  Call c = default_call (tb, "/r/x", "probe");
  Response r = call (&c);
  bool served = r.status == 200;

  response_free (&r);
  return served;
}

/* Lasts longer than a fifth of the route's targets. */
static void
test_lost_stream_waits_for_a_place (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "lost-place");
  Background b;

  earn_retries (tb);
  fill_server (tb, 1);
  set_pause (tb, 4, ENDLESS_MS);
  awaited_events = recorded (tb->server[0], "events_sent") + 3;
  background_start (&b, &c);
  CHECK (eventually (first_sent_awaited, tb));
  set_fault_on_both (tb, "pauses", 0);
  process_end (&tb->server_process[0], SIGKILL);
  CHECK (eventually (has_ejected_the_first, tb));
  g_usleep (PLACE_WAIT_US);
  free_server (tb, 1);
  background_join (&b);
  CHECK (b.response.status == 200 && b.response.complete);
  CHECK (has_events (b.response.body, 1, EVENTS));
  response_free (&b.response);
  CHECK (process_start (&tb->server_process[0]) && eventually (first_responds, tb));
  fill_server (tb, 1);
  CHECK (eventually (first_serves, tb));
  free_server (tb, 1);
}

static void
test_suspended_entry_keeps_sound_upstream (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "suspended-entry");
  Background b;

  earn_retries (tb);
  set_fault_on_both (tb, "event_ms", SLOW_EVENT_MS);
  background_start (&b, &c);
  g_usleep (PLACE_WAIT_US);
  kill (tb->entry_process[0].pid, SIGSTOP);
  g_usleep (SUSPENSION_US);
  kill (tb->entry_process[0].pid, SIGCONT);
  background_join (&b);
  set_fault_on_both (tb, "event_ms", EVENT_MS);
  CHECK (b.response.status == 200 && b.response.complete);
  CHECK (has_events (b.response.body, 1, EVENTS));
  CHECK (runs_of (tb, c.id) == 1);
  response_free (&b.response);
  CHECK (eventually (requests_are_served, tb));
}

static uint64_t begun_queued;

static bool
a_lost_stream_waits (Testbed *tb)
{
  return metric_value (tb, 0, "daisy_direct_begun_queued_total") > begun_queued;
}

static void
test_waiting_stream_keeps_no_other_from_a_free_place (Testbed *tb)
{
  Call lost = default_call (tb, "/s/x", "waiting-stream");
  Call other = default_call (tb, "/r/x", "other-request");
  Background b;
  Response r;

  earn_retries (tb);
  fill_server (tb, 1);
  begun_queued = metric_value (tb, 0, "daisy_direct_begun_queued_total");
  CHECK (set_fault (tb->server[0], "cut", 1));
  background_start (&b, &lost);
  CHECK (eventually (a_lost_stream_waits, tb));
  r = call (&other);
  CHECK (r.status == 200);
  response_free (&r);
  free_server (tb, 1);
  background_join (&b);
  response_free (&b.response);
}

const TestFunc silence_tests[] = {
  test_silent_stream_is_kept_without_budget,
  test_silent_prompt_is_kept_without_budget,
  test_silent_stream_is_kept_while_others_are_full,
  test_silent_stream_is_kept_while_others_leave,
  test_caller_that_reads_late_keeps_its_upstream,
  test_waiting_stream_keeps_no_other_from_a_free_place,
  test_kept_stream_is_resumed_once_another_has_a_place,
  test_lost_stream_is_not_sent_back,
  test_lost_stream_waits_for_a_place,
  test_kept_streams_count_against_their_upstream,
  test_suspended_entry_keeps_sound_upstream,
  NULL,
};
