/*
 * At-most-once execution of a call under its idempotency key: the state machine of one
 * attempt.
 *
 * A claim is an object of the platform's service, named by the digest of organisation,
 * service and key.  An attempt creates it, only if absent, with a nonce of its own.  It
 * dispatches the call only after the platform has confirmed that write, and only before a
 * deadline on the monotonic clock that is counted from before the write was sent.  An
 * entry that was frozen in between finds the deadline passed and records that the call
 * was not run.  An attempt dispatches at most once, and takes over the claim of another
 * only if that one is recorded as `not_run`, by a write conditional on the revision that
 * says so.
 *
 * A write whose response was lost is resolved by reading the object back and comparing
 * the nonce.  If there is no object, the same creation is sent again: it either takes
 * effect, or conflicts with the earlier write, which has the same nonce, or with that of
 * another attempt.
 *
 * A claim that stays `claimed` belongs to an entry that is still at work or has stopped;
 * which of the two cannot be known.  A further request with the same key gets "in
 * progress" while the call can still be in progress, and "unknown" afterwards.  An entry
 * deletes a claim after the setting claim_keep_ms from when its outcome was recorded, far
 * later than any dispatch deadline.  A key that is used again later is a new call.
 *
 * Pure: the caller passes events with their times and carries out the returned action.
 */
#ifndef DL_CLAIM_H
#define DL_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/crypt.h"

/* Deadline to dispatch, counted from before the claim is written. */
#define DL_CLAIM_DISPATCH_MS 2000
/* The outcome of a claim that stays `claimed` for longer is unknown. */
#define DL_CLAIM_IN_PROGRESS_MS 90000
/* An attempt gives up after this many tries to write its claim, and after this many to
 * record the outcome. */
#define DL_CLAIM_STORE_TRIES  4
#define DL_CLAIM_RECORD_TRIES 30
/* The backoff after N failed tries is BACKOFF_MS doubled N times, up to the maximum. */
#define DL_CLAIM_BACKOFF_MS     100
#define DL_CLAIM_BACKOFF_MAX_MS 5000
/* Size of a nonce in hexadecimal, with the closing NUL. */
#define DL_CLAIM_NONCE_BYTES (2 * DL_NONCE_BYTES + 1)

/* State of a claim.  All but DL_CLAIM_CLAIMED are outcomes of a call. */
typedef enum
{
  DL_CLAIM_CLAIMED,
  DL_CLAIM_DONE,
  DL_CLAIM_NOT_RUN,
  DL_CLAIM_UNKNOWN,
} DlClaimState;

/* Contents of a claim object. */
typedef struct
{
  uint64_t revision;
  char nonce[DL_CLAIM_NONCE_BYTES];
  DlDigest body; /* dl_claim_body_digest of the call */
  DlClaimState state;
} DlClaimRecord;

/* What happened, for dl_claim_step. */
typedef enum
{
  DL_CLAIM_EV_START,
  DL_CLAIM_EV_WRITTEN,     /* a write took effect, as REVISION */
  DL_CLAIM_EV_CONFLICT,    /* a write met another revision and took no effect */
  DL_CLAIM_EV_WRITE_LOST,  /* a write may have taken effect */
  DL_CLAIM_EV_UNAVAILABLE, /* a call failed and took no effect */
  DL_CLAIM_EV_READ,        /* a read found RECORD */
  DL_CLAIM_EV_ABSENT,      /* a read found no claim */
  DL_CLAIM_EV_BACKOFF_OVER,
  DL_CLAIM_EV_ENDED, /* the dispatched call ended with OUTCOME */
} DlClaimEventType;

/* An event, with the members that its type needs. */
typedef struct
{
  DlClaimEventType type;
  uint64_t now_ms;      /* monotonic clock */
  uint64_t revision;    /* WRITTEN */
  DlClaimRecord record; /* READ */
  uint64_t seen_ms;     /* READ: when this entry first saw this revision as claimed */
  DlClaimState outcome; /* ENDED */
} DlClaimEvent;

