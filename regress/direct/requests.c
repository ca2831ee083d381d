/* What callers get, server faults included. */
#include <glib.h>
#include <string.h>

#include "direct.h"

/* Every entry tells of all. */
static bool
directories_are_full (World *w)
{
  bool full = true;

  for (unsigned i = 0; i < ENTRIES; i++)
    {
      Answer a = call (&(Call){ .address = w->directory[i],
                                .target = "/-/resolve?name=x.example&region=r1" });

      full = full && a.status == 200 && strstr (a.body, "ttl_s") != NULL;
      for (unsigned k = 0; k < ENTRIES; k++)
        full = full && strstr (a.body, w->entry[k]) != NULL;
      answer_free (&a);
    }
  return full;
}

static void
test_directory (World *w)
{
  CHECK (eventually (directories_are_full, w));
}

static void
test_stream_is_whole (World *w)
{
  Call c = request (w, "/s/a%20b/?q=%2F&x", "stream-1");
  Answer a = call (&c);
  char *seal = answer_header (&a, "X-Response-Seal");
  char *id = answer_header (&a, "X-Request-Id");
  unsigned server;

  CHECK (a.status == 200 && a.whole);
  CHECK (has_events (a.body, 1, 10));
  CHECK (seal != NULL && g_str_has_prefix (seal, "seal-of-i-"));
  CHECK (id != NULL && strcmp (id, "stream-1") == 0);
  CHECK (runs_of (w, "stream-1") == 1);
  server = recorded (w->server[0], "runs.stream-1") == 1 ? 0 : 1;
  CHECK (has_text (w->server[server], "target", "/s/a%20b/?q=%2F&x"));
  CHECK (has_text (w->server[server], "organisation", "org"));
  CHECK (recorded (w->server[server], "keys_seen") == 0);
  g_free (seal);
  g_free (id);
  answer_free (&a);
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
test_denials (World *w)
{
  for (size_t i = 0; i < G_N_ELEMENTS (denials); i++)
    {
      char *id = g_strdup_printf ("denial-%zu", i);
      Call c = request (w, denials[i].target, id);
      Answer a;

      c.host = denials[i].host;
      c.key = denials[i].key;
      a = call (&c);
      CHECK (a.status == denials[i].status);
      CHECK (runs_of (w, id) == (denials[i].status == 200));
      answer_free (&a);
      g_free (id);
    }
}

static void
test_body_is_untouched (World *w)
{
  Call c = request (w, "/o/file", "body-1");
  Answer a;

  c.body = "lien 4711";
  c.header = "Content-Type: text/x-lien";
  a = call (&c);
  CHECK (a.status == 200 && strcmp (a.body, "done") == 0);
  CHECK (has_text (w->server[2], "body", "lien 4711"));
  answer_free (&a);
}

/* A stream that breaks off in the middle of an event goes on at another server. */
static void
test_stream_goes_on (World *w)
{
  Call c = request (w, "/s/x", "cut-1");
  Answer a;

  set_both (w, "cut", 1);
  a = call (&c);
  set_both (w, "cut", 0);
  CHECK (a.status == 200 && a.whole);
  CHECK (has_events (a.body, 1, 10));
  CHECK (runs_of (w, "cut-1") == 2);
  answer_free (&a);
}

/* Both break off: the caller must not take the answer for whole. */
static void
test_stream_that_cannot_go_on (World *w)
{
  Call c = request (w, "/s/x", "cut-2");
  Answer a;

  set_both (w, "cut", 1);
  set_both (w, "cut_resumed", 1);
  a = call (&c);
  set_both (w, "cut", 0);
  set_both (w, "cut_resumed", 0);
  CHECK (!a.whole);
  CHECK (has_events (a.body, 1, 2));
  CHECK (runs_of (w, "cut-2") <= 2);
  answer_free (&a);
}

static void
test_stream_goes_on_for_the_caller (World *w)
{
  Call c = request (w, "/s/x", "resume-1");
  Answer a;

  c.header = "Last-Event-Id: 4";
  a = call (&c);
  CHECK (a.status == 200 && a.whole);
  CHECK (has_events (a.body, 5, 10));
  answer_free (&a);
}

/* What may have run and must not be repeated is neither repeated nor called not run. */
static void
test_once_answer_lost (World *w)
{
  Call c = request (w, "/o/x", "lost-1");
  Answer a;

  c.body = "x";
  CHECK (set_fault (w->server[2], "lose", 1));
  a = call (&c);
  CHECK (a.status == 502);
  CHECK (runs_of (w, "lost-1") == 1);
  answer_free (&a);
}

static void
test_once_not_run (World *w)
{
  Call c = request (w, "/o/x", "shed-1");
  Answer a;
  char *retry;

  c.body = "x";
  CHECK (set_fault (w->server[2], "shed", 1));
  a = call (&c);
  retry = answer_header (&a, "Retry-After");
  CHECK (a.status == 503 && retry != NULL);
  CHECK (runs_of (w, "shed-1") == 0);
  g_free (retry);
  answer_free (&a);
}

static void
test_safe_is_repeated (World *w)
{
  static const char *const faults[] = { "shed", "lose", "fail", "foreign", "unsealed" };

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      char *id = g_strdup_printf ("repeat-%s", faults[i]);
      Call c = request (w, "/r/x", id);
      Answer a;

      CHECK (set_fault (w->server[0], faults[i], 1));
      CHECK (set_fault (w->server[1], faults[i], 0));
      for (int n = 0; n < 8; n++)
        {
          a = call (&c);
          CHECK (a.status == 200 && strcmp (a.body, "done") == 0);
          answer_free (&a);
        }
      CHECK (set_fault (w->server[0], faults[i], 0));
      g_free (id);
    }
}

