/*
 * What runs on the stand-in of a server: streams, other requests, and crashes.  It
 * records which requests ran.
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "server.h"
#include "weights.h"

#define STREAM_PREFIX "/s/"
#define LONG_PART     "/long/" /* of paths whose response takes ANSWER_MS */
#define START_MS      800

/* A stream of events that is being sent. */
typedef struct
{
  DlHttpRequest *request;
  uint64_t next; /* id of the next event */
  bool cut;      /* breaks off in the middle of its third event */
  bool poisoned; /* crashes the server when it begins to write */
  bool whole;    /* does so by its body */
  bool pauses;   /* falls silent before event PAUSE_BEFORE, then goes on */
  DlTimer *timer;
} Stream;

/* A stream that has not started yet, as the server is busy. */
typedef struct
{
  DlHttpRequest *request;
} QueuedStream;

/* A response to a request that is no stream, which is due later. */
typedef struct
{
  DlHttpRequest *request;
  bool poisoned; /* crashes the server instead */
} PlainRun;

/* Streams that start from FROM_MS on must have at least VERSION. */
typedef struct
{
  uint64_t version;
  uint64_t from_ms;
} VersionLimit;

static DlTask *task;
static uint64_t running;
static GList *streams;      /* of Stream that are being sent */
static GList *queued;       /* of QueuedStream */
static GList *plain_runs;   /* of PlainRun */
static GArray *due;         /* of VersionLimit */
static uint64_t last_due;   /* the last DUE_VERSION that was added to DUE */
static uint64_t up_from_ms; /* end of the time that it is down after a crash */
static uint64_t crashes;
static uint64_t poisoned; /* requests received that have the prompt part CRASH_PART */
static uint64_t crashes_whole;  /* of CRASHES, those by such a body */
static uint64_t poisoned_whole; /* requests received whose body crashes it */
static uint64_t received;       /* requests, also those that were refused */
static uint64_t events_sent;
static uint64_t cancelled;       /* streams whose caller disconnected */
static uint64_t keys_seen;       /* requests that carried a caller's key */
static uint64_t dropped;         /* queued streams whose connection closed */
static uint64_t outdated_starts; /* streams that started on a version older than due */
static GHashTable *runs;         /* request id to how often it ran */
static json_object *outdated;    /* ids of OUTDATED_STARTS to time and version */
static char *last_target;
static char *last_organisation;
static char *last_body;

void
server_runs_start (DlTask *standin)
{
  task = standin;
  runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  due = g_array_new (FALSE, FALSE, sizeof (VersionLimit));
  outdated = json_object_new_object ();
}

static void
set_text (char **member, const char *text)
{
  g_free (*member);
  *member = g_strdup (text);
}

static void
record_run (DlHttpRequest *request)
{
  const char *id = server_header (request, "X-Request-Id");
  gpointer count = g_hash_table_lookup (runs, id);

  g_hash_table_replace (runs, g_strdup (id),
                        GSIZE_TO_POINTER (GPOINTER_TO_SIZE (count) + 1));
  keys_seen += dl_http_request_header (request, "Authorization") != NULL;
  set_text (&last_target, dl_http_request_target (request));
  set_text (&last_organisation, server_header (request, "X-Tenant-Id"));
  g_free (last_body);
  last_body = g_strndup (dl_http_request_body (request).data,
                         dl_http_request_body (request).length);
}

static void
on_stream_closed (DlHttpRequest *request, bool answered, void *data)
{
  Stream *s = data;

  running--;
  streams = g_list_remove (streams, s);
  cancelled += !answered && !s->cut;
}

static void on_event (DlTimer *timer, void *data);

/* Sends the next event after FIRST_MS and the others at the usual pace. */
static void
schedule_events (Stream *s, uint64_t first_ms)
{
  talloc_free (s->timer);
  s->timer = dl_timer_subscribe (task, s, first_ms, server_knobs.event_ms, on_event, s);
}

/* Closes the connection of REQUEST without a response, and frees STATE, what is kept of
 * it.
 */
static void
cut_unanswered (DlHttpRequest *request, void *state)
{
  dl_http_request_on_closed (request, NULL, NULL);
  talloc_free (state);
  dl_http_abort (request);
}

