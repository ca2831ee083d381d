/*
 * Serves manifests and chunks to other nodes.
 *
 * On an upstream's host chunks share a small link with live responses.  Few chunks are
 * sent at once there, so that an event of a stream queues behind at most that many;
 * further requests for chunks wait here, and beyond a few are refused.
 */
#include "node/chunk_cache_private.h"

#include <string.h>
#include <talloc.h>

#include "kernel/metrics.h"

#define UPLOAD_QUEUE_MAX    4
#define UPLOAD_CONNECTIONS  200
#define UPLOAD_HEADER_BYTES (2u << 10)
#define STATUS_OK           200
#define STATUS_NOT_FOUND    404
#define STATUS_UNAVAILABLE  503

DL_METRIC (metric_served,
           DL_METRIC_COUNTER,
           "daisy_stage_given_bytes_total",
           "Chunk bytes served to other nodes.")

static uint64_t
query_uint (const DlHttpRequest *http, const char *name)
{
  const char *text = dl_http_request_query (http, name);

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
}

static DlBundle *
requested_bundle (const DlChunkCache *cache, const DlHttpRequest *http)
{
  const char *model = dl_http_request_query (http, "model");

  return model != NULL ? dl_chunk_cache_find (cache, model, query_uint (http, "version"))
                       : NULL;
}

/* -------- manifests, with one digest a line -------- */

static void
serve_manifest (const DlChunkCache *cache, DlHttpRequest *http)
{
  const DlBundle *b = requested_bundle (cache, http);
  DlBuffer *text;

  if (b == NULL || b->count == 0)
    {
      dl_http_reply_error (http, STATUS_NOT_FOUND, 0, "no such version here");
      return;
    }
  text = dl_buffer_new (http, 0);
  for (unsigned i = 0; i < b->count; i++)
    dl_buffer_printf (text, "%s\n", b->digests[i]);
  dl_http_reply (http, STATUS_OK, "text/plain", dl_buffer_view (text), NULL);
}

/* -------- chunks -------- */

static void upload_next (DlChunkCache *cache);

static void
on_upload_closed (DlHttpRequest *http, bool answered, void *data)
{
  DlChunkCache *cache = data;

  if (g_queue_remove (&cache->upload_queue, http))
    return; /* it was not being served yet */
  cache->uploads--;
  upload_next (cache);
}

static void
upload (DlChunkCache *cache, DlHttpRequest *http)
{
  const DlBundle *b = requested_bundle (cache, http);
  uint64_t index = query_uint (http, "index");

  cache->uploads++;
  if (b == NULL || index >= b->count || b->chunks[index].length == 0)
    {
      dl_http_reply_error (http, STATUS_NOT_FOUND, 0, "no such chunk here");
      return;
    }
  dl_metric_add (&metric_served, (int64_t)b->chunks[index].length);
  dl_http_reply (http, STATUS_OK, "application/octet-stream", b->chunks[index], NULL);
}

static void
upload_next (DlChunkCache *cache)
{
  DlHttpRequest *http;

  if (cache->uploads >= cache->options.uploads_max)
    return;
  http = g_queue_pop_head (&cache->upload_queue);
  if (http != NULL)
    upload (cache, http);
}

static void
serve_chunk (DlChunkCache *cache, DlHttpRequest *http)
{
  if (g_queue_get_length (&cache->upload_queue) >= UPLOAD_QUEUE_MAX)
    {
      dl_http_reply_error (http, STATUS_UNAVAILABLE, 0, "busy with other nodes");
      return;
    }
  dl_http_request_on_closed (http, on_upload_closed, cache);
  g_queue_push_tail (&cache->upload_queue, http);
  upload_next (cache);
}

static void
on_request (DlHttpRequest *http, void *data)
{
  const char *path = dl_http_request_path (http);

  if (strcmp (path, "/chunk") == 0)
    serve_chunk (data, http);
  else if (strcmp (path, "/manifest") == 0)
    serve_manifest (data, http);
  else
    dl_http_reply_error (http, STATUS_NOT_FOUND, 0, "no such page");
}

int
dl_chunk_cache_start_server (DlChunkCache *cache)
{
  DlHttpLimits limits = DL_HTTP_LIMITS_DEFAULT;

  limits.max_body_bytes = DL_HTTP_NO_BODY_BYTES;
  limits.max_connections = UPLOAD_CONNECTIONS;
  limits.max_header_bytes = UPLOAD_HEADER_BYTES;
  limits.idle_timeout_s = DL_CHUNK_SERVER_IDLE_S;
  g_queue_init (&cache->upload_queue);
  return dl_http_server_new (cache->task, cache,
                             dl_str (cache->options.settings->address), &limits,
                             on_request, cache, &cache->server);
}
