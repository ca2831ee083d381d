/*
 * Where one host gets the next chunk of a version from.
 *
 * The load this answers: all upstream hosts want the same few megabytes within seconds,
 * while live answers share their small links; the origin's link carries a few copies in
 * that time, and links between regions are costly.  What an upstream host gives to
 * another delays answers on both, so that it only receives: entry hosts, whose links are
 * large, are hubs that fetch every chunk once and give it out.
 *
 * Each chunk has one hub that draws it from the origin and, in each other region, one
 * that brings it there; a hash over the live hubs tells which, so that nobody is in
 * charge. Draws begin one after the other, as the origin's link takes them, so that the
 * first chunks spread while the last are drawn.  The manifest is asked for in the order
 * of a hash too: the origin takes few connections, and a host that has the manifest gives
 * it to the others.  A chunk that does not come in time is fetched by others too, one
 * after the other in the order of the hash; without hubs the other hosts do all this
 * among themselves.
 *
 * Pure: times are milliseconds that the caller gives.
 */
#ifndef DL_FETCH_PLAN_H
#define DL_FETCH_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/str.h"

/* Fetches at once of a host that is no hub, and of a hub. */
#define DL_FETCH_PARALLEL     1
#define DL_FETCH_PARALLEL_HUB 8
/* The same from the origin alone. */
#define DL_FETCH_PARALLEL_ORIGIN     1
#define DL_FETCH_PARALLEL_ORIGIN_HUB 4
/* Fetches at once from one other host. */
#define DL_FETCH_PARALLEL_PEER 2
/* A host that is no hub waits this long for the hubs of its region. */
#define DL_FETCH_HUB_WAIT_MS 1300
/* A chunk that should have come by its own way is fetched by the next in rank after this
 * long, and by each further one after the step. */
#define DL_FETCH_FALLBACK_MS      1200
#define DL_FETCH_FALLBACK_STEP_MS 400
/* Each host asks the origin for the manifest this long after the one before it, and all
 * of them together once in this time. */
#define DL_MANIFEST_RANK_DELAY_MS    150
#define DL_MANIFEST_HOST_INTERVAL_MS 60
#define DL_MANIFEST_RETRY_MS         300
/* Hosts that are no hubs leave it to the hubs for this long. */
#define DL_MANIFEST_LEAF_DELAY_MS 3000
/* The same when no hub is known yet. */
#define DL_MANIFEST_NO_HUBS_DELAY_MS 700
/* A source that failed or was busy is left alone for this long. */
#define DL_FETCH_BUSY_BACKOFF_MS   120
#define DL_FETCH_FAILED_BACKOFF_MS 700
/* The origin is tried again after this, so that those who are first for a chunk come
 * before those who step in. */
#define DL_FETCH_ORIGIN_BACKOFF_MS 300

typedef struct DlFetchPlan DlFetchPlan;

typedef struct
{
  const char *host;   /* this one */
  const char *region; /* of it */
  const char *model;
  uint64_t version;
  unsigned chunks;
  bool is_hub;
  uint64_t started_ms; /* when the version was learned of */
  uint64_t
      origin_chunk_us; /* time that the origin's link takes for one chunk; 0: no matter */
} DlFetchPlanOptions;

DlFetchPlan *dl_fetch_plan_new (const void *context, const DlFetchPlanOptions *options);

/* Who asks the origin for a version's manifest, as nobody has it yet. */
typedef struct
{
  const char *host; /* this one */
  bool is_hub;
  const char *const *others; /* names of the live hosts of the same kind, hubs or not */
  size_t other_count;
  bool has_hubs; /* there are live hubs, this host or others */
  const char *model;
  uint64_t version;
} DlManifestSchedule;

/* Time after the version was learned of until this host asks. */
uint64_t dl_manifest_first_delay_ms (const DlManifestSchedule *turn);
/* Pause between its questions, so that all together ask at a bounded rate. */
uint64_t dl_manifest_interval_ms (const DlManifestSchedule *turn);

/* HOST is alive.  HOLDS is a bitmap of the chunks of this version that it has, one bit
 * for each from the lowest bit of the first byte on; empty when it has none. */
void dl_fetch_plan_set_peer (
    DlFetchPlan *plan, const char *host, const char *region, bool is_hub, DlStr holds);
void dl_fetch_plan_remove_peer (DlFetchPlan *plan, const char *host);
/* Chunk INDEX is here and verified. */
void dl_fetch_plan_arrived (DlFetchPlan *plan, unsigned index);
/* Chunk INDEX turned out to be lost or spoilt here. */
void dl_fetch_plan_lost (DlFetchPlan *plan, unsigned index);
/* The fetch of chunk INDEX ended without it; its source is left alone for AWAY_MS. */
void dl_fetch_plan_failed (DlFetchPlan *plan,
                           unsigned index,
                           uint64_t backoff_ms,
                           uint64_t now_ms);

typedef struct
{
  unsigned index;
  const char *peer; /* belongs to the plan; NULL for the origin */
} DlFetch;

/* Takes the next fetch to start; false when none should start now. */
bool
dl_fetch_plan_next (DlFetchPlan *plan, uint64_t now_ms, uint64_t random, DlFetch *fetch);
bool dl_fetch_plan_holds (const DlFetchPlan *plan, unsigned index);
unsigned dl_fetch_plan_missing (const DlFetchPlan *plan);
/* The chunks that are here, as a bitmap; belongs to the plan. */
DlStr dl_fetch_plan_bitmap (const DlFetchPlan *plan);

#endif
