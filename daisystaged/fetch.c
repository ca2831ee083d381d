/*
 * Getting chunks from other stagers and the origin, and giving them out.
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "platform.h"
#include "weights.h"

#define CONNECT_TIMEOUT_MS  500
#define PEER_TIMEOUT_MS     1500
#define ORIGIN_TIMEOUT_MS   3000
#define MANIFEST_TIMEOUT_MS 1000
#define MANIFEST_MAX_BYTES  (1u << 20)
#define CHUNK_MAX_BYTES     (1u << 20)
/* Chunks given out at once; more would only slow each other on the host's link. */
#define UPLOADS_MAX        3
#define UPLOAD_CONNECTIONS 200
#define UPLOAD_HEADERS     (2u << 10)
#define UPLOAD_IDLE_S      20
#define STATUS_OK          200
#define STATUS_NOT_FOUND   404
#define STATUS_UNAVAILABLE 503

DL_METRIC (metric_origin,
           DL_METRIC_COUNTER,
           "daisy_stage_origin_bytes_total",
           "Chunk bytes drawn from the origin.")
DL_METRIC (metric_peer,
           DL_METRIC_COUNTER,
           "daisy_stage_peer_bytes_total",
           "Chunk bytes got from other stagers.")
DL_METRIC (metric_given,
           DL_METRIC_COUNTER,
           "daisy_stage_given_bytes_total",
           "Chunk bytes given to other stagers.")

/* -------- the manifest -------- */

static Bundle *
bundle_new (Weights *weights, uint64_t version, const char **digests, unsigned count)
{
  Bundle *b = talloc_zero (weights, Bundle);

  g_assert (b != NULL);
  b->owner = weights;
  b->model = talloc_strdup (b, weights->model);
  b->version = version;
  b->count = count;
  b->digests = talloc_steal (b, digests);
  b->chunks = talloc_zero_array (b, ChunkCopy, count);
  b->plan = dl_fetch_plan_new (b, &(DlFetchPlanOptions){
                                      .host = weights->settings->name,
                                      .region = weights->settings->region,
                                      .model = weights->model,
                                      .version = version,
                                      .chunks = count,
                                      .started_ms = dl_clock_ms (),
                                  });
  return b;
}

static void
on_manifest (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  Weights *weights = data;
  const char **digests = NULL;
  uint64_t version = 0;
  int count = DL_ERR_UNAVAILABLE;

  if (weights->phase != PHASE_MANIFEST)
    return;
  if (result->error == 0 && result->status == STATUS_OK)
    count = platform_read_manifest (weights, result->body, weights->model, &version,
                                    &digests);
  if (count < 0 || (weights->version > 0 && version != weights->version))
    {
      dl_log (DL_EVENT_STAGE_FETCH_FAILED, DL_TEXT ("what", "manifest"),
              DL_UINT ("status", result->status), DL_ERRNO (result->error));
      talloc_free (digests);
      return; /* asked again later */
    }
  weights->bundle = bundle_new (weights, version, digests, (unsigned)count);
  dl_log (DL_EVENT_STAGE_STARTED, DL_TEXT ("model", weights->model),
          DL_UINT ("version", version), DL_INT ("chunks", count));
  weights_enter (weights, weights->recovered ? PHASE_FETCH : PHASE_RECOVER);
  weights_run (weights);
}

void
fetch_manifest (Weights *weights)
{
  if (weights->origin == NULL)
    return;
  platform_call_manifest (weights->client, weights, weights->origin, weights->model,
                          weights->version,
                          &(DlHttpCallOptions){
                              .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                              .timeout_ms = MANIFEST_TIMEOUT_MS,
                              .max_body_bytes = MANIFEST_MAX_BYTES,
                              .on_done = on_manifest,
                              .data = weights,
                          });
}

/* -------- chunks -------- */

typedef struct
{
  Bundle *bundle;
  unsigned index;
  char *peer; /* NULL for the origin */
} Fetch;

bool
fetch_is_genuine (const Bundle *bundle, unsigned index, DlStr bytes)
{
  g_autofree char *digest = g_compute_checksum_for_data (
      G_CHECKSUM_SHA256, (const guchar *)bytes.data, bytes.length);

  return g_ascii_strcasecmp (digest, bundle->digests[index]) == 0;
}

