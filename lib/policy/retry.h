/*
 * Retry budget of one entry and service.
 *
 * Each first try earns a fraction of a retry, each retry spends a whole one, and the
 * balance is capped.  Over any stretch of time the retries are at most the percentage of
 * the first tries plus the cap, so that retries cannot multiply the load on upstreams
 * that fail together.
 */
#ifndef DL_RETRY_H
#define DL_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#define DL_RETRY_SCALE 100 /* balance units for one retry: first tries earn PERCENT */
#define DL_RETRY_CAP   10  /* retries that may be saved up, unless told otherwise */

typedef struct
{
  uint64_t balance; /* in parts of DL_RETRY_SCALE */
  uint64_t cap;     /* the same */
} DlRetryBudget;

/* A budget that may spend the whole cap at once. */
void dl_retry_init (DlRetryBudget *budget);
/* An empty budget that saves up to CAP retries: for entries that share one allowance. */
void dl_retry_init_share (DlRetryBudget *budget, uint64_t cap);
void dl_retry_first_try (DlRetryBudget *budget, uint64_t percent);
/* Spends one retry; false when the budget has none left, or PERCENT is 0. */
bool dl_retry_spend (DlRetryBudget *budget, uint64_t percent);

#endif
