/* Tests of planned stops: what callers get from an entry between SIGTERM and its end. */
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "direct.h"
#include "raw_call.h"

#define SLOW_EVENT_MS    550 /* a stream of ten events then lasts 5.5 s */
#define DEFAULT_EVENT_MS 20
#define LATE_MS          2900
#define LISTENING_MS     3100 /* a process surely listens up to here */
#define PAUSE_TRIES      5
#define VERY_LATE_MS     4000
#define LONG_DEADLINE_MS 20000
#define SIGNAL_PAUSE_MS  300
#define CROSSING_MS      200
#define US_PER_MS        1000
#define MS_PER_S         1000
/* An entry that is held up in pieces shorter than what counts as a pause. */
#define HELD_MS      120
#define RUNNING_MS   30
#define HELD_FROM_MS 2950
#define HELD_TO_MS   3600 /* later than the listening socket closes */
#define HELD_CALLS   30
#define ANSWER_MS    5000

static const char *awaited_id;

static bool
awaited_runs (Testbed *tb)
{
  return runs_of (tb, awaited_id) > 0;
}

static void
wait_until_it_runs (Testbed *tb, const char *id)
{
  awaited_id = id;
  CHECK (eventually (awaited_runs, tb));
}

/* Waits for the end of the first entry, which must exit with status 0, and starts it
 * again. */
static void
restart_first_entry (Testbed *tb)
{
  int status = process_end (&tb->entry_process[0], 0);

  CHECK (status != -1 && WIFEXITED (status) && WEXITSTATUS (status) == 0);
  CHECK (process_start (&tb->entry_process[0]));
  CHECK (eventually (requests_are_served, tb));
}

static Call
slow_stream (const Testbed *tb, const char *id)
{
  Call c = default_call (tb, "/s/slow/x", id);

  c.deadline_ms = 6000;
  return c;
}

static void
test_stream_late_in_a_stop_is_not_cut (Testbed *tb)
{
  Call c = slow_stream (tb, "late-1");
  Response r;

  set_fault_on_both (tb, "event_ms", SLOW_EVENT_MS);
  kill (tb->entry_process[0].pid, SIGTERM);
  g_usleep (LATE_MS * US_PER_MS);
  r = call (&c);
  CHECK ((r.status == 200 && r.complete && has_events (r.body, 1, 10))
         || (r.status == 503 && r.complete && runs_of (tb, "late-1") == 0));
  response_free (&r);
  set_fault_on_both (tb, "event_ms", DEFAULT_EVENT_MS);
  restart_first_entry (tb);
}

/* Stops the first entry while it forwards the slow stream ID. */
static void
begin_stop_during_stream (Testbed *tb, Background *b, const char *id)
{
  Call c = slow_stream (tb, id);

  set_fault_on_both (tb, "event_ms", SLOW_EVENT_MS);
  background_start (b, &c);
  wait_until_it_runs (tb, id);
  kill (tb->entry_process[0].pid, SIGTERM);
}

/* Checks that the stream comes to its end, and starts the entry again. */
static void
end_stop_during_stream (Testbed *tb, Background *b)
{
  background_join (b);
  CHECK (b->response.status == 200 && b->response.complete
         && has_events (b->response.body, 1, 10));
  response_free (&b->response);
  set_fault_on_both (tb, "event_ms", DEFAULT_EVENT_MS);
  restart_first_entry (tb);
}

static void
test_second_sigterm_cuts_nothing (Testbed *tb)
{
  Background b;

  begin_stop_during_stream (tb, &b, "twice-1");
  g_usleep (SIGNAL_PAUSE_MS * US_PER_MS);
  kill (tb->entry_process[0].pid, SIGTERM);
  end_stop_during_stream (tb, &b);
}

