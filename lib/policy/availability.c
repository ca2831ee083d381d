#include "policy/availability.h"

bool
dl_availability_leave (DlAvailability *availability)
{
  bool first = !availability->leaving;

  availability->leaving = true;
  return first;
}

bool
dl_availability_allows (const DlAvailability *availability)
{
  return !availability->leaving;
}

bool
dl_availability_is_restricted (const DlAvailability *availability)
{
  return availability->leaving;
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
