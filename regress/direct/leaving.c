/*
 * Tests of what upstreams announce in their responses: that they leave, and for how long
 * they want no requests.  What reached an upstream is read from its own records.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "direct.h"

#define PLAIN 2 /* index of the plain service's only server */
/* Requests that would reach each of two usable servers almost certainly. */
#define PROBES 16
/* A hold-off that does not end during a test. */
#define LONG_HOLD_MS 60000

static unsigned next_id;
static int parallel_id;

/* Sends a request of its own to TARGET; the caller frees the response. */
static Response
send_request (Testbed *tb, const char *target, char **id)
{
  Call c;
  Response r;

  *id = g_strdup_printf ("leaving-%u", ++next_id);
  c = default_call (tb, target, *id);
  if (g_str_has_prefix (target, "/p/"))
    c.key = NULL;
  if (g_str_has_prefix (target, "/o/"))
    c.body = "x";
  r = call (&c);
  return r;
}

static int
send_status (Testbed *tb, const char *target)
{
  char *id;
  Response r = send_request (tb, target, &id);
  int status = r.status;

  response_free (&r);
  g_free (id);
  return status;
}

static uint64_t
received (Testbed *tb, unsigned server)
{
  return recorded (tb->server[server], "received");
}

/* Sends safe requests until SERVER has received one more. */
static void
send_until_received (Testbed *tb, unsigned server)
{
  uint64_t before = received (tb, server);

  for (unsigned i = 0; i < 4 * PROBES && received (tb, server) == before; i++)
    CHECK (send_status (tb, "/r/x") == 200);
  CHECK (received (tb, server) > before);
}

/* Sends safe requests; all are served and none reaches SERVER. */
static void
check_avoided (Testbed *tb, unsigned server)
{
  uint64_t before = received (tb, server);

  for (unsigned i = 0; i < PROBES; i++)
    CHECK (send_status (tb, "/r/x") == 200);
  CHECK (received (tb, server) == before);
}

/* Sends a request that is refused with Retry-After between the limits, and that reaches
 * no server. */
static void
check_refused (Testbed *tb, const char *target, double min_s, double max_s)
{
  uint64_t before = 0;
  uint64_t after = 0;
  char *id;
  char *retry;
  Response r;

  for (unsigned i = 0; i < SERVERS; i++)
    before += received (tb, i);
  r = send_request (tb, target, &id);
  for (unsigned i = 0; i < SERVERS; i++)
    after += received (tb, i);
  retry = response_header (&r, "Retry-After");
  CHECK (r.status == 503);
  CHECK (retry != NULL && g_ascii_strtod (retry, NULL) >= min_s
         && g_ascii_strtod (retry, NULL) <= max_s);
  CHECK (after == before);
  CHECK (runs_of (tb, id) == 0);
  g_free (retry);
  g_free (id);
  response_free (&r);
}

static const char *const knobs[]
    = { "leaving", "report_leaving", "shed", "retry_after_ms", "unmarked" };

static bool
all_servers_are_used (Testbed *tb)
{
  uint64_t before[SERVERS];
  bool all = true;

  for (unsigned i = 0; i < SERVERS; i++)
    before[i] = received (tb, i);
  for (unsigned i = 0; i < PROBES; i++)
    send_status (tb, "/r/x");
  send_status (tb, "/p/x");
  for (unsigned i = 0; i < SERVERS; i++)
    all = all && received (tb, i) > before[i];
  return all;
}

static void
start_anew (Testbed *tb, unsigned server)
{
  for (size_t k = 0; k < G_N_ELEMENTS (knobs); k++)
    CHECK (set_fault (tb->server[server], knobs[k], 0));
  CHECK (testbed_restart_server (tb, server));
  CHECK (set_fault (tb->server[server], "born", tb->server_started[server]));
}

static bool
plain_server_is_used (Testbed *tb)
{
  return send_status (tb, "/p/x") == 200;
}

/* Waits until the entry has read what was written to the list before: the plain server
 * announces that it leaves, and is used again once its later entry was read. */
static void
wait_for_list (Testbed *tb)
{
  CHECK (set_fault (tb->server[PLAIN], "leaving", 1));
  send_status (tb, "/p/x");
  start_anew (tb, PLAIN);
  CHECK (eventually (plain_server_is_used, tb));
}

/* Clears all faults and lists the servers as new instances, which must be used again. */
static void
restart_servers (Testbed *tb)
{
  for (unsigned i = 0; i < PLAIN; i++)
    start_anew (tb, i);
  wait_for_list (tb);
  CHECK (eventually (all_servers_are_used, tb));
}

/* -------- leaving -------- */

