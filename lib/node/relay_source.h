/*
 * Whom a node asks for the store's objects: the store, or a reader of its region.
 */
#ifndef DL_RELAY_SOURCE_H
#define DL_RELAY_SOURCE_H

#include "kernel/object_client.h"
#include "node/node.h"

/* node/peers.h */
struct DlPeers;

typedef struct DlRelaySource DlRelaySource;

/* IS_ENTRY: this node may be a reader itself. */
DlRelaySource *dl_relay_source_new (DlTask *task,
                                    const void *owner,
                                    const DlNodeSettings *settings,
                                    bool is_entry);
/* PEERS, which come up after the source, tell who the region's entries are. */
void dl_relay_source_set_peers (DlRelaySource *source, const struct DlPeers *peers);
/* The reader to ask; NULL to ask the store.  *IS_READER tells whether this entry reads
 * the store for others. */
DlObjectClient *dl_relay_source_choose (DlRelaySource *source, bool *is_reader);
/* READER, which was chosen, did not answer, or has no fresh proof of KIND.  Returns the
 * pause, in milliseconds, before the next call. */
uint64_t dl_relay_source_report_failure (DlRelaySource *source,
                                         const DlObjectClient *reader,
                                         const char *kind,
                                         int error);
/* It answered. */
void dl_relay_source_report_success (DlRelaySource *source);

#endif
