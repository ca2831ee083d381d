/*
 * When to send a request once more, on a new connection, because the first has had no
 * response.
 *
 * An open connection may go silent for good while new ones work.  A second request after
 * a short delay finds out without giving up the first, since a slow server would
 * otherwise be taken for a silent connection.  When the first response does come, only
 * late, the server is slow: the next request is given more time, so that a slow server
 * does not get each request twice.
 *
 * Pure: times are milliseconds given by the caller.
 */
#ifndef DL_HEDGE_H
#define DL_HEDGE_H

#include <stdint.h>

/* Shortest and longest time from when a response is due to the second request. */
#define DL_HEDGE_DELAY_MIN_MS 400
#define DL_HEDGE_DELAY_MAX_MS 2000

/* Starts zeroed. */
typedef struct
{
  uint64_t late_ms; /* time by which the last response of a first request was late */
} DlHedge;

/* Time from when the response to a first request is due to the second one. */
uint64_t dl_hedge_delay_ms (const DlHedge *hedge);
/* A first request was responded to, LATE_MS after that was due. */
void dl_hedge_first_responded (DlHedge *hedge, uint64_t late_ms);
/* The second request was responded to before the first one. */
void dl_hedge_second_responded (DlHedge *hedge);

#endif
