/*
 * Which data centres are evacuated.
 *
 * Operators may ask that no upstream of a data centre gets anything new until they take
 * that back.  What is known stays known while the store cannot be reached.  Upstreams may
 * have become cold during an evacuation, so the time of its end is kept.
 *
 * No I/O: times are milliseconds given by the caller.
 */
#ifndef DL_EVACUATION_H
#define DL_EVACUATION_H

#include <stdbool.h>
#include <stdint.h>

typedef struct DlEvacuations DlEvacuations;

/* Returns an empty set, a talloc child of CONTEXT. */
DlEvacuations *dl_evacuations_new (const void *context);
/* DATA_CENTER is evacuated from now on.  Returns true when it was not before. */
bool dl_evacuations_begin (DlEvacuations *evacuations, const char *data_center);
/* The evacuation of DATA_CENTER was taken back.  Returns true when there was one. */
bool
dl_evacuations_end (DlEvacuations *evacuations, const char *data_center, uint64_t now_ms);
/* True while DATA_CENTER is evacuated. */
bool dl_evacuations_include (const DlEvacuations *evacuations, const char *data_center);
/* When the last evacuation of DATA_CENTER ended; 0: none has. */
uint64_t dl_evacuations_ended_ms (const DlEvacuations *evacuations,
                                  const char *data_center);
/* Number of data centres that are evacuated. */
unsigned dl_evacuations_count (const DlEvacuations *evacuations);

#endif