static void
test_request_that_outlasts_a_stop_is_answered (Testbed *tb)
{
  Call c = default_call (tb, "/o/long/x", "outlast-1");
  Background b;

  c.deadline_ms = LONG_DEADLINE_MS;
  c.body = "x";
  CHECK (set_fault (tb->server[SERVERS - 1], "silent", 1));
  background_start (&b, &c);
  wait_until_it_runs (tb, "outlast-1");
  kill (tb->entry_process[0].pid, SIGTERM);
  background_join (&b);
  CHECK (b.response.status == 502 || b.response.status == 504);
  CHECK (b.response.complete && runs_of (tb, "outlast-1") == 1);
  response_free (&b.response);
  restart_first_entry (tb);
}

/* True for responses that promise that the request has not run. */
static bool
is_refusal (const Response *r)
{
  return r->status == 503 || r->status == 408;
}

/* True if a request that was sent once is lost: it ran and was not answered, or it waited
 * for an answer that did not come.  One that crosses the closing of the listening socket
 * has its connection reset at once. */
static bool
is_lost (Testbed *tb, const char *id, const Response *r, gint64 took_us)
{
  if (r->complete)
    return r->status != 200 && (!is_refusal (r) || runs_of (tb, id) > 0);
  return runs_of (tb, id) > 0 || (r->sent && took_us > CROSSING_MS * US_PER_MS);
}

/* Sends requests on kept connections until the process is gone. */
static void
test_kept_connections_lose_no_request (Testbed *tb)
{
  CURL *curl = curl_easy_init ();
  int64_t end_us = g_get_monotonic_time () + 10 * MS_PER_S * US_PER_MS;
  unsigned lost = 0;
  unsigned unanswered = 0;

  kill (tb->entry_process[0].pid, SIGTERM);
  for (unsigned i = 0; g_get_monotonic_time () < end_us; i++)
    {
      char *id = g_strdup_printf ("kept-%u", i);
      Call c = default_call (tb, "/r/x", id);
      gint64 sent_us = g_get_monotonic_time ();
      gint64 took_us;
      Response r;

      c.curl = curl;
      c.once = true;
      r = call (&c);
      took_us = g_get_monotonic_time () - sent_us;
      if (is_lost (tb, id, &r, took_us))
        {
          g_print ("lost: %s, status %d, complete %d, sent %d, after %d ms\n", id,
                   r.status, r.complete, r.sent, (int)(took_us / US_PER_MS));
          lost++;
        }
      unanswered += r.sent && r.status == 0;
      if (r.status == 0)
        g_usleep (10 * US_PER_MS);
      response_free (&r);
      g_free (id);
    }
  CHECK (lost == 0);
  CHECK (unanswered <= 1); /* the one that crosses the closing */
  curl_easy_cleanup (curl);
  restart_first_entry (tb);
}

/* Stops the first entry and pauses it while it still listens, sends a request, and lets
 * it go on.  Returns false, the request unsent, when the pause began too late. */
static bool
request_in_a_pause_of_a_stop (Testbed *tb, const char *id)
{
  Call c = default_call (tb, "/r/x", id);
  pid_t pid = tb->entry_process[0].pid;
  gint64 began_us = g_get_monotonic_time (); /* of the stop, or earlier */
  Background b;

  kill (pid, SIGTERM);
  g_usleep (LATE_MS * US_PER_MS);
  kill (pid, SIGSTOP);
  if (g_get_monotonic_time () - began_us > (gint64)LISTENING_MS * US_PER_MS)
    {
      kill (pid, SIGCONT);
      return false;
    }
  background_start (&b, &c);
  g_usleep (2 * SIGNAL_PAUSE_MS * US_PER_MS);
  kill (pid, SIGCONT);
  background_join (&b);
  CHECK (b.response.complete && (b.response.status == 200 || b.response.status == 503));
  response_free (&b.response);
  return true;
}

static void
test_request_read_after_a_pause_in_a_stop_is_answered (Testbed *tb)
{
  bool sent = false;

  for (unsigned i = 0; i < PAUSE_TRIES && !sent; i++)
    {
      char *id = g_strdup_printf ("paused-stop-%u", i);

      sent = request_in_a_pause_of_a_stop (tb, id);
      g_free (id);
      restart_first_entry (tb);
    }
  CHECK (sent);
}

