/*
 * What the files of the load driver share: load_engine.c is the engine with the calls to
 * it, load_stager.c the stager, load_driver.c the store, the property and the schedule.
 */
#ifndef LOAD_WORLD_H
#define LOAD_WORLD_H

#include <glib.h>

#include "load_driver.h"
#include "policy/load_proof.h"

#define CHUNKS       3
#define CALLS_MAX    256
#define PER_THOUSAND 1000

/* A staged chunk: the version of which it is; 0 for none that is good. */
typedef struct
{
  uint64_t version;
  uint64_t rotten_version; /* of which it was before it rotted; 0: it did not */
  uint64_t rotten_ms;
} Chunk;

typedef struct
{
  uint64_t started_ms;
  uint64_t loads;
  uint64_t version;
  uint64_t loading; /* version that it loads; 0: none */
  uint64_t loaded_ms;
  unsigned command;  /* the call that it accepted last */
  bool took_bad;     /* a chunk that was not good */
  bool within_rules; /* each of these had rotted a short time before */
  Chunk staged[CHUNKS];
} Engine;

typedef enum
{
  CALL_NONE,
  CALL_READ,
  CALL_WRITE,
  CALL_LOAD,
  CALL_UNLOAD,
  CALL_REPORT,
} CallType;

/* A call under way to the engine, or its response to the stager. */
typedef struct
{
  CallType type;
  unsigned number;
  bool has_sender;  /* the stager waits for the response */
  bool landed;      /* at the engine */
  bool answered_no; /* refused, or already in effect */
  bool broken;      /* its connection has ended */
  bool given_up;    /* a write: the stager no longer counts on it, but keeps it open */
  uint64_t sent_ms;
  uint64_t land_ms;
  uint64_t response_ms;
  unsigned chunk;
  uint64_t version;  /* to write or load; that was read */
  uint64_t loads;    /* that a command expects */
  uint64_t proof_ms; /* the oldest read on which a command rests */
  DlProofReport report;
} Call;

typedef enum
{
  COPY_ABSENT,
  COPY_WRITING,
  COPY_WRITTEN,
  COPY_READING,
  COPY_VERIFIED,
} CopyState;

typedef struct
{
  CopyState state;
  uint64_t read_ms;
} Copy;

typedef enum
{
  PHASE_RECOVER,
  PHASE_FETCH,
  PHASE_WAIT,
  PHASE_DRAIN,
  PHASE_LOAD_COMMAND,
  PHASE_LOADING,
  PHASE_UNLOAD,
  PHASE_DONE,
} Phase;

typedef struct
{
  DlLoadProof proof;
  uint64_t version;
  Copy copies[CHUNKS];
  unsigned calls;
  bool recovered;
  Phase phase;
  uint64_t phase_ms;
  uint64_t blocked_until_ms;
  uint64_t unload_from_ms;
  bool engine_known;
  DlProofReport engine;
  uint64_t engine_version;
  uint64_t asked_ms;
  uint64_t next_report_ms;
  bool report_asked;
  unsigned misses;
  bool checking;
  uint64_t taken_version;
  uint64_t frozen_until_ms;
  uint64_t record_read_ms; /* when it has the record */
  DlSoundLoad recorded;    /* the record, as far as it knows */
} Stager;

/* The record of the last sound load in the store, and a write of it under way. */
typedef struct
{
  DlSoundLoad record;
  DlSoundLoad written;
  uint64_t write_ms; /* when it lands; 0: none is under way */
  bool has_sender;   /* the stager that waits for its response */
} Store;

typedef struct
{
  LoadDriverOptions options;
  LoadDriverResult result;
  uint64_t random;
  uint64_t now_ms;
  uint64_t newest;
  /* Chances of this schedule, per thousand and step or call. */
  unsigned rot;
  unsigned slow;
  unsigned late;
  unsigned lost;
  unsigned restart;
  unsigned freeze;
  unsigned kill;
  unsigned announce;
  unsigned call_number;
  unsigned answered; /* the last load whose response came while its proof was good */
  uint64_t proven_start;
  uint64_t proven_loads;
  Engine engine;
  Stager stager;
  Store store;
  Call calls[CALLS_MAX];
} World;

/* -------- load_driver.c -------- */

/* A random number below BELOW. */
uint64_t load_random_below (World *w, uint64_t below);
/* True PER_THOUSAND times in a thousand. */
bool load_chance (World *w, unsigned per_thousand);
/* Prints an event, if the options want it. */
void load_say (const World *w, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* -------- load_engine.c -------- */

bool load_engine_has_weights (const Engine *e);
/* The engine takes the calls that have come to it; chunks rot, and it may start again. */
void load_step_engine (World *w);
/* A call that the stager sends now. */
Call *load_call_new (World *w, CallType type);
/* Frees a call that has ended at both sides. */
void load_call_free_if_done (Call *c);

/* -------- load_stager.c -------- */

/* Replaces the stager, who knows nothing of what was under way. */
void load_stager_start (World *w);
/* The stager learns what the record is. */
void load_stager_recorded (World *w, const DlSoundLoad *record);
/* The stager handles the responses that have come, and goes on. */
void load_step_stager (World *w);

#endif
