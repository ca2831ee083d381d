/*
 * Ends and starts of entries that stand still before one of their system calls.  Callers
 * send a request each meanwhile, on connections from before and on new ones, or have one
 * in progress.  Each must be answered in full, or not be run and told so at once.
 *
 * END_STEPS_SEED and END_STEPS_PLAYS in the environment choose the steps and how many
 * ends are played.  Those with new connections go through the last steps in their order,
 * from END_STEPS_FIRST; 0: they are chosen too.
 */
#include <glib.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "direct.h"
#include "raw_call.h"

#define US_PER_MS       1000
#define SEED_DEFAULT    44
#define PLAYS_DEFAULT   3 /* ends of each entry */
#define NEW_PLAYS       4
#define NEW_FIRST       1
#define START_PLAYS     6
#define SLICE_MS        300
#define LOSS_SLACK_MS   200  /* stated by the users */
#define DEADLINE_MS     4000 /* that of the routes */
#define SLOW_MS         6000 /* of a slow stream */
#define ANSWER_MS       8000
#define STREAM_EVENT_MS 300 /* a stream of ten events then lasts 3 s */
#define USUAL_EVENT_MS  20
#define LONG_ANSWER_MS  2500
#define REPORT_BYTES    128
#define POLL_US         500
#define WAIT_MS         20000 /* for a slice, or the end of the process */
#define FIRST_STEPS     200   /* of a start */
#define CALLERS         8
/* Shortly before the entry closes kept connections, which it does 3.2 s after SIGTERM. */
#define LAST_MS 3150

/* A part of an end whose steps are counted. */
typedef struct
{
  const char *from;  /* text of the line that the process logs before; NULL: its start */
  unsigned after_ms; /* and so much later */
  const char *call;  /* the only calls that count; NULL: all do */
} Span;

enum
{
  WHOLE_STOP,
  LAST_CLOSES,   /* of kept connections, up to the end of the process */
  LAST_LISTENER, /* the same, but closes alone: those of listening sockets come first */
  SPANS
};

static const Span spans[SPANS] = {
  [WHOLE_STOP] = { "\"event\":101,", 0 },
  [LAST_CLOSES] = { "\"event\":101,", LAST_MS },
  [LAST_LISTENER] = { "\"event\":101,", LAST_MS, "close" },
};

/* An entry that stands still once. */
typedef struct
{
  Testbed *testbed;
  unsigned index; /* of the entry */
  char *report;   /* file */
  Span span;
  uint64_t at;             /* the step; 0: none */
  uint64_t calls;          /* counted, up to its end */
  bool sliced;             /* it has stood still */
  char text[REPORT_BYTES]; /* of the report */
  gint ended;              /* set once the process has ended */
} Sliced;

typedef enum
{
  SENT_IN_SLICE, /* on a kept connection, or on a new one */
  SENT_AT_TIME,  /* on a kept connection, some time after the stop began */
  IN_PROGRESS    /* sent before the stop */
} Moment;

typedef struct
{
  Sliced *entry;
  Moment moment;
  bool fresh; /* on a new connection */
  unsigned after_ms;
  const char *target;
  const char *body;
  unsigned deadline_ms;
  gint64 stop_us; /* when the stop began */
  RawCall call;
  GThread *thread;
} Caller;

/* -------- the entry -------- */

static unsigned
setting (const char *name, unsigned fallback)
{
  const char *text = g_getenv (name);

  return text != NULL ? (unsigned)g_ascii_strtoull (text, NULL, 10) : fallback;
}

static void
set_environment (const Sliced *s)
{
  char *at = g_strdup_printf ("%" PRIu64, s->at);
  char *ms = g_strdup_printf ("%d", SLICE_MS);
  char *after = g_strdup_printf ("%u", s->span.after_ms);

  if (s->span.from != NULL)
    g_setenv ("SLICE_FROM", s->span.from, TRUE);
  else
    g_unsetenv ("SLICE_FROM");
  if (s->span.call != NULL)
    g_setenv ("SLICE_CALL", s->span.call, TRUE);
  else
    g_unsetenv ("SLICE_CALL");
  g_setenv ("SLICE_AFTER", after, TRUE);
  g_setenv ("SLICE_AT", at, TRUE);
  g_setenv ("SLICE_MS", ms, TRUE);
  g_setenv ("SLICE_REPORT", s->report, TRUE);
  g_free (after);
  g_free (at);
  g_free (ms);
}

