/*
 * When an upstream that is missing from the platform's list counts as removed.
 *
 * During an outage of the store, registrations of live upstreams expire because they
 * cannot be renewed.  They are written again within DL_OUTAGE_GRACE_MS of the recovery,
 * so until then the absence of an upstream that was found missing at the recovery means
 * nothing.  An upstream that disappears while the store works, or later after the
 * recovery, or after it announced that it leaves, counts as removed at once.
 *
 * Pure: times are milliseconds given by the caller.
 */
#ifndef DL_OUTAGE_H
#define DL_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/* It is an outage when a call has failed and none succeeded for longer than this. */
#define DL_OUTAGE_MIN_MS 2000
/* Live upstreams are on the list again this long after the recovery. */
#define DL_OUTAGE_GRACE_MS 2100
/* An upstream found missing within this time of the recovery is assumed to live, with
 * its registration lost in the outage. */
#define DL_OUTAGE_ABSENT_MS 400

/* The state of the calls to the store.  Starts zeroed. */
typedef struct
{
  uint64_t succeeded_ms; /* time of the last successful call; 0: none */
  bool failed;           /* a call has failed since */
  uint64_t recovered_ms; /* end of the last outage; 0: none */
} DlOutage;

/* A call to the store failed. */
void dl_outage_call_failed (DlOutage *outage);
/* A call to the store succeeded. */
void dl_outage_call_succeeded (DlOutage *outage, uint64_t now_ms);
/* An upstream was found missing from the list at NOW_MS.  Returns the time until which to
 * keep it, 0 to remove it at once.  LEAVING: it had announced that it leaves. */
uint64_t dl_outage_keep_until (const DlOutage *outage, bool leaving, uint64_t now_ms);

#endif
