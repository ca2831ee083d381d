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
/* What a node wants to read, and how current its copy is. */
typedef struct
{
  const char *kind;   /* of the objects */
  uint64_t synced_ms; /* the copy was current then; 0: there is none */
  uint64_t apply_ms;  /* time within which a change takes effect; 0: any */
} DlRelayWant;

/* True while this node, which has just started, should wait until it knows its region's
 * entries or, among many, until it can ask a reader for WANT, instead of reading the
 * store.
 */
bool dl_relay_source_must_wait (DlRelaySource *source, const DlRelayWant *want);
/* Time (dl_clock_ms) from which this entry reads the store itself for WANT, whatever the
 * readers answer; UINT64_MAX for never. */
uint64_t dl_relay_source_direct_ms (const DlRelaySource *source, const DlRelayWant *want);
/* Returns the reader to ask, owned by SOURCE; NULL to ask the store.  *IS_READER is
 * set to whether this entry reads the store for other nodes. */
DlObjectClient *
dl_relay_source_choose (DlRelaySource *source, const DlRelayWant *want, bool *is_reader);

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
/* The reader that was chosen has no fresh objects of KIND, but is reading them.  Returns
 * the backoff before it is asked again, in milliseconds. */
uint64_t dl_relay_source_report_reading (DlRelaySource *source, const char *kind);
/* The reader that was chosen answered with objects of KIND. */
void dl_relay_source_report_success (DlRelaySource *source, const char *kind);
/* The store did not answer a request for WANT. */
void dl_relay_source_report_store_failure (DlRelaySource *source,
                                           const DlRelayWant *want);

#endif
