/*
 * Which whole requests are quarantined, kept in the platform's store, so that the entries
 * still know it after all of them were started anew.
 *
 * One small object a request, written by one of the entries that quarantine it, again
 * when a trial was sent, and deleted when it is released.
 */
#ifndef DIRECT_HELD_REQUESTS_H
#define DIRECT_HELD_REQUESTS_H

#include "daisydirectd.h"
#include "node/object_relay.h"
#include "node/relay_source.h"

/* How long the watch of these objects waits. */
#define DIRECT_HELD_WAIT_MS 5000

typedef struct DirectHeldRequests DirectHeldRequests;

/* As in DlObjectWatchOptions. */
typedef struct
{
  DlRelaySource *source;
  DlObjectRelay *relay;
} DirectHeldOptions;

/* Watches the objects in STORE and publishes them as DIRECT_HELD_KEPT.  It is a talloc
 * child of OWNER. */
DirectHeldRequests *direct_held_requests_new (DlTask *task,
                                              const void *owner,
                                              DlObjectClient *store,
                                              const DirectHeldOptions *options);
/* Writes or deletes the object for MESSAGE, which is DIRECT_HELD_CHANGED. */
void direct_held_requests_change (DirectHeldRequests *held, const DirectMessage *message);

#endif
