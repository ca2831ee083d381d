#include "kernel/http_framing.h"

#include <glib.h>

#define HEX_BASE 16
/* More digits overflow the count. */
#define SIZE_DIGITS_MAX 15

DlHttpFraming
dl_http_framing_begin (DlHttpBody body)
{
  return (DlHttpFraming){
    .kind = body.kind,
    .remaining_bytes = body.length,
    .is_complete = body.kind == DL_HTTP_BODY_LENGTH && body.length == 0,
  };
}

DlHttpFault
dl_http_framing_judge_rest (DlStr bytes)
{
  static const DlStr status_line = DL_STR_LITERAL ("HTTP/");
  size_t length = MIN (bytes.length, status_line.length);

  return dl_str_equal (dl_str_bytes (bytes.data, length),
                       dl_str_bytes (status_line.data, length))
             ? DL_HTTP_FAULT_NONE
             : DL_HTTP_FAULT_SURPLUS;
}

/* -------- chunks -------- */

static DlHttpFault
expect (DlHttpFraming *framing, char c, char expected, DlHttpChunkStage next)
{
  framing->stage = next;
  return c == expected ? DL_HTTP_FAULT_NONE : DL_HTTP_FAULT_CHUNK;
}

/* Takes what may follow the size of a chunk: blanks, an extension, the end of the line.
 */
static DlHttpFault
end_size (DlHttpFraming *framing, char c)
{
  switch (c)
    {
    case ' ':
    case '\t':
      framing->stage = DL_HTTP_CHUNK_BLANK;
      return DL_HTTP_FAULT_NONE;
    case ';':
      framing->stage = DL_HTTP_CHUNK_EXTENSION;
      return DL_HTTP_FAULT_NONE;
    default:
      return expect (framing, c, '\r', DL_HTTP_CHUNK_SIZE_LF);
    }
}

static DlHttpFault
feed_size (DlHttpFraming *framing, char c)
{
  if (!g_ascii_isxdigit (c))
    return framing->size_digits > 0 ? end_size (framing, c) : DL_HTTP_FAULT_CHUNK;
  if (++framing->size_digits > SIZE_DIGITS_MAX)
    return DL_HTTP_FAULT_CHUNK;
  framing->remaining_bytes
      = framing->remaining_bytes * HEX_BASE + (uint64_t)g_ascii_xdigit_value (c);
  return DL_HTTP_FAULT_NONE;
}

static DlHttpFault
feed_extension (DlHttpFraming *framing, char c)
{
  if (c == '\r')
    framing->stage = DL_HTTP_CHUNK_SIZE_LF;
  return c == '\n' ? DL_HTTP_FAULT_CHUNK : DL_HTTP_FAULT_NONE;
}

static DlHttpFault
begin_trailer (DlHttpFraming *framing, char c)
{
  framing->stage = c == '\r' ? DL_HTTP_CHUNK_LAST_LF : DL_HTTP_CHUNK_TRAILER_NAME;
  return c == '\r' || dl_http_is_name_byte (c) ? DL_HTTP_FAULT_NONE
                                               : DL_HTTP_FAULT_FIELD_NAME;
}

static DlHttpFault
feed_trailer_name (DlHttpFraming *framing, char c)
{
  if (c == ':')
    framing->stage = DL_HTTP_CHUNK_TRAILER_VALUE;
  return c == ':' || dl_http_is_name_byte (c) ? DL_HTTP_FAULT_NONE
                                              : DL_HTTP_FAULT_FIELD_NAME;
}

static DlHttpFault
feed_trailer_value (DlHttpFraming *framing, char c)
{
  if (c == '\r')
    framing->stage = DL_HTTP_CHUNK_TRAILER_LF;
  return c == '\r' || dl_http_is_value_byte (c) ? DL_HTTP_FAULT_NONE
                                                : DL_HTTP_FAULT_FIELD_VALUE;
}

static DlHttpFault
feed_byte (DlHttpFraming *framing, char c)
{
  switch (framing->stage)
    {
    case DL_HTTP_CHUNK_SIZE:
      return feed_size (framing, c);
    case DL_HTTP_CHUNK_BLANK:
      /* A blank between the size and the end of its line is none of the grammar. */
      return c == '\r' ? DL_HTTP_FAULT_CHUNK : end_size (framing, c);
    case DL_HTTP_CHUNK_EXTENSION:
      return feed_extension (framing, c);
    case DL_HTTP_CHUNK_SIZE_LF:
      return expect (framing, c, '\n',
                     framing->remaining_bytes > 0 ? DL_HTTP_CHUNK_DATA
                                                  : DL_HTTP_CHUNK_TRAILER_START);
    case DL_HTTP_CHUNK_DATA_CR:
      return expect (framing, c, '\r', DL_HTTP_CHUNK_DATA_LF);
    case DL_HTTP_CHUNK_DATA_LF:
      framing->size_digits = 0;
      return expect (framing, c, '\n', DL_HTTP_CHUNK_SIZE);
    case DL_HTTP_CHUNK_TRAILER_START:
      return begin_trailer (framing, c);
    case DL_HTTP_CHUNK_TRAILER_NAME:
      return feed_trailer_name (framing, c);
    case DL_HTTP_CHUNK_TRAILER_VALUE:
      return feed_trailer_value (framing, c);
    case DL_HTTP_CHUNK_TRAILER_LF:
      return expect (framing, c, '\n', DL_HTTP_CHUNK_TRAILER_START);
    case DL_HTTP_CHUNK_LAST_LF:
      framing->is_complete = true;
      return c == '\n' ? DL_HTTP_FAULT_NONE : DL_HTTP_FAULT_CHUNK;
    case DL_HTTP_CHUNK_DATA:
      break;
    }
  g_assert_not_reached ();
}

/* -------- bodies -------- */

/* Takes the bytes of a chunk, or of a body with a length, that are in BYTES; returns how
 * many. */
static size_t
feed_data (DlHttpFraming *framing, DlStr bytes)
{
  size_t length = (size_t)MIN (framing->remaining_bytes, bytes.length);

  framing->remaining_bytes -= length;
  if (framing->remaining_bytes > 0)
    return length;
  if (framing->kind == DL_HTTP_BODY_LENGTH)
    framing->is_complete = true;
  else
    framing->stage = DL_HTTP_CHUNK_DATA_CR;
  return length;
}

DlHttpFault
dl_http_framing_feed (DlHttpFraming *framing, DlStr bytes, DlStr *rest)
{
  DlHttpFault fault = DL_HTTP_FAULT_NONE;
  size_t at = 0;

  *rest = dl_str_bytes (bytes.data + bytes.length, 0);
  if (framing->kind == DL_HTTP_BODY_UNTIL_CLOSE)
    return DL_HTTP_FAULT_NONE;
  while (at < bytes.length && !framing->is_complete && fault == DL_HTTP_FAULT_NONE)
    {
      if (framing->kind == DL_HTTP_BODY_LENGTH || framing->stage == DL_HTTP_CHUNK_DATA)
        at += feed_data (framing, dl_str_bytes (bytes.data + at, bytes.length - at));
      else
        fault = feed_byte (framing, bytes.data[at++]);
    }
  *rest = dl_str_bytes (bytes.data + at, bytes.length - at);
  return fault;
}
