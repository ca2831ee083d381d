/*
 * How the end of an attempt relates to the time that its upstream was given.
 *
 * An upstream ends a run at the end of the time that it was given, whatever it has sent
 * by then.  Its clock and the caller's entry's measure the same time, so that its end
 * often comes just before the entry's own.  That is no failure of the upstream.
 *
 * Pure functions: no clock, no sockets.
 */
#ifndef DL_TIME_LIMIT_H
#define DL_TIME_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* How much earlier than given an end may be seen: clocks are read once in an iteration of
 * the event loop, and both sides drop parts of milliseconds. */
#define DL_TIME_LIMIT_ALLOWANCE_MS 40
/* The allowance is at most the given time divided by this. */
#define DL_TIME_LIMIT_SHARE 8

/* An attempt that ended without a complete response. */
typedef struct
{
  uint64_t given_ms;   /* time that its upstream was given when it was sent; 0: none */
  uint64_t elapsed_ms; /* from then to its end */
} DlAttemptTime;

/* True when the attempt ended because the time that its upstream was given was over. */
bool dl_time_limit_reached (const DlAttemptTime *attempt);

#endif
