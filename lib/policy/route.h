/*
 * Choice of an upstream for one try of a request.
 *
 * The load that upstreams report lags, so that an entry adds what it sent itself since
 * the report.  Among upstreams that hold the prompt's prefix, or else among the nearest
 * that have room, two drawn at random are compared and the less loaded one is taken: with
 * many entries choosing on old reports, taking the least loaded of all would send every
 * entry to the same upstream.
 */
#ifndef DL_ROUTE_H
#define DL_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/crypt.h"

typedef enum
{
  DL_DISTANCE_DATA_CENTER, /* the same one */
  DL_DISTANCE_REGION,      /* another data centre of the same region */
  DL_DISTANCE_FAR,
  DL_DISTANCES,
} DlDistance;

/* An upstream of the request's service, as the entry knows it. */
typedef struct
{
  const char *name;
  DlDistance distance;
  bool connected;
  bool accepts;                 /* by its own word; false once it is leaving */
  bool allowed;                 /* by its breaker */
  bool has_prefix;              /* its cache is thought to hold the prompt's prefix */
  DlDigest version;             /* that it answers from; zero for plain services */
  unsigned capacity;            /* requests at once; 0: not known */
  unsigned queue;               /* requests beyond the capacity that may wait there */
  unsigned reported;            /* running and waiting, by its last report */
  unsigned in_flight;           /* this entry's requests there now */
  unsigned in_flight_at_report; /* the same when the last report came */
} DlRouteCandidate;

typedef struct
{
  DlDigest version;  /* only this one; zero: any */
  const char *avoid; /* taken only when there is no other; NULL for none */
  uint64_t random;
} DlRouteQuery;

/* Requests at the upstream now, as far as the entry can know. */
unsigned dl_route_load (const DlRouteCandidate *candidate);
/* True when the upstream would refuse one more request. */
bool dl_route_is_full (const DlRouteCandidate *candidate);
/* Returns the index of the chosen candidate; -EBUSY when all that would do are full, and
 * -ENOENT when none would do. */
int dl_route_choose (const DlRouteCandidate *candidates,
                     size_t count,
                     const DlRouteQuery *query);
DlDistance dl_route_distance (const char *region_a,
                              const char *data_center_a,
                              const char *region_b,
                              const char *data_center_b);

#endif
