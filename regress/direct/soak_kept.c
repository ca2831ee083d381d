/* Callers of the soak that keep using their connections until the process is gone. */
#include <glib.h>
#include <string.h>

#include "soak.h"

#define CALL_PAUSE_US      20000
#define GONE_PAUSE_US      50000
#define SHORT_DEADLINE_MS  3500
#define STREAM_DEADLINE_MS 6000
#define LONG_DEADLINE_MS   8000
#define GIVE_UP_MS         1500 /* a caller's patience after the deadline */
/* Clocks of caller and entry count the time from different moments. */
#define DEADLINE_SLACK_MS 50
/* A request that comes as the entry closes the connection may get no response. */
#define LOSS_SLACK_MS 200
#define EVENTS        10

typedef struct
{
  RequestKind kind;
  const char *target;
  unsigned deadline_ms;
} KeptTarget;

#define STREAM_TARGETS 2 /* the first ones */

static const KeptTarget kept_targets[] = {
  { REQUEST_STREAM, "/s/slow/x", STREAM_DEADLINE_MS },
  { REQUEST_STREAM, "/s/slow/x", STREAM_DEADLINE_MS },
  { REQUEST_UNSAFE, "/o/long/x", LONG_DEADLINE_MS },
  { REQUEST_UNSAFE, "/o/long/x", LONG_DEADLINE_MS },
  { REQUEST_UNSAFE, "/o/x", SHORT_DEADLINE_MS },
  { REQUEST_SAFE, "/r/x", SHORT_DEADLINE_MS },
  { REQUEST_SAFE, "/r/x", SHORT_DEADLINE_MS },
  { REQUEST_PUBLIC, "/p/x", SHORT_DEADLINE_MS },
};

static bool
has_whole_body (const SentRequest *req, const Response *r)
{
  if (!r->complete)
    return false;
  return req->kind == REQUEST_STREAM ? has_events (r->body, 1, EVENTS)
                                     : strcmp (r->body, "done") == 0;
}

static bool
call_entry (void *data, GRand *random, CURL *curl, unsigned entry, unsigned n)
{
  const SoakCaller *caller = data;
  Soak *soak = caller->soak;
  char *id = g_strdup_printf ("k%08x-%u", caller->seed, n);
  const KeptTarget *t = &kept_targets[g_rand_int_range (
      random, 0, caller->sends_streams ? STREAM_TARGETS : G_N_ELEMENTS (kept_targets))];
  SentRequest *req = g_new0 (SentRequest, 1);
  Call c = default_call (soak->testbed, t->target, id);
  Response r;

  c.address = soak->testbed->entry[entry];
  c.body = t->kind == REQUEST_UNSAFE ? "x" : NULL;
  c.deadline_ms = t->deadline_ms;
  c.disconnect_ms = t->deadline_ms + GIVE_UP_MS;
  c.curl = curl;
  c.once = true;
  *req = (SentRequest){
    .id = id,
    .kind = t->kind,
    .kept = true,
    .deadline_ms = t->deadline_ms,
    .sent_ms = soak_now_ms (),
  };
  r = call (&c);
  req->done_ms = soak_now_ms ();
  req->status = r.status;
  req->complete = r.status == 200 ? has_whole_body (req, &r) : r.complete;
  g_mutex_lock (&soak->lock);
  g_ptr_array_add (soak->requests, req);
  soak->complete += r.status == 200 && r.complete;
  soak->refused += r.status == 503;
  g_mutex_unlock (&soak->lock);
  response_free (&r);
  return req->status != 0;
}

void
soak_keep_calling (const SoakKeptCalls *calls)
{
  GRand *random = g_rand_new_with_seed (calls->seed);
  CURL *curl = curl_easy_init ();
  unsigned entry = calls->number % ENTRIES;

  for (unsigned n = 0; !g_atomic_int_get (calls->stop); n++)
    {
      bool answered = calls->send (calls->data, random, curl, entry, n);

      if (!answered)
        entry = (unsigned)g_rand_int_range (random, 0, ENTRIES);
      g_usleep (answered ? CALL_PAUSE_US : GONE_PAUSE_US);
    }
  curl_easy_cleanup (curl);
  g_rand_free (random);
}

