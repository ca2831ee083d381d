#include "node/chunk_cache_private.h"

#include <string.h>
#include <talloc.h>

#include "kernel/log.h"

/* A holder that did not advertise itself for this long is removed. */
#define HOLDER_TIMEOUT_MS 3000
/* Holders are checked for that this often. */
#define EXPIRE_EVERY_MS 250

/* -------- holders -------- */

DlStr
dl_bundle_chunks_at (const DlBundle *b, const DlHolder *holder)
{
  for (size_t i = 0; i < holder->holdings.count; i++)
    {
      const DlHolding *h = &holder->holdings.items[i];

      if (h->version == b->version && strcmp (h->model, b->model) == 0)
        return h->chunks;
    }
  return DL_STR_LITERAL ("");
}

static void
add_holder_to_plan (const DlBundle *b, const DlHolder *holder)
{
  if (b->plan != NULL)
    dl_fetch_plan_set_peer (b->plan, holder->name, holder->region, holder->is_hub,
                            dl_bundle_chunks_at (b, holder));
}

static void
free_holder (gpointer data)
{
  talloc_free (data);
}

void
dl_chunk_cache_set_holder (DlChunkCache *cache, const DlHolder *holder)
{
  DlKnownHolder *h = g_hash_table_lookup (cache->holders, holder->name);

  if (h != NULL && dl_holder_equal (&h->holder, holder))
    {
      h->set_ms = dl_clock_ms ();
      return;
    }
  cache->holders_changes += h == NULL;
  h = talloc_zero (cache, DlKnownHolder);
  g_assert (h != NULL);
  h->holder = dl_holder_copy (h, holder);
  h->set_ms = dl_clock_ms ();
  g_hash_table_replace (cache->holders, (gpointer)h->holder.name, h);
  for (DlBundle *b = cache->bundles; b != NULL; b = b->next)
    add_holder_to_plan (b, &h->holder);
}

static void
remove_holder_from_plans (const DlChunkCache *cache, const char *name)
{
  for (DlBundle *b = cache->bundles; b != NULL; b = b->next)
    if (b->plan != NULL)
      dl_fetch_plan_remove_peer (b->plan, name);
}

void
dl_chunk_cache_remove_holder (DlChunkCache *cache, const char *name)
{
  cache->holders_changes++;
  remove_holder_from_plans (cache, name);
  g_hash_table_remove (cache->holders, name);
}

void
dl_chunk_cache_expire_holders (DlChunkCache *cache)
{
  uint64_t now_ms = dl_clock_ms ();
  GHashTableIter iter;
  gpointer value;

  if (now_ms - cache->expired_ms < EXPIRE_EVERY_MS)
    return;
  cache->expired_ms = now_ms;
  g_hash_table_iter_init (&iter, cache->holders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DlKnownHolder *h = value;

      if (now_ms - h->set_ms < HOLDER_TIMEOUT_MS)
        continue;
      remove_holder_from_plans (cache, h->holder.name);
      g_hash_table_iter_remove (&iter);
      cache->holders_changes++;
    }
}

void
dl_chunk_cache_foreach_holder (const DlChunkCache *cache,
                               void (*func) (const DlHolder *holder, void *data),
                               void *data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, cache->holders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    func (&((const DlKnownHolder *)value)->holder, data);
}

/* -------- the cache as a whole -------- */

void
dl_chunk_cache_set_source (DlChunkCache *cache, const DlWeightSource *source)
{
  talloc_free (cache->origin);
  cache->origin = talloc_strdup (cache, source->origin);
  cache->origin_chunk_us = source->origin_chunk_us;
  cache->chunk_count = source->chunks;
}

DlHoldings
dl_chunk_cache_holdings (const DlChunkCache *cache)
{
  DlHoldings holdings = { 0 };

  for (const DlBundle *b = cache->bundles; b != NULL; b = b->next)
    if (b->plan != NULL && holdings.count < DL_HOLDINGS_MAX)
      holdings.items[holdings.count++] = (DlHolding){
        .model = b->model,
        .version = b->version,
        .chunks = dl_fetch_plan_bitmap (b->plan),
      };
  return holdings;
}

bool
dl_chunk_cache_clear_changed (DlChunkCache *cache)
{
  bool changed = cache->changed;

  cache->changed = false;
  return changed;
}

DlBundle *
dl_chunk_cache_find (const DlChunkCache *cache, const char *model, uint64_t version)
{
  for (DlBundle *b = cache->bundles; b != NULL; b = b->next)
    if (b->version == version && strcmp (b->model, model) == 0)
      return b;
  return NULL;
}

static int
cache_destroy (DlChunkCache *cache)
{
  g_hash_table_destroy (cache->holders);
  return 0;
}

