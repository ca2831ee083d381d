/*
 * Giving manifests and chunks to other nodes.
 *
 * Live answers share a small host's link.  Few chunks go out at a time there, so that an
 * event of a stream waits behind one at the most; other requests wait here meanwhile.
 */
#include "node/depot_private.h"

#include <string.h>
#include <talloc.h>

#include "kernel/metrics.h"

#define UPLOADS_WAITING_MAX 4
#define UPLOAD_CONNECTIONS  200
#define UPLOAD_HEADERS      (2u << 10)
#define UPLOAD_IDLE_S       20
#define STATUS_OK           200
#define STATUS_NOT_FOUND    404
#define STATUS_UNAVAILABLE  503

DL_METRIC (metric_given,
           DL_METRIC_COUNTER,
           "daisy_stage_given_bytes_total",
           "Chunk bytes given to other nodes.")

static uint64_t
query_uint (const DlHttpRequest *http, const char *name)
{
  const char *text = dl_http_request_query (http, name);

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
}

static DlBundle *
asked_bundle (const DlDepot *depot, const DlHttpRequest *http)
{
  const char *model = dl_http_request_query (http, "model");

  return model != NULL ? dl_depot_find (depot, model, query_uint (http, "version"))
                       : NULL;
}

/* -------- manifests: a line for each digest -------- */

static void
give_manifest (const DlDepot *depot, DlHttpRequest *http)
{
  const DlBundle *b = asked_bundle (depot, http);
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

static void upload_next (DlDepot *depot);

static void
on_upload_closed (DlHttpRequest *http, bool answered, void *data)
{
  DlDepot *depot = data;

  if (g_queue_remove (&depot->waiting, http))
    return; /* it was still waiting */
  depot->giving--;
  upload_next (depot);
}

static void
upload (DlDepot *depot, DlHttpRequest *http)
{
  const DlBundle *b = asked_bundle (depot, http);
  uint64_t index = query_uint (http, "index");

  depot->giving++;
  if (b == NULL || index >= b->count || b->chunks[index].length == 0)
    {
      dl_http_reply_error (http, STATUS_NOT_FOUND, 0, "no such chunk here");
      return;
    }
  dl_metric_add (&metric_given, (int64_t)b->chunks[index].length);
  dl_http_reply (http, STATUS_OK, "application/octet-stream", b->chunks[index], NULL);
}

static void
upload_next (DlDepot *depot)
{
  DlHttpRequest *http;

  if (depot->giving >= depot->options.uploads_max)
    return;
  http = g_queue_pop_head (&depot->waiting);
  if (http != NULL)
    upload (depot, http);
}

static void
give_chunk (DlDepot *depot, DlHttpRequest *http)
{
  if (g_queue_get_length (&depot->waiting) >= UPLOADS_WAITING_MAX)
    {
      dl_http_reply_error (http, STATUS_UNAVAILABLE, 0, "busy with other nodes");
      return;
    }
  dl_http_request_on_closed (http, on_upload_closed, depot);
  g_queue_push_tail (&depot->waiting, http);
  upload_next (depot);
}

static void
on_request (DlHttpRequest *http, void *data)
{
  const char *path = dl_http_request_path (http);

  if (strcmp (path, "/chunk") == 0)
    give_chunk (data, http);
  else if (strcmp (path, "/manifest") == 0)
    give_manifest (data, http);
  else
    dl_http_reply_error (http, STATUS_NOT_FOUND, 0, "no such page");
}

int
dl_depot_give_start (DlDepot *depot)
{
  DlHttpLimits limits = DL_HTTP_LIMITS_DEFAULT;

  limits.max_connections = UPLOAD_CONNECTIONS;
  limits.max_header_bytes = UPLOAD_HEADERS;
  limits.idle_timeout_s = UPLOAD_IDLE_S;
  g_queue_init (&depot->waiting);
  return dl_http_server_new (depot->task, depot,
                             dl_str (depot->options.settings->address), &limits,
                             on_request, depot, &depot->server);
}