/* Starts the program that stands still in place of the entry. */
static void
start_sliced (Sliced *s)
{
  Process *p = &s->testbed->entry_process[s->index];
  char *usual = p->argv[0];

  process_end (p, SIGKILL);
  s->report = g_strdup_printf ("%s/report-%u", s->testbed->folder, s->index);
  s->ended = 0;
  g_unlink (s->report);
  set_environment (s);
  p->argv[0] = g_strdup_printf ("%s-slices", usual);
  CHECK (process_start (p));
  g_free (p->argv[0]);
  p->argv[0] = usual;
}

static bool
has_begun_slice (const Sliced *s)
{
  char *text = NULL;
  bool begun = g_file_get_contents (s->report, &text, NULL, NULL)
               && g_str_has_prefix (text, "slice ");

  g_free (text);
  return begun;
}

/* Reads what the process reported, and forgets it. */
static void
end_sliced (Sliced *s)
{
  char *text = NULL;
  const char *calls;

  s->sliced = has_begun_slice (s);
  s->text[0] = '\0';
  if (g_file_get_contents (s->report, &text, NULL, NULL)
      && (calls = strstr (text, "calls ")) != NULL)
    s->calls = g_ascii_strtoull (calls + strlen ("calls "), NULL, 10);
  if (text != NULL)
    g_strlcpy (s->text, text, sizeof s->text);
  g_strdelimit (s->text, "\n", ' ');
  g_free (text);
  g_unlink (s->report);
  g_free (s->report);
}

/* Waits for a slice; false once the process has ended without. */
static bool
await_slice (Sliced *s)
{
  gint64 until_us = g_get_monotonic_time () + (gint64)WAIT_MS * US_PER_MS;

  while (g_atomic_int_get (&s->ended) == 0 && g_get_monotonic_time () < until_us)
    {
      if (has_begun_slice (s))
        return true;
      g_usleep (POLL_US);
    }
  return false;
}

/* -------- callers -------- */

static bool
connect_caller (Caller *c)
{
  return raw_call_open (&c->call, c->entry->testbed->entry[c->entry->index]);
}

static void
warm_up (Caller *c)
{
  RawCall *call = &c->call;
  char *text = raw_call_text (call, "/p/x", DEADLINE_MS, NULL);

  CHECK (connect_caller (c) && raw_call_send (call, text, strlen (text)));
  raw_call_end (call, ANSWER_MS, true);
  CHECK (call->response.status == 200 && call->fd >= 0);
  response_free (&call->response);
  call->sent_us = 0;
  g_free (text);
}

