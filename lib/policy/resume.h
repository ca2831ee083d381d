/*
 * Tracks the tokens of one streamed response, so that it can be resumed at another
 * upstream.
 *
 * A response is JSON lines {"token": I, ...} with I counting up from 0, then {"done":
 * true, "tokens": N}.  When the upstream fails, another one that serves the same version
 * continues from the next token that the caller needs.  Only complete lines are passed
 * on.  A token that the caller already has is dropped, and a gap or a wrong count marks
 * the stream as broken, so that no token is lost or duplicated.
 */
#ifndef DL_RESUME_H
#define DL_RESUME_H

#include "kernel/str.h"

/* A longer line breaks the stream. */
#define DL_RESUME_LINE_MAX_BYTES (64u << 10)

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
  DlBuffer *line; /* the incomplete last line */
} DlResume;

/* Returns a talloc child of CONTEXT. */
DlResume *dl_resume_new (const void *context, uint32_t first_token);
/* Consumes BYTES of the upstream's stream and appends to OUT the lines for the caller. */
DlResumeState dl_resume_feed (DlResume *resume, DlStr bytes, DlBuffer *out);
/* Prepares for another upstream, which continues from next_token: drops the incomplete
 * line of the previous one. */
void dl_resume_restart (DlResume *resume);

#endif