/* A success without its seal, or of another request, is none. */
static void
test_untrue_successes (World *w)
{
  static const char *const faults[] = { "foreign", "unsealed" };

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      Call c = request (w, "/o/x", faults[i]);
      Answer a;

      c.body = "x";
      CHECK (set_fault (w->server[2], faults[i], 1));
      a = call (&c);
      CHECK (a.status == 502);
      CHECK (runs_of (w, faults[i]) == 1);
      answer_free (&a);
    }
}

/* The server's own failure goes to the caller as it is. */
static void
test_failure_passes (World *w)
{
  Call c = request (w, "/o/x", "fail-1");
  Answer a;
  char *seal;

  c.body = "x";
  CHECK (set_fault (w->server[2], "fail", 1));
  a = call (&c);
  seal = answer_header (&a, "X-Response-Seal");
  CHECK (a.status == 500 && seal != NULL);
  g_free (seal);
  answer_free (&a);
}

static bool
has_cancelled (World *w)
{
  return recorded (w->server[0], "cancelled") + recorded (w->server[1], "cancelled") > 0;
}

static void
test_caller_leaves (World *w)
{
  Call c = request (w, "/s/x", "leave-1");
  Answer a;

  set_both (w, "event_ms", 300);
  c.leave_ms = 700;
  a = call (&c);
  CHECK (!a.whole);
  CHECK (eventually (has_cancelled, w));
  set_both (w, "event_ms", 20);
  answer_free (&a);
}

/* A silent server is left for another, where the request may be repeated. */
static void
test_silent_server (World *w)
{
  Call safe = request (w, "/r/x", "silent-1");
  Call once = request (w, "/o/x", "silent-2");
  Answer a;

  set_both (w, "silent", 1);
  a = call (&safe);
  CHECK (a.status == 200 || a.status == 502 || a.status == 504);
  answer_free (&a);
  set_both (w, "silent", 0);
  once.body = "x";
  once.deadline_ms = 600;
  CHECK (set_fault (w->server[2], "silent", 1));
  a = call (&once);
  CHECK (a.status == 504);
  CHECK (runs_of (w, "silent-2") == 1);
  answer_free (&a);
}

static void
test_too_large (World *w)
{
  Call c = request (w, "/o/x", "large-1");
  char *body = g_strnfill (200000, 'x');
  Answer a;

  c.body = body;
  a = call (&c);
  CHECK (a.status == 413);
  CHECK (runs_of (w, "large-1") == 0);
  answer_free (&a);
  g_free (body);
}

const TestFunc request_tests[] = {
  test_directory,
  test_stream_is_whole,
  test_denials,
  test_body_is_untouched,
  test_stream_goes_on,
  test_stream_that_cannot_go_on,
  test_stream_goes_on_for_the_caller,
  test_once_answer_lost,
  test_once_not_run,
  test_safe_is_repeated,
  test_untrue_successes,
  test_failure_passes,
  test_caller_leaves,
  test_silent_server,
  test_too_large,
  NULL,
};
