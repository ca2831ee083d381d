/*
 * Link budgets: a token bucket in bytes.
 *
 * A sender may start while the bucket is not in debt and is charged in full afterwards,
 * so that a chunk larger than the burst can be sent and the rate still holds over time.
 * Times are microseconds of a monotonic clock.
 */
#ifndef DL_BUDGET_H
#define DL_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define DL_BUDGET_FULL_PERMILLE 1000 /* share_permille when the whole rate is in use */

/* The budget of one link. */
typedef struct
{
  uint64_t bytes_per_s; /* 0: no limit */
  uint64_t burst_bytes;
  uint32_t share_permille; /* part of the rate in use */
  double tokens;           /* bytes; negative: debt */
  uint64_t filled_us;      /* when tokens were last added */
} DlBudget;

/* Sets up an empty bucket, with the whole rate in use. */
void dl_budget_init (DlBudget *budget,
                     uint64_t bytes_per_s,
                     uint64_t burst_bytes,
                     uint64_t now_us);
/* Changes the part of the rate in use; tokens accrued so far are kept. */
void dl_budget_set_share (DlBudget *budget, uint32_t permille, uint64_t now_us);
/* True when a sender may start: the bucket is not in debt. */
bool dl_budget_ready (DlBudget *budget, uint64_t now_us);
/* The same, with a debt of up to DEBT_BYTES allowed. */
bool dl_budget_ready_within (DlBudget *budget, uint64_t debt_bytes, uint64_t now_us);
/* Takes BYTES from the bucket, into debt if need be. */
void dl_budget_charge (DlBudget *budget, uint64_t bytes, uint64_t now_us);
/* Returns the microseconds until the budget is ready, 0 when it is; one second while its
 * rate is 0. */
uint64_t dl_budget_wait_us (DlBudget *budget, uint64_t now_us);

#endif
