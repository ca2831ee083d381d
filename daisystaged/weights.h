/*
 * Declarations shared by the files of task "weights".
 *
 * weights.c decides the next step, stage.c writes chunks to the engine's staging area and
 * verifies them there, load.c sends commands to the engine and checks what it took.
 */
#ifndef STAGE_WEIGHTS_H
#define STAGE_WEIGHTS_H

#include "daisystaged.h"
#include "node/chunk_cache.h"
#include "policy/backoff.h"
#include "policy/load_proof.h"

typedef struct Weights Weights;
typedef struct Staging Staging;
typedef struct StageWrite StageWrite;

/* State of one chunk's copy in the staging area, as far as it is known. */
typedef enum
{
  STAGED_ABSENT,   /* missing, corrupt, or of another version */
  STAGED_WRITING,  /* being written */
  STAGED_WRITTEN,  /* written, or assumed to be there; not read back since */
  STAGED_READING,  /* being read back */
  STAGED_VERIFIED, /* read back with the right digest */
} StagedState;

/* One chunk's copy in the staging area. */
typedef struct
{
  StagedState state;
  uint64_t read_ms; /* when the read that verified it last was sent */
} StagedCopy;

/* The version that is being loaded into the engine. */
struct Staging
{
  Weights *owner;
  DlBundle *bundle;
  uint64_t limit_start_ms; /* when the time limit began: at its own announcement, or at
                            * that of an earlier version that the engine never served */
  StagedCopy *copies;      /* of each chunk; NULL until the manifest has arrived */
  unsigned calls;          /* requests to the staging area in progress */
  DlBackoff failures;      /* of these */
};

/* Progress of the current version. */
typedef enum
{
  PHASE_IDLE,         /* there is no version to load */
  PHASE_RECOVER,      /* reading back which chunks are staged already */
  PHASE_FETCH,        /* fetching the missing chunks */
  PHASE_WAIT,         /* complete; waiting for this engine's turn */
  PHASE_DRAIN,        /* the engine gets no new requests; verifying what is staged */
  PHASE_LOAD_COMMAND, /* the load command was sent */
  PHASE_LOADING, /* the engine is loading, or did not respond; checking what it took */
  PHASE_UNLOAD,  /* the engine took spoilt weights and is to give them up */
  PHASE_DONE,    /* the engine serves it */
} Phase;

/* State of the task. */
struct Weights
{
  DlTask *task;
  const DlNodeSettings *settings;
  DlHttpClient *client;
  DlChunkCache *cache;
  char *default_model; /* to load when there is no target; NULL until known */
  bool no_target;      /* the store was read and has no target version */
  Staging *staging;    /* of the current version; NULL for none */
  StageWrite *writes;  /* that are open; NULL for none */
  DlBundle *next;      /* a newer version, which is only fetched; NULL for none */
  uint64_t next_limit_start_ms; /* as in Staging */
  bool recovered;               /* the staging area has been read back since the start */
  Phase phase;
  uint64_t phase_ms;                 /* when it began */
  uint64_t staging_blocked_until_ms; /* nothing may be staged before then: a load may
                                      * still begin */
  bool engine_known;                 /* a report arrived, and the engine is responsive */
  DlEngineReport engine;             /* last report, without its strings */
  DlLoadProof proof;                 /* of the weights that the engine took */
  bool checking;                     /* chunks are being read back to prove that */
  uint64_t command_ms;               /* when the last command was sent; 0 for never */
  uint64_t taken_version; /* of the last command that had the response "accepted" */
  uint64_t proof_ms;      /* when the oldest read that it rested on was sent */
  DlBackoff unloads;      /* of commands to give up spoilt weights */
  bool out_of_use;        /* the engine is drained for a load, or loads */
  StageEngineUse told;    /* what was published last */
  bool chunks_dropped;    /* the current version's chunks were freed */
  bool is_evacuated; /* this data centre is, or it is not known: no commands are sent */
  bool draining;     /* a stop began: no more commands are sent */
  bool drained;
};

/* -------- weights.c -------- */

/* Sets the phase, which begins now. */
void weights_set_phase (Weights *weights, Phase phase);
/* What was read back is to be read once more. */
void weights_mark_unverified (Staging *staging);
/* Takes the next steps, as far as they are possible now. */
void weights_run (Weights *weights);

/* -------- stage.c -------- */

/* Writes chunks that are in memory and not staged yet, a few at a time; none while that
 * could hide what the engine took. */
void stage_write (Staging *staging);
/* Writes of STAGING that have had no response stay open, and do not count for it any
 * more.
 */
void stage_give_up_writes (Staging *staging);
/* Reads back chunks whose last verifying read was sent before SINCE_MS, a few at a time.
 * Returns true when all have been verified since. */
bool stage_verify (Staging *staging, uint64_t since_ms);

/* -------- load.c -------- */

/* Takes in a report of the engine. */
void load_handle_report (Weights *weights, const DlEngineReport *report);
/* True when the weights that the engine has, or loads, are known to be of the version
 * that is current here, so that what is staged can show whether they are sound. */
bool load_engine_has_current (const Weights *weights);
/* True when they are known to be of another version, or there are none.  Both are false
 * while it is not known. */
bool load_engine_has_other (const Weights *weights);
/* False while a chunk that is written could hide what the engine took. */
bool load_allows_writes (const Weights *weights);
/* Reads back what is staged to prove the weights that the engine took. */
void load_check (Weights *weights);
/* Sends the load command if the engine responds.  PREEMPT: running requests are cut off.
 */
void load_send_command (Weights *weights, bool preempt);
/* Commands the engine to give up its weights, unless it just failed to. */
void load_send_unload (Weights *weights);

#endif