/* True once the entry has closed the connection. */
static bool
is_closed (const Caller *c)
{
  char byte;

  return recv (c->call.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

static void
send_and_receive (Caller *c)
{
  char *text = raw_call_text (&c->call, c->target, c->deadline_ms, c->body);

  if (raw_call_send (&c->call, text, strlen (text)))
    raw_call_end (&c->call, ANSWER_MS, false);
  else
    c->call.sent_us = 0;
  g_free (text);
}

static gpointer
run_caller (gpointer data)
{
  Caller *c = data;

  switch (c->moment)
    {
    case IN_PROGRESS:
      break;
    case SENT_AT_TIME:
      while (g_get_monotonic_time () < c->stop_us + (gint64)c->after_ms * US_PER_MS)
        g_usleep (POLL_US);
      break;
    case SENT_IN_SLICE:
      if (!await_slice (c->entry))
        return NULL;
      g_usleep ((gulong)c->after_ms * US_PER_MS);
      break;
    }
  if (c->fresh ? connect_caller (c) : !is_closed (c))
    send_and_receive (c);
  return NULL;
}

/* Judges a request by what its caller saw. */
static bool
is_lost (const Caller *c)
{
  const RawCall *call = &c->call;
  const Response *r = &call->response;
  gint64 took_us = call->ended_us - call->sent_us;
  uint64_t runs = runs_of (c->entry->testbed, call->id);

  if (call->sent_us == 0)
    return false; /* its connection was refused, or closed before */
  if (c->body != NULL && runs > 1)
    return true;
  if (!r->complete)
    return runs > 0 || took_us > LOSS_SLACK_MS * US_PER_MS;
  switch (r->status)
    {
    case 200:
      return runs == 0;
    case 408:
    case 429:
    case 503:
      return runs > 0 || c->moment == IN_PROGRESS;
    default:
      return true; /* no request has so little time */
    }
}

/* -------- one end of both entries -------- */

typedef struct
{
  Sliced entries[ENTRIES];
  Caller callers[ENTRIES][CALLERS];
  unsigned sent;
  unsigned lost;
  unsigned sliced;
} Play;

static const Caller kept_callers[CALLERS] = {
  { .moment = IN_PROGRESS, .target = "/s/slow/x", .deadline_ms = SLOW_MS },
  { .moment = IN_PROGRESS, .target = "/o/long/x", .body = "x", .deadline_ms = SLOW_MS },
  { .moment = SENT_IN_SLICE, .after_ms = 0, .target = "/r/x" },
  { .moment = SENT_IN_SLICE, .after_ms = 40, .target = "/o/x", .body = "x" },
  { .moment = SENT_IN_SLICE, .after_ms = 120, .target = "/r/x" },
  { .moment = SENT_IN_SLICE, .after_ms = 250, .target = "/p/x" },
  { .moment = SENT_AT_TIME, .after_ms = 3000, .target = "/r/x" },
  { .moment = SENT_AT_TIME, .after_ms = 3200, .target = "/o/x", .body = "x" },
};

static const Caller new_callers[CALLERS] = {
  { .moment = SENT_IN_SLICE, .fresh = true, .after_ms = 0, .target = "/r/x" },
  { .moment = SENT_IN_SLICE,
    .fresh = true,
    .after_ms = 0,
    .target = "/o/x",
    .body = "x" },
  { .moment = SENT_IN_SLICE, .fresh = true, .after_ms = 20, .target = "/p/x" },
  { .moment = SENT_IN_SLICE, .fresh = true, .after_ms = 40, .target = "/r/x" },
  { .moment = SENT_IN_SLICE, .fresh = true, .after_ms = 60, .target = "/p/x" },
  { .moment = SENT_IN_SLICE, .fresh = true, .after_ms = 80, .target = "/r/x" },
  { .moment = SENT_IN_SLICE, .fresh = true, .after_ms = 200, .target = "/p/x" },
  { .moment = SENT_IN_SLICE, .fresh = true, .after_ms = 280, .target = "/p/x" },
};

static void
begin_callers (Play *play, const Caller *callers)
{
  static unsigned number;

  for (unsigned i = 0; i < ENTRIES; i++)
    for (unsigned k = 0; k < CALLERS; k++)
      {
        Caller *c = &play->callers[i][k];

        *c = callers[k];
        c->entry = &play->entries[i];
        c->deadline_ms = MAX (c->deadline_ms, DEADLINE_MS);
        c->call = (RawCall){ .fd = -1, .id = g_strdup_printf ("warm-step-%u", number) };
        if (!c->fresh)
          warm_up (c);
        g_free (c->call.id);
        c->call.id = g_strdup_printf ("step-%u", number++);
        if (c->moment == IN_PROGRESS)
          c->thread = g_thread_new ("caller", run_caller, c);
      }
}

static bool
are_in_progress (const Play *play)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    for (unsigned k = 0; k < CALLERS; k++)
      {
        const Caller *c = &play->callers[i][k];

        if (c->moment == IN_PROGRESS && runs_of (c->entry->testbed, c->call.id) == 0)
          return false;
      }
  return true;
}

static void
stop_entries (Testbed *tb, Play *play)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    for (unsigned k = 0; k < CALLERS; k++)
      {
        Caller *c = &play->callers[i][k];

        c->stop_us = g_get_monotonic_time ();
        if (c->moment != IN_PROGRESS)
          c->thread = g_thread_new ("caller", run_caller, c);
      }
  for (unsigned i = 0; i < ENTRIES; i++)
    kill (tb->entry_process[i].pid, SIGTERM);
  for (unsigned i = 0; i < ENTRIES; i++)
    {
      int status = process_end (&tb->entry_process[i], 0);

      CHECK (status != -1 && WIFEXITED (status) && WEXITSTATUS (status) == 0);
      g_atomic_int_set (&play->entries[i].ended, 1);
    }
}

