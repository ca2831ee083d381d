/*
 * In-memory store of verified chunks, indexed by digest, and of manifests, indexed by
 * version.
 */
#ifndef TRANSFER_STORE_H
#define TRANSFER_STORE_H

#include "kernel/manifest.h"

typedef struct TransferStore TransferStore;

/* Returns an empty store, a talloc child of CONTEXT. */
TransferStore *transfer_store_new (const void *context);
/* Copies DATA into the store.  The caller has verified that DIGEST is its digest. */
void transfer_store_put (TransferStore *store, const DlDigest *digest, DlStr data);
/* Sets *DATA to a view that is valid until the chunk is dropped.  Returns false if the
 * store does not have the chunk. */
bool transfer_store_get (const TransferStore *store, const DlDigest *digest, DlStr *data);
/* Takes ownership of MANIFEST.  Returns it, or the manifest of the same version that is
 * stored already; MANIFEST is freed then. */
const DlManifest *transfer_store_put_manifest (TransferStore *store,
                                               DlManifest *manifest);
/* Returns the manifest of VERSION, or NULL. */
const DlManifest *transfer_store_manifest (const TransferStore *store,
                                           const DlDigest *version);
/* Drops all manifests except those of VERSIONS, and all chunks that none of these lists.
 */
void transfer_store_retain (TransferStore *store, const DlDigest *versions, size_t count);
/* Total length of the chunks. */
uint64_t transfer_store_bytes (const TransferStore *store);

#endif
