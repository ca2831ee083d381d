/*
 * Tracks the tokens of one streamed response, so that it can be resumed at another
 * upstream.
 *
 * A response is JSON lines {"token": I, ...} with I counting up from 0, then {"done":
 * true, "tokens": N}.  When the upstream fails, another one that serves the same version
 * continues from the next token that the caller needs.  Only complete lines are passed
 * on.  A token that the caller already has is dropped, and a gap or a wrong count marks
 * the stream as broken, so that no token is lost or duplicated.
 *
 * A stream whose caller has a part cannot be refused any more.  So attempts that ran
 * nowhere, because upstreams were full or away, do not count towards its limit; they only
 * make it wait, for up to DL_RESUME_WAIT_MS.
 */
#ifndef DL_RESUME_H
#define DL_RESUME_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/str.h"

/* A longer line breaks the stream. */
#define DL_RESUME_LINE_MAX_BYTES (64u << 10)
/* Further attempts that may run, of one response. */
#define DL_RESUME_ATTEMPTS_MAX 4
/* Longest wait for an upstream that takes the stream on: the longest time after which a
 * slot tells a refused caller to come back. */
#define DL_RESUME_WAIT_MS 10000
/* Growth of the delay before an attempt. */
#define DL_RESUME_BACKOFF_MS 150

/* How far a response has got. */
typedef enum
{
  DL_RESUME_MORE,   /* more is to come */
  DL_RESUME_DONE,   /* the response is complete */
  DL_RESUME_BROKEN, /* what the upstream sent cannot follow what came before */
} DlResumeState;

/* State of one response, across the upstreams that stream it. */
typedef struct
{
  uint32_t next_token; /* the first one that the caller does not have yet */
  DlResumeState state;
  DlBuffer *line;      /* the incomplete last line */
  unsigned attempts;   /* further ones that may have run */
  unsigned refusals;   /* attempts in a row that ran nowhere */
  uint64_t refused_ms; /* when the first of these ended */
} DlResume;

/* Returns a talloc child of CONTEXT. */
DlResume *dl_resume_new (const void *context, uint32_t first_token);
/* Consumes BYTES of the upstream's stream and appends to OUT the lines for the caller. */
DlResumeState dl_resume_feed (DlResume *resume, DlStr bytes, DlBuffer *out);
/* Prepares for another upstream, which continues from next_token: drops the incomplete
 * line of the previous one. */
void dl_resume_restart (DlResume *resume);
/* Counts the end of an attempt before the stream was complete.  IS_NOT_RUN: it ran
 * nowhere.  Returns false when the stream must not be attempted again; otherwise stores
 * the delay before the next attempt. */
bool dl_resume_attempt_ended (DlResume *resume,
                              bool is_not_run,
                              uint64_t now_ms,
                              uint64_t *delay_ms);

#endif
