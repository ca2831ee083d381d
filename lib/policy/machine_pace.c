#include "policy/machine_pace.h"

#include <glib.h>
#include <math.h>

#define PERCENT 100.0

void
dl_machine_pace_told (DlMachinePace *pace, unsigned percent, uint64_t now_ms)
{
  if (percent == 0)
    return;
  pace->percent = MIN (percent, DL_MACHINE_PACE_MAX_PERCENT);
  pace->told_ms = now_ms;
}

bool
dl_machine_pace_is_told (const DlMachinePace *pace)
{
  return pace->percent > 0;
}

double
dl_machine_pace_at (const DlMachinePace *pace, uint64_t now_ms)
{
  double age_ms = (double)(now_ms - MIN (pace->told_ms, now_ms));

  if (pace->percent == 0)
    return 1;
  return 1 + (pace->percent / PERCENT - 1) * exp2 (-age_ms / DL_MACHINE_PACE_HALF_MS);
}
