/*
 * Peer-to-peer distribution of one version's chunks, as seen by one host.
 *
 * No I/O: the caller reports events with the time in microseconds of a monotonic clock,
 * calls dl_swarm_run(), and performs the actions that dl_swarm_take() returns.  Two
 * swarms with the same options, events and times return the same actions.
 *
 * Every host decides from the same data, the names and regions of the live target hosts:
 *
 * In each region a chunk has a ranking of the hosts by rendezvous hashing.  The first
 * host that is not known to be down imports the chunk into the region.  In the root
 * region, normally the home region, it fetches the chunk from the origin; in other
 * regions it requests the chunk from the first host of its parent region, in a tree of
 * regions that starts at the root.  When time is minimised, one other region fetches part
 * of the chunks from the origin too.  The other hosts of the ranking request the chunk
 * from the first host after a delay, and replace it when it is down.
 *
 * Inside a region a host exchanges chunks with its neighbours, which are its successors
 * and predecessors on several rings ordered by hash.  It requests the rarest chunk first,
 * from the least loaded neighbour, and each chunk from one host at a time.
 *
 * Chunk indexes are those of the manifest; DL_SWARM_MANIFEST is the manifest itself.
 */
#ifndef DL_SWARM_H
#define DL_SWARM_H

#include "kernel/crypt.h"
#include "kernel/str.h"
#include "policy/budget.h"

#define DL_SWARM_MANIFEST UINT32_MAX

typedef struct DlSwarm DlSwarm;

/* Budgets of the host's link, owned by the caller and at least as long-lived as the
 * swarm.  If both directions share the link, UP and DOWN are the same object. */
typedef struct
{
  DlBudget *up;
  DlBudget *down;
  DlBudget *region_up; /* to hosts of other regions */
  DlBudget *region_down;
} DlSwarmBudgets;

/* This host, and the version to fetch. */
typedef struct
{
  const char *name; /* of this host */
  const char *region;
  const char *home_region; /* region of the origin */
  DlDigest version;
  uint64_t manifest_bytes;
  bool weigh_origin_bytes; /* minimise bytes from the origin, rather than time */
  bool origin_only;        /* fetch every chunk from the origin, exchange none */
  uint64_t seed;           /* for tie-breaks and jitter */
  DlSwarmBudgets budgets;
} DlSwarmOptions;

/* A target host of the version. */
typedef struct
{
  const char *name;
  const char *region;
} DlSwarmHost;

/* What the caller has to do. */
typedef enum
{
  DL_SWARM_CONNECT,    /* connect to the host */
  DL_SWARM_DISCONNECT, /* close a connection on which nothing arrives; no event follows */
  DL_SWARM_HAVE,       /* announce newly verified chunks to the host */
  DL_SWARM_WANT,       /* request a chunk from the host */
  DL_SWARM_CANCEL,     /* cancel that request */
  DL_SWARM_SEND,       /* send a chunk to the host */
  DL_SWARM_REFUSE,     /* refuse the host's request */
  DL_SWARM_FETCH,      /* fetch a chunk from the origin or the weight store */
} DlSwarmActionType;

/* An action, with the member that its type needs. */
typedef struct
{
  DlSwarmActionType type;
  const char *host; /* owned by the swarm; NULL for FETCH */
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
      bool wait; /* let the host wait for the chunk if it does not have it yet */
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
      uint32_t retry_ms; /* 0: this host does not provide the chunk */
    } refuse;
    struct
    {
      uint32_t index;
    } fetch;
  };
} DlSwarmAction;

/* Whether a chunk that arrived was needed. */
typedef enum
{
  DL_SWARM_NEW,
  DL_SWARM_DUPLICATE, /* it was already verified here */
} DlSwarmArrival;

/* Progress of a swarm, for reports. */
typedef struct
{
  uint32_t verified; /* chunks, without the manifest */
  uint32_t total;    /* 0 until the manifest is known */
  uint32_t uploads_queued;
  uint32_t wants_pending; /* pending requests, except those with wait */
  uint32_t fetches_pending;
  uint32_t peers_up;
  uint32_t peers_avoided;
} DlSwarmCounts;

