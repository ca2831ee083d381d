/*
 * How much of a response that is not a stream may be collected before it is forwarded.
 *
 * Each response may always collect its share, so that a few long ones cannot keep the
 * others out.  Beyond its share it may collect while all together hold no more than fits
 * in memory.
 *
 * Pure functions: no clock, no sockets.
 */
#ifndef DL_RESPONSE_ROOM_H
#define DL_RESPONSE_ROOM_H

#include <stdbool.h>
#include <stddef.h>

/* What each response may collect, however much all hold. */
#define DL_RESPONSE_SHARE_BYTES ((size_t)64 << 10)
/* With more than this held for all responses, each may collect only its share. */
#define DL_RESPONSES_MAX_BYTES ((size_t)32 << 20)

/* A response that is being collected. */
typedef struct
{
  size_t held_bytes; /* of it */
  size_t max_bytes;  /* longest response that is collected; at least the share */
  size_t all_bytes;  /* held for all responses, this one included */
} DlResponseRoom;

/* True when EXTRA_BYTES more of the response may be collected. */
bool dl_response_room_has (const DlResponseRoom *room, size_t extra_bytes);

#endif
