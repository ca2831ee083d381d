/*
 * Whether requests may be served by the routing table in effect, by the age of its proof.
 *
 * Two times bound that age.  A revoked key is refused everywhere after a longer one, also
 * by an entry that nothing reaches: from then on requests with keys are refused.  A
 * change that the store accepted is in effect after a shorter one at every entry that can
 * reach the store.  An entry whose own reads fail, but which hears that the store answers
 * others, must not serve anybody beyond the shorter time, since the table may have been
 * replaced.
 *
 * While no entry hears the store the table can hardly be replaced, and to refuse then
 * would end all service at once.  A change that was accepted after the end of an outage
 * is overdue only when the shorter time has passed since that end.
 *
 * No I/O: times are milliseconds passed in by the caller.
 */
#ifndef DL_ROUTING_TRUST_H
#define DL_ROUTING_TRUST_H

#include "policy/store_heard.h"

/* Entries hear within this time that the store answers again. */
#define DL_ROUTING_SETTLE_MS 500
/* An answer to another entry tells that this one's reads fail when it is younger than the
 * proof by this part of the shorter time; while all reads succeed, proofs of entries
 * differ by less, and so they do at the beginning of an outage. */
#define DL_ROUTING_AHEAD_PERCENT 60

typedef enum
{
  DL_ROUTING_TRUSTED,
  DL_ROUTING_KEYS_UNPROVEN, /* a key may have been revoked */
  DL_ROUTING_OVERDUE,       /* any part may have been replaced */
} DlRoutingTrust;

typedef struct
{
  uint64_t proven_ms;        /* the table was the newest then; 0: not known to be */
  const DlStoreHeard *heard; /* by any entry */
  uint64_t apply_ms;         /* the shorter bound */
  uint64_t keys_max_age_ms;  /* the longer one */
} DlRoutingTrustQuery;

DlRoutingTrust dl_routing_trust (const DlRoutingTrustQuery *query, uint64_t now_ms);

/* What is known of the table by which a request would be denied. */
typedef struct
{
  uint64_t version;
  uint64_t newest_version; /* the highest known here or to another node */
  uint64_t proven_ms;      /* as in DlRoutingTrustQuery */
  uint64_t apply_ms;
} DlRoutingDenialQuery;

/* True when a request that the table does not allow may be told so, which its caller
 * takes for final; otherwise it is refused for a while.  This answers the requests for
 * what a change has added that has not arrived here.  Service goes on by an old table
 * while no entry hears the store, since the alternative is none; a denial by it gains
 * nobody anything. */
bool dl_routing_may_deny (const DlRoutingDenialQuery *query, uint64_t now_ms);

#endif
