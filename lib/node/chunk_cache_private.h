/*
 * Declarations shared by the chunk cache's files: chunk_cache.c stores chunks,
 * chunk_cache_manifest.c fetches manifests, chunk_cache_fetch.c chunks, and
 * chunk_cache_serve.c serves both.
 */
#ifndef DL_CHUNK_CACHE_PRIVATE_H
#define DL_CHUNK_CACHE_PRIVATE_H

#include <glib.h>

#include "node/chunk_cache.h"

#define DL_CHUNK_CONNECT_TIMEOUT_MS 500
/* Nodes close connections on which they have served chunks after this time without a
 * request, with a response that a late request would take for its own.  Those who fetch
 * do not use such a connection for as long. */
#define DL_CHUNK_SERVER_IDLE_S 20
#define DL_CHUNK_CLIENT_IDLE_S 15
#define DL_CHUNK_STATUS_OK     200

/* A holder, as it last advertised itself. */
typedef struct
{
  DlHolder holder; /* its strings are talloc children of this */
  uint64_t set_ms; /* when it last advertised itself */
} DlKnownHolder;

struct DlChunkCache
{
  DlTask *task;
  DlChunkCacheOptions options;
  DlHttpClient *client;
  DlHttpServer *server;
  char *origin;             /* NULL until known */
  uint64_t origin_chunk_us; /* this and the next as in DlWeightSource */
  unsigned chunk_count;
  GHashTable *holders;      /* name to DlKnownHolder */
  unsigned holders_changes; /* how often a holder was added or removed */
  uint64_t expired_ms;      /* when holders were last checked for their timeout */
  DlBundle *bundles;        /* list of the open bundles */
  bool changed;             /* see dl_chunk_cache_clear_changed */
  GQueue upload_queue;      /* of DlHttpRequest: requests for chunks, not yet answered */
  unsigned uploads;         /* in progress */
};

/* Bitmap of the bundle's chunks that HOLDER has; empty for none. */
DlStr dl_bundle_chunks_at (const DlBundle *bundle, const DlHolder *holder);
/* Sets the manifest: COUNT digests, an array that is a talloc child of the bundle. */
void dl_bundle_set_manifest (DlBundle *bundle, const char **digests, unsigned count);
/* Requests the manifest, unless the last request is too recent or no node may be asked
 * now. */
void dl_bundle_fetch_manifest (DlBundle *bundle);
/* Chunk INDEX came from PEER, NULL for the origin, as BYTES, which do not match the
 * manifest: asks that source for its manifest, unless a manifest was asked for shortly
 * before, and adopts it for the missing chunks when it lists the digest of BYTES. */
void dl_bundle_check_manifest (DlBundle *bundle,
                               unsigned index,
                               DlStr bytes,
                               const char *peer);
/* The digest of BYTES, as in a manifest; a talloc child of CONTEXT. */
char *dl_chunk_digest (const void *context, DlStr bytes);
/* Starts all fetches of chunks that the plan allows now. */
void dl_bundle_fetch_chunks (DlBundle *bundle);
/* Starts the server for other nodes.  Returns 0 or a negative error. */
int dl_chunk_cache_start_server (DlChunkCache *cache);

#endif
