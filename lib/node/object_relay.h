/*
 * What this entry knows of the store's objects, given out to other entries.
 *
 * Speaks the list and watch of the project's own object API (kernel/object_client.h); an
 * answer carries "age_ms", how old the proof is that it shows the newest state.  A watch
 * is answered when something changes, when a newer proof comes in the second half of its
 * wait, or after it.  What
 * has no fresh proof is not given out: 503 tells the asker to ask the store itself.
 */
#ifndef DL_OBJECT_RELAY_H
#define DL_OBJECT_RELAY_H

#include "kernel/http_server.h"
#include "kernel/object_client.h"

typedef struct DlObjectRelay DlObjectRelay;

DlObjectRelay *dl_object_relay_new (DlTask *task, const void *owner);
/* Gives out objects of KIND, whose proofs count for MAX_AGE_MS. */
void
dl_object_relay_add_kind (DlObjectRelay *relay, const char *kind, uint64_t max_age_ms);
/* An object of a known kind is as OBJECT says. */
void dl_object_relay_update (DlObjectRelay *relay, const DlObject *object);
/* All of KIND is known as of REVISION, and was current at PROVEN_MS. */
void dl_object_relay_set_synced (DlObjectRelay *relay,
                                 const char *kind,
                                 uint64_t revision,
                                 uint64_t synced_ms);
/* The store does not answer: those who wait ask it themselves. */
void dl_object_relay_set_unreachable (DlObjectRelay *relay, const char *kind);
/* Answers a list or a watch, perhaps later; false when the path is neither. */
bool dl_object_relay_handle (DlObjectRelay *relay, DlHttpRequest *http);

#endif
