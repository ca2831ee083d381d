/*
 * Chunk choice of one host in the distribution of one version.
 *
 * Pure: the caller feeds events with the time (microseconds of a clock that never goes
 * back), calls dl_swarm_run, and carries out the actions that dl_swarm_take gives.  Two
 * swarms with the same settings, events and times give the same actions.
 *
 * Every host decides from the same facts, the names and regions of the live target hosts:
 *  - In each region a chunk has a ranking of hosts by rendezvous hashing.  The first that
 *    is not known to be down brings the chunk into the region, from the origin in the
 * home region and from the home region's first host elsewhere.  The others of the ranking
 *    ask that first host after a delay, and step in when it is down.
 *  - Inside a region a host exchanges chunks with its neighbours, its successors and
 *    predecessors on several rings ordered by hash, rarest chunk first from the least
 *    loaded neighbour, each chunk requested from one host at a time.
 * Chunk indexes are those of the manifest; DL_SWARM_MANIFEST is the manifest itself.
 */
#ifndef DL_SWARM_H
#define DL_SWARM_H

#include "kernel/crypt.h"
#include "kernel/str.h"
#include "policy/budget.h"

#define DL_SWARM_MANIFEST UINT32_MAX

typedef struct DlSwarm DlSwarm;

/* Budgets of the host's link.  With a shared link, UP and DOWN are the same object. */
typedef struct
{
  DlBudget *up;
  DlBudget *down;
  DlBudget *region_up; /* to hosts of other regions */
  DlBudget *region_down;
} DlSwarmBudgets;

typedef struct
{
  const char *name; /* of this host */
  const char *region;
  const char *home_region; /* where the origin stands */
  DlDigest version;
  uint64_t manifest_bytes;
  bool weigh_origin_bytes; /* else time is weighed */
  bool origin_only;        /* exchanges nothing: every chunk is drawn from the origin */
  uint64_t seed;           /* of tie-breaks and jitter */
  DlSwarmBudgets budgets;
} DlSwarmOptions;

typedef struct
{
  const char *name;
  const char *region;
} DlSwarmHost;

typedef enum
{
  DL_SWARM_CONNECT,    /* connect to the host */
  DL_SWARM_DISCONNECT, /* close a connection on which nothing arrives; no event follows */
  DL_SWARM_HAVE,       /* tell the host of newly verified chunks */
  DL_SWARM_WANT,       /* request a chunk from the host */
  DL_SWARM_CANCEL,     /* take the request back */
  DL_SWARM_SEND,       /* send a chunk to the host */
  DL_SWARM_REFUSE,     /* refuse the host's request */
  DL_SWARM_FETCH,      /* fetch a chunk from the origin or the weight store */
} DlSwarmActionType;

typedef struct
{
  DlSwarmActionType type;
  const char *host; /* belongs to the swarm; NULL for DRAW */
  union
  {
    struct
    {
      const uint32_t *indexes; /* valid until the next call of the swarm */
      size_t count;
      uint32_t queue; /* uploads waiting here */
    } have;
    struct
    {
      uint32_t index;
      bool wait; /* answer when the chunk has arrived there */
    } want;
    struct
    {
      uint32_t index;
    } cancel;
    struct
    {
      uint32_t index;
      uint32_t queue;
    } send;
    struct
    {
      uint32_t index;
      uint32_t retry_ms; /* 0: another host should bring the chunk */
    } refuse;
    struct
    {
      uint32_t index;
    } fetch;
  };
} DlSwarmAction;

/* What became of a chunk that arrived. */
typedef enum
{
  DL_SWARM_NEW,
  DL_SWARM_DUPLICATE, /* it was already verified here */
} DlSwarmArrival;

typedef struct
{
  uint32_t verified;
  uint32_t total; /* 0 until the manifest is known */
  uint32_t uploads_queued;
  uint32_t wants_pending;
  uint32_t fetches_pending;
  uint32_t peers_up;
  uint32_t peers_avoided;
} DlSwarmCounts;

DlSwarm *
dl_swarm_new (const void *context, const DlSwarmOptions *options, uint64_t now_us);

/* -------- events -------- */

/* The live target hosts, this one among them or not. */
void
dl_swarm_set_hosts (DlSwarm *swarm, const DlSwarmHost *hosts, size_t count, uint64_t now);
/* The manifest is verified: its chunks' digests and lengths (copied). */
void dl_swarm_set_manifest (DlSwarm *swarm,
                            const DlDigest *digests,
                            const uint32_t *lengths,
                            uint32_t count,
                            uint64_t now_us);
/* The chunk is in the replica already. */
void dl_swarm_mark_verified (DlSwarm *swarm, uint32_t index);
void dl_swarm_set_paused (DlSwarm *swarm, bool paused);
/* A connection to the host is open, or is gone.  DIALLED: this host had asked for it. */
void dl_swarm_peer_up (DlSwarm *swarm, const char *host, uint64_t now_us);
void dl_swarm_peer_down (DlSwarm *swarm, const char *host, uint64_t now_us);
/* The host holds the chunk. */
void dl_swarm_peer_has (DlSwarm *swarm, const char *host, uint32_t index);
/* The host told what it holds, if anything, and has QUEUE uploads waiting. */
void
dl_swarm_peer_queue (DlSwarm *swarm, const char *host, uint32_t queue, uint64_t now_us);
void dl_swarm_peer_wants (
    DlSwarm *swarm, const char *host, uint32_t index, bool wait, uint64_t now_us);
void dl_swarm_peer_cancels (DlSwarm *swarm, const char *host, uint32_t index);
void dl_swarm_peer_refuses (
    DlSwarm *swarm, const char *host, uint32_t index, uint32_t retry_ms, uint64_t now_us);
/* A chunk with the right digest arrived from HOST, or from the origin (NULL). */
DlSwarmArrival dl_swarm_arrived (
    DlSwarm *swarm, const char *host, uint32_t index, uint32_t bytes, uint64_t now_us);
/* The host sent a chunk with a wrong digest. */
void dl_swarm_peer_corrupt (
    DlSwarm *swarm, const char *host, uint32_t index, uint32_t bytes, uint64_t now_us);
/* A draw failed; the sources are not to be asked again before RETRY_MS have passed.
 * UNUSABLE: this host does not reach them at all. */
void dl_swarm_fetch_failed (
    DlSwarm *swarm, uint32_t index, uint64_t retry_ms, bool unusable, uint64_t now_us);

/* -------- decisions -------- */

/* Decides; returns the time at which it wants to run again without an event. */
uint64_t dl_swarm_run (DlSwarm *swarm, uint64_t now_us);
/* Takes the next action; false when there is none. */
bool dl_swarm_take (DlSwarm *swarm, DlSwarmAction *action);

/* -------- state -------- */

bool dl_swarm_is_complete (const DlSwarm *swarm);
/* True when nothing is on its way to or from this host. */
bool dl_swarm_is_idle (const DlSwarm *swarm);
bool dl_swarm_holds (const DlSwarm *swarm, uint32_t index);
DlSwarmCounts dl_swarm_counts (const DlSwarm *swarm);
/* True when HOST has sent corrupt chunks and is not asked any more. */
bool dl_swarm_avoids (const DlSwarm *swarm, const char *host);

#endif
