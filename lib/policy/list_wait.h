/*
 * How long the response to a list may take to begin.
 *
 * On a link whose queue is longer than the time limit every response comes too late.  It
 * still takes its time on the link, so that calls which are given up and repeated keep
 * the queue long.  After a call that timed out without a byte the next one may take
 * longer.
 *
 * Pure.
 */
#ifndef DL_LIST_WAIT_H
#define DL_LIST_WAIT_H

#include <stdbool.h>
#include <stdint.h>

/* The time beyond the usual limit: at first none, then these bounds. */
#define DL_LIST_WAIT_FIRST_MS 900
#define DL_LIST_WAIT_MAX_MS   3600

/* Returns the time for the next call after one that had LAST_MS and failed, or TIMED_OUT
 * without a byte. */
uint64_t dl_list_wait_next_ms (uint64_t last_ms, bool timed_out);

#endif
