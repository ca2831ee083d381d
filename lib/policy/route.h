/*
 * Choice of the upstream for one attempt of a request.
 *
 * The load that upstreams report lags, so an entry corrects it by the change in its own
 * requests there since the report.  Among the upstreams that hold the prompt's prefix, or
 * else among the nearest ones with free capacity, two are picked at random and the less
 * loaded of them is used.  Always choosing the least loaded upstream would send every
 * entry to the same one, because many entries choose by the same old reports.
 */
#ifndef DL_ROUTE_H
#define DL_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/crypt.h"

/* Distance between two hosts, in ascending order. */
typedef enum
{
  DL_DISTANCE_SAME_DATA_CENTER, /* same data centre */
  DL_DISTANCE_SAME_REGION,      /* another data centre of the same region */
  DL_DISTANCE_OTHER_REGION,     /* another region */
  DL_DISTANCE_COUNT,
} DlDistance;

/* An upstream of the request's service, as the entry knows it. */
typedef struct
{
  const char *name;
  DlDistance distance;
  bool connected;
  bool accepts;                 /* by its own report; false once it is leaving */
  bool allowed;                 /* by its circuit breaker */
  bool has_prefix;              /* its cache probably holds the prompt's prefix */
  DlDigest version;             /* that it serves; zero for services without weights */
  unsigned capacity;            /* concurrent requests; 0: unknown */
  unsigned queue;               /* requests beyond the capacity that may queue there */
  unsigned reported;            /* requests running and queued, by its last report */
  unsigned in_flight;           /* this entry's requests there now */
  unsigned in_flight_at_report; /* the same when the last report arrived */
} DlRouteCandidate;

/* What a choice depends on besides the candidates. */
typedef struct
{
  DlDigest version;  /* required version; zero: any */
  const char *avoid; /* name of an upstream to use only if there is no other; or NULL */
  uint64_t random;   /* a fresh random number */
} DlRouteQuery;

/* Estimates the number of requests at the upstream now. */
unsigned dl_route_load (const DlRouteCandidate *candidate);
/* True when the upstream would refuse one more request. */
bool dl_route_is_full (const DlRouteCandidate *candidate);
/* Returns the index of the chosen candidate; -EBUSY when every suitable one is full or
 * blocked by its breaker, or -ENOENT when none is suitable. */
int dl_route_choose (const DlRouteCandidate *candidates,
                     size_t count,
                     const DlRouteQuery *query);
/* Distance between two hosts, each given by its region and data centre. */
DlDistance dl_route_distance (const char *region_a,
                              const char *data_center_a,
                              const char *region_b,
                              const char *data_center_b);

#endif
