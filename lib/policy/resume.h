/*
 * Token accounting of one streamed answer.
 *
 * An answer is JSON lines {"token": I, ...} with I rising by one from 0, then {"done":
 * true, "tokens": N}.  When the upstream breaks, the stream goes on at another one of the
 * same version from the token that the caller needs next.  Only whole lines are passed
 * on; a token that the caller has already had is dropped, and a gap or a wrong count
 * breaks the stream, so that no token is lost or doubled.
 */
#ifndef DL_RESUME_H
#define DL_RESUME_H

#include "kernel/str.h"

#define DL_RESUME_LINE_MAX_BYTES (64u << 10)

typedef enum
{
  DL_RESUME_MORE,   /* goes on */
  DL_RESUME_DONE,   /* the answer is whole */
  DL_RESUME_BROKEN, /* the upstream's stream cannot be what follows */
} DlResumeState;

typedef struct
{
  uint32_t next_token; /* that the caller has not had yet */
  DlResumeState state;
  DlBuffer *line; /* bytes of a line that has not ended */
} DlResume;

DlResume *dl_resume_new (const void *context, uint32_t first_token);
/* Takes BYTES of the upstream's stream; appends to OUT the lines for the caller. */
DlResumeState dl_resume_feed (DlResume *resume, DlStr bytes, DlBuffer *out);
/* Another upstream goes on from next_token: drops the half line of the one before. */
void dl_resume_restart (DlResume *resume);

#endif
