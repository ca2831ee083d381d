/*
 * Parts of the task "weights" that its files share.
 *
 * weights.c decides what to do next, fetch.c gets chunks and gives them out, stage.c puts
 * them beside the engine, checks them there and orders the engine to take them.
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

/* The chunks of one version. */
struct Bundle
{
  Weights *owner;
  char *model;
  uint64_t version;
  unsigned count;
  const char **digests;
  ChunkCopy *chunks;
  DlFetchPlan *plan;
  unsigned working; /* calls to the staging area in progress */
};

/* Another stager as it last told. */
typedef struct
{
  char *name;
  char *region;
  char *address;
  char *model; /* NULL when it holds nothing */
  uint64_t version;
  DlStr chunks;
  uint64_t heard_ms;
} Neighbour;

typedef enum
{
  PHASE_IDLE,     /* nothing is to be brought */
  PHASE_MANIFEST, /* asking which chunks the version has */
  PHASE_RECOVER,  /* looking which of them lie beside the engine already */
  PHASE_FETCH,    /* getting the others */
  PHASE_WAIT,     /* whole; the engine's turn has not come */
  PHASE_CHECK,    /* reading back what is staged, just before the order */
  PHASE_ORDER,    /* the order was sent */
  PHASE_LOAD,     /* the engine is taking it */
  PHASE_DONE,     /* the engine serves it */
} Phase;

struct Weights
{
  DlTask *task;
  const DlNodeSettings *settings;
  DlHttpClient *client;
  DlHttpServer *server; /* gives chunks to other stagers */
  char *origin;         /* NULL until known */
  char *default_model;  /* to bring when nothing was named; NULL until known */
  char *model;          /* to bring; NULL for none */
  uint64_t version;     /* 0: the newest that the origin names */
  uint64_t named_ms;
  Bundle *bundle; /* of the version to bring; NULL before its manifest is here */
  bool recovered; /* the staging area has been looked through since the start */
  GHashTable *neighbours; /* name to Neighbour */
  Phase phase;
  uint64_t phase_ms;        /* when it began */
  uint64_t hold_staging_ms; /* nothing may be staged before: an order may be under way */
  bool engine_known;
  bool engine_busy;
  uint64_t engine_version;
  uint64_t engine_born_ms;
  uint64_t engine_orders;
  bool told_loading;
  bool holding_changed;
};

/* -------- weights.c -------- */

void weights_enter (Weights *weights, Phase phase);
/* Does what can be done now. */
void weights_run (Weights *weights);
/* Chunk INDEX arrived and is verified; BYTES are copied. */
void weights_chunk_arrived (Bundle *bundle, unsigned index, DlStr bytes);

/* -------- fetch.c -------- */

int fetch_serve (Weights *weights);
void fetch_manifest (Weights *weights);
/* Starts the fetches that the plan wants now. */
void fetch_run (Bundle *bundle);
bool fetch_is_genuine (const Bundle *bundle, unsigned index, DlStr bytes);

/* -------- stage.c -------- */

/* Puts what is here and not staged beside the engine. */
void stage_write (Bundle *bundle);
/* Reads back all that is not known to be sound since SINCE_MS; true when all is. */
bool stage_check (Bundle *bundle, uint64_t since_ms);
void stage_order (Bundle *bundle, bool preempt);

#endif
