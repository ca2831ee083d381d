/*
 * Splits a stream of server-sent events into complete events.
 *
 * An upstream may disconnect in the middle of an event.  Only complete events are passed
 * on, so that another upstream can continue after the last one and no event is missing,
 * truncated or duplicated.
 */
#ifndef DL_EVENT_STREAM_H
#define DL_EVENT_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/str.h"

#define DL_EVENT_MAX_BYTES (256u << 10) /* longest event */

/* A stream being split. */
typedef struct
{
  DlBuffer *pending; /* bytes of the incomplete event */
  uint64_t last_id;  /* of the last complete event with an id; 0: none */
  uint64_t events;   /* complete ones so far */
} DlEventStream;

/* Returns a talloc child of CONTEXT.  LAST_ID is that of the last event that the caller
 * already has; 0: none. */
DlEventStream *dl_event_stream_new (const void *context, uint64_t last_id);
/* Takes BYTES of the stream and appends the events that they complete to OUT.  Returns 0,
 * DL_ERR_TOO_LARGE for an event over the limit, or DL_ERR_MALFORMED for an id that is not
 * above the last one; after that the rest of the stream must not be used. */
int dl_event_stream_feed (DlEventStream *stream, DlStr bytes, DlBuffer *out);
/* True when no incomplete event is pending, so that the stream may end here. */
bool dl_event_stream_is_between_events (const DlEventStream *stream);
/* Drops the incomplete event, as another upstream continues after last_id. */
void dl_event_stream_restart (DlEventStream *stream);

#endif
