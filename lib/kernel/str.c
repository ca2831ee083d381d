#include "kernel/str.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <glib.h>
#include <talloc.h>

#include "kernel/error.h"

#define BUFFER_INITIAL_BYTES 256

DlStr
dl_str (const char *text)
{
  return dl_str_bytes (text, text != NULL ? strlen (text) : 0);
}

DlStr
dl_str_bytes (const void *data, size_t length)
{
  return (DlStr){ .data = data, .length = length };
}

bool
dl_str_equal (DlStr a, DlStr b)
{
  return a.length == b.length
         && (a.length == 0 || memcmp (a.data, b.data, a.length) == 0);
}

int
dl_str_compare (DlStr a, DlStr b)
{
  size_t n = MIN (a.length, b.length);
  int order = n > 0 ? memcmp (a.data, b.data, n) : 0;

  if (order != 0)
    return order;
  return (a.length > b.length) - (a.length < b.length);
}

bool
dl_str_has_prefix (DlStr text, DlStr prefix)
{
  return text.length >= prefix.length
         && dl_str_equal (dl_str_bytes (text.data, prefix.length), prefix);
}

char *
dl_str_dup (const void *context, DlStr text)
{
  char *copy = talloc_size (context, text.length + 1);

  g_assert (copy != NULL);
  if (text.length > 0)
    memcpy (copy, text.data, text.length);
  copy[text.length] = '\0';
  talloc_set_name_const (copy, "char");
  return copy;
}

void
dl_text_make_printable (char *text)
{
  for (char *c = text; *c != '\0'; c++)
    if (g_ascii_iscntrl (*c))
      *c = '?';
}

int
dl_str_to_uint64 (DlStr text, uint64_t *value)
{
  uint64_t result = 0;

  if (text.length == 0)
    return -EINVAL;
  for (size_t i = 0; i < text.length; i++)
    {
      char c = text.data[i];

      if (c < '0' || c > '9')
        return -EINVAL;
      if (__builtin_mul_overflow (result, 10, &result)
          || __builtin_add_overflow (result, (uint64_t)(c - '0'), &result))
        return -ERANGE;
    }
  *value = result;
  return 0;
}

DlBuffer *
dl_buffer_new (const void *context, size_t limit)
{
  DlBuffer *buffer = talloc_zero (context, DlBuffer);

  g_assert (buffer != NULL);
  buffer->limit = limit;
  return buffer;
}

size_t
dl_buffer_capacity_for (const DlBuffer *buffer, size_t length)
{
  size_t capacity = MAX (buffer->capacity, BUFFER_INITIAL_BYTES);
  size_t need;

  g_assert (!__builtin_add_overflow (buffer->length, length, &need));
  if (need <= buffer->capacity)
    return buffer->capacity;
  while (capacity < need)
    g_assert (!__builtin_mul_overflow (capacity, 2, &capacity));
  return capacity;
}

/* Makes room for EXTRA bytes after the contents: first by moving the contents to the
 * start of the memory, then by enlarging it. */
static void
buffer_reserve (DlBuffer *buffer, size_t extra)
{
  size_t capacity = dl_buffer_capacity_for (buffer, extra);

  if (buffer->start > 0 && buffer->start + buffer->length + extra > buffer->capacity)
    {
      memmove (buffer->data, buffer->data + buffer->start, buffer->length);
      buffer->start = 0;
    }
  if (capacity == buffer->capacity)
    return;
  buffer->data = talloc_realloc (buffer, buffer->data, uint8_t, capacity);
  g_assert (buffer->data != NULL);
  buffer->capacity = capacity;
}

int
dl_buffer_append (DlBuffer *buffer, const void *data, size_t length)
{
  if (length == 0)
    return 0;
  if (buffer->limit > 0 && length > buffer->limit - MIN (buffer->limit, buffer->length))
    return DL_ERR_TOO_LARGE;
  buffer_reserve (buffer, length);
  memcpy (buffer->data + buffer->start + buffer->length, data, length);
  buffer->length += length;
  return 0;
}

int
dl_buffer_printf (DlBuffer *buffer, const char *format, ...)
{
  va_list args;
  char *text;
  int error;

  va_start (args, format);
  text = talloc_vasprintf (buffer, format, args);
  va_end (args);
  g_assert (text != NULL);
  error = dl_buffer_append (buffer, text, strlen (text));
  talloc_free (text);
  return error;
}

void
dl_buffer_consume (DlBuffer *buffer, size_t length)
{
  g_assert (length <= buffer->length);
  buffer->start += length;
  buffer->length -= length;
  if (buffer->length == 0)
    buffer->start = 0;
}

void
dl_buffer_clear (DlBuffer *buffer)
{
  buffer->start = 0;
  buffer->length = 0;
}

void
dl_buffer_reset (DlBuffer *buffer)
{
  dl_buffer_clear (buffer);
  talloc_free (buffer->data);
  buffer->data = NULL;
  buffer->capacity = 0;
}

DlStr
dl_buffer_view (const DlBuffer *buffer)
{
  return dl_str_bytes (buffer->data != NULL ? buffer->data + buffer->start : NULL,
                       buffer->length);
}
