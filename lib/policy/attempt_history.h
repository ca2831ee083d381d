/*
 * What became of the attempts of one request, for the log line that tells of its end.
 *
 * Other lines of the request may be dropped by the log's rate limit; this one text tells
 * which upstream had it, whether that was still at work, and why it was left.
 *
 * Pure functions: no clock, no sockets.  Times are milliseconds given by the caller.
 */
#ifndef DL_ATTEMPT_HISTORY_H
#define DL_ATTEMPT_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Attempts that are remembered; later ones are counted. */
#define DL_ATTEMPT_HISTORY_MAX 6
/* Longest id of an upstream that is shown whole, with its NUL. */
#define DL_ATTEMPT_ID_BYTES 48

/* The state of an attempt. */
typedef struct
{
  unsigned status;     /* of the response; 0 before its head */
  uint64_t events;     /* whole ones that arrived */
  uint64_t heard_ms;   /* when it last made progress; its start before that */
  bool is_reported_up; /* a recent report says that its upstream serves requests */
  const char *end;     /* why it ended, a static string; NULL while it is in progress */
  uint64_t ended_ms;   /* valid with END */
} DlAttemptState;

/* One attempt. */
typedef struct
{
  char upstream[DL_ATTEMPT_ID_BYTES];
  uint64_t sent_ms;
  DlAttemptState state;
} DlAttemptRecord;

/* The attempts of a request in the order in which they were sent.  Starts zeroed. */
typedef struct
{
  size_t count; /* all of them; DL_ATTEMPT_HISTORY_MAX are remembered */
  DlAttemptRecord items[DL_ATTEMPT_HISTORY_MAX];
} DlAttemptHistory;

/* An attempt at UPSTREAM was sent.  Returns its number for dl_attempt_history_set. */
size_t
dl_attempt_history_add (DlAttemptHistory *history, const char *upstream, uint64_t now_ms);
/* Replaces the state of the attempt NUMBER. */
void dl_attempt_history_set (DlAttemptHistory *history,
                             size_t number,
                             const DlAttemptState *state);
/* Returns the history of a request that arrived at ARRIVED_MS as one line of text, a
 * talloc child of CONTEXT; its times count from the arrival. */
char *dl_attempt_history_text (const void *context,
                               const DlAttemptHistory *history,
                               uint64_t arrived_ms);

#endif
