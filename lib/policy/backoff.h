/*
 * Exponential backoff of calls to one peer: after a failure no call is made for a while,
 * and for twice as long after each further one, up to a bound.  A success ends it.
 *
 * Pure: times are milliseconds given by the caller.
 */
#ifndef DL_BACKOFF_H
#define DL_BACKOFF_H

#include <stdbool.h>
#include <stdint.h>

/* The bounds of the pauses. */
typedef struct
{
  uint64_t first_ms;
  uint64_t max_ms;
} DlBackoffBounds;

/* The state for one peer.  Starts zeroed: calls are allowed. */
typedef struct
{
  uint64_t pause_ms; /* the last one; 0: the last call succeeded */
  uint64_t until_ms; /* no call before then */
} DlBackoff;

/* The pause after one of LAST_MS; 0 for none before. */
uint64_t dl_backoff_next_ms (uint64_t last_ms, const DlBackoffBounds *bounds);
/* Half of PAUSE_MS, and a part of the other half by RANDOM: callers that failed together
 * do not come back together. */
uint64_t dl_backoff_spread_ms (uint64_t pause_ms, uint64_t random);
bool dl_backoff_allows (const DlBackoff *backoff, uint64_t now_ms);
/* A call failed.  Further ones that were in progress then count once.  Returns true when
 * this began a pause. */
bool
dl_backoff_failed (DlBackoff *backoff, const DlBackoffBounds *bounds, uint64_t now_ms);
void dl_backoff_succeeded (DlBackoff *backoff);

#endif
