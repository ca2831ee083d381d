/*
 * Routing tables: which service handles a request, and which organisation sent it.
 *
 * A table is one version of the operators' configuration.  The decoder of the platform's
 * format builds it, and it never changes afterwards: a newer version is a new table.
 */
#ifndef DL_ROUTING_H
#define DL_ROUTING_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/str.h"
#include "policy/cold_start.h"
#include "policy/regions.h"

/* Whether requests of a route may be retried. */
typedef enum
{
  DL_ROUTE_SAFE,   /* may run any number of times */
  DL_ROUTE_ONCE,   /* must not run twice for one request of the caller */
  DL_ROUTE_STREAM, /* responds with events; runs once unless the route is resumable */
} DlRouteKind;

/* One of the services among which a route's requests are split. */
typedef struct
{
  const char *service;
  unsigned weight;
} DlRouteTarget;

/* A route: which requests it covers, and how they are handled. */
typedef struct
{
  const char *name;
  DlStr host;
  DlStr prefix; /* of the path; begins and ends with "/" */
  DlRouteKind kind;
  bool resumable;
  bool open;           /* requests need no key */
  uint64_t timeout_ms; /* longest time that a caller waits for a response */
  uint64_t target_ms;  /* latency target: to the first event, or the complete response */
  uint64_t target_gap_ms; /* target for the gap between events; 0: none */
  unsigned priority;      /* 0 is the most urgent */
  unsigned attempts_max;  /* upstreams that may get one request (policy/ending.h) */
  DlRouteTarget *targets;
  size_t target_count;
  DlRegions regions; /* in which its requests may be handled */
} DlRouteEntry;

/* Higher priorities of routes count as this one. */
#define DL_ROUTE_PRIORITY_MAX 9

/* What a model engine serves, and how its weights are distributed. */
typedef struct
{
  uint64_t usual_prompt_tokens; /* mean */
  unsigned layers;
  unsigned chunks;      /* number of chunks of one version's weights */
  uint64_t chunk_bytes; /* of each chunk */
  const char *model;    /* that the engines serve; NULL when unknown */
} DlEngineTraits;

/* A service that routes lead to. */
typedef struct
{
  const char *name;
  bool has_engine;
  DlEngineTraits engine;
  const char *origin; /* "IP:PORT" when the service serves weights, else NULL */
  double origin_mbps; /* rate of its link; 0: unknown */
  DlColdTraits cold;  /* of its upstreams */
  /* Set of the priorities of all routes to it, by dl_routing_rank_routes: bit N stands
   * for priority N. */
  uint16_t priorities;
} DlServiceEntry;

/* An organisation that sends requests. */
typedef struct
{
  const char *name;
  bool has_priority;
  unsigned priority; /* takes precedence over the route's */
  DlRegions regions; /* in which its requests may be handled */
} DlOrganisation;

/* Limits on what callers may send. */
typedef struct
{
  uint64_t header_bytes_max;
  uint64_t body_bytes_max;
} DlCallerLimits;

/* A routing table; freed with talloc. */
typedef struct
{
  uint64_t version;
  DlCallerLimits limits;
  DlRouteEntry *routes;
  size_t route_count;
  DlServiceEntry *services;
  size_t service_count;
  DlOrganisation *organisations;
  size_t organisation_count;
  uint16_t organisation_priorities; /* set of them, as in DlServiceEntry */
  bool has_organisations;           /* requests on routes that are not open need a key */
  GHashTable *keys;                 /* key text to DlOrganisation; owned by the table */
} DlRouting;

/* The parts of a table. */
typedef enum
{
  DL_ROUTING_TABLE, /* the table itself */
  DL_ROUTING_ROUTE,
  DL_ROUTING_SERVICE,
  DL_ROUTING_ORGANISATION,
} DlRoutingPart;

/* Something in a configuration that its table does not show. */
typedef struct
{
  DlRoutingPart part;
  size_t position;  /* in the list of the part, from 1; 0: the list itself */
  const char *name; /* NULL when unknown */
  /* Of an organisation with a key of another one, that one; NULL: the entry was left
   * out. */
  const char *key_sharer;
  const char *reason; /* why it was left out; a static text */
} DlRoutingFault;

/* The faults found in a configuration.  A zeroed list is empty. */
typedef struct
{
  DlRoutingFault *items; /* a talloc array; at most DL_ROUTING_FAULTS_MAX */
  size_t listed;         /* length of ITEMS */
  size_t count;          /* number of all faults */
} DlRoutingFaults;

/* Bounds the memory for a configuration that consists of faults. */
#define DL_ROUTING_FAULTS_MAX 1000

/* Returns an empty table, a talloc child of CONTEXT; freeing it frees its own children.
 */
DlRouting *dl_routing_new (const void *context);
/* Maps KEY to OWNER; both must live as long as the table. */
void dl_routing_add_key (DlRouting *routing, const char *key, DlOrganisation *owner);

/* Sets the sets of priorities; to be called once the table is complete. */
void dl_routing_rank_routes (DlRouting *routing);
/* True when the routes to SERVICE differ in priority. */
bool dl_service_is_ranked (const DlServiceEntry *service);
/* Rank of the route's priority among them; 0: the most urgent. */
unsigned dl_service_rank (const DlServiceEntry *service, const DlRouteEntry *route);
/* Rank of a request for SERVICE: an organisation's priority takes precedence, and among
 * organisations of the same priority that of the route decides.  ORGANISATION may be
 * NULL. */
unsigned dl_routing_rank (const DlRouting *routing,
                          const DlServiceEntry *service,
                          const DlRouteEntry *route,
                          const DlOrganisation *organisation);

/* Returns the route of HOST with the longest prefix of PATH, or NULL.  A port in HOST is
 * ignored; host names compare without regard to case. */
const DlRouteEntry *dl_routing_match (const DlRouting *routing, DlStr host, DlStr path);
/* Returns the organisation that KEY belongs to, or NULL. */
const DlOrganisation *dl_routing_key_owner (const DlRouting *routing, const char *key);
/* True when every confined route of HOST allows REGION; also when HOST has none. */
bool dl_routing_host_allows (const DlRouting *routing, DlStr host, const char *region);
/* True when HOST has a confined route. */
bool dl_routing_host_is_confined (const DlRouting *routing, DlStr host);
/* Returns the service called NAME, or NULL. */
const DlServiceEntry *dl_routing_service (const DlRouting *routing, const char *name);
/* Picks one of the route's services by weight, using RANDOM; NULL when the weights add up
 * to 0. */
const char *dl_routing_pick_target (const DlRouteEntry *route, uint64_t random);
/* True when a request of the route may run more than once. */
bool dl_routing_may_retry (const DlRouteEntry *route);

#endif