/* Closes the connection of a stream that has not started. */
static void
drop_queued (QueuedStream *q)
{
  queued = g_list_remove (queued, q);
  cut_unanswered (q->request, q);
}

/* Closes the connection of a request that runs without a stream. */
static void
cut_plain_run (PlainRun *run)
{
  plain_runs = g_list_remove (plain_runs, run);
  cut_unanswered (run->request, run);
}

/* Closes the connection of a stream that is being sent. */
static void
cut_stream (Stream *s)
{
  s->cut = true;
  TALLOC_FREE (s->timer);
  dl_http_stream_end (s->request, false);
}

void
server_crash (void)
{
  GList *cut_off = g_list_copy (streams);
  GList *not_started = g_list_copy (queued);
  GList *plain = g_list_copy (plain_runs);

  crashes++;
  up_from_ms = dl_clock_ms () + server_knobs.crash_ms;
  for (GList *at = cut_off; at != NULL; at = at->next)
    {
      Stream *s = at->data;

      if (s->timer == NULL)
        continue; /* has ended and is being sent */
      cut_stream (s);
    }
  g_list_free (cut_off);
  for (GList *at = not_started; at != NULL; at = at->next)
    drop_queued (at->data);
  g_list_free (not_started);
  for (GList *at = plain; at != NULL; at = at->next)
    cut_plain_run (at->data);
  g_list_free (plain);
}

static void
on_stream_time_over (DlTimer *timer, void *data)
{
  Stream *s = data;

  if (s->timer != NULL)
    cut_stream (s);
}

static void
on_plain_time_over (DlTimer *timer, void *data)
{
  cut_plain_run (data);
}

/* Has ON_OVER end the run STATE of REQUEST just before the end of the time it was given.
 */
static void
limit_run (DlHttpRequest *request, void *state, DlTimerFunc on_over)
{
  uint64_t given_ms
      = g_ascii_strtoull (server_header (request, "X-Deadline-Ms"), NULL, 10);

  if (server_knobs.end_early_ms > 0 && given_ms > server_knobs.end_early_ms)
    dl_timer_subscribe (task, state, given_ms - server_knobs.end_early_ms, 0, on_over,
                        state);
}

static void
on_event (DlTimer *timer, void *data)
{
  Stream *s = data;
  char *event;
  char *filler;

  if (s->poisoned)
    {
      crashes_whole += s->whole;
      server_crash ();
      return;
    }
  if (s->pauses && s->next >= server_knobs.pause_before)
    {
      s->pauses = false;
      schedule_events (s, server_knobs.pause_ms);
      return;
    }
  filler = g_strnfill (server_knobs.event_bytes, 'x');
  event = g_strdup_printf ("id: %" PRIu64 "\ndata: event %" PRIu64 "%s\n\n", s->next,
                           s->next, filler);
  g_free (filler);
  if (s->cut && s->next >= 3)
    {
      dl_http_stream_write (s->request, dl_str_bytes (event, strlen (event) / 2));
      dl_http_stream_end (s->request, false);
      TALLOC_FREE (s->timer);
    }
  else
    {
      dl_http_stream_write (s->request, dl_str (event));
      events_sent++;
      if (s->next++ >= server_knobs.events)
        {
          dl_http_stream_end (s->request, true);
          TALLOC_FREE (s->timer);
        }
    }
  g_free (event);
}

/* True if a part of the request's prompt, except the last, is CRASH_PART. */
static bool
has_crash_part (DlHttpRequest *request)
{
  const char *at = server_header (request, "X-Prompt-Prefix");

  for (const char *comma; (comma = strchr (at, ',')) != NULL; at = comma + 1)
    if (server_knobs.crash_part != 0
        && g_ascii_strtoull (at, NULL, 16) == server_knobs.crash_part)
      return true;
  return false;
}

static bool
is_stream (DlHttpRequest *request)
{
  return g_str_has_prefix (dl_http_request_path (request), STREAM_PREFIX);
}

