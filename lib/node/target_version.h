/*
 * The target version: the newest version of weights announced in the store, and when.
 *
 * A version must be in effect within a time limit that counts from its announcement.  A
 * node that watches the store without a gap observes the announcement.  One that reads
 * another node's copy of the store, or was paused, may see it late.  A node that could
 * not reach the store meanwhile counts from the time when it reaches it again, since it
 * could not learn of the version before, unless a node that observed the announcement
 * reports its age.  A node that has just started finds the version in the store and
 * assumes an age, which may be too high, until another node reports a better one.
 */
#ifndef DL_TARGET_VERSION_H
#define DL_TARGET_VERSION_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/wire.pb-c.h"
#include "node/object_watch.h"

/* Age assumed of a version that was in the store when the node started. */
#define DL_TARGET_ASSUMED_AGE_MS 5000

typedef struct
{
  char *model; /* a talloc child of the functions' OWNER; NULL for no target */
  uint64_t version;
  uint64_t announced_ms; /* dl_clock_ms */
  bool observed;         /* announced_ms is from a node that observed the announcement */
} DlTargetVersion;

/* How a node learned of a version from the store. */
typedef enum
{
  DL_TARGET_OBSERVED,     /* by its own watch of the store, without a gap or a pause */
  DL_TARGET_LATE,         /* it may have been announced a while ago */
  DL_TARGET_AFTER_OUTAGE, /* when the store could be reached again */
  DL_TARGET_AT_START,     /* it was in the store when the node started */
} DlTargetDiscovery;

/* Adopts VERSION, found in the store at NOW_MS, when it is newer or of another model, or
 * its announcement was observed here only.  Returns true when TARGET changed.  MODEL is
 * copied, as a talloc child of OWNER. */
bool dl_target_version_from_store (const void *owner,
                                   DlTargetVersion *target,
                                   const char *model,
                                   uint64_t version,
                                   DlTargetDiscovery how,
                                   uint64_t now_ms);
/* How an object that WATCH reports now was learned of; for use in its on_object. */
DlTargetDiscovery dl_target_version_discovery (const DlObjectWatch *watch);
/* Adopts from another node a newer version, another model, or a better announcement time.
 * Returns true when TARGET changed.  Strings are copied, as talloc children of OWNER. */
bool dl_target_version_from_node (const void *owner,
                                  DlTargetVersion *target,
                                  const Daisyloft__Wire__Named *wire,
                                  uint64_t now_ms);
/* Fills in WIRE for other nodes; its strings are those of TARGET.  Returns false when
 * there is no target version. */
bool dl_target_version_to_wire (const DlTargetVersion *target,
                                Daisyloft__Wire__Named *wire,
                                uint64_t now_ms);

/* True for the name of a model: printable ASCII without spaces, short enough for a
 * datagram. */
bool dl_model_name_is_valid (const char *name);

#endif
