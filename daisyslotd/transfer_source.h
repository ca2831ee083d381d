/*
 * Fetches blobs by HTTP from the origin, or from the weight store while the origin is
 * backed off.
 *
 * A source that responds 429 or 503 is backed off for its Retry-After, if it sends one.
 * Otherwise the backoff doubles with each consecutive failure.  Both have jitter.
 */
#ifndef TRANSFER_SOURCE_H
#define TRANSFER_SOURCE_H

#include "kernel/crypt.h"
#include "kernel/http_client.h"

typedef struct TransferSources TransferSources;

/* Outcome of a fetch. */
typedef struct
{
  uint32_t index;    /* as passed to transfer_sources_fetch */
  int error;         /* 0: the digest of BODY is right */
  DlStr body;        /* valid during the callback */
  uint64_t bytes;    /* received, even if the fetch failed */
  uint64_t retry_ms; /* on error: until a source may be used again */
  bool unusable;     /* on error: every source has failed 3 or more times in a row */
} TransferFetch;

typedef void (*TransferFetchFunc) (const TransferFetch *fetch, void *data);

/* Returns sources, a talloc child of OWNER.  ORIGIN and WEIGHT_STORE are "IP:PORT" or ""
 * for none, and are not copied.  FUNC is called with DATA at the end of every fetch. */
TransferSources *transfer_sources_new (DlTask *task,
                                       const void *owner,
                                       const char *origin,
                                       const char *weight_store,
                                       TransferFetchFunc func,
                                       void *data);
/* Fetches the blob DIGEST of at most MAX_BYTES.  The fetch is a talloc child of OWNER;
 * freeing OWNER cancels it without a callback. */
void transfer_sources_fetch (TransferSources *sources,
                             const void *owner,
                             uint32_t index,
                             const DlDigest *digest,
                             size_t max_bytes);

#endif
