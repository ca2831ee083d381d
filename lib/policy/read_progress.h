/*
 * Whether a read of the store's objects makes progress, so that other nodes of the region
 * wait for it instead of sending the same read over the same link.
 *
 * Pure: times are milliseconds given by the caller.
 */
#ifndef DL_READ_PROGRESS_H
#define DL_READ_PROGRESS_H

#include <stdbool.h>
#include <stdint.h>

/* The response may begin to arrive so long after it is due. */
#define DL_READ_BEGIN_MS 500
/* Once it has begun, its parts may be so far apart. */
#define DL_READ_PAUSE_MS 900

/* Zeroed while there is no read. */
typedef struct
{
  uint64_t due_ms;     /* the end of the wait that the read asked for */
  uint64_t arrived_ms; /* the last part of the response; 0 before the first */
} DlReadProgress;

bool dl_read_progresses (const DlReadProgress *progress, uint64_t now_ms);
/* The same, once the response has begun. */
bool dl_read_is_arriving (const DlReadProgress *progress, uint64_t now_ms);

#endif
