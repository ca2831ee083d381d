/*
 * Callers of the soak that keep their connections to an entry until its process is gone,
 * and judge what becomes of each whole request, counted from its last byte.
 */
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "raw_call.h"
#include "soak.h"

#define CALLERS_PER_ENTRY 32
#define CALLERS           (CALLERS_PER_ENTRY * ENTRIES)
#define PAUSE_MAX_US      15000
#define IDLE_MAX_US       2000000
#define IDLE_EVERY        4 /* one in so many requests comes after an idle time */
#define REFUSED_PAUSE_US  10000
#define US_PER_MS         1000
#define GIVE_UP_MS        1500 /* a caller's patience after the deadline */
/* Clocks of caller and entry count the time from different moments. */
#define DEADLINE_SLACK_MS 50
/* A request that comes as the entry closes the connection may get no response. */
#define LOSS_SLACK_MS 200
#define EVENTS        10

static const RawKind kinds[] = {
  { "/r/x", NULL, 1500 },      { "/r/x", NULL, 3000 },      { "/p/x", NULL, 3000 },
  { "/o/x", "x", 3000 },       { "/o/long/x", "x", 3500 },  { "/o/long/x", "x", 6000 },
  { "/s/slow/x", NULL, 3500 }, { "/s/slow/x", NULL, 6000 },
};

/* A request that was sent whole. */
typedef struct
{
  char *id;
  const RawKind *kind;
  unsigned entry;
  unsigned number; /* on its connection, from 0 */
  gint64 sent_ms;
  gint64 took_ms; /* from its last byte to the end of the response or the connection */
  int status;     /* 0: no response */
  bool complete;
  bool right; /* a success has the server's whole body */
} SlicedCall;

typedef struct
{
  SoakSlicedCalls *calls;
  unsigned number;
  GRand *random;
  GThread *thread;
  GArray *sent; /* of SlicedCall */
} Caller;

struct SoakSlicedCalls
{
  Soak *soak;
  uint32_t seed;
  gint stop; /* atomic */
  Caller callers[CALLERS];
};

/* -------- sending -------- */

static bool
is_right (const RawKind *kind, const Response *r)
{
  return g_str_has_prefix (kind->target, "/s/") ? has_events (r->body, 1, EVENTS)
                                                : strcmp (r->body, "done") == 0;
}

/* True if the response lets its connection be used again. */
static bool
keeps_connection (const Response *r)
{
  char *text = r->complete ? response_header (r, "Connection") : NULL;
  bool keeps = text == NULL || g_ascii_strcasecmp (text, "close") != 0;

  g_free (text);
  return r->complete && keeps;
}

static void
note_call (Caller *caller, const RawCall *c, const RawKind *kind, unsigned number)
{
  const Response *r = &c->response;
  SlicedCall call = {
    .id = g_strdup (c->id),
    .kind = kind,
    .entry = caller->number % ENTRIES,
    .number = number,
    .sent_ms = c->sent_us / US_PER_MS,
    .took_ms = (c->ended_us - c->sent_us) / US_PER_MS,
    .status = r->status,
    .complete = r->complete,
    .right = r->status != 200 || is_right (kind, r),
  };

  g_array_append_val (caller->sent, call);
}

/* Sends request NUMBER of the connection of C; returns false once it is to be closed. */
static bool
send_request (Caller *caller, RawCall *c, unsigned number)
{
  const RawKind *kind
      = &kinds[g_rand_int_range (caller->random, 0, G_N_ELEMENTS (kinds))];
  char *text;
  bool kept = false;

  c->id = g_strdup_printf ("z%08x-%u-%u", caller->calls->seed, caller->number,
                           caller->sent->len);
  text = raw_call_text (c, kind->target, kind->deadline_ms, kind->body);
  if (raw_call_send (c, text, strlen (text)))
    {
      raw_call_end (c, kind->deadline_ms + GIVE_UP_MS, true);
      note_call (caller, c, kind, number);
      kept = keeps_connection (&c->response);
    }
  g_free (text);
  response_free (&c->response);
  g_clear_pointer (&c->id, g_free);
  return kept;
}

/* Waits before a request, with its connection open. */
static void
pause_caller (Caller *caller)
{
  bool idle = g_rand_int_range (caller->random, 0, IDLE_EVERY) == 0;

  g_usleep (
      (gulong)g_rand_int_range (caller->random, 0, idle ? IDLE_MAX_US : PAUSE_MAX_US));
}

