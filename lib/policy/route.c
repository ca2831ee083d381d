#include "policy/route.h"

#include <errno.h>
#include <string.h>

#define CAPACITY_DEFAULT 64 /* assumed for an upstream that does not report one */

/* The subset of the candidates that passes a filter. */
typedef struct
{
  const DlRouteCandidate *candidates;
  size_t count;
  const DlRouteQuery *query;
  bool need_prefix;
  bool need_capacity; /* leave out upstreams where the request would queue */
  bool skip_avoid;    /* leave out the upstream to avoid */
  bool skip_blocked;  /* leave out upstreams that their breaker blocks */
  DlDistance farthest;
} Pool;

static unsigned
capacity (const DlRouteCandidate *c)
{
  return c->capacity > 0 ? c->capacity : CAPACITY_DEFAULT;
}

/* Adds the change in this entry's requests since the report.  The sum is at least the
 * number of this entry's requests there. */
unsigned
dl_route_load (const DlRouteCandidate *c)
{
  unsigned load = c->reported;

  if (c->in_flight > c->in_flight_at_report)
    load += c->in_flight - c->in_flight_at_report;
  else if (load > c->in_flight_at_report - c->in_flight)
    load -= c->in_flight_at_report - c->in_flight;
  else
    load = 0;
  return load > c->in_flight ? load : c->in_flight;
}

bool
dl_route_is_full (const DlRouteCandidate *c)
{
  return dl_route_load (c) >= capacity (c) + c->queue;
}

static bool
is_suitable (const DlRouteCandidate *c, const DlRouteQuery *q)
{
  return c->connected && c->accepts
         && (dl_digest_is_zero (&q->version)
             || dl_digest_equal (&c->version, &q->version));
}

static bool
pool_contains (const Pool *pool, const DlRouteCandidate *c)
{
  if (!is_suitable (c, pool->query) || dl_route_is_full (c)
      || c->distance > pool->farthest)
    return false;
  if (pool->need_prefix && !c->has_prefix)
    return false;
  if (pool->need_capacity && dl_route_load (c) >= capacity (c))
    return false;
  if (pool->skip_blocked && !c->allowed)
    return false;
  return !(pool->skip_avoid && pool->query->avoid != NULL
           && strcmp (c->name, pool->query->avoid) == 0);
}

static size_t
pool_size (const Pool *pool)
{
  size_t size = 0;

  for (size_t i = 0; i < pool->count; i++)
    size += pool_contains (pool, &pool->candidates[i]);
  return size;
}

/* Index of the pool's member number RANK, counted from 0. */
static size_t
pool_member (const Pool *pool, size_t rank)
{
  size_t i = 0;

  while (!pool_contains (pool, &pool->candidates[i]) || rank-- > 0)
    i++;
  return i;
}

static bool
is_less_loaded (const DlRouteCandidate *a, const DlRouteCandidate *b)
{
  uint64_t a_load = (uint64_t)dl_route_load (a) * capacity (b);
  uint64_t b_load = (uint64_t)dl_route_load (b) * capacity (a);

  if (a_load != b_load)
    return a_load < b_load;
  return a->distance < b->distance;
}

/* Returns the less loaded of two different members picked at random, or -ENOENT for an
 * empty pool. */
static int
pool_choose (const Pool *pool)
{
  size_t size = pool_size (pool);
  uint64_t random = pool->query->random;
  size_t first;
  size_t second;

  if (size == 0)
    return -ENOENT;
  first = pool_member (pool, random % size);
  if (size == 1)
    return (int)first;
  /* An offset of 1 to SIZE - 1 from the first, so that they differ. */
  second = pool_member (pool, (random % size + 1 + (random >> 32) % (size - 1)) % size);
  return (int)(is_less_loaded (&pool->candidates[second], &pool->candidates[first])
                   ? second
                   : first);
}

/* Tries pools in order of preference: upstreams with free capacity, first those of this
 * region that hold the prefix, then by distance; last, any with room in its queue. */
static int
choose_by_preference (Pool pool)
{
  int chosen;

  pool.need_capacity = true;
  pool.need_prefix = true;
  pool.farthest = DL_DISTANCE_SAME_REGION;
  chosen = pool_choose (&pool);
  pool.need_prefix = false;
  for (int d = 0; d < DL_DISTANCE_COUNT && chosen < 0; d++)
    {
      pool.farthest = (DlDistance)d;
      chosen = pool_choose (&pool);
    }
  pool.need_capacity = false;
  return chosen >= 0 ? chosen : pool_choose (&pool);
}

int
dl_route_choose (const DlRouteCandidate *candidates,
                 size_t count,
                 const DlRouteQuery *query)
{
  Pool pool = {
    .candidates = candidates,
    .count = count,
    .query = query,
    .skip_avoid = true,
    .skip_blocked = true,
    .farthest = DL_DISTANCE_OTHER_REGION,
  };
  int chosen = choose_by_preference (pool);

  if (chosen >= 0)
    return chosen;
  pool.skip_avoid = false;
  chosen = choose_by_preference (pool);
  if (chosen >= 0)
    return chosen;
  for (size_t i = 0; i < count; i++)
    if (is_suitable (&candidates[i], query))
      return -EBUSY;
  return -ENOENT;
}

DlDistance
dl_route_distance (const char *region_a,
                   const char *data_center_a,
                   const char *region_b,
                   const char *data_center_b)
{
  if (strcmp (region_a, region_b) != 0)
    return DL_DISTANCE_OTHER_REGION;
  return strcmp (data_center_a, data_center_b) == 0 ? DL_DISTANCE_SAME_DATA_CENTER
                                                    : DL_DISTANCE_SAME_REGION;
}
