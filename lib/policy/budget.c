#include "policy/budget.h"

#define MICROSECONDS_PER_SECOND 1000000.0

static double
bytes_per_us (const DlBudget *budget)
{
  return (double)budget->bytes_per_s * budget->share_permille
         / (DL_BUDGET_FULL_PERMILLE * MICROSECONDS_PER_SECOND);
}

static void
refill (DlBudget *budget, uint64_t now_us)
{
  if (now_us <= budget->filled_us)
    return;
  budget->tokens += bytes_per_us (budget) * (double)(now_us - budget->filled_us);
  if (budget->tokens > (double)budget->burst_bytes)
    budget->tokens = (double)budget->burst_bytes;
  budget->filled_us = now_us;
}

void
dl_budget_init (DlBudget *budget,
                uint64_t bytes_per_s,
                uint64_t burst_bytes,
                uint64_t now_us)
{
  *budget = (DlBudget){
    .bytes_per_s = bytes_per_s,
    .burst_bytes = burst_bytes,
    .share_permille = DL_BUDGET_FULL_PERMILLE,
    .filled_us = now_us,
  };
}

void
dl_budget_set_share (DlBudget *budget, uint32_t permille, uint64_t now_us)
{
  refill (budget, now_us);
  budget->share_permille = permille;
}

bool
dl_budget_ready_within (DlBudget *budget, uint64_t debt_bytes, uint64_t now_us)
{
  if (budget->bytes_per_s == 0)
    return true;
  refill (budget, now_us);
  return budget->tokens >= -(double)debt_bytes;
}

bool
dl_budget_ready (DlBudget *budget, uint64_t now_us)
{
  return dl_budget_ready_within (budget, 0, now_us);
}

void
dl_budget_charge (DlBudget *budget, uint64_t bytes, uint64_t now_us)
{
  if (budget->bytes_per_s == 0)
    return;
  refill (budget, now_us);
  budget->tokens -= (double)bytes;
}

uint64_t
dl_budget_wait_us (DlBudget *budget, uint64_t now_us)
{
  double rate = bytes_per_us (budget);

  if (dl_budget_ready (budget, now_us))
    return 0;
  if (rate <= 0)
    return (uint64_t)MICROSECONDS_PER_SECOND;
  return (uint64_t)(-budget->tokens / rate) + 1;
}
