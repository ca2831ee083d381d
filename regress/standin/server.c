/*
 * The stand-in of a server of the users' platform: it runs requests and sends streams of
 * events.  It records which requests ran.
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "standin.h"
#include "weights.h"

#define STREAM_PREFIX   "/s/"
#define LONG_PART       "/long/" /* of paths whose response takes ANSWER_MS */
#define EVENTS_DEFAULT  10
#define EVENT_MS        20
#define START_MS        800
#define MS_PER_S        1000.0
#define NAME_BYTES      32
#define MILLIS_PER_UNIT 1000.0
#define LIMIT_AFTER_MS  3000
#define LIMIT_WINDOW_MS 4000
#define SECOND_MS       1000

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

static uint64_t instance = 1; /* its instance id is "i-N" */
static uint64_t events = EVENTS_DEFAULT;
static uint64_t event_ms = EVENT_MS;
static uint64_t answer_ms; /* how long a request of a LONG_PART path runs */
static uint64_t shed;      /* the next N requests are refused and not run */
static uint64_t fail;      /* the next N requests get the response 500 */
static uint64_t lose;      /* the next N are run, then the connection is closed */
static uint64_t cut;       /* the next N streams break off in the middle of an event */
static uint64_t cut_before = 3; /* id of the event in which they do, or a later one */
static uint64_t cut_resumed;    /* the same for streams that resume after an event */
static uint64_t shed_resumed;   /* the next N streams that resume are refused, not run */
static uint64_t foreign;        /* the next N responses have another request's id */
static uint64_t unsealed;       /* the next N responses lack the seal */
static uint64_t silent;         /* the next N are run without a response ever */
static uint64_t slots = 16;
static uint64_t born;           /* start time in its report; 0: the number of INSTANCE */
static uint64_t leaving;        /* responses to requests say that it leaves */
static uint64_t report_leaving; /* its reports say that it leaves */
static uint64_t retry_after_ms; /* Retry-After of refusals; 0: none */
static uint64_t unmarked;       /* refusals do not say that the request was not run */
static uint64_t pauses;         /* the next N streams fall silent once */
static uint64_t pause_before = 1; /* id of the event before which they do */
static uint64_t pause_ms;         /* for how long */
static uint64_t event_bytes;      /* filler in each event */
static uint64_t others;           /* running requests of others that it reports */
static uint64_t limit_millis;     /* limit that its responses name; 0: none */
static uint64_t crash_part;       /* id of the prompt part that crashes it; 0: none */
static uint64_t crash_body;     /* bodies that begin with "crash N " crash it; 0: none */
static uint64_t crash_streams;  /* the next N streams crash it when they begin */
static uint64_t crash_now;      /* set to 1: it crashes at once, whatever it runs */
static uint64_t crash_ms = 200; /* how long it is down after a crash */
static uint64_t queue_ms;       /* how long a stream waits before it starts */
static uint64_t queue_resumed_ms; /* the same for streams that resume after an event */
static uint64_t old_refusals; /* the next N are run, and an earlier refusal sent again */
static uint64_t refusal_status = 503; /* of those */
static uint64_t refusal_nameless;     /* they have no request's id */
static uint64_t error_resumed; /* status of the response to each stream that resumes; 0 */
static uint64_t error_sealed;  /* these have the seal */
static uint64_t lose_weights;  /* set to 1: it has started again without weights */
static uint64_t mend;          /* 1: staged chunks that turned bad are sound again */
static uint64_t end_early_ms; /* runs end that long before the end of their time; 0: no */
/* Each setting of DUE_VERSION adds a limit, DUE_IN_MS (set before) from then on; 0
 * removes all of them. */
static uint64_t due_version;
static uint64_t due_in_ms;