/* A request to the first entry that crosses the closing of a listening socket. */
typedef struct
{
  const char *address;
  const char *target;
  const char *body;
} Crossing;

static bool
is_answered (Testbed *tb, const RawCall *c)
{
  const Response *r = &c->response;

  if (r->status == 200)
    return r->complete;
  return r->status == 503 && r->complete && runs_of (tb, c->id) == 0;
}

/* Opens a connection and sends a request; false when refused. */
static bool
connect_and_send (RawCall *c, const Crossing *crossing, unsigned number)
{
  char *text;

  if (!raw_call_open (c, crossing->address))
    return false;
  c->id = g_strdup_printf ("crosses-%u", number);
  text = raw_call_text (c, crossing->target, LATE_MS, crossing->body);
  CHECK (raw_call_send (c, text, strlen (text)));
  g_free (text);
  return true;
}

/* Stops the first entry, which is held up in short pieces while callers connect to it,
 * and checks that each gets an answer. */
static void
check_crossings (Testbed *tb, const Crossing crossings[2])
{
  static unsigned number;
  pid_t pid = tb->entry_process[0].pid;
  RawCall calls[HELD_CALLS] = { 0 };
  gint64 began_us = g_get_monotonic_time ();
  unsigned n = 0;
  unsigned cut = 0;

  kill (pid, SIGTERM);
  g_usleep (HELD_FROM_MS * US_PER_MS);
  while (n < HELD_CALLS
         && g_get_monotonic_time () < began_us + (gint64)HELD_TO_MS * US_PER_MS)
    {
      kill (pid, SIGSTOP);
      for (unsigned i = 0; i < 2 && n < HELD_CALLS; i++)
        n += connect_and_send (&calls[n], &crossings[i], ++number);
      g_usleep (HELD_MS * US_PER_MS);
      kill (pid, SIGCONT);
      g_usleep (RUNNING_MS * US_PER_MS);
    }
  CHECK (n > 0);
  for (unsigned i = 0; i < n; i++)
    {
      raw_call_end (&calls[i], ANSWER_MS, false);
      cut += !is_answered (tb, &calls[i]);
      raw_call_free (&calls[i]);
    }
  CHECK (cut == 0);
  restart_first_entry (tb);
}

/* Guards against the reset of a connection that waits unaccepted (soak, seed 50015). */
static void
test_connection_unaccepted_as_the_listener_closes_is_answered (Testbed *tb)
{
  const Crossing crossings[]
      = { { tb->entry[0], "/r/x", NULL }, { tb->entry[0], "/o/x", "x" } };

  check_crossings (tb, crossings);
}

/* The same for callers who ask for the list of entries, or whether the entry is ready. */
static void
test_questions_as_an_entry_ends_are_answered (Testbed *tb)
{
  const Crossing crossings[]
      = { { tb->directory[0], "/-/resolve?name=x.example&region=r1&zone=d1", NULL },
          { tb->ready[0], "/-/readyz", NULL } };

  check_crossings (tb, crossings);
}

/* Guards against connections that are refused or cut while the entry still works. */
static void
test_caller_late_in_a_stop_gets_a_response (Testbed *tb)
{
  Call c = default_call (tb, "/r/x", "very-late-1");
  Background b;
  Response r;

  begin_stop_during_stream (tb, &b, "outlives-1");
  g_usleep (VERY_LATE_MS * US_PER_MS);
  r = call (&c);
  CHECK (r.complete && (r.status == 200 || r.status == 503));
  response_free (&r);
  end_stop_during_stream (tb, &b);
}

const TestFunc stop_tests[] = {
  test_stream_late_in_a_stop_is_not_cut,
  test_second_sigterm_cuts_nothing,
  test_request_that_outlasts_a_stop_is_answered,
  test_kept_connections_lose_no_request,
  test_request_read_after_a_pause_in_a_stop_is_answered,
  test_connection_unaccepted_as_the_listener_closes_is_answered,
  test_questions_as_an_entry_ends_are_answered,
  test_caller_late_in_a_stop_gets_a_response,
  NULL,
};
