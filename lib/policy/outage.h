/*
 * When an upstream that vanished from the platform's list is taken as gone.
 *
 * The load this answers: the store is away for seconds, and the entries of living
 * upstreams run out meanwhile.  They are written anew within DL_OUTAGE_GRACE_MS of the
 * store's return, so that until then an entry that the return showed to be absent says
 * nothing.  An entry that vanishes while the store is well, later after its return, or
 * that had said it was leaving, is gone at once.
 *
 * Pure: times are milliseconds that the caller gives.
 */
#ifndef DL_OUTAGE_H
#define DL_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/* The store was away when calls failed and none was answered for this long. */
#define DL_OUTAGE_MIN_MS 2000
/* Living upstreams are on the list again this long after the store's return. */
#define DL_OUTAGE_GRACE_MS 2100
/* What vanished during the outage is told this soon after the return. */
#define DL_OUTAGE_ABSENT_MS 400

typedef struct
{
  uint64_t succeeded_ms; /* when the store last answered; 0 for never */
  bool failed;           /* a call failed since */
  uint64_t recovered_ms; /* when it last came back after an outage; 0 for never */
} DlOutage;

/* A call to the store failed. */
void dl_outage_call_failed (DlOutage *outage);
/* The store answered. */
void dl_outage_call_succeeded (DlOutage *outage, uint64_t now_ms);
/* An entry is absent at NOW.  Returns the time until which its upstream is kept, 0 when
 * it is gone at once.  LEAVING: it had said so. */
uint64_t dl_outage_keep_until (const DlOutage *outage, bool leaving, uint64_t now_ms);

#endif
