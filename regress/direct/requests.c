/* Tests of the responses that callers get, also when a server fails. */
#include <glib.h>
#include <string.h>

#include "direct.h"

/* Every entry's directory lists all entries. */
static bool
directories_list_all_entries (Testbed *tb)
{
  bool full = true;

  for (unsigned i = 0; i < ENTRIES; i++)
    {
      Response r = call (&(Call){ .address = tb->directory[i],
                                  .target = "/-/resolve?name=x.example&region=r1" });

      full = full && r.status == 200 && strstr (r.body, "ttl_s") != NULL;
      for (unsigned k = 0; k < ENTRIES; k++)
        full = full && strstr (r.body, tb->entry[k]) != NULL;
      response_free (&r);
    }
  return full;
}

static void
test_directory (Testbed *tb)
{
  CHECK (eventually (directories_list_all_entries, tb));
}

static void
test_stream_is_complete (Testbed *tb)
{
  Call c = default_call (tb, "/s/a%20b/?q=%2F&x", "stream-1");
  Response r = call (&c);
  char *seal = response_header (&r, "X-Response-Seal");
  char *id = response_header (&r, "X-Request-Id");
  unsigned server;

  CHECK (r.status == 200 && r.complete);
  CHECK (has_events (r.body, 1, 10));
  CHECK (seal != NULL && g_str_has_prefix (seal, "seal-of-i-"));
  CHECK (id != NULL && strcmp (id, "stream-1") == 0);
  CHECK (runs_of (tb, "stream-1") == 1);
  server = recorded (tb->server[0], "runs.stream-1") == 1 ? 0 : 1;
  CHECK (has_recorded_text (tb->server[server], "target", "/s/a%20b/?q=%2F&x"));
  CHECK (has_recorded_text (tb->server[server], "organisation", "org"));
  CHECK (recorded (tb->server[server], "keys_seen") == 0);
  g_free (seal);
  g_free (id);
  response_free (&r);
}

typedef struct
{
  const char *target;
  const char *host;
  const char *key;
  int status;
} DenialCase;

static const DenialCase denials[] = {
  { "/none/", "x.example", "key1", 404 },  { "/s/", "y.example", "key1", 404 },
  { "/r/x", "x.example", NULL, 401 },      { "/r/x", "x.example", "wrong", 401 },
  { "/p/x", "x.example", NULL, 200 },      { "/r/x", "x.example", "key1", 200 },
  { "/r/x", "X.Example:80", "key1", 200 },
};

static void
test_denials (Testbed *tb)
{
  for (size_t i = 0; i < G_N_ELEMENTS (denials); i++)
    {
      char *id = g_strdup_printf ("denial-%zu", i);
      Call c = default_call (tb, denials[i].target, id);
      Response r;

      c.host = denials[i].host;
      c.key = denials[i].key;
      r = call (&c);
      CHECK (r.status == denials[i].status);
      CHECK (runs_of (tb, id) == (denials[i].status == 200));
      response_free (&r);
      g_free (id);
    }
}

static void
test_body_is_untouched (Testbed *tb)
{
  Call c = default_call (tb, "/o/file", "body-1");
  Response r;

  c.body = "lien 4711";
  c.header = "Content-Type: text/x-lien";
  r = call (&c);
  CHECK (r.status == 200 && strcmp (r.body, "done") == 0);
  CHECK (has_recorded_text (tb->server[2], "body", "lien 4711"));
  response_free (&r);
}

/* A stream that breaks off in the middle of an event resumes at another server. */
static void
test_stream_resumes (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "cut-1");
  Response r;

  set_fault_on_both (tb, "cut", 1);
  r = call (&c);
  set_fault_on_both (tb, "cut", 0);
  CHECK (r.status == 200 && r.complete);
  CHECK (has_events (r.body, 1, 10));
  CHECK (runs_of (tb, "cut-1") == 2);
  response_free (&r);
}

/* When both servers break off, the response must not look complete to the caller. */
static void
test_stream_cannot_resume (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "cut-2");
  Response r;

  set_fault_on_both (tb, "cut", 1);
  set_fault_on_both (tb, "cut_resumed", 1);
  r = call (&c);
  set_fault_on_both (tb, "cut", 0);
  set_fault_on_both (tb, "cut_resumed", 0);
  CHECK (!r.complete);
  CHECK (has_events (r.body, 1, 2));
  CHECK (runs_of (tb, "cut-2") <= 2);
  response_free (&r);
}

static void
test_caller_resumes_stream (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "resume-1");
  Response r;

  c.header = "Last-Event-Id: 4";
  r = call (&c);
  CHECK (r.status == 200 && r.complete);
  CHECK (has_events (r.body, 5, 10));
  response_free (&r);
}

/* A lost response to an unsafe request: the request is not retried, and the caller is not
 * told that it did not run. */
