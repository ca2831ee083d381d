/*
 * Fetches manifests and chunks from other nodes and the origin.
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

#define CONNECT_TIMEOUT_MS  500
#define PEER_TIMEOUT_MS     1500
#define ORIGIN_TIMEOUT_MS   3000
#define MANIFEST_TIMEOUT_MS 900
#define MANIFEST_MAX_BYTES  (1u << 20)
#define MANIFEST_CHUNKS_MAX 65536
#define CHUNK_MAX_BYTES     (1u << 20)
/* Callers' requests reach an upstream over the same link as chunks.  A small receive
 * buffer bounds how many bytes of a chunk can be queued ahead of a request. */
#define RECEIVE_BUFFER_BYTES (8u << 10)
#define STATUS_OK            200
#define STATUS_UNAVAILABLE   503

DL_METRIC (metric_origin,
           DL_METRIC_COUNTER,
           "daisy_stage_origin_bytes_total",
           "Chunk bytes fetched from the origin.")
DL_METRIC (metric_peer,
           DL_METRIC_COUNTER,
           "daisy_stage_peer_bytes_total",
           "Chunk bytes fetched from other nodes.")

/* -------- the manifest -------- */

static void
log_manifest_failure (const DlBundle *b, const DlHttpResult *result, const char *source)
{
  dl_log (DL_EVENT_STAGE_FETCH_FAILED, DL_TEXT ("what", "manifest"),
          DL_UINT ("version", b->version), DL_TEXT ("source", source),
          DL_UINT ("status", result->status), DL_ERRNO (result->error));
}

static void
on_origin_manifest (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  DlBundle *b = data;
  const char **digests = NULL;
  uint64_t version = 0;
  int count = DL_ERR_UNAVAILABLE;

  if (b->count > 0)
    return;
  if (result->error == 0 && result->status == STATUS_OK)
    count = b->cache->options.origin->read_manifest (b, result->body, b->model, &version,
                                                     &digests);
  if (count < 0 || (b->version > 0 && version != b->version))
    {
      talloc_free (digests);
      log_manifest_failure (b, result, "origin");
      return;
    }
  b->version = version;
  dl_bundle_set_manifest (b, digests, (unsigned)count);
}

/* Splits TEXT, which has one digest a line.  Returns NULL when the last line is not ended
 * or there are too many. */
static const char **
split_lines (const void *context, DlStr text, unsigned *count)
{
  const char **lines = talloc_zero_array (context, const char *, MANIFEST_CHUNKS_MAX);
  const char *end = text.data + text.length;
  const char *newline;

  *count = 0;
  for (const char *at = text.data; at < end; at = newline + 1)
    {
      newline = memchr (at, '\n', (size_t)(end - at));
      if (newline == NULL || *count == MANIFEST_CHUNKS_MAX)
        {
          talloc_free (lines);
          return NULL;
        }
      lines[(*count)++] = dl_str_dup (lines, dl_str_bytes (at, (size_t)(newline - at)));
    }
  return lines;
}

static void
on_peer_manifest (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  DlBundle *b = data;
  const char **digests = NULL;
  unsigned count = 0;

  if (b->count > 0)
    return;
  if (result->error == 0 && result->status == STATUS_OK)
    digests = split_lines (b, result->body, &count);
  if (count == 0)
    {
      talloc_free (digests);
      log_manifest_failure (b, result, "another node");
      return;
    }
  dl_bundle_set_manifest (b, digests, count);
}

/* The newest version of the bundle's model that any hub holds; 0 for none. */
static uint64_t
newest_hub_version (const DlBundle *b)
{
  uint64_t newest = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->cache->holders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DlHolder *h = &((const DlKnownHolder *)value)->holder;

      for (size_t i = 0; h->is_hub && i < h->holdings.count; i++)
        if (strcmp (h->holdings.items[i].model, b->model) == 0)
          newest = MAX (newest, h->holdings.items[i].version);
    }
  return newest;
}

/* A holder of chunks of the version, which has the manifest as well: a hub of this region
 * if there is one.  NULL for none. */
static const DlHolder *
manifest_holder (const DlBundle *b)
{
  const DlHolder *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->cache->holders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DlHolder *h = &((const DlKnownHolder *)value)->holder;
      bool same_region = strcmp (h->region, b->cache->options.settings->region) == 0;

      if (dl_bundle_chunks_at (b, h).length > 0
          && (best == NULL || (same_region && h->is_hub)))
        best = h;
    }
  return best;
}

