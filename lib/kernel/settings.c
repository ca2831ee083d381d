#include "kernel/settings.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/address.h"
#include "kernel/error.h"

#define DEPTH_MAX          32
#define SETTINGS_MAX_BYTES (8u << 20)

/* What is being read, and where errors go. */
typedef struct
{
  const void *context;
  const char *source;
  char **error;
} Reader;

static int reader_fail (const Reader *reader, const char *key, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

static int
reader_fail (const Reader *reader, const char *key, const char *format, ...)
{
  va_list args;
  char *reason;

  va_start (args, format);
  reason = talloc_vasprintf (reader->context, format, args);
  va_end (args);
  if (reader->error != NULL)
    {
      *reader->error
          = talloc_asprintf (reader->context, "%s: %s%s%s", reader->source,
                             key != NULL ? key : "", key != NULL ? ": " : "", reason);
      dl_text_make_printable (*reader->error);
    }
  talloc_free (reason);
  return -EINVAL;
}

/* -------- parsing JSON -------- */

/* json-c silently keeps the last of several equal keys, so the text is searched for them,
 * with GLib's scanner as the lexer.  Returns a copy of the first duplicate, with its
 * *LINE, or NULL. */
static char *
find_duplicate_key (DlStr text, size_t *line)
{
  static const GScannerConfig config = {
    .cset_skip_characters = " \t\r\n",
    .cset_identifier_first = G_CSET_a_2_z G_CSET_A_2_Z,
    .cset_identifier_nth = G_CSET_a_2_z G_CSET_A_2_Z,
    .cpair_comment_single = "#\n",
    .case_sensitive = TRUE,
    .skip_comment_multi = TRUE,
    .skip_comment_single = TRUE,
    .scan_comment_multi = TRUE,
    .scan_identifier = TRUE,
    .scan_identifier_1char = TRUE,
    .scan_float = TRUE,
    .scan_string_dq = TRUE,
    .int_2_float = TRUE,
    .char_2_token = TRUE,
  };
  GScanner *scanner = g_scanner_new (&config);
  GHashTable *keys[DEPTH_MAX + 1] = { NULL };
  int depth = 0;
  char *last_string = NULL;
  char *duplicate = NULL;
  GTokenType token;

  scanner->msg_handler = NULL;
  g_scanner_input_text (scanner, text.data, (guint)text.length);
  while (duplicate == NULL && (token = g_scanner_get_next_token (scanner)) != G_TOKEN_EOF
         && token != G_TOKEN_ERROR)
    {
      if (token == '{' && depth < DEPTH_MAX)
        keys[++depth] = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      else if (token == '}' && depth > 0)
        g_hash_table_destroy (keys[depth--]);
      else if (token == ':' && last_string != NULL && depth > 0)
        {
          if (g_hash_table_contains (keys[depth], last_string))
            {
              duplicate = g_strdup (last_string);
              *line = scanner->line;
            }
          else
            g_hash_table_add (keys[depth], g_strdup (last_string));
        }
      g_clear_pointer (&last_string, g_free);
      if (token == G_TOKEN_STRING)
        last_string = g_strdup (scanner->value.v_string);
    }
  g_free (last_string);
  while (depth > 0)
    g_hash_table_destroy (keys[depth--]);
  g_scanner_destroy (scanner);
  return duplicate;
}

/* Returns a copy of TEXT in which "//" comments, which the scanner does not support, are
 * replaced by spaces. */
static char *
erase_line_comments (DlStr text)
{
  char *copy = g_strndup (text.data, text.length);
  bool in_string = false;

  for (size_t i = 0; i < text.length; i++)
    {
      if (in_string && copy[i] == '\\')
        i++;
      else if (copy[i] == '"')
        in_string = !in_string;
      else if (!in_string && copy[i] == '/' && i + 1 < text.length && copy[i + 1] == '*')
        {
          const char *end = strstr (copy + i + 2, "*/");

          i = end != NULL ? (size_t)(end - copy) + 1 : text.length;
        }
      else if (!in_string && copy[i] == '/' && i + 1 < text.length && copy[i + 1] == '/')
        while (i < text.length && copy[i] != '\n')
          copy[i++] = ' ';
    }
  return copy;
}

static DlJsonPlace
place_at (DlStr text, size_t offset)
{
  DlJsonPlace place = { .line = 1, .column = 1 };

  for (size_t i = 0; i < offset && i < text.length; i++)
    if (text.data[i] == '\n')
      place = (DlJsonPlace){ .line = place.line + 1, .column = 1 };
    else
      place.column++;
  return place;
}

int
dl_json_parse (const void *context,
               const char *source,
               DlStr text,
               json_object **object,
               char **error)
{
  DlJsonPlace place;

  return dl_json_parse_with_place (context, source, text, object, &place, error);
}

int
dl_json_parse_with_place (const void *context,
                          const char *source,
                          DlStr text,
                          json_object **object,
                          DlJsonPlace *place,
                          char **error)
{
  Reader reader = { .context = context, .source = source, .error = error };
  json_tokener *tokener;
  enum json_tokener_error parse_error;
  char *text_copy;
  char *duplicate;
  size_t end;

  *object = NULL;
  *place = (DlJsonPlace){ 0 };
  if (text.length > SETTINGS_MAX_BYTES)
    return reader_fail (&reader, NULL, "longer than %u bytes", SETTINGS_MAX_BYTES);
  if (text.length == 0 || memchr (text.data, '\0', text.length) != NULL)
    return reader_fail (&reader, NULL, "not JSON: empty or with a NUL byte");
  text_copy = erase_line_comments (text);
  tokener = json_tokener_new_ex (DEPTH_MAX);
  /* The parser needs the terminating NUL to recognise the end of the text. */
  *object = json_tokener_parse_ex (tokener, text_copy, (int)text.length + 1);
  parse_error = json_tokener_get_error (tokener);
  end = json_tokener_get_parse_end (tokener);
  if (parse_error == json_tokener_success)
    for (; end < text.length; end++)
      if (!g_ascii_isspace (text_copy[end]))
        {
          parse_error = json_tokener_error_parse_unexpected;
          break;
        }
  json_tokener_free (tokener);
  if (parse_error != json_tokener_success)
    {
      json_object_put (*object);
      *object = NULL;
      *place = place_at (text, end);
      g_free (text_copy);
      return reader_fail (&reader, NULL, "not JSON: %s",
                          json_tokener_error_desc (parse_error));
    }
  duplicate = find_duplicate_key (dl_str (text_copy), &place->line);
  g_free (text_copy);
  if (duplicate != NULL)
    {
      reader_fail (&reader, duplicate, "the key stands twice");
      g_free (duplicate);
      json_object_put (*object);
      *object = NULL;
      return -EINVAL;
    }
  return 0;
}

/* -------- values -------- */

static int read_object (const Reader *reader,
                        json_object *object,
                        const DlSettingSpec *specs,
                        void *result);

static int
read_string (const Reader *reader,
             const DlSettingSpec *spec,
             json_object *value,
             const char **result)
{
  struct sockaddr_in address;
  const char *text;

  if (!json_object_is_type (value, json_type_string))
    return reader_fail (reader, spec->key, "must be a string");
  text = json_object_get_string (value);
  if (*text == '\0' && spec->required)
    return reader_fail (reader, spec->key, "must not be empty");
  if (spec->type == DL_SETTING_ADDRESS && dl_address_parse (dl_str (text), &address) < 0)
    return reader_fail (reader, spec->key, "must be an address IP:PORT, not \"%s\"",
                        text);
  *result = talloc_strdup (reader->context, text);
  return 0;
}

static int
read_uint (const Reader *reader,
           const DlSettingSpec *spec,
           json_object *value,
           uint64_t *result)
{
  uint64_t maximum = spec->maximum > 0 ? spec->maximum : INT64_MAX;

  if (!json_object_is_type (value, json_type_int))
    return reader_fail (reader, spec->key, "must be a whole number");
  if (json_object_get_int64 (value) < 0 || json_object_get_uint64 (value) < spec->minimum
      || json_object_get_uint64 (value) > maximum)
    return reader_fail (reader, spec->key, "must be from %" PRIu64 " to %" PRIu64,
                        spec->minimum, maximum);
  *result = json_object_get_uint64 (value);
  return 0;
}

static int
read_choice (const Reader *reader,
             const DlSettingSpec *spec,
             json_object *value,
             int *result)
{
  char *allowed;
  const char *text = json_object_is_type (value, json_type_string)
                         ? json_object_get_string (value)
                         : "";

  for (int i = 0; spec->choices[i] != NULL; i++)
    if (strcmp (spec->choices[i], text) == 0)
      {
        *result = i;
        return 0;
      }
  allowed = g_strjoinv (", ", (char **)spec->choices);
  reader_fail (reader, spec->key, "must be one of: %s", allowed);
  g_free (allowed);
  return -EINVAL;
}

static int
read_list (const Reader *reader,
           const DlSettingSpec *spec,
           json_object *value,
           DlSettingList *list)
{
  bool objects = spec->type == DL_SETTING_OBJECTS;
  size_t element = objects ? spec->element_bytes : sizeof (char *);
  size_t count;

  if (!json_object_is_type (value, json_type_array))
    return reader_fail (reader, spec->key, "must be a list");
  count = json_object_array_length (value);
  if (count < spec->minimum || (spec->maximum > 0 && count > spec->maximum))
    return reader_fail (reader, spec->key,
                        "must have from %" PRIu64 " to %" PRIu64 " elements",
                        spec->minimum, spec->maximum);
  list->items = talloc_zero_size (reader->context, MAX (count, 1) * element);
  list->count = count;
  for (size_t i = 0; i < count; i++)
    {
      json_object *item = json_object_array_get_idx (value, i);
      void *at = (char *)list->items + i * element;
      int error;

      if (objects)
        error = json_object_is_type (item, json_type_object)
                    ? read_object (reader, item, spec->fields, at)
                    : reader_fail (reader, spec->key, "must be a list of objects");
      else
        error = read_string (reader, spec, item, at);
      if (error < 0)
        return error;
    }
  return 0;
}

static int
read_value (const Reader *reader, const DlSettingSpec *spec, json_object *value, void *at)
{
  switch (spec->type)
    {
    case DL_SETTING_STRING:
    case DL_SETTING_ADDRESS:
      return read_string (reader, spec, value, at);
    case DL_SETTING_UINT:
      return read_uint (reader, spec, value, at);
    case DL_SETTING_NUMBER:
      if ((!json_object_is_type (value, json_type_double)
           && !json_object_is_type (value, json_type_int))
          || !(json_object_get_double (value) >= 0))
        return reader_fail (reader, spec->key, "must be a number of 0 or more");
      *(double *)at = json_object_get_double (value);
      return 0;
    case DL_SETTING_BOOL:
      if (!json_object_is_type (value, json_type_boolean))
        return reader_fail (reader, spec->key, "must be true or false");
      *(bool *)at = json_object_get_boolean (value);
      return 0;
    case DL_SETTING_CHOICE:
      return read_choice (reader, spec, value, at);
    case DL_SETTING_STRINGS:
    case DL_SETTING_OBJECTS:
      return read_list (reader, spec, value, at);
    }
  return -EINVAL;
}

static void
set_fallback (const Reader *reader, const DlSettingSpec *spec, void *at)
{
  switch (spec->type)
    {
    case DL_SETTING_STRING:
    case DL_SETTING_ADDRESS:
      *(const char **)at = spec->fallback_text != NULL
                               ? talloc_strdup (reader->context, spec->fallback_text)
                               : NULL;
      break;
    case DL_SETTING_UINT:
      *(uint64_t *)at = spec->fallback;
      break;
    case DL_SETTING_NUMBER:
      *(double *)at = (double)spec->fallback;
      break;
    case DL_SETTING_BOOL:
      *(bool *)at = spec->fallback != 0;
      break;
    case DL_SETTING_CHOICE:
      *(int *)at = (int)spec->fallback;
      break;
    case DL_SETTING_STRINGS:
    case DL_SETTING_OBJECTS:
      *(DlSettingList *)at = (DlSettingList){ 0 };
      break;
    }
}

static const DlSettingSpec *
find_spec (const DlSettingSpec *specs, const char *key)
{
  for (const DlSettingSpec *s = specs; s->key != NULL; s++)
    if (strcmp (s->key, key) == 0)
      return s;
  return NULL;
}

static int
read_object (const Reader *reader,
             json_object *object,
             const DlSettingSpec *specs,
             void *result)
{
  json_object_object_foreach (object, key, ignored)
    {
      (void)ignored;
      if (find_spec (specs, key) == NULL)
        return reader_fail (reader, key, "unknown key");
    }
  for (const DlSettingSpec *s = specs; s->key != NULL; s++)
    {
      json_object *value;
      void *at = (char *)result + s->offset;
      int error = 0;

      if (json_object_object_get_ex (object, s->key, &value))
        error = read_value (reader, s, value, at);
      else if (s->required)
        error = reader_fail (reader, s->key, "required, but missing");
      else
        set_fallback (reader, s, at);
      if (error < 0)
        return error;
    }
  return 0;
}

int
dl_settings_parse (const void *context,
                   const char *source,
                   DlStr text,
                   const DlSettingSpec *specs,
                   void *result,
                   char **error)
{
  Reader reader = { .context = context, .source = source, .error = error };
  json_object *object;
  int status = dl_json_parse (context, source, text, &object, error);

  if (status < 0)
    return status;
  if (json_object_is_type (object, json_type_object))
    status = read_object (&reader, object, specs, result);
  else
    status = reader_fail (&reader, NULL, "must be a JSON object");
  json_object_put (object);
  return status;
}

int
dl_settings_read (const void *context,
                  const char *path,
                  const DlSettingSpec *specs,
                  void *result,
                  char **error)
{
  Reader reader = { .context = context, .source = path, .error = error };
  char *text;
  gsize length;
  GError *file_error = NULL;
  int status;

  if (!g_file_get_contents (path, &text, &length, &file_error))
    {
      reader_fail (&reader, NULL, "%s", file_error->message);
      g_error_free (file_error);
      return -ENOENT;
    }
  status = dl_settings_parse (context, path, dl_str_bytes (text, length), specs, result,
                              error);
  g_free (text);
  return status;
}
