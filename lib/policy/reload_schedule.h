/*
 * When an upstream takes new weights, and how long it is emptied first.
 *
 * The load this answers: a version must be in force on every upstream within seconds, an
 * upstream that takes weights serves nothing meanwhile, and requests go on.  All at once
 * would be a hole in service; rounds steered through the store would not fit into the
 * time.  So every slot works out its turn from what all of them know: the upstreams'
 * names and the version.  A hash of both orders them, and their turns are spread evenly
 * over the time that the transfer leaves.
 *
 * Waiting for the longest request that runs would keep a nearly empty upstream out of
 * service for seconds.  It is emptied for a short time, in which most requests end; the
 * streams that still run are cut off and go on elsewhere.
 *
 * An upstream without any weights serves nothing anyway and takes them at once.
 *
 * A version that is followed by a newer one so soon that the newer one can be in force in
 * the older one's time is not brought at all: each load takes places away.
 *
 * Pure: times are milliseconds that the caller gives.
 */
#ifndef DL_RELOAD_SCHEDULE_H
#define DL_RELOAD_SCHEDULE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/str.h"

/* Turns begin this long after the name: most transfers are whole by then. */
#define DL_RELOAD_FIRST_MS 2600
/* The last turn begins this long before the limit. */
#define DL_RELOAD_LAST_MS 1900
/* Time for which an upstream is emptied before its requests are cut off. */
#define DL_RELOAD_DRAIN_MS 700

/* A version named this soon after another makes it needless, unless it is here already.
 */
#define DL_RELOAD_SKIP_MS 1500

typedef struct
{
  const char *host;          /* of this upstream */
  const char *const *others; /* hosts of the others that take the version too */
  size_t other_count;
  const char *model;
  uint64_t version;
  uint64_t announced_ms; /* when the version was named */
  uint64_t limit_ms;     /* time from then on in which it must be in force */
  bool is_unloaded;      /* serves no version now */
} DlReloadSchedule;

/* The time from which this upstream may be emptied to take the version. */
uint64_t dl_reload_start_ms (const DlReloadSchedule *turn);
/* True when an upstream that is emptied since EMPTYING_MS, with RUNNING requests left,
 * may be ordered to take the version. */
bool dl_reload_is_drained (uint64_t emptying_ms, unsigned running, uint64_t now_ms);

/* True when a version that is not whole yet, and whose time counts from DUE_FROM_MS,
 * gives way at once to a newer one that was named at NEWER_MS. */
bool dl_reload_skips_version (uint64_t due_from_ms, uint64_t newer_ms);

#endif
