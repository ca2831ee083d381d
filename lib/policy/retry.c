#include "policy/retry.h"

#define BALANCE_MAX ((uint64_t)DL_RETRY_CAP * DL_RETRY_SCALE)

void
dl_retry_init (DlRetryBudget *budget)
{
  budget->balance = BALANCE_MAX;
}

void
dl_retry_first_try (DlRetryBudget *budget, uint64_t percent)
{
  budget->balance += percent;
  if (budget->balance > BALANCE_MAX)
    budget->balance = BALANCE_MAX;
}

bool
dl_retry_spend (DlRetryBudget *budget, uint64_t percent)
{
  if (percent == 0 || budget->balance < DL_RETRY_SCALE)
    return false;
  budget->balance -= DL_RETRY_SCALE;
  return true;
}
