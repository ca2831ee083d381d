/*
 * The stand-in of a model engine: token streams, a queue by priority, cancellation,
 * resumption, load commands, events of the prefix cache, and a reported load that lags.
 *
 * The text of a token is a digest of the weights in memory at that time, the prompt and
 * the token's number.  During a load the weights are "partial", so that a stream that
 * wrongly continues through a load shows it in its text.
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/http_client.h"
#include "kernel/manifest.h"
#include "standin.h"

#define CAPACITY_DEFAULT     16
#define QUEUE_DEFAULT        64
#define TOKENS_DEFAULT_PER_S 200
#define CACHE_DEFAULT        64
#define FETCH_TIMEOUT_MS     10000
#define RETRY_MS             500
#define TOKENS_MAX           100000
#define TAG_BYTES            64 /* how much of a prompt's end the records show */
#define PREFIX_BYTES         256
#define STREAM_HIGH_BYTES    (64u << 10)
#define TEXT_HEX_BYTES       16
#define PARTIAL              "partial"

static uint64_t capacity = CAPACITY_DEFAULT; /* streams that run at once */
static uint64_t queue_max = QUEUE_DEFAULT;
static uint64_t tokens_per_s = TOKENS_DEFAULT_PER_S; /* of one stream */
static uint64_t prefill_ms;   /* before the first token, unless the prefix is cached */
static uint64_t check_fence;  /* 1: refuse load commands with an older fence */
static uint64_t refuse_loads; /* the next N load commands are refused */
static uint64_t forget_loads; /* the next N load commands are accepted and ignored */
static uint64_t late_load_ms; /* a load starts this long after its command */
static uint64_t load_ms;      /* time that a load takes after its fetches */
static uint64_t state_lag_ms; /* minimal age at which the reported load is renewed */
static uint64_t cut_streams;  /* the next N streams break after half of their tokens */
static uint64_t cache_entries = CACHE_DEFAULT;
static uint64_t cache_gap_percent; /* cache events never reported */
static uint64_t cache_late_ms;     /* delay of cache events */

static const StandinKnob engine_knobs[] = {
  { "capacity", &capacity },
  { "queue_max", &queue_max },
  { "tokens_per_s", &tokens_per_s },
  { "prefill_ms", &prefill_ms },
  { "check_fence", &check_fence },
  { "refuse_loads", &refuse_loads },
  { "forget_loads", &forget_loads },
  { "late_load_ms", &late_load_ms },
  { "load_ms", &load_ms },
  { "state_lag_ms", &state_lag_ms },
  { "cut_streams", &cut_streams },
  { "cache_entries", &cache_entries },
  { "cache_gap_percent", &cache_gap_percent },
  { "cache_late_ms", &cache_late_ms },
  { 0 },
};

/* A request for tokens; a talloc child of its HTTP request. */
typedef struct
{
  DlHttpRequest *request;
  char *id;
  char *version;
  DlStr prompt;
  DlDigest prompt_digest;
  uint64_t tokens;
  uint64_t next;     /* number of the next token */
  uint64_t priority; /* lower is more urgent */
  bool running;
  bool cut;            /* breaks off after half of its tokens */
  json_object *record; /* owned by RUNS */
} Stream;

/* A load command in progress. */
typedef struct
{
  char *version;
  char *weights;        /* prefix of the URLs of blobs */
  DlManifest *manifest; /* NULL until fetched */
  uint32_t next_chunk;
  bool started; /* the old weights are gone */
} Load;

/* An event of the prefix cache. */
typedef struct
{
  uint64_t id;
  uint64_t report_ms; /* reported from then on; UINT64_MAX: never */
  char prefix[DL_DIGEST_HEX_BYTES];
  bool cached;
} CacheEvent;

static DlTask *task;
static DlHttpClient *client;
static char *serving;       /* version that is served; "" for none */
static const char *weights; /* what is in memory: SERVING, or PARTIAL */
static char *failure;       /* of the last load; "" for none */
static uint64_t fence;      /* highest of the accepted load commands */
static Load *load;
static GQueue queue = G_QUEUE_INIT; /* of Stream, most urgent first */
static GList *streams;              /* of Stream that run */
static json_object *runs;           /* array of streams that ran */
static json_object *load_commands;  /* array of load commands */
static GHashTable *cancelled_ids;   /* ids of requests not to run any more */
static GHashTable *started_ids;     /* ids of requests that ran */
static GQueue cache = G_QUEUE_INIT; /* of prefix digests, latest first */
static GArray *cache_events;
/* The load as it is reported, which lags. */
static uint64_t reported_running;
static uint64_t reported_queued;
static uint64_t reported_at_ms;

