/*
 * Routing tables: which service serves a request, and whose request it is.
 *
 * A table is one version of what operators configured.  It is made by whoever decodes the
 * platform's form, and never changes afterwards: a newer version is a new table.
 */
#ifndef DL_ROUTING_H
#define DL_ROUTING_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/str.h"

/* What may be repeated of a route's requests. */
typedef enum
{
  DL_ROUTE_SAFE,   /* may run any number of times */
  DL_ROUTE_ONCE,   /* may run once for each request of the caller */
  DL_ROUTE_STREAM, /* answers with events; runs once unless the route is resumable */
} DlRouteKind;

/* One service of a route that is split. */
typedef struct
{
  const char *service;
  unsigned weight;
} DlRouteTarget;

typedef struct
{
  const char *name;
  DlStr host;
  DlStr prefix; /* of the path; begins and ends with "/" */
  DlRouteKind kind;
  bool resumable;
  bool open;              /* needs no key */
  uint64_t timeout_ms;    /* longest time that a caller is kept waiting */
  uint64_t target_ms;     /* latency target: to the first event, or the whole answer */
  uint64_t target_gap_ms; /* longest pause between events; 0 when not told */
  unsigned priority;      /* 0 is the most urgent */
  unsigned attempts_max;  /* upstreams that one request may be sent to */
  DlRouteTarget *targets;
  size_t target_count;
} DlRouteEntry;

/* What a model engine serves, and how its weights come. */
typedef struct
{
  uint64_t usual_prompt_tokens; /* mean */
  unsigned layers;
  unsigned chunks;      /* pieces of one version's weights */
  uint64_t chunk_bytes; /* of each piece */
  const char *model;    /* that the engines serve; NULL when not told */
} DlEngineTraits;

typedef struct
{
  const char *name;
  bool has_engine;
  DlEngineTraits engine;
  const char *origin; /* "IP:PORT" when the service gives out weights, else NULL */
  double origin_mbps; /* of its link; 0 when not told */
} DlServiceEntry;

typedef struct
{
  const char *name;
  bool has_priority;
  unsigned priority; /* goes before the route's */
} DlOrganisation;

/* What callers may send. */
typedef struct
{
  uint64_t header_bytes_max;
  uint64_t body_bytes_max;
} DlCallerLimits;

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
  bool has_organisations; /* requests on routes that are not open need a key */
  GHashTable *keys;       /* key text to DlOrganisation; owned by the table */
} DlRouting;

/* A new empty table below CONTEXT; freeing it frees all that hangs below. */
DlRouting *dl_routing_new (const void *context);
/* Adds KEY for ORGANISATION, both living as long as the table. */
void dl_routing_add_key (DlRouting *routing, const char *key, DlOrganisation *owner);

/* The route of HOST whose prefix is the longest that begins PATH; NULL when none is.
 * HOST may carry a port, which does not count; names compare without case. */
const DlRouteEntry *dl_routing_match (const DlRouting *routing, DlStr host, DlStr path);
/* NULL when nobody holds KEY. */
const DlOrganisation *dl_routing_key_owner (const DlRouting *routing, const char *key);
/* NULL when there is no such service. */
const DlServiceEntry *dl_routing_service (const DlRouting *routing, const char *name);
/* The service that RANDOM draws among the route's targets by weight; NULL without any. */
const char *dl_routing_pick_target (const DlRouteEntry *route, uint64_t random);
/* True when one request of the route may run more than once. */
bool dl_routing_may_retry (const DlRouteEntry *route);

#endif
