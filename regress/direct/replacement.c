/*
 * Tests of the upstream that is to replace a silent one: the silent one is sound and goes
 * on, and the replacement refuses, cannot be connected to, fails, breaks off or is slow.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "direct.h"
#include "policy/signature.h"

#define EVENTS         10
#define BEFORE         4    /* the first server falls silent before this event */
#define SILENCE_MS     2400 /* over four latency targets, within the deadline */
#define ENDLESS_MS     20000
#define QUEUE_MS       8000
#define REFUSALS       20 /* more than an entry may cause */
#define QUEUE_SHORT_MS 300
#define STANDSTILL_US  600000 /* of the entry, beyond the short queue */
#define REFUSING_US    100000
#define CUT_DEFAULT    3    /* id of the event in which the stand-in breaks off */
#define RETRIES        3    /* at two upstreams that refuse, and at the last one */
#define LEAVE_MS       2000 /* the caller leaves in the silence, after four targets */
#define CANCELS_US     500000

static uint64_t awaited_events;

static bool
first_sent_awaited (Testbed *tb)
{
  return recorded (tb->server[0], "events_sent") >= awaited_events;
}

static bool
first_entry_serves (Testbed *tb)
{
  return status_with_key (tb, 0, "key1") == 200;
}

/* Has the first entry earn retries by requests that first the second and then the first
 * server serves, so that no failure of an earlier test counts against them.  The second
 * one is full then. */
static void
prepare (Testbed *tb)
{
  fill_server (tb, 0);
  CHECK (eventually (first_entry_serves, tb));
  for (unsigned i = 0; i < RETRIES; i++)
    earn_retries (tb);
  free_server (tb, 0);
  fill_server (tb, 1);
  CHECK (eventually (first_entry_serves, tb));
}

/* Starts call C at the first server, whose stream falls silent for SILENCE_MS, and
 * returns once it has sent the events before; the second server is free then. */
static void
start_silent_stream (Testbed *tb, Background *b, const Call *c, uint64_t silence_ms)
{
  prepare (tb);
  CHECK (set_fault (tb->server[0], "pause_before", BEFORE));
  CHECK (set_fault (tb->server[0], "pause_ms", silence_ms));
  CHECK (set_fault (tb->server[0], "pauses", 1));
  awaited_events = recorded (tb->server[0], "events_sent") + BEFORE - 1;
  background_start (b, c);
  CHECK (eventually (first_sent_awaited, tb));
  free_server (tb, 1);
}

/* Waits for the response, which must be all events of the one run at the first server. */
static void
check_whole_from_first (Testbed *tb, Background *b)
{
  background_join (b);
  CHECK (b->response.status == 200 && b->response.complete);
  CHECK (has_events (b->response.body, 1, EVENTS));
  response_free (&b->response);
}

static uint64_t
replacements (const Testbed *tb)
{
  return metric_value (tb, 0, "daisy_direct_silent_replacements_total");
}

/* The stream ID falls silent and goes on; KNOB is set to VALUE at the second server,
 * which is to replace the first.  RUNS: how often it ran then. */
static void
check_outlasts (
    Testbed *tb, const char *id, const char *knob, uint64_t value, uint64_t runs)
{
  Call c = default_call (tb, "/s/x", id);
  Background b;
  uint64_t before = replacements (tb);

  CHECK (set_fault (tb->server[1], knob, value));
  start_silent_stream (tb, &b, &c, SILENCE_MS);
  check_whole_from_first (tb, &b);
  CHECK (set_fault (tb->server[1], knob, 0));
  CHECK (replacements (tb) > before);
  CHECK (runs_of (tb, id) == runs);
}

static void
test_silent_stream_outlasts_replacement_that_refuses (Testbed *tb)
{
  check_outlasts (tb, "replacement-refuses", "shed_resumed", REFUSALS, 1);
}

static void
test_silent_stream_outlasts_replacement_that_fails (Testbed *tb)
{
  CHECK (set_fault (tb->server[1], "error_sealed", 1));
  check_outlasts (tb, "replacement-fails", "error_resumed", 500, 2);
  CHECK (set_fault (tb->server[1], "error_sealed", 0));
}

/* The stream of the replacement ends in the middle of its first event. */
static void
test_silent_stream_outlasts_replacement_that_breaks_off (Testbed *tb)
{
  check_outlasts (tb, "replacement-breaks-off", "cut_resumed", REFUSALS, 2);
}

static void
test_silent_stream_outlasts_replacement_that_is_slow (Testbed *tb)
{
  uint64_t dropped = recorded (tb->server[1], "dropped");

  check_outlasts (tb, "replacement-slow", "queue_ms", QUEUE_MS, 1);
  g_usleep (CANCELS_US);
  CHECK (recorded (tb->server[1], "dropped") == dropped + 1);
}

