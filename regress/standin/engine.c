/*
 * The model engine's stand-in: streams, a queue by priority, cancel, resume, load orders,
 * prefix cache events and a load that lags.
 *
 * The text of token I is made of the weights that are in memory when it is made, the
 * prompt and I.  While an order loads, the weights are partial: a stream that runs on
 * through a load shows it in its text.
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
#define TAG_BYTES            64 /* of the end of a prompt, in the records */
#define PREFIX_BYTES         256
#define STREAM_HIGH_BYTES    (64u << 10)
#define TEXT_HEX_BYTES       16
#define PARTIAL              "partial"

static uint64_t capacity = CAPACITY_DEFAULT; /* streams at once */
static uint64_t queue_max = QUEUE_DEFAULT;
static uint64_t tokens_per_s = TOKENS_DEFAULT_PER_S; /* of one stream */
static uint64_t prefill_ms;   /* before the first token, unless the prefix is cached */
static uint64_t check_fence;  /* refuse orders with an older fence */
static uint64_t refuse_loads; /* the next N orders are refused */
static uint64_t forget_loads; /* the next N orders are accepted and forgotten */
static uint64_t late_load_ms; /* orders are taken this much after their answer */
static uint64_t load_ms;      /* a load lasts this much longer than its fetches */
static uint64_t state_lag_ms;
static uint64_t cut_streams; /* the next N streams break after half of their tokens */
static uint64_t cache_entries = CACHE_DEFAULT;
static uint64_t cache_gap_percent; /* of cache events that are never told */
static uint64_t cache_late_ms;

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

/* One request; a talloc child of its HTTP request. */
typedef struct
{
  DlHttpRequest *request;
  char *id;
  char *version;
  DlStr prompt;
  DlDigest prompt_digest;
  uint64_t tokens;
  uint64_t next;
  uint64_t priority; /* lower is more urgent */
  bool running;
  bool cut;
  json_object *record; /* borrowed from RUNS */
} Stream;

/* One order in progress. */
typedef struct
{
  char *version;
  char *weights;
  DlManifest *manifest;
  uint32_t next_chunk;
  bool begun;
} Load;

/* A cache event; it is told once its time has come. */
typedef struct
{
  uint64_t id;
  uint64_t told_ms;
  char prefix[DL_DIGEST_HEX_BYTES];
  bool cached;
} CacheEvent;

static DlTask *task;
static DlHttpClient *client;
static char *serving;       /* "" for none */
static const char *weights; /* what is in memory: SERVING, or PARTIAL */
static char *failure;
static uint64_t fence;
static Load *load;
static GQueue queue = G_QUEUE_INIT; /* of Stream */
static GList *streams;              /* that run */
static json_object *runs;           /* array */
static json_object *orders;         /* array */
static GHashTable *never;           /* ids cancelled before they ran */
static GHashTable *begun;           /* ids that ran */
static GQueue cache = G_QUEUE_INIT; /* prefixes, the most recent first */
static GArray *cache_events;
static uint64_t shown_running; /* the lagging load */
static uint64_t shown_queued;
static uint64_t shown_at_ms;