Response
soak_call_stream (
    const Soak *soak, GRand *random, CURL *curl, unsigned entry, const char *id)
{
  bool slow = g_rand_boolean (random);
  Call c = default_call (soak->testbed, slow ? "/s/slow/x" : "/s/x", id);

  c.address = soak->testbed->entry[entry];
  c.deadline_ms = slow ? STREAM_DEADLINE_MS : SHORT_DEADLINE_MS;
  c.disconnect_ms = c.deadline_ms;
  c.curl = curl;
  c.once = true;
  return call (&c);
}

static gpointer
run_kept_caller (gpointer data)
{
  SoakCaller *caller = data;

  soak_keep_calling (&(SoakKeptCalls){
      .number = caller->number,
      .seed = caller->seed,
      .stop = &caller->soak->kept_stop,
      .send = call_entry,
      .data = caller,
  });
  return NULL;
}

void
soak_start_kept (Soak *soak, SoakKept *kept, unsigned stream_callers)
{
  g_atomic_int_set (&soak->kept_stop, 0);
  for (unsigned i = 0; i < SOAK_KEPT_CALLERS; i++)
    {
      kept->callers[i]
          = (SoakCaller){ soak, i, g_rand_int (soak->random), i < stream_callers };
      kept->threads[i] = g_thread_new ("kept", run_kept_caller, &kept->callers[i]);
    }
}

/* -------- checks -------- */

/* A line of the history that lets a request be found in the logs. */
static void
report_request (Soak *soak, const SentRequest *req, uint64_t runs, const char *what)
{
  g_string_append_printf (soak->history,
                          "  %6.2f s  %s: %s, kind %d, %d ms, status %d, %u runs\n",
                          (double)(req->sent_ms - soak->start_ms) / 1000.0, req->id, what,
                          req->kind, (int)(req->done_ms - req->sent_ms), req->status,
                          (unsigned)runs);
  soak_report_violation (soak, req->id, what);
}

static void
check_kept_request (Soak *soak, const SentRequest *req, uint64_t runs)
{
  gint64 took_ms = req->done_ms - req->sent_ms;
  bool expired = took_ms + DEADLINE_SLACK_MS >= req->deadline_ms;

  if (req->status == 0 && took_ms >= req->deadline_ms + GIVE_UP_MS)
    report_request (soak, req, runs, "was held past its time without a response");
  else if (req->status == 0 && runs > 0 && !expired)
    report_request (soak, req, runs, "ran and its connection closed without a response");
  else if (req->status == 0 && took_ms > LOSS_SLACK_MS && !expired)
    report_request (soak, req, runs,
                    "waited and its connection closed without a response");
  else if (req->status != 0 && !req->complete && !expired)
    report_request (soak, req, runs, "its response was cut");
  if ((req->status == 503 || req->status == 429) && runs > 0)
    report_request (soak, req, runs, "was refused and has run");
  if (req->status >= 400 && req->status < 500 && req->status != 408 && req->status != 429)
    report_request (soak, req, runs, "was denied though it is proper");
}

void
soak_end_kept (Soak *soak, SoakKept *kept)
{
  json_object *records[SERVERS];

  g_atomic_int_set (&soak->kept_stop, 1);
  for (unsigned i = 0; i < SOAK_KEPT_CALLERS; i++)
    g_thread_join (kept->threads[i]);
  for (unsigned i = 0; i < SERVERS; i++)
    records[i] = fetch_records (soak->testbed->server[i]);
  for (guint i = 0; i < soak->requests->len; i++)
    {
      SentRequest *req = g_ptr_array_index (soak->requests, i);
      uint64_t runs = 0;

      for (unsigned s = 0; s < SERVERS; s++)
        runs += soak_runs_in (records[s], req->id);
      if (req->kept)
        check_kept_request (soak, req, runs);
      req->kept = false; /* the records of a model server end with its process */
    }
  for (unsigned i = 0; i < SERVERS; i++)
    {
      if (records[i] == NULL)
        soak_report_violation (soak, "server", "has no records");
      json_object_put (records[i]);
    }
}