static void
test_unsafe_response_lost (Testbed *tb)
{
  Call c = default_call (tb, "/o/x", "lost-1");
  Response r;

  c.body = "x";
  CHECK (set_fault (tb->server[2], "lose", 1));
  r = call (&c);
  CHECK (r.status == 502);
  CHECK (runs_of (tb, "lost-1") == 1);
  response_free (&r);
}

static void
test_unsafe_request_refused (Testbed *tb)
{
  Call c = default_call (tb, "/o/x", "shed-1");
  Response r;
  char *retry;

  c.body = "x";
  CHECK (set_fault (tb->server[2], "shed", 1));
  r = call (&c);
  retry = response_header (&r, "Retry-After");
  CHECK (r.status == 503 && retry != NULL);
  CHECK (runs_of (tb, "shed-1") == 0);
  g_free (retry);
  response_free (&r);
}

static void
test_safe_request_is_retried (Testbed *tb)
{
  static const char *const faults[] = { "shed", "lose", "fail", "foreign", "unsealed" };

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      char *id = g_strdup_printf ("repeat-%s", faults[i]);
      Call c = default_call (tb, "/r/x", id);
      Response r;

      CHECK (set_fault (tb->server[0], faults[i], 1));
      CHECK (set_fault (tb->server[1], faults[i], 0));
      for (int n = 0; n < 8; n++)
        {
          r = call (&c);
          CHECK (r.status == 200 && strcmp (r.body, "done") == 0);
          response_free (&r);
        }
      CHECK (set_fault (tb->server[0], faults[i], 0));
      g_free (id);
    }
}

/* A success without a seal or with another request's id is not passed on. */
static void
test_invalid_successes (Testbed *tb)
{
  static const char *const faults[] = { "foreign", "unsealed" };

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      Call c = default_call (tb, "/o/x", faults[i]);
      Response r;

      c.body = "x";
      CHECK (set_fault (tb->server[2], faults[i], 1));
      r = call (&c);
      CHECK (r.status == 502);
      CHECK (runs_of (tb, faults[i]) == 1);
      response_free (&r);
    }
}

/* A server's own error response is passed on unchanged. */
static void
test_server_error_is_passed_on (Testbed *tb)
{
  Call c = default_call (tb, "/o/x", "fail-1");
  Response r;
  char *seal;

  c.body = "x";
  CHECK (set_fault (tb->server[2], "fail", 1));
  r = call (&c);
  seal = response_header (&r, "X-Response-Seal");
  CHECK (r.status == 500 && seal != NULL);
  g_free (seal);
  response_free (&r);
}

static bool
has_cancelled (Testbed *tb)
{
  return recorded (tb->server[0], "cancelled") + recorded (tb->server[1], "cancelled")
         > 0;
}

static void
test_caller_disconnects (Testbed *tb)
{
  Call c = default_call (tb, "/s/x", "leave-1");
  Response r;

  set_fault_on_both (tb, "event_ms", 300);
  c.disconnect_ms = 700;
  r = call (&c);
  CHECK (!r.complete);
  CHECK (eventually (has_cancelled, tb));
  set_fault_on_both (tb, "event_ms", 20);
  response_free (&r);
}

/* A server does not answer: a safe request may be retried at another one, an unsafe one
 * is not. */
static void
test_unresponsive_server (Testbed *tb)
{
  Call safe = default_call (tb, "/r/x", "silent-1");
  Call unsafe = default_call (tb, "/o/x", "silent-2");
  Response r;

  set_fault_on_both (tb, "silent", 1);
  r = call (&safe);
  CHECK (r.status == 200 || r.status == 502 || r.status == 504);
  response_free (&r);
  set_fault_on_both (tb, "silent", 0);
  unsafe.body = "x";
  unsafe.deadline_ms = 600;
  CHECK (set_fault (tb->server[2], "silent", 1));
  r = call (&unsafe);
  CHECK (r.status == 504);
  CHECK (runs_of (tb, "silent-2") == 1);
  response_free (&r);
}

static void
test_body_too_large (Testbed *tb)
{
  Call c = default_call (tb, "/o/x", "large-1");
  char *body = g_strnfill (200000, 'x');
  Response r;

  c.body = body;
  r = call (&c);
  CHECK (r.status == 413);
  CHECK (runs_of (tb, "large-1") == 0);
  response_free (&r);
  g_free (body);
}

const TestFunc request_tests[] = {
  test_directory,
  test_stream_is_complete,
  test_denials,
  test_body_is_untouched,
  test_stream_resumes,
  test_stream_cannot_resume,
  test_caller_resumes_stream,
  test_unsafe_response_lost,
  test_unsafe_request_refused,
  test_safe_request_is_retried,
  test_invalid_successes,
  test_server_error_is_passed_on,
  test_caller_disconnects,
  test_unresponsive_server,
  test_body_too_large,
  NULL,
};
