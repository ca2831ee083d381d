/*
 * The operators' live screen: which queries it is made of, and its body.
 *
 * The body is a function of the answers, all of one revision, and of the size of the
 * display; how old the revision is stands apart from it.
 */
#ifndef DL_SCREEN_H
#define DL_SCREEN_H

#include <json-c/json.h>

#include "kernel/str.h"

typedef enum
{
  DL_SCREEN_IN_PROGRESS, /* rollouts in progress */
  DL_SCREEN_FINISHED,    /* the latest others */
  DL_SCREEN_FAILURES,
  DL_SCREEN_IN_FORCE,
  DL_SCREEN_COMMANDS,
  DL_SCREEN_QUERIES,
} DlScreenQuery;

/* The query's text in the operators' language. */
const char *dl_screen_query (DlScreenQuery query);
/* Writes up to HEIGHT lines of up to WIDTH characters.  ANSWERS are /v1/query's, one for
 * each query; one that is NULL leaves its part empty. */
void dl_screen_body (DlBuffer *buffer,
                     json_object *const answers[DL_SCREEN_QUERIES],
                     unsigned width,
                     unsigned height);

#endif