static void
test_leaving_upstream_listed_as_ready_got_requests (Testbed *tb)
{
  CHECK (set_fault (tb->server[0], "leaving", 1));
  send_until_received (tb, 0);
  check_avoided (tb, 0);
  restart_servers (tb);
}

static void
test_leaving_upstream_listed_again_got_requests (Testbed *tb)
{
  CHECK (set_fault (tb->server[0], "leaving", 1));
  send_until_received (tb, 0);
  CHECK (testbed_unlist_server (tb, 0));
  wait_for_list (tb);
  check_avoided (tb, 0);
  CHECK (testbed_list_server (tb, 0, "ready"));
  wait_for_list (tb);
  check_avoided (tb, 0);
  restart_servers (tb);
}

static bool
first_server_is_avoided (Testbed *tb)
{
  uint64_t before = received (tb, 0);

  for (unsigned i = 0; i < PROBES && received (tb, 0) == before; i++)
    send_status (tb, "/r/x");
  return received (tb, 0) == before;
}

/* As a store shows it that comes back from an older copy. */
static void
test_draining_upstream_listed_again_as_ready_got_requests (Testbed *tb)
{
  CHECK (testbed_list_server (tb, 0, "draining"));
  CHECK (eventually (first_server_is_avoided, tb));
  CHECK (testbed_list_server (tb, 0, "ready"));
  wait_for_list (tb);
  check_avoided (tb, 0);
  restart_servers (tb);
}

static void
test_error_response_of_leaving_upstream_was_ignored (Testbed *tb)
{
  CHECK (set_fault (tb->server[0], "leaving", 1));
  CHECK (set_fault (tb->server[0], "shed", 1));
  send_until_received (tb, 0);
  check_avoided (tb, 0);
  restart_servers (tb);
}

typedef struct
{
  Testbed *testbed;
  Response response;
} StreamCall;

static gpointer
run_stream (gpointer data)
{
  StreamCall *s = data;
  Call c = default_call (s->testbed, "/s/x", "leaving-stream");

  s->response = call (&c);
  return NULL;
}

static bool
stream_runs (Testbed *tb)
{
  return runs_of (tb, "leaving-stream") == 1;
}

/* The head of the stream says it; the stream itself is served to its end. */
static void
test_leaving_upstream_got_requests_beside_its_stream (Testbed *tb)
{
  StreamCall s = { .testbed = tb };
  GThread *thread;
  unsigned server;

  set_fault_on_both (tb, "leaving", 1);
  set_fault_on_both (tb, "event_ms", 150);
  thread = g_thread_new ("stream", run_stream, &s);
  CHECK (eventually (stream_runs, tb));
  server = recorded (tb->server[0], "runs.leaving-stream") == 1 ? 0 : 1;
  CHECK (set_fault (tb->server[1 - server], "leaving", 0));
  g_usleep (400 * 1000); /* the first event and with it the head have been received */
  check_avoided (tb, server);
  g_thread_join (thread);
  CHECK (s.response.status == 200 && s.response.complete);
  CHECK (has_events (s.response.body, 1, 10));
  CHECK (runs_of (tb, "leaving-stream") == 1);
  response_free (&s.response);
  set_fault_on_both (tb, "event_ms", 20);
  restart_servers (tb);
}

static void
test_leaving_upstream_got_requests_while_store_was_away (Testbed *tb)
{
  CHECK (set_fault (tb->server[PLAIN], "leaving", 1));
  kill (tb->store_process.pid, SIGSTOP);
  CHECK (send_status (tb, "/p/x") == 200);
  for (unsigned i = 0; i < PROBES; i++)
    check_refused (tb, "/p/x", 0.05, 3);
  kill (tb->store_process.pid, SIGCONT);
  restart_servers (tb);
}

static void
test_request_was_sent_though_all_upstreams_leave (Testbed *tb)
{
  uint64_t before = received (tb, 1);

  set_fault_on_both (tb, "leaving", 1);
  send_until_received (tb, 0);
  if (received (tb, 1) == before)
    send_status (tb, "/r/x"); /* the last one that may be sent */
  for (unsigned i = 0; i < 4; i++)
    check_refused (tb, "/r/x", 0.05, 3);
  check_refused (tb, "/s/x", 0.05, 3);
  restart_servers (tb);
}

static void
test_report_of_leaving_upstream_was_ignored (Testbed *tb)
{
  CHECK (set_fault (tb->server[0], "report_leaving", 1));
  CHECK (eventually (first_server_is_avoided, tb));
  check_avoided (tb, 0);
  restart_servers (tb);
}

/* -------- holding off -------- */

/* More streams than the usable servers have request slots. */
#define STREAMS 12