/* Returns a talloc child of CONTEXT.  The strings of OPTIONS are copied. */
DlSwarm *
dl_swarm_new (const void *context, const DlSwarmOptions *options, uint64_t now_us);

/* -------- events -------- */

/* Sets the live target hosts, which may include this one. */
void
dl_swarm_set_hosts (DlSwarm *swarm, const DlSwarmHost *hosts, size_t count, uint64_t now);
/* Sets the chunks of the verified manifest.  Only the first call has an effect. */
void dl_swarm_set_manifest (DlSwarm *swarm,
                            const DlDigest *digests,
                            const uint32_t *lengths,
                            uint32_t count,
                            uint64_t now_us);
/* Records that the chunk is stored here already. */
void dl_swarm_mark_verified (DlSwarm *swarm, uint32_t index);
/* A paused swarm serves chunks but requests none. */
void dl_swarm_set_paused (DlSwarm *swarm, bool paused);
/* A connection to the host was opened, or it was closed or could not be opened. */
void dl_swarm_peer_up (DlSwarm *swarm, const char *host, uint64_t now_us);
void dl_swarm_peer_down (DlSwarm *swarm, const char *host, uint64_t now_us);
/* The host holds the chunk. */
void dl_swarm_peer_has (DlSwarm *swarm, const char *host, uint32_t index);
/* The host has announced which chunks it holds, if any, and has QUEUE uploads waiting. */
void
dl_swarm_peer_queue (DlSwarm *swarm, const char *host, uint32_t queue, uint64_t now_us);
/* The host requests the chunk.  WAIT: if it is not here yet, the host waits for it. */
void dl_swarm_peer_wants (
    DlSwarm *swarm, const char *host, uint32_t index, bool wait, uint64_t now_us);
void dl_swarm_peer_cancels (DlSwarm *swarm, const char *host, uint32_t index);
/* The host refused this host's request.  RETRY_MS 0: it does not provide the chunk. */
void dl_swarm_peer_refuses (
    DlSwarm *swarm, const char *host, uint32_t index, uint32_t retry_ms, uint64_t now_us);
/* A chunk with the right digest arrived from HOST, or from the origin if NULL. */
DlSwarmArrival dl_swarm_arrived (
    DlSwarm *swarm, const char *host, uint32_t index, uint32_t bytes, uint64_t now_us);
/* The host sent a chunk with a wrong digest. */
void dl_swarm_peer_corrupt (
    DlSwarm *swarm, const char *host, uint32_t index, uint32_t bytes, uint64_t now_us);
/* A fetch failed; the sources must not be asked again before RETRY_MS have passed.
 * UNREACHABLE: this host cannot reach any of them. */
void dl_swarm_fetch_failed (
    DlSwarm *swarm, uint32_t index, uint64_t retry_ms, bool unreachable, uint64_t now_us);

/* -------- decisions -------- */

/* Decides on actions.  Returns the time at which it must be called again if no event
 * comes first, or UINT64_MAX. */
uint64_t dl_swarm_run (DlSwarm *swarm, uint64_t now_us);
/* Moves the next action to *ACTION; false when there is none. */
bool dl_swarm_take (DlSwarm *swarm, DlSwarmAction *action);

/* -------- state -------- */

/* True when the manifest and all its chunks are here and verified. */
bool dl_swarm_is_complete (const DlSwarm *swarm);
/* True when no request or fetch of this host is pending and no upload is queued. */
bool dl_swarm_is_idle (const DlSwarm *swarm);
/* True when the chunk is here and verified. */
bool dl_swarm_holds (const DlSwarm *swarm, uint32_t index);
/* Returns the progress as of the last event. */
DlSwarmCounts dl_swarm_counts (const DlSwarm *swarm);
/* True when HOST has sent so many corrupt chunks that it is not asked any more. */
bool dl_swarm_avoids (const DlSwarm *swarm, const char *host);

#endif
