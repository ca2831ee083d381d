/*
 * How long a request that may have run waits for another upstream.
 *
 * Such a request can no longer be refused as not executed: it is either completed, or its
 * caller has nothing.  So it waits for as long as its caller does.  Callers give a
 * response up when nothing arrives for some time, which depends on the route's targets.
 *
 * Pure functions: no clock, no sockets.
 */
#ifndef DL_PATIENCE_H
#define DL_PATIENCE_H

#include <stdbool.h>
#include <stdint.h>

/* A caller waits for the next event for this time, or for this many latency targets, or
 * targets for gaps, whichever is longest. */
#define DL_PATIENCE_MIN_MS      2000
#define DL_PATIENCE_TARGETS     4
#define DL_PATIENCE_GAP_TARGETS 8

/* What the caller's patience depends on. */
typedef struct
{
  bool is_stream; /* callers give up only streams early; others wait for the deadline */
  uint64_t target_ms;
  uint64_t target_gap_ms; /* 0: none */
  uint64_t
      received_ms; /* when the caller last received an event; before, when it asked */
  uint64_t deadline_ms; /* of the request */
} DlPatience;

/* Returns the time up to which an attempt may still be started for the caller. */
uint64_t dl_patience_until_ms (const DlPatience *patience);

#endif
