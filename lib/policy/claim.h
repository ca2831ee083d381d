/*
 * At-most-once execution of a call under its key: the state machine of one attempt.
 *
 * A claim is an object of the platform's service, named by the digest of organisation,
 * service and key.  An attempt creates it, only if absent, with a nonce of its own, and
 * dispatches the call only after the platform has confirmed that creation and only until
 * a deadline on the monotonic clock, counted from before the write was sent.  An entry
 * that was frozen in between finds the deadline passed and records that the call did not
 * run. Nothing is dispatched twice by one attempt, and no attempt takes over the claim of
 * another unless that one recorded `not_run`; the take-over is a write conditional on the
 * very revision that says so.
 *
 * A write whose answer was lost is resolved by reading back and comparing the nonce. When
 * nothing is found, the same creation is sent again: it can only meet itself or lose.
 *
 * A claim that stays `claimed` belongs to an entry that is still at work or gone; nobody
 * can know which, so that a repeat of the key is told "in progress" while that may be and
 * "unknown" after.  A claim is kept for DL_CLAIM_KEEP_MS after its creation, far longer
 * than any dispatch deadline, and may be deleted then: a key that is used again later is
 * a new call.
 *
 * The machine is told of events and returns the next action; it keeps no clock.
 */
#ifndef DL_CLAIM_H
#define DL_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/crypt.h"

#define DL_CLAIM_DISPATCH_MS    2000  /* after the claim's write was sent */
#define DL_CLAIM_IN_PROGRESS_MS 90000 /* a claim seen for longer is unknown */
#define DL_CLAIM_STORE_TRIES    4     /* calls to the platform before giving up */
#define DL_CLAIM_RECORD_TRIES   30    /* of recording the end */
#define DL_CLAIM_BACKOFF_MS     100   /* before the second try; doubles */
#define DL_CLAIM_BACKOFF_MAX_MS 5000
#define DL_CLAIM_NONCE_BYTES    (2 * DL_NONCE_BYTES + 1)

typedef enum
{
  DL_CLAIM_CLAIMED,
  DL_CLAIM_DONE,
  DL_CLAIM_NOT_RUN,
  DL_CLAIM_UNKNOWN,
} DlClaimState;

/* What a claim object says. */
typedef struct
{
  uint64_t revision;
  char nonce[DL_CLAIM_NONCE_BYTES];
  DlDigest body; /* of method, path and body of the call */
  DlClaimState state;
} DlClaimRecord;

typedef enum
{
  DL_CLAIM_EV_START,
  DL_CLAIM_EV_WRITTEN,     /* the write took effect; REVISION */
  DL_CLAIM_EV_CONFLICT,    /* the write met another revision and took no effect */
  DL_CLAIM_EV_WRITE_LOST,  /* it may have taken effect */
  DL_CLAIM_EV_UNAVAILABLE, /* a call that certainly took no effect */
  DL_CLAIM_EV_READ,        /* RECORD */
  DL_CLAIM_EV_ABSENT,      /* a read found nothing */
  DL_CLAIM_EV_BACKOFF_OVER,
  DL_CLAIM_EV_ENDED, /* the dispatched call ended: END */
} DlClaimEventType;

typedef struct
{
  DlClaimEventType type;
  uint64_t now_ms;      /* monotonic */
  uint64_t revision;    /* WRITTEN */
  DlClaimRecord record; /* READ */
  uint64_t seen_ms;     /* READ: when this entry first saw this claim as claimed */
  DlClaimState outcome; /* ENDED */
} DlClaimEvent;

typedef enum
{
  DL_CLAIM_ACT_NOTHING,
  DL_CLAIM_ACT_CREATE,  /* write the claim if there is none */
  DL_CLAIM_ACT_REPLACE, /* write the claim over REVISION */
  DL_CLAIM_ACT_READ,
  DL_CLAIM_ACT_BACKOFF,      /* tell PAUSE_OVER after PAUSE_MS */
  DL_CLAIM_ACT_DISPATCH,     /* not after DISPATCH_BY_MS */
  DL_CLAIM_ACT_RECORD,       /* write END over REVISION; the caller is answered already */
  DL_CLAIM_ACT_FINISHED,     /* nothing more to do */
  DL_CLAIM_ACT_REPLY_RECORD, /* answer what the record says; finished */
  DL_CLAIM_ACT_REPLY_IN_PROGRESS, /* answer that the call is in progress; finished */
  DL_CLAIM_ACT_REPLY_KEY_REUSED,  /* refuse: the key stands for another call; finished */
  DL_CLAIM_ACT_REPLY_UNKNOWN,     /* answer that the outcome is unknown; finished */
  DL_CLAIM_ACT_REPLY_NOT_RUN,     /* answer that it was not run; finished */
  DL_CLAIM_ACT_RECORD_LOST,       /* the end could not be recorded; finished */
} DlClaimActionType;

typedef struct
{
  DlClaimActionType type;
  uint64_t revision;
  uint64_t backoff_ms;
  uint64_t dispatch_by_ms;
  DlClaimState outcome;
} DlClaimAction;

typedef enum
{
  DL_CLAIM_PHASE_NEW,
  DL_CLAIM_PHASE_WRITING,
  DL_CLAIM_PHASE_READING,
  DL_CLAIM_PHASE_WRITE_BACKOFF, /* then the creation is sent again */
  DL_CLAIM_PHASE_READ_BACKOFF,  /* then it is read again */
  DL_CLAIM_PHASE_DISPATCHED,
  DL_CLAIM_PHASE_RECORDING,
  DL_CLAIM_PHASE_RECORD_BACKOFF,
  DL_CLAIM_PHASE_RECORD_READING,
  DL_CLAIM_PHASE_FINISHED,
} DlClaimPhase;

typedef struct
{
  DlClaimPhase phase;
  char nonce[DL_CLAIM_NONCE_BYTES];
  DlDigest body;
  uint64_t revision;      /* of the claim, once it is this attempt's */
  uint64_t over_revision; /* of a `not_run` record to be replaced; 0: create */
  uint64_t dispatch_by_ms;
  unsigned tries;
  DlClaimState outcome;
  bool dispatched;
  bool fenced; /* confirmed too late: recorded as not run */
} DlClaim;

/* Name of the claim's object, a hexadecimal text of DL_DIGEST_HEX_BYTES. */
void dl_claim_name (DlStr organisation, DlStr service, DlStr key, char *name);
DlDigest dl_claim_body_digest (DlStr method, DlStr path, DlStr body);
void dl_claim_init (DlClaim *claim, const char *nonce, const DlDigest *body);
DlClaimAction dl_claim_step (DlClaim *claim, const DlClaimEvent *event);
const char *dl_claim_state_name (DlClaimState end);
/* Returns 0 or -EINVAL. */
int dl_claim_state_parse (const char *name, DlClaimState *end);

#endif
