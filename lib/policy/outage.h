/*
 * When an upstream that is missing from the platform's list counts as removed.
 *
 * During an outage of the store, registrations of live upstreams expire because they
 * cannot be renewed.  They are written again within DL_OUTAGE_GRACE_MS of the recovery,
 * so until then the absence of an upstream that was found missing at the recovery means
 * nothing.  An upstream that disappears while the store works, or later after the
 * recovery, or after it announced that it leaves, counts as removed at once.
 *
 * The same holds when the store comes back from an older copy: registrations written
 * since are lost, and are written again within the same time.  Such a copy also shows
 * upstreams that have left since, or have announced that they leave.  What was known of
 * these holds until the upstream's own next write.
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

/* What was known of an upstream overrides its entry in an older copy for this long at
 * most. */
#define DL_OUTAGE_MEMORY_MS 60000

/* The state of the calls to the store.  Starts zeroed. */
typedef struct
{
  uint64_t succeeded_ms; /* time of the last successful call; 0: none */
  bool failed;           /* a call has failed since */
  uint64_t recovered_ms; /* end of the last outage; 0: none */
  bool relisting;        /* the list from an older copy is in progress */
} DlOutage;

/* A call to the store failed. */
void dl_outage_call_failed (DlOutage *outage);
/* A call to the store succeeded. */
void dl_outage_call_succeeded (DlOutage *outage, uint64_t now_ms);
/* The store came back from an older copy; the upstreams are listed again. */
void dl_outage_relist_begins (DlOutage *outage);
/* That list is complete. */
void dl_outage_relist_ends (DlOutage *outage, uint64_t now_ms);
/* What was known of an upstream that a list shows. */
typedef struct
{
  bool leaving;        /* it had announced that it leaves */
  uint64_t removed_ms; /* when it was removed from the list; 0: it was not */
  uint64_t started_ms; /* its start according to its last entry; 0: unknown */
} DlUpstreamMemory;
/* Returns until when an upstream that is listed at NOW_MS, with a start at STARTED_MS,
 * still counts as leaving or removed unless its entry changes; 0 when it does not.  An
 * entry in an older copy says nothing about what happened since. */
uint64_t dl_outage_gone_until (const DlOutage *outage,
                               const DlUpstreamMemory *memory,
                               uint64_t started_ms,
                               uint64_t now_ms);
/* An upstream was found missing from the list at NOW_MS.  Returns the time until which to
 * keep it, 0 to remove it at once.  LEAVING: it had announced that it leaves. */
uint64_t dl_outage_keep_until (const DlOutage *outage, bool leaving, uint64_t now_ms);

#endif
