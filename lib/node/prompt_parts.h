/*
 * The parts of a request's prompt that other requests may have too.
 *
 * A prompt is made of parts in order, each with an id.  The last one belongs to the
 * request itself or to its session and is left out here.
 */
#ifndef DL_PROMPT_PARTS_H
#define DL_PROMPT_PARTS_H

#include "kernel/str.h"

/* Further parts of a longer prompt are ignored. */
#define DL_PROMPT_PARTS_MAX 16

/* Shared parts, the first one first; the ids point into the caller's request. */
typedef struct
{
  size_t count;
  DlStr ids[DL_PROMPT_PARTS_MAX];
} DlPromptParts;

#endif