static void
request_from_holder (DlBundle *b,
                     const DlHolder *holder,
                     const DlHttpCallOptions *options)
{
  DlHttpCallOptions o = *options;
  char *url = talloc_asprintf (b, "http://%s/manifest?model=%s&version=%" PRIu64,
                               holder->address, b->model, b->version);

  o.url = url;
  o.on_done = on_peer_manifest;
  dl_http_call (b->cache->client, b, &o);
  talloc_free (url);
}

/* Closes the connection afterwards, since the origin accepts few connections from all
 * nodes together. */
static void
request_from_origin (DlBundle *b, const DlHttpCallOptions *options)
{
  DlHttpCallOptions o = *options;

  o.single_use = true;
  b->cache->options.origin->manifest (b->cache->client, b, b->cache->origin, b->model,
                                      b->version, &o);
}

typedef struct
{
  bool is_hub; /* whether to collect hubs or the others */
  GPtrArray *names;
  bool has_hubs; /* a hub is known, or this node is one */
} HolderNames;

static void
collect_holder_name (const DlHolder *holder, void *data)
{
  HolderNames *found = data;

  found->has_hubs = found->has_hubs || holder->is_hub;
  if (holder->is_hub == found->is_hub)
    g_ptr_array_add (found->names, (gpointer)holder->name);
}

/* Computes when this host requests the manifest from the origin, unless no holder was
 * added or removed since it was computed last. */
static void
update_manifest_times (DlBundle *b)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  bool is_hub = b->cache->options.is_hub;
  HolderNames found = { .is_hub = is_hub, .names = names, .has_hubs = is_hub };
  DlManifestSchedule schedule;

  if (b->manifest_times_of == b->cache->holders_changes
      && b->manifest_times.interval_ms > 0)
    return;
  dl_chunk_cache_foreach_holder (b->cache, collect_holder_name, &found);
  schedule = (DlManifestSchedule){
    .host = b->cache->options.settings->name,
    .is_hub = is_hub,
    .others = (const char *const *)names->pdata,
    .other_count = names->len,
    .has_hubs = found.has_hubs,
    .model = b->model,
    .version = b->version,
  };
  b->manifest_times = (DlManifestTimes){
    .first_delay_ms = dl_manifest_first_delay_ms (&schedule),
    .interval_ms = dl_manifest_interval_ms (&schedule),
  };
  b->manifest_times_of = b->cache->holders_changes;
}

/* True when this host may request the manifest from the origin; the hosts do so one after
 * another. */
static bool
is_turn_for_origin (DlBundle *b, uint64_t now_ms)
{
  if (b->cache->origin == NULL)
    return false;
  update_manifest_times (b);
  if (b->manifest_requested_ms != 0)
    return now_ms - b->manifest_requested_ms >= b->manifest_times.interval_ms;
  return now_ms - b->progress_ms >= b->manifest_times.first_delay_ms;
}

void
dl_bundle_fetch_manifest (DlBundle *b)
{
  uint64_t now_ms = dl_clock_ms ();
  const DlHolder *holder;
  const DlHttpCallOptions options = {
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .timeout_ms = MANIFEST_TIMEOUT_MS,
    .max_body_bytes = MANIFEST_MAX_BYTES,
    .on_done = on_origin_manifest,
    .data = b,
  };

  if (b->manifest_requested_ms != 0
      && now_ms - b->manifest_requested_ms < DL_MANIFEST_RETRY_MS)
    return;
  if (b->version == 0)
    b->version = newest_hub_version (b);
  holder = b->version > 0 ? manifest_holder (b) : NULL;
  if (holder == NULL && !is_turn_for_origin (b, now_ms))
    return;
  b->manifest_requested_ms = now_ms;
  if (holder != NULL)
    request_from_holder (b, holder, &options);
  else
    request_from_origin (b, &options);
}

/* -------- chunks -------- */

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
  bool received = result->error == 0 && result->status == STATUS_OK;

  if (received && dl_bundle_verify_chunk (b, fetch->index, result->body))
    {
      dl_metric_add (fetch->peer != NULL ? &metric_peer : &metric_origin,
                     (int64_t)result->body.length);
      dl_bundle_add_chunk (b, fetch->index, result->body);
    }
  else
    on_chunk_failed (fetch, result, received);
  talloc_free (fetch);
  b->cache->options.on_progress (b->cache->options.data);
}

static void
start_fetch (DlBundle *b, const DlFetch *next)
{
  DlChunkCache *cache = b->cache;
  Fetch *fetch = talloc_zero (b, Fetch);
  DlHttpCallOptions options = {
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .timeout_ms = next->peer != NULL ? PEER_TIMEOUT_MS : ORIGIN_TIMEOUT_MS,
    .max_body_bytes = CHUNK_MAX_BYTES,
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
