/*
 * The replica in memory: verified chunks known by their digests, and manifests.
 */
#ifndef TRANSFER_STORE_H
#define TRANSFER_STORE_H

#include "kernel/manifest.h"

typedef struct TransferStore TransferStore;

TransferStore *transfer_store_new (const void *context);
/* Copies DATA in; the caller has checked that DIGEST is its digest. */
void transfer_store_put (TransferStore *store, const DlDigest *digest, DlStr data);
/* Returns false when the chunk is not here; the view ends with the chunk. */
bool transfer_store_get (const TransferStore *store, const DlDigest *digest, DlStr *data);
/* Takes MANIFEST over, unless its version is here already. */
const DlManifest *transfer_store_put_manifest (TransferStore *store,
                                               DlManifest *manifest);
/* NULL when it is not here. */
const DlManifest *transfer_store_manifest (const TransferStore *store,
                                           const DlDigest *version);
/* Drops every manifest but those of VERSIONS, and every chunk that none of these names.
 */
void transfer_store_retain (TransferStore *store, const DlDigest *versions, size_t count);
uint64_t transfer_store_bytes (const TransferStore *store);

#endif
