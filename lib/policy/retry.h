/*
 * Retry budget of one entry for one service.
 *
 * Each first attempt earns a fraction of a retry, each retry spends a whole one, and the
 * balance is capped.  In any period the number of retries is at most the given percentage
 * of the first attempts plus the cap, so that retries cannot multiply the load on
 * upstreams that fail at the same time.
 */
#ifndef DL_RETRY_H
#define DL_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#define DL_RETRY_SCALE 100 /* balance units per retry; a first attempt earns PERCENT */
#define DL_RETRY_CAP   10  /* retries that can accumulate, unless set otherwise */

/* The budget, counted in hundredths of a retry. */
typedef struct
{
  uint64_t balance; /* in units of 1/DL_RETRY_SCALE retry */
  uint64_t cap;     /* in the same units */
} DlRetryBudget;

/* Starts with a full balance of DL_RETRY_CAP retries. */
void dl_retry_init (DlRetryBudget *budget);
/* Starts with an empty balance that accumulates up to CAP retries, for entries that share
 * one allowance. */
void dl_retry_init_share (DlRetryBudget *budget, uint64_t cap);
/* Earns PERCENT hundredths of a retry for a first attempt. */
void dl_retry_first_attempt (DlRetryBudget *budget, uint64_t percent);
/* True when a retry can be spent. */
bool dl_retry_allows (const DlRetryBudget *budget, uint64_t percent);
/* Spends one retry; false when the budget has none left, or PERCENT is 0. */
bool dl_retry_spend (DlRetryBudget *budget, uint64_t percent);
/* Returns a retry that was spent but not sent. */
void dl_retry_return (DlRetryBudget *budget);

#endif
