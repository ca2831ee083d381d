/*
 * Draws blobs from the origin of weights, and from the weight store when the origin is
 * limited or away.
 *
 * A source that answers 429 or 503 is left alone for its Retry-After; one that fails is
 * left alone for a time that doubles with every failure in a row, with jitter.
 */
#ifndef TRANSFER_SOURCE_H
#define TRANSFER_SOURCE_H

#include "kernel/crypt.h"
#include "kernel/http_client.h"

typedef struct TransferSources TransferSources;

typedef struct
{
  uint32_t index;    /* as given */
  int error;         /* 0: BODY matches its digest */
  DlStr body;        /* ends with the call */
  uint64_t bytes;    /* received, also when it failed */
  uint64_t retry_ms; /* with an error: until a source may be asked again */
  bool unusable;     /* no source has been reached several times in a row */
} TransferDraw;

typedef void (*TransferDrawFunc) (const TransferDraw *draw, void *data);

/* ORIGIN and WEIGHT_STORE are "IP:PORT" or "" for none. */
TransferSources *transfer_sources_new (DlTask *task,
                                       const void *owner,
                                       const char *origin,
                                       const char *weight_store,
                                       TransferDrawFunc func,
                                       void *data);
/* Draws the blob DIGEST of at most MAX_BYTES below OWNER: freeing that cancels it. */
void transfer_sources_draw (TransferSources *sources,
                            const void *owner,
                            uint32_t index,
                            const DlDigest *digest,
                            size_t max_bytes);

#endif
