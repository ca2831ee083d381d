/*
 * Whether an upstream takes new requests, by what it announces in its own responses.
 *
 * An instance of an upstream that leaves says so in all its responses, at times before
 * the store lists it as leaving, and stays so until its end.  One that starts again under
 * the same id is another instance, of which nothing is known yet.
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
  bool leaving; /* takes no new requests any more */
} DlAvailability;

/* The instance announced that it leaves.  Returns true for the first time. */
bool dl_availability_leave (DlAvailability *availability);
/* True when new requests may be sent to the instance. */
bool dl_availability_allows (const DlAvailability *availability);
/* True when something was announced that still holds, so that it must be remembered if
 * the instance is no longer listed: it may be listed again. */
bool dl_availability_is_restricted (const DlAvailability *availability);

/* True when the list entry of an upstream, started at LISTED_MS, is of a later instance
 * than the known one, started at KNOWN_MS; both by the wall clock of the upstream, 0 when
 * unknown.  An earlier start is that of an outdated entry. */
bool dl_availability_is_new_instance (uint64_t known_ms, uint64_t listed_ms);
/* True when two start times may be those of the same instance; 0 when unknown. */
bool dl_availability_is_same_instance (uint64_t a_ms, uint64_t b_ms);

#endif
