/* Requests that failed in a known way, and what the logs say of each. */
#include <glib.h>
#include <string.h>

#include "direct.h"

#define ARGS_MAX (4 + ENTRIES + SERVERS)

/* What "daisyctl explain ID" prints, given the logs of all processes. */
static char *
explain (World *w, const char *id)
{
  char *argv[ARGS_MAX];
  unsigned count = 0;
  char *text = NULL;

  argv[count++] = g_strdup_printf ("%s/daisyctl", w->bin);
  argv[count++] = g_strdup ("explain");
  argv[count++] = g_strdup (id);
  for (unsigned i = 0; i < ENTRIES; i++)
    argv[count++] = g_strdup (w->entry_process[i].log);
  for (unsigned i = 0; i < SERVERS - 1; i++)
    argv[count++] = g_strdup (w->stager_process[i].log);
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
  const char *knob; /* fault that makes it fail */
  const char *outcome;
  const char *words[4]; /* that lead to the cause */
} ExplainCase;

/* The plain service is server 3; its faults strike the route "/o/". */
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
test_single_faults (World *w)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Call c = request (w, cases[i].target, cases[i].id);
      Answer a;
      char *text;

      c.body = "x";
      c.deadline_ms = 600;
      CHECK (set_fault (w->server[2], cases[i].knob, 1));
      a = call (&c);
      text = explain (w, cases[i].id);
      CHECK (g_str_has_suffix (text, cases[i].outcome));
      for (size_t k = 0; k < G_N_ELEMENTS (cases[i].words); k++)
        if (strstr (text, cases[i].words[k]) == NULL)
          {
            g_print ("%s", text);
            CHECK (!"a word that leads to the cause");
          }
      g_free (text);
      answer_free (&a);
    }
}

/* Both upstreams break off in the middle of a stream. */
static void
test_broken_stream (World *w)
{
  Call c = request (w, "/s/x", "why-broken");
  Answer a;
  char *text;

  set_both (w, "cut", 1);
  set_both (w, "cut_resumed", 1);
  a = call (&c);
  set_both (w, "cut", 0);
  set_both (w, "cut_resumed", 0);
  text = explain (w, "why-broken");
  CHECK (!a.whole);
  CHECK (strstr (text, "stream goes on at another upstream") != NULL);
  CHECK (strstr (text, "last_event=2") != NULL);
  CHECK (g_str_has_suffix (text, "outcome: request failed after it was sent\n"));
  g_free (text);
  answer_free (&a);
}

static void
test_late_stream (World *w)
{
  Call c = request (w, "/s/x", "why-late");
  Answer a;
  char *text;

  set_both (w, "event_ms", 600);
  set_both (w, "events", 3);
  a = call (&c);
  set_both (w, "event_ms", 20);
  set_both (w, "events", 10);
  text = explain (w, "why-late");
  CHECK (a.status == 200 && a.whole);
  CHECK (strstr (text, "gap_target_ms=400") != NULL);
  CHECK (strstr (text, "sent=1") != NULL);
  CHECK (g_str_has_suffix (text, "outcome: request served in full, but late\n"));
  g_free (text);
  answer_free (&a);
}

static void
test_unnamed (World *w)
{
  char *text = explain (w, "never-sent");

  CHECK (g_str_has_prefix (text, "no line names never-sent"));
  g_free (text);
}

const TestFunc explain_tests[] = {
  test_unnamed, test_single_faults, test_broken_stream, test_late_stream, NULL,
};