static DlTask *task;
static uint64_t running;
static GList *streams;      /* of Stream that are being sent */
static GList *queued;       /* of QueuedStream */
static GList *plain_runs;   /* of PlainRun */
static GArray *due;         /* of VersionLimit */
static uint64_t last_due;   /* the last DUE_VERSION that was added to DUE */
static uint64_t up_from_ms; /* end of the time that it is down after a crash */
static uint64_t crashes;
static uint64_t limit_named_ms; /* when a response first named the limit; 0: none did */
static GArray *limited_ms;      /* arrivals of the last LIMIT_WINDOW_MS since */
static uint64_t limited_most;   /* most of them at once */
static uint64_t recount_second; /* set to 1: SECOND_MOST begins anew */
static GArray *second_ms;       /* arrivals of the last second that did not get 421 */
static uint64_t second_most;    /* most of them at once */
static uint64_t poisoned; /* requests received that have the prompt part CRASH_PART */
static uint64_t crashes_whole;  /* of CRASHES, those by such a body */
static uint64_t poisoned_whole; /* requests received whose body crashes it */
static uint64_t received;       /* requests, also those that were refused */
static uint64_t events_sent;
static uint64_t cancelled;       /* streams whose caller disconnected */
static uint64_t keys_seen;       /* requests that carried a caller's key */
static uint64_t wrong_version;   /* requests refused as they expected another version */
static uint64_t dropped;         /* queued streams whose connection closed */
static uint64_t outdated_starts; /* streams that started on a version older than due */
static GHashTable *runs;         /* request id to how often it ran */
static json_object *outdated;    /* ids of OUTDATED_STARTS to time and version */
static char *last_target;
static char *last_organisation;
static char *last_body;

static const StandinKnob server_knobs[] = {
  { "instance", &instance },
  { "version", &staged_version },
  { "events", &events },
  { "event_ms", &event_ms },
  { "answer_ms", &answer_ms },
  { "shed", &shed },
  { "fail", &fail },
  { "lose", &lose },
  { "cut", &cut },
  { "cut_before", &cut_before },
  { "foreign", &foreign },
  { "unsealed", &unsealed },
  { "silent", &silent },
  { "rot", &staged_rot },
  { "slots", &slots },
  { "cut_resumed", &cut_resumed },
  { "born", &born },
  { "leaving", &leaving },
  { "report_leaving", &report_leaving },
  { "retry_after_ms", &retry_after_ms },
  { "unmarked", &unmarked },
  { "shed_resumed", &shed_resumed },
  { "pauses", &pauses },
  { "pause_before", &pause_before },
  { "pause_ms", &pause_ms },
  { "others", &others },
  { "event_bytes", &event_bytes },
  { "crash_part", &crash_part },
  { "crash_ms", &crash_ms },
  { "crash_body", &crash_body },
  { "limit_millis", &limit_millis },
  { "recount_second", &recount_second },
  { "crash_streams", &crash_streams },
  { "crash_now", &crash_now },
  { "queue_ms", &queue_ms },
  { "queue_resumed_ms", &queue_resumed_ms },
  { "due_version", &due_version },
  { "due_in_ms", &due_in_ms },
  { "old_refusals", &old_refusals },
  { "refusal_status", &refusal_status },
  { "refusal_nameless", &refusal_nameless },
  { "error_resumed", &error_resumed },
  { "error_sealed", &error_sealed },
  { "stage_refused", &staged_refused },
  { "rot_after_read", &staged_rot_after_read },
  { "rot_at_command", &staged_rot_at_command },
  { "read_late_ms", &staged_read_late_ms },
  { "command_late_ms", &staged_command_late_ms },
  { "commands_late", &staged_commands_late },
  { "command_stall_ms", &staged_command_stall_ms },
  { "stop_at_command", &staged_stop_at_command },
  { "stop_at_read", &staged_stop_at_read },
  { "write_at_command", &staged_write_at_command },
  { "reports_fail_ms", &staged_reports_fail_ms },
  { "mixed", &staged_mixed },
  { "lose_weights", &lose_weights },
  { "mend", &mend },
  { "end_early_ms", &end_early_ms },
  { 0 },
};

static void
server_start (DlTask *standin)
{
  task = standin;
  staged_start (standin);
  runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  limited_ms = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  second_ms = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  due = g_array_new (FALSE, FALSE, sizeof (VersionLimit));
  outdated = json_object_new_object ();
}

