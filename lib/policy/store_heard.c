#include "policy/store_heard.h"

void
dl_store_heard (DlStoreHeard *heard, uint64_t heard_ms)
{
  if (heard_ms <= heard->last_ms)
    return;
  if (heard->last_ms == 0 || heard_ms - heard->last_ms > DL_STORE_HEARD_GAP_MS)
    heard->since_ms = heard_ms;
  heard->last_ms = heard_ms;
}

void
dl_store_heard_returned (DlStoreHeard *heard, uint64_t now_ms)
{
  heard->since_ms = now_ms;
}

uint64_t
dl_store_heard_for_ms (const DlStoreHeard *heard, uint64_t now_ms)
{
  if (heard->last_ms == 0 || now_ms > heard->last_ms + DL_STORE_HEARD_GAP_MS)
    return 0;
  return now_ms > heard->since_ms ? now_ms - heard->since_ms : 0;
}
