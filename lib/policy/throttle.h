/*
 * Limits the share of the link that weight transfers may use while live requests are
 * served.  The share is cut by a factor when the delay of the requests rises above their
 * delay without a transfer, and otherwise grows in steps.
 *
 * No I/O: times are microseconds of a monotonic clock, passed in by the caller.
 */
#ifndef DL_THROTTLE_H
#define DL_THROTTLE_H

#include <stdbool.h>
#include <stdint.h>

/* State of the limit. */
typedef struct
{
  uint32_t share_permille;
  uint64_t base_us;    /* delay of requests without a transfer; 0: unknown */
  uint64_t delay_us;   /* last sample; 0: no requests */
  uint64_t changed_us; /* when the share was last adjusted */
} DlThrottle;

/* Starts with the full share. */
void dl_throttle_init (DlThrottle *throttle, uint64_t now_us);
/* Records the smoothed delay of the live requests, 0 when there are none.  TRANSFERRING:
 * weights are using the link now. */
void dl_throttle_sample (DlThrottle *throttle, uint64_t delay_us, bool transferring);
/* Returns the share of the link's rate in permille, adjusting it at most once every
 * 200 ms. */
uint32_t dl_throttle_share (DlThrottle *throttle, uint64_t now_us);

#endif
