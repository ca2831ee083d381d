/*
 * How long work takes on an upstream's machine, by its responses.
 *
 * Upstreams share their machines with others, so that their pace changes several times a
 * second.  A figure loses its worth with its age: what is not known counts as usual.
 *
 * Pure: times are milliseconds given by the caller.
 */
#ifndef DL_MACHINE_PACE_H
#define DL_MACHINE_PACE_H

#include <stdbool.h>
#include <stdint.h>

/* After this time a figure is worth half. */
#define DL_MACHINE_PACE_HALF_MS 200
/* A larger figure counts as this. */
#define DL_MACHINE_PACE_MAX_PERCENT 2000

/* One upstream's pace.  Starts zeroed: not known. */
typedef struct
{
  unsigned percent; /* 100: as usual; more is slower; 0: never told */
  uint64_t told_ms;
} DlMachinePace;

/* The upstream said at NOW_MS that work takes PERCENT of the usual time; 0 is ignored. */
void dl_machine_pace_told (DlMachinePace *pace, unsigned percent, uint64_t now_ms);
/* True when it has ever said so. */
bool dl_machine_pace_is_told (const DlMachinePace *pace);
/* The pace that is to be expected at NOW_MS: 1 is usual, more is slower. */
double dl_machine_pace_at (const DlMachinePace *pace, uint64_t now_ms);

#endif
