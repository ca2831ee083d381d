/*
 * State that the modules of the swarm share.
 *
 * Inside, position 0 is the manifest and position I + 1 is the manifest's chunk I.
 */
#ifndef DL_SWARM_PRIVATE_H
#define DL_SWARM_PRIVATE_H

#include <glib.h>

#include "policy/swarm.h"

#define SWARM_RANKED  8    /* hosts kept of each ranking */
#define SWARM_GROUPS  4096 /* positions equal modulo this share a ranking */
#define SWARM_RINGS   5    /* each gives a host two neighbours */
#define CORRUPT_MAX   2    /* chunks, after which a host is avoided */
#define QUEUE_MAX     4    /* uploads waiting; further requests are refused */
#define US_PER_MS     UINT64_C (1000)
#define DIAL_RETRY_US (500 * US_PER_MS)
#define HOST_DOWN_US  (5000 * US_PER_MS) /* after which it may be first again */
#define SWARM_NEVER   UINT64_MAX

typedef struct
{
  char *name;
  char *region;
  bool live; /* in the last list of hosts */
  bool same_region;
  bool neighbour; /* on one of the rings */
  bool up;
  bool dialled; /* a dial is in progress */
  uint64_t dial_after_us;
  uint64_t down_until_us; /* passed over in rankings */
  uint64_t down_since_us;
  uint64_t message_us; /* when it last said anything */
  uint8_t *have;       /* bit for each position; grows */
  size_t have_bytes;
  uint32_t have_count;
  uint32_t queue;       /* uploads waiting there, as told */
  uint64_t queue_us;    /* when it told */
  uint32_t outstanding; /* requests to it, without those that wait */
  uint32_t timeouts;    /* in a row */
  uint32_t corrupt;     /* chunks with a wrong digest */
  bool heard;           /* it has told what it holds since it connected */
  bool announced;       /* it knows what this host held when it connected */
  GArray *unsaid;       /* uint32_t indexes to announce */
} Host;

typedef enum
{
  CHUNK_MISSING,
  CHUNK_WANTED,
  CHUNK_DRAWING,
  CHUNK_HELD,
} ChunkState;

typedef struct
{
  ChunkState state;
  bool waiting;    /* WANTED with wait */
  uint32_t copies; /* hosts that are up and hold it */
  uint32_t bytes;
  Host *from;           /* WANTED */
  uint64_t deadline_us; /* WANTED; when WAITING, for the host to tell what it holds */
  uint64_t order;       /* seeded tie-break */
} Chunk;

typedef struct
{
  Host *host;
  uint32_t position;
  bool wait;
  uint64_t since_us;
} Upload;

typedef struct
{
  Host *own[SWARM_RANKED];    /* in this host's region */
  Host *source[SWARM_RANKED]; /* in the region that this one gets the chunk from */
  Host *home[SWARM_RANKED];   /* in the root region */
  bool from_origin;           /* a host of this region draws it, with time weighed */
} Ranking;

struct DlSwarm
{
  DlSwarmOptions options;
  GHashTable *by_name;
  GPtrArray *hosts; /* Host; never shrinks */
  Host *self;
  bool is_home;
  /* The region that draws every chunk: that of the origin, or the first with live hosts
   * when none lives there. */
  const char *root;
  bool is_root;
  GPtrArray *regions;    /* names of the others than ROOT with live hosts, sorted */
  uint32_t region_hosts; /* live hosts in this host's region */
  uint32_t count;        /* positions */
  Chunk *chunks;
  Ranking *rankings;
  uint32_t ranking_count;
  bool has_manifest;
  bool paused;
  uint32_t held;
  uint32_t wants;
  uint32_t draws;
  uint32_t up;
  uint64_t start_us;
  uint64_t settled_us; /* nothing is brought into the region before */
  bool settled;
  uint64_t chunk_us; /* that a chunk takes on the link at its full rate */
  uint64_t draw_after_us;
  bool unusable;   /* this host does not reach the sources */
  GArray *uploads; /* Upload, waiting to be sent */
  GArray *waiters; /* Upload, until the chunk has arrived */
  GQueue actions;  /* DlSwarmAction */
  GArray *said;    /* indexes of the HAVE taken last */
  uint64_t random;
};

static inline uint32_t
position_of (uint32_t index)
{
  return index == DL_SWARM_MANIFEST ? 0 : index + 1;
}

static inline uint32_t
index_of (uint32_t position)
{
  return position == 0 ? DL_SWARM_MANIFEST : position - 1;
}

static inline bool
host_has (const Host *host, uint32_t position)
{
  return position / 8 < host->have_bytes
         && (host->have[position / 8] & (1u << (position % 8))) != 0;
}

static inline bool
host_avoided (const Host *host)
{
  return host->corrupt >= CORRUPT_MAX;
}

/* swarm.c */
Host *swarm_host (DlSwarm *swarm, const char *name);
void swarm_act (DlSwarm *swarm, DlSwarmAction action);
uint64_t swarm_random (DlSwarm *swarm);
void swarm_dial (DlSwarm *swarm, Host *host, uint64_t now_us);
/* The host is passed over in rankings for a time. */
void swarm_mark_down (Host *host, uint64_t now_us);
/* Gives up a connection on which requests stay without an answer. */
void swarm_hang_up (DlSwarm *swarm, Host *host, uint64_t now_us);
/* Ends the request for the chunk, so that it can be requested anew. */
void swarm_release (DlSwarm *swarm, Chunk *chunk);

/* swarm_rank.c */
void swarm_rank_groups (DlSwarm *swarm, uint32_t first);
void swarm_choose_neighbours (DlSwarm *swarm);
/* First host of the ranking that is live, not avoided and not down; NULL when there is
 * none.  PLACE, when not NULL, gets SELF's place among those, or SWARM_RANKED. */
Host *
swarm_first (DlSwarm *swarm, Host *const ranking[SWARM_RANKED], uint64_t now, int *place);

/* swarm_fetch.c; each returns when it wants to run again */
uint64_t swarm_run_fetch (DlSwarm *swarm, uint64_t now_us);
/* swarm_serve.c */
uint64_t swarm_run_uploads (DlSwarm *swarm, uint64_t now_us);
void swarm_run_haves (DlSwarm *swarm);
void swarm_waiters_ready (DlSwarm *swarm, uint32_t position);
void swarm_forget_requests (DlSwarm *swarm, const Host *host);
/* Refuses those that wait for chunks which this host cannot bring. */
void swarm_refuse_waiters (DlSwarm *swarm, uint32_t retry_ms);

#endif
