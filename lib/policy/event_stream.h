/*
 * Splits a stream of server-sent events into complete events.
 *
 * An upstream may disconnect in the middle of an event.  Only complete events are passed
 * on, so that another upstream can continue after the last one and no event is missing,
 * truncated or duplicated.
 *
 * Events have ids.  Whatever else an upstream sends, comments, blank lines or blocks of
 * fields without an id, is passed on with the event that follows it or at the proper end
 * of the stream, so that it cannot pass for progress.
 */
#ifndef DL_EVENT_STREAM_H
#define DL_EVENT_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/str.h"

/* Longest event, with what was sent before it and has no id. */
#define DL_EVENT_MAX_BYTES (64u << 10)

/* A stream being split. */
typedef struct
{
  DlBuffer *pending; /* bytes after the last complete event */
  size_t line;       /* where the last, incomplete line of PENDING starts */
  size_t block;      /* where its last, incomplete block of lines starts */
  uint64_t last_id;  /* of the last complete event; 0: none */
  uint64_t events;   /* complete ones so far */
} DlEventStream;

/* Returns a talloc child of CONTEXT.  LAST_ID is that of the last event that the caller
 * already has; 0: none. */
DlEventStream *dl_event_stream_new (const void *context, uint64_t last_id);
/* Takes BYTES of the stream and appends the events that they complete to OUT.  Returns 0,
 * DL_ERR_TOO_LARGE for an event over the limit, or DL_ERR_MALFORMED for an id that is not
 * above the last one; after that the rest of the stream must not be used. */
int dl_event_stream_feed (DlEventStream *stream, DlStr bytes, DlBuffer *out);
/* The stream has ended properly: appends to OUT what was sent after the last event.
 * Returns 0, or DL_ERR_CLOSED when it ended in the middle of a block of lines. */
int dl_event_stream_finish (DlEventStream *stream, DlBuffer *out);
/* Drops what was sent after the last complete event, as another upstream continues after
 * last_id. */
void dl_event_stream_restart (DlEventStream *stream);

#endif
