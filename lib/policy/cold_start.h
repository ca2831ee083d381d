/*
 * How many requests an upstream gets while it is cold.
 *
 * An upstream that has just started, or has become cold again, crashes at a rate well
 * above COLD_PER_S requests a second, and those of all entries together are bounded in
 * each second, whether the entries are in contact with each other or not.
 *
 * The entries share the bound without a coordinator.  They rank themselves for each
 * upstream by a hash; the first ones hold a share, and each of these spaces its requests
 * so that all together send COLD_PER_S a second.  A holder may send one request more than
 * its part in a second, so the number of holders is limited to half of what the bound
 * leaves above COLD_PER_S.  The other half is for entries that disagree for a while on
 * which of them are registered, and for those that restart and forget their last request.
 * The ranks count all registered entries, alive or not: an entry that is cut off from the
 * others still knows its own rank.  An entry holds no share until it has been registered
 * for so long that the others know of it.
 *
 * The load that this answers: a burst of all entries at an upstream that looks idle as it
 * has just come back.
 *
 * Pure: times are milliseconds given by the caller.
 */
#ifndef DL_COLD_START_H
#define DL_COLD_START_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* An entry holds shares from this time after its start on. */
#define DL_COLD_JOIN_MS 3000

/* What upstreams of one service tolerate while they are cold. */
typedef struct
{
  double per_s;      /* requests a second of all entries together; 0: any number */
  uint64_t start_ms; /* for so long after a start */
} DlColdTraits;

/* What is allowed beyond that in any one second: PER_S times OVERAGE, and SLACK. */
typedef struct
{
  double overage; /* 1 or more */
  double slack;   /* requests */
} DlColdBound;

/* What one entry may send to one cold upstream. */
typedef struct
{
  bool holds;       /* it has a share */
  unsigned holders; /* among which the rate is divided; at least 1 if it holds */
} DlColdShare;

/* One upstream, as one entry knows it.  Starts zeroed: not cold. */
typedef struct
{
  uint64_t until_ms; /* end of the time for which a response said that it is cold */
  uint64_t listed_until_ms; /* the same by its list entry, if read after that response */
  uint64_t told_ms;         /* when that response arrived; 0: none has */
  uint64_t suspected_ms;    /* it may have become cold then; 0: no reason to think so */
  uint64_t sent_ms;         /* when this entry last sent it a request; 0: never */
} DlColdStart;

/* By the response to a request of SENT_MS the upstream is cold for REMAINING_MS from now.
 * Responses may arrive in another order than they were sent in: one to a request from
 * before the last response does not shorten the time. */
void dl_cold_start_told (DlColdStart *cold,
                         uint64_t remaining_ms,
                         uint64_t sent_ms,
                         uint64_t now_ms);
/* The same by its list entry, which may be older than the last response: it does not end
 * the time that a response gave. */
void dl_cold_start_listed (DlColdStart *cold, uint64_t remaining_ms, uint64_t now_ms);
/* The upstream may have become cold at NOW_MS, and does not say for how long. */
void dl_cold_start_suspected (DlColdStart *cold, uint64_t now_ms);
/* A request was sent to it. */
void dl_cold_start_sent (DlColdStart *cold, uint64_t now_ms);
/* Time for which it is cold; 0 when it is not. */
uint64_t dl_cold_start_remaining_ms (const DlColdStart *cold,
                                     const DlColdTraits *traits,
                                     uint64_t now_ms);
/* Time until this entry may send it a request; 0 when it may now.  Without a share, until
 * it is not cold any more. */
uint64_t dl_cold_start_wait_ms (const DlColdStart *cold,
                                const DlColdTraits *traits,
                                DlColdShare share,
                                uint64_t now_ms);
/* Number of entries that may hold a share; at least 1. */
unsigned dl_cold_holders_max (const DlColdTraits *traits, const DlColdBound *bound);
/* The share of the entry SCORES[SELF] among the COUNT registered ones.  A score is that
 * of the entry for the upstream, alike at all entries; higher ones rank first. */
DlColdShare dl_cold_share (const uint64_t *scores,
                           size_t count,
                           size_t self,
                           const DlColdTraits *traits,
                           const DlColdBound *bound);

#endif
