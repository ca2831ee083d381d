/*
 * Leases kept as objects of a store with conditional writes.
 *
 * A holder may act only until the lease's TTL has passed since it began its last
 * successful write.  Another process may take over only after it has seen the object
 * unchanged for the TTL and a margin.  An object is written before it is seen, so the
 * holder has always stopped by then; each process uses its own monotonic clock, and the
 * clocks need not agree.  Every new holder raises the fence, the fencing token under
 * which it acts.
 *
 * Pure: the caller passes the time and carries out the returned action.
 */
#ifndef DL_LEASE_H
#define DL_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#define DL_LEASE_TEXT_BYTES 129 /* of a name with the closing NUL */

/* The value of the object.  An empty HOLDER means that the lease was released. */
typedef struct
{
  char holder[DL_LEASE_TEXT_BYTES];
  char nonce[DL_LEASE_TEXT_BYTES]; /* of the holder's process */
  uint64_t fence;
  uint64_t ttl_ms;
} DlLeaseValue;

/* What a process has to do about its lease. */
typedef enum
{
  DL_LEASE_WAIT,  /* nothing to do now */
  DL_LEASE_WRITE, /* write VALUE over REVISION, then call dl_lease_write_done */
  DL_LEASE_READ,  /* read the object back, then call dl_lease_read_done */
} DlLeaseAction;

/* Outcome of a write. */
typedef enum
{
  DL_LEASE_COMMITTED, /* the write took effect */
  DL_LEASE_CONFLICT,  /* refused, as the object has another revision */
  DL_LEASE_NOT_SENT,  /* certainly took no effect */
  DL_LEASE_UNKNOWN,   /* may have taken effect */
} DlLeaseOutcome;

/* The action to take next, with what to write for DL_LEASE_WRITE. */
typedef struct
{
  DlLeaseAction action;
  uint64_t revision; /* 0: create the object */
  DlLeaseValue value;
} DlLeaseStep;

/* A lease as one process sees it. */
typedef struct
{
  DlLeaseValue self;  /* what this process writes; FENCE is its last one */
  uint64_t margin_ms; /* added to the TTL of another holder before a takeover */
  bool held;
  uint64_t held_until_ms;
  /* The object as last seen. */
  uint64_t seen_revision; /* 0: no object */
  uint64_t seen_ms;       /* when that revision was first seen */
  DlLeaseValue seen;
  /* The write in progress, or with an unknown outcome. */
  DlLeaseAction pending;     /* WAIT: none; WRITE: in progress; READ: to be read back */
  uint64_t pending_revision; /* that the write is conditional on */
  uint64_t pending_since_ms; /* when the write began */
  DlLeaseValue pending_value;
} DlLease;

/* HOLDER is the name of this process.  NONCE is unique to each process that ever uses
 * that name. */
void dl_lease_init (DlLease *lease,
                    const char *holder,
                    const char *nonce,
                    uint64_t ttl_ms,
                    uint64_t margin_ms);
/* Takes the object as seen in a watch or a list.  Revisions not above the last one seen
 * are ignored. */
void dl_lease_observe (DlLease *lease,
                       uint64_t now_ms,
                       uint64_t revision,
                       const DlLeaseValue *value);
/* True while this process holds the lease and may act under dl_lease_fence. */
bool dl_lease_may_act (const DlLease *lease, uint64_t now_ms);
/* Fencing token of the last write that took effect. */
uint64_t dl_lease_fence (const DlLease *lease);
/* Returns the action to take now.  WANTED: acquire and keep the lease; otherwise release
 * it.  TAKEOVER_DELAY_MS is added to the wait before a takeover, so that others may come
 * first.  A new fence is above FENCE_FLOOR; a holder whose fence is not above it raises
 * its fence. */
DlLeaseStep dl_lease_next (DlLease *lease,
                           uint64_t now_ms,
                           bool wanted,
                           uint64_t takeover_delay_ms,
                           uint64_t fence_floor);
/* The write ended; REVISION is that of the object when COMMITTED. */
void dl_lease_write_done (DlLease *lease,
                          uint64_t now_ms,
                          DlLeaseOutcome outcome,
                          uint64_t revision);
/* The object was read back: REVISION 0 and VALUE NULL when there is none.  Not called for
 * a failed read, which dl_lease_next returns again. */
void dl_lease_read_done (DlLease *lease,
                         uint64_t now_ms,
                         uint64_t revision,
                         const DlLeaseValue *value);

#endif