static void
engine_start (DlTask *standin)
{
  task = standin;
  client = dl_http_client_new (task, task);
  serving = talloc_strdup (task, "");
  failure = talloc_strdup (task, "");
  weights = serving;
  runs = json_object_new_array ();
  load_commands = json_object_new_array ();
  cancelled_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  started_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cache_events = g_array_new (FALSE, TRUE, sizeof (CacheEvent));
}

static void
set_text (char **text, const char *value)
{
  talloc_free (*text);
  *text = talloc_strdup (task, value);
}

/* -------- the prefix cache -------- */

static void
add_cache_event (const char *prefix, bool cached)
{
  CacheEvent event = {
    .id = cache_events->len + 1,
    .report_ms = dl_clock_ms () + cache_late_ms,
    .cached = cached,
  };

  g_strlcpy (event.prefix, prefix, sizeof event.prefix);
  if (standin_chance (cache_gap_percent))
    event.report_ms = UINT64_MAX;
  g_array_append_val (cache_events, event);
}

/* Returns whether the prompt's prefix was cached, and caches it. */
static bool
cache_use (DlStr prompt)
{
  DlDigest digest
      = dl_digest (dl_str_bytes (prompt.data, MIN (prompt.length, (size_t)PREFIX_BYTES)));
  char hex[DL_DIGEST_HEX_BYTES];
  GList *found;

  dl_digest_to_hex (&digest, hex);
  found = g_queue_find_custom (&cache, hex, (GCompareFunc)strcmp);
  if (found != NULL)
    {
      g_queue_unlink (&cache, found);
      g_queue_push_head_link (&cache, found);
      return true;
    }
  g_queue_push_head (&cache, g_strdup (hex));
  add_cache_event (hex, true);
  while (cache.length > cache_entries)
    {
      char *oldest = g_queue_pop_tail (&cache);

      add_cache_event (oldest, false);
      g_free (oldest);
    }
  return false;
}

static void
cache_clear (void)
{
  char *prefix;

  while ((prefix = g_queue_pop_head (&cache)) != NULL)
    {
      add_cache_event (prefix, false);
      g_free (prefix);
    }
}

static void
handle_cache_events (DlHttpRequest *request)
{
  const char *text = dl_http_request_query (request, "after");
  uint64_t after = 0;
  uint64_t now = dl_clock_ms ();
  uint64_t last;
  json_object *response = json_object_new_object ();
  json_object *list = json_object_new_array ();

  dl_str_to_uint64 (dl_str (text), &after);
  last = after;
  for (uint64_t i = after; i < cache_events->len; i++)
    {
      const CacheEvent *event = &g_array_index (cache_events, CacheEvent, i);
      json_object *entry;

      if (event->report_ms != UINT64_MAX && event->report_ms > now)
        break;
      last = event->id;
      if (event->report_ms == UINT64_MAX)
        continue;
      entry = json_object_new_object ();
      standin_json_set_uint (entry, "id", event->id);
      standin_json_set_text (entry, "prefix", event->prefix);
      json_object_object_add (entry, "cached", json_object_new_boolean (event->cached));
      json_object_array_add (list, entry);
    }
  standin_json_set_uint (response, "last", last);
  json_object_object_add (response, "events", list);
  dl_http_reply_json (request, 200, response);
}

/* -------- streams -------- */

static void start_queued (void);

static void
stream_record (Stream *stream, const char *state)
{
  standin_json_set_text (stream->record, "state", state);
  standin_json_set_uint (stream->record, "end", stream->next);
}

/* Runs when the stream is over: sent in full, cancelled, or its caller disconnected. */
static int
stream_destroy (Stream *stream)
{
  if (stream->running)
    {
      streams = g_list_remove (streams, stream);
      if (strcmp (standin_json_text (stream->record, "state"), "running") == 0)
        stream_record (stream, "caller gone");
    }
  else
    g_queue_remove (&queue, stream);
  return 0;
}

static void
stream_finish (Stream *stream, const char *state, bool complete)
{
  DlHttpRequest *request = stream->request;

  stream_record (stream, state);
  talloc_free (stream);
  dl_http_stream_end (request, complete);
  start_queued ();
}

