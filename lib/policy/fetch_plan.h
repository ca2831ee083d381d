/*
 * Decides from where one host fetches the next chunk of a version.
 *
 * All upstream hosts want the same few megabytes within seconds, while live responses
 * share their small links.  The origin's link carries only a few copies in that time, and
 * links between regions are costly.  A chunk that one upstream host sends to another
 * would delay responses on both.  So upstream hosts are leaves, which only receive, and
 * entry hosts, whose links are large, are hubs: they fetch every chunk once and serve it.
 *
 * For each chunk one hub fetches it from the origin, and in each other region one hub
 * imports it.  A hash over the live hubs ranks them, so that no coordinator is needed.
 * The fetches from the origin are scheduled one after the other, at the speed of the
 * origin's link, so that the first chunks spread while the last are still fetched.  A
 * chunk that is late is fetched by further hosts as well, in the order of the ranks.
 * Without hubs, the leaves do all this among themselves.
 *
 * The manifest is requested in the order of a hash, too: the origin accepts few
 * connections, and a host that has the manifest passes it on to the others.
 *
 * Pure: times are milliseconds given by the caller.
 */
#ifndef DL_FETCH_PLAN_H
#define DL_FETCH_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/str.h"

/* Parallel fetches of a leaf, and of a hub. */
#define DL_FETCH_PARALLEL     1
#define DL_FETCH_PARALLEL_HUB 8
/* Of these, from the origin. */
#define DL_FETCH_PARALLEL_ORIGIN     1
#define DL_FETCH_PARALLEL_ORIGIN_HUB 4
/* Parallel fetches from one other host. */
#define DL_FETCH_PARALLEL_PEER 2
/* A leaf waits this long for the hubs to get a chunk. */
#define DL_FETCH_HUB_WAIT_MS 1300
/* The host of rank R fetches a chunk that is late by FALLBACK_MS plus R times the step.
 */
#define DL_FETCH_FALLBACK_MS      1200
#define DL_FETCH_FALLBACK_STEP_MS 400
/* Each host first asks the origin for the manifest this long after the one ranked before
 * it. */
#define DL_MANIFEST_RANK_DELAY_MS 150
/* After that, all hosts together ask once in this time, and no host more often than every
 * DL_MANIFEST_RETRY_MS. */
#define DL_MANIFEST_HOST_INTERVAL_MS 60
#define DL_MANIFEST_RETRY_MS         300
/* Leaves wait this long for the hubs to get the manifest. */
#define DL_MANIFEST_LEAF_DELAY_MS 3000
/* The same while no hub is known. */
#define DL_MANIFEST_NO_HUBS_DELAY_MS 700
/* A host that was busy, or failed, is not asked again for this long. */
#define DL_FETCH_BUSY_BACKOFF_MS   120
#define DL_FETCH_FAILED_BACKOFF_MS 700
/* The same for the origin; short, so that the hosts ranked first for a chunk retry before
 * the others fall back to the origin. */
#define DL_FETCH_ORIGIN_BACKOFF_MS 300

/* The plan of one host for one version. */
typedef struct DlFetchPlan DlFetchPlan;

/* This host, and the version to fetch. */
typedef struct
{
  const char *host;   /* name of this host */
  const char *region; /* of this host */
  const char *model;
  uint64_t version;
  unsigned chunks;
  bool is_hub;
  uint64_t started_ms;      /* when this host learned of the version */
  uint64_t origin_chunk_us; /* time of one chunk on the origin's link; 0: ignored */
} DlFetchPlanOptions;

/* Plans the fetches of one version, of which this host has no chunk yet.  Returns a
 * talloc child of CONTEXT, into which the strings of OPTIONS are copied. */
DlFetchPlan *dl_fetch_plan_new (const void *context, const DlFetchPlanOptions *options);

/* What determines when a host asks the origin for a version's manifest, as long as no
 * host has it. */
typedef struct
{
  const char *host; /* name of this host */
  bool is_hub;
  const char *const
      *others; /* names of the other live hosts of its kind, hubs or leaves */
  size_t other_count;
  bool has_hubs; /* there are live hubs, this host included */
  const char *model;
  uint64_t version;
} DlManifestSchedule;

/* The two times below; the interval is never 0. */
typedef struct
{
  uint64_t first_delay_ms;
  uint64_t interval_ms;
} DlManifestTimes;

/* Time from when this host learned of the version to its first request. */
uint64_t dl_manifest_first_delay_ms (const DlManifestSchedule *schedule);
/* Interval of its further requests, which bounds the rate of all hosts together. */
uint64_t dl_manifest_interval_ms (const DlManifestSchedule *schedule);

/* Adds or updates the live host HOST.  HOLDS is a bitmap of the chunks of this version
 * that it has, from the lowest bit of the first byte on; empty when it has none. */
void dl_fetch_plan_set_peer (
    DlFetchPlan *plan, const char *host, const char *region, bool is_hub, DlStr holds);
/* HOST is no longer live: ends the fetches from it. */
void dl_fetch_plan_remove_peer (DlFetchPlan *plan, const char *host);
/* This host has chunk INDEX, verified. */
void dl_fetch_plan_arrived (DlFetchPlan *plan, unsigned index);
/* The copy of chunk INDEX on this host turned out to be missing or corrupt. */
void dl_fetch_plan_lost (DlFetchPlan *plan, unsigned index);
/* The fetch of chunk INDEX failed; its source is not used for BACKOFF_MS. */
void dl_fetch_plan_failed (DlFetchPlan *plan,
                           unsigned index,
                           uint64_t backoff_ms,
                           uint64_t now_ms);

/* A chunk to fetch, and its source. */
typedef struct
{
  unsigned index;
  const char *peer; /* owned by the plan; NULL for the origin */
} DlFetch;

/* Stores the next fetch to start in FETCH; false when none should start now. */
bool
dl_fetch_plan_next (DlFetchPlan *plan, uint64_t now_ms, uint64_t random, DlFetch *fetch);
/* True when this host has chunk INDEX. */
bool dl_fetch_plan_holds (const DlFetchPlan *plan, unsigned index);
/* Number of chunks that this host does not have. */
unsigned dl_fetch_plan_missing (const DlFetchPlan *plan);
/* Bitmap of the chunks that this host has; owned by the plan. */
DlStr dl_fetch_plan_bitmap (const DlFetchPlan *plan);

#endif
