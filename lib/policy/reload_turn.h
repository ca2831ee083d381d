/*
 * When an upstream takes new weights.
 *
 * The load this answers: a version must be in force on every upstream within seconds,
 * each upstream serves nothing while what runs on it ends and the weights load, and
 * requests go on meanwhile.  All at once would be a hole in service; rounds steered
 * through the store would not fit into the time.  So every slot works out its turn from
 * what all of them know: the upstreams' names and the version.  A hash of both orders
 * them, and the order is cut into groups that start one after the other.
 *
 * An upstream without any weights serves nothing anyway and takes them at once.
 *
 * Pure: times are milliseconds that the caller gives.
 */
#ifndef DL_RELOAD_TURN_H
#define DL_RELOAD_TURN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/str.h"

/* Groups that the upstreams of a version are cut into. */
#define DL_RELOAD_GROUPS 3
/* Time that a load needs at the most: what runs ends, then the weights are taken. */
#define DL_RELOAD_DURATION_MS 3000
/* What is left of the limit after the last group, for clocks, messages and retries. */
#define DL_RELOAD_MARGIN_MS 600
/* From this long before the limit on, what still runs is cut off. */
#define DL_RELOAD_PREEMPT_MS 1600

typedef struct
{
  const char *host;          /* of this upstream */
  const char *const *others; /* hosts of the others that take the version too */
  size_t other_count;
  const char *model;
  uint64_t version;
  uint64_t named_ms; /* when the version was named */
  uint64_t limit_ms; /* time from then on in which it must be in force */
  bool is_empty;     /* serves no version now */
} DlReloadTurn;

/* The time from which this upstream may take the version. */
uint64_t dl_reload_turn_start_ms (const DlReloadTurn *turn);
/* True when what runs must be cut off at NOW, for the version to be in force in time. */
bool dl_reload_turn_must_preempt (const DlReloadTurn *turn, uint64_t now_ms);

#endif
