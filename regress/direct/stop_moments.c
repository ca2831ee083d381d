/*
 * Requests that are sent at several moments of a planned stop, whole or in two parts, on
 * connections from before the stop and on new ones.  What ran must be answered in full,
 * and what is refused must not have run.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "direct.h"
#include "raw_call.h"

#define US_PER_MS 1000
#define GRACE_MS  8000 /* as in the nodes' settings */
#define SOON_MS   300
/* A caller counts its time from the moment that it sends. */
#define DEADLINE_SLACK_MS  50
#define LISTENING_MS       3000 /* new connections are surely taken up to here */
#define LONG_ANSWER_MS     1500
#define STREAM_EVENT_MS    150 /* a stream of ten events then lasts 1.5 s */
#define DEFAULT_EVENT_MS   20
#define HOLDER_DEADLINE_MS 20000
#define ABANDONED_MS       7000 /* a request that outlasts the stop is ended after this */
#define WARM_UP_MS         2000
/* A request in two parts. */
#define SLOW_FROM_MS          2900
#define AWAITED_MS            4500
#define SLOW_WAYS             3
#define FIRST_LINE_PART_BYTES 8
#define HEAD_PART_BYTES       40

static const RawKind kinds[] = {
  { "/r/x", NULL, SOON_MS },      { "/o/x", "x", SOON_MS },   { "/o/long/x", "x", 3000 },
  { "/s/slow/x", NULL, 3000 },    { "/o/long/x", "x", 8000 }, { "/s/slow/x", NULL, 6000 },
  { "/o/long/x", "x", GRACE_MS }, /* its deadline is that of the stop, or later */
};
static const unsigned moments_ms[] = { 0, 1000, 2900, 3100, 3300, 5000, 7000 };

/* One request of a stop. */
typedef struct
{
  const RawKind *kind;
  const char *address;
  gint64 began_us; /* the stop */
  unsigned at_ms;
  unsigned rest_at_ms; /* when the rest of its bytes follows; 0: all are sent at once */
  size_t first_bytes;  /* of it that are sent before the rest; 0: all but one */
  bool fresh;          /* the connection is opened with it, not before the stop */
  RawCall call;
  GThread *thread;
} Played;

static void
sleep_until (gint64 began_us, unsigned ms)
{
  gint64 left_us = began_us + (gint64)ms * US_PER_MS - g_get_monotonic_time ();

  if (left_us > 0)
    g_usleep ((gulong)left_us);
}

static void
send_in_parts (Played *p, const char *text)
{
  size_t length = strlen (text);
  size_t rest = 0;

  if (p->rest_at_ms > 0)
    rest = p->first_bytes > 0 ? length - p->first_bytes : 1;
  raw_call_send (&p->call, text, length - rest);
  if (rest == 0)
    return;
  sleep_until (p->began_us, p->rest_at_ms);
  raw_call_send (&p->call, text + length - rest, rest);
}

static gpointer
play_call (gpointer data)
{
  Played *p = data;
  char *text
      = raw_call_text (&p->call, p->kind->target, p->kind->deadline_ms, p->kind->body);

  sleep_until (p->began_us, p->at_ms);
  if (!p->fresh || raw_call_open (&p->call, p->address))
    {
      send_in_parts (p, text);
      raw_call_end (&p->call, 2 * GRACE_MS, false);
    }
  g_free (text);
  return NULL;
}

/* Opens a connection and has one request served on it. */
static void
warm_up (Played *p)
{
  RawCall *c = &p->call;
  char *text;

  CHECK (raw_call_open (c, p->address));
  text = raw_call_text (c, "/p/x", WARM_UP_MS, NULL);
  CHECK (raw_call_send (c, text, strlen (text)));
  raw_call_end (c, WARM_UP_MS, true);
  CHECK (c->response.status == 200 && c->fd >= 0);
  response_free (&c->response);
  g_free (text);
}

static void
add (Testbed *tb, GPtrArray *to, const char *name, Played played)
{
  Played *p = g_new (Played, 1);

  *p = played;
  p->address = tb->entry[0];
  p->call = (RawCall){ .fd = -1, .id = g_strdup_printf ("warm-%s-%u", name, to->len) };
  if (!p->fresh)
    warm_up (p);
  g_free (p->call.id);
  p->call.id = g_strdup_printf ("%s-%u", name, to->len);
  g_ptr_array_add (to, p);
}

static bool
is_stream (const Played *p)
{
  return g_str_has_prefix (p->kind->target, "/s/");
}

