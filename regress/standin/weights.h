/*
 * Weights for the stand-ins of the origin and of model servers: the bytes of a chunk are
 * computed from its version and index, so that both know them.
 *
 * Of a model server: what is staged, what it took from there, and the faults of both.
 * Times by which a chunk turned bad are kept, so that the records tell whether a load
 * took a chunk that had been bad for longer than STAGED_BAD_MAX_MS.
 */
#ifndef STANDIN_WEIGHTS_H
#define STANDIN_WEIGHTS_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/str.h"
#include "standin.h"

#define WEIGHTS_CHUNKS      16
#define WEIGHTS_CHUNK_BYTES 4096
#define WEIGHTS_LAYERS      4
#define WEIGHTS_MODEL       "big"

/* Writes the chunk to BYTES, which has WEIGHTS_CHUNK_BYTES. */
void weights_fill (uint64_t version, unsigned index, char *bytes);
/* True if BYTES is this chunk. */
bool weights_is_chunk (uint64_t version, unsigned index, DlStr bytes);

/* What is wrong in a manifest that the origin spoils, for its knob "spoil_what". */
typedef enum
{
  WEIGHTS_SOUND,
  WEIGHTS_ONE_DIGEST, /* that of WEIGHTS_SPOILT_CHUNK */
  WEIGHTS_ALL_DIGESTS,
  WEIGHTS_SHORT_DIGEST,
  WEIGHTS_ONE_LESS, /* digest */
  WEIGHTS_ONE_MORE,
  WEIGHTS_SIZES, /* of a chunk, and the number of layers */
  WEIGHTS_OTHER_MODEL,
  WEIGHTS_OTHER_VERSION,
  WEIGHTS_SPOILT_KINDS,
} WeightsSpoilt;

#define WEIGHTS_SPOILT_CHUNK 5

/* -------- what a model server has staged -------- */

/* Stated by the users: a chunk that turned bad within this time may be taken. */
#define STAGED_BAD_MAX_MS 3000

/* Knobs. */
extern uint64_t staged_version; /* of the weights that the server has; 0: none */
extern uint64_t staged_refused; /* 1: no chunk can be staged */
extern uint64_t staged_rot;     /* the next N reads corrupt the chunk, and return that */
extern uint64_t staged_rot_after_read;  /* the next N corrupt it after they returned it */
extern uint64_t staged_rot_at_command;  /* as a load command arrives, N chunks turn bad */
extern uint64_t staged_read_late_ms;    /* reads are answered so long after */
extern uint64_t staged_command_late_ms; /* a command waits so long, and is taken then,
                                         * also when its sender has closed */
extern uint64_t staged_commands_late;   /* the next N commands after it are as late */
/* The process stands still for so long before it takes the next command. */
extern uint64_t staged_command_stall_ms;
/* The process stops (SIGSTOP) before it takes the next N commands, until SIGCONT; and
 * before the next N reads. */
extern uint64_t staged_stop_at_command;
extern uint64_t staged_stop_at_read;
extern uint64_t staged_write_at_command; /* the next N writes get no response, and land
                                          * as the command for the version after theirs
                                          * arrives */
extern uint64_t staged_mixed; /* loads that took missing or wrong chunks; it is set to 0
                               * after faults that allow some */

extern uint64_t
    staged_reports_fail_ms; /* reports fail for so long after the next command
                             * that is accepted, and reads are no longer late */

/* Reports fail now. */
bool staged_reports_fail (void);
/* Handles the calls that stage and load; false for any other. */
bool staged_handle (DlHttpRequest *request);
void staged_start (DlTask *standin);
/* The server has started again: it has no weights, and what is staged is kept. */
void staged_lose_weights (void);
/* The staged chunks that turned bad are sound again: a late write has landed. */
void staged_mend (void);
/* The server is loading weights and takes no requests. */
bool staged_is_loading (void);
/* Commands accepted since the server started. */
uint64_t staged_commands (void);
/* A request begins to run: counts it if the weights are spoilt. */
void staged_count_run (void);
/* Adds the counts to RECORDS. */
void staged_record (json_object *records);

#endif
