/*
 * Cutting a stream of server-sent events into whole events.
 *
 * An upstream may break off in the middle of an event.  Only whole events are passed on,
 * so that the stream can go on at another upstream after the last one, and none is
 * missing, torn or doubled.
 */
#ifndef DL_EVENT_STREAM_H
#define DL_EVENT_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/str.h"

#define DL_EVENT_MAX_BYTES (256u << 10)

typedef struct
{
  DlBuffer *pending; /* bytes of an event that has not ended */
  uint64_t last_id;  /* of the last whole event with an id; 0 before */
  uint64_t events;   /* whole ones so far */
} DlEventStream;

/* FIRST_AFTER is the id that the caller already has; 0 for none. */
DlEventStream *dl_event_stream_new (const void *context, uint64_t first_after);
/* Takes BYTES; appends to OUT the whole events that they complete.  Returns 0,
 * DL_ERR_TOO_LARGE for an event over the limit, or DL_ERR_MALFORMED for an id that does
 * not follow the last one, when nothing after it may be used. */
int dl_event_stream_feed (DlEventStream *stream, DlStr bytes, DlBuffer *out);
/* True when the stream may end here: nothing of an unfinished event is pending. */
bool dl_event_stream_is_between_events (const DlEventStream *stream);
/* Another upstream goes on after last_id: drops the unfinished event. */
void dl_event_stream_restart (DlEventStream *stream);

#endif