static bool
is_time_over (const Played *p)
{
  gint64 took_us = p->call.ended_us - p->call.sent_us;

  return took_us >= ((gint64)p->kind->deadline_ms - DEADLINE_SLACK_MS) * US_PER_MS;
}

/* True if the entry may have given the request up, as it was sent so early and has so
 * much time that its upstream may be at work until the end. */
static bool
may_be_abandoned (const Played *p)
{
  return p->at_ms == 0
         && p->call.ended_us >= p->began_us + (gint64)ABANDONED_MS * US_PER_MS;
}

static bool
has_ended_well (Testbed *tb, const Played *p)
{
  const Response *r = &p->call.response;
  uint64_t runs = runs_of (tb, p->call.id);

  if (p->kind->body != NULL && runs > 1)
    return false;
  switch (r->status)
    {
    case 200:
      return r->complete && runs > 0
             && (is_stream (p) ? has_events (r->body, 1, 10)
                               : strcmp (r->body, "done") == 0);
    case 503:
      return r->complete && runs == 0;
    case 502:
    case 504:
      return r->complete && (is_time_over (p) || may_be_abandoned (p));
    default:
      return r->status == 0 && p->fresh && p->call.fd < 0 && p->call.sent_us == 0
             && p->at_ms > LISTENING_MS;
    }
}

static void
play_all (GPtrArray *played, gint64 began_us)
{
  for (guint i = 0; i < played->len; i++)
    {
      Played *p = g_ptr_array_index (played, i);

      p->began_us = began_us;
      p->thread = g_thread_new ("played", play_call, p);
    }
}

static void
check_all (Testbed *tb, GPtrArray *played)
{
  unsigned bad = 0;

  for (guint i = 0; i < played->len; i++)
    {
      Played *p = g_ptr_array_index (played, i);

      g_thread_join (p->thread);
    }
  for (guint i = 0; i < played->len; i++)
    {
      Played *p = g_ptr_array_index (played, i);
      const Response *r = &p->call.response;

      if (!has_ended_well (tb, p))
        {
          bad++;
          g_print ("%s: %s at %u ms, rest at %u ms, %s: status %d, complete %d, %u runs, "
                   "after %d ms\n",
                   p->call.id, p->kind->target, p->at_ms, p->rest_at_ms,
                   p->fresh ? "new" : "kept", r->status, r->complete,
                   (unsigned)runs_of (tb, p->call.id),
                   (int)((p->call.ended_us - p->call.sent_us) / US_PER_MS));
        }
      raw_call_free (&p->call);
      g_free (p);
    }
  CHECK (bad == 0);
  g_ptr_array_free (played, TRUE);
}

/* -------- the stops -------- */

/* Requests that take a while, one of which outlasts the stop, so that the process does
 * not end before. */
static void
begin (Testbed *tb, Background *holder, const char *id)
{
  Call c = default_call (tb, "/o/long/x", id);

  set_fault_on_both (tb, "event_ms", STREAM_EVENT_MS);
  CHECK (set_fault (tb->server[SERVERS - 1], "silent", 1));
  c.deadline_ms = HOLDER_DEADLINE_MS;
  c.body = "x";
  background_start (holder, &c);
  for (int i = 0; i < 40 && runs_of (tb, id) == 0; i++)
    g_usleep (50 * US_PER_MS);
  CHECK (runs_of (tb, id) == 1);
  CHECK (set_fault (tb->server[SERVERS - 1], "answer_ms", LONG_ANSWER_MS));
}

static void
end (Testbed *tb, Background *holder)
{
  int status;

  background_join (holder);
  CHECK (holder->response.status == 504 && holder->response.complete);
  response_free (&holder->response);
  status = process_end (&tb->entry_process[0], 0);
  CHECK (status != -1 && WIFEXITED (status) && WEXITSTATUS (status) == 0);
  CHECK (set_fault (tb->server[SERVERS - 1], "answer_ms", 0));
  set_fault_on_both (tb, "event_ms", DEFAULT_EVENT_MS);
  CHECK (process_start (&tb->entry_process[0]));
  CHECK (eventually (requests_are_served, tb));
}