static void
stream_write_token (Stream *stream)
{
  char hex[DL_DIGEST_HEX_BYTES];
  char line[256];
  char prompt_hex[DL_DIGEST_HEX_BYTES];
  DlDigest digest;

  dl_digest_to_hex (&stream->prompt_digest, prompt_hex);
  g_snprintf (line, sizeof line, "%s\n%s\n%" PRIu64, weights, prompt_hex, stream->next);
  digest = dl_digest (dl_str (line));
  dl_digest_to_hex (&digest, hex);
  g_snprintf (line, sizeof line, "{\"token\": %" PRIu64 ", \"text\": \"%.*s\"}\n",
              stream->next, TEXT_HEX_BYTES, hex);
  dl_http_stream_write (stream->request, dl_str (line));
  stream->next++;
  standin_json_set_uint (stream->record, "end", stream->next);
}

static void
on_stream_tick (DlTimer *timer, void *data)
{
  Stream *stream = data;
  uint64_t count = MAX (tokens_per_s / 1000, 1);
  char line[64];

  if (dl_http_stream_queued (stream->request) > STREAM_HIGH_BYTES)
    return;
  while (count-- > 0 && stream->next < stream->tokens)
    {
      stream_write_token (stream);
      if (stream->cut && stream->next >= stream->tokens / 2)
        {
          stream_finish (stream, "cut", false);
          return;
        }
    }
  if (stream->next < stream->tokens)
    return;
  g_snprintf (line, sizeof line, "{\"done\": true, \"tokens\": %" PRIu64 "}\n",
              stream->tokens);
  dl_http_stream_write (stream->request, dl_str (line));
  stream_finish (stream, "done", true);
}

static void
stream_run (Stream *stream)
{
  uint64_t period = 1000 / CLAMP (tokens_per_s, 1, 1000);
  uint64_t first = cache_use (stream->prompt) ? 0 : prefill_ms;
  const char *prompt = stream->prompt.data;
  size_t length = stream->prompt.length;
  char tag[TAG_BYTES + 1];

  g_strlcpy (tag, prompt + length - MIN (length, TAG_BYTES), sizeof tag);
  stream->running = true;
  stream->cut = standin_count_down (&cut_streams);
  streams = g_list_prepend (streams, stream);
  g_hash_table_add (started_ids, g_strdup (stream->id));
  stream->record = json_object_new_object ();
  standin_json_set_text (stream->record, "id", stream->id);
  standin_json_set_text (stream->record, "tag", tag);
  standin_json_set_text (stream->record, "version", serving);
  standin_json_set_uint (stream->record, "from", stream->next);
  stream_record (stream, "running");
  json_object_array_add (runs, stream->record);
  dl_http_stream_begin (stream->request, 200, "application/jsonl",
                        (const DlHttpHeader[]){ { "X-Version", serving }, { 0 } });
  dl_timer_subscribe (task, stream, first + period, period, on_stream_tick, stream);
}

static gint
compare_priority (gconstpointer a, gconstpointer b, gpointer data)
{
  const Stream *x = a;
  const Stream *y = b;

  return x->priority <= y->priority ? -1 : 1; /* equal priorities in order of arrival */
}

static void
refuse_version (DlHttpRequest *request)
{
  dl_http_reply_error (request, 409, 0, "this engine serves \"%s\"", serving);
}

static void
start_queued (void)
{
  while (queue.length > 0 && g_list_length (streams) < capacity)
    {
      Stream *stream = g_queue_pop_head (&queue);

      if (strcmp (stream->version, serving) == 0)
        stream_run (stream);
      else
        {
          DlHttpRequest *request = stream->request;

          talloc_free (stream);
          refuse_version (request);
        }
    }
}

static void
enqueue (DlHttpRequest *request, json_object *body, const char *id)
{
  Stream *stream = talloc_zero (request, Stream);
  const char *prompt = standin_json_text (body, "prompt");

  stream->request = request;
  stream->id = talloc_strdup (stream, id);
  stream->version = talloc_strdup (stream, serving);
  stream->prompt = dl_str (talloc_strdup (stream, prompt));
  stream->prompt_digest = dl_digest (stream->prompt);
  stream->tokens = standin_json_uint (body, "tokens");
  stream->next = standin_json_uint (body, "resume_from");
  stream->priority = standin_json_uint (body, "priority");
  talloc_set_destructor (stream, stream_destroy);
  g_queue_insert_sorted (&queue, stream, compare_priority, NULL);
  start_queued ();
}