int
dl_chunk_cache_new (DlTask *task,
                    const void *owner,
                    const DlChunkCacheOptions *options,
                    DlChunkCache **result)
{
  DlChunkCache *cache = talloc_zero (owner, DlChunkCache);

  g_assert (cache != NULL);
  cache->task = task;
  cache->options = *options;
  cache->client = dl_http_client_new (task, cache);
  cache->holders = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_holder);
  talloc_set_destructor (cache, cache_destroy);
  *result = cache;
  return dl_chunk_cache_start_server (cache);
}

/* -------- bundles -------- */

DlBundle *
dl_bundle_open (DlChunkCache *cache,
                const char *model,
                uint64_t version,
                uint64_t announced_ms)
{
  DlBundle *b = talloc_zero (cache, DlBundle);

  g_assert (b != NULL);
  b->cache = cache;
  b->model = talloc_strdup (b, model);
  b->version = version;
  b->announced_ms = announced_ms;
  b->progress_ms = dl_clock_ms ();
  b->next = cache->bundles;
  cache->bundles = b;
  return b;
}

void
dl_bundle_close (DlBundle *bundle)
{
  for (DlBundle **at = &bundle->cache->bundles; *at != NULL; at = &(*at)->next)
    if (*at == bundle)
      {
        *at = bundle->next;
        break;
      }
  bundle->cache->changed = true;
  talloc_free (bundle);
}

void
dl_bundle_set_manifest (DlBundle *b, const char **digests, unsigned count)
{
  DlChunkCache *cache = b->cache;
  GHashTableIter iter;
  gpointer value;

  b->progress_ms = dl_clock_ms ();
  b->count = count;
  b->digests = digests;
  b->chunks = talloc_zero_array (b, DlStr, count);
  b->plan = dl_fetch_plan_new (b, &(DlFetchPlanOptions){
                                      .host = cache->options.settings->name,
                                      .region = cache->options.settings->region,
                                      .model = b->model,
                                      .version = b->version,
                                      .chunks = count,
                                      .is_hub = cache->options.is_hub,
                                      .started_ms = b->progress_ms,
                                      .origin_chunk_us = cache->origin_chunk_us,
                                  });
  g_hash_table_iter_init (&iter, cache->holders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    add_holder_to_plan (b, &((const DlKnownHolder *)value)->holder);
  cache->changed = true;
  dl_log (DL_EVENT_STAGE_STARTED, DL_TEXT ("model", b->model),
          DL_UINT ("version", b->version), DL_UINT ("chunks", count),
          DL_UINT ("named_ms_ago", dl_clock_ms () - b->announced_ms));
  cache->options.on_progress (cache->options.data);
}

bool
dl_bundle_is_complete (const DlBundle *bundle)
{
  return bundle->plan != NULL && dl_fetch_plan_missing (bundle->plan) == 0;
}

char *
dl_chunk_digest (const void *context, DlStr bytes)
{
  g_autofree char *digest
      = g_compute_checksum_for_data (G_CHECKSUM_SHA256, (const guchar *)bytes.data,
                                     bytes.length);

  return talloc_strdup (context, digest);
}

bool
dl_bundle_verify_chunk (const DlBundle *bundle, unsigned index, DlStr bytes)
{
  char *digest = dl_chunk_digest (bundle, bytes);
  bool matches = g_ascii_strcasecmp (digest, bundle->digests[index]) == 0;

  talloc_free (digest);
  return matches;
}

void
dl_bundle_add_chunk (DlBundle *b, unsigned index, DlStr bytes)
{
  if (b->chunks[index].length == 0)
    b->chunks[index]
        = dl_str_bytes (talloc_memdup (b, bytes.data, bytes.length), bytes.length);
  b->progress_ms = dl_clock_ms ();
  b->cache->changed = true;
  dl_fetch_plan_arrived (b->plan, index);
  if (dl_bundle_is_complete (b))
    dl_log (DL_EVENT_STAGE_WHOLE, DL_UINT ("version", b->version),
            DL_UINT ("named_ms_ago", dl_clock_ms () - b->announced_ms));
}

void
dl_bundle_drop_chunks (DlBundle *b)
{
  for (unsigned i = 0; i < b->count; i++)
    {
      if (b->chunks[i].length == 0)
        continue;
      talloc_free ((void *)b->chunks[i].data);
      b->chunks[i] = dl_str_bytes (NULL, 0);
      dl_fetch_plan_lost (b->plan, i);
    }
  b->cache->changed = true;
}

void
dl_bundle_start_fetches (DlBundle *bundle)
{
  if (bundle->plan == NULL)
    dl_bundle_fetch_manifest (bundle);
  else
    dl_bundle_fetch_chunks (bundle);
}
