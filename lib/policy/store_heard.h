/*
 * When the platform's store is known to have answered some entry, this one or another.
 *
 * Entries tell each other when they last heard the store.  So an entry whose own reads
 * fail can tell an outage of the store from a fault between the store and itself.
 *
 * No I/O: times are milliseconds passed in by the caller.
 */
#ifndef DL_STORE_HEARD_H
#define DL_STORE_HEARD_H

#include <stdbool.h>
#include <stdint.h>

/* Without an answer to any entry for this long the store counts as away. */
#define DL_STORE_HEARD_GAP_MS 1500

/* Starts zeroed. */
typedef struct
{
  uint64_t last_ms;  /* the last time at which it is known to have answered; 0: never */
  uint64_t since_ms; /* it has answered without a gap since then */
} DlStoreHeard;

/* The store answered a request that was sent at HEARD_MS. */
void dl_store_heard (DlStoreHeard *heard, uint64_t heard_ms);
/* The store came back from an older copy: an outage has just ended, however short. */
void dl_store_heard_returned (DlStoreHeard *heard, uint64_t now_ms);
/* For how long the store has answered without a gap; 0 while it counts as away. */
uint64_t dl_store_heard_for_ms (const DlStoreHeard *heard, uint64_t now_ms);

#endif