static gpointer
stream_is_served (gpointer data)
{
  char *id = g_strdup_printf ("parallel-%d", g_atomic_int_add (&parallel_id, 1));
  Call c = default_call (data, "/s/x", id);
  Response r = call (&c);
  gboolean served = r.status == 200 && r.complete;

  response_free (&r);
  g_free (id);
  return GINT_TO_POINTER (served);
}

/* Sends streams at the same time, so that no usable server is left out for others being
 * better; returns how many were served. */
static unsigned
send_streams (Testbed *tb)
{
  GThread *threads[STREAMS];
  unsigned served = 0;

  for (unsigned i = 0; i < STREAMS; i++)
    threads[i] = g_thread_new ("stream", stream_is_served, tb);
  for (unsigned i = 0; i < STREAMS; i++)
    served += GPOINTER_TO_INT (g_thread_join (threads[i])) != 0;
  return served;
}

/* Sends streams; some are served and none reaches SERVER. */
static void
check_holds_off (Testbed *tb, unsigned server)
{
  uint64_t before = received (tb, server);

  CHECK (send_streams (tb) > 0);
  CHECK (received (tb, server) == before);
}

static bool
streams_reach_first_server (Testbed *tb)
{
  uint64_t before = received (tb, 0);

  send_streams (tb);
  return received (tb, 0) > before;
}

static void
test_upstream_got_requests_during_hold_off (Testbed *tb)
{
  CHECK (set_fault (tb->server[0], "retry_after_ms", LONG_HOLD_MS));
  CHECK (set_fault (tb->server[0], "shed", 1));
  send_until_received (tb, 0);
  check_holds_off (tb, 0);
  CHECK (testbed_unlist_server (tb, 0));
  wait_for_list (tb);
  check_holds_off (tb, 0);
  CHECK (testbed_list_server (tb, 0, "ready"));
  wait_for_list (tb);
  check_holds_off (tb, 0);
  restart_servers (tb);
}

static void
test_hold_off_did_not_end (Testbed *tb)
{
  CHECK (set_fault (tb->server[0], "retry_after_ms", 700));
  CHECK (set_fault (tb->server[0], "shed", 1));
  send_until_received (tb, 0);
  CHECK (eventually (streams_reach_first_server, tb));
  restart_servers (tb);
}

static void
test_unmarked_503_started_no_hold_off (Testbed *tb)
{
  CHECK (set_fault (tb->server[0], "retry_after_ms", LONG_HOLD_MS));
  CHECK (set_fault (tb->server[0], "unmarked", 1));
  CHECK (set_fault (tb->server[0], "shed", 1));
  send_until_received (tb, 0);
  check_holds_off (tb, 0);
  restart_servers (tb);
}

static void
test_request_was_sent_though_all_upstreams_hold_off (Testbed *tb)
{
  set_fault_on_both (tb, "retry_after_ms", LONG_HOLD_MS);
  set_fault_on_both (tb, "shed", 1);
  CHECK (send_status (tb, "/r/x") == 503); /* each server sheds it once */
  for (unsigned i = 0; i < 4; i++)
    check_refused (tb, "/r/x", 50, 62);
  check_refused (tb, "/s/x", 50, 62);
  restart_servers (tb);
}

static void
test_shed_unsafe_request_was_told_to_return_too_early (Testbed *tb)
{
  char *id;
  char *retry;
  Response r;

  CHECK (set_fault (tb->server[PLAIN], "retry_after_ms", LONG_HOLD_MS));
  CHECK (set_fault (tb->server[PLAIN], "shed", 1));
  r = send_request (tb, "/o/x", &id);
  retry = response_header (&r, "Retry-After");
  CHECK (r.status == 503 && runs_of (tb, id) == 0);
  CHECK (retry != NULL && g_ascii_strtod (retry, NULL) >= 50);
  check_refused (tb, "/o/x", 50, 62);
  check_refused (tb, "/p/x", 50, 62);
  g_free (retry);
  g_free (id);
  response_free (&r);
  restart_servers (tb);
}

const TestFunc leaving_tests[] = {
  test_leaving_upstream_listed_as_ready_got_requests,
  test_leaving_upstream_listed_again_got_requests,
  test_draining_upstream_listed_again_as_ready_got_requests,
  test_error_response_of_leaving_upstream_was_ignored,
  test_leaving_upstream_got_requests_beside_its_stream,
  test_leaving_upstream_got_requests_while_store_was_away,
  test_request_was_sent_though_all_upstreams_leave,
  test_report_of_leaving_upstream_was_ignored,
  test_upstream_got_requests_during_hold_off,
  test_hold_off_did_not_end,
  test_unmarked_503_started_no_hold_off,
  test_request_was_sent_though_all_upstreams_hold_off,
  test_shed_unsafe_request_was_told_to_return_too_early,
  NULL,
};
