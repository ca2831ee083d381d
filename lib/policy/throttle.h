/*
 * How much of the link the weights may use while live requests are served: the share
 * falls by a factor when the requests' own delay rises above what it is without a
 * transfer, and grows by steps while it does not.
 *
 * Pure; times are microseconds of a clock that never goes back.
 */
#ifndef DL_THROTTLE_H
#define DL_THROTTLE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint32_t share_permille;
  uint64_t base_us;    /* delay of the requests when nothing is transferred; 0: unknown */
  uint64_t delay_us;   /* the last sample; 0: no requests now */
  uint64_t changed_us; /* when the share was last set */
} DlThrottle;

void dl_throttle_init (DlThrottle *throttle, uint64_t now_us);
/* A new smoothed delay of the live requests, 0 when there are none; TRANSFERRING: weights
 * use the link now. */
void dl_throttle_sample (DlThrottle *throttle, uint64_t delay_us, bool transferring);
/* Decides anew, at most once in each interval; returns the share of the link's rate. */
uint32_t dl_throttle_share (DlThrottle *throttle, uint64_t now_us);

#endif
