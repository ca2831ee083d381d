/*
 * Evaluates queries of the operators' language.
 *
 * A result depends only on the statement and the platform's objects at one revision, not
 * on a clock, random numbers or the order of arrival, so that two entries that hold the
 * same revision return the same rows.
 */
#ifndef DL_QUERY_H
#define DL_QUERY_H

#include "kernel/object_client.h"
#include "query/statement.h"

/* The platform's objects at one revision, sorted by kind, then name. */
typedef struct
{
  uint64_t revision;
  size_t count;
  const DlObject *objects;
} DlQuerySource;

/* Returns the first of the *COUNT objects of KIND, which are contiguous. */
const DlObject *
dl_query_source_kind (const DlQuerySource *source, const char *kind, size_t *count);
/* Returns NULL when there is no such object. */
const DlObject *
dl_query_source_find (const DlQuerySource *source, const char *kind, const char *name);

/* Values of "state" in the object drain/HOST. */
#define DL_DRAIN_DRAINED    "drained"
#define DL_DRAIN_IN_SERVICE "in-service"

/* True when operators have taken the host out of rotation. */
bool dl_host_is_drained (const DlQuerySource *source, const char *host);

/* One value of a row.  Its column's type says which members are set. */
typedef struct
{
  const char *text;   /* TEXT; of VERSION the label or the start of its digest */
  const char *digest; /* of VERSION */
  uint64_t number;    /* NUMBER, TIME; hundredths of RATIO; 0 or 1 of FLAG */
  bool absent;        /* not known; shown as "-" */
} DlCell;

/* All rows of one table. */
typedef struct
{
  const DlTable *table;
  size_t count;
  DlCell *cells; /* COUNT times table->column_count, row by row */
} DlRows;

/* Builds the rows of TABLE in its default order, by name.  The result is a talloc child
 * of CONTEXT. */
DlRows *dl_table_rows (const void *context, DlTableId table, const DlQuerySource *source);
/* Builds the rows of "settings in force": per data centre and role, whether the nodes
 * have settings revision REVISION, or the accepted one when it is 0. */
DlRows *
dl_in_force_rows (const void *context, uint64_t revision, const DlQuerySource *source);

/* The selected rows and columns. */
typedef struct
{
  uint64_t revision; /* of the objects */
  size_t column_count;
  const DlColumn *const *columns;
  size_t row_count;
  const DlCell *const *rows; /* each points to COLUMN_COUNT cells */
} DlQueryResult;

/* Evaluates a SHOW, COUNT or IN_FORCE statement; the result is a talloc child of CONTEXT.
 */
DlQueryResult *dl_query_evaluate (const void *context,
                                  const DlStatement *statement,
                                  const DlQuerySource *source);

#endif
