/*
 * Whether an upstream takes new requests, by what it announces in its responses and its
 * list entry.
 *
 * An upstream that sheds a request may ask for a hold-off: a time for which it wants no
 * requests from this entry.
 *
 * An instance of an upstream that leaves says so in its list entry, and in all its
 * responses, at times before.  It stays so until its end, even if an older list entry
 * shows it as ready again.  One that starts again under the same id is another instance,
 * of which nothing is known yet.
 *
 * Several listed upstreams may claim one address: that of an ended upstream is assigned
 * again while its entry still stands, and another writer's entry may name any address.
 * Every request names the instance that it is for, so a response tells which one is
 * there.
 *
 * Pure: times are milliseconds given by the caller.
 */
#ifndef DL_AVAILABILITY_H
#define DL_AVAILABILITY_H

#include <stdbool.h>
#include <stdint.h>

/* What one instance of an upstream has announced.  Starts zeroed. */
typedef struct
{
  bool leaving;           /* takes no new requests any more */
  uint64_t hold_until_ms; /* end of its hold-off; 0: it asked for none */
} DlAvailability;

/* A longer hold-off counts as this; the request that is sent after it asks again. */
#define DL_HOLD_OFF_MAX_MS 3600000

/* The instance announced that it leaves.  Returns true for the first time. */
bool dl_availability_leave (DlAvailability *availability);
/* The instance asked for a hold-off of DURATION_MS; one that ends later stays.  Returns
 * true when none was in progress. */
bool dl_availability_hold_off (DlAvailability *availability,
                               uint64_t duration_ms,
                               uint64_t now_ms);
/* Time until the end of the hold-off in progress; 0 for none. */
uint64_t dl_availability_hold_ms (const DlAvailability *availability, uint64_t now_ms);
/* True when new requests may be sent to the instance.  If not, this must be remembered
 * when the instance is no longer listed, as it may be listed again. */
bool dl_availability_allows (const DlAvailability *availability, uint64_t now_ms);

/* Retry-After of a request that is refused because all upstreams hold off, the first of
 * them for HOLD_MS more.  RANDOM spreads the callers. */
uint64_t dl_availability_retry_ms (uint64_t hold_ms, uint64_t random);

/* A caller waits as it is told for up to this part of the time that it has left. */
#define DL_RETURN_DIVISOR 3
/* Retry-After of a request that no upstream can serve for seconds to come, whose caller
 * will wait for REMAINING_MS more: as late as it still returns, since most that return
 * sooner would be refused again.  RANDOM spreads the callers. */
uint64_t dl_availability_return_ms (uint64_t remaining_ms, uint64_t random);

/* True when the list entry of an upstream, started at LISTED_MS, is of a later instance
 * than the known one, started at KNOWN_MS; both by the wall clock of the upstream, 0 when
 * unknown.  An earlier start is that of an outdated entry. */
bool dl_availability_is_new_instance (uint64_t known_ms, uint64_t listed_ms);
/* True when two start times may be those of the same instance; 0 when unknown. */
bool dl_availability_is_same_instance (uint64_t a_ms, uint64_t b_ms);

/* A listed upstream's claim to its address. */
typedef struct
{
  uint64_t listed_ms;    /* when the instance was listed with the address */
  uint64_t responded_ms; /* latest sending of a request that it responded to; 0: none */
} DlAddressClaim;

/* True when RIVAL, another claim to the same address, shows that CLAIM does not hold: its
 * upstream responded to a request that was sent after CLAIM was listed, and the upstream
 * of CLAIM to none later. */
bool dl_availability_is_displaced (const DlAddressClaim *claim,
                                   const DlAddressClaim *rival);

#endif