static void
engine_start (DlTask *standin)
{
  task = standin;
  client = dl_http_client_new (task, task);
  serving = talloc_strdup (task, "");
  failure = talloc_strdup (task, "");
  weights = serving;
  runs = json_object_new_array ();
  orders = json_object_new_array ();
  never = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  begun = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
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
tell_cache_event (const char *prefix, bool cached)
{
  CacheEvent event = {
    .id = cache_events->len + 1,
    .told_ms = dl_clock_ms () + cache_late_ms,
    .cached = cached,
  };

  g_strlcpy (event.prefix, prefix, sizeof event.prefix);
  if (standin_chance (cache_gap_percent))
    event.told_ms = UINT64_MAX;
  g_array_append_val (cache_events, event);
}

/* Returns whether the prompt's prefix was cached; it is from now on. */
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
  tell_cache_event (hex, true);
  while (cache.length > cache_entries)
    {
      char *oldest = g_queue_pop_tail (&cache);

      tell_cache_event (oldest, false);
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
      tell_cache_event (prefix, false);
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
  json_object *answer = json_object_new_object ();
  json_object *list = json_object_new_array ();

  dl_str_to_uint64 (dl_str (text), &after);
  last = after;
  for (uint64_t i = after; i < cache_events->len; i++)
    {
      const CacheEvent *event = &g_array_index (cache_events, CacheEvent, i);
      json_object *entry;

      if (event->told_ms != UINT64_MAX && event->told_ms > now)
        break;
      last = event->id;
      if (event->told_ms == UINT64_MAX)
        continue;
      entry = json_object_new_object ();
      standin_json_set_uint (entry, "id", event->id);
      standin_json_set_text (entry, "prefix", event->prefix);
      json_object_object_add (entry, "cached", json_object_new_boolean (event->cached));
      json_object_array_add (list, entry);
    }
  standin_json_set_uint (answer, "last", last);
  json_object_object_add (answer, "events", list);
  dl_http_reply_json (request, 200, answer);
}

/* -------- streams -------- */

static void start_queued (void);

static void
stream_record (Stream *stream, const char *state)
{
  standin_json_set_text (stream->record, "state", state);
  standin_json_set_uint (stream->record, "end", stream->next);
}

/* The HTTP request is over: answered in full, cancelled, or its caller went away. */
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
  stream->cut = standin_take (&cut_streams);
  streams = g_list_prepend (streams, stream);
  g_hash_table_add (begun, g_strdup (stream->id));
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

  return x->priority <= y->priority ? -1 : 1; /* equals in order of arrival */
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
  else if (g_hash_table_contains (never, id))
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
  json_object *answer;
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
  if (!g_hash_table_contains (begun, id))
    g_hash_table_add (never, g_strdup (id));
  answer = json_object_new_object ();
  json_object_object_add (answer, "ran",
                          json_object_new_boolean (g_hash_table_contains (begun, id)));
  dl_http_reply_json (request, 200, answer);
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

/* Returns the reason why the blob is wrong, or NULL. */
static const char *
take_blob (DlStr body)
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
    reason = take_blob (result->body);
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
load_begin (void)
{
  load->begun = true;
  set_text (&serving, "");
  set_text (&failure, "");
  weights = PARTIAL;
  cache_clear ();
  fetch_next ();
}

static void
on_late_load (DlTimer *timer, void *data)
{
  talloc_free (timer);
  load_begin ();
}

static void
record_order (json_object *body, const char *verdict)
{
  json_object *order = json_object_new_object ();

  standin_json_set_text (order, "version", standin_json_text (body, "version"));
  standin_json_set_uint (order, "fence", standin_json_uint (body, "fence"));
  standin_json_set_text (order, "verdict", verdict);
  standin_json_set_uint (order, "running", g_list_length (streams));
  json_object_array_add (orders, order);
}

/* Takes the order over from one that may be in progress. */
static void
take_order (json_object *body)
{
  const char *version = standin_json_text (body, "version");

  fence = MAX (fence, standin_json_uint (body, "fence"));
  if (load == NULL && strcmp (version, serving) == 0)
    {
      record_order (body, "served");
      return;
    }
  record_order (body, late_load_ms > 0 ? "late" : "taken");
  talloc_free (load);
  load = talloc_zero (task, Load);
  load->version = talloc_strdup (load, version);
  load->weights = talloc_strdup (load, standin_json_text (body, "weights"));
  if (late_load_ms > 0)
    dl_timer_subscribe (task, load, late_load_ms, 0, on_late_load, NULL);
  else
    load_begin ();
}

static void
handle_load (DlHttpRequest *request)
{
  json_object *body = standin_body (request);

  if (body == NULL)
    return;
  if (check_fence > 0 && standin_json_uint (body, "fence") < fence)
    {
      record_order (body, "fenced");
      dl_http_reply_error (request, 409, 0, "the fence is older than %" PRIu64, fence);
    }
  else if (standin_take (&refuse_loads))
    {
      record_order (body, "refused");
      dl_http_reply_error (request, 503, RETRY_MS, "refused for now");
    }
  else
    {
      if (standin_take (&forget_loads))
        record_order (body, "forgotten");
      else
        take_order (body);
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
                         load != NULL && load->begun ? load->version : "");
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

  if (now >= shown_at_ms + state_lag_ms)
    {
      shown_running = g_list_length (streams);
      shown_queued = queue.length;
      shown_at_ms = now;
    }
  dl_http_reply_json (request, 200, state_json (shown_running, shown_queued));
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
  json_object_object_add (records, "orders", json_object_get (orders));
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
