/*
 * Parts of the cache that its files share: cache.c keeps, depot_fetch.c gets,
 * depot_give.c gives out.
 */
#ifndef DL_CHUNK_CACHE_PRIVATE_H
#define DL_CHUNK_CACHE_PRIVATE_H

#include <glib.h>

#include "node/chunk_cache.h"

/* A holder as it last told. */
typedef struct
{
  DlHolder holder; /* texts below this */
  uint64_t heard_ms;
} DlKnownHolder;

struct DlChunkCache
{
  DlTask *task;
  DlChunkCacheOptions options;
  DlHttpClient *client;
  DlHttpServer *server;
  char *origin; /* NULL until known */
  uint64_t origin_chunk_us;
  GHashTable *holders; /* name to DlKnownHolder */
  DlBundle *bundles;
  bool changed;
  GQueue waiting; /* of DlHttpRequest: chunks asked for and not yet given */
  unsigned giving;
};

/* What the holder has of the bundle's version; empty for nothing. */
DlStr dl_bundle_chunks_at (const DlBundle *bundle, const DlHolder *holder);
/* The manifest arrived: COUNT digests, which the bundle takes over. */
void dl_bundle_set_manifest (DlBundle *bundle, const char **digests, unsigned count);
void dl_bundle_fetch_manifest (DlBundle *bundle);
void dl_bundle_fetch_chunks (DlBundle *bundle);
/* Begins to give out.  Returns 0 or a negative error. */
int dl_chunk_cache_start_server (DlChunkCache *cache);

#endif