static void
record_outdated (DlHttpRequest *request)
{
  json_object *start = json_object_new_object ();

  outdated_starts++;
  standin_json_set_uint (start, "at_ms", dl_clock_ms ());
  standin_json_set_uint (start, "version", staged_version);
  json_object_object_add (outdated, server_header (request, "X-Request-Id"), start);
}

/* Counts a stream that starts on a version that should have been replaced by now. */
static void
count_outdated (DlHttpRequest *request)
{
  for (guint i = 0; i < due->len; i++)
    {
      const VersionLimit *limit = &g_array_index (due, VersionLimit, i);

      if (dl_clock_ms () < limit->from_ms || staged_version >= limit->version)
        continue;
      record_outdated (request);
      return;
    }
}

static bool
has_crash_body (DlHttpRequest *request)
{
  DlStr body = dl_http_request_body (request);
  char start[NAME_BYTES];

  if (server_knobs.crash_body == 0 || body.length == 0)
    return false;
  g_snprintf (start, sizeof start, "crash %" PRIu64 " ", server_knobs.crash_body);
  return body.length >= strlen (start) && memcmp (body.data, start, strlen (start)) == 0;
}

static void
start_stream (DlHttpRequest *request)
{
  Stream *s = talloc_zero (request, Stream);
  ServerHeaders headers;

  running++;
  count_outdated (request);
  s->request = request;
  s->next = g_ascii_strtoull (server_header (request, "Last-Event-Id"), NULL, 10) + 1;
  s->cut
      = standin_count_down (s->next == 1 ? &server_knobs.cut : &server_knobs.cut_resumed);
  s->pauses = standin_count_down (&server_knobs.pauses);
  s->whole = has_crash_body (request);
  s->poisoned = has_crash_part (request) || s->whole
                || standin_count_down (&server_knobs.crash_streams);
  streams = g_list_prepend (streams, s);
  dl_http_request_on_closed (request, on_stream_closed, s);
  limit_run (request, s, on_stream_time_over);
  dl_http_stream_begin (request, 200, "text/event-stream",
                        server_response_headers (request, &headers));
  schedule_events (s, server_knobs.event_ms);
}

static void
on_plain_closed (DlHttpRequest *request, bool answered, void *data)
{
  plain_runs = g_list_remove (plain_runs, data);
}

static void
on_plain_due (DlTimer *timer, void *data)
{
  PlainRun *run = data;
  DlHttpRequest *request = run->request;

  if (run->poisoned)
    {
      crashes_whole++;
      server_crash ();
      return;
    }
  dl_http_request_on_closed (request, NULL, NULL);
  plain_runs = g_list_remove (plain_runs, run);
  talloc_free (run);
  server_reply_done (request);
}

/* Responds after MS, or crashes then. */
static void
start_plain (DlHttpRequest *request, uint64_t ms)
{
  PlainRun *run = talloc_zero (request, PlainRun);

  run->request = request;
  run->poisoned = has_crash_body (request);
  plain_runs = g_list_prepend (plain_runs, run);
  dl_http_request_on_closed (request, on_plain_closed, run);
  limit_run (request, run, on_plain_time_over);
  dl_timer_subscribe (task, run, run->poisoned ? server_knobs.event_ms : ms, 0,
                      on_plain_due, run);
}

/* True for a while after a crash, as long as it takes an engine to load its weights. */
static bool
is_starting (void)
{
  return up_from_ms != 0 && dl_clock_ms () < up_from_ms + START_MS;
}

static void
run_now (DlHttpRequest *request)
{
  record_run (request);
  staged_count_run ();
  if (standin_count_down (&server_knobs.silent))
    return;
  if (standin_count_down (&server_knobs.old_refusals))
    {
      server_refuse_as (request, (unsigned)server_knobs.refusal_status,
                        server_knobs.refusal_nameless ? NULL : "earlier");
      return;
    }
  if (server_knobs.error_resumed != 0
      && dl_http_request_header (request, "Last-Event-Id") != NULL)
    {
      server_reply_error_resumed (request);
      return;
    }
  if (standin_count_down (&server_knobs.lose))
    dl_http_abort (request);
  else if (is_stream (request))
    start_stream (request);
  else if (has_crash_body (request)
           || (server_knobs.answer_ms > 0
               && strstr (dl_http_request_path (request), LONG_PART) != NULL))
    start_plain (request, server_knobs.answer_ms);
  else
    server_reply_done (request);
}

