#include "policy/routing_trust.h"

#define PERCENT 100

/* The store has answered others for so long after the proof that a change may be overdue.
 */
static bool
is_overdue (const DlRoutingTrustQuery *q, uint64_t now_ms)
{
  uint64_t ahead_ms = q->apply_ms * DL_ROUTING_AHEAD_PERCENT / PERCENT;

  return q->proven_ms != 0 && now_ms - q->proven_ms >= q->apply_ms
         && q->heard->last_ms >= q->proven_ms + ahead_ms
         && dl_store_heard_for_ms (q->heard, now_ms)
                >= q->apply_ms + DL_ROUTING_SETTLE_MS;
}

DlRoutingTrust
dl_routing_trust (const DlRoutingTrustQuery *q, uint64_t now_ms)
{
  if (is_overdue (q, now_ms))
    return DL_ROUTING_OVERDUE;
  if (q->proven_ms == 0 || now_ms - q->proven_ms >= q->keys_max_age_ms)
    return DL_ROUTING_KEYS_UNPROVEN;
  return DL_ROUTING_TRUSTED;
}

bool
dl_routing_may_deny (const DlRoutingDenialQuery *q, uint64_t now_ms)
{
  return q->proven_ms != 0 && now_ms - q->proven_ms < q->apply_ms
         && q->version >= q->newest_version;
}
