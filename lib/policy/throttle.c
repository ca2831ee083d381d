#include "policy/throttle.h"

#define INTERVAL_US          200000
#define FULL_PERMILLE        1000
#define MIN_PERMILLE         100
#define STEP_PERMILLE        40
#define DECREASE_NUMERATOR   7 /* the share is cut to 7/10 */
#define DECREASE_DENOMINATOR 10
/* A delay counts as raised when it exceeds both 1.15 times the base and base + 2 ms. */
#define RAISED_PERCENT 115
#define RAISED_MIN_US  2000
#define BASE_SMOOTHING 16

void
dl_throttle_init (DlThrottle *throttle, uint64_t now_us)
{
  *throttle = (DlThrottle){ .share_permille = FULL_PERMILLE, .changed_us = now_us };
}

/* Without a transfer the base is a moving average of the delay; during a transfer it only
 * falls. */
void
dl_throttle_sample (DlThrottle *throttle, uint64_t delay_us, bool transferring)
{
  throttle->delay_us = delay_us;
  if (delay_us == 0)
    return;
  if (throttle->base_us == 0 || (transferring && delay_us < throttle->base_us))
    throttle->base_us = delay_us;
  else if (!transferring)
    throttle->base_us
        = (throttle->base_us * (BASE_SMOOTHING - 1) + delay_us) / BASE_SMOOTHING;
}

static bool
is_raised (const DlThrottle *throttle)
{
  return throttle->delay_us > throttle->base_us + RAISED_MIN_US
         && throttle->delay_us * 100 > throttle->base_us * RAISED_PERCENT;
}

uint32_t
dl_throttle_share (DlThrottle *throttle, uint64_t now_us)
{
  uint32_t share = throttle->share_permille;

  if (now_us - throttle->changed_us < INTERVAL_US)
    return share;
  throttle->changed_us = now_us;
  if (is_raised (throttle))
    share = share * DECREASE_NUMERATOR / DECREASE_DENOMINATOR;
  else
    share += STEP_PERMILLE;
  if (share < MIN_PERMILLE)
    share = MIN_PERMILLE;
  if (share > FULL_PERMILLE)
    share = FULL_PERMILLE;
  throttle->share_permille = share;
  return share;
}