static void
handle_generate (DlHttpRequest *request)
{
  const char *id = dl_http_request_header (request, "X-Request-Id");
  json_object *body = standin_body (request);
  const char *version;

  if (body == NULL)
    return;
  version = standin_json_text (body, "version");
  if (id == NULL || standin_json_uint (body, "tokens") > TOKENS_MAX)
    dl_http_reply_error (request, 400, 0, "no X-Request-Id, or too many tokens");
  else if (g_hash_table_contains (cancelled_ids, id))
    dl_http_reply_error (request, 503, RETRY_MS, "cancelled");
  else if (*serving == '\0' || (*version != '\0' && strcmp (version, serving) != 0))
    refuse_version (request);
  else if (queue.length >= queue_max && g_list_length (streams) >= capacity)
    dl_http_reply_error (request, 503, RETRY_MS, "the queue is full");
  else
    enqueue (request, body, id);
  json_object_put (body);
}

static gint
compare_id (gconstpointer stream, gconstpointer id)
{
  return strcmp (((const Stream *)stream)->id, id);
}

static void
handle_cancel (DlHttpRequest *request)
{
  json_object *body = standin_body (request);
  json_object *response;
  const char *id;
  GList *found;

  if (body == NULL)
    return;
  id = standin_json_text (body, "request_id");
  if ((found = g_list_find_custom (streams, id, compare_id)) != NULL)
    stream_finish (found->data, "cancelled", false);
  else if ((found = g_queue_find_custom (&queue, id, compare_id)) != NULL)
    {
      Stream *stream = found->data;
      DlHttpRequest *waiting = stream->request;

      talloc_free (stream);
      dl_http_reply_error (waiting, 503, RETRY_MS, "cancelled");
    }
  if (!g_hash_table_contains (started_ids, id))
    g_hash_table_add (cancelled_ids, g_strdup (id));
  response = json_object_new_object ();
  json_object_object_add (response, "ran",
                          json_object_new_boolean (
                              g_hash_table_contains (started_ids, id)));
  dl_http_reply_json (request, 200, response);
  json_object_put (body);
}

/* -------- loading -------- */

static void fetch_next (void);

static void
load_fail (const char *reason)
{
  set_text (&failure, reason);
  TALLOC_FREE (load);
}

static void
on_loaded (DlTimer *timer, void *data)
{
  set_text (&serving, load->version);
  set_text (&failure, "");
  weights = serving;
  TALLOC_FREE (load);
}

/* Verifies the manifest, or else the next chunk.  Returns NULL, or why it is invalid. */
static const char *
accept_blob (DlStr body)
{
  DlDigest digest = dl_digest (body);
  char *error = NULL;
  char hex[DL_DIGEST_HEX_BYTES];

  dl_digest_to_hex (&digest, hex);
  if (load->manifest != NULL)
    {
      bool same = dl_digest_equal (&digest, &load->manifest->chunks[load->next_chunk++]);

      return same ? NULL : "a chunk does not match its digest";
    }
  if (strcmp (hex, load->version) != 0)
    return "the manifest does not match its digest";
  return dl_manifest_parse (load, body, &load->manifest, &error) < 0
             ? "the manifest is malformed"
             : NULL;
}

static void
on_blob (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  const char *reason = "the weights cannot be read";

  if (result->error == 0 && result->status == 200)
    reason = accept_blob (result->body);
  if (reason != NULL)
    load_fail (reason);
  else if (load->next_chunk < load->manifest->chunk_count)
    fetch_next ();
  else
    dl_timer_subscribe (task, load, load_ms, 0, on_loaded, NULL);
}

static void
fetch_next (void)
{
  char hex[DL_DIGEST_HEX_BYTES];
  char *url;

  if (load->manifest != NULL)
    dl_digest_to_hex (&load->manifest->chunks[load->next_chunk], hex);
  url = talloc_asprintf (load, "%s%s", load->weights,
                         load->manifest != NULL ? hex : load->version);
  dl_http_call (client, load,
                &(DlHttpCallOptions){
                    .url = url,
                    .timeout_ms = FETCH_TIMEOUT_MS,
                    .max_body_bytes = DL_CHUNK_MAX_BYTES,
                    .on_done = on_blob,
                });
  talloc_free (url);
}

