/*
 * Tests of responses that do not belong where they arrive: an earlier refusal that a
 * server writes once more, and an error in the middle of a stream.
 */
#include <glib.h>
#include <string.h>

#include "direct.h"

#define UNSAFE       "/o/x"
#define STREAMED     "/s/x"
#define BAD_GATEWAY  502
#define ROUNDS       3
#define OLD_REFUSALS 8 /* more than attempts of one request */

/* -------- earlier refusals -------- */

typedef struct
{
  unsigned status;
  bool is_nameless;
} RefusalCase;

static const RefusalCase refusal_cases[] = {
  { 503, false }, { 503, true },  { 429, false },
  { 429, true },  { 421, false }, { 421, true },
};

static void
set_old_refusals (Testbed *tb, const RefusalCase *c, uint64_t count)
{
  for (unsigned i = 0; i < SERVERS; i++)
    {
      CHECK (set_fault (tb->server[i], "refusal_status", c->status));
      CHECK (set_fault (tb->server[i], "refusal_nameless", c->is_nameless));
      CHECK (set_fault (tb->server[i], "old_refusals", count));
    }
}

static bool
promises_not_run (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* A request that may run once only, and has run when the refusal comes: it is not sent
 * again, and its caller is not told that it has not run. */
static void
play_refusal (Testbed *tb, const RefusalCase *c, const char *target)
{
  static unsigned n;

  for (unsigned i = 0; i < ROUNDS; i++)
    {
      g_autofree char *id = g_strdup_printf ("crossed-%u", ++n);
      Call options = default_call (tb, target, id);
      Response r;

      options.body = "once";
      r = call (&options);
      if (promises_not_run (r.status))
        g_print ("%s: told %d for a request that ran, by an earlier %u\n", target,
                 r.status, c->status);
      CHECK (!promises_not_run (r.status));
      CHECK (strcmp (target, UNSAFE) != 0 || runs_of (tb, id) == 1);
      response_free (&r);
    }
}

static void
test_earlier_refusals (Testbed *tb)
{
  const RefusalCase none = { 503, false };

  CHECK (eventually (requests_are_served, tb));
  for (size_t i = 0; i < G_N_ELEMENTS (refusal_cases); i++)
    {
      set_old_refusals (tb, &refusal_cases[i], OLD_REFUSALS);
      play_refusal (tb, &refusal_cases[i], UNSAFE);
      set_old_refusals (tb, &none, 0);
      CHECK (eventually (requests_are_served, tb));
    }
}

/* -------- errors in the middle of a stream -------- */

typedef struct
{
  unsigned status;
  bool is_sealed;
} ErrorCase;

static const ErrorCase error_cases[] = {
  { 400, true },  { 404, true },  { 302, true }, { 500, true },  { 503, true },
  { 400, false }, { 500, false }, { 200, true }, { 200, false },
};

static void
set_error (Testbed *tb, const ErrorCase *c)
{
  set_fault_on_both (tb, "error_sealed", c != NULL && c->is_sealed);
  set_fault_on_both (tb, "error_resumed", c != NULL ? c->status : 0);
}

/* The stream breaks off, and the servers answer its continuation with an error: none of
 * it reaches the caller, for whom the stream does not end as if it were complete. */
static void
play_error (Testbed *tb, const ErrorCase *c)
{
  static unsigned n;
  g_autofree char *id = g_strdup_printf ("middle-%u", ++n);
  Call options = default_call (tb, STREAMED, id);
  Response r;

  set_error (tb, c);
  set_fault_on_both (tb, "cut", 1);
  r = call (&options);
  set_fault_on_both (tb, "cut", 0);
  set_error (tb, NULL);
  CHECK (r.status == 200);
  CHECK (!r.complete);
  CHECK (r.body != NULL && has_events (r.body, 1, 2));
  if (r.complete || r.body == NULL || !has_events (r.body, 1, 2))
    g_print ("status %u, sealed %d: the caller got \"%s\"\n", c->status, c->is_sealed,
             r.body);
  response_free (&r);
}

static void
test_errors_in_streams (Testbed *tb)
{
  for (size_t i = 0; i < G_N_ELEMENTS (error_cases); i++)
    {
      play_error (tb, &error_cases[i]);
      CHECK (eventually (requests_are_served, tb));
    }
}

const TestFunc crossed_tests[] = { test_earlier_refusals, test_errors_in_streams, NULL };
