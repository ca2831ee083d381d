/*
 * Decides when a slot sends its engine the command to load a version.
 *
 * The old weights stay in use until the new version is complete, verified and allowed to
 * load.  Then the slot leaves the rotation, waits for its running requests, sends the
 * command, and returns to the rotation when the engine serves the version.  An engine may
 * refuse a command, lose it, or carry it out late, and some engines ignore fencing
 * tokens.  So a command is sent only under a directive in effect, while in contact with a
 * relay, and not before a predecessor on the same host has stopped sending commands.
 *
 * A command that was not refused is pending, however long, until the engine serves the
 * version that it named: the engine may begin to load at any moment, and what it then
 * generates for running requests comes from partial weights.  So the slot stays out of
 * rotation while a command is pending.  An engine handles commands in the order in which
 * it reads them, so that an accepted command replaces the pending ones before it.
 *
 * A slot that starts on a host whose engine has weights does not know what its
 * predecessor has sent or may still send.  It stays out of rotation for the guard time,
 * and a grant that it learns of meanwhile means that a command of its predecessor is
 * pending, also when the rollout has been paused or has ended since.
 */
#ifndef DL_LOADER_H
#define DL_LOADER_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/crypt.h"

/* How far the current load has got. */
typedef enum
{
  DL_LOADER_IDLE,
  DL_LOADER_DRAINING, /* out of rotation until the running requests have ended */
  DL_LOADER_SENDING,  /* a load command is on its way to the engine */
  DL_LOADER_LOADING,  /* the engine accepted the command */
} DlLoaderPhase;

/* Inputs of the decision at one moment. */
typedef struct
{
  uint64_t now_ms;
  bool in_contact;           /* with a relay */
  uint64_t contact_since_ms; /* start of the present state of contact */
  bool stopping;
  bool has_directive;
  bool wanted;      /* the directive's rollout is distributing, loading or complete */
  bool may_load;    /* the rollout lets this host load now */
  bool granted;     /* it has let it, and may have been paused or ended since */
  DlDigest version; /* of the directive */
  uint64_t fence;   /* of the directive */
  bool complete;    /* the version is complete and verified on this host */
  bool engine_reachable;
  DlDigest serving;      /* zero: none */
  DlDigest loading;      /* zero: none */
  uint64_t engine_fence; /* highest that the engine has seen; 0: none */
  uint32_t requests_running;
} DlLoaderFacts;

/* What the slot has to do after a step. */
typedef enum
{
  DL_LOADER_NOTHING,
  DL_LOADER_SEND_LOAD, /* send the command to load FACTS.version under FACTS.fence */
} DlLoaderAction;

/* State of the loader of one slot. */
typedef struct
{
  /* Limits. */
  uint64_t guard_ms; /* a predecessor may send commands this long after started_ms */
  uint64_t drain_ms; /* longest wait for running requests */
  /* A command without effect for this long counts as lost. */
  uint64_t command_timeout_ms;
  uint64_t started_ms; /* dl_loader_init */
  uint64_t stepped_ms; /* last dl_loader_step */
  uint64_t resumed_ms; /* end of the last pause of the process; 0: none */
  DlLoaderPhase phase;
  DlDigest version;         /* being loaded */
  bool engine_was_fresh;    /* it had no command before this slot started */
  bool pending;             /* the engine may still carry out a command */
  DlDigest pending_version; /* that this command named */
  bool predecessors;        /* only a predecessor may have sent it */
  uint64_t since_ms;        /* start of the phase */
  uint64_t retry_at_ms;
  uint64_t retry_ms;   /* current backoff */
  const char *failure; /* static text; NULL: none */
} DlLoader;

/* GUARD_MS and DRAIN_MS are the limits of the same names. */
void
dl_loader_init (DlLoader *loader, uint64_t now_ms, uint64_t guard_ms, uint64_t drain_ms);
/* To be called on every change, and at least this often. */
#define DL_LOADER_STEP_MS 250
/* Returns what to do now. */
DlLoaderAction dl_loader_step (DlLoader *loader, const DlLoaderFacts *facts);
/* Clears earlier failures, as the rollout has granted this host a new load. */
void dl_loader_reset_backoff (DlLoader *loader);
/* The engine's response to a load command: 0 when accepted, DL_ERR_FENCED, or another
 * error.  After DL_ERR_UNKNOWN the engine may have accepted it; its state will show. */
void dl_loader_command_done (DlLoader *loader, uint64_t now_ms, int error);
/* True when the slot accepts new requests. */
bool dl_loader_accepts (const DlLoader *loader, const DlLoaderFacts *facts);

/* A longer gap between steps counts as a pause of the process: its inputs are stale, and
 * no command is sent until a new contact has begun. */
#define DL_LOADER_PAUSE_MS 2000

/* A slot without contact to a relay for this long accepts no new requests. */
#define DL_LOADER_CONTACT_MS 5000

#endif
