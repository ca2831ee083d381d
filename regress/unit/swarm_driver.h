/*
 * Runs the swarms of many hosts in memory, against a virtual clock and link budgets.
 */
#ifndef SWARM_DRIVER_H
#define SWARM_DRIVER_H

#include <stdbool.h>
#include <stdint.h>

#define DRIVER_REGIONS 3

typedef struct
{
  unsigned hosts; /* spread evenly over the regions; the first region is home */
  uint32_t chunks;
  uint32_t chunk_bytes;
  uint64_t link_bytes_per_s;
  uint64_t origin_bytes_per_s;
  uint64_t latency_us; /* one way */
  bool shared;         /* both directions of a host's link in one budget */
  bool weigh_origin_bytes;
  unsigned killed;   /* hosts that die in the middle, and leave the list 2 s later */
  unsigned replaced; /* hosts that start anew with nothing in the middle */
  unsigned corrupt;  /* hosts that send only corrupt chunks */
  unsigned stalled;  /* hosts that stop answering and keep their connections */
  uint64_t seed;
  uint64_t limit_us; /* the run ends then at the latest */
} DriverOptions;

typedef struct
{
  bool complete;    /* every live host holds every chunk */
  uint64_t time_us; /* until then */
  double origin_copies;
  double region_copies;  /* most bytes into one region, in copies */
  double duplicate_part; /* of what hosts received */
  unsigned refetched;    /* chunks that a host accepted twice */
  unsigned messages;
} DriverResult;

DriverResult driver_run (const DriverOptions *options);

#endif
