/*
 * In-memory cache of weight chunks: fetches them and serves them to other nodes.
 *
 * Both programs of direct operation have one.  Entries are hubs, which serve the chunks
 * to other nodes; stagers copy the chunks into their engine's staging area.
 * policy/fetch_plan.h decides which node fetches which chunk from where.
 */
#ifndef DL_CHUNK_CACHE_H
#define DL_CHUNK_CACHE_H

#include "kernel/http_client.h"
#include "kernel/http_server.h"
#include "node/holding.h"
#include "node/node.h"
#include "policy/fetch_plan.h"

typedef struct DlChunkCache DlChunkCache;

/* One version of a model's weights and its chunks; a talloc child of the cache. */
typedef struct DlBundle
{
  DlChunkCache *cache;
  char *model;
  uint64_t version;             /* 0: the newest at the origin, until it is known */
  uint64_t unconfirmed_version; /* that, by one response of the origin; 0 for none */
  uint64_t announced_ms;        /* when the version was announced, dl_clock_ms */
  uint64_t progress_ms; /* when the manifest or a chunk last arrived; before that, when
                         * the bundle was opened */
  uint64_t manifest_requested_ms; /* when the manifest was last requested; 0 for never */
  uint64_t manifest_checked_ms;   /* the same for one more, as a chunk did not match */
  DlManifestTimes manifest_times; /* of the requests to the origin */
  unsigned manifest_times_of; /* for which changes of the holders they were computed */
  unsigned count;             /* of chunks; 0 until the manifest has arrived */
  const char **digests;       /* SHA-256 of each chunk, in hexadecimal */
  DlStr *chunks;              /* verified bytes; empty while missing */
  DlFetchPlan *plan;          /* NULL until the manifest has arrived */
  struct DlBundle *next;
} DlBundle;

/* The protocol of the platform's origins. */
typedef struct
{
  /* Requests the manifest of VERSION, 0 for the newest.  OWNER and the result are as for
   * dl_http_call, also for chunk. */
  DlHttpCall *(*manifest) (DlHttpClient *client,
                           const void *owner,
                           const char *origin,
                           const char *model,
                           uint64_t version,
                           const DlHttpCallOptions *options);
  /* Reads a manifest for MODEL.  *VERSION and *DIGESTS are set; the array is a talloc
   * child of CONTEXT.  Returns the number of digests, or a negative error. */
  int (*read_manifest) (const void *context,
                        DlStr body,
                        const char *model,
                        uint64_t *version,
                        const char ***digests);
  /* Requests chunk INDEX of VERSION. */
  DlHttpCall *(*chunk) (DlHttpClient *client,
                        const void *owner,
                        const char *origin,
                        const char *model,
                        uint64_t version,
                        unsigned index,
                        const DlHttpCallOptions *options);
} DlOriginCalls;

/* What a cache is created with. */
typedef struct
{
  const DlNodeSettings *settings;
  const DlOriginCalls *origin;
  bool is_hub;          /* this node is an entry */
  unsigned uploads_max; /* chunks served at once; further requests are queued */
  /* The manifest arrived, or the fetch of a chunk ended, with or without success. */
  void (*on_progress) (void *data);
  void *data;
} DlChunkCacheOptions;

/* Creates a cache, a talloc child of OWNER, and starts its server at settings->address.
 * Returns 0 or a negative error.  OPTIONS is copied, what it points to is not. */
int dl_chunk_cache_new (DlTask *task,
                        const void *owner,
                        const DlChunkCacheOptions *options,
                        DlChunkCache **cache);
/* Sets the origin; what is needed of SOURCE is copied. */
void dl_chunk_cache_set_source (DlChunkCache *cache, const DlWeightSource *source);
/* Adds HOLDER, or replaces what was known of it; HOLDER is copied. */
void dl_chunk_cache_set_holder (DlChunkCache *cache, const DlHolder *holder);
/* Removes the holder NAME, if it is known. */
void dl_chunk_cache_remove_holder (DlChunkCache *cache, const char *name);
/* Removes holders that have not been set for 3 s; may be called at each tick. */
void dl_chunk_cache_expire_holders (DlChunkCache *cache);
/* Calls FUNC for each holder. */
void dl_chunk_cache_foreach_holder (const DlChunkCache *cache,
                                    void (*func) (const DlHolder *holder, void *data),
                                    void *data);
/* What the cache holds of each bundle.  The result refers to the bundles: it is valid
 * until one is opened or closed. */
DlHoldings dl_chunk_cache_holdings (const DlChunkCache *cache);
/* Returns whether the chunks held have changed since the last call, and clears that. */
bool dl_chunk_cache_clear_changed (DlChunkCache *cache);
/* Finds the bundle of MODEL and VERSION; NULL when there is none. */
DlBundle *
dl_chunk_cache_find (const DlChunkCache *cache, const char *model, uint64_t version);

/* Opens a bundle for fetching; VERSION 0: the newest at the origin.  At most
 * DL_HOLDINGS_MAX may be open, since no more are advertised to other nodes. */
DlBundle *dl_bundle_open (DlChunkCache *cache,
                          const char *model,
                          uint64_t version,
                          uint64_t announced_ms);
/* Frees the bundle and its chunks, and cancels its fetches. */
void dl_bundle_close (DlBundle *bundle);
/* Starts the fetches that the plan allows now. */
void dl_bundle_start_fetches (DlBundle *bundle);
/* True when all chunks are in memory; they are verified before they are added. */
bool dl_bundle_is_complete (const DlBundle *bundle);
/* True when BYTES have the digest of chunk INDEX. */
bool dl_bundle_verify_chunk (const DlBundle *bundle, unsigned index, DlStr bytes);
/* Frees all chunks; the bundle stays open and can be fetched again. */
void dl_bundle_drop_chunks (DlBundle *bundle);
/* Adds chunk INDEX, which the caller has verified; BYTES are copied.  Of a
 * chunk that is here already, the first copy is kept. */
void dl_bundle_add_chunk (DlBundle *bundle, unsigned index, DlStr bytes);

#endif
