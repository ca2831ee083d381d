/*
 * The operators' live screen: its queries and the rendering of its body.
 *
 * The body depends only on the responses, all of one revision, and on the size of the
 * display.  It does not contain the age of the revision.
 */
#ifndef DL_SCREEN_H
#define DL_SCREEN_H

#include <json-c/json.h>

#include "kernel/str.h"

typedef enum
{
  DL_SCREEN_IN_PROGRESS, /* rollouts in progress */
  DL_SCREEN_FINISHED,    /* the latest rollouts that ended */
  DL_SCREEN_FAILURES,
  DL_SCREEN_IN_FORCE,
  DL_SCREEN_COMMANDS,
  DL_SCREEN_QUERIES,
} DlScreenQuery;

/* The query's text in the operators' language. */
const char *dl_screen_query (DlScreenQuery query);
/* Writes up to HEIGHT lines of up to WIDTH characters.  RESPONSES has the response of
 * /v1/query to each query; where it is NULL, that part of the screen is empty. */
void dl_screen_body (DlBuffer *buffer,
                     json_object *const responses[DL_SCREEN_QUERIES],
                     unsigned width,
                     unsigned height);

#endif