/* What the caller has to do next. */
typedef enum
{
  DL_CLAIM_ACT_NOTHING,
  DL_CLAIM_ACT_CREATE,  /* create the claim, only if absent */
  DL_CLAIM_ACT_REPLACE, /* replace the claim at REVISION */
  DL_CLAIM_ACT_READ,
  DL_CLAIM_ACT_BACKOFF,  /* send BACKOFF_OVER after BACKOFF_MS */
  DL_CLAIM_ACT_DISPATCH, /* dispatch the call, not after DISPATCH_BY_MS */
  DL_CLAIM_ACT_RECORD, /* write OUTCOME over REVISION; the caller does not wait for it */
  DL_CLAIM_ACT_FINISHED,          /* the attempt is over */
  DL_CLAIM_ACT_REPLY_RECORD,      /* respond with the recorded response; finished */
  DL_CLAIM_ACT_REPLY_IN_PROGRESS, /* respond that the call is in progress; finished */
  DL_CLAIM_ACT_REPLY_KEY_REUSED,  /* refuse: the key belongs to another call; finished */
  DL_CLAIM_ACT_REPLY_UNKNOWN,     /* respond that the outcome is unknown; finished */
  DL_CLAIM_ACT_REPLY_NOT_RUN,     /* respond that the call was not run; finished */
  DL_CLAIM_ACT_RECORD_LOST,       /* the outcome could not be recorded; finished */
} DlClaimActionType;

/* An action, with the members that its type needs. */
typedef struct
{
  DlClaimActionType type;
  uint64_t revision;
  uint64_t backoff_ms;
  uint64_t dispatch_by_ms;
  DlClaimState outcome;
} DlClaimAction;

/* What an attempt is waiting for. */
typedef enum
{
  DL_CLAIM_PHASE_NEW,
  DL_CLAIM_PHASE_WRITING,
  DL_CLAIM_PHASE_READING,
  DL_CLAIM_PHASE_WRITE_BACKOFF, /* then the claim is written again */
  DL_CLAIM_PHASE_READ_BACKOFF,  /* then the claim is read again */
  DL_CLAIM_PHASE_DISPATCHED,
  DL_CLAIM_PHASE_RECORDING,
  DL_CLAIM_PHASE_RECORD_BACKOFF,
  DL_CLAIM_PHASE_RECORD_READING,
  DL_CLAIM_PHASE_FINISHED,
} DlClaimPhase;

/* One attempt. */
typedef struct
{
  DlClaimPhase phase;
  char nonce[DL_CLAIM_NONCE_BYTES];
  DlDigest body;
  uint64_t revision;          /* of the claim, once this attempt owns it */
  uint64_t replaces_revision; /* of the `not_run` record to replace; 0: create */
  uint64_t dispatch_by_ms;
  unsigned tries; /* to claim, or to record the outcome */
  DlClaimState outcome;
  bool dispatched;
  bool fenced; /* the claim was confirmed after the deadline: recorded as not run */
  bool closed; /* nothing is dispatched any more */
} DlClaim;

/* Stores the name of the claim's object in NAME, DL_DIGEST_HEX_BYTES long. */
void dl_claim_name (DlStr organisation, DlStr service, DlStr key, char *name);
/* Digest that identifies the call: requests with the same key must have the same one. */
DlDigest dl_claim_body_digest (DlStr method, DlStr path, DlStr body);
/* From now on the attempt dispatches nothing: it ends as not run, unless it has
 * dispatched the call before. */
void dl_claim_close (DlClaim *claim);
/* Starts an attempt.  NONCE is unique to it. */
void dl_claim_init (DlClaim *claim, const char *nonce, const DlDigest *body);
/* Handles EVENT; returns the action to take next. */
DlClaimAction dl_claim_step (DlClaim *claim, const DlClaimEvent *event);
/* Name of the state as stored in the object; static. */
const char *dl_claim_state_name (DlClaimState state);
/* Returns 0, or -EINVAL for an unknown name. */
int dl_claim_state_parse (const char *name, DlClaimState *state);

#endif
