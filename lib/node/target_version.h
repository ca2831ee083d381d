/*
 * The newest version of weights that was named, and when.
 *
 * The time in which a version must be in force counts from its name.  A node that watches
 * the store sees the name arrive.  One that did not reach the store meanwhile counts from
 * when it does again, as nobody could be told before, unless another node that saw the
 * name tells its age.  One that has just started only finds the name there, and takes it
 * for older than it may be until it is told.
 */
#ifndef DL_TARGET_VERSION_H
#define DL_TARGET_VERSION_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/wire.pb-c.h"
#include "node/object_watch.h"

/* Age that is assumed of a name that was found. */
#define DL_TARGET_ASSUMED_AGE_MS 5000

typedef struct
{
  char *model; /* below the structure's owner; NULL for none */
  uint64_t version;
  uint64_t announced_ms;
  bool witnessed; /* a node saw it being named */
} DlTargetVersion;

/* How a node came to know of a name. */
typedef enum
{
  DL_TARGET_OBSERVED,     /* by a watch that had heard the store all the time before */
  DL_TARGET_AFTER_OUTAGE, /* when the store was heard again */
  DL_TARGET_AT_START,     /* it was there when the node started */
} DlTargetDiscovery;

/* The store names VERSION at NOW.  Returns true when NAMED changed. */
bool dl_target_version_from_store (const void *owner,
                                   DlTargetVersion *named,
                                   const char *model,
                                   uint64_t version,
                                   DlTargetDiscovery how,
                                   uint64_t now_ms);
/* How what WATCH tells of now came to be known. */
DlTargetDiscovery dl_target_version_discovery (const DlObjectWatch *watch);
/* Another node tells.  Returns true when NAMED changed. */
bool dl_target_version_from_node (const void *owner,
                                  DlTargetVersion *named,
                                  const Daisyloft__Wire__Named *told,
                                  uint64_t now_ms);
/* What to tell other nodes; refers to NAMED.  False when nothing was named. */
bool dl_target_version_to_wire (const DlTargetVersion *named,
                                Daisyloft__Wire__Named *told,
                                uint64_t now_ms);

#endif
