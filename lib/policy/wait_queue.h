/*
 * Requests that wait at an entry for a free place.
 *
 * The load this answers: more requests than the upstreams have places, for seconds, at
 * callers that come back once.  A request is worth its full value only when its first
 * event arrives within its latency target, so that waiting long is waiting in vain, and
 * refusing late is worse than refusing at once.  The queue knows the rate at which places
 * came free lately.  A request that would wait longer than its share of the target is
 * refused when it arrives; one that waited that long nevertheless is refused then.  The
 * time to come back grows with the queue, spread over a second so that callers do not
 * return together.
 *
 * Requests wait in order of arrival; a more urgent priority counts as an earlier arrival,
 * by a bounded time, so that no organisation is starved.
 *
 * Pure: times are milliseconds that the caller gives.
 */
#ifndef DL_WAIT_QUEUE_H
#define DL_WAIT_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Share of the latency target that a request may wait, as a divisor. */
#define DL_WAIT_TARGET_DIVISOR 5
/* How much earlier each step of priority counts as an arrival. */
#define DL_WAIT_PRIORITY_MS 20
/* Priorities beyond this one are alike. */
#define DL_WAIT_PRIORITY_MAX 9
/* Time over which the rate of placements is measured. */
#define DL_WAIT_RATE_WINDOW_MS 1000
#define DL_WAIT_RETRY_MIN_MS   400
#define DL_WAIT_RETRY_MAX_MS   1900

typedef struct DlWaitQueue DlWaitQueue;

DlWaitQueue *dl_wait_queue_new (const void *context);

/* What becomes of a request that finds no free place. */
typedef enum
{
  DL_WAIT_QUEUED,
  DL_WAIT_REFUSED,
} DlWaitDecision;

/* Queues ITEM, which must not be queued yet, or refuses it. */
DlWaitDecision dl_wait_queue_push (DlWaitQueue *queue,
                                   void *item,
                                   unsigned priority,
                                   uint64_t target_ms,
                                   uint64_t now_ms);
/* The item that is next; NULL when none waits.  It stays queued. */
void *dl_wait_queue_peek (const DlWaitQueue *queue);
/* Takes ITEM out; nothing happens when it is not queued. */
void dl_wait_queue_remove (DlWaitQueue *queue, void *item);
/* Takes out and returns an item that has waited its time; NULL when none has. */
void *dl_wait_queue_expired (DlWaitQueue *queue, uint64_t now_ms);
/* A request was placed: the rate of placements counts it. */
void dl_wait_queue_dispatched (DlWaitQueue *queue, uint64_t now_ms);
size_t dl_wait_queue_length (const DlWaitQueue *queue);
/* Time after which a refused caller should come back. */
uint64_t
dl_wait_queue_retry_ms (const DlWaitQueue *queue, uint64_t random, uint64_t now_ms);

#endif
