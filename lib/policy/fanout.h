/*
 * Decides how statuses spread in a fleet of many nodes.
 *
 * In a small fleet each node sends its status to all others.  The number of datagrams
 * grows with the square of the fleet: 149 entries and 156 upstream hosts would send about
 * 180,000 a second.  In a large fleet a few entries of each region, the relays, collect
 * the statuses of its upstream hosts and pass them on in batches, to the entries of the
 * region and to a relay of each other region.  Entries of a region still send each other
 * their own status, so that they notice soon which of them are down.  Two relays do the
 * same work, so that one may fail; what one has passed on the other leaves out.
 *
 * For the same reason only a few entries of each region, the hubs, fetch new weights for
 * its upstream hosts.
 *
 * All nodes rank the entries of a region by the same hash.  Nodes that briefly disagree
 * on which entries are up cost some more datagrams or a short delay.
 *
 * Pure functions.
 */
#ifndef DL_FANOUT_H
#define DL_FANOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A fleet with more entries than this is large. */
#define DL_FANOUT_SMALL_ENTRIES_MAX 16
bool dl_fanout_is_large (unsigned entries);
/* Relays of a region. */
#define DL_FANOUT_RELAYS 2
/* Hubs of a region: enough that their links carry a copy to each of some 40 upstream
 * hosts within seconds. */
#define DL_FANOUT_HUBS 8
/* A hub remains one until so many others rank before it. */
#define DL_FANOUT_HUBS_KEPT 12

/* An entry of one region. */
typedef struct
{
  uint64_t rank; /* dl_fanout_rank of its name; higher ranks first */
  bool alive;    /* a status of it was received lately */
  bool ready;    /* it accepts requests */
} DlFanoutEntry;

/* Of statuses that all entries must have at once, as they tell of a crash, an entry of a
 * large fleet may send so many in a row.  After that it sends one in this time for each
 * entry: when many upstreams break off at once, all entries have something to tell. */
#define DL_FANOUT_BURST       5
#define DL_FANOUT_MS_AN_ENTRY 5
/* What is left of that; zero at the start. */
typedef struct
{
  unsigned used;     /* of DL_FANOUT_BURST */
  uint64_t freed_ms; /* since when time counts that frees one */
} DlFanoutBurst;

/* Whether a status may go to all ENTRIES now; then it counts as sent. */
bool dl_fanout_may_tell_all (DlFanoutBurst *burst, unsigned entries, uint64_t now_ms);

/* Rank of the entry NAME. */
uint64_t dl_fanout_rank (const char *name);
/* Stores in CHOSEN the indexes of the WANTED entries that rank first, best first, and
 * returns their number.  Chooses among the entries that are alive and ready; without such
 * among those alive; without such, as when a node has just started, among all. */
size_t dl_fanout_choose (const DlFanoutEntry *entries,
                         size_t count,
                         size_t wanted,
                         size_t *chosen);
/* Number of entries that rank before one of rank OWN: of those alive, or of all when none
 * is alive. */
size_t dl_fanout_before (const DlFanoutEntry *entries, size_t count, uint64_t own);
/* Whether an entry of its region is a hub, when BEFORE others rank before it and it WAS
 * one. */
bool dl_fanout_is_hub (size_t before, bool was);

#endif
