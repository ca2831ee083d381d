/*
 * The log's line of a list that could not be read.
 */
#ifndef DL_READ_LOG_H
#define DL_READ_LOG_H

#include "kernel/object_client.h"

/* Logs that the list of KIND that was sent at SENT_MS (dl_clock_ms) to READER, NULL for
 * the store, failed with RESULT. */
void dl_read_log_failure (const char *kind,
                          const char *reader,
                          uint64_t sent_ms,
                          const DlObjectResult *result);

#endif
