#include "policy/lapse.h"

void
dl_lapse_failed (DlLapse *lapse)
{
  lapse->failed = true;
}

void
dl_lapse_answered (DlLapse *lapse, uint64_t now_ms)
{
  if (lapse->failed && lapse->answered_ms != 0
      && now_ms - lapse->answered_ms > DL_LAPSE_OUTAGE_MS)
    lapse->returned_ms = now_ms;
  lapse->failed = false;
  lapse->answered_ms = now_ms;
}

uint64_t
dl_lapse_keep_until (const DlLapse *lapse, bool leaving, uint64_t now_ms)
{
  if (leaving || lapse->returned_ms == 0
      || now_ms >= lapse->returned_ms + DL_LAPSE_FIRST_MS)
    return 0;
  return lapse->returned_ms + DL_LAPSE_RETURN_MS;
}
