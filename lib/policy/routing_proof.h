/*
 * As of when the routing table in effect is known to be the operators' newest.
 *
 * Keys are revoked by new routing tables, so requests with keys are served only while
 * this time is recent.  A response of the store proves that the table it shows was the
 * newest when the request was sent.  After the store came back from an older copy this
 * does not hold: a table that it had acknowledged may be lost, whether or not it was seen
 * here.  Operators write lost tables again, so proofs count again once the store shows
 * at least the highest version known to any node, and
 *   - a table was written since the return, which was then the operators' newest, or
 *   - the time within which lost objects are written again is over.
 * Until then the proofs from before the return stay valid for their usual time.
 *
 * A node that has just started does not know whether the store came back shortly before,
 * so its proofs count after it had the time to hear the highest version from the others.
 *
 * No I/O: times are milliseconds passed in by the caller.
 */
#ifndef DL_ROUTING_PROOF_H
#define DL_ROUTING_PROOF_H

#include <stdbool.h>
#include <stdint.h>

/* Objects that were lost are written again within this time of the store's return. */
#define DL_ROUTING_REWRITTEN_MS 2100
/* Within this time of its start a node has heard the status of the others. */
#define DL_ROUTING_HEARD_MS 900

/* Starts zeroed. */
typedef struct
{
  uint64_t highest_version; /* known here or to another node */
  uint64_t store_version;   /* that the store shows; 0 for none */
  uint64_t proven_ms;       /* the result; 0 before the first proof */
  bool is_relisting;        /* the list after a return is in progress */
  bool is_rewritten;        /* a table was written since the return */
  bool is_withheld;         /* proofs do not count yet */
  uint64_t heard_ms;        /* when the others' status has been heard after the start */
  /* From then on the store's state counts, even if the table was not rewritten. */
  uint64_t rewritten_by_ms;
} DlRoutingProof;

/* This node started at NOW_MS; the store tells eras, so it may have returned before. */
void dl_routing_proof_started (DlRoutingProof *proof, uint64_t now_ms);
/* The store came back from an older copy. */
void dl_routing_proof_store_returned (DlRoutingProof *proof, uint64_t now_ms);
/* The store shows VERSION, 0 for no table. */
void dl_routing_proof_shown (DlRoutingProof *proof, uint64_t version);
/* Another node knows VERSION. */
void dl_routing_proof_told (DlRoutingProof *proof, uint64_t version);
/* What the store showed was its state at SYNCED_MS; the list after a return is complete.
 */
void dl_routing_proof_synced (DlRoutingProof *proof, uint64_t synced_ms, uint64_t now_ms);

/* True when the store's state at SYNCED_MS does not count, but its present one would. */
bool dl_routing_proof_is_due (const DlRoutingProof *proof,
                              uint64_t synced_ms,
                              uint64_t now_ms);

#endif
