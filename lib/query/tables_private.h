/*
 * Declarations shared by the files that build the rows of tables: tables.c,
 * tables_rollouts.c, and tables_cells.c with what both use.
 */
#ifndef DL_TABLES_PRIVATE_H
#define DL_TABLES_PRIVATE_H

#include <glib.h>

#include "query/query.h"

/* One host or entry of a status object. */
typedef struct
{
  const char *host;
  const char *data_center; /* name of the status object */
  json_object *value;
} DlStatusRow;

typedef struct
{
  size_t count;
  DlStatusRow *rows;
} DlStatusRows;

/* Collects the elements of LIST ("hosts" or "entries") of all status objects, sorted by
 * host.  The rows are a talloc child of CONTEXT and refer to SOURCE. */
DlStatusRows dl_tables_collect_status (const void *context,
                                       const DlQuerySource *source,
                                       const char *list);
/* Returns a table of host to the value of its row, which the caller destroys. */
GHashTable *dl_tables_index_by_host (const DlStatusRows *rows);

/* Returns TABLE without rows, with room for CAPACITY; a talloc child of CONTEXT. */
DlRows *dl_rows_new (const void *context, DlTableId table, size_t capacity);
/* Returns the next row; dl_rows_new must have reserved it. */
DlCell *dl_rows_next (DlRows *rows);

/* TEXT is copied, as the result outlives the objects. */
DlCell dl_cell_text (const DlRows *rows, const char *text);
DlCell dl_cell_number (uint64_t number);
DlCell dl_cell_absent (void);
/* AT_MS is wall clock; 0 makes the cell absent. */
DlCell dl_cell_time (uint64_t at_ms);
/* The label of the version DIGEST, or its first digits. */
DlCell
dl_cell_version (const DlRows *rows, const DlQuerySource *source, const char *digest);

/* The rows of two tables, as talloc children of CONTEXT. */
DlRows *dl_tables_rollouts (const void *context, const DlQuerySource *source);
DlRows *dl_tables_failures (const void *context, const DlQuerySource *source);

#endif
