/*
 * Evaluates queries of the operators' language.
 *
 * A result is a function of the statement and of the platform's objects at one revision:
 * no clock, no random number and no order of arrival enters, so that two entries that
 * hold the same revision give the same rows.
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

/* First object of KIND, then how many there are. */
const DlObject *
dl_query_source_kind (const DlQuerySource *source, const char *kind, size_t *count);
/* NULL when there is no such object. */
const DlObject *
dl_query_source_find (const DlQuerySource *source, const char *kind, const char *name);

/* "state" of an object drain/HOST. */
#define DL_DRAIN_DRAINED    "drained"
#define DL_DRAIN_IN_SERVICE "in-service"

/* True when operators have taken the host out of rotation. */
bool dl_host_is_drained (const DlQuerySource *source, const char *host);

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

/* Builds the rows of TABLE below CONTEXT, in the table's own order: by name. */
DlRows *dl_table_rows (const void *context, DlTableId table, const DlQuerySource *source);
/* The table IN_FORCE against settings revision REVISION; 0: the accepted one. */
DlRows *
dl_in_force_rows (const void *context, uint64_t revision, const DlQuerySource *source);

typedef struct
{
  uint64_t revision;
  size_t column_count;
  const DlColumn *const *columns;
  size_t row_count;
  const DlCell *const *rows; /* each points to COLUMN_COUNT cells */
} DlQueryResult;

/* Evaluates a SHOW, COUNT or IN_FORCE statement; the result is below CONTEXT. */
DlQueryResult *dl_query_evaluate (const void *context,
                                  const DlStatement *statement,
                                  const DlQuerySource *source);

#endif
