/*
 * The era of the platform's store, as its responses tell this process.
 *
 * The store begins a new era when it comes back from an older copy.  Writes that it had
 * acknowledged since that copy are lost, and their revisions are used again, so revisions
 * can be compared only within one era.  All clients through which a process reads the
 * same store share one DlObjectEra.
 */
#ifndef DL_OBJECT_ERA_H
#define DL_OBJECT_ERA_H

#include <stdbool.h>
#include <stdint.h>

typedef struct DlObjectEra DlObjectEra;

/* Returns a talloc child of OWNER. */
DlObjectEra *dl_object_era_new (const void *owner);
/* The newest era seen; 0 when no response told one. */
uint64_t dl_object_era_current (const DlObjectEra *era);
/* Records that a response is from era NUMBER, 0 when it did not tell.  Returns false when
 * a newer era has been seen, so that the response is out of date. */
bool dl_object_era_observe (DlObjectEra *era, uint64_t number);
/* Calls FUNC when a new era has begun since the first response.  FUNC must neither
 * subscribe nor start calls.  The subscription ends when OWNER is freed. */
void dl_object_era_subscribe (DlObjectEra *era,
                              const void *owner,
                              void (*func) (void *data),
                              void *data);

#endif