static void
judge_caller (Play *play, const Caller *c)
{
  const Response *r = &c->call.response;

  play->sent += c->call.sent_us != 0;
  if (!is_lost (c))
    return;
  play->lost++;
  g_print ("entry %u, step %" PRIu64
           " after %s, %u ms: %s to %s, %s, after %u ms: status %d, "
           "complete %d, %u runs, ended after %d ms; %s\n",
           c->entry->index, c->entry->at, c->entry->span.from, c->entry->span.after_ms,
           c->call.id, c->target, c->fresh ? "new" : "kept", c->after_ms, r->status,
           r->complete, (unsigned)runs_of (c->entry->testbed, c->call.id),
           (int)((c->call.ended_us - c->call.sent_us) / US_PER_MS), c->entry->text);
}

static void
end_callers (Play *play)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    for (unsigned k = 0; k < CALLERS; k++)
      g_thread_join (play->callers[i][k].thread);
  for (unsigned i = 0; i < ENTRIES; i++)
    {
      end_sliced (&play->entries[i]);
      play->sliced += play->entries[i].sliced;
    }
  for (unsigned i = 0; i < ENTRIES; i++)
    for (unsigned k = 0; k < CALLERS; k++)
      {
        judge_caller (play, &play->callers[i][k]);
        raw_call_free (&play->callers[i][k].call);
      }
}

/* Where an entry stands still. */
typedef struct
{
  unsigned span;
  uint64_t at;
} Step;

/* Plays one end of both entries. */
static void
play_end (Testbed *tb, Play *play, const Caller *callers, const Step steps[ENTRIES])
{
  *play = (Play){ 0 };
  for (unsigned i = 0; i < ENTRIES; i++)
    {
      play->entries[i] = (Sliced){
        .testbed = tb, .index = i, .span = spans[steps[i].span], .at = steps[i].at
      };
      start_sliced (&play->entries[i]);
    }
  CHECK (eventually (requests_are_served, tb));
  begin_callers (play, callers);
  for (int i = 0; i < 200 && !are_in_progress (play); i++)
    g_usleep (10 * US_PER_MS);
  CHECK (are_in_progress (play));
  stop_entries (tb, play);
  end_callers (play);
}

/* -------- the plays -------- */

static void
restart_entries (Testbed *tb)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    {
      process_end (&tb->entry_process[i], SIGKILL);
      CHECK (process_start (&tb->entry_process[i]));
    }
  CHECK (eventually (requests_are_served, tb));
}

/* Counts the steps of two spans of an end, then plays PLAYS ends of both entries: one, by
 * turns, stands still at a step of the FIRST span, the other at one of the SECOND. */
static void
play_ends (
    Testbed *tb, const Caller *callers, unsigned plays, unsigned first, unsigned second)
{
  const unsigned played[ENTRIES] = { first, second };
  uint32_t seed = setting ("END_STEPS_SEED", SEED_DEFAULT);
  GRand *rand = g_rand_new_with_seed (seed);
  Play play;
  uint64_t counted[ENTRIES];
  unsigned sent = 0;
  unsigned lost = 0;
  unsigned sliced = 0;

  play_end (tb, &play, callers, (const Step[ENTRIES]){ { first, 0 }, { second, 0 } });
  CHECK (play.lost == 0);
  for (unsigned k = 0; k < ENTRIES; k++)
    {
      counted[k] = play.entries[k].calls;
      CHECK (counted[k] > 0);
    }
  for (unsigned i = 0; i < plays; i++)
    {
      uint64_t in_order = setting ("END_STEPS_FIRST", NEW_FIRST);
      Step steps[ENTRIES];

      for (unsigned k = 0; k < ENTRIES; k++)
        {
          unsigned kind = (k + i) % ENTRIES;

          steps[k] = (Step){
            played[kind],
            1 + (uint64_t)g_rand_int_range (rand, 0, (gint32)counted[kind]),
          };
        }
      if (in_order > 0 && second == LAST_LISTENER)
        {
          steps[0] = (Step){ second, in_order + i };
          steps[1] = (Step){ first, in_order + i }; /* the entry surely listens */
        }
      play_end (tb, &play, callers, steps);
      sent += play.sent;
      lost += play.lost;
      sliced += play.sliced;
    }
  g_print ("seed %u, %u ends, spans of %" PRIu64 " and %" PRIu64 " steps: %u slices, "
           "%u requests, %u lost\n",
           seed, plays * ENTRIES, counted[0], counted[1], sliced, sent, lost);
  CHECK (lost == 0);
  CHECK (sent > 0);
  CHECK (sliced >= plays); /* half of them at least */
  g_rand_free (rand);
  restart_entries (tb);
}

