/*
 * When a request whose upstream is silent is sent to another as well.
 *
 * A sound upstream may send nothing for a second or more and then go on, and a dead one
 * sends nothing either.  An entry cannot tell them apart, nor can it be sure that a
 * replacement takes the request.  So the attempt at the silent one goes on beside the
 * other, until one of them makes progress.
 *
 * Pure functions: no clock, no sockets.
 */
#ifndef DL_SILENCE_H
#define DL_SILENCE_H

#include <stdbool.h>
#include <stdint.h>

/* A replacement is looked for when the upstream has sent nothing for this many latency
 * targets. */
#define DL_SILENCE_TARGETS 2
/* The same for an upstream that is reported to serve: it is busy rather than down, and
 * the request would not start sooner elsewhere. */
#define DL_SILENCE_TARGETS_REPORTED 4
#define DL_SILENCE_MIN_MS           700
/* No attempt is started with less time than this left until the deadline. */
#define DL_ATTEMPT_MIN_MS 100

/* What the decision about an attempt in progress depends on. */
typedef struct
{
  uint64_t silent_ms;    /* since the upstream last sent something */
  uint64_t target_ms;    /* latency target: to the first event, or between events */
  bool reported_up;      /* a recent report says that the upstream serves requests */
  uint64_t remaining_ms; /* until the request's deadline */
  bool may_retry;        /* the route allows that the request runs again */
  bool has_attempts;     /* the route allows one attempt more */
  bool has_budget;       /* the retry budget grants a retry */
} DlSilence;

/* What is done with the attempt. */
typedef enum
{
  DL_SILENCE_WITHIN_LIMIT,
  /* The only attempt: the route allows no other, there is no time for one, or no budget.
   */
  DL_SILENCE_KEEP_ROUTE,
  DL_SILENCE_KEEP_TIME,
  DL_SILENCE_KEEP_BUDGET,
  /* Sent to another upstream as well, if one has a free place now. */
  DL_SILENCE_REPLACE,
} DlSilenceDecision;

DlSilenceDecision dl_silence_decide (const DlSilence *silence);
/* Why an attempt stays the only one after DECISION, for logs. */
const char *dl_silence_kept_text (DlSilenceDecision decision);

#endif
