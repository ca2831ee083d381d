/* Tests of the throttle: the share of the link that weights get while live requests run.
 */
#include "policy/throttle.h"
#include "unit.h"

#define INTERVAL_US 200000

typedef struct
{
  uint64_t base_us;  /* delay of live requests before the transfer */
  uint64_t delay_us; /* their delay during the transfer; 0: no requests */
  unsigned intervals;
  uint32_t least, most; /* bounds of the share afterwards, in permille */
} ThrottleCase;

static const ThrottleCase throttle_cases[] = {
  { 10000, 10000, 10, 1000, 1000 }, /* delay unchanged */
  { 10000, 11000, 10, 1000, 1000 }, /* within the tolerance */
  { 10000, 20000, 3, 300, 400 },    /* cut by a factor */
  { 10000, 20000, 100, 100, 100 },  /* never below the minimum */
  { 10000, 0, 10, 1000, 1000 },     /* no requests */
  { 0, 50000, 10, 1000, 1000 },     /* first requests arrive during the transfer */
};

static void
test_cases (void)
{
  for (size_t i = 0; i < sizeof throttle_cases / sizeof throttle_cases[0]; i++)
    {
      const ThrottleCase *c = &throttle_cases[i];
      uint64_t now = 0;
      uint32_t share = 0;
      DlThrottle throttle;

      dl_throttle_init (&throttle, now);
      dl_throttle_sample (&throttle, c->base_us, false);
      for (unsigned n = 0; n < c->intervals; n++)
        {
          now += INTERVAL_US;
          dl_throttle_sample (&throttle, c->delay_us, true);
          share = dl_throttle_share (&throttle, now);
        }
      CU_ASSERT (share >= c->least && share <= c->most);
    }
}

static void
test_recovers (void)
{
  DlThrottle throttle;
  uint64_t now = 0;

  dl_throttle_init (&throttle, now);
  dl_throttle_sample (&throttle, 10000, false);
  dl_throttle_sample (&throttle, 90000, true);
  for (int i = 0; i < 5; i++)
    dl_throttle_share (&throttle, now += INTERVAL_US);
  CU_ASSERT (throttle.share_permille < 200);
  dl_throttle_sample (&throttle, 10000, true);
  for (int i = 0; i < 25; i++)
    dl_throttle_share (&throttle, now += INTERVAL_US);
  CU_ASSERT_EQUAL (throttle.share_permille, 1000);
}

static const CU_TestInfo throttle_tests[] = {
  { "share by delay", test_cases },
  { "share recovers", test_recovers },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("yield", throttle_tests)