static void
on_chunk_failed (const Fetch *fetch, const DlHttpResult *result, bool spoilt)
{
  uint64_t away_ms
      = result->status == STATUS_UNAVAILABLE ? DL_FETCH_BUSY_MS : DL_FETCH_FAILED_MS;
  const char *source = fetch->peer != NULL ? fetch->peer : "origin";

  if (spoilt)
    dl_log (DL_EVENT_STAGE_CHUNK_BAD, DL_UINT ("chunk", fetch->index),
            DL_TEXT ("source", source));
  else if (result->status != STATUS_UNAVAILABLE)
    dl_log (DL_EVENT_STAGE_FETCH_FAILED, DL_UINT ("chunk", fetch->index),
            DL_TEXT ("source", source), DL_UINT ("status", result->status),
            DL_ERRNO (result->error));
  dl_fetch_plan_failed (fetch->bundle->plan, fetch->index, away_ms, dl_clock_ms ());
}

static void
on_chunk (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  Fetch *fetch = data;
  Bundle *b = fetch->bundle;
  bool whole = result->error == 0 && result->status == STATUS_OK;

  if (whole && fetch_is_genuine (b, fetch->index, result->body))
    {
      dl_metric_add (fetch->peer != NULL ? &metric_peer : &metric_origin,
                     (int64_t)result->body.length);
      weights_chunk_arrived (b, fetch->index, result->body);
    }
  else
    on_chunk_failed (fetch, result, whole);
  talloc_free (fetch);
  weights_run (b->owner);
}

static void
start_fetch (Bundle *b, const DlFetch *next)
{
  Weights *w = b->owner;
  Fetch *fetch = talloc_zero (b, Fetch);
  DlHttpCallOptions options = {
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .timeout_ms = next->peer != NULL ? PEER_TIMEOUT_MS : ORIGIN_TIMEOUT_MS,
    .max_body_bytes = CHUNK_MAX_BYTES,
    .on_done = on_chunk,
    .data = fetch,
  };
  const Neighbour *n;
  char *url;

  fetch->bundle = b;
  fetch->index = next->index;
  if (next->peer == NULL)
    {
      platform_call_chunk (w->client, b, w->origin, b->model, b->version, next->index,
                           &options);
      return;
    }
  fetch->peer = talloc_strdup (fetch, next->peer);
  n = g_hash_table_lookup (w->neighbours, next->peer);
  g_assert (n != NULL);
  url = talloc_asprintf (b, "http://%s/chunk?model=%s&version=%" PRIu64 "&index=%u",
                         n->address, b->model, b->version, next->index);
  options.url = url;
  dl_http_call (w->client, b, &options);
  talloc_free (url);
}

void
fetch_run (Bundle *b)
{
  DlFetch next;

  while (dl_fetch_plan_next (b->plan, dl_clock_ms (), dl_random_uint64 (), &next))
    start_fetch (b, &next);
}

/* -------- giving chunks out -------- */

static uint64_t
query_uint (const DlHttpRequest *http, const char *name)
{
  const char *text = dl_http_request_query (http, name);

  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
}

static void
on_request (DlHttpRequest *http, void *data)
{
  const Weights *w = data;
  const Bundle *b = w->bundle;
  const char *model = dl_http_request_query (http, "model");
  uint64_t index = query_uint (http, "index");

  if (strcmp (dl_http_request_path (http), "/chunk") != 0 || b == NULL || model == NULL
      || strcmp (model, b->model) != 0 || query_uint (http, "version") != b->version
      || index >= b->count || b->chunks[index].bytes.length == 0)
    dl_http_reply_error (http, STATUS_NOT_FOUND, 0, "no such chunk here");
  else if (dl_http_server_running (w->server) > UPLOADS_MAX)
    dl_http_reply_error (http, STATUS_UNAVAILABLE, 0, "busy with other stagers");
  else
    {
      dl_metric_add (&metric_given, (int64_t)b->chunks[index].bytes.length);
      dl_http_reply (http, STATUS_OK, "application/octet-stream", b->chunks[index].bytes,
                     NULL);
    }
}

int
fetch_serve (Weights *weights)
{
  DlHttpLimits limits = DL_HTTP_LIMITS_DEFAULT;

  limits.max_connections = UPLOAD_CONNECTIONS;
  limits.max_header_bytes = UPLOAD_HEADERS;
  limits.idle_timeout_s = UPLOAD_IDLE_S;
  return dl_http_server_new (weights->task, weights, dl_str (weights->settings->address),
                             &limits, on_request, weights, &weights->server);
}
