/*
 * Tells whether the weights that an engine has taken are known to be sound.
 *
 * An engine takes what is staged at the moment at which it accepts a load command, and
 * checks nothing.  A staged chunk may turn bad at any time, and that moment is not known:
 * a command may be accepted long after its sender has given it up, or ended, and so may a
 * write land.  But only a write mends a staged chunk.  Those that are read back sound
 * after the command was accepted were sound as they were taken, if nothing can have been
 * written since.  So weights count as sound only after this check; before, entries send
 * no requests.
 *
 * The engine counts the commands that it accepts, and each command names the count that
 * it expects.  So of several commands for one count at most one is accepted, and none
 * once the count has moved on.  A command with the response "accepted" is that one.  If
 * the count moves on without such a response, the command may be any that was sent for
 * it, also by a stager that has ended.
 *
 * What was sent before an engine answered a report that was asked for later went to that
 * engine, and is gone when another one has started in its place.
 *
 * A stager that starts cannot tell by reads whether weights that the engine has already
 * are sound: its predecessor may have mended what they were taken from.  It goes by the
 * record, kept outside, of the last load that a stager of this host knew to be sound.
 *
 * Two writes under way could spoil a chunk before the acceptance and mend it after it.
 * So a version is staged only when no write of another one is open: it was sent, and
 * neither its response nor the end of its connection has been seen.  Writes of a
 * predecessor count as open for a while.
 *
 * No I/O: times are milliseconds passed in by the caller.
 */
#ifndef DL_LOAD_PROOF_H
#define DL_LOAD_PROOF_H

#include <stdbool.h>
#include <stdint.h>

/* What is known of the weights that the engine has. */
typedef enum
{
  DL_WEIGHTS_SOUND,     /* or there are none */
  DL_WEIGHTS_UNCHECKED, /* what is staged is to be read back */
  DL_WEIGHTS_UNKNOWN,   /* the engine had them before; the record is to be read */
  DL_WEIGHTS_SPOILT,    /* they may hold a bad chunk: not to be used */
} DlWeightsState;

/* What a report of the engine changed. */
typedef enum
{
  DL_PROOF_UNCHANGED,
  DL_PROOF_NEW_ENGINE,    /* the first report, or the engine has started again */
  DL_PROOF_ACCEPTED_LATE, /* it accepted a command that had no response */
} DlProofChange;

/* A report of the engine. */
typedef struct
{
  uint64_t started_ms; /* identifies the engine's process; its wall clock, 0: unknown */
  uint64_t loads;      /* commands that it has accepted since */
  bool has_weights;    /* also while it loads others */
  bool busy;           /* with a command */
  uint64_t asked_ms;   /* when the report was asked for */
  uint64_t now_ms;
} DlProofReport;

/* A load that was known to be sound, as it is remembered or recorded.  Starts zeroed. */
typedef struct
{
  bool known;
  uint64_t started_ms; /* as in DlProofReport, and the next */
  uint64_t loads;
} DlSoundLoad;

/* Starts zeroed. */
typedef struct
{
  DlWeightsState state;
  bool known;          /* the engine has reported */
  uint64_t started_ms; /* as in its report, and the next two */
  uint64_t loads;
  uint64_t asked_ms;
  uint64_t accepted_ms;   /* only reads sent from then on show what the engine took */
  bool awaited;           /* a command was sent, and its response may come */
  bool pending;           /* a command was given up, or may be another stager's */
  uint64_t command_ms;    /* when the last command was sent */
  uint64_t command_loads; /* the count that it names */
  uint64_t command_started_ms; /* the engine that was known then */
  bool overwritten; /* chunks may have been written since the engine may have accepted the
                     * command that loaded its weights, or a pending one */
  bool write_lost;  /* a write without a response may still land */
  uint64_t lost_ms; /* when the last such write was sent */
  bool own_write_lost;   /* one of this stager's is among these */
  uint64_t first_ms;     /* when the engine first reported to this stager */
  unsigned open_writes;  /* of OPEN_VERSION */
  uint64_t open_version; /* undefined without any */
  bool record_read;      /* the next is what the record says */
  DlSoundLoad record;
} DlLoadProof;

/* By its users' rules an engine may take a chunk that turned bad within this time. */
#define DL_LOAD_SPOILT_MAX_MS 3000
/* A write of a stager that has ended may land within this time after its successor began.
 */
#define DL_LOAD_PREDECESSOR_WRITES_MS 10000
/* A load command rests on reads of all chunks that were sent within this time. */
#define DL_LOAD_PROOF_MAX_AGE_MS 1800

/* For an engine that is being drained since DRAINING_MS: the time from which on reads of
 * its staged chunks must have been sent to allow the load command.  When it returns them
 * too slowly all are read again from then on: chunks that are read again one by one would
 * never all be fresh at once. */
uint64_t dl_load_proof_reads_from_ms (uint64_t draining_ms, uint64_t now_ms);

/* The record was read or has changed: RECORD is not known when there is none. */
void dl_load_proof_recorded (DlLoadProof *proof, const DlSoundLoad *record);
/* False while the record names a load that the engine could still accept: one that has
 * started again with the start time that it had counts anew. */
bool dl_load_proof_may_command (const DlLoadProof *proof);
/* Takes in a report; one that is older than what is known is ignored. */
DlProofChange dl_load_proof_report (DlLoadProof *proof, const DlProofReport *report);
/* A command is sent that names the count PROOF->loads. */
void dl_load_proof_command_sent (DlLoadProof *proof, uint64_t now_ms);
/* The response to it: the engine has accepted it.  UNLOADS: it gives up its weights;
 * otherwise PROOF_MS is when the oldest read was sent that showed the chunks sound. */
void dl_load_proof_accepted (DlLoadProof *proof,
                             bool unloads,
                             uint64_t proof_ms,
                             uint64_t now_ms);
/* The response: the engine has refused it. */
void dl_load_proof_refused (DlLoadProof *proof);
/* No usable response came: it may still be accepted. */
void dl_load_proof_given_up (DlLoadProof *proof);
/* True when chunks of VERSION may be written: they are evidence until the weights are
 * known to be sound or were given up.  OTHER_VERSION: the engine is known to have weights
 * of another version, so that what is staged cannot show what it took. */
bool
dl_load_proof_may_write (const DlLoadProof *proof, uint64_t version, bool other_version);
/* A chunk of VERSION is written, which was allowed. */
void dl_load_proof_write_sent (DlLoadProof *proof, uint64_t version);
/* Such a write has had its response, or its connection has ended. */
void dl_load_proof_write_ended (DlLoadProof *proof);
/* A write that was sent at SENT_MS has had no response in time, or none at all. */
void dl_load_proof_write_lost (DlLoadProof *proof, uint64_t sent_ms);
/* All chunks were read back since ACCEPTED_MS and are sound, or one is not. */
void dl_load_proof_checked (DlLoadProof *proof, bool is_sound);

/* A stager has told of its engine, which started at STARTED_MS and has accepted LOADS
 * commands; UNCHECKED: it does not know whether the weights are sound, as it has just
 * started, for one.  True if they are, by this or by what was told before. */
bool dl_sound_load_told (DlSoundLoad *sound,
                         uint64_t started_ms,
                         uint64_t loads,
                         bool unchecked);

#endif
