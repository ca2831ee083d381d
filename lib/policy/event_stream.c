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

static bool
is_blank (DlStr line)
{
  return line.length == 0 || (line.length == 1 && line.data[0] == '\r');
}

/* Reads pending bytes up to the end of the next block of lines.  Returns the length up to
 * there, or 0 when there is no whole block yet. */
static size_t
read_block (DlEventStream *stream)
{
  DlStr pending = dl_buffer_view (stream->pending);
  const char *newline;

  while ((newline
          = memchr (pending.data + stream->line, '\n', pending.length - stream->line))
         != NULL)
    {
      size_t end = (size_t)(newline - pending.data);
      DlStr line = dl_str_bytes (pending.data + stream->line, end - stream->line);

      stream->line = end + 1;
      if (is_blank (line))
        return end + 1;
    }
  return 0;
}

/* Passes on the pending bytes up to END, which complete an event with ID. */
static int
pass_on_event (DlEventStream *stream, size_t end, uint64_t id, DlBuffer *out)
{
  if (id <= stream->last_id && stream->last_id > 0)
    return DL_ERR_MALFORMED;
  stream->last_id = id;
  stream->events++;
  dl_buffer_append (out, dl_buffer_view (stream->pending).data, end);
  dl_buffer_consume (stream->pending, end);
  stream->line = 0;
  stream->block = 0;
  return 0;
}

/* Takes BYTES, which fit into the pending ones. */
static int
feed_part (DlEventStream *stream, DlStr bytes, DlBuffer *out)
{
  size_t end;
  int error = dl_buffer_append (stream->pending, bytes.data, bytes.length);

  while (error == 0 && (end = read_block (stream)) > 0)
    {
      DlStr block = dl_str_bytes (dl_buffer_view (stream->pending).data + stream->block,
                                  end - stream->block);
      uint64_t id;

      stream->block = end;
      if (find_event_id (block, &id))
        error = pass_on_event (stream, end, id, out);
    }
  return error;
}

int
dl_event_stream_feed (DlEventStream *stream, DlStr bytes, DlBuffer *out)
{
  int error = 0;

  while (bytes.length > 0 && error == 0)
    {
      size_t space = DL_EVENT_MAX_BYTES - stream->pending->length;
      size_t length = MIN (space, bytes.length);

      if (length == 0)
        return DL_ERR_TOO_LARGE;
      error = feed_part (stream, dl_str_bytes (bytes.data, length), out);
      bytes = dl_str_bytes (bytes.data + length, bytes.length - length);
    }
  return error;
}

int
dl_event_stream_finish (DlEventStream *stream, DlBuffer *out)
{
  DlStr pending = dl_buffer_view (stream->pending);

  if (stream->block < pending.length)
    return DL_ERR_CLOSED;
  dl_buffer_append (out, pending.data, pending.length);
  dl_event_stream_restart (stream);
  return 0;
}

void
dl_event_stream_restart (DlEventStream *stream)
{
  dl_buffer_clear (stream->pending);
  stream->line = 0;
  stream->block = 0;
}