static const char *
header (DlHttpRequest *request, const char *name)
{
  const char *value = dl_http_request_header (request, name);

  return value != NULL ? value : "";
}

static void
set_text (char **member, const char *text)
{
  g_free (*member);
  *member = g_strdup (text);
}

/* -------- reports -------- */

static void
reply_report (DlHttpRequest *request)
{
  json_object *report = json_object_new_object ();
  json_object *models = json_object_new_array ();
  json_object *model = json_object_new_object ();
  json_object *layers = json_object_new_object ();
  const DlHttpHeader headers[]
      = { { report_leaving ? "Server-Leaving" : NULL, "1" }, { 0 } };

  if (staged_version > 0)
    {
      standin_json_set_text (model, "name", WEIGHTS_MODEL);
      standin_json_set_uint (model, "version", staged_version);
      json_object_array_add (models, json_object_get (model));
      standin_json_set_uint (layers, "from", 0);
      standin_json_set_uint (layers, "target", WEIGHTS_LAYERS);
      standin_json_set_uint (layers, "version", staged_version);
      json_object_object_add (report, "layers", json_object_get (layers));
    }
  json_object_put (model);
  json_object_put (layers);
  json_object_object_add (report, "models", models);
  json_object_object_add (report, "busy", json_object_new_boolean (staged_is_loading ()));
  standin_json_set_uint (report, "sequence", staged_commands ());
  standin_json_set_uint (report, "running", running + others);
  standin_json_set_uint (report, "waiting", g_list_length (queued));
  standin_json_set_uint (report, "born", born > 0 ? born : instance);
  dl_http_reply (request, 200, "application/json",
                 dl_str (json_object_to_json_string_ext (report, JSON_C_TO_STRING_PLAIN)),
                 headers);
  json_object_put (report);
}

/* -------- requests -------- */

typedef struct
{
  char id[NAME_BYTES * 4];
  char seal[NAME_BYTES];
  char versions[NAME_BYTES];
  char limit[NAME_BYTES];
  DlHttpHeader headers[6];
} ResponseHeaders;

/* The header that names the limit, with its value in TEXT of NAME_BYTES. */
static DlHttpHeader
limit_header (char *text)
{
  if (limit_named_ms == 0)
    {
      limit_named_ms = dl_clock_ms ();
      limited_most = 0;
      g_array_set_size (limited_ms, 0);
    }
  g_snprintf (text, NAME_BYTES, "%.3f", (double)limit_millis / MILLIS_PER_UNIT);
  return (DlHttpHeader){ .name = "Server-Limit", .value = text };
}

/* Counts a request towards the most that came within LIMIT_WINDOW_MS, from LIMIT_AFTER_MS
 * after the limit was first named. */
static void
count_limited (void)
{
  uint64_t now_ms = dl_clock_ms ();

  if (limit_millis == 0)
    limit_named_ms = 0;
  if (limit_named_ms == 0 || now_ms < limit_named_ms + LIMIT_AFTER_MS)
    return;
  g_array_append_val (limited_ms, now_ms);
  while (g_array_index (limited_ms, uint64_t, 0) + LIMIT_WINDOW_MS < now_ms)
    g_array_remove_index (limited_ms, 0);
  limited_most = MAX (limited_most, limited_ms->len);
}

/* Counts a request towards the most that came within one second. */
static void
count_second (void)
{
  uint64_t now_ms = dl_clock_ms ();

  g_array_append_val (second_ms, now_ms);
  while (g_array_index (second_ms, uint64_t, 0) + SECOND_MS <= now_ms)
    g_array_remove_index (second_ms, 0);
  second_most = MAX (second_most, second_ms->len);
}

