#include "policy/routing_proof.h"

#include <glib.h>

void
dl_routing_proof_started (DlRoutingProof *proof, uint64_t now_ms)
{
  proof->is_withheld = true;
  proof->is_rewritten = false;
  proof->heard_ms = now_ms + DL_ROUTING_HEARD_MS;
}

void
dl_routing_proof_store_returned (DlRoutingProof *proof, uint64_t now_ms)
{
  proof->is_withheld = true;
  proof->is_relisting = true;
  proof->is_rewritten = false;
  proof->rewritten_by_ms = now_ms + DL_ROUTING_REWRITTEN_MS;
  proof->store_version = 0;
}

void
dl_routing_proof_shown (DlRoutingProof *proof, uint64_t version)
{
  proof->store_version = version;
  proof->highest_version = MAX (proof->highest_version, version);
  /* What the first list shows may be from the copy. */
  if (!proof->is_relisting && version > 0)
    proof->is_rewritten = true;
}

void
dl_routing_proof_told (DlRoutingProof *proof, uint64_t version)
{
  proof->highest_version = MAX (proof->highest_version, version);
}

static bool
counts (const DlRoutingProof *proof, uint64_t synced_ms, uint64_t now_ms)
{
  if (!proof->is_withheld)
    return true;
  if (proof->store_version < proof->highest_version)
    return false;
  return proof->is_rewritten
         || (now_ms >= proof->heard_ms && synced_ms >= proof->rewritten_by_ms);
}

void
dl_routing_proof_synced (DlRoutingProof *proof, uint64_t synced_ms, uint64_t now_ms)
{
  proof->is_relisting = false;
  if (!counts (proof, synced_ms, now_ms))
    return;
  proof->is_withheld = false;
  proof->proven_ms = MAX (proof->proven_ms, synced_ms);
}

bool
dl_routing_proof_is_due (const DlRoutingProof *proof, uint64_t synced_ms, uint64_t now_ms)
{
  return !counts (proof, synced_ms, now_ms) && counts (proof, now_ms, now_ms);
}
