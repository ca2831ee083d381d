/*
 * How much memory the requests of all callers may hold together while they arrive and
 * wait.
 *
 * Callers that nobody controls may begin many long requests at once and never end them.
 * So the sum is bounded.  Each request may always hold a small part, which does not
 * count, so that a crowd of long ones cannot keep out ordinary ones: their number is
 * bounded by that of the connections.
 *
 * Pure: no clock, no sockets.
 */
#ifndef DL_HELD_BYTES_H
#define DL_HELD_BYTES_H

#include <stdbool.h>
#include <stddef.h>

/* What one request holds up to this does not count. */
#define DL_HELD_FREE_BYTES ((size_t)16 << 10)

/* What all requests hold. */
typedef struct
{
  size_t bytes; /* that count */
  size_t max;   /* 0: no limit */
} DlHeldBytes;

/* One request, which holds BEFORE bytes, is to hold AFTER.  Returns false, and changes
 * nothing, when the limit does not allow that; holding less is always allowed. */
bool dl_held_bytes_change (DlHeldBytes *held, size_t before, size_t after);

#endif
