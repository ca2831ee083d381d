/*
 * Tracks the version floor: the oldest version of the weights that may still start a
 * request.
 *
 * Versions can be announced in quick succession.  Each must be in effect a fixed time
 * after its own announcement, and a newer announcement does not extend the time limit of
 * an older one.  The store shows only the newest one, so that a node that has just
 * started, or that reads a late copy of the store, does not see the others, or sees them
 * late.  Nodes report to each other what they observed.
 *
 * No I/O: times are milliseconds passed in by the caller.
 */
#ifndef DL_VERSION_FLOOR_H
#define DL_VERSION_FLOOR_H

#include <stdbool.h>
#include <stdint.h>

/* Announcements kept; more are not made within the time limit of one. */
#define DL_VERSION_FLOOR_HISTORY 16
/* Times of one announcement that differ by less are taken as the same. */
#define DL_ANNOUNCEMENT_TOLERANCE_MS 50
/* No request is sent to an older version from this long before the time limit, since most
 * start within that time. */
#define DL_VERSION_FLOOR_MARGIN_MS 1300
/* One that has not started by then is withdrawn this long before the limit, as it takes
 * time until the upstream notices. */
#define DL_VERSION_FLOOR_WITHDRAW_MS 400

/* Within this time after a version was found, a node that observed its announcement
 * reports it; only then the earliest possible time is used instead. */
#define DL_VERSION_FLOOR_SETTLE_MS 1200

/* How well the time of an announcement is known; a later value is better. */
typedef enum
{
  DL_ANNOUNCED_GUESSED,  /* an assumed time */
  DL_ANNOUNCED_BETWEEN,  /* between announced_ms and found_ms */
  DL_ANNOUNCED_OBSERVED, /* by a node that follows the store without a gap */
} DlAnnouncementSource;

/* The announcement of one version. */
typedef struct
{
  uint64_t version;
  DlAnnouncementSource source;
  uint64_t announced_ms;
  uint64_t found_ms; /* when this node learnt of it; used with DL_ANNOUNCED_BETWEEN */
  bool is_own;       /* by its own watch of the store */
} DlAnnouncement;

/* The versions announced lately, and the floor of other nodes.  Starts zeroed. */
typedef struct
{
  DlAnnouncement versions[DL_VERSION_FLOOR_HISTORY]; /* in ascending order of version */
  unsigned count;
  uint64_t peer_floor; /* highest floor reported by another node */
} DlVersionFloor;

/* Adds ANNOUNCEMENT, which may be of any version, unless its time is known as well or
 * better.  Of several observers the earliest is right, the others were late; of several
 * earliest possible times the latest is the best.  Returns true when FLOOR changed. */
bool dl_version_floor_add (DlVersionFloor *floor, const DlAnnouncement *announcement);
/* Adds an observed announcement of VERSION at ANNOUNCED_MS. */
bool dl_version_floor_announced (DlVersionFloor *floor,
                                 uint64_t version,
                                 uint64_t announced_ms);
/* Returns the time from which the limit of VERSION counts, as known at NOW_MS; 0 when its
 * announcement is not known. */
uint64_t dl_version_floor_start_ms (const DlVersionFloor *floor,
                                    uint64_t version,
                                    uint64_t now_ms);
/* Records that another node has its floor at VERSION; the floor never falls.  Returns
 * true when this raised the highest floor reported. */
bool dl_version_floor_raise (DlVersionFloor *floor, uint64_t version);
/* Returns the floor to report to other nodes: that of dl_version_floor_at by observed
 * announcements and the reports of others alone, as it cannot be taken back. */
uint64_t dl_version_floor_certain (const DlVersionFloor *floor,
                                   uint64_t limit_ms,
                                   uint64_t now_ms);
/* Returns the lowest version that may start a request at NOW_MS; 0: any.  LIMIT_MS is the
 * time within which a version must be in effect after its announcement. */
uint64_t
dl_version_floor_at (const DlVersionFloor *floor, uint64_t limit_ms, uint64_t now_ms);
/* Returns the lowest version at which a request that was sent and has not started may
 * still wait at NOW_MS; 0: any. */
uint64_t dl_version_floor_for_waiting (const DlVersionFloor *floor,
                                       uint64_t limit_ms,
                                       uint64_t now_ms);
/* Returns the newest version announced here that must be in effect at NOW_MS; 0: none.
 * Unlike dl_version_floor_at, without a margin. */
uint64_t
dl_version_floor_due (const DlVersionFloor *floor, uint64_t limit_ms, uint64_t now_ms);

#endif
