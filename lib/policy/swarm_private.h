/*
 * State shared by the swarm's source files.
 *
 * Internally, position 0 is the manifest and position I + 1 is chunk I of the manifest.
 */
#ifndef DL_SWARM_PRIVATE_H
#define DL_SWARM_PRIVATE_H

#include <glib.h>

#include "policy/swarm.h"

#define SWARM_RANKED     8    /* hosts kept per ranking */
#define SWARM_GROUPS     4096 /* positions equal modulo this are a group: one ranking */
#define SWARM_RINGS      5    /* each gives a host up to two neighbours */
#define CORRUPT_MAX      2    /* corrupt chunks after which a host is avoided */
#define QUEUE_MAX        4    /* uploads waiting; more requests are refused */
#define US_PER_MS        UINT64_C (1000)
#define CONNECT_RETRY_US (500 * US_PER_MS)
#define HOST_DOWN_US     (5000 * US_PER_MS) /* time left out of rankings */
#define SWARM_NEVER      UINT64_MAX

/* A host that was in a list of hosts, or sent a message. */
typedef struct
{
  char *name;
  char *region;
  bool live; /* in the last list of hosts */
  bool same_region;
  bool neighbour; /* on one of the rings */
  bool connected;
  bool connecting; /* a connection attempt is in progress */
  uint64_t connect_after_us;
  uint64_t down_until_us; /* not counted in rankings before */
  uint64_t down_since_us;
  uint64_t message_us; /* when its last message arrived */
  uint8_t *have;       /* bitmap of positions it holds; grows */
  size_t have_bytes;
  uint32_t have_count;
  uint32_t queue;       /* uploads waiting there, by its last message */
  uint64_t queue_us;    /* time of that message */
  uint32_t outstanding; /* requests to it, except those with wait */
  uint32_t timeouts;    /* consecutive */
  uint32_t corrupt;     /* chunks with a wrong digest */
  bool have_received;   /* it has announced its chunks on this connection */
  bool have_sent;       /* this host has announced its chunks on this connection */
  GArray *unannounced;  /* uint32_t indexes to announce to it */
} Host;

/* Where a chunk stands on this host. */
typedef enum
{
  CHUNK_MISSING,
  CHUNK_WANTED,   /* requested from a host */
  CHUNK_FETCHING, /* being fetched from the origin */
  CHUNK_HELD,
} ChunkState;

/* A chunk, or the manifest at position 0. */
typedef struct
{
  ChunkState state;
  bool waiting;    /* WANTED, with wait */
  uint32_t copies; /* connected hosts of this region that hold it */
  uint32_t bytes;
  Host *from;           /* WANTED: the host it was requested from */
  uint64_t deadline_us; /* WANTED; if WAITING, for the host's first announcement */
  uint64_t order;       /* random tie-break among equally rare chunks */
} Chunk;

/* A request of another host. */
typedef struct
{
  Host *host;
  uint32_t position;
  bool wait;
  uint64_t since_us;
} Upload;

/* Ranked hosts for the chunks of one group; the first rank comes first. */
typedef struct
{
  Host *own[SWARM_RANKED];    /* in this host's region */
  Host *source[SWARM_RANKED]; /* in the region that this one requests the chunk from */
  Host *root[SWARM_RANKED];   /* in the root region */
  bool from_origin; /* when time is minimised, this region fetches from the origin */
} Ranking;

struct DlSwarm
{
  DlSwarmOptions options;
  GHashTable *by_name;
  GPtrArray *hosts; /* Host; never shrinks */
  Host *self;
  bool is_home; /* this host is in the home region */
  /* The region that fetches every chunk from the origin: the origin's region, or the
   * first one with live hosts if the origin's has none. */
  const char *root;
  bool is_root;
  GPtrArray *regions;    /* names of the regions with live hosts except ROOT, sorted */
  uint32_t region_hosts; /* live hosts in this host's region */
  uint32_t count;        /* number of positions */
  Chunk *chunks;
  Ranking *rankings;
  uint32_t ranking_count;
  bool has_manifest;
  bool paused;
  uint32_t held;      /* positions */
  uint32_t wants;     /* pending requests, except those with wait */
  uint32_t fetches;   /* pending fetches from the origin */
  uint32_t connected; /* hosts */
  uint64_t start_us;
  uint64_t import_after_us; /* no chunk is imported into the region before */
  bool startup_over;        /* the wait for the neighbours' announcements is over */
  uint64_t chunk_us;        /* time that a chunk takes on the link at its full rate */
  uint64_t fetch_after_us;
  bool unreachable;     /* no source of chunks can be reached */
  GArray *uploads;      /* Upload, to be sent */
  GArray *waiters;      /* Upload, for chunks that have not arrived yet */
  GQueue actions;       /* DlSwarmAction */
  GArray *have_indexes; /* indexes of the last HAVE action taken */
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
/* Returns the host, adding it if it was never listed and sent no message before. */
Host *swarm_get_host (DlSwarm *swarm, const char *name);
/* Queues ACTION for dl_swarm_take(). */
void swarm_emit (DlSwarm *swarm, DlSwarmAction action);
/* Returns the next number of the generator that the options seed. */
uint64_t swarm_random (DlSwarm *swarm);
/* Queues a CONNECT action, unless the host is connected or connecting, or it is too early
 * to retry. */
void swarm_connect (DlSwarm *swarm, Host *host, uint64_t now_us);
/* Leaves the host out of rankings for a time. */
void swarm_mark_down (Host *host, uint64_t now_us);
/* Closes a connection on which requests stay unanswered. */
void swarm_disconnect (DlSwarm *swarm, Host *host, uint64_t now_us);
/* Ends the request for or fetch of the chunk, so that it can be requested again. */
void swarm_release (DlSwarm *swarm, Chunk *chunk);

/* swarm_rank.c */
/* Ranks the hosts for the chunks of the groups from FIRST on; see SWARM_GROUPS. */
void swarm_rank_groups (DlSwarm *swarm, uint32_t first);
/* Sets which hosts are neighbours, after the list of hosts changed. */
void swarm_choose_neighbours (DlSwarm *swarm);
/* Returns the first host of the ranking that is live, not avoided and not down, or NULL.
 * RANK, if not NULL, is set to this host's rank among those, or SWARM_RANKED. */
Host *swarm_first_available (DlSwarm *swarm,
                             Host *const ranking[SWARM_RANKED],
                             uint64_t now_us,
                             int *rank);

/* swarm_fetch.c; returns the time at which it must be called again */
uint64_t swarm_run_fetch (DlSwarm *swarm, uint64_t now_us);
/* swarm_serve.c; swarm_run_uploads() returns the time at which it must be called again */
uint64_t swarm_run_uploads (DlSwarm *swarm, uint64_t now_us);
void swarm_run_announcements (DlSwarm *swarm);
/* Queues uploads to the hosts that wait for the chunk, which has arrived. */
void swarm_queue_waiters (DlSwarm *swarm, uint32_t position);
/* Drops the requests of the host, whose connection was closed. */
void swarm_drop_requests (DlSwarm *swarm, const Host *host);
/* Refuses all hosts that wait for chunks, because this host cannot import them. */
void swarm_refuse_waiters (DlSwarm *swarm, uint32_t retry_ms);

#endif
