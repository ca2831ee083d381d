/*
 * HTTP server from which the engine loads verified chunks and manifests by their digest:
 * GET /v1/blobs/HEXDIGEST.
 */
#ifndef TRANSFER_BLOBS_H
#define TRANSFER_BLOBS_H

#include "kernel/http_server.h"
#include "transfer_store.h"

/* Serves STORE on ADDRESS until OWNER is freed.  Returns 0 or a negative error. */
int transfer_blobs_serve (DlTask *task,
                          const void *owner,
                          DlStr address,
                          const TransferStore *store);

#endif
