/*
 * Leases kept as objects of a store with conditional writes.
 *
 * A holder may act only while less than the lease's time has passed since it began the
 * last write that the store took.  Another may take over only when the object has stood
 * unchanged for that time and a margin since the other first saw it.  What is seen was
 * written before, so the holder has always stopped before; clocks are each process's own
 * monotonic one and need not agree.  Every new holder raises the fence.
 *
 * The code is pure: the clock is given, and what to call next is returned.
 */
#ifndef DL_LEASE_H
#define DL_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#define DL_LEASE_TEXT_BYTES 129 /* of a name with the closing NUL */

/* The object's value.  An empty HOLDER says that the lease was released. */
typedef struct
{
  char holder[DL_LEASE_TEXT_BYTES];
  char nonce[DL_LEASE_TEXT_BYTES]; /* of the holder's process */
  uint64_t fence;
  uint64_t ttl_ms;
} DlLeaseValue;

typedef enum
{
  DL_LEASE_WAIT,  /* nothing to do now */
  DL_LEASE_WRITE, /* write VALUE over REVISION (0: create), then call dl_lease_write_done
                   */
  DL_LEASE_READ,  /* read the object back, then call dl_lease_read_done */
} DlLeaseAction;

/* Outcome of a write. */
typedef enum
{
  DL_LEASE_COMMITTED, /* the store took it */
  DL_LEASE_CONFLICT,  /* refused: the object has another revision */
  DL_LEASE_NOT_SENT,  /* certainly took no effect */
  DL_LEASE_UNKNOWN,   /* may have taken effect */
} DlLeaseOutcome;

typedef struct
{
  DlLeaseAction action;
  uint64_t revision;
  DlLeaseValue value;
} DlLeaseStep;

typedef struct
{
  DlLeaseValue self; /* what this process writes; FENCE is the one held */
  uint64_t margin_ms;
  bool held;
  uint64_t held_until_ms;
  /* The object as last seen. */
  uint64_t seen_revision; /* 0: no object */
  uint64_t seen_ms;       /* when that revision was first seen */
  DlLeaseValue seen;
  /* The write in progress or in doubt. */
  DlLeaseAction pending;
  uint64_t pending_revision; /* that it was conditional on */
  uint64_t pending_since_ms; /* when it began */
  DlLeaseValue pending_value;
} DlLease;

/* NONCE differs for every process that ever uses the name HOLDER. */
void dl_lease_init (DlLease *lease,
                    const char *holder,
                    const char *nonce,
                    uint64_t ttl_ms,
                    uint64_t margin_ms);
/* The object was seen, by a watch or a list; older revisions than one seen are ignored.
 */
void dl_lease_observe (DlLease *lease,
                       uint64_t now_ms,
                       uint64_t revision,
                       const DlLeaseValue *value);
/* The holder may act, under the fence dl_lease_fence. */
bool dl_lease_may_act (const DlLease *lease, uint64_t now_ms);
uint64_t dl_lease_fence (const DlLease *lease);
/* What to do now.  WANTED: acquire and keep it; else release it.  PATIENCE_MS is how much
 * longer than others this process waits to take over.  A new fence is above FENCE_FLOOR;
 * a holder whose fence is not above it raises its own. */
DlLeaseStep dl_lease_next (DlLease *lease,
                           uint64_t now_ms,
                           bool wanted,
                           uint64_t takeover_delay_ms,
                           uint64_t fence_floor);
/* The write ended; REVISION is the one that the store gave when TAKEN. */
void dl_lease_write_done (DlLease *lease,
                          uint64_t now_ms,
                          DlLeaseOutcome outcome,
                          uint64_t revision);
/* The object was read back: REVISION 0 and VALUE NULL when there is none.  A read that
 * failed is not told; dl_lease_next asks for it again. */
void dl_lease_read_done (DlLease *lease,
                         uint64_t now_ms,
                         uint64_t revision,
                         const DlLeaseValue *value);

#endif
