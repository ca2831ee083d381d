/*
 * Serves this entry's copy of the store's objects to other entries and stagers.
 *
 * Implements the list and watch of the project's own object API (kernel/object_client.h).
 * A response carries "age_ms": how long before its request arrived the copy was last
 * known to be current (its sync time).  A watch is answered when an object changes, when
 * the copy has been synced again in the second half of the watch's wait, or at the end of
 * the wait.  A copy that was synced too long ago is not served: status 503 tells the
 * client to ask the store. While the objects are being read for the first time, a list
 * waits as long as its client allows.  While a newer copy is being read
 * (policy/read_progress.h), so does a watch, and the responses say so, so that the
 * clients wait for it instead of asking the store.
 *
 * To a client that accepts gzip the objects are sent compressed, and the numbers beside
 * them in headers (kernel/object_client.h), so that one compressed body serves all nodes
 * that miss the same changes.
 *
 * A response also carries "era", that of the store when the copy was read
 * (kernel/object_era.h).  A client that knows a newer one is refused with 503, and one
 * that knows an older one gets a response without objects.  While the objects of a new
 * era are being listed, watches wait.
 */
#ifndef DL_OBJECT_RELAY_H
#define DL_OBJECT_RELAY_H

#include "kernel/http_server.h"
#include "kernel/object_client.h"
#include "policy/read_progress.h"

typedef struct DlObjectRelay DlObjectRelay;

/* Creates a relay without kinds, a talloc child of OWNER. */
DlObjectRelay *dl_object_relay_new (DlTask *task, const void *owner);
/* Adds KIND, which is served while its last sync is at most MAX_AGE_MS old. */
void
dl_object_relay_add_kind (DlObjectRelay *relay, const char *kind, uint64_t max_age_ms);
/* Stores OBJECT, which may be a deletion; ignored unless its kind was added. */
void dl_object_relay_update (DlObjectRelay *relay, const DlObject *object);
/* A complete list of KIND was read at REVISION.  It does not show what was deleted
 * before, so that watches from an earlier revision are told to list again. */
void
dl_object_relay_set_listed (DlObjectRelay *relay, const char *kind, uint64_t revision);
/* The store has begun ERA: drops the copy of KIND, which is served again from the next
 * sync on. */
void dl_object_relay_begin_era (DlObjectRelay *relay, const char *kind, uint64_t era);
/* The objects of KIND are complete up to REVISION of ERA, and were current at SYNCED_MS.
 * Answers the watches that this makes due. */
void dl_object_relay_set_synced (DlObjectRelay *relay,
                                 const char *kind,
                                 uint64_t era,
                                 uint64_t revision,
                                 uint64_t synced_ms);
/* Whether the objects of KIND, of which there is no copy, are being read from the store,
 * and keep arriving. */
void
dl_object_relay_set_reading (DlObjectRelay *relay, const char *kind, bool is_reading);
/* The progress of the read that renews the copy of KIND is told by FUNC. */
typedef DlReadProgress (*DlObjectRelayProgress) (void *data);
void dl_object_relay_set_progress (DlObjectRelay *relay,
                                   const char *kind,
                                   DlObjectRelayProgress func,
                                   void *data);
/* The store does not answer: refuses KIND until the next sync, so that clients ask the
 * store themselves. */
void dl_object_relay_set_unreachable (DlObjectRelay *relay, const char *kind);
/* Answers a list or a watch, perhaps later.  Returns false when the path is neither. */
bool dl_object_relay_handle (DlObjectRelay *relay, DlHttpRequest *http);

#endif
