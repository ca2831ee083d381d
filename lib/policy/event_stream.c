#include "policy/event_stream.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"

DlEventStream *
dl_event_stream_new (const void *context, uint64_t last_id)
{
  DlEventStream *stream = talloc_zero (context, DlEventStream);

  g_assert (stream != NULL);
  stream->pending = dl_buffer_new (stream, DL_EVENT_MAX_BYTES);
  stream->last_id = last_id;
  return stream;
}

/* Length of the first complete event, with the blank line that ends it; 0 when there is
 * none yet. */
static size_t
event_length (DlStr bytes)
{
  size_t line_start = 0;

  for (size_t i = 0; i < bytes.length; i++)
    {
      size_t length = i - line_start;

      if (bytes.data[i] != '\n')
        continue;
      if (length == 0 || (length == 1 && bytes.data[line_start] == '\r'))
        return i + 1;
      line_start = i + 1;
    }
  return 0;
}

/* Parses a line "id: NUMBER"; false when LINE is another one. */
static bool
parse_id_line (DlStr line, uint64_t *id)
{
  const DlStr key = DL_STR_LITERAL ("id:");

  if (!dl_str_has_prefix (line, key))
    return false;
  line = dl_str_bytes (line.data + key.length, line.length - key.length);
  while (line.length > 0 && line.data[0] == ' ')
    line = dl_str_bytes (line.data + 1, line.length - 1);
  while (line.length > 0 && g_ascii_isspace (line.data[line.length - 1]))
    line.length--;
  return dl_str_to_uint64 (line, id) == 0;
}

/* Finds the id of an event; false when it has none. */
static bool
find_event_id (DlStr event, uint64_t *id)
{
  size_t start = 0;

  for (size_t i = 0; i < event.length; i++)
    if (event.data[i] == '\n')
      {
        if (parse_id_line (dl_str_bytes (event.data + start, i - start), id))
          return true;
        start = i + 1;
      }
  return false;
}

int
dl_event_stream_feed (DlEventStream *stream, DlStr bytes, DlBuffer *out)
{
  size_t length;

  if (dl_buffer_append (stream->pending, bytes.data, bytes.length) < 0)
    return DL_ERR_TOO_LARGE;
  while ((length = event_length (dl_buffer_view (stream->pending))) > 0)
    {
      DlStr event = dl_str_bytes (dl_buffer_view (stream->pending).data, length);
      uint64_t id;

      if (find_event_id (event, &id))
        {
          if (id <= stream->last_id && stream->last_id > 0)
            return DL_ERR_MALFORMED;
          stream->last_id = id;
        }
      stream->events++;
      dl_buffer_append (out, event.data, event.length);
      dl_buffer_consume (stream->pending, length);
    }
  return 0;
}

bool
dl_event_stream_is_between_events (const DlEventStream *stream)
{
  return stream->pending->length == 0;
}

void
dl_event_stream_restart (DlEventStream *stream)
{
  dl_buffer_clear (stream->pending);
}
