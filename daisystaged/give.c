/*
 * Giving manifests and chunks to other stagers.
 *
 * Live answers share the host's link.  Chunks go out one at a time, so that an event of a
 * stream waits behind one chunk at the most; other stagers' requests wait here meanwhile.
 */
#include <string.h>
#include <talloc.h>

#include "kernel/metrics.h"
#include "weights.h"

#define UPLOADS_WAITING_MAX 3
#define UPLOAD_CONNECTIONS  200
#define UPLOAD_HEADERS      (2u << 10)
#define UPLOAD_IDLE_S       20
#define STATUS_OK           200
#define STATUS_NOT_FOUND    404
#define STATUS_UNAVAILABLE  503

DL_METRIC (metric_given,
           DL_METRIC_COUNTER,
           "daisy_stage_given_bytes_total",
           "Chunk bytes given to other stagers.")

static uint64_t
query_uint (const DlHttpRequest *http, const char *name)
{
  const char *text = dl_http_request_query (http, name);

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
}

static Bundle *
asked_bundle (const Weights *w, const DlHttpRequest *http)
{
  const char *model = dl_http_request_query (http, "model");

  return model != NULL ? weights_find (w, model, query_uint (http, "version")) : NULL;
}

/* -------- manifests: a line for each digest -------- */

static void
give_manifest (const Weights *w, DlHttpRequest *http)
{
  const Bundle *b = asked_bundle (w, http);
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

static void upload_next (Weights *w);

static void
on_upload_closed (DlHttpRequest *http, bool answered, void *data)
{
  Weights *w = data;

  if (g_queue_remove (&w->uploads, http))
    return; /* it was still waiting */
  w->uploading = false;
  upload_next (w);
}

static void
upload (Weights *w, DlHttpRequest *http)
{
  const Bundle *b = asked_bundle (w, http);
  uint64_t index = query_uint (http, "index");

  w->uploading = true;
  if (b == NULL || index >= b->count || b->chunks[index].bytes.length == 0)
    {
      dl_http_reply_error (http, STATUS_NOT_FOUND, 0, "no such chunk here");
      return;
    }
  dl_metric_add (&metric_given, (int64_t)b->chunks[index].bytes.length);
  dl_http_reply (http, STATUS_OK, "application/octet-stream", b->chunks[index].bytes,
                 NULL);
}

static void
upload_next (Weights *w)
{
  DlHttpRequest *http;

  if (w->uploading)
    return;
  http = g_queue_pop_head (&w->uploads);
  if (http != NULL)
    upload (w, http);
}

static void
give_chunk (Weights *w, DlHttpRequest *http)
{
  if (g_queue_get_length (&w->uploads) >= UPLOADS_WAITING_MAX)
    {
      dl_http_reply_error (http, STATUS_UNAVAILABLE, 0, "busy with other stagers");
      return;
    }
  dl_http_request_on_closed (http, on_upload_closed, w);
  g_queue_push_tail (&w->uploads, http);
  upload_next (w);
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
give_start (Weights *w)
{
  DlHttpLimits limits = DL_HTTP_LIMITS_DEFAULT;

  limits.max_connections = UPLOAD_CONNECTIONS;
  limits.max_header_bytes = UPLOAD_HEADERS;
  limits.idle_timeout_s = UPLOAD_IDLE_S;
  g_queue_init (&w->uploads);
  return dl_http_server_new (w->task, w, dl_str (w->settings->address), &limits,
                             on_request, w, &w->server);
}
