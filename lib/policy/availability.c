#include "policy/availability.h"

#include <glib.h>

/* Part of the longest time that a caller waits, for what the way back takes, and the part
 * of that over which callers are spread. */
#define RETURN_PERCENT        95
#define RETURN_SPREAD_DIVISOR 3
#define PERCENT               100
#define RETRY_SPREAD_MS       300

bool
dl_availability_leave (DlAvailability *availability)
{
  bool first = !availability->leaving;

  availability->leaving = true;
  return first;
}

bool
dl_availability_hold_off (DlAvailability *availability,
                          uint64_t duration_ms,
                          uint64_t now_ms)
{
  bool first = dl_availability_hold_ms (availability, now_ms) == 0;
  uint64_t until_ms = now_ms + MIN (duration_ms, DL_HOLD_OFF_MAX_MS);

  availability->hold_until_ms = MAX (availability->hold_until_ms, until_ms);
  return first && duration_ms > 0;
}

uint64_t
dl_availability_hold_ms (const DlAvailability *availability, uint64_t now_ms)
{
  uint64_t until_ms = availability->hold_until_ms;

  return until_ms > now_ms ? until_ms - now_ms : 0;
}

bool
dl_availability_allows (const DlAvailability *availability, uint64_t now_ms)
{
  return !availability->leaving && dl_availability_hold_ms (availability, now_ms) == 0;
}

uint64_t
dl_availability_retry_ms (uint64_t hold_ms, uint64_t random)
{
  return hold_ms + random % RETRY_SPREAD_MS;
}

uint64_t
dl_availability_return_ms (uint64_t remaining_ms, uint64_t random)
{
  uint64_t latest_ms = remaining_ms / DL_RETURN_DIVISOR * RETURN_PERCENT / PERCENT;

  return latest_ms - random % (latest_ms / RETURN_SPREAD_DIVISOR + 1);
}

bool
dl_availability_is_new_instance (uint64_t known_ms, uint64_t listed_ms)
{
  return known_ms != 0 && listed_ms > known_ms;
}

bool
dl_availability_is_same_instance (uint64_t a_ms, uint64_t b_ms)
{
  return a_ms == 0 || b_ms == 0 || a_ms == b_ms;
}

bool
dl_availability_is_displaced (const DlAddressClaim *claim, const DlAddressClaim *rival)
{
  return rival->responded_ms > claim->listed_ms
         && rival->responded_ms > claim->responded_ms;
}
