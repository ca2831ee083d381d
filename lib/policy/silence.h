/*
 * When the attempt at a silent upstream is given up for one at another.
 *
 * A sound upstream may send nothing for a second or more and then go on, and so may a
 * dead one that never will.  An entry cannot tell them apart.  While the caller waits, an
 * attempt that may still succeed is worth more than none: it is given up only for a
 * replacement that is certain, and otherwise kept until the request's deadline.
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
  unsigned attempts;     /* so far, this one included */
  unsigned attempts_max;
  bool has_budget; /* the retry budget grants a retry */
} DlSilence;

/* What is done with the attempt. */
typedef enum
{
  DL_SILENCE_WITHIN_LIMIT,
  /* Kept: the route allows no other, there is no time for one, or no budget. */
  DL_SILENCE_KEEP_ROUTE,
  DL_SILENCE_KEEP_TIME,
  DL_SILENCE_KEEP_BUDGET,
  /* Replaced if another upstream has a free place now, else kept. */
  DL_SILENCE_REPLACE,
} DlSilenceDecision;

DlSilenceDecision dl_silence_decide (const DlSilence *silence);
/* Why an attempt is kept after DECISION, for logs. */
const char *dl_silence_kept_text (DlSilenceDecision decision);

#endif
