#include "policy/retry.h"

void
dl_retry_init (DlRetryBudget *budget)
{
  budget->cap = (uint64_t)DL_RETRY_CAP * DL_RETRY_SCALE;
  budget->balance = budget->cap;
}

void
dl_retry_init_share (DlRetryBudget *budget, uint64_t cap)
{
  budget->cap = cap * DL_RETRY_SCALE;
  budget->balance = 0;
}

void
dl_retry_first_attempt (DlRetryBudget *budget, uint64_t percent)
{
  budget->balance += percent;
  if (budget->balance > budget->cap)
    budget->balance = budget->cap;
}

bool
dl_retry_allows (const DlRetryBudget *budget, uint64_t percent)
{
  return percent > 0 && budget->balance >= DL_RETRY_SCALE;
}

bool
dl_retry_spend (DlRetryBudget *budget, uint64_t percent)
{
  if (!dl_retry_allows (budget, percent))
    return false;
  budget->balance -= DL_RETRY_SCALE;
  return true;
}

void
dl_retry_return (DlRetryBudget *budget)
{
  budget->balance += DL_RETRY_SCALE;
  if (budget->balance > budget->cap)
    budget->balance = budget->cap;
}
