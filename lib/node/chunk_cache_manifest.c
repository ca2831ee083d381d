/*
 * Fetches manifests from other nodes and the origin, and asks for one once more when a
 * chunk does not match it.
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "node/chunk_cache_private.h"
#include "policy/manifest_digests.h"

#define MANIFEST_TIMEOUT_MS 900
#define MANIFEST_MAX_BYTES  (1u << 20)
#define MANIFEST_CHUNKS_MAX 65536

DL_METRIC (metric_mended,
           DL_METRIC_COUNTER,
           "daisy_stage_mended_digests_total",
           "Wrong digests of manifests that were replaced.")

/* -------- reading -------- */

static void
log_failure (const DlBundle *b, const DlHttpResult *result, const char *source)
{
  dl_log (DL_EVENT_STAGE_FETCH_FAILED, DL_TEXT ("what", "manifest"),
          DL_UINT ("version", b->version), DL_TEXT ("source", source),
          DL_UINT ("status", result->status), DL_ERRNO (result->error));
}

/* Returns DIGESTS, or frees them and returns NULL when they cannot be the bundle's. */
static const char **
checked (const DlBundle *b, const char **digests, unsigned count)
{
  if (digests != NULL
      && dl_manifest_digests_valid (digests, count, b->cache->chunk_count))
    return digests;
  talloc_free (digests);
  return NULL;
}

/* Returns the digests in the origin's response, a talloc child of the bundle, and the
 * version that they are of; NULL when it has none that can be used. */
