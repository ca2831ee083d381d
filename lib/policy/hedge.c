#include "policy/hedge.h"

#include <glib.h>

/* A response may take this many times as long as the one before. */
#define LATE_FACTOR 2

uint64_t
dl_hedge_delay_ms (const DlHedge *hedge)
{
  return CLAMP (hedge->late_ms * LATE_FACTOR, DL_HEDGE_DELAY_MIN_MS,
                DL_HEDGE_DELAY_MAX_MS);
}

void
dl_hedge_first_responded (DlHedge *hedge, uint64_t late_ms)
{
  hedge->late_ms = late_ms;
}

void
dl_hedge_second_responded (DlHedge *hedge)
{
  hedge->late_ms = 0;
}
