/* Weights yield to live requests by their delay. */
#include "policy/yield.h"
#include "unit.h"

#define INTERVAL_US 200000

typedef struct
{
  uint64_t base_us;  /* delay before the transfer */
  uint64_t delay_us; /* delay during it */
  unsigned intervals;
  uint32_t least, most; /* share afterwards */
} YieldCase;

static const YieldCase yield_cases[] = {
  { 10000, 10000, 10, 1000, 1000 }, /* as before */
  { 10000, 11000, 10, 1000, 1000 }, /* within the tolerance */
  { 10000, 20000, 3, 300, 400 },    /* falls by a factor */
  { 10000, 20000, 100, 100, 100 },  /* never below the floor */
  { 10000, 0, 10, 1000, 1000 },     /* no requests */
  { 0, 50000, 10, 1000, 1000 },     /* first requests come during the transfer */
};

static void
test_cases (void)
{
  for (size_t i = 0; i < sizeof yield_cases / sizeof yield_cases[0]; i++)
    {
      const YieldCase *c = &yield_cases[i];
      uint64_t now = 0;
      uint32_t share = 0;
      DlYield yield;

      dl_yield_init (&yield, now);
      dl_yield_sample (&yield, c->base_us, false);
      for (unsigned n = 0; n < c->intervals; n++)
        {
          now += INTERVAL_US;
          dl_yield_sample (&yield, c->delay_us, true);
          share = dl_yield_share (&yield, now);
        }
      CU_ASSERT (share >= c->least && share <= c->most);
    }
}

static void
test_recovers (void)
{
  DlYield yield;
  uint64_t now = 0;

  dl_yield_init (&yield, now);
  dl_yield_sample (&yield, 10000, false);
  dl_yield_sample (&yield, 90000, true);
  for (int i = 0; i < 5; i++)
    dl_yield_share (&yield, now += INTERVAL_US);
  CU_ASSERT (yield.share_permille < 200);
  dl_yield_sample (&yield, 10000, true);
  for (int i = 0; i < 25; i++)
    dl_yield_share (&yield, now += INTERVAL_US);
  CU_ASSERT_EQUAL (yield.share_permille, 1000);
}

static const CU_TestInfo yield_tests[] = {
  { "share by delay", test_cases },
  { "share recovers", test_recovers },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("yield", yield_tests)