static const char **
read_from_origin (DlBundle *b,
                  const DlHttpResult *result,
                  uint64_t *version,
                  unsigned *count)
{
  const char **digests = NULL;
  int read;

  if (result->error != 0 || result->status != DL_CHUNK_STATUS_OK)
    return NULL;
  read = b->cache->options.origin->read_manifest (b, result->body, b->model, version,
                                                  &digests);
  if (read < 0)
    return NULL;
  *count = (unsigned)read;
  return checked (b, digests, *count);
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

/* Returns the digests in another node's response, a talloc child of the bundle; NULL when
 * it has none that can be used. */
static const char **
read_from_peer (DlBundle *b, const DlHttpResult *result, unsigned *count)
{
  const char **digests;

  if (result->error != 0 || result->status != DL_CHUNK_STATUS_OK)
    return NULL;
  digests = split_lines (b, result->body, count);
  return checked (b, digests, *count);
}

/* -------- the first manifest -------- */

/* The newest version is not known from elsewhere, and the number may be spoilt: it is
 * adopted when the origin has a manifest of the version by that number.  Returns whether
 * it does. */
static bool
confirm_version (DlBundle *b, uint64_t version)
{
  if (b->unconfirmed_version == version)
    {
      b->version = version;
      return true;
    }
  b->unconfirmed_version = b->unconfirmed_version == 0 ? version : 0;
  b->manifest_requested_ms = 0;
  return false;
}

static void
on_origin_manifest (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  DlBundle *b = data;
  uint64_t version = 0;
  unsigned count;
  const char **digests;

  if (b->count > 0)
    return;
  digests = read_from_origin (b, result, &version, &count);
  if (digests == NULL || (b->version > 0 && version != b->version))
    {
      if (result->error == 0)
        b->unconfirmed_version = 0;
      talloc_free (digests);
      log_failure (b, result, "origin");
      return;
    }
  if (b->version > 0 || confirm_version (b, version))
    dl_bundle_set_manifest (b, digests, count);
  else
    talloc_free (digests);
}

static void
on_peer_manifest (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  DlBundle *b = data;
  unsigned count = 0;
  const char **digests;

  if (b->count > 0)
    return;
  digests = read_from_peer (b, result, &count);
  if (digests == NULL)
    log_failure (b, result, "another node");
  else
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
request_from_holder (DlBundle *b, const DlHolder *holder, DlHttpDone on_done, void *data)
{
  char *url = talloc_asprintf (b, "http://%s/manifest?model=%s&version=%" PRIu64,
                               holder->address, b->model, b->version);

  dl_http_call (b->cache->client, b,
                &(DlHttpCallOptions){
                    .url = url,
                    .connect_timeout_ms = DL_CHUNK_CONNECT_TIMEOUT_MS,
                    .timeout_ms = MANIFEST_TIMEOUT_MS,
                    .max_body_bytes = MANIFEST_MAX_BYTES,
                    .max_idle_s = DL_CHUNK_CLIENT_IDLE_S,
                    .on_done = on_done,
                    .data = data,
                });
  talloc_free (url);
}

/* Closes the connection afterwards, since the origin accepts few connections from all
 * nodes together. */
static void
request_from_origin (DlBundle *b, DlHttpDone on_done, void *data)
{
  uint64_t version = b->version > 0 ? b->version : b->unconfirmed_version;

  b->cache->options.origin->manifest (b->cache->client, b, b->cache->origin, b->model,
                                      version,
                                      &(DlHttpCallOptions){
                                          .connect_timeout_ms
                                          = DL_CHUNK_CONNECT_TIMEOUT_MS,
                                          .timeout_ms = MANIFEST_TIMEOUT_MS,
                                          .max_body_bytes = MANIFEST_MAX_BYTES,
                                          .single_use = true,
                                          .on_done = on_done,
                                          .data = data,
                                      });
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
    request_from_holder (b, holder, on_peer_manifest, b);
  else
    request_from_origin (b, on_origin_manifest, b);
}

/* -------- once more, for a chunk that does not match -------- */

/* A chunk that was received with another digest than the manifest has. */
typedef struct
{
  DlBundle *bundle;
  unsigned index;
  char *received; /* its digest */
  char *peer;     /* its source; NULL for the origin */
} ManifestCheck;

/* Adopts DIGESTS, which are right for the checked chunk, for all chunks that are missing.
 * Chunks that are here matched the digests that they have. */
static void
mend_manifest (const ManifestCheck *check, const char *const *digests)
{
  DlBundle *b = check->bundle;
  unsigned replaced = 0;

  for (unsigned i = 0; i < b->count; i++)
    {
      if (b->chunks[i].length > 0 || g_ascii_strcasecmp (b->digests[i], digests[i]) == 0)
        continue;
      b->digests[i] = talloc_strdup (b->digests, digests[i]);
      replaced++;
    }
  dl_metric_add (&metric_mended, replaced);
  dl_log (DL_EVENT_STAGE_MANIFEST_MENDED, DL_TEXT ("model", b->model),
          DL_UINT ("version", b->version), DL_UINT ("chunk", check->index),
          DL_UINT ("digests", replaced),
          DL_TEXT ("source", check->peer != NULL ? check->peer : "origin"));
}

/* Ends CHECK with the manifest of the chunk's source; DIGESTS is NULL when there is none
 * that can be used. */
static void
finish_check (ManifestCheck *check, const char **digests, unsigned count)
{
  DlBundle *b = check->bundle;

  if (digests != NULL && count == b->count && b->chunks[check->index].length == 0
      && dl_manifest_digest_is_wrong (b->digests[check->index], check->received,
                                      digests[check->index]))
    mend_manifest (check, digests);
  talloc_free (digests);
  talloc_free (check);
  b->cache->options.on_progress (b->cache->options.data);
}

static void
on_origin_checked (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  ManifestCheck *check = data;
  DlBundle *b = check->bundle;
  uint64_t version = 0;
  unsigned count = 0;
  const char **digests = read_from_origin (b, result, &version, &count);

  if (digests != NULL && version != b->version)
    {
      talloc_free (digests);
      digests = NULL;
    }
  if (digests == NULL)
    log_failure (b, result, "origin");
  finish_check (check, digests, count);
}

static void
on_peer_checked (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  ManifestCheck *check = data;
  unsigned count = 0;
  const char **digests = read_from_peer (check->bundle, result, &count);

  if (digests == NULL)
    log_failure (check->bundle, result, "another node");
  finish_check (check, digests, count);
}

void
dl_bundle_check_manifest (DlBundle *b, unsigned index, DlStr bytes, const char *peer)
{
  const DlKnownHolder *holder
      = peer != NULL ? g_hash_table_lookup (b->cache->holders, peer) : NULL;
  uint64_t now_ms = dl_clock_ms ();
  ManifestCheck *check;

  if ((peer != NULL && holder == NULL)
      || !dl_manifest_may_check (b->manifest_checked_ms, now_ms))
    return;
  b->manifest_checked_ms = now_ms;
  check = talloc_zero (b, ManifestCheck);
  check->bundle = b;
  check->index = index;
  check->received = dl_chunk_digest (check, bytes);
  check->peer = talloc_strdup (check, peer);
  if (holder != NULL)
    request_from_holder (b, &holder->holder, on_peer_checked, check);
  else
    request_from_origin (b, on_origin_checked, check);
}