static void
test_process_that_stands_still_at_a_step_of_its_end_loses_no_request (Testbed *tb)
{
  set_fault_on_both (tb, "event_ms", STREAM_EVENT_MS);
  CHECK (set_fault (tb->server[SERVERS - 1], "answer_ms", LONG_ANSWER_MS));
  play_ends (tb, kept_callers, setting ("END_STEPS_PLAYS", PLAYS_DEFAULT), WHOLE_STOP,
             LAST_CLOSES);
  set_fault_on_both (tb, "event_ms", USUAL_EVENT_MS);
  CHECK (set_fault (tb->server[SERVERS - 1], "answer_ms", 0));
}

static void
test_new_connections_of_a_process_that_stands_still_lose_no_request (Testbed *tb)
{
  play_ends (tb, new_callers, setting ("END_STEPS_PLAYS", NEW_PLAYS), LAST_CLOSES,
             LAST_LISTENER);
}

/* -------- starts -------- */

/* Sends SIGNUM to an entry that stands still before step AT of its start; returns whether
 * it came to that step. */
static bool
signal_in_start (Testbed *tb, uint64_t at, int signum)
{
  Process *p = &tb->entry_process[0];
  Sliced s = { .testbed = tb, .at = at };
  int status;

  start_sliced (&s);
  if (!await_slice (&s))
    {
      end_sliced (&s);
      return false;
    }
  kill (p->pid, signum);
  if (signum == SIGHUP)
    {
      CHECK (eventually (requests_are_served, tb));
      CHECK (waitpid (p->pid, NULL, WNOHANG) == 0);
      signum = SIGTERM;
    }
  status = process_end (p, signum);
  CHECK (status != -1 && WIFEXITED (status) && WEXITSTATUS (status) == 0);
  if (status == -1 || !WIFEXITED (status))
    g_print ("start, step %" PRIu64 ": wait status %d\n", at, status);
  end_sliced (&s);
  return true;
}

static void
test_signals_at_a_step_of_a_start_do_not_end_it (Testbed *tb)
{
  uint32_t seed = setting ("END_STEPS_SEED", SEED_DEFAULT);
  unsigned plays = setting ("END_STEPS_PLAYS", START_PLAYS);
  GRand *rand = g_rand_new_with_seed (seed);
  unsigned played = 0;

  for (unsigned i = 0; i < plays; i++)
    {
      uint64_t at = (uint64_t)g_rand_int_range (rand, 1, FIRST_STEPS);

      played += signal_in_start (tb, at, i % 4 == 0 ? SIGHUP : SIGTERM);
    }
  g_print ("seed %u, signals at %u of %u steps of a start\n", seed, played, plays);
  CHECK (played >= plays / 2);
  g_rand_free (rand);
  restart_entries (tb);
}

const TestFunc end_step_tests[] = {
  test_process_that_stands_still_at_a_step_of_its_end_loses_no_request,
  test_signals_at_a_step_of_a_start_do_not_end_it,
  NULL,
};

const TestFunc new_step_tests[] = {
  test_new_connections_of_a_process_that_stands_still_lose_no_request,
  NULL,
};
