/* Tests of configurations that come while requests run: each caller gets its response. */
#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "direct.h"

#define TIMEOUT_MS       4000
#define LONG_TIMEOUT_MS  12000
#define SHORT_TIMEOUT_MS 1100
#define RUN_MS           2000 /* how long requests run */
#define LONG_RUN_MS      6000
#define EVENTS           10
#define DEFAULT_EVENT_MS 20
#define BODY_BYTES_MAX   100000
#define BIG_ROUTES       2000
#define STORM            24
#define STORM_PAUSE_US   100000
#define CALLERS          3
#define REQUESTS         3
#define SLOTS            16 /* so that no request waits for another */

/* A configuration; the routes that are tested lead to TARGETS. */
typedef struct
{
  const char *name;
  const char *targets; /* NULL: there are none */
  unsigned timeout_ms;
  unsigned body_bytes_max;
  bool without_key2;
  unsigned more_routes; /* that no request uses */
} Config;

#define TO_M "\"backend\":\"m\""
#define TO_P "\"backend\":\"p\""
#define SPLIT                                                \
  "\"weighted_backends\":[{\"backend\":\"m\",\"weight\":1}," \
  "{\"backend\":\"p\",\"weight\":1}]"

static const Config usual
    = { "usual", TO_P, TIMEOUT_MS, BODY_BYTES_MAX, .without_key2 = false };

static void
append_route (GString *spec, const char *prefix, const char *kind, const Config *c)
{
  g_string_append_printf (spec,
                          "{\"name\":\"%s\",\"hostname\":\"x.example\","
                          "\"path_prefix\":\"%s\",\"kind\":\"%s\",\"timeout_ms\":%u,"
                          "\"target_latency_ms\":5000,\"max_attempts\":2,%s},",
                          prefix, prefix, kind, c->timeout_ms, c->targets);
}

static void
append_routes (GString *spec, const Config *c, uint64_t version)
{
  if (c->targets != NULL)
    {
      append_route (spec, "/s/t/", "streaming", c);
      append_route (spec, "/o/long/t/", "unsafe", c);
      append_route (spec, "/r/long/t/", "safe", c);
    }
  for (unsigned i = 0; i < c->more_routes; i++)
    {
      g_autofree char *prefix = g_strdup_printf ("/more/%u/", i);

      append_route (spec, prefix, "safe", &usual);
    }
  g_string_append_printf (spec,
                          "{\"name\":\"v\",\"hostname\":\"x.example\","
                          "\"path_prefix\":\"/v/%" PRIu64 "/\",\"kind\":\"safe\","
                          "\"timeout_ms\":4000," TO_P "},"
                          "{\"name\":\"safe\",\"hostname\":\"x.example\","
                          "\"path_prefix\":\"/r/\",\"kind\":\"safe\","
                          "\"timeout_ms\":4000,\"max_attempts\":2," TO_P "}",
                          version);
}

static bool
write_config (Testbed *tb, const Config *c)
{
  GString *spec = g_string_new (NULL);
  bool done;

  g_string_append_printf (spec, "{\"version\":%" PRIu64 ",\"routes\":[",
                          ++tb->config_version);
  append_routes (spec, c, tb->config_version);
  g_string_append_printf (spec,
                          "],\"services\":[{\"name\":\"m\"},{\"name\":\"p\"}],"
                          "\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":%u},"
                          "\"tenants\":[{\"name\":\"org\",\"api_keys\":[\"key1\"%s]}]}",
                          c->body_bytes_max, c->without_key2 ? "" : ",\"key2\"");
  done = testbed_put (tb, "config", "main", spec->str);
  g_string_free (spec, TRUE);
  return done;
}

static bool
config_is_in_force (Testbed *tb)
{
  g_autofree char *target = g_strdup_printf ("/v/%" PRIu64 "/x", tb->config_version);
  Call c = default_call (tb, target, "version");
  Response r = call (&c);
  bool found = r.status == 200;

  response_free (&r);
  return found;
}

static void
apply (Testbed *tb, const Config *c)
{
  CHECK (write_config (tb, c));
  CHECK (eventually (config_is_in_force, tb));
}

static void
set_run_ms (Testbed *tb, uint64_t ms)
{
  for (unsigned i = 0; i < SERVERS; i++)
    {
      CHECK (set_fault (tb->server[i], "answer_ms", ms));
      CHECK (
          set_fault (tb->server[i], "event_ms", ms > 0 ? ms / EVENTS : DEFAULT_EVENT_MS));
    }
}

/* -------- requests that run while a configuration comes -------- */

static const char *const targets[REQUESTS] = { "/s/t/x", "/o/long/t/x", "/r/long/t/x" };

typedef struct
{
  Background calls[REQUESTS];
  char *ids[REQUESTS];
} Running;

static Running running;

static bool
all_run (Testbed *tb)
{
  for (unsigned i = 0; i < REQUESTS; i++)
    if (runs_of (tb, running.ids[i]) == 0)
      return false;
  return true;
}

static void
start_requests (Testbed *tb, const char *name)
{
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      Call c;

      running.ids[i] = g_strdup_printf ("%s-%u", name, i);
      c = default_call (tb, targets[i], running.ids[i]);
      c.key = "key2";
      c.body = "a body over ten bytes";
      c.deadline_ms = LONG_TIMEOUT_MS;
      background_start (&running.calls[i], &c);
    }
  CHECK (eventually (all_run, tb));
}

/* Waits for the requests: each ran once, and has its answer, or ended with its time if
 * TIME_OVER. */
