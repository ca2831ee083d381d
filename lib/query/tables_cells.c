#include "query/tables_private.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "query/json_get.h"

#define DIGEST_SHOWN_BYTES 12 /* hexadecimal digits of a version without a label */

/* -------- rows of status objects -------- */

static int
compare_status_rows (const void *a, const void *b)
{
  const DlStatusRow *x = a;
  const DlStatusRow *y = b;
  int order = strcmp (x->host, y->host);

  return order != 0 ? order : strcmp (x->data_center, y->data_center);
}

/* Collects the elements of LIST ("hosts" or "entries") of all status objects, sorted by
 * host.  The rows are a talloc child of CONTEXT and refer to SOURCE. */
DlStatusRows
dl_tables_collect_status (const void *context,
                          const DlQuerySource *source,
                          const char *list)
{
  DlStatusRows result = { 0 };
  size_t count;
  const DlObject *objects = dl_query_source_kind (source, "status", &count);

  for (size_t i = 0; i < count; i++)
    {
      json_object *array = dl_json_array (objects[i].value, list);
      size_t length = dl_json_array_length (array);

      result.rows
          = talloc_realloc (context, result.rows, DlStatusRow, result.count + length + 1);
      for (size_t j = 0; j < length; j++)
        {
          json_object *value = json_object_array_get_idx (array, j);

          result.rows[result.count++] = (DlStatusRow){
            .host = dl_json_text (value, "host"),
            .data_center = objects[i].name,
            .value = value,
          };
        }
    }
  if (result.count > 0)
    qsort (result.rows, result.count, sizeof *result.rows, compare_status_rows);
  return result;
}

GHashTable *
dl_tables_index_by_host (const DlStatusRows *rows)
{
  GHashTable *index = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < rows->count; i++)
    g_hash_table_insert (index, (char *)rows->rows[i].host, rows->rows[i].value);
  return index;
}

/* -------- cells -------- */

DlRows *
dl_rows_new (const void *context, DlTableId table, size_t capacity)
{
  DlRows *rows = talloc_zero (context, DlRows);

  rows->table = &dl_tables[table];
  rows->cells
      = talloc_zero_array (rows, DlCell, MAX (capacity, 1) * rows->table->column_count);
  return rows;
}

/* Returns the next row; dl_rows_new() must have reserved it. */
DlCell *
dl_rows_next (DlRows *rows)
{
  return &rows->cells[rows->count++ * rows->table->column_count];
}

/* TEXT is copied, as the result outlives the objects. */
DlCell
dl_cell_text (const DlRows *rows, const char *text)
{
  if (text[0] == '\0')
    return (DlCell){ .text = "", .absent = true };
  return (DlCell){ .text = talloc_strdup (rows, text) };
}

DlCell
dl_cell_number (uint64_t number)
{
  return (DlCell){ .number = number };
}

DlCell
dl_cell_absent (void)
{
  return (DlCell){ .text = "", .digest = "", .absent = true };
}

DlCell
dl_cell_time (uint64_t at_ms)
{
  return at_ms > 0 ? dl_cell_number (at_ms) : dl_cell_absent ();
}

DlCell
dl_cell_version (const DlRows *rows, const DlQuerySource *source, const char *digest)
{
  const DlObject *version;
  const char *label;

  if (digest[0] == '\0')
    return dl_cell_absent ();
  version = dl_query_source_find (source, "version", digest);
  label = version != NULL ? dl_json_text (version->value, "label") : "";
  return (DlCell){
    .text = label[0] != '\0' ? talloc_strdup (rows, label)
                             : talloc_strndup (rows, digest, DIGEST_SHOWN_BYTES),
    .digest = talloc_strdup (rows, digest),
  };
}
