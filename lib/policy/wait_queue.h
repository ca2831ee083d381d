/*
 * Queue of requests that wait at an entry for a free request slot.
 *
 * For seconds at a time there can be more requests than the upstreams have request slots,
 * and callers retry a refused request only once.  A request has its full value only if
 * its first event arrives within its latency target, so a long wait is useless, and
 * refusing late is worse than refusing at once.  The queue measures the rate at which
 * requests were dispatched recently and, in the first second after a quiet time, the
 * rate at which responses made request slots free.  A request that is expected to wait
 * longer than its share of the target is refused when it arrives; one that has waited
 * that long anyway is refused then.  The retry time given to refused callers grows with
 * the queue and is spread over a second, so that they do not return at the same moment.
 *
 * A request that may have run cannot be refused any more: it waits for as long as its
 * caller does, before all others.
 *
 * Where the routes to a service differ in priority, a request is refused by the number of
 * those that go before it, and one that others are put before is refused as soon as it
 * cannot be served in its time any more.
 *
 * Requests wait in order of arrival.  A more urgent priority counts as an earlier
 * arrival, but only by a bounded time, so that no organisation is starved.
 *
 * No I/O: times are milliseconds passed in by the caller.
 */
#ifndef DL_WAIT_QUEUE_H
#define DL_WAIT_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/priority_share.h"

/* A request may wait for the latency target divided by this. */
#define DL_WAIT_TARGET_DIVISOR 5
/* Each step of priority counts as an arrival later by this time. */
#define DL_WAIT_PRIORITY_MS 20
/* The same where the routes to the service differ in priority: longer than a request
 * of a target of up to 2 s waits, so that more urgent ones go first.  One whose priority
 * gets less than its share (priority_share.h) goes as if it were of the most urgent one.
 */
#define DL_WAIT_RANK_MS 400
/* Higher numbers count as this priority, except for ranks. */
#define DL_WAIT_PRIORITY_MAX 9
/* Time over which the dispatch rate is measured. */
#define DL_WAIT_RATE_WINDOW_MS 1000
/* Bounds of the time after which a refused caller should retry. */
#define DL_WAIT_RETRY_MIN_MS 400
#define DL_WAIT_RETRY_MAX_MS 1900

typedef struct DlWaitQueue DlWaitQueue;

/* Returns an empty queue, a talloc child of CONTEXT. */
DlWaitQueue *dl_wait_queue_new (const void *context);

/* What is done with a request that finds no free request slot. */
typedef enum
{
  DL_WAIT_QUEUED,
  DL_WAIT_REFUSED,
} DlWaitDecision;

/* What the place of an item depends on. */
typedef struct
{
  bool is_ranked;     /* the routes to the service differ in priority */
  unsigned priority;  /* 0: the most urgent; if ranked, the request's rank */
  unsigned rank;      /* the same, but for a retry: that of which the share is kept */
  uint64_t target_ms; /* latency target */
} DlWaitClass;

/* Queues ITEM, which must not be queued already, or refuses it.  ITEM is borrowed. */
DlWaitDecision dl_wait_queue_push (DlWaitQueue *queue,
                                   void *item,
                                   const DlWaitClass *class,
                                   uint64_t now_ms);
/* Queues ITEM, which may have run, until EXPIRES_MS, after others of this kind and before
 * all items that were pushed by dl_wait_queue_push. */
void dl_wait_queue_push_begun (DlWaitQueue *queue,
                               void *item,
                               uint64_t expires_ms,
                               uint64_t now_ms);
/* Returns the item behind ITEM, which is queued; the first one for NULL.  NULL when there
 * is none. */
void *dl_wait_queue_after (const DlWaitQueue *queue, const void *item);
/* Removes ITEM; does nothing when it is not queued. */
void dl_wait_queue_remove (DlWaitQueue *queue, void *item);
/* Removes and returns an item whose waiting time is over; NULL when there is none. */
void *dl_wait_queue_expired (DlWaitQueue *queue, uint64_t now_ms);
/* A request of RANK arrived at the service, and was sent on for the first time; both also
 * when it is never queued. */
void dl_wait_queue_arrived (DlWaitQueue *queue, unsigned rank, uint64_t now_ms);
void dl_wait_queue_sent (DlWaitQueue *queue, unsigned rank, uint64_t now_ms);
/* Counts a request that was sent to an upstream in the dispatch rate. */
void dl_wait_queue_dispatched (DlWaitQueue *queue, uint64_t now_ms);
/* Counts a response by which an upstream's request slot became free. */
void dl_wait_queue_responded (DlWaitQueue *queue);
/* Returns the number of queued items. */
size_t dl_wait_queue_length (const DlWaitQueue *queue);
/* Returns the time in milliseconds in which all queued items are expected to leave. */
uint64_t dl_wait_queue_expected_ms (const DlWaitQueue *queue, uint64_t now_ms);
/* Returns the time in milliseconds after which a refused caller should retry. */
uint64_t
dl_wait_queue_retry_ms (const DlWaitQueue *queue, uint64_t random, uint64_t now_ms);

#endif