static uint64_t awaited_replacements;

static bool
is_replaced (Testbed *tb)
{
  return replacements (tb) >= awaited_replacements;
}

/* The request is quarantined, as the store tells, while its replacement waits. */
static void
test_silent_stream_outlasts_quarantine_of_its_replacement (Testbed *tb)
{
  Call c = default_call (tb, "/s/held", "replacement-quarantined");
  DlSignature signature = dl_request_signature (&(DlRequestIdentity){
      .host = dl_str (c.host), .path = dl_str (c.target), .caller = dl_str ("org") });
  const char *name = dl_signature_digest (&signature);
  uint64_t dropped = recorded (tb->server[1], "dropped");
  Background b;

  CHECK (set_fault (tb->server[1], "queue_ms", QUEUE_MS));
  awaited_replacements = replacements (tb) + 1;
  start_silent_stream (tb, &b, &c, SILENCE_MS);
  CHECK (eventually (is_replaced, tb));
  CHECK (testbed_put (tb, "daisyloft-held", name, "{\"trials\":0}"));
  check_whole_from_first (tb, &b);
  CHECK (recorded (tb->server[1], "dropped") == dropped + 1);
  CHECK (metric_value (tb, 0, "daisy_direct_quarantined_total") > 0);
  CHECK (runs_of (tb, c.id) == 1);
  CHECK (set_fault (tb->server[1], "queue_ms", 0));
}

/* Its upstream breaks it off, and both refuse it once before it goes on. */
static void
test_lost_stream_outlasts_refusals (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "lost-refused");
  Response r;

  prepare (tb);
  free_server (tb, 1);
  set_fault_on_both (tb, "cut", 1);
  set_fault_on_both (tb, "shed_resumed", 1);
  r = call (&c);
  set_fault_on_both (tb, "cut", 0);
  set_fault_on_both (tb, "shed_resumed", 0);
  CHECK (r.status == 200 && r.complete);
  CHECK (has_events (r.body, 1, EVENTS));
  CHECK (runs_of (tb, c.id) == 2);
  response_free (&r);
}

/* The stager of the second server stands still, so that nothing tells of its end. */
static void
test_silent_stream_outlasts_replacement_without_connection (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "replacement-unreachable");
  Background b;

  start_silent_stream (tb, &b, &c, SILENCE_MS);
  kill (tb->stager_process[1].pid, SIGSTOP);
  process_end (&tb->server_process[1], SIGKILL);
  check_whole_from_first (tb, &b);
  CHECK (runs_of (tb, c.id) == 1);
  kill (tb->stager_process[1].pid, SIGCONT);
  CHECK (process_start (&tb->server_process[1]));
  CHECK (eventually (first_entry_serves, tb));
}

static void
test_silent_stream_outlasts_refusal_while_its_entry_stops (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "replacement-refuses-stop");
  Background b;

  CHECK (set_fault (tb->server[1], "shed_resumed", REFUSALS));
  start_silent_stream (tb, &b, &c, SILENCE_MS);
  CHECK (process_end (&tb->entry_process[0], SIGTERM) == 0);
  check_whole_from_first (tb, &b);
  CHECK (set_fault (tb->server[1], "shed_resumed", 0));
  CHECK (runs_of (tb, c.id) == 1);
  CHECK (process_start (&tb->entry_process[0]));
  CHECK (eventually (requests_are_served, tb));
}

/* A safe request at a server that takes long; the replacement refuses it. */
static void
test_silent_request_outlasts_replacement_that_refuses (Testbed *tb)
{
  Call c = default_call (tb, "/r/long/x", "safe-replacement-refuses");
  Background b;

  prepare (tb);
  CHECK (set_fault (tb->server[0], "answer_ms", SILENCE_MS));
  CHECK (set_fault (tb->server[1], "shed", REFUSALS));
  background_start (&b, &c);
  free_server (tb, 1);
  background_join (&b);
  CHECK (b.response.status == 200);
  response_free (&b.response);
  CHECK (set_fault (tb->server[0], "answer_ms", 0));
  CHECK (set_fault (tb->server[1], "shed", 0));
  CHECK (runs_of (tb, c.id) == 1);
}

