/*
 * The oldest weights that may still begin a request.
 *
 * The load this answers: versions are named in quick succession, each must be in force a
 * fixed time after it was named, and a newer name does not give an older one more time. A
 * node that has just started finds the newest name only, and is told the floor by others.
 *
 * Pure: times are milliseconds that the caller gives.
 */
#ifndef DL_VERSION_FLOOR_H
#define DL_VERSION_FLOOR_H

#include <stdbool.h>
#include <stdint.h>

/* Names that are remembered; the oldest is in force long before it is forgotten. */
#define DL_VERSION_FLOOR_HISTORY 8
/* A request that is sent just before the limit may begin this much later. */
#define DL_VERSION_FLOOR_MARGIN_MS 1300

typedef struct
{
  struct
  {
    uint64_t version;
    uint64_t announced_ms;
  } versions[DL_VERSION_FLOOR_HISTORY]; /* rising versions */
  unsigned count;
  uint64_t peer_floor; /* what other nodes hold it at */
} DlVersionFloor;

/* VERSION was named at NAMED_MS; an older one changes nothing, the newest one gets the
 * new time. */
void dl_version_floor_announced (DlVersionFloor *floor,
                                 uint64_t version,
                                 uint64_t announced_ms);
/* Another node holds the floor at VERSION; it never falls.  Returns true when that is
 * new. */
bool dl_version_floor_raise (DlVersionFloor *floor, uint64_t version);
/* The lowest version that may begin a request at NOW, with LIMIT_MS from the name until
 * it must be in force; 0: any. */
uint64_t
dl_version_floor_at (const DlVersionFloor *floor, uint64_t limit_ms, uint64_t now_ms);

#endif
