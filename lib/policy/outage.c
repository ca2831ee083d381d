#include "policy/outage.h"

void
dl_outage_call_failed (DlOutage *outage)
{
  outage->failed = true;
}

void
dl_outage_call_succeeded (DlOutage *outage, uint64_t now_ms)
{
  if (outage->failed && outage->succeeded_ms != 0
      && now_ms - outage->succeeded_ms > DL_OUTAGE_MIN_MS)
    outage->recovered_ms = now_ms;
  outage->failed = false;
  outage->succeeded_ms = now_ms;
}

uint64_t
dl_outage_keep_until (const DlOutage *outage, bool leaving, uint64_t now_ms)
{
  if (leaving || outage->recovered_ms == 0
      || now_ms >= outage->recovered_ms + DL_OUTAGE_ABSENT_MS)
    return 0;
  return outage->recovered_ms + DL_OUTAGE_GRACE_MS;
}
