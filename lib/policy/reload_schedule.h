/*
 * Schedules when each upstream loads a new version, and how long it is drained first.
 *
 * A version must be in effect on every upstream within seconds of its announcement, an
 * upstream serves nothing while it loads weights, and requests keep arriving.  Loading
 * everywhere at once would interrupt the service, and there is no time to coordinate
 * batches through the store.  So each upstream derives its start time from what all of
 * them know: a hash of the hosts' names and the version orders the upstreams, and their
 * loads are spread evenly over the time that is left after the transfer.
 *
 * Waiting for the longest running request would keep a nearly idle upstream out of
 * service for seconds.  So an upstream is drained for a short time only, in which most
 * requests end; streams that still run are cut off and resumed at another upstream.
 *
 * An upstream without any weights serves nothing and loads at once.
 *
 * A version that is followed so soon by a newer one that the newer one can be in effect
 * within the older one's time limit is not loaded at all, because each load takes request
 * slots out of service.
 *
 * No I/O: times are milliseconds passed in by the caller.
 */
#ifndef DL_RELOAD_SCHEDULE_H
#define DL_RELOAD_SCHEDULE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/str.h"

/* Loads start this long after the announcement: most transfers are complete by then. */
#define DL_RELOAD_FIRST_MS 2600
/* The last load starts at least this long before the time limit. */
#define DL_RELOAD_LAST_MS 1900
/* Longest time for which an upstream is drained before its remaining requests are cut
 * off. */
#define DL_RELOAD_DRAIN_MS 700

/* A version announced this soon after another replaces it, unless all chunks of the older
 * one are here already. */
#define DL_RELOAD_SKIP_MS 1500

/* What determines when one upstream loads one version. */
typedef struct
{
  const char *host;          /* of this upstream */
  const char *const *others; /* hosts of the other upstreams that load the version */
  size_t other_count;
  const char *model;
  uint64_t version;
  uint64_t announced_ms; /* when the version was announced */
  uint64_t limit_ms;     /* time after that within which it must be in effect */
  bool is_unloaded;      /* has no weights loaded */
} DlReloadSchedule;

/* Returns the time from which this upstream may be drained to load the version. */
uint64_t dl_reload_start_ms (const DlReloadSchedule *schedule);
/* True when an upstream that has been draining since DRAINING_MS and still has RUNNING
 * requests may be sent the command to load the version. */
bool dl_reload_is_drained (uint64_t draining_ms, unsigned running, uint64_t now_ms);

/* True when a version that is not complete yet, whose time limit counts from DUE_FROM_MS,
 * is skipped in favour of a newer one announced at NEWER_MS. */
bool dl_reload_skips_version (uint64_t due_from_ms, uint64_t newer_ms);

#endif
