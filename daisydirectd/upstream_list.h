/*
 * The list of upstreams in the platform's store, published to the other tasks.
 *
 * An upstream whose list entry disappeared during an outage of the store is kept for a
 * short time: the entry may have expired only because it could not be renewed.  The same
 * holds when the store came back from an older copy, which lacks entries written since.
 * An upstream that such a copy lists although it has left since is not used until its
 * entry changes (policy/outage.h).
 */
#ifndef DIRECT_UPSTREAM_LIST_H
#define DIRECT_UPSTREAM_LIST_H

#include "daisydirectd.h"
#include "kernel/object_client.h"

typedef struct DirectUpstreamList DirectUpstreamList;

/* The list is a talloc child of OWNER. */
DirectUpstreamList *direct_upstream_list_new (DlKernel *kernel, const void *owner);
/* Applies OBJECT, a list entry that was added, changed or deleted, and publishes the
 * change. */
void direct_upstream_list_update (DirectUpstreamList *list, const DlObject *object);
/* Records that the store responded (ERROR is 0) or did not (ERROR is negative). */
void direct_upstream_list_note_store (DirectUpstreamList *list, int error);
/* The store came back from an older copy; the updates up to the next synced are of the
 * list that it shows. */
void direct_upstream_list_store_returned (DirectUpstreamList *list);
/* The list is up to date. */
void direct_upstream_list_synced (DirectUpstreamList *list);
/* Removes the upstreams that were kept and are not listed again in time, and adopts the
 * entries that were not used for too long. */
void direct_upstream_list_expire (DirectUpstreamList *list);
/* A stager has told of the engine at ADDRESS.  Returns false when one has done so before.
 */
bool direct_upstream_list_heard (DirectUpstreamList *list, const char *address);
/* True when an upstream is listed with weights of which no stager has told yet. */
bool direct_upstream_list_has_unheard (const DirectUpstreamList *list);
/* Number of upstreams, including those that are kept for a while. */
unsigned direct_upstream_list_count (const DirectUpstreamList *list);

#endif
