#include "kernel/http_head.h"

#include <glib.h>
#include <string.h>

#define STATUS_DIGITS       3
#define STATUS_MIN          100
#define STATUS_SWITCHING    101
#define STATUS_FINAL_MIN    200
#define STATUS_NO_CONTENT   204
#define STATUS_NOT_MODIFIED 304
#define STATUS_MAX          599
#define ASCII_DELETE        0x7f /* the last byte of ASCII, a control byte */
#define LENGTH_MAX_BYTES    ((uint64_t)INT64_MAX) /* what libcurl counts */
/* In names of fields, beside letters and digits (RFC 9110, section 5.6.2). */
#define TOKEN_MARKS "!#$%&'*+-.^_`|~"

const char *
dl_http_fault_text (DlHttpFault fault)
{
  switch (fault)
    {
    case DL_HTTP_FAULT_NONE:
      return NULL;
    case DL_HTTP_FAULT_STATUS_LINE:
      return "a status line that is none";
    case DL_HTTP_FAULT_STATUS:
      return "a status that is none";
    case DL_HTTP_FAULT_FIELD_LINE:
      return "a line of the head that is no field";
    case DL_HTTP_FAULT_FIELD_NAME:
      return "a field with a malformed name";
    case DL_HTTP_FAULT_FIELD_VALUE:
      return "a field with a control byte in its value";
    case DL_HTTP_FAULT_LENGTH:
      return "a malformed length, or several";
    case DL_HTTP_FAULT_CODING:
      return "an unknown transfer coding";
    case DL_HTTP_FAULT_LENGTH_AND_CODING:
      return "both a length and a transfer coding";
    case DL_HTTP_FAULT_CHUNK:
      return "malformed chunks";
    case DL_HTTP_FAULT_SURPLUS:
      return "bytes after its end";
    }
  g_assert_not_reached ();
}

/* -------- bytes -------- */

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

bool
dl_http_is_name_byte (char c)
{
  return g_ascii_isalnum (c) || (c != '\0' && strchr (TOKEN_MARKS, c) != NULL);
}

bool
dl_http_is_value_byte (char c)
{
  return is_blank (c) || g_ascii_isgraph (c) || (unsigned char)c > ASCII_DELETE;
}

static bool
is_all (DlStr text, bool (*accepts) (char c))
{
  for (size_t i = 0; i < text.length; i++)
    if (!accepts (text.data[i]))
      return false;
  return true;
}

static DlStr
skip (DlStr text, size_t count)
{
  return dl_str_bytes (text.data + count, text.length - count);
}

static DlStr
without_blanks (DlStr text)
{
  while (text.length > 0 && is_blank (text.data[0]))
    text = skip (text, 1);
  while (text.length > 0 && is_blank (text.data[text.length - 1]))
    text.length--;
  return text;
}

static DlStr
without_line_end (DlStr line)
{
  if (line.length > 0 && line.data[line.length - 1] == '\n')
    line.length--;
  if (line.length > 0 && line.data[line.length - 1] == '\r')
    line.length--;
  return line;
}

static bool
equals_ignoring_case (DlStr text, DlStr expected)
{
  return text.length == expected.length
         && g_ascii_strncasecmp (text.data, expected.data, text.length) == 0;
}

/* Splits TEXT, of which the rest stays, at the first SEPARATOR; false without one. */
static bool
split (DlStr *text, char separator, DlStr *first)
{
  const char *at = text->length > 0 ? memchr (text->data, separator, text->length) : NULL;

  if (at == NULL)
    return false;
  *first = dl_str_bytes (text->data, (size_t)(at - text->data));
  *text = skip (*text, first->length + 1);
  return true;
}

/* -------- status lines -------- */

static bool
is_digit (char c)
{
  return g_ascii_isdigit (c);
}

static DlHttpFault
read_status (DlHttpHead *head, DlStr digits)
{
  uint64_t status;

  if (digits.length != STATUS_DIGITS || dl_str_to_uint64 (digits, &status) < 0)
    return DL_HTTP_FAULT_STATUS;
  if (status < STATUS_MIN || status > STATUS_MAX || status == STATUS_SWITCHING)
    return DL_HTTP_FAULT_STATUS;
  head->status = (unsigned)status;
  return DL_HTTP_FAULT_NONE;
}

/* Reads "HTTP/1.", a digit, a space and a status; then, if anything, a space and a
 * reason.
 */
