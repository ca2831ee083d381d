/* Tests of requests whose time is over: their upstreams end the runs themselves. */
#include <glib.h>
#include <string.h>

#include "direct.h"

#define ROUNDS           5
#define STREAMS          4   /* at a time */
#define EARLY_MS         8   /* by which an upstream's end comes before the entry's */
#define WELL_EARLY_MS    400 /* of a crash */
#define SHORT_MS         700
#define SLOW_EVENT_MS    150 /* a stream of ten events then takes over twice SHORT_MS */
#define DEFAULT_EVENT_MS 20
#define LONG_ANSWER_MS   3000
#define PAUSE_US         100000
#define PART             "7131"

static char *
log_text (Testbed *tb)
{
  char *text = NULL;

  g_file_get_contents (tb->entry_process[0].log, &text, NULL, NULL);
  return text != NULL ? text : g_strdup ("");
}

static bool
log_has (Testbed *tb, const char *text)
{
  char *log = log_text (tb);
  bool found = strstr (log, text) != NULL;

  g_free (log);
  return found;
}

static void
set_ends (Testbed *tb, uint64_t early_ms)
{
  for (unsigned i = 0; i < SERVERS; i++)
    CHECK (set_fault (tb->server[i], "end_early_ms", early_ms));
}

/* A stream that takes longer than its time; its id and its parts are freed by
 * wait_for_stream. */
static void
start_stream (Testbed *tb, Background *b, unsigned round, unsigned index)
{
  Call c = default_call (tb, "/s/x", g_strdup_printf ("over-%u-%u", round, index));

  c.header
      = g_strdup_printf ("X-Prompt-Prefix: f1:40,%s:100,d%u%u:10", PART, round, index);
  c.deadline_ms = SHORT_MS;
  background_start (b, &c);
}

static void
wait_for_stream (Background *b)
{
  background_join (b);
  CHECK (b->response.status == 200 && !b->response.complete);
  response_free (&b->response);
  g_free ((char *)b->options.id);
  g_free ((char *)b->options.header);
}

static void
run_out_of_time (Testbed *tb, unsigned round)
{
  Background b[STREAMS];

  for (unsigned i = 0; i < STREAMS; i++)
    {
      start_stream (tb, &b[i], round, i);
      g_usleep (PAUSE_US);
    }
  for (unsigned i = 0; i < STREAMS; i++)
    wait_for_stream (&b[i]);
}

static void
test_upstream_is_not_blamed_for_time_over (Testbed *tb)
{
  set_fault_on_both (tb, "event_ms", SLOW_EVENT_MS);
  set_ends (tb, EARLY_MS);
  for (unsigned i = 0; i < ROUNDS; i++)
    run_out_of_time (tb, i);
  set_ends (tb, 0);
  set_fault_on_both (tb, "event_ms", DEFAULT_EVENT_MS);
  CHECK (part_is_served (tb, tb->entry[0], PART));
  CHECK (!log_has (tb, "\"event\":1006"));
  CHECK (!log_has (tb, "upstreams crash on"));
  CHECK (!log_has (tb, "the upstream broke off"));
}

/* Status of an unsafe request whose upstream ends it EARLY_MS before the end of its time.
 */
static int
status_of_unsafe (Testbed *tb, const char *id, uint64_t early_ms)
{
  Call c = default_call (tb, "/o/long/x", id);
  Response r;
  int status;

  c.body = "x";
  c.deadline_ms = SHORT_MS;
  CHECK (set_fault (tb->server[SERVERS - 1], "answer_ms", LONG_ANSWER_MS));
  set_ends (tb, early_ms);
  r = call (&c);
  status = r.complete ? r.status : 0;
  CHECK (runs_of (tb, id) == 1);
  set_ends (tb, 0);
  CHECK (set_fault (tb->server[SERVERS - 1], "answer_ms", 0));
  response_free (&r);
  return status;
}

static void
test_request_that_runs_out_of_time_gets_504 (Testbed *tb)
{
  CHECK (status_of_unsafe (tb, "over-unsafe", EARLY_MS) == 504);
}

static void
test_upstream_that_breaks_off_early_is_blamed (Testbed *tb)
{
  CHECK (status_of_unsafe (tb, "early-unsafe", WELL_EARLY_MS) == 502);
  CHECK (log_has (tb, "the upstream broke off"));
}

const TestFunc time_tests[] = {
  test_upstream_is_not_blamed_for_time_over,
  test_request_that_runs_out_of_time_gets_504,
  test_upstream_that_breaks_off_early_is_blamed,
  NULL,
};
