/* Tests of "daisyctl explain" on requests that failed in a known way. */
#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#include "direct.h"

#define ARGS_MAX (4 + ENTRIES + SERVERS)
/* Requests are denied, with a line each, for long before and during a stream. */
#define FLOOD_BEFORE_MS 600
#define FLOOD_MS        1500
#define CUT_EVENT_MS    100

/* The output of "daisyctl explain ID" over the logs of all entries and stagers, for
 * g_free. */
static char *
explain (Testbed *tb, const char *id)
{
  char *argv[ARGS_MAX];
  unsigned count = 0;
  char *text = NULL;

  argv[count++] = g_strdup_printf ("%s/daisyctl", tb->bin);
  argv[count++] = g_strdup ("explain");
  argv[count++] = g_strdup (id);
  for (unsigned i = 0; i < ENTRIES; i++)
    argv[count++] = g_strdup (tb->entry_process[i].log);
  for (unsigned i = 0; i < SERVERS - 1; i++)
    argv[count++] = g_strdup (tb->stager_process[i].log);
  argv[count] = NULL;
  CHECK (g_spawn_sync (NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &text, NULL, NULL,
                       NULL));
  while (count > 0)
    g_free (argv[--count]);
  return text != NULL ? text : g_strdup ("");
}

typedef struct
{
  const char *id;
  const char *target;
  const char *knob; /* fault that makes the request fail */
  const char *outcome;
  const char *texts[4]; /* that show the cause */
} ExplainCase;

/* Server 3, the plain service, serves the route "/o/". */
static const ExplainCase cases[] = {
  { "why-refused",
    "/o/x",
    "shed",
    "outcome: request refused; it has not run\n",
    { "reason=the upstream did not run it", "upstreams=1", "old_weights=0", "sent=1" } },
  { "why-unknown",
    "/o/x",
    "lose",
    "outcome: request failed after it was sent\n",
    { "cause=the upstream broke off or failed", "upstream=i-3", "status=502",
      "sent=1" } },
  { "why-failed",
    "/o/x",
    "fail",
    "outcome: request failed by its upstream; the answer is passed on\n",
    { "status=500", "upstream=i-3", "sent=1", "table in force" } },
  { "why-silent",
    "/o/x",
    "silent",
    "outcome: request failed after it was sent\n",
    { "cause=its time ran out", "upstream=i-3", "status=504", "upstream_requests=" } },
};

static void
test_single_faults (Testbed *tb)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Call c = default_call (tb, cases[i].target, cases[i].id);
      Response r;
      char *text;

      c.body = "x";
      c.deadline_ms = 600;
      CHECK (set_fault (tb->server[2], cases[i].knob, 1));
      r = call (&c);
      text = explain (tb, cases[i].id);
      CHECK (g_str_has_suffix (text, cases[i].outcome));
      for (size_t k = 0; k < G_N_ELEMENTS (cases[i].texts); k++)
        if (strstr (text, cases[i].texts[k]) == NULL)
          {
            g_print ("%s", text);
            CHECK (!"the explanation shows the cause");
          }
      g_free (text);
      response_free (&r);
    }
}

/* Both upstreams break off the stream, so that it cannot resume. */
static void
test_broken_stream (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "why-broken");
  Response r;
  char *text;

  set_fault_on_both (tb, "cut", 1);
  set_fault_on_both (tb, "cut_resumed", 1);
  r = call (&c);
  set_fault_on_both (tb, "cut", 0);
  set_fault_on_both (tb, "cut_resumed", 0);
  text = explain (tb, "why-broken");
  CHECK (!r.complete);
  CHECK (strstr (text, "stream goes on at another upstream") != NULL);
  CHECK (strstr (text, "last_event=2") != NULL);
  CHECK (g_str_has_suffix (text, "outcome: request failed after it was sent\n"));
  g_free (text);
  response_free (&r);
}

/* Has the first entry log more lines about requests than its limit allows, for MS. */
static void
flood_log (Testbed *tb, gint64 ms)
{
  gint64 end_us = g_get_monotonic_time () + ms * G_TIME_SPAN_MILLISECOND;
  CURL *curl = curl_easy_init ();

  while (g_get_monotonic_time () < end_us)
    {
      Call c = default_call (tb, "/none/x", "flood");
      Response r;

      c.curl = curl;
      r = call (&c);
      response_free (&r);
    }
  curl_easy_cleanup (curl);
}

/* The line that tells why a stream was cut is not dropped with others. */
static void
test_cut_stream_in_a_burst_of_lines (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "why-cut-in-burst");
  Background b;
  char *text;

  set_fault_on_both (tb, "cut", 1);
  set_fault_on_both (tb, "cut_resumed", 1);
  set_fault_on_both (tb, "event_ms", CUT_EVENT_MS);
  flood_log (tb, FLOOD_BEFORE_MS);
  background_start (&b, &c);
  flood_log (tb, FLOOD_MS);
  background_join (&b);
  set_fault_on_both (tb, "event_ms", 20);
  set_fault_on_both (tb, "cut", 0);
  set_fault_on_both (tb, "cut_resumed", 0);
  text = explain (tb, c.id);
  CHECK (b.response.status == 200 && !b.response.complete);
  CHECK (g_str_has_suffix (text, "outcome: request failed after it was sent\n"));
  CHECK (strstr (text, "attempts=i-") != NULL);
  CHECK (strstr (text, "status 200, 2 events") != NULL);
  CHECK (strstr (text, "the upstream broke off or failed; i-") != NULL);
  g_free (text);
  response_free (&b.response);
}

static void
test_late_stream (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "why-late");
  Response r;
  char *text;

  set_fault_on_both (tb, "event_ms", 600);
  set_fault_on_both (tb, "events", 3);
  r = call (&c);
  set_fault_on_both (tb, "event_ms", 20);
  set_fault_on_both (tb, "events", 10);
  text = explain (tb, "why-late");
  CHECK (r.status == 200 && r.complete);
  CHECK (strstr (text, "gap_target_ms=400") != NULL);
  CHECK (strstr (text, "sent=1") != NULL);
  CHECK (g_str_has_suffix (text, "outcome: request served in full, but late\n"));
  g_free (text);
  response_free (&r);
}

static void
test_unknown_request (Testbed *tb)
{
  char *text = explain (tb, "never-sent");

  CHECK (g_str_has_prefix (text, "no line names never-sent"));
  g_free (text);
}

const TestFunc explain_tests[] = {
  test_unknown_request, test_single_faults,
  test_broken_stream,   test_cut_stream_in_a_burst_of_lines,
  test_late_stream,     NULL,
};
