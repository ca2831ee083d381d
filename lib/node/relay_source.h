/*
 * Chooses where a node reads the store's objects: at the store, or at a reader.
 *
 * A reader is an entry of the node's region that watches the store and relays its objects
 * to others (policy/readers.h, node/object_relay.h).
 */
#ifndef DL_RELAY_SOURCE_H
#define DL_RELAY_SOURCE_H

#include "kernel/object_client.h"
#include "node/node.h"

/* node/peers.h */
struct DlPeers;

typedef struct DlRelaySource DlRelaySource;

/* Creates a source, a talloc child of OWNER, which chooses the store until its peers are
 * set.  ERA is that of the store's client.  IS_ENTRY: this node may be a reader itself.
 */
DlRelaySource *dl_relay_source_new (DlTask *task,
                                    const void *owner,
                                    const DlNodeSettings *settings,
                                    DlObjectEra *era,
                                    bool is_entry);
/* Sets the peers, among which the readers are chosen; they are created after the source.
 */
void dl_relay_source_set_peers (DlRelaySource *source, const struct DlPeers *peers);
/* True while this node, which has just started in a large fleet, should wait for a reader
 * instead of reading the store. */
bool dl_relay_source_must_wait (const DlRelaySource *source);
/* Returns the reader to ask, owned by SOURCE; NULL to ask the store.  *IS_READER is
 * set to whether this entry reads the store for other nodes. */
DlObjectClient *dl_relay_source_choose (DlRelaySource *source, bool *is_reader);

/* Why a reader was of no use. */
typedef struct
{
  const char *kind; /* of the objects that it was asked for */
  int error;
  bool is_stale; /* it answered, but its copy is too old */
} DlReaderFailure;

/* READER, which was chosen, failed so; this is logged.  Returns the backoff before the
 * next request, in milliseconds. */
uint64_t dl_relay_source_report_failure (DlRelaySource *source,
                                         const DlObjectClient *reader,
                                         const DlReaderFailure *failure);
/* The reader that was chosen answered. */
void dl_relay_source_report_success (DlRelaySource *source);

#endif
