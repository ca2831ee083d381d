/*
 * Simulates the swarms of many hosts in memory, with a virtual clock and link budgets.
 */
#ifndef SWARM_DRIVER_H
#define SWARM_DRIVER_H

#include <stdbool.h>
#include <stdint.h>

#define DRIVER_REGIONS 3

typedef struct
{
  unsigned hosts; /* spread evenly over the regions; the first is the home region */
  uint32_t chunks;
  uint32_t chunk_bytes;
  uint64_t link_bytes_per_s;
  uint64_t origin_bytes_per_s;
  uint64_t latency_us; /* one way */
  bool shared;         /* both directions of a host's link share one budget */
  bool weigh_origin_bytes;
  unsigned killed; /* hosts that die during the transfer; 2 s later they are not listed */
  unsigned replaced; /* hosts that restart half-way without any data */
  unsigned corrupt;  /* hosts that send only corrupt chunks */
  unsigned stalled;  /* hosts that stop answering during the transfer */
  uint64_t seed;
  uint64_t limit_us; /* the simulation ends then at the latest */
} DriverOptions;

typedef struct
{
  bool complete;    /* every live host holds every chunk */
  uint64_t time_us; /* until then, or until the limit */
  double origin_copies;
  double region_copies;  /* copies sent into the region that received the most */
  double duplicate_part; /* fraction of received bytes that were duplicates */
  unsigned refetched;    /* chunks that a host accepted more than once */
  unsigned messages;
} DriverResult;

/* Runs a simulation until every host is complete or the time limit. */
DriverResult driver_run (const DriverOptions *options);

#endif
