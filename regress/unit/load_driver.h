/*
 * Simulates an engine that takes weights, and its stagers, in memory with a virtual
 * clock.
 *
 * The engine takes what is staged as it accepts a command.  Staged chunks rot, calls land
 * late or never, the engine starts again.  Each stager follows the rules of daisystaged
 * (load.c, weights.c, stage.c), as far as they touch what is staged and the proof; it may
 * stand still, and a successor knows nothing of what it has under way.
 */
#ifndef LOAD_DRIVER_H
#define LOAD_DRIVER_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint64_t seed;
  unsigned steps;
  bool successors; /* stagers are killed, and others start */
  bool print;      /* each event, to standard error */
} LoadDriverOptions;

typedef struct
{
  bool holds;        /* no weights counted as sound that were taken bad */
  unsigned step;     /* at which it did not hold */
  unsigned taken;    /* loads that the engine took */
  unsigned bad;      /* of these, with a chunk that was not good */
  unsigned unseen;   /* of all, by a command without a response */
  unsigned proven;   /* loads that came to count as sound */
  unsigned restarts; /* of the engine */
} LoadDriverResult;

/* Runs a random schedule, until its end or until it does not hold. */
LoadDriverResult load_driver_run (const LoadDriverOptions *options);

#endif
