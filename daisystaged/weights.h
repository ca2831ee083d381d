/*
 * Parts of the task "weights" that its files share.
 *
 * weights.c decides what to do next, fetch.c gets chunks, give.c gives them out, stage.c
 * puts them beside the engine, checks them there and orders the engine to take them.
 */
#ifndef STAGE_WEIGHTS_H
#define STAGE_WEIGHTS_H

#include <glib.h>

#include "daisystaged.h"
#include "kernel/http_client.h"
#include "kernel/http_server.h"
#include "policy/fetch_plan.h"

typedef struct Weights Weights;
typedef struct Bundle Bundle;

/* What is known of one chunk's copy beside the engine. */
typedef enum
{
  STAGED_NOT,     /* not there, spoilt, or of another version */
  STAGED_WRITING, /* on its way there */
  STAGED_WRITTEN, /* was put there, not read back since */
  STAGED_READING, /* being read back */
  STAGED_SOUND,   /* was read back with the right digest */
} StagedState;

typedef struct
{
  DlStr bytes; /* verified; below the bundle; empty while not here */
  StagedState staged;
  uint64_t sound_ms; /* when it was last read back sound */
} ChunkCopy;

/* One version and its chunks. */
struct Bundle
{
  Weights *owner;
  char *model;
  uint64_t version;     /* 0 until the manifest is here: the newest of the origin */
  uint64_t named_ms;    /* when it was named */
  uint64_t due_from_ms; /* its time counts from then: from its own name, or from that of a
                         * version before it that never came into force here */
  uint64_t asked_ms;    /* when the manifest was last asked for; 0 for never */
  unsigned asked;       /* how often */
  unsigned count;       /* of chunks; 0 until the manifest is here */
  const char **digests;
  ChunkCopy *chunks;
  DlFetchPlan *plan; /* NULL until the manifest is here */
  uint64_t progress_ms; /* when a chunk last arrived, or the manifest */
  unsigned working;     /* calls to the staging area in progress */
};

/* Another stager as it last told. */
typedef struct
{
  char *name;
  char *region;
  char *address;
  StageHoldings holdings;
  uint64_t heard_ms;
} Neighbour;

/* Where the present bundle is on its way into the engine. */
typedef enum
{
  PHASE_IDLE,    /* nothing is to be brought */
  PHASE_RECOVER, /* looking which chunks lie beside the engine already */
  PHASE_FETCH,   /* getting the others */
  PHASE_WAIT,    /* whole; the engine's turn has not come */
  PHASE_EMPTY,   /* the engine gets no new requests; reading back what is staged */
  PHASE_ORDER,   /* the order was sent */
  PHASE_LOAD,    /* the engine is taking it */
  PHASE_DONE,    /* the engine serves it */
} Phase;

struct Weights
{
  DlTask *task;
  const DlNodeSettings *settings;
  DlHttpClient *client;
  DlHttpServer *server; /* gives chunks to other stagers */
  GQueue uploads;       /* of DlHttpRequest: chunks asked for and not yet given */
  bool uploading;
  char *origin;         /* NULL until known */
  uint64_t draw_us;     /* that its link takes for one chunk; 0 until known */
  char *default_model;  /* to bring when nothing was named; NULL until known */
  bool unnamed;         /* the store was read, and no version is named */
  Bundle *bundle;       /* the present one; NULL for none */
  Bundle *next;         /* a newer one, only fetched; NULL for none */
  bool recovered;       /* the staging area has been looked through since the start */
  GHashTable *neighbours; /* name to Neighbour */
  Phase phase;
  uint64_t phase_ms;        /* when it began */
  uint64_t hold_staging_ms; /* nothing may be staged before: an order may be under way */
  bool engine_known;
  DlEngineReport engine; /* without its texts */
  bool told_loading;
  bool holding_changed;
};

/* -------- weights.c -------- */

void weights_enter (Weights *weights, Phase phase);
/* Does what can be done now. */
void weights_run (Weights *weights);
/* Chunk INDEX arrived and is verified; BYTES are copied. */
void weights_chunk_arrived (Bundle *bundle, unsigned index, DlStr bytes);
/* The manifest arrived: COUNT digests, which the bundle takes over. */
void weights_manifest_arrived (Bundle *bundle, const char **digests, unsigned count);
/* The bundle of that version that is here; NULL for none. */
Bundle *weights_find (const Weights *weights, const char *model, uint64_t version);
/* What the neighbour holds of the bundle's version; empty for nothing. */
DlStr weights_held_by (const Bundle *bundle, const Neighbour *neighbour);

/* -------- fetch.c -------- */

/* Asks for the manifest, unless it was asked for just now. */
void fetch_manifest (Bundle *bundle);
/* Starts the fetches that the plan wants now. */
void fetch_run (Bundle *bundle);
bool fetch_is_genuine (const Bundle *bundle, unsigned index, DlStr bytes);

/* -------- give.c -------- */

/* Begins to give chunks to other stagers.  Returns 0 or a negative error. */
int give_start (Weights *weights);

/* -------- stage.c -------- */

/* Puts what is here and not staged beside the engine. */
void stage_write (Bundle *bundle);
/* Reads back all that is not known to be sound since SINCE_MS; true when all is. */
bool stage_check (Bundle *bundle, uint64_t since_ms);
void stage_order (Bundle *bundle, bool preempt);

#endif
