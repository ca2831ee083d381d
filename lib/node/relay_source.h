/*
 * Whom a node asks for the store's objects: the store, or a reader of its region.
 */
#ifndef DL_RELAY_SOURCE_H
#define DL_RELAY_SOURCE_H

#include "kernel/object_client.h"
#include "node/node.h"

/* node/peers.h */
struct DlPeers;

/* A reader that failed is not asked again for this long; the next in rank is. */
#define DL_RELAY_AVOID_MS 4000
/* After so many failures in a row the cause is not a reader: the store is asked for the
 * same time. */
#define DL_RELAY_FAILURES_MAX 3
/* Pause before the next one is asked, which may have just begun to read the store. */
#define DL_RELAY_PAUSE_MS 150
/* Entries that all turn to the store spread over this time, since a link on which it is
 * late for one of them does not carry it to all. */
#define DL_RELAY_SPREAD_MS 1200
/* The same for nodes that are no entries. */
#define DL_RELAY_PATIENCE_MS 2000

typedef struct DlRelaySource DlRelaySource;

/* IS_ENTRY: this node may be a reader itself. */
DlRelaySource *dl_relay_source_new (DlTask *task,
                                    const void *owner,
                                    const DlNodeSettings *settings,
                                    bool is_entry);
/* PEERS, which come up after the source, tell who the region's entries are. */
void dl_relay_source_set_peers (DlRelaySource *source, const struct DlPeers *peers);
/* The reader to ask; NULL to ask the store. */
DlObjectClient *dl_relay_source_choose (DlRelaySource *source);
/* True when this entry reads the store for others. */
bool dl_relay_source_is_reader (DlRelaySource *source);
/* The reader that was chosen did not answer, or has no fresh proof of KIND.  Returns the
 * pause, in milliseconds, before the next call. */
uint64_t dl_relay_source_failed (DlRelaySource *source, const char *kind, int error);
/* It answered. */
void dl_relay_source_answered (DlRelaySource *source);

#endif