static void
load_start (void)
{
  load->started = true;
  set_text (&serving, "");
  set_text (&failure, "");
  weights = PARTIAL;
  cache_clear ();
  fetch_next ();
}

static void
on_load_delay (DlTimer *timer, void *data)
{
  talloc_free (timer);
  load_start ();
}

static void
record_load_command (json_object *body, const char *outcome)
{
  json_object *command = json_object_new_object ();

  standin_json_set_text (command, "version", standin_json_text (body, "version"));
  standin_json_set_uint (command, "fence", standin_json_uint (body, "fence"));
  standin_json_set_text (command, "verdict", outcome);
  standin_json_set_uint (command, "running", g_list_length (streams));
  json_object_array_add (load_commands, command);
}

/* Starts the load that BODY commands and abandons one in progress. */
static void
accept_load_command (json_object *body)
{
  const char *version = standin_json_text (body, "version");

  fence = MAX (fence, standin_json_uint (body, "fence"));
  if (load == NULL && strcmp (version, serving) == 0)
    {
      record_load_command (body, "served");
      return;
    }
  record_load_command (body, late_load_ms > 0 ? "late" : "taken");
  talloc_free (load);
  load = talloc_zero (task, Load);
  load->version = talloc_strdup (load, version);
  load->weights = talloc_strdup (load, standin_json_text (body, "weights"));
  if (late_load_ms > 0)
    dl_timer_subscribe (task, load, late_load_ms, 0, on_load_delay, NULL);
  else
    load_start ();
}

static void
handle_load (DlHttpRequest *request)
{
  json_object *body = standin_body (request);

  if (body == NULL)
    return;
  if (check_fence > 0 && standin_json_uint (body, "fence") < fence)
    {
      record_load_command (body, "fenced");
      dl_http_reply_error (request, 409, 0, "the fence is older than %" PRIu64, fence);
    }
  else if (standin_count_down (&refuse_loads))
    {
      record_load_command (body, "refused");
      dl_http_reply_error (request, 503, RETRY_MS, "refused for now");
    }
  else
    {
      if (standin_count_down (&forget_loads))
        record_load_command (body, "forgotten");
      else
        accept_load_command (body);
      standin_reply_status (request, 202);
    }
  json_object_put (body);
}

/* -------- the kind -------- */

static json_object *
state_json (uint64_t running, uint64_t queued)
{
  json_object *state = json_object_new_object ();

  standin_json_set_text (state, "serving", serving);
  standin_json_set_text (state, "loading",
                         load != NULL && load->started ? load->version : "");
  standin_json_set_uint (state, "fence", fence);
  standin_json_set_uint (state, "running", running);
  standin_json_set_uint (state, "queued", queued);
  standin_json_set_uint (state, "capacity", capacity);
  standin_json_set_text (state, "failure", failure);
  return state;
}

static void
handle_state (DlHttpRequest *request)
{
  uint64_t now = dl_clock_ms ();

  if (now >= reported_at_ms + state_lag_ms)
    {
      reported_running = g_list_length (streams);
      reported_queued = queue.length;
      reported_at_ms = now;
    }
  dl_http_reply_json (request, 200, state_json (reported_running, reported_queued));
}

static void
engine_handle (DlHttpRequest *request)
{
  const char *path = dl_http_request_path (request);
  bool post = strcmp (dl_http_request_method (request), "POST") == 0;

  if (!post && strcmp (path, "/v1/state") == 0)
    handle_state (request);
  else if (!post && strcmp (path, "/v1/cache-events") == 0)
    handle_cache_events (request);
  else if (post && strcmp (path, "/v1/generate") == 0)
    handle_generate (request);
  else if (post && strcmp (path, "/v1/cancel") == 0)
    handle_cancel (request);
  else if (post && strcmp (path, "/v1/load") == 0)
    handle_load (request);
  else
    standin_reply_status (request, 404);
}

static json_object *
engine_records (void)
{
  json_object *records = state_json (g_list_length (streams), queue.length);

  json_object_object_add (records, "runs", json_object_get (runs));
  json_object_object_add (records, "orders", json_object_get (load_commands));
  return records;
}

static StandinKind engine_kind = {
  .name = "engine",
  .knobs = engine_knobs,
  .start = engine_start,
  .handle = engine_handle,
  .records = engine_records,
};

STANDIN_REGISTER (engine_kind)
