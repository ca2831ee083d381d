/*
 * Tracks the version floor: the oldest version of the weights that may still start a
 * request.
 *
 * Versions can be announced in quick succession.  Each must be in effect a fixed time
 * after its own announcement, and a newer announcement does not extend the time limit of
 * an older one.  A node that has just started reads only the newest announcement from the
 * store, and learns the floor from other nodes.
 *
 * No I/O: times are milliseconds passed in by the caller.
 */
#ifndef DL_VERSION_FLOOR_H
#define DL_VERSION_FLOOR_H

#include <stdbool.h>
#include <stdint.h>

/* Announcements kept; the oldest is in effect long before it is dropped. */
#define DL_VERSION_FLOOR_HISTORY 8
/* No request is sent to an older version from this long before the time limit, since most
 * start within that time. */
#define DL_VERSION_FLOOR_MARGIN_MS 1300
/* One that has not started by then is withdrawn this long before the limit, as it takes
 * time until the upstream notices. */
#define DL_VERSION_FLOOR_WITHDRAW_MS 400

/* The versions announced lately, and the floor of other nodes.  Starts zeroed. */
typedef struct
{
  struct
  {
    uint64_t version;
    uint64_t announced_ms;
  } versions[DL_VERSION_FLOOR_HISTORY]; /* in ascending order of version */
  unsigned count;
  uint64_t peer_floor; /* highest floor reported by another node */
} DlVersionFloor;

/* Records that VERSION was announced at ANNOUNCED_MS.  A version older than the newest
 * one is ignored; for the newest one itself the time is updated. */
void dl_version_floor_announced (DlVersionFloor *floor,
                                 uint64_t version,
                                 uint64_t announced_ms);
/* Records that another node has its floor at VERSION; the floor never falls.  Returns
 * true when this raised the highest floor reported. */
bool dl_version_floor_raise (DlVersionFloor *floor, uint64_t version);
/* Returns the lowest version that may start a request at NOW_MS; 0: any.  LIMIT_MS is the
 * time within which a version must be in effect after its announcement. */
uint64_t
dl_version_floor_at (const DlVersionFloor *floor, uint64_t limit_ms, uint64_t now_ms);
/* Returns the lowest version at which a request that was sent and has not started may
 * still wait at NOW_MS; 0: any. */
uint64_t dl_version_floor_unstarted (const DlVersionFloor *floor,
                                     uint64_t limit_ms,
                                     uint64_t now_ms);
/* Returns the newest version announced here that must be in effect at NOW_MS; 0: none.
 * Unlike dl_version_floor_at, without a margin. */
uint64_t
dl_version_floor_due (const DlVersionFloor *floor, uint64_t limit_ms, uint64_t now_ms);

#endif
