/*
 * Fetches chunks from other nodes and the origin.
 */
#include "node/chunk_cache_private.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

#define PEER_TIMEOUT_MS   1500
#define ORIGIN_TIMEOUT_MS 3000
#define CHUNK_MAX_BYTES   (1u << 20)
/* Callers' requests reach an upstream over the same link as chunks.  A small receive
 * buffer bounds how many bytes of a chunk can be queued ahead of a request. */
#define RECEIVE_BUFFER_BYTES (8u << 10)
#define STATUS_UNAVAILABLE   503

DL_METRIC (metric_origin,
           DL_METRIC_COUNTER,
           "daisy_stage_origin_bytes_total",
           "Chunk bytes fetched from the origin.")
DL_METRIC (metric_peer,
           DL_METRIC_COUNTER,
           "daisy_stage_peer_bytes_total",
           "Chunk bytes fetched from other nodes.")

typedef struct
{
  DlBundle *bundle;
  unsigned index;
  char *peer; /* NULL for the origin */
} Fetch;

static void
on_chunk_failed (const Fetch *fetch, const DlHttpResult *result, bool corrupt)
{
  uint64_t backoff_ms = DL_FETCH_FAILED_BACKOFF_MS;
  const char *source = fetch->peer != NULL ? fetch->peer : "origin";

  if (fetch->peer == NULL)
    backoff_ms = DL_FETCH_ORIGIN_BACKOFF_MS;
  else if (result->status == STATUS_UNAVAILABLE)
    backoff_ms = DL_FETCH_BUSY_BACKOFF_MS;
  if (corrupt)
    dl_log (DL_EVENT_STAGE_CHUNK_BAD, DL_UINT ("chunk", fetch->index),
            DL_TEXT ("source", source));
  else if (result->status != STATUS_UNAVAILABLE)
    dl_log (DL_EVENT_STAGE_FETCH_FAILED, DL_UINT ("chunk", fetch->index),
            DL_TEXT ("source", source), DL_UINT ("status", result->status),
            DL_ERRNO (result->error));
  dl_fetch_plan_failed (fetch->bundle->plan, fetch->index, backoff_ms, dl_clock_ms ());
}

static void
on_chunk (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  Fetch *fetch = data;
  DlBundle *b = fetch->bundle;
  bool received = result->error == 0 && result->status == DL_CHUNK_STATUS_OK;

  if (received && dl_bundle_verify_chunk (b, fetch->index, result->body))
    {
      dl_metric_add (fetch->peer != NULL ? &metric_peer : &metric_origin,
                     (int64_t)result->body.length);
      dl_bundle_add_chunk (b, fetch->index, result->body);
    }
  else
    {
      on_chunk_failed (fetch, result, received);
      if (received)
        dl_bundle_check_manifest (b, fetch->index, result->body, fetch->peer);
    }
  talloc_free (fetch);
  b->cache->options.on_progress (b->cache->options.data);
}

static void
start_fetch (DlBundle *b, const DlFetch *next)
{
  DlChunkCache *cache = b->cache;
  Fetch *fetch = talloc_zero (b, Fetch);
  DlHttpCallOptions options = {
    .connect_timeout_ms = DL_CHUNK_CONNECT_TIMEOUT_MS,
    .timeout_ms = next->peer != NULL ? PEER_TIMEOUT_MS : ORIGIN_TIMEOUT_MS,
    .max_body_bytes = CHUNK_MAX_BYTES,
    .max_idle_s = DL_CHUNK_CLIENT_IDLE_S,
    .receive_buffer_bytes = cache->options.is_hub ? 0 : RECEIVE_BUFFER_BYTES,
    .on_done = on_chunk,
    .data = fetch,
  };
  const DlKnownHolder *h;
  char *url;

  fetch->bundle = b;
  fetch->index = next->index;
  if (next->peer == NULL)
    {
      options.single_use = true;
      cache->options.origin->chunk (cache->client, b, cache->origin, b->model, b->version,
                                    next->index, &options);
      return;
    }
  fetch->peer = talloc_strdup (fetch, next->peer);
  h = g_hash_table_lookup (cache->holders, next->peer);
  g_assert (h != NULL);
  url = talloc_asprintf (b, "http://%s/chunk?model=%s&version=%" PRIu64 "&index=%u",
                         h->holder.address, b->model, b->version, next->index);
  options.url = url;
  dl_http_call (cache->client, b, &options);
  talloc_free (url);
}

void
dl_bundle_fetch_chunks (DlBundle *b)
{
  DlFetch next;

  if (b->cache->origin == NULL)
    return;
  while (dl_fetch_plan_next (b->plan, dl_clock_ms (), dl_random_uint64 (), &next))
    start_fetch (b, &next);
}
