/* Tests of entries that handle late what came while they stood still: the time that they
 * have for it began when it came. */
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "direct.h"

#define US_PER_MS        1000
#define GRACE_MS         8000 /* as in the nodes' settings */
#define STOOD_STILL_MS   1000
#define LONG_DEADLINE_MS 20000
#define DEADLINE_MS      1500
#define POLL_MS          20

/* Lets the first entry stand still for STOOD_STILL_MS. */
static void
let_it_stand_still (Testbed *tb)
{
  g_usleep (STOOD_STILL_MS * US_PER_MS);
  kill (tb->entry_process[0].pid, SIGCONT);
}

/* Begins a call that no server answers. */
static void
begin_unanswered (Testbed *tb, Background *b, const char *id, unsigned deadline_ms)
{
  Call c = default_call (tb, "/o/long/x", id);

  c.deadline_ms = deadline_ms;
  c.body = "x";
  CHECK (set_fault (tb->server[SERVERS - 1], "silent", 1));
  background_start (b, &c);
}

/* Length of the process's log. */
static size_t
log_length (const Process *p)
{
  char *text = NULL;
  gsize length = 0;

  g_file_get_contents (p->log, &text, &length, NULL);
  g_free (text);
  return length;
}

/* True once the process has logged, after the first FROM bytes, that it has stopped. What
 * follows is its sanitizer's search for leaks. */
static bool
has_stopped (const Process *p, size_t from)
{
  char *text = NULL;
  gsize length = 0;
  bool stopped = g_file_get_contents (p->log, &text, &length, NULL) && length > from
                 && strstr (text + from, "\"event\":102,") != NULL;

  g_free (text);
  return stopped;
}

static void
test_stop_that_is_handled_late_ends_within_its_time (Testbed *tb)
{
  Process *p = &tb->entry_process[0];
  size_t logged = log_length (p);
  bool stopped = false;
  gint64 began_us;
  Background b;
  int status;

  begin_unanswered (tb, &b, "outlasts-late", LONG_DEADLINE_MS);
  for (int i = 0; i < 100 && runs_of (tb, "outlasts-late") == 0; i++)
    g_usleep (POLL_MS * US_PER_MS);
  kill (p->pid, SIGSTOP);
  kill (p->pid, SIGTERM);
  began_us = g_get_monotonic_time ();
  let_it_stand_still (tb);
  while (!stopped && g_get_monotonic_time () < began_us + GRACE_MS * US_PER_MS)
    {
      stopped = has_stopped (p, logged);
      g_usleep (POLL_MS * US_PER_MS);
    }
  CHECK (stopped);
  status = process_end (p, stopped ? 0 : SIGKILL);
  CHECK (status != -1 && WIFEXITED (status) && WEXITSTATUS (status) == 0);
  background_join (&b);
  CHECK (b.response.status == 504 && b.response.complete);
  response_free (&b.response);
  CHECK (process_start (p));
  CHECK (eventually (requests_are_served, tb));
}

static void
test_request_that_is_read_late_ends_at_its_own_deadline (Testbed *tb)
{
  gint64 sent_us;
  Background b;

  kill (tb->entry_process[0].pid, SIGSTOP);
  sent_us = g_get_monotonic_time ();
  begin_unanswered (tb, &b, "read-late", DEADLINE_MS);
  let_it_stand_still (tb);
  background_join (&b);
  CHECK (g_get_monotonic_time () - sent_us
         < (DEADLINE_MS + STOOD_STILL_MS / 2) * US_PER_MS);
  CHECK (b.response.status == 504 && b.response.complete);
  response_free (&b.response);
}

const TestFunc end_tests[] = {
  test_stop_that_is_handled_late_ends_within_its_time,
  test_request_that_is_read_late_ends_at_its_own_deadline,
  NULL,
};
