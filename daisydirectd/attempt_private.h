/*
 * Internal interfaces of attempts.
 *
 * attempt.c sends a request to one upstream and ends the attempt, attempt_response.c
 * receives the response and forwards it.
 */
#ifndef DIRECT_ATTEMPT_PRIVATE_H
#define DIRECT_ATTEMPT_PRIVATE_H

#include "platform.h"
#include "policy/event_stream.h"
#include "requests.h"

/* Largest response that is no stream. */
#define ATTEMPT_RESPONSE_MAX_BYTES (512u << 10)

/* One sending of a request to one upstream; a talloc child of the request. */
struct Attempt
{
  Request *request;
  Attempt *next;  /* of the request, sent before */
  Attempt **link; /* pointer to this attempt in the request's list; NULL when not in it */
  DirectUpstream *upstream;
  DlHttpCall *call;
  DlResponseHead head;
  unsigned status;
  size_t number; /* in the request's history */
  uint64_t sent_ms;
  uint64_t given_ms;     /* time that the upstream was given for the request */
  uint64_t progress_ms;  /* when it last made progress; the start time before that */
  uint64_t sent_version; /* of the upstream's weights then; 0 for none */
  uint64_t prompt_tokens;
  bool started;         /* a whole event or a whole response arrived */
  bool kept;            /* though its upstream was silent for long */
  bool failure_counted; /* that silence was, for the upstream's circuit breaker */
  bool overtaken;       /* another one goes on; ABORT_TIMER ends this one */
  bool ended;           /* its end was reported to the upstream */
  bool pinned;          /* the upstream was to refuse it with other weights */
  bool paused;          /* by this entry, as its caller reads slowly */
  bool aborted;         /* further bytes are dropped; ABORT_TIMER ends the attempt */
  bool time_over;       /* it ended with the time that its upstream was given */
  DlTimer *abort_timer;
  DlEventStream *events; /* of a streamed response; NULL on routes without */
  DlBuffer *body;        /* of a response that is no stream */
  size_t body_bytes;     /* of it, counted in the owner's collected_bytes */
};

/* -------- attempt.c -------- */

/* Ends and frees the attempt for the reason END, a static string. */
void
direct_attempt_finish (Attempt *attempt, DirectAttemptOutcome outcome, const char *end);
/* Ends the attempt for CAUSE; the request goes on with its others, is sent again, or gets
 * its final response. */
void direct_attempt_finish_failed (Attempt *attempt,
                                   DirectAttemptOutcome outcome,
                                   DlEndCause cause);
/* Takes the attempt from those of its request, for the reason END, a static string. */
void direct_attempt_unlink (Attempt *attempt, const char *end);

/* -------- attempt_response.c: callbacks of the attempt's call -------- */

void direct_attempt_on_head (DlHttpCall *call, unsigned status, void *data);
void direct_attempt_on_data (DlHttpCall *call, DlStr bytes, void *data);
void direct_attempt_on_done (DlHttpCall *call, const DlHttpResult *result, void *data);

#endif