static GPtrArray *
requests_at_each_moment (Testbed *tb, const char *name)
{
  GPtrArray *played = g_ptr_array_new ();

  for (size_t m = 0; m < G_N_ELEMENTS (moments_ms); m++)
    for (size_t k = 0; k < G_N_ELEMENTS (kinds); k++)
      add (tb, played, name,
           (Played){ .kind = &kinds[k], .at_ms = moments_ms[m], .fresh = false });
  for (size_t m = 0; m < G_N_ELEMENTS (moments_ms); m++)
    for (size_t k = 0; k < 2; k++)
      add (tb, played, name,
           (Played){ .kind = &kinds[k], .at_ms = moments_ms[m], .fresh = true });
  return played;
}

static void
test_requests_at_each_moment_of_a_stop_end_in_full (Testbed *tb)
{
  Background holder;
  GPtrArray *played = requests_at_each_moment (tb, "moment");

  begin (tb, &holder, "moment-holder");
  kill (tb->entry_process[0].pid, SIGTERM);
  play_all (played, g_get_monotonic_time ());
  check_all (tb, played);
  end (tb, &holder);
}

/* The same beside SIGHUP, a configuration and SIGTERM once more. */
static void
test_requests_of_a_stop_end_in_full_beside_other_work (Testbed *tb)
{
  Background holder;
  GPtrArray *played = requests_at_each_moment (tb, "beside");
  pid_t pid = tb->entry_process[0].pid;
  gint64 began_us;

  begin (tb, &holder, "beside-holder");
  kill (pid, SIGTERM);
  began_us = g_get_monotonic_time ();
  play_all (played, began_us);
  sleep_until (began_us, 500);
  kill (pid, SIGHUP);
  sleep_until (began_us, 1050);
  CHECK (testbed_configure (tb, false));
  sleep_until (began_us, 3050);
  kill (pid, SIGTERM);
  kill (pid, SIGHUP);
  sleep_until (began_us, 5050);
  CHECK (testbed_configure (tb, false));
  kill (pid, SIGTERM);
  check_all (tb, played);
  end (tb, &holder);
}

/* Adds two requests, on a connection from before the stop and on a new one, for each of
 * the first WAYS ways in which a request can arrive in two parts; the rest comes at
 * REST_MS. */
static void
add_slow (Testbed *tb, GPtrArray *played, const char *name, unsigned rest_ms, size_t ways)
{
  static const struct
  {
    const RawKind *kind;
    size_t first_bytes;
  } cases[] = {
    { &kinds[0], FIRST_LINE_PART_BYTES },
    { &kinds[0], HEAD_PART_BYTES },
    { &kinds[1], 0 },
  };

  for (size_t i = 0; i < 2 * MIN (ways, G_N_ELEMENTS (cases)); i++)
    add (tb, played, name,
         (Played){ .kind = cases[i / 2].kind,
                   .at_ms = SLOW_FROM_MS,
                   .rest_at_ms = rest_ms,
                   .first_bytes = cases[i / 2].first_bytes,
                   .fresh = i % 2 == 1 });
}

/* Heads and bodies that arrive in two parts. */
static void
test_requests_that_arrive_slowly_in_a_stop_are_answered (Testbed *tb)
{
  static const unsigned rests_ms[] = { 3150, 3250, 3350, 5000, 7100 };
  Background holder;
  GPtrArray *played = g_ptr_array_new ();

  for (size_t r = 0; r < G_N_ELEMENTS (rests_ms); r++)
    add_slow (tb, played, "slow", rests_ms[r], SLOW_WAYS);
  begin (tb, &holder, "slow-holder");
  kill (tb->entry_process[0].pid, SIGTERM);
  play_all (played, g_get_monotonic_time ());
  check_all (tb, played);
  end (tb, &holder);
}

/* Guards against the end of a process that has read half of a first line. */
static void
test_half_a_first_line_keeps_a_process (Testbed *tb)
{
  GPtrArray *played = g_ptr_array_new ();
  int status;

  add_slow (tb, played, "awaited", AWAITED_MS, 1);
  kill (tb->entry_process[0].pid, SIGTERM);
  play_all (played, g_get_monotonic_time ());
  check_all (tb, played);
  status = process_end (&tb->entry_process[0], 0);
  CHECK (status != -1 && WIFEXITED (status) && WEXITSTATUS (status) == 0);
  CHECK (process_start (&tb->entry_process[0]));
  CHECK (eventually (requests_are_served, tb));
}

const TestFunc stop_moment_tests[] = {
  test_requests_at_each_moment_of_a_stop_end_in_full,
  test_requests_of_a_stop_end_in_full_beside_other_work,
  test_requests_that_arrive_slowly_in_a_stop_are_answered,
  test_half_a_first_line_keeps_a_process,
  NULL,
};