static void
check_requests (Testbed *tb, const char *name, bool time_over)
{
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      Response *r = &running.calls[i].response;
      bool is_stream = i == 0;
      bool answered;

      background_join (&running.calls[i]);
      answered = time_over ? is_stream ? r->status == 200 && !r->complete
                                       : r->status == 504 && r->complete
                           : r->status == 200 && r->complete;
      check (answered, answered ? targets[i] : r->body, name, r->status);
      check (runs_of (tb, running.ids[i]) == 1, "it ran once", name, __LINE__);
      response_free (r);
      g_free (running.ids[i]);
    }
}

static const Config changes[] = {
  { "longer", TO_P, LONG_TIMEOUT_MS, BODY_BYTES_MAX },
  { "shorter", TO_P, SHORT_TIMEOUT_MS, BODY_BYTES_MAX },
  { "moved", TO_M, TIMEOUT_MS, BODY_BYTES_MAX },
  { "split", SPLIT, TIMEOUT_MS, BODY_BYTES_MAX },
  { "removed", NULL, TIMEOUT_MS, BODY_BYTES_MAX },
  { "key removed", TO_P, TIMEOUT_MS, BODY_BYTES_MAX, .without_key2 = true },
  { "body limit", TO_P, TIMEOUT_MS, 10 },
  { "many routes", TO_P, TIMEOUT_MS, BODY_BYTES_MAX, .more_routes = BIG_ROUTES },
};

static void
test_change_takes_no_answer_from_running_requests (Testbed *tb)
{
  tb->slots = SLOTS;
  for (unsigned i = 0; i < SERVERS; i++)
    CHECK (testbed_list_server (tb, i, "ready"));
  set_run_ms (tb, RUN_MS);
  for (size_t i = 0; i < G_N_ELEMENTS (changes); i++)
    {
      apply (tb, &usual);
      start_requests (tb, changes[i].name);
      apply (tb, &changes[i]);
      check_requests (tb, changes[i].name, false);
    }
  set_run_ms (tb, 0);
}

/* The upstreams were given the time that was in force then, and stop at its end. */
static void
test_running_requests_keep_their_timeout (Testbed *tb)
{
  const Config shorter = { "", TO_P, TIMEOUT_MS / 2, BODY_BYTES_MAX };
  const Config longer = { "", TO_P, LONG_TIMEOUT_MS, BODY_BYTES_MAX };

  set_run_ms (tb, LONG_RUN_MS);
  apply (tb, &shorter);
  start_requests (tb, "kept");
  apply (tb, &longer);
  check_requests (tb, "kept", true);
  set_run_ms (tb, 0);
}

static void
test_later_requests_have_the_new_timeout (Testbed *tb)
{
  const Config shorter = { "", TO_P, SHORT_TIMEOUT_MS, BODY_BYTES_MAX };

  set_run_ms (tb, LONG_RUN_MS);
  apply (tb, &usual);
  apply (tb, &shorter);
  start_requests (tb, "later");
  check_requests (tb, "later", true);
  set_run_ms (tb, 0);
}

/* -------- a storm -------- */

typedef struct
{
  Testbed *testbed;
  unsigned index;
  unsigned sent;
  unsigned unanswered; /* without a complete response */
  unsigned failed;     /* with a status over 499 */
  int64_t longest_us;
  GThread *thread;
} Caller;

static gint storm_is_over;

static gpointer
call_repeatedly (gpointer data)
{
  Caller *caller = data;
  CURL *curl = curl_easy_init ();

  while (!g_atomic_int_get (&storm_is_over))
    {
      g_autofree char *id
          = g_strdup_printf ("storm-%u-%u", caller->index, caller->sent++);
      int64_t start_us = g_get_monotonic_time ();
      Call c = default_call (caller->testbed, "/r/x", id);
      Response r;

      c.curl = curl;
      c.once = true;
      r = call (&c);
      caller->longest_us = MAX (caller->longest_us, g_get_monotonic_time () - start_us);
      caller->unanswered += !r.complete;
      caller->failed += r.status >= 500;
      response_free (&r);
    }
  curl_easy_cleanup (curl);
  return NULL;
}

static void
send_storm (Testbed *tb)
{
  for (unsigned i = 0; i < STORM; i++)
    {
      Config c = changes[i % G_N_ELEMENTS (changes)];

      c.more_routes = i % 2 > 0 ? BIG_ROUTES : 0;
      CHECK (write_config (tb, &c));
      g_usleep (STORM_PAUSE_US);
    }
  CHECK (eventually (config_is_in_force, tb));
}

static void
test_storm_leaves_no_request_unanswered (Testbed *tb)
{
  Caller callers[CALLERS] = { 0 };

  apply (tb, &usual);
  g_atomic_int_set (&storm_is_over, 0);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i] = (Caller){ .testbed = tb, .index = i };
      callers[i].thread = g_thread_new ("caller", call_repeatedly, &callers[i]);
    }
  send_storm (tb);
  g_atomic_int_set (&storm_is_over, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      g_thread_join (callers[i].thread);
      CHECK (callers[i].sent > 0);
      CHECK (callers[i].unanswered == 0);
      CHECK (callers[i].failed == 0);
      g_print ("direct config: %u requests beside a storm, the longest took %.1f ms\n",
               callers[i].sent, (double)callers[i].longest_us / 1000);
    }
}

const TestFunc config_tests[] = {
  test_change_takes_no_answer_from_running_requests,
  test_running_requests_keep_their_timeout,
  test_later_requests_have_the_new_timeout,
  test_storm_leaves_no_request_unanswered,
  NULL,
};
