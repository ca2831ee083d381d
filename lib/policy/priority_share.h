/*
 * Whether the requests of a less urgent priority get their share of a service that has
 * too little room.
 *
 * More urgent requests go first.  If they alone could fill the service, the others would
 * get nothing, so a priority is behind when a much smaller part of its requests was sent
 * on lately than of a more urgent one's.  Its requests then count as the most urgent.
 *
 * The load that this answers: requests of several priorities for more room than there is,
 * for longer than a request waits.
 *
 * Pure: times are milliseconds given by the caller.
 */
#ifndef DL_PRIORITY_SHARE_H
#define DL_PRIORITY_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/* Priorities of one service by rank: 0 is the most urgent.  Higher ranks count as the
 * last one. */
#define DL_PRIORITY_RANKS 10
/* A priority is behind when less than this percentage of its requests was sent on, of
 * that of a more urgent one. */
#define DL_PRIORITY_SHARE_PERCENT 75
/* Requests are counted over this time and the one before it. */
#define DL_PRIORITY_WINDOW_MS 2000
/* With fewer requests, nothing is said of a priority. */
#define DL_PRIORITY_REQUESTS_MIN 6

/* Requests of one window. */
typedef struct
{
  unsigned arrived[DL_PRIORITY_RANKS];
  unsigned sent[DL_PRIORITY_RANKS]; /* for the first time */
} DlPriorityCounts;

/* Starts zeroed. */
typedef struct
{
  uint64_t window_ms; /* start of the current window */
  DlPriorityCounts current;
  DlPriorityCounts last;
} DlPriorityShare;

/* A request of RANK arrived, and was sent on for the first time. */
void dl_priority_share_arrived (DlPriorityShare *share, unsigned rank, uint64_t now_ms);
void dl_priority_share_sent (DlPriorityShare *share, unsigned rank, uint64_t now_ms);
/* True when the requests of RANK get less than their share. */
bool dl_priority_share_is_behind (const DlPriorityShare *share, unsigned rank);

#endif