static void
on_queued_closed (DlHttpRequest *request, bool answered, void *data)
{
  queued = g_list_remove (queued, data);
  dropped++;
}

static void
on_queue_passed (DlTimer *timer, void *data)
{
  QueuedStream *q = data;
  DlHttpRequest *request = q->request;

  dl_http_request_on_closed (request, NULL, NULL);
  queued = g_list_remove (queued, q);
  talloc_free (q);
  run_now (request);
}

static void
queue_stream (DlHttpRequest *request)
{
  QueuedStream *q = talloc_zero (request, QueuedStream);

  q->request = request;
  queued = g_list_prepend (queued, q);
  dl_http_request_on_closed (request, on_queued_closed, q);
  dl_timer_subscribe (task, q, server_knobs.queue_ms, 0, on_queue_passed, q);
}

void
server_run (DlHttpRequest *request)
{
  received++;
  server_count_limited ();
  if (server_expectation_fails (request))
    {
      server_refuse (request, 421);
      return;
    }
  if (staged_is_loading () || is_starting () || standin_count_down (&server_knobs.shed)
      || (dl_http_request_header (request, "Last-Event-Id") != NULL
          && standin_count_down (&server_knobs.shed_resumed)))
    {
      server_refuse (request, 503);
      return;
    }
  if (server_knobs.queue_ms > 0 && is_stream (request))
    queue_stream (request);
  else
    run_now (request);
}

uint64_t
server_running (void)
{
  return running;
}

uint64_t
server_waiting (void)
{
  return g_list_length (queued);
}

bool
server_takes (DlHttpRequest *request)
{
  poisoned += has_crash_part (request);
  poisoned_whole += has_crash_body (request);
  if (dl_clock_ms () >= up_from_ms)
    return true;
  received += !g_str_has_prefix (dl_http_request_path (request), "/-/");
  dl_http_abort (request);
  return false;
}

void
server_runs_changed (void)
{
  VersionLimit limit = { .version = server_knobs.due_version,
                         .from_ms = dl_clock_ms () + server_knobs.due_in_ms };

  if (server_knobs.due_version == last_due)
    return;
  last_due = server_knobs.due_version;
  if (server_knobs.due_version == 0)
    g_array_set_size (due, 0);
  else
    g_array_append_val (due, limit);
}

void
server_runs_record (json_object *records)
{
  json_object *ran = json_object_new_object ();
  GHashTableIter iter;
  gpointer id;
  gpointer count;

  g_hash_table_iter_init (&iter, runs);
  while (g_hash_table_iter_next (&iter, &id, &count))
    standin_json_set_uint (ran, id, GPOINTER_TO_SIZE (count));
  json_object_object_add (records, "runs", ran);
  standin_json_set_uint (records, "ran", g_hash_table_size (runs));
  standin_json_set_uint (records, "received", received);
  standin_json_set_uint (records, "running", running);
  standin_json_set_uint (records, "queued", g_list_length (queued));
  standin_json_set_uint (records, "dropped", dropped);
  standin_json_set_uint (records, "outdated_starts", outdated_starts);
  json_object_object_add (records, "outdated", json_object_get (outdated));
  standin_json_set_uint (records, "events_sent", events_sent);
  standin_json_set_uint (records, "crashes", crashes);
  standin_json_set_uint (records, "down", dl_clock_ms () < up_from_ms);
  standin_json_set_uint (records, "poisoned", poisoned);
  standin_json_set_uint (records, "poisoned_whole", poisoned_whole);
  standin_json_set_uint (records, "crashes_whole", crashes_whole);
  standin_json_set_uint (records, "cancelled", cancelled);
  standin_json_set_uint (records, "keys_seen", keys_seen);
  standin_json_set_text (records, "target", last_target != NULL ? last_target : "");
  standin_json_set_text (records, "organisation",
                         last_organisation != NULL ? last_organisation : "");
  standin_json_set_text (records, "body", last_body != NULL ? last_body : "");
}
