/*
 * Declarations shared by the files of the set of upstreams.
 *
 * upstreams.c keeps and chooses upstreams, upstreams_claims.c decides which of them is at
 * an address, upstreams_cold.c bounds what cold ones get.
 */
#ifndef DIRECT_UPSTREAMS_PRIVATE_H
#define DIRECT_UPSTREAMS_PRIVATE_H

#include "upstreams.h"

struct DirectUpstreams
{
  const DlNodeSettings *settings;
  DirectUpstream *first;
  unsigned same_region_entry_count; /* that accept requests, this one included */
  unsigned other_region_entry_count;
  DlVersionFloor floor;
  DlEvacuations *evacuations;
  bool evacuations_known;
  uint64_t started_ms;
  DirectMessage *registered; /* the last DIRECT_REGISTERED; NULL before the first */
};

/* -------- upstreams_claims.c -------- */

/* The upstream was listed with its address, to which others may have a claim. */
void direct_upstream_claim_address (DirectUpstream *upstream, uint64_t now_ms);
/* It has no claim any more; which of its rivals is there is open again. */
void direct_upstream_release_address (const DirectUpstream *upstream);

/* -------- upstreams_cold.c -------- */

/* Its list entry was read, and says for how long it is cold or nothing of that. */
void
direct_upstream_listed_cold (DirectUpstream *u, uint64_t remaining_ms, uint64_t now_ms);

/* The upstream may have become cold, and does not say so. */
void direct_upstream_suspect_cold (DirectUpstream *upstream, uint64_t now_ms);
/* Its stager tells that its engine started at STARTED_MS; 0 when unknown. */
void direct_upstream_note_engine_start (DirectUpstream *upstream,
                                        uint64_t started_ms,
                                        uint64_t now_ms);
/* Time until this entry may send it a request of SERVICE, as far as it is cold. */
uint64_t direct_upstream_cold_wait_ms (DirectUpstream *upstream,
                                       const DlServiceEntry *service,
                                       uint64_t now_ms);

#endif
