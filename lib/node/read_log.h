/*
 * The log's line of a list or a watch that failed.
 */
#ifndef DL_READ_LOG_H
#define DL_READ_LOG_H

#include "kernel/object_client.h"

/* A read of objects that has ended without them. */
typedef struct
{
  DlObjectAction action; /* DL_OBJECT_LIST or DL_OBJECT_WATCH */
  const char *kind;      /* of the objects */
  const char *reader;    /* that was asked; NULL for the store */
  uint64_t sent_ms;      /* dl_clock_ms */
} DlFailedRead;

/* Logs that READ failed with RESULT. */
void dl_read_log_failure (const DlFailedRead *read, const DlObjectResult *result);

#endif