static DlHttpFault
add_status_line (DlHttpHead *head, DlStr line)
{
  static const DlStr prefix = DL_STR_LITERAL ("HTTP/1.");
  DlStr version;
  DlStr status;

  *head = (DlHttpHead){ .stage = DL_HTTP_STAGE_FIELDS };
  if (!dl_str_has_prefix (line, prefix) || !is_all (line, dl_http_is_value_byte))
    return DL_HTTP_FAULT_STATUS_LINE;
  line = skip (line, prefix.length);
  if (!split (&line, ' ', &version) || version.length != 1 || !is_all (version, is_digit))
    return DL_HTTP_FAULT_STATUS_LINE;
  head->is_http_1_0 = version.data[0] == '0';
  if (!split (&line, ' ', &status))
    status = line;
  return read_status (head, status);
}

/* -------- fields -------- */

/* Values that repeat each other are one, in one line or several. */
static DlHttpFault
add_length (DlHttpHead *head, DlStr value)
{
  DlStr part;
  bool is_last;

  do
    {
      uint64_t length;

      is_last = !split (&value, ',', &part);
      if (is_last)
        part = value;
      if (dl_str_to_uint64 (without_blanks (part), &length) < 0
          || length > LENGTH_MAX_BYTES || (head->has_length && head->length != length))
        return DL_HTTP_FAULT_LENGTH;
      head->has_length = true;
      head->length = length;
    }
  while (!is_last);
  return DL_HTTP_FAULT_NONE;
}

/* No request asks for another coding. */
static DlHttpFault
add_coding (DlHttpHead *head, DlStr value)
{
  if (head->is_chunked || !equals_ignoring_case (value, DL_STR_LITERAL ("chunked")))
    return DL_HTTP_FAULT_CODING;
  head->is_chunked = true;
  return DL_HTTP_FAULT_NONE;
}

static DlHttpFault
add_framing_field (DlHttpHead *head, DlStr name, DlStr value)
{
  if (equals_ignoring_case (name, DL_STR_LITERAL ("Content-Length")))
    return add_length (head, value);
  if (equals_ignoring_case (name, DL_STR_LITERAL ("Transfer-Encoding")))
    return add_coding (head, value);
  return DL_HTTP_FAULT_NONE;
}

static DlHttpFault
add_field (DlHttpHead *head, DlStr line)
{
  DlStr name;

  if (is_blank (line.data[0]) || !split (&line, ':', &name))
    return DL_HTTP_FAULT_FIELD_LINE;
  if (name.length == 0 || !is_all (name, dl_http_is_name_byte))
    return DL_HTTP_FAULT_FIELD_NAME;
  if (!is_all (line, dl_http_is_value_byte))
    return DL_HTTP_FAULT_FIELD_VALUE;
  return add_framing_field (head, name, without_blanks (line));
}

/* A coding in HTTP/1.0 is a fault of the framing (RFC 9112, section 6.1). */
static DlHttpFault
end_fields (DlHttpHead *head)
{
  if (head->is_chunked && head->has_length)
    return DL_HTTP_FAULT_LENGTH_AND_CODING;
  if (head->is_chunked && head->is_http_1_0)
    return DL_HTTP_FAULT_CODING;
  head->stage = head->status < STATUS_FINAL_MIN ? DL_HTTP_STAGE_STATUS_LINE
                                                : DL_HTTP_STAGE_COMPLETE;
  return DL_HTTP_FAULT_NONE;
}

DlHttpFault
dl_http_head_add_line (DlHttpHead *head, DlStr line)
{
  line = without_line_end (line);
  switch (head->stage)
    {
    case DL_HTTP_STAGE_STATUS_LINE:
      return add_status_line (head, line);
    case DL_HTTP_STAGE_FIELDS:
      return line.length == 0 ? end_fields (head) : add_field (head, line);
    case DL_HTTP_STAGE_COMPLETE:
      break;
    }
  g_assert_not_reached ();
}

bool
dl_http_head_is_complete (const DlHttpHead *head)
{
  return head->stage == DL_HTTP_STAGE_COMPLETE;
}

DlHttpBody
dl_http_head_body (const DlHttpHead *head)
{
  if (head->status == STATUS_NO_CONTENT || head->status == STATUS_NOT_MODIFIED)
    return (DlHttpBody){ .kind = DL_HTTP_BODY_LENGTH };
  if (head->is_chunked)
    return (DlHttpBody){ .kind = DL_HTTP_BODY_CHUNKED };
  if (head->has_length)
    return (DlHttpBody){ .kind = DL_HTTP_BODY_LENGTH, .length = head->length };
  return (DlHttpBody){ .kind = DL_HTTP_BODY_UNTIL_CLOSE };
}
