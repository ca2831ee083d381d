/*
 * The weights that a node holds in memory: getting their chunks and giving them out.
 *
 * Both programs of direct operation have a cache: entries are hubs, stagers bring what
 * theirs holds to an engine.  policy/fetch_plan.h says who gets what from where.
 */
#ifndef DL_CHUNK_CACHE_H
#define DL_CHUNK_CACHE_H

#include "kernel/http_client.h"
#include "kernel/http_server.h"
#include "node/holding.h"
#include "node/node.h"
#include "policy/fetch_plan.h"

typedef struct DlChunkCache DlChunkCache;

/* One version and its chunks; a talloc child of the cache. */
typedef struct DlBundle
{
  DlChunkCache *cache;
  char *model;
  uint64_t version;      /* 0 until the manifest is here: the newest of the origin */
  uint64_t announced_ms; /* when it was named */
  uint64_t progress_ms;  /* when a chunk or the manifest last arrived */
  uint64_t asked_ms;     /* when the manifest was last asked for; 0 for never */
  unsigned count;        /* of chunks; 0 until the manifest is here */
  const char **digests;  /* SHA-256 of each chunk, in hexadecimal */
  DlStr *chunks;         /* verified bytes; empty while not here */
  DlFetchPlan *plan;     /* NULL until the manifest is here */
  struct DlBundle *next;
} DlBundle;

/* How an origin is spoken to. */
typedef struct
{
  DlHttpCall *(*manifest) (DlHttpClient *client,
                           const void *owner,
                           const char *origin,
                           const char *model,
                           uint64_t version,
                           const DlHttpCallOptions *options);
  /* Returns the number of digests, or a negative error. */
  int (*read_manifest) (const void *context,
                        DlStr body,
                        const char *model,
                        uint64_t *version,
                        const char ***digests);
  DlHttpCall *(*chunk) (DlHttpClient *client,
                        const void *owner,
                        const char *origin,
                        const char *model,
                        uint64_t version,
                        unsigned index,
                        const DlHttpCallOptions *options);
} DlOriginCalls;

typedef struct
{
  const DlNodeSettings *settings;
  const DlOriginCalls *origin;
  bool is_hub;
  unsigned uploads_max; /* chunks given out at once; others wait */
  /* The manifest or a chunk arrived, or a fetch ended: time to look what to do next. */
  void (*on_progress) (void *data);
  void *data;
} DlChunkCacheOptions;

/* Returns 0 or a negative error.  OPTIONS is copied, what it points to is not. */
int dl_chunk_cache_new (DlTask *task,
                        const void *owner,
                        const DlChunkCacheOptions *options,
                        DlChunkCache **cache);
void dl_chunk_cache_set_source (DlChunkCache *cache, const DlWeightSource *source);
void dl_chunk_cache_set_holder (DlChunkCache *cache, const DlHolder *holder);
void dl_chunk_cache_remove_holder (DlChunkCache *cache, const char *name);
/* Forgets holders that have been silent for long. */
void dl_chunk_cache_expire_holders (DlChunkCache *cache);
/* Calls FUNC for each holder. */
void dl_chunk_cache_foreach_holder (const DlChunkCache *cache,
                                    void (*func) (const DlHolder *holder, void *data),
                                    void *data);
/* The cache's bundles; valid until one is opened or closed. */
DlHoldings dl_chunk_cache_holdings (const DlChunkCache *cache);
/* True once after something changed in what is held. */
bool dl_chunk_cache_clear_changed (DlChunkCache *cache);
/* NULL when there is none. */
DlBundle *
dl_chunk_cache_find (const DlChunkCache *cache, const char *model, uint64_t version);

/* A bundle to be fetched; VERSION 0: the newest that the origin names.  At most
 * DL_HOLDINGS_MAX may be open. */
DlBundle *dl_bundle_open (DlChunkCache *cache,
                          const char *model,
                          uint64_t version,
                          uint64_t announced_ms);
void dl_bundle_close (DlBundle *bundle);
/* Starts the fetches that can be started now. */
void dl_bundle_start_fetches (DlBundle *bundle);
bool dl_bundle_is_complete (const DlBundle *bundle);
/* True when BYTES are those of chunk INDEX. */
bool dl_bundle_verify_chunk (const DlBundle *bundle, unsigned index, DlStr bytes);
/* Gives the chunks' memory back; what is needed again is fetched again. */
void dl_bundle_drop_chunks (DlBundle *bundle);
/* Takes chunk INDEX, which was found elsewhere and is genuine; BYTES are copied. */
void dl_bundle_add_chunk (DlBundle *bundle, unsigned index, DlStr bytes);

#endif