/* Both servers have the request when its caller leaves. */
static void
test_caller_that_leaves_cancels_both (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "leaves-both");
  Background b;
  uint64_t cancelled = recorded (tb->server[0], "cancelled");
  uint64_t dropped = recorded (tb->server[1], "dropped");
  uint64_t before = replacements (tb);

  CHECK (set_fault (tb->server[1], "queue_ms", QUEUE_MS));
  c.disconnect_ms = LEAVE_MS;
  start_silent_stream (tb, &b, &c, ENDLESS_MS);
  background_join (&b);
  response_free (&b.response);
  CHECK (replacements (tb) == before + 1);
  g_usleep (CANCELS_US);
  CHECK (recorded (tb->server[0], "cancelled") == cancelled + 1);
  CHECK (recorded (tb->server[1], "dropped") == dropped + 1);
  CHECK (set_fault (tb->server[1], "queue_ms", 0));
}

/* The line of event 1001 of the request ID in the first entry's log, for g_free. */
static char *
failure_line (Testbed *tb, const char *id)
{
  char *log = NULL;
  char *found = NULL;
  char **lines;

  CHECK (g_file_get_contents (tb->entry_process[0].log, &log, NULL, NULL));
  lines = g_strsplit (log, "\n", -1);
  for (unsigned i = 0; lines[i] != NULL; i++)
    if (strstr (lines[i], "\"event\":1001,") != NULL && strstr (lines[i], id) != NULL)
      {
        g_free (found);
        found = g_strdup (lines[i]);
      }
  g_strfreev (lines);
  g_free (log);
  return found != NULL ? found : g_strdup ("");
}

/* The replacement sends an event and breaks off while its entry stands still, so that the
 * entry reads both at once: the line tells what became of the first attempt. */
static void
test_line_tells_of_overtaken_attempt (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "replacement-cut-at-once");
  Background b;
  char *line;

  CHECK (set_fault (tb->server[1], "queue_resumed_ms", QUEUE_SHORT_MS));
  CHECK (set_fault (tb->server[1], "cut_resumed", 1));
  CHECK (set_fault (tb->server[1], "cut_before", BEFORE + 1));
  awaited_replacements = replacements (tb) + 1;
  start_silent_stream (tb, &b, &c, SILENCE_MS);
  CHECK (eventually (is_replaced, tb));
  kill (tb->entry_process[0].pid, SIGSTOP);
  g_usleep (STANDSTILL_US);
  kill (tb->entry_process[0].pid, SIGCONT);
  background_join (&b);
  CHECK (!b.response.complete);
  line = failure_line (tb, c.id);
  CHECK (strstr (line, "attempts\":\"i-1 sent ") != NULL);
  CHECK (strstr (line, " ms, status 200, 3 events") != NULL);
  CHECK (strstr (line, "another upstream went on first") != NULL);
  g_free (line);
  response_free (&b.response);
  CHECK (set_fault (tb->server[1], "queue_resumed_ms", 0));
  CHECK (set_fault (tb->server[1], "cut_resumed", 0));
  CHECK (set_fault (tb->server[1], "cut_before", CUT_DEFAULT));
}

/* The second server refuses the stream for 100 ms while the first is silent, and has a
 * place long before the first breaks off. */
static void
test_stream_outlasts_refusals_before_its_end (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "refused-then-lost");
  Background b;
  uint64_t before = replacements (tb);

  CHECK (set_fault (tb->server[0], "cut", 1));
  CHECK (set_fault (tb->server[0], "cut_before", BEFORE));
  CHECK (set_fault (tb->server[1], "shed_resumed", REFUSALS));
  awaited_replacements = before + 1;
  start_silent_stream (tb, &b, &c, SILENCE_MS);
  CHECK (eventually (is_replaced, tb));
  g_usleep (REFUSING_US);
  CHECK (set_fault (tb->server[1], "shed_resumed", 0));
  background_join (&b);
  CHECK (replacements (tb) - before < 3); /* not one after the other, all at once */
  CHECK (b.response.status == 200 && b.response.complete);
  CHECK (has_events (b.response.body, 1, EVENTS));
  response_free (&b.response);
  CHECK (set_fault (tb->server[0], "cut", 0));
  CHECK (set_fault (tb->server[0], "cut_before", CUT_DEFAULT));
  CHECK (set_fault (tb->server[1], "shed_resumed", 0));
}

const TestFunc replacement_tests[] = {
  test_stream_outlasts_refusals_before_its_end,
  test_line_tells_of_overtaken_attempt,
  test_silent_stream_outlasts_replacement_that_refuses,
  test_silent_stream_outlasts_replacement_that_fails,
  test_silent_stream_outlasts_replacement_that_breaks_off,
  test_silent_stream_outlasts_replacement_that_is_slow,
  test_silent_stream_outlasts_refusal_while_its_entry_stops,
  test_silent_request_outlasts_replacement_that_refuses,
  test_silent_stream_outlasts_quarantine_of_its_replacement,
  test_caller_that_leaves_cancels_both,
  test_lost_stream_outlasts_refusals,
  test_silent_stream_outlasts_replacement_without_connection,
  NULL,
};