static const DlHttpHeader *
response_headers (DlHttpRequest *request, ResponseHeaders *h)
{
  size_t count = 0;

  g_strlcpy (h->id,
             standin_count_down (&foreign) ? "another" : header (request, "X-Request-Id"),
             sizeof h->id);
  g_snprintf (h->seal, sizeof h->seal, "seal-of-i-%" PRIu64, instance);
  g_snprintf (h->versions, sizeof h->versions, "%" PRIu64, staged_version);
  h->headers[count++] = (DlHttpHeader){ .name = "X-Request-Id", .value = h->id };
  h->headers[count++]
      = (DlHttpHeader){ .name = "X-Weight-Versions", .value = h->versions };
  if (!standin_count_down (&unsealed))
    h->headers[count++] = (DlHttpHeader){ .name = "X-Response-Seal", .value = h->seal };
  if (leaving)
    h->headers[count++] = (DlHttpHeader){ .name = "Server-Leaving", .value = "1" };
  if (limit_millis > 0)
    h->headers[count++] = limit_header (h->limit);
  h->headers[count] = (DlHttpHeader){ 0 };
  return h->headers;
}

static void
record_run (DlHttpRequest *request)
{
  const char *id = header (request, "X-Request-Id");
  gpointer count = g_hash_table_lookup (runs, id);

  g_hash_table_replace (runs, g_strdup (id),
                        GSIZE_TO_POINTER (GPOINTER_TO_SIZE (count) + 1));
  keys_seen += dl_http_request_header (request, "Authorization") != NULL;
  set_text (&last_target, dl_http_request_target (request));
  set_text (&last_organisation, header (request, "X-Tenant-Id"));
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
  s->timer = dl_timer_subscribe (task, s, first_ms, event_ms, on_event, s);
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

/* All requests in progress end, and none is taken for CRASH_MS. */
static void
crash (void)
{
  GList *cut_off = g_list_copy (streams);
  GList *not_started = g_list_copy (queued);
  GList *plain = g_list_copy (plain_runs);

  crashes++;
  up_from_ms = dl_clock_ms () + crash_ms;
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
  uint64_t given_ms = g_ascii_strtoull (header (request, "X-Deadline-Ms"), NULL, 10);

  if (end_early_ms > 0 && given_ms > end_early_ms)
    dl_timer_subscribe (task, state, given_ms - end_early_ms, 0, on_over, state);
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
      crash ();
      return;
    }
  if (s->pauses && s->next >= pause_before)
    {
      s->pauses = false;
      schedule_events (s, pause_ms);
      return;
    }
  filler = g_strnfill (event_bytes, 'x');
  event = g_strdup_printf ("id: %" PRIu64 "\ndata: event %" PRIu64 "%s\n\n", s->next,
                           s->next, filler);
  g_free (filler);
  if (s->cut && s->next >= cut_before)
    {
      dl_http_stream_write (s->request, dl_str_bytes (event, strlen (event) / 2));
      dl_http_stream_end (s->request, false);
      TALLOC_FREE (s->timer);
    }
  else
    {
      dl_http_stream_write (s->request, dl_str (event));
      events_sent++;
      if (s->next++ >= events)
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
  const char *at = header (request, "X-Prompt-Prefix");

  for (const char *comma; (comma = strchr (at, ',')) != NULL; at = comma + 1)
    if (crash_part != 0 && g_ascii_strtoull (at, NULL, 16) == crash_part)
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
  json_object_object_add (outdated, header (request, "X-Request-Id"), start);
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

  if (crash_body == 0 || body.length == 0)
    return false;
  g_snprintf (start, sizeof start, "crash %" PRIu64 " ", crash_body);
  return body.length >= strlen (start) && memcmp (body.data, start, strlen (start)) == 0;
}

static void
start_stream (DlHttpRequest *request)
{
  Stream *s = talloc_zero (request, Stream);
  ResponseHeaders headers;

  running++;
  count_outdated (request);
  s->request = request;
  s->next = g_ascii_strtoull (header (request, "Last-Event-Id"), NULL, 10) + 1;
  s->cut = standin_count_down (s->next == 1 ? &cut : &cut_resumed);
  s->pauses = standin_count_down (&pauses);
  s->whole = has_crash_body (request);
  s->poisoned
      = has_crash_part (request) || s->whole || standin_count_down (&crash_streams);
  streams = g_list_prepend (streams, s);
  dl_http_request_on_closed (request, on_stream_closed, s);
  limit_run (request, s, on_stream_time_over);
  dl_http_stream_begin (request, 200, "text/event-stream",
                        response_headers (request, &headers));
  schedule_events (s, event_ms);
}

/* Refuses with STATUS; ID is the request id that the response has, NULL for none. */
static void
refuse_as (DlHttpRequest *request, unsigned status, const char *id)
{
  char seconds[NAME_BYTES];
  char limit[NAME_BYTES];
  DlHttpHeader headers[6] = { { 0 } };
  size_t count = 0;

  if (id != NULL)
    headers[count++] = (DlHttpHeader){ .name = "X-Request-Id", .value = id };
  if (!unmarked)
    headers[count++] = (DlHttpHeader){ .name = "X-Not-Executed", .value = "1" };
  if (leaving)
    headers[count++] = (DlHttpHeader){ .name = "Server-Leaving", .value = "1" };
  if (retry_after_ms > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%.3f", (double)retry_after_ms / MS_PER_S);
      headers[count++] = (DlHttpHeader){ .name = "Retry-After", .value = seconds };
    }
  if (limit_millis > 0)
    headers[count] = limit_header (limit);
  dl_http_reply (request, status, NULL, DL_STR_LITERAL (""), headers);
}

static void
refuse (DlHttpRequest *request, unsigned status)
{
  refuse_as (request, status, header (request, "X-Request-Id"));
}

/* Answers a stream that resumes with an error, or with a success that is no stream. */
static void
reply_error_resumed (DlHttpRequest *request)
{
  char seal[NAME_BYTES];
  const DlHttpHeader headers[]
      = { { .name = "X-Request-Id", .value = header (request, "X-Request-Id") },
          { .name = error_sealed ? "X-Response-Seal" : NULL, .value = seal },
          { 0 } };

  g_snprintf (seal, sizeof seal, "seal-of-i-%" PRIu64, instance);
  dl_http_reply (request, (unsigned)error_resumed, "text/plain",
                 DL_STR_LITERAL ("id: 4\ndata: error text\n\n"), headers);
}

static bool
expectation_fails (DlHttpRequest *request)
{
  const char *expected = dl_http_request_header (request, "X-Expect-Instance");
  const char *weights = dl_http_request_header (request, "X-Expect-Version");
  char own[NAME_BYTES];

  g_snprintf (own, sizeof own, "i-%" PRIu64, instance);
  if (weights != NULL && g_ascii_strtoull (weights, NULL, 10) != staged_version)
    {
      wrong_version++;
      return true;
    }
  return expected != NULL && strcmp (expected, own) != 0;
}

static void
reply_done (DlHttpRequest *request)
{
  ResponseHeaders headers;

  dl_http_reply (request, standin_count_down (&fail) ? 500 : 200, "text/plain",
                 DL_STR_LITERAL ("done"), response_headers (request, &headers));
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
      crash ();
      return;
    }
  dl_http_request_on_closed (request, NULL, NULL);
  plain_runs = g_list_remove (plain_runs, run);
  talloc_free (run);
  reply_done (request);
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
  dl_timer_subscribe (task, run, run->poisoned ? event_ms : ms, 0, on_plain_due, run);
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
  if (standin_count_down (&silent))
    return;
  if (standin_count_down (&old_refusals))
    {
      refuse_as (request, (unsigned)refusal_status, refusal_nameless ? NULL : "earlier");
      return;
    }
  if (error_resumed != 0 && dl_http_request_header (request, "Last-Event-Id") != NULL)
    {
      reply_error_resumed (request);
      return;
    }
  if (standin_count_down (&lose))
    dl_http_abort (request);
  else if (is_stream (request))
    start_stream (request);
  else if (has_crash_body (request)
           || (answer_ms > 0
               && strstr (dl_http_request_path (request), LONG_PART) != NULL))
    start_plain (request, answer_ms);
  else
    reply_done (request);
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

static bool
is_resumed (DlHttpRequest *request)
{
  return dl_http_request_header (request, "Last-Event-Id") != NULL;
}

static void
queue_stream (DlHttpRequest *request, uint64_t wait_ms)
{
  QueuedStream *q = talloc_zero (request, QueuedStream);

  q->request = request;
  queued = g_list_prepend (queued, q);
  dl_http_request_on_closed (request, on_queued_closed, q);
  dl_timer_subscribe (task, q, wait_ms, 0, on_queue_passed, q);
}

static void
run_request (DlHttpRequest *request)
{
  uint64_t wait_ms = is_resumed (request) ? queue_resumed_ms : 0;

  received++;
  count_limited ();
  if (expectation_fails (request))
    {
      refuse (request, 421);
      return;
    }
  count_second ();
  if (staged_is_loading () || is_starting () || standin_count_down (&shed)
      || (is_resumed (request) && standin_count_down (&shed_resumed)))
    {
      refuse (request, 503);
      return;
    }
  wait_ms = MAX (wait_ms, queue_ms);
  if (wait_ms > 0 && is_stream (request))
    queue_stream (request, wait_ms);
  else
    run_now (request);
}

static void
server_changed (void)
{
  VersionLimit limit = { .version = due_version, .from_ms = dl_clock_ms () + due_in_ms };

  if (standin_count_down (&crash_now))
    crash ();
  if (standin_count_down (&lose_weights))
    staged_lose_weights ();
  if (standin_count_down (&recount_second))
    {
      second_most = 0;
      g_array_set_size (second_ms, 0);
    }
  if (standin_count_down (&mend))
    staged_mend ();
  if (due_version == last_due)
    return;
  last_due = due_version;
  if (due_version == 0)
    g_array_set_size (due, 0);
  else
    g_array_append_val (due, limit);
}

static void
server_handle (DlHttpRequest *request)
{
  const char *path = dl_http_request_path (request);

  poisoned += has_crash_part (request);
  poisoned_whole += has_crash_body (request);
  if (dl_clock_ms () < up_from_ms)
    {
      received += !g_str_has_prefix (path, "/-/");
      dl_http_abort (request);
    }
  else if (strcmp (path, "/-/report") == 0 && staged_reports_fail ())
    dl_http_reply_error (request, 503, 0, "no report now");
  else if (strcmp (path, "/-/report") == 0)
    reply_report (request);
  else if (!staged_handle (request))
    run_request (request);
}

static json_object *
server_records (void)
{
  json_object *records = json_object_new_object ();
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
  staged_record (records);
  standin_json_set_uint (records, "running", running);
  standin_json_set_uint (records, "queued", g_list_length (queued));
  standin_json_set_uint (records, "dropped", dropped);
  standin_json_set_uint (records, "outdated_starts", outdated_starts);
  json_object_object_add (records, "outdated", json_object_get (outdated));
  standin_json_set_uint (records, "events_sent", events_sent);
  standin_json_set_uint (records, "crashes", crashes);
  standin_json_set_uint (records, "down", dl_clock_ms () < up_from_ms);
  standin_json_set_uint (records, "limited_most", limited_most);
  standin_json_set_uint (records, "second_most", second_most);
  standin_json_set_uint (records, "poisoned", poisoned);
  standin_json_set_uint (records, "poisoned_whole", poisoned_whole);
  standin_json_set_uint (records, "crashes_whole", crashes_whole);
  standin_json_set_uint (records, "cancelled", cancelled);
  standin_json_set_uint (records, "keys_seen", keys_seen);
  standin_json_set_uint (records, "wrong_version", wrong_version);
  standin_json_set_text (records, "target", last_target != NULL ? last_target : "");
  standin_json_set_text (records, "organisation",
                         last_organisation != NULL ? last_organisation : "");
  standin_json_set_text (records, "body", last_body != NULL ? last_body : "");
  return records;
}

static StandinKind server_kind = {
  .name = "server",
  .knobs = server_knobs,
  .start = server_start,
  .changed = server_changed,
  .handle = server_handle,
  .records = server_records,
};
STANDIN_REGISTER (server_kind)
