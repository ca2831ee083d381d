/*
 * The parts of a request's prompt that other requests may have too.
 *
 * A prompt is made of parts in order, each with an id.  The last one belongs to the
 * request itself or to its session and is left out here.
 */
#ifndef DL_PROMPT_PARTS_H
#define DL_PROMPT_PARTS_H

#include "kernel/str.h"

#define DL_PART_ID_BYTES 33 /* with the terminating NUL */
/* Further parts of a longer prompt are ignored. */
#define DL_PROMPT_PARTS_MAX 16

/* Id of one part; a digest of an id that is too long. */
typedef struct
{
  char text[DL_PART_ID_BYTES];
} DlPartId;

/* Shared parts, the first one first. */
typedef struct
{
  size_t count;
  DlPartId ids[DL_PROMPT_PARTS_MAX];
} DlPromptParts;

/* What makes two requests the same, whoever receives them and whatever their ids are. */
typedef struct
{
  DlStr host;
  DlStr path;   /* as sent, without the query */
  DlStr caller; /* name of the organisation, or the key; empty for neither */
  DlStr body;
} DlRequestIdentity;

/* Returns the id for TEXT. */
DlPartId dl_part_id (DlStr text);
/* Returns the id of whole requests with IDENTITY, which no part of a prompt has. */
DlPartId dl_request_id (const DlRequestIdentity *identity);
/* Adds the id for TEXT, unless there are too many or TEXT is empty. */
void dl_prompt_parts_add (DlPromptParts *parts, DlStr text);

#endif
