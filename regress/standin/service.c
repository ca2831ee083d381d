/*
 * The stand-in of a plain service: it runs any request, and counts the runs by key.
 *
 * The key is the header X-Idempotency-Key, or else the start of the body.  The response
 * has the key, the path and the number of the run among those with this key.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "standin.h"

#define KEY_MAX_BYTES 128
#define BLOCK_BYTES   65536
#define RETRY_MS      1000

static uint64_t run_ms;       /* time from the start of a run to its response */
static uint64_t close_before; /* the next N are not run; the connection is closed */
static uint64_t close_after;  /* the next N are run, then the connection is closed */
static uint64_t hang_after;   /* the next N are run without a response ever */
static uint64_t endless;      /* the next N are run, and their response never ends */
static uint64_t capacity;     /* requests that may run at once; 0: no limit */

static DlTask *task;
static GHashTable *runs; /* key to a count */
static uint64_t total;
static uint64_t running;
static uint64_t refused;

static const StandinKnob service_knobs[] = {
  { "run_ms", &run_ms },
  { "close_before", &close_before },
  { "close_after", &close_after },
  { "hang_after", &hang_after },
  { "capacity", &capacity },
  { "endless", &endless },
  { 0 },
};

typedef struct
{
  DlHttpRequest *request;
  char *key;
  uint64_t run; /* its number among those of the key, from 1 */
  DlTimer *timer;
} Run;

static void
service_start (DlTask *standin)
{
  task = standin;
  runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static int
run_destroy (Run *run)
{
  running--;
  return 0;
}

static void
write_block (DlHttpRequest *request, size_t consumed, void *data)
{
  static const char block[BLOCK_BYTES];

  if (dl_http_stream_queued (request) < BLOCK_BYTES)
    dl_http_stream_write (request, dl_str_bytes (block, sizeof block));
}

static void
reply_without_end (DlHttpRequest *request)
{
  dl_http_stream_begin (request, 200, "application/octet-stream", NULL);
  dl_http_stream_on_consumed (request, write_block, NULL);
  write_block (request, 0, NULL);
}

static void
reply (Run *run)
{
  DlHttpRequest *request = run->request;
  json_object *body;

  if (standin_count_down (&close_after))
    {
      dl_http_abort (request);
      return;
    }
  if (standin_count_down (&hang_after))
    return;
  if (standin_count_down (&endless))
    {
      reply_without_end (request);
      return;
    }
  body = json_object_new_object ();
  standin_json_set_text (body, "key", run->key);
  standin_json_set_text (body, "path", dl_http_request_path (request));
  standin_json_set_uint (body, "run", run->run);
  talloc_free (run);
  dl_http_reply_json (request, 200, body);
}

static void
on_ran (DlTimer *timer, void *data)
{
  reply (data);
}

static void
service_handle (DlHttpRequest *request)
{
  const char *header = dl_http_request_header (request, "X-Idempotency-Key");
  DlStr body = dl_http_request_body (request);
  gpointer count;
  Run *run;

  if (capacity > 0 && running >= capacity)
    {
      refused++;
      dl_http_reply_error (request, 503, RETRY_MS, "too many calls at once");
      return;
    }
  if (standin_count_down (&close_before))
    {
      dl_http_abort (request);
      return;
    }
  run = talloc_zero (request, Run);
  run->request = request;
  body.length = MIN (body.length, KEY_MAX_BYTES);
  run->key = header != NULL ? talloc_strdup (run, header) : dl_str_dup (run, body);
  count = g_hash_table_lookup (runs, run->key);
  run->run = GPOINTER_TO_SIZE (count) + 1;
  g_hash_table_replace (runs, g_strdup (run->key), GSIZE_TO_POINTER (run->run));
  total++;
  running++;
  talloc_set_destructor (run, run_destroy);
  if (run_ms > 0)
    run->timer = dl_timer_subscribe (task, run, run_ms, 0, on_ran, run);
  else
    reply (run);
}

static json_object *
service_records (void)
{
  json_object *records = json_object_new_object ();
  json_object *list = json_object_new_object ();
  uint64_t most = 0;
  GHashTableIter iter;
  gpointer key;
  gpointer count;

  g_hash_table_iter_init (&iter, runs);
  while (g_hash_table_iter_next (&iter, &key, &count))
    {
      standin_json_set_uint (list, key, GPOINTER_TO_SIZE (count));
      most = MAX (most, GPOINTER_TO_SIZE (count));
    }
  standin_json_set_uint (records, "total", total);
  standin_json_set_uint (records, "running", running);
  standin_json_set_uint (records, "refused", refused);
  standin_json_set_uint (records, "most_by_key", most);
  json_object_object_add (records, "runs", list);
  return records;
}

static StandinKind service_kind = {
  .name = "service",
  .knobs = service_knobs,
  .start = service_start,
  .handle = service_handle,
  .records = service_records,
};

STANDIN_REGISTER (service_kind)
