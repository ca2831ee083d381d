/*
 * What becomes of a request when one of its attempts ends, or is to be ended.
 *
 * What an entry believes of upstreams is some hundred milliseconds old: that one does not
 * respond any more, or that another has a free place, may be wrong.  So no such belief
 * ends an attempt that has started: only its own end, another attempt of the request that
 * goes on first, the caller, or the time does.  A request that has other attempts in
 * progress goes on with them, whatever ended this one.
 *
 * Answers the load of upstreams that fall silent, fill up or take new weights while
 * requests run there.  Pure functions: no clock, no sockets.
 */
#ifndef DL_ENDING_H
#define DL_ENDING_H

#include <stdbool.h>
#include <stdint.h>

/* Attempts of a request that may fail to connect before it is not retried any more. */
#define DL_NOT_SENT_MAX 3
/* Attempts of a request whose caller has a part of the response that upstreams may
 * refuse. */
#define DL_NOT_RUN_MAX 3

/* Why an attempt ends. */
typedef enum
{
  /* It has ended by itself: */
  DL_END_NOT_SENT,  /* no connection; nothing was sent */
  DL_END_NOT_RUN,   /* the upstream says that it did not execute the request */
  DL_END_BROKEN,    /* no complete, usable response; may have run */
  DL_END_TIME_OVER, /* the same, at the end of the time that it was given */
  /* Another attempt of the request goes on first. */
  DL_END_OVERTAKEN,
  /* The entry would end it: */
  DL_END_SILENT,      /* its upstream has sent nothing for long */
  DL_END_OUTDATED,    /* its upstream's weights are too old for a start */
  DL_END_QUARANTINED, /* upstreams crash on the request */
  /* The request has none in progress: */
  DL_END_WAITED, /* no place came free while its caller waits */
  /* The process has no time left. */
  DL_END_STOPPED,
} DlEndCause;

/* How often a request was sent. */
typedef struct
{
  unsigned sent;     /* attempts, those in progress included */
  unsigned not_run;  /* of these, refused, or withdrawn before they started */
  unsigned not_sent; /* further ones, which could not connect */
  unsigned max;      /* upstreams that the route allows */
  /* Its caller has a part of the response, so that it cannot be refused any more: only
   * upstreams that ran it count then. */
  bool is_partial;
} DlAttemptCounts;

/* What the decision depends on. */
typedef struct
{
  DlEndCause cause;
  bool has_started;       /* the attempt has sent an event, or begun its response */
  unsigned others;        /* further attempts of the request in progress */
  DlAttemptCounts counts; /* with the attempt, but not yet its end */
  bool may_run_again;     /* the route allows it */
  bool is_forbidden;      /* the request crashes upstreams, and may not be sent again */
  uint64_t remaining_ms;  /* until the request's deadline */
  bool has_budget;        /* the retry budget grants a retry */
} DlEnding;

/* What is done. */
typedef enum
{
  DL_END_KEEP,    /* the attempt is not ended */
  DL_END_LEAVE,   /* it ends; the request goes on with its others */
  DL_END_RETRY,   /* it ends; the request is sent again */
  DL_END_REQUEST, /* the request ends with it */
} DlEndDecision;

DlEndDecision dl_end_decide (const DlEnding *ending);
/* True when the request may be sent to one upstream more. */
bool dl_attempts_left (const DlAttemptCounts *counts);
/* What CAUSE means, for logs and callers; a static string. */
const char *dl_end_cause_text (DlEndCause cause);

#endif
