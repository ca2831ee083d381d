/*
 * The platform's list of upstreams, as the store shows it, published to the other tasks.
 *
 * An upstream that vanishes from the list while the store was away is kept for a moment:
 * its entry may have lapsed only because nobody could renew it.
 */
#ifndef DIRECT_LISTED_H
#define DIRECT_LISTED_H

#include "daisydirectd.h"
#include "kernel/object_client.h"

typedef struct DirectListed DirectListed;

DirectListed *direct_listed_new (DlKernel *kernel, const void *owner);
/* An entry of the list appeared, changed or vanished. */
void direct_listed_take (DirectListed *list, const DlObject *object);
/* The store answers (0) or does not (an error below 0). */
void direct_listed_contact (DirectListed *list, int error);
/* Drops upstreams that did not come back on the list in time. */
void direct_listed_sweep (DirectListed *list);
unsigned direct_listed_count (const DirectListed *list);

#endif
