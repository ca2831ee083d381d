/* Tests of link budgets: the rate holds over time, and idle time accrues no more than the
 * burst. */
#include "policy/budget.h"
#include "unit.h"

typedef struct
{
  uint64_t bytes_per_s;
  uint64_t burst_bytes;
  uint32_t share_permille;
  uint64_t idle_us; /* before the first charge */
  uint64_t chunk_bytes;
  unsigned chunks;
  uint64_t expected_us; /* until the last chunk may start */
} BudgetCase;

static const BudgetCase budget_cases[] = {
  { 1000000, 0, 1000, 0, 1000, 11, 10000 },
  { 1000000, 0, 500, 0, 1000, 11, 20000 },
  { 1000000, 2000, 1000, 1000000, 1000, 11, 8000 },
  { 0, 0, 1000, 0, 1000, 11, 0 },
};

static void
test_rate (void)
{
  for (size_t i = 0; i < sizeof budget_cases / sizeof budget_cases[0]; i++)
    {
      const BudgetCase *c = &budget_cases[i];
      uint64_t start = 1000000 + c->idle_us;
      uint64_t now = start;
      DlBudget budget;

      dl_budget_init (&budget, c->bytes_per_s, c->burst_bytes, 1000000);
      dl_budget_set_share (&budget, c->share_permille, 1000000);
      for (unsigned n = 0; n < c->chunks; n++)
        {
          now += dl_budget_wait_us (&budget, now);
          CU_ASSERT_TRUE (dl_budget_ready (&budget, now));
          dl_budget_charge (&budget, c->chunk_bytes, now);
        }
      CU_ASSERT (now - start >= c->expected_us
                 && now - start <= c->expected_us + c->chunks);
    }
}

static const CU_TestInfo budget_tests[] = {
  { "rate", test_rate },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("budget", budget_tests)
