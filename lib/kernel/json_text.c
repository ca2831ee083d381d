#include "kernel/json_text.h"

#include <glib.h>
#include <limits.h>
#include <string.h>
#include <talloc.h>

/* Where a scan of a text is. */
typedef struct
{
  unsigned depth; /* of objects and arrays */
  bool in_string;
  bool escaped; /* the byte before is a backslash in a string */
} Scan;

/* Goes on by one byte. */
static void
scan_byte (Scan *scan, char c)
{
  if (scan->in_string)
    {
      scan->in_string = scan->escaped || c != '"';
      scan->escaped = !scan->escaped && c == '\\';
      return;
    }
  if (c == '"')
    scan->in_string = true;
  else if (c == '{' || c == '[')
    scan->depth++;
  else if ((c == '}' || c == ']') && scan->depth > 0)
    scan->depth--;
}

static bool
is_acceptable (DlStr text)
{
  Scan scan = { 0 };

  if (text.length > 0 && memchr (text.data, '\0', text.length) != NULL)
    return false;
  for (size_t i = 0; i < text.length; i++)
    {
      scan_byte (&scan, text.data[i]);
      if (scan.depth > DL_JSON_DEPTH_MAX)
        return false;
    }
  return true;
}

/* Appends one byte of the text, unless it is in a value that is nested too deep. */
static void
append_byte (DlBuffer *out, Scan *scan, char c)
{
  unsigned before = scan->depth;

  scan_byte (scan, c);
  if (before <= DL_JSON_DEPTH_MAX && scan->depth > DL_JSON_DEPTH_MAX)
    dl_buffer_printf (out, "null");
  else if (before <= DL_JSON_DEPTH_MAX)
    dl_buffer_append (out, c != '\0' ? &c : " ", 1);
}

DlStr
dl_json_text_flatten (const void *context, DlStr text)
{
  Scan scan = { 0 };
  DlBuffer *out;

  if (is_acceptable (text))
    return text;
  out = dl_buffer_new (context, 0);
  for (size_t i = 0; i < text.length; i++)
    append_byte (out, &scan, text.data[i]);
  return dl_buffer_view (out);
}

json_object *
dl_json_text_parse_object (DlStr text)
{
  void *scratch = talloc_new (NULL);
  DlStr flat = dl_json_text_flatten (scratch, text);
  struct json_tokener *tokener;
  json_object *object = NULL;

  if (flat.length > 0 && flat.length <= INT_MAX)
    {
      tokener = json_tokener_new ();
      object = json_tokener_parse_ex (tokener, flat.data, (int)flat.length);
      json_tokener_free (tokener);
    }
  talloc_free (scratch);
  if (json_object_is_type (object, json_type_object))
    return object;
  json_object_put (object);
  return NULL;
}
