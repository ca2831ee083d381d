/* Tests of the log: each request that ends without its whole response is named in it,
 * with the cause, and so is each connection that is closed with bytes unread. */
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "direct.h"
#include "raw_call.h"

#define US_PER_MS     1000
#define DEADLINE_MS   20000
#define ANSWER_MS     5000
#define LEAVE_MS      300
#define EVENT_MS      400
#define USUAL_MS      20
#define UNREAD_BYTES  (64u << 10)
#define LOG_TRIES     100
#define LOG_PAUSE_MS  50
#define SIGNAL_GAP_MS 200

/* True if one line of TEXT has all of PARTS, which end with NULL. */
static bool
has_line (const char *text, const char *const *parts)
{
  char **lines = g_strsplit (text, "\n", -1);
  bool found = false;

  for (char **l = lines; *l != NULL && !found; l++)
    {
      found = true;
      for (const char *const *p = parts; *p != NULL; p++)
        found = found && strstr (*l, *p) != NULL;
    }
  g_strfreev (lines);
  return found;
}

/* Waits for a line of the first entry's log that has all of PARTS. */
static bool
is_logged (const Testbed *tb, const char *const *parts)
{
  bool found = false;

  for (int i = 0; i < LOG_TRIES && !found; i++)
    {
      char *text = NULL;

      found = g_file_get_contents (tb->entry_process[0].log, &text, NULL, NULL)
              && has_line (text, parts);
      g_free (text);
      if (!found)
        g_usleep (LOG_PAUSE_MS * US_PER_MS);
    }
  return found;
}

/* True if the log has EVENT of request ID, with TEXT. */
static bool
names_request (const Testbed *tb, const char *event, const char *id, const char *text)
{
  char *number = g_strdup_printf ("\"event\":%s,", event);
  char *request = g_strdup_printf ("\"%s\"", id);
  bool named = is_logged (tb, (const char *[]){ number, request, text, NULL });

  g_free (number);
  g_free (request);
  return named;
}

static void
wait_until_it_runs (Testbed *tb, const char *id)
{
  for (int i = 0; i < LOG_TRIES && runs_of (tb, id) == 0; i++)
    g_usleep (LOG_PAUSE_MS * US_PER_MS);
  CHECK (runs_of (tb, id) > 0);
}

/* Ends the first entry at once, as SIGINT does that comes twice, and starts it again. */
static void
end_at_once (Testbed *tb)
{
  Process *p = &tb->entry_process[0];
  int status;

  kill (p->pid, SIGINT);
  g_usleep (SIGNAL_GAP_MS * US_PER_MS);
  status = process_end (p, SIGINT);
  CHECK (status != -1 && WIFEXITED (status) && WEXITSTATUS (status) == 0);
  CHECK (process_start (p));
  CHECK (eventually (requests_are_served, tb));
}

/* Opens a connection and sends a request that no server answers, and MORE. */
static void
begin_unanswered (Testbed *tb, RawCall *c, const char *id, const char *more)
{
  char *head;
  char *text;

  c->id = g_strdup (id);
  CHECK (set_fault (tb->server[SERVERS - 1], "silent", 1));
  CHECK (raw_call_open (c, tb->entry[0]));
  head = raw_call_text (c, "/o/long/x", DEADLINE_MS, "x");
  text = g_strconcat (head, more, NULL);
  CHECK (raw_call_send (c, text, strlen (text)));
  g_free (head);
  g_free (text);
  wait_until_it_runs (tb, id);
}

static bool
streams_are_served (Testbed *tb)
{
  Call c = default_call (tb, "/s/single/x", "log-served");
  Response r = call (&c);
  bool served = r.status == 200 && r.complete;

  response_free (&r);
  return served;
}

static void
test_log_names_a_request_whose_stream_breaks_off (Testbed *tb)
{
  Call c = default_call (tb, "/s/single/x", "log-cut");
  Response r;

  CHECK (eventually (streams_are_served, tb));
  set_fault_on_both (tb, "cut", 1);
  r = call (&c);
  set_fault_on_both (tb, "cut", 0);
  CHECK (!r.complete);
  response_free (&r);
  CHECK (names_request (tb, "112", "log-cut", "\"cause\":\"the response was cut\""));
}

static void
test_log_names_a_request_whose_caller_leaves (Testbed *tb)
{
  Call c = default_call (tb, "/s/slow/x", "log-left");
  Response r;

  set_fault_on_both (tb, "event_ms", EVENT_MS);
  c.disconnect_ms = LEAVE_MS;
  r = call (&c);
  set_fault_on_both (tb, "event_ms", USUAL_MS);
  CHECK (!r.complete);
  response_free (&r);
  CHECK (names_request (tb, "1004", "log-left", ""));
}

static void
test_log_names_a_request_that_the_end_of_the_process_cuts (Testbed *tb)
{
  RawCall c = { .fd = -1 };

  begin_unanswered (tb, &c, "log-ended", "");
  end_at_once (tb);
  raw_call_end (&c, ANSWER_MS, false);
  CHECK (!c.response.complete);
  raw_call_free (&c);
  CHECK (names_request (tb, "112", "log-ended", "\"cause\":\"the process ended\""));
}

static void
test_log_tells_of_a_connection_closed_with_bytes_unread (Testbed *tb)
{
  RawCall c = { .fd = -1 };
  char *more = g_strnfill (UNREAD_BYTES, 'x');

  begin_unanswered (tb, &c, "log-unread", more);
  end_at_once (tb);
  raw_call_end (&c, ANSWER_MS, false);
  CHECK (!c.response.complete);
  raw_call_free (&c);
  g_free (more);
  CHECK (names_request (tb, "112", "log-unread", "\"cause\":\"the process ended\""));
  CHECK (is_logged (tb, (const char *[]){ "\"event\":113,", "\"port\":8001,", NULL }));
}

const TestFunc incomplete_tests[] = {
  test_log_names_a_request_whose_stream_breaks_off,
  test_log_names_a_request_whose_caller_leaves,
  test_log_names_a_request_that_the_end_of_the_process_cuts,
  test_log_tells_of_a_connection_closed_with_bytes_unread,
  NULL,
};
