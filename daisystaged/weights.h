/*
 * Parts of the task "weights" that its files share.
 *
 * weights.c decides what to do next, stage.c puts chunks beside the engine, checks them
 * there and orders the engine to take them.
 */
#ifndef STAGE_WEIGHTS_H
#define STAGE_WEIGHTS_H

#include "daisystaged.h"
#include "node/chunk_cache.h"

typedef struct Weights Weights;
typedef struct Staging Staging;

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
  StagedState state;
  uint64_t sound_ms; /* when it was last read back sound */
} StagedCopy;

/* A version on its way into the engine. */
struct Staging
{
  Weights *owner;
  DlBundle *bundle;
  uint64_t due_from_ms; /* its time counts from then: from its own name, or from that of a
                         * version before it that never came into force here */
  StagedCopy *copies;   /* of each chunk; NULL until the manifest is here */
  unsigned working;     /* calls to the staging area in progress */
};

/* Where the present version is on its way into the engine. */
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
  DlChunkCache *cache;
  char *default_model; /* to bring when nothing was named; NULL until known */
  bool unnamed;        /* the store was read, and no version is named */
  Staging *staging;    /* of the present version; NULL for none */
  DlBundle *next;      /* a newer version, only fetched; NULL for none */
  uint64_t next_due_from_ms;
  bool recovered; /* the staging area has been looked through since the start */
  Phase phase;
  uint64_t phase_ms;        /* when it began */
  uint64_t hold_staging_ms; /* nothing may be staged before: an order may be under way */
  bool engine_known;
  DlEngineReport engine; /* without its texts */
  bool told_loading;
  bool forgotten; /* the present version's chunks are not held in memory any more */
};

/* -------- weights.c -------- */

void weights_enter (Weights *weights, Phase phase);
/* Does what can be done now. */
void weights_run (Weights *weights);

/* -------- stage.c -------- */

/* Puts what is here and not staged beside the engine. */
void stage_write (Staging *staging);
/* Reads back all that is not known to be sound since SINCE_MS; true when all is. */
bool stage_check (Staging *staging, uint64_t since_ms);
void stage_order (Staging *staging, bool preempt);

#endif
