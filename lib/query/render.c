#include "query/render.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "query/json_get.h"

#define RATIO_SCALE         100
#define MS_PER_S            1000
#define TIME_BYTES          32
#define NUMBER_BYTES        32
#define COLUMN_GAP          "  "
#define ABSENT              "-"
#define CELL_WIDTH_MAX      60
#define CONTROL_REPLACEMENT '?'
#define FIRST_PRINTABLE     0x20
#define DELETE_CHARACTER    0x7f

/* -------- JSON -------- */

static json_object *
time_value (uint64_t at_ms)
{
  time_t seconds = (time_t)(at_ms / MS_PER_S);
  char text[TIME_BYTES];
  struct tm tm;

  if (gmtime_r (&seconds, &tm) == NULL
      || strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &tm) == 0)
    return NULL;
  return json_object_new_string (text);
}

static json_object *
ratio_value (uint64_t hundredths)
{
  char text[NUMBER_BYTES];

  g_snprintf (text, sizeof text, "%" PRIu64 ".%02u", hundredths / RATIO_SCALE,
              (unsigned)(hundredths % RATIO_SCALE));
  return json_object_new_double_s ((double)hundredths / RATIO_SCALE, text);
}

static json_object *
cell_value (const DlColumn *column, const DlCell *cell)
{
  if (cell->absent)
    return NULL;
  switch (column->type)
    {
    case DL_COLUMN_TEXT:
    case DL_COLUMN_VERSION:
      return json_object_new_string (cell->text);
    case DL_COLUMN_NUMBER:
      return json_object_new_uint64 (cell->number);
    case DL_COLUMN_RATIO:
      return ratio_value (cell->number);
    case DL_COLUMN_FLAG:
      return json_object_new_boolean (cell->number != 0);
    case DL_COLUMN_TIME:
      return time_value (cell->number);
    }
  return NULL;
}

json_object *
dl_render_json (const DlQueryResult *result)
{
  json_object *object = json_object_new_object ();
  json_object *columns = json_object_new_array ();
  json_object *rows = json_object_new_array ();

  for (size_t i = 0; i < result->column_count; i++)
    json_object_array_add (columns, json_object_new_string (result->columns[i]->name));
  for (size_t i = 0; i < result->row_count; i++)
    {
      json_object *row = json_object_new_array ();

      for (size_t j = 0; j < result->column_count; j++)
        json_object_array_add (row, cell_value (result->columns[j], &result->rows[i][j]));
      json_object_array_add (rows, row);
    }
  dl_json_add_uint (object, "revision", result->revision);
  json_object_object_add (object, "columns", columns);
  json_object_object_add (object, "rows", rows);
  return object;
}

/* -------- tables -------- */

/* Returns the text of a cell, a talloc child of CONTEXT, with control characters replaced
 * so that they do not reach the terminal. */
static char *
cell_text (const void *context, json_object *cell)
{
  char *text;

  if (cell == NULL)
    return talloc_strdup (context, ABSENT);
  if (json_object_is_type (cell, json_type_boolean))
    return talloc_strdup (context, json_object_get_boolean (cell) ? "yes" : "no");
  text = talloc_strdup (context, json_object_get_string (cell));
  for (char *c = text; *c != '\0'; c++)
    if ((unsigned char)*c < FIRST_PRINTABLE || *c == DELETE_CHARACTER)
      *c = CONTROL_REPLACEMENT;
  return text;
}

/* Returns the length in characters, or in bytes when TEXT is not valid UTF-8. */
static size_t
text_width (const char *text)
{
  return g_utf8_validate (text, -1, NULL) ? (size_t)g_utf8_strlen (text, -1)
                                          : strlen (text);
}

static bool
is_number (json_object *cell)
{
  return json_object_is_type (cell, json_type_int)
         || json_object_is_type (cell, json_type_double);
}

static json_object *
cell_at (json_object *rows, size_t row, size_t column)
{
  json_object *cells = json_object_array_get_idx (rows, row);

  if (!json_object_is_type (cells, json_type_array))
    return NULL;
  return json_object_array_get_idx (cells, column);
}

static size_t
column_width (json_object *rows, size_t column, const char *header, bool *numeric)
{
  size_t width = text_width (header);

  *numeric = false;
  for (size_t i = 0; i < json_object_array_length (rows); i++)
    {
      json_object *cell = cell_at (rows, i, column);
      char *text = cell_text (NULL, cell);

      width = MAX (width, MIN (text_width (text), CELL_WIDTH_MAX));
      *numeric = *numeric || is_number (cell);
      talloc_free (text);
    }
  return width;
}

static void
pad (DlBuffer *buffer, size_t text, size_t width)
{
  for (size_t i = text; i < width; i++)
    dl_buffer_append (buffer, " ", 1);
}

/* Numbers are aligned right, texts left; a text in the last column is not padded. */
static void
put_cell (DlBuffer *buffer, const char *text, size_t width, bool numeric, bool last)
{
  size_t text_columns = text_width (text);

  if (numeric)
    pad (buffer, text_columns, width);
  dl_buffer_append (buffer, text, strlen (text));
  if (!numeric && !last)
    pad (buffer, text_columns, width);
}

static void
put_row (DlBuffer *buffer,
         json_object *rows,
         size_t row,
         size_t count,
         const size_t *widths,
         const bool *numeric)
{
  for (size_t i = 0; i < count; i++)
    {
      char *text = cell_text (NULL, cell_at (rows, row, i));

      if (i > 0)
        dl_buffer_append (buffer, COLUMN_GAP, sizeof COLUMN_GAP - 1);
      put_cell (buffer, text, widths[i], numeric[i], i + 1 == count);
      talloc_free (text);
    }
  dl_buffer_append (buffer, "\n", 1);
}

static const char *
header_text (json_object *columns, size_t index)
{
  const char *text = json_object_get_string (json_object_array_get_idx (columns, index));

  return text != NULL ? text : "";
}

void
dl_render_table (DlBuffer *buffer, json_object *response)
{
  json_object *columns = dl_json_array (response, "columns");
  json_object *rows = dl_json_array (response, "rows");
  size_t count = dl_json_array_length (columns);
  size_t *widths = talloc_zero_array (buffer, size_t, count + 1);
  bool *numeric = talloc_zero_array (buffer, bool, count + 1);

  if (rows == NULL)
    count = 0;
  for (size_t i = 0; i < count; i++)
    widths[i] = column_width (rows, i, header_text (columns, i), &numeric[i]);
  for (size_t i = 0; i < count; i++)
    {
      if (i > 0)
        dl_buffer_append (buffer, COLUMN_GAP, sizeof COLUMN_GAP - 1);
      put_cell (buffer, header_text (columns, i), widths[i], numeric[i], i + 1 == count);
    }
  if (count > 0)
    dl_buffer_append (buffer, "\n", 1);
  for (size_t i = 0; count > 0 && i < json_object_array_length (rows); i++)
    put_row (buffer, rows, i, count, widths, numeric);
  talloc_free (numeric);
  talloc_free (widths);
}
