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

void
dl_outage_relist_begins (DlOutage *outage)
{
  outage->relisting = true;
}

void
dl_outage_relist_ends (DlOutage *outage, uint64_t now_ms)
{
  if (outage->relisting)
    outage->recovered_ms = now_ms;
  outage->relisting = false;
}

uint64_t
dl_outage_gone_until (const DlOutage *outage,
                      const DlUpstreamMemory *memory,
                      uint64_t started_ms,
                      uint64_t now_ms)
{
  bool is_other_start = started_ms > memory->started_ms;

  if (!outage->relisting || is_other_start)
    return 0;
  if (memory->removed_ms != 0 && now_ms - memory->removed_ms < DL_OUTAGE_MEMORY_MS)
    return memory->removed_ms + DL_OUTAGE_MEMORY_MS;
  return memory->leaving ? now_ms + DL_OUTAGE_MEMORY_MS : 0;
}

uint64_t
dl_outage_keep_until (const DlOutage *outage, bool leaving, uint64_t now_ms)
{
  if (outage->relisting && !leaving)
    return now_ms + DL_OUTAGE_GRACE_MS;
  if (leaving || outage->recovered_ms == 0
      || now_ms >= outage->recovered_ms + DL_OUTAGE_ABSENT_MS)
    return 0;
  return outage->recovered_ms + DL_OUTAGE_GRACE_MS;
}
