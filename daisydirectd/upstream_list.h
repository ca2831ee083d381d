/*
 * The platform's list of upstreams, as the store shows it, published to the other tasks.
 *
 * An upstream that vanishes from the list while the store was away is kept for a moment:
 * its entry may have lapsed only because nobody could renew it.
 */
#ifndef DIRECT_UPSTREAM_LIST_H
#define DIRECT_UPSTREAM_LIST_H

#include "daisydirectd.h"
#include "kernel/object_client.h"

typedef struct DirectUpstreamList DirectUpstreamList;

DirectUpstreamList *direct_upstream_list_new (DlKernel *kernel, const void *owner);
/* An entry of the list appeared, changed or vanished. */
void direct_upstream_list_update (DirectUpstreamList *list, const DlObject *object);
/* The store answers (0) or does not (an error below 0). */
void direct_upstream_list_note_store (DirectUpstreamList *list, int error);
/* Drops upstreams that did not come back on the list in time. */
void direct_upstream_list_expire (DirectUpstreamList *list);
unsigned direct_upstream_list_count (const DirectUpstreamList *list);

#endif
