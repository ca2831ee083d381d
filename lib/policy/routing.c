#include "policy/routing.h"

#include <string.h>
#include <talloc.h>

static int
routing_destroy (DlRouting *routing)
{
  g_hash_table_destroy (routing->keys);
  return 0;
}

DlRouting *
dl_routing_new (const void *context)
{
  DlRouting *routing = talloc_zero (context, DlRouting);

  g_assert (routing != NULL);
  routing->keys = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (routing, routing_destroy);
  return routing;
}

void
dl_routing_add_key (DlRouting *routing, const char *key, DlOrganisation *owner)
{
  g_hash_table_insert (routing->keys, (gpointer)key, owner);
}

static unsigned
known_priority (unsigned priority)
{
  return MIN (priority, DL_ROUTE_PRIORITY_MAX);
}

void
dl_routing_rank_routes (DlRouting *routing)
{
  g_autoptr (GHashTable) services = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < routing->service_count; i++)
    if (!g_hash_table_contains (services, routing->services[i].name))
      g_hash_table_insert (services, (gpointer)routing->services[i].name,
                           &routing->services[i]);
  for (size_t i = 0; i < routing->route_count; i++)
    for (size_t t = 0; t < routing->routes[i].target_count; t++)
      {
        DlServiceEntry *service
            = g_hash_table_lookup (services, routing->routes[i].targets[t].service);

        if (service != NULL)
          service->priorities
              |= (uint16_t)(1u << known_priority (routing->routes[i].priority));
      }
  for (size_t i = 0; i < routing->organisation_count; i++)
    if (routing->organisations[i].has_priority)
      routing->organisation_priorities
          |= (uint16_t)(1u << known_priority (routing->organisations[i].priority));
}

bool
dl_service_is_ranked (const DlServiceEntry *service)
{
  return __builtin_popcount (service->priorities) > 1;
}

/* Number of priorities in SET that are more urgent than PRIORITY. */
static unsigned
rank_in (unsigned set, unsigned priority)
{
  unsigned lower = (1u << known_priority (priority)) - 1;

  return (unsigned)__builtin_popcount (set & lower);
}

unsigned
dl_service_rank (const DlServiceEntry *service, const DlRouteEntry *route)
{
  return rank_in (service->priorities, route->priority);
}

unsigned
dl_routing_rank (const DlRouting *routing,
                 const DlServiceEntry *service,
                 const DlRouteEntry *route,
                 const DlOrganisation *organisation)
{
  unsigned routes = MAX ((unsigned)__builtin_popcount (service->priorities), 1);
  unsigned before = (unsigned)__builtin_popcount (routing->organisation_priorities);

  if (organisation != NULL && organisation->has_priority)
    before = rank_in (routing->organisation_priorities, organisation->priority);
  return before * routes + dl_service_rank (service, route);
}

static DlStr
without_port (DlStr host)
{
  const char *colon = memchr (host.data, ':', host.length);

  if (colon != NULL)
    host.length = (size_t)(colon - host.data);
  return host;
}

static bool
same_host (DlStr a, DlStr b)
{
  return a.length == b.length && g_ascii_strncasecmp (a.data, b.data, a.length) == 0;
}

const DlRouteEntry *
dl_routing_match (const DlRouting *routing, DlStr host, DlStr path)
{
  const DlRouteEntry *best = NULL;

  if (host.length == 0)
    return NULL;
  host = without_port (host);
  for (size_t i = 0; i < routing->route_count; i++)
    {
      const DlRouteEntry *r = &routing->routes[i];

      if (best != NULL && r->prefix.length <= best->prefix.length)
        continue;
      if (dl_str_has_prefix (path, r->prefix) && same_host (r->host, host))
        best = r;
    }
  return best;
}

bool
dl_routing_host_allows (const DlRouting *routing, DlStr host, const char *region)
{
  if (host.length == 0)
    return true;
  host = without_port (host);
  for (size_t i = 0; i < routing->route_count; i++)
    if (same_host (routing->routes[i].host, host)
        && !dl_regions_allow (&routing->routes[i].regions, region))
      return false;
  return true;
}

bool
dl_routing_host_is_confined (const DlRouting *routing, DlStr host)
{
  if (host.length == 0)
    return false;
  host = without_port (host);
  for (size_t i = 0; i < routing->route_count; i++)
    if (routing->routes[i].regions.is_confined
        && same_host (routing->routes[i].host, host))
      return true;
  return false;
}

const DlOrganisation *
dl_routing_key_owner (const DlRouting *routing, const char *key)
{
  return g_hash_table_lookup (routing->keys, key);
}

const DlServiceEntry *
dl_routing_service (const DlRouting *routing, const char *name)
{
  for (size_t i = 0; i < routing->service_count; i++)
    if (strcmp (routing->services[i].name, name) == 0)
      return &routing->services[i];
  return NULL;
}

const char *
dl_routing_pick_target (const DlRouteEntry *route, uint64_t random)
{
  uint64_t total = 0;

  for (size_t i = 0; i < route->target_count; i++)
    total += route->targets[i].weight;
  if (total == 0)
    return NULL;
  random %= total;
  for (size_t i = 0; i < route->target_count; i++)
    {
      if (random < route->targets[i].weight)
        return route->targets[i].service;
      random -= route->targets[i].weight;
    }
  return NULL;
}

bool
dl_routing_may_retry (const DlRouteEntry *route)
{
  switch (route->kind)
    {
    case DL_ROUTE_SAFE:
      return true;
    case DL_ROUTE_ONCE:
      return false;
    case DL_ROUTE_STREAM:
      return route->resumable;
    }
  return false;
}