static gpointer
run_caller (gpointer data)
{
  Caller *caller = data;
  const Testbed *tb = caller->calls->soak->testbed;

  while (!g_atomic_int_get (&caller->calls->stop))
    {
      RawCall c = { .fd = -1 };
      unsigned number = 0;

      if (!raw_call_open (&c, tb->entry[caller->number % ENTRIES]))
        {
          g_usleep (REFUSED_PAUSE_US);
          continue;
        }
      do
        pause_caller (caller);
      while (send_request (caller, &c, number++)
             && !g_atomic_int_get (&caller->calls->stop));
      close (c.fd);
    }
  return NULL;
}

SoakSlicedCalls *
soak_start_sliced_calls (Soak *soak)
{
  SoakSlicedCalls *calls = g_new0 (SoakSlicedCalls, 1);

  calls->soak = soak;
  calls->seed = g_rand_int (soak->random);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      Caller *c = &calls->callers[i];

      *c = (Caller){
        .calls = calls,
        .number = i,
        .random = g_rand_new_with_seed (calls->seed + i),
        .sent = g_array_new (FALSE, FALSE, sizeof (SlicedCall)),
      };
      c->thread = g_thread_new ("sliced", run_caller, c);
    }
  return calls;
}

/* -------- checks -------- */

/* What is wrong with CALL, which RUNS times reached a server; NULL: nothing. */
static const char *
find_violation (const SlicedCall *call, uint64_t runs)
{
  bool expired = call->took_ms + DEADLINE_SLACK_MS >= call->kind->deadline_ms;

  if (call->kind->body != NULL && runs > 1)
    return "ran more than once";
  switch (call->status)
    {
    case 0:
      if (call->took_ms >= call->kind->deadline_ms + GIVE_UP_MS)
        return "was held past its time without a response";
      if (runs > 0 && !expired)
        return "ran and its connection ended without a response";
      if (call->took_ms > LOSS_SLACK_MS && !expired)
        return "waited and its connection ended without a response";
      return NULL;
    case 408:
    case 429:
    case 503:
      if (runs > 0)
        return "was refused and has run";
      break;
    case 200:
      if (call->complete && !call->right)
        return "got another body than the server's";
      break;
    default:
      if (call->status >= 400 && call->status < 500)
        return "was denied though it is proper";
    }
  return !call->complete && !expired ? "its response was cut" : NULL;
}

static uint64_t
count_runs (json_object *const records[SERVERS], const char *id)
{
  uint64_t runs = 0;

  for (unsigned i = 0; i < SERVERS; i++)
    runs += soak_runs_in (records[i], id);
  return runs;
}

static void
check_call (Soak *soak, const SlicedCall *call, uint64_t runs)
{
  const char *violation = find_violation (call, runs);
  char *what;

  if (violation == NULL)
    return;
  what = g_strdup_printf ("%s: entry %u, %s, request %u of its connection, sent at "
                          "%.3f s, ended after %d ms, status %d, %s, %u runs",
                          violation, call->entry, call->kind->target, call->number,
                          (double)(call->sent_ms - soak->start_ms) / 1000.0,
                          (int)call->took_ms, call->status,
                          call->complete ? "complete" : "incomplete", (unsigned)runs);
  soak_report_violation (soak, call->id, what);
  g_free (what);
}

static void
check_caller (Caller *caller, json_object *const records[SERVERS], unsigned statuses[3])
{
  for (guint i = 0; i < caller->sent->len; i++)
    {
      SlicedCall *call = &g_array_index (caller->sent, SlicedCall, i);

      check_call (caller->calls->soak, call, count_runs (records, call->id));
      statuses[call->status == 0 ? 0 : call->status == 200 ? 1 : 2]++;
      g_free (call->id);
    }
  g_array_free (caller->sent, TRUE);
  g_rand_free (caller->random);
}

void
soak_end_sliced_calls (SoakSlicedCalls *calls)
{
  json_object *records[SERVERS];
  unsigned statuses[3] = { 0 };

  g_atomic_int_set (&calls->stop, 1);
  for (unsigned i = 0; i < CALLERS; i++)
    g_thread_join (calls->callers[i].thread);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      records[i] = fetch_records (calls->soak->testbed->server[i]);
      if (records[i] == NULL)
        soak_report_violation (calls->soak, "server", "has no records");
    }
  for (unsigned i = 0; i < CALLERS; i++)
    check_caller (&calls->callers[i], records, statuses);
  for (unsigned i = 0; i < SERVERS; i++)
    json_object_put (records[i]);
  g_print ("soak: in slices: %u served, %u others, %u without a response\n", statuses[1],
           statuses[2], statuses[0]);
  g_free (calls);
}
