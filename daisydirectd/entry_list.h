/*
 * Which entries accept requests, for the directory and for sharing upstreams.
 */
#ifndef ENTRY_LIST_H
#define ENTRY_LIST_H

#include "kernel/kernel.h"
#include "node/peers.h"

/* Publishes DIRECT_ENTRIES: the entries among PEERS that are alive and ready, and this
 * one if it is READY. */
void direct_publish_entries (DlKernel *kernel,
                             const DlNodeSettings *settings,
                             const DlPeers *peers,
                             bool ready);
/* Publishes DIRECT_REGISTERED: this entry, and those among PEERS that are registered. */
void direct_publish_registered (DlKernel *kernel,
                                const DlNodeSettings *settings,
                                const DlPeers *peers);

#endif
