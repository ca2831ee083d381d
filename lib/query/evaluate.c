/*
 * Evaluates queries: selects, orders and projects the rows of a table.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "query/query.h"

#define DIGEST_PREFIX_MIN 8 /* hexadecimal digits that identify a version */

static const DlColumn count_column = { .name = "count", .type = DL_COLUMN_NUMBER };

/* -------- conditions -------- */

static bool
is_textual (DlColumnType type)
{
  return type == DL_COLUMN_TEXT || type == DL_COLUMN_VERSION;
}

static int
compare_numbers (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}

/* A version is identified by its label, its digest or a prefix of the digest. */
static bool
version_equals (const DlCell *cell, const char *text)
{
  size_t length = strlen (text);

  return strcmp (cell->text, text) == 0
         || (length >= DIGEST_PREFIX_MIN && strncmp (cell->digest, text, length) == 0);
}

static bool
cell_equals (const DlColumn *column, const DlCell *cell, const DlOperand *operand)
{
  if (column->type == DL_COLUMN_VERSION)
    return version_equals (cell, operand->text);
  if (is_textual (column->type))
    return strcmp (cell->text, operand->text) == 0;
  return !cell->absent && cell->number == operand->number;
}

static bool
cell_matches (const DlColumn *column,
              const DlCell *cell,
              DlOperator
              operator,
              const DlOperand * operand)
{
  int order;

  switch (operator)
    {
    case DL_OPERATOR_EQUAL:
      return cell_equals (column, cell, operand);
    case DL_OPERATOR_NOT_EQUAL:
      return !cell_equals (column, cell, operand);
    case DL_OPERATOR_CONTAINS:
      return strstr (cell->text, operand->text) != NULL;
    case DL_OPERATOR_LESS:
    case DL_OPERATOR_GREATER:
    case DL_OPERATOR_LESS_EQUAL:
    case DL_OPERATOR_GREATER_EQUAL:
      break;
    }
  /* A value that is not known is neither less nor greater than another. */
  if (cell->absent)
    return false;
  order = is_textual (column->type) ? strcmp (cell->text, operand->text)
                                    : compare_numbers (cell->number, operand->number);
  if (operator== DL_OPERATOR_LESS)
    return order < 0;
  if (operator== DL_OPERATOR_GREATER)
    return order > 0;
  return operator== DL_OPERATOR_LESS_EQUAL ? order <= 0 : order >= 0;
}

static bool
row_matches (const DlTable *table, const DlCell *row, const DlCondition *c)
{
  if (c == NULL)
    return true;
  switch (c->type)
    {
    case DL_CONDITION_AND:
      return row_matches (table, row, c->logic.left)
             && row_matches (table, row, c->logic.right);
    case DL_CONDITION_OR:
      return row_matches (table, row, c->logic.left)
             || row_matches (table, row, c->logic.right);
    case DL_CONDITION_COMPARE:
      return cell_matches (&table->columns[c->compare.column], &row[c->compare.column],
                           c->compare.operator, & c->compare.operand);
    case DL_CONDITION_IN:
      for (size_t i = 0; i < c->in.count; i++)
        if (cell_equals (&table->columns[c->in.column], &row[c->in.column],
                         &c->in.operands[i]))
          return true;
      return false;
    }
  return false;
}

/* -------- ordering -------- */

typedef struct
{
  const DlRows *rows;
  int column;
  bool descending;
} Ordering;

static int
compare_rows (const void *a, const void *b, void *data)
{
  const Ordering *o = data;
  const DlCell *x = *(const DlCell *const *)a;
  const DlCell *y = *(const DlCell *const *)b;
  const DlCell *p = &x[o->column];
  const DlCell *q = &y[o->column];
  int order;

  if (p->absent != q->absent)
    return p->absent ? 1 : -1; /* not known: last, also when descending */
  if (is_textual (o->rows->table->columns[o->column].type))
    order = strcmp (p->text, q->text);
  else
    order = compare_numbers (p->number, q->number);
  if (order != 0)
    return o->descending ? -order : order;
  return (x > y) - (x < y); /* equal: in the table's default order */
}

/* -------- results -------- */

/* Returns the *COUNT rows that match WHERE, as pointers into ROWS; the array is a talloc
 * child of CONTEXT. */
static const DlCell **
select_rows (const void *context,
             const DlRows *rows,
             const DlCondition *where,
             size_t *count)
{
  const DlCell **selected = talloc_array (context, const DlCell *, rows->count + 1);

  *count = 0;
  for (size_t i = 0; i < rows->count; i++)
    {
      const DlCell *row = &rows->cells[i * rows->table->column_count];

      if (row_matches (rows->table, row, where))
        selected[(*count)++] = row;
    }
  return selected;
}

static void
order_rows (const DlSelect *select, const DlRows *rows, const DlCell **list, size_t count)
{
  Ordering ordering = {
    .rows = rows,
    .column = select->order_column,
    .descending = select->descending,
  };

  if (select->order_column >= 0 && count > 1)
    qsort_r (list, count, sizeof (const DlCell *), compare_rows, &ordering);
}

/* Sets *CHOSEN to the indexes of the REQUESTED columns of LIST, or to those shown by
 * default when none are requested.  Returns their number. */
static size_t
choose_columns (const void *context,
                const DlTable *table,
                size_t requested,
                const int *list,
                int **chosen)
{
  size_t count = 0;

  *chosen = talloc_array (context, int, MAX (requested, table->column_count));
  for (size_t i = 0; i < requested; i++)
    (*chosen)[count++] = list[i];
  for (size_t i = 0; requested == 0 && i < table->column_count; i++)
    if (table->columns[i].is_default)
      (*chosen)[count++] = (int)i;
  return count;
}

/* Makes a result of the given columns of the rows in LIST. */
static DlQueryResult *
project (const void *context,
         const DlRows *rows,
         size_t count,
         const DlCell *const *list,
         size_t column_count,
         const int *columns)
{
  DlQueryResult *result = talloc_zero (context, DlQueryResult);
  const DlColumn **headers = talloc_array (result, const DlColumn *, column_count + 1);
  const DlCell **cells = talloc_array (result, const DlCell *, count + 1);

  for (size_t i = 0; i < column_count; i++)
    headers[i] = &rows->table->columns[columns[i]];
  for (size_t i = 0; i < count; i++)
    {
      DlCell *row = talloc_array (result, DlCell, column_count + 1);

      for (size_t j = 0; j < column_count; j++)
        row[j] = list[i][columns[j]];
      cells[i] = row;
    }
  result->column_count = column_count;
  result->columns = headers;
  result->row_count = count;
  result->rows = cells;
  return result;
}

static DlQueryResult *
evaluate_show (const void *context, const DlSelect *select, const DlQuerySource *source)
{
  DlRows *rows = dl_table_rows (context, select->table, source);
  int *columns;
  size_t column_count = choose_columns (rows, rows->table, select->column_count,
                                        select->columns, &columns);
  size_t count;
  const DlCell **list = select_rows (rows, rows, select->where, &count);

  order_rows (select, rows, list, count);
  if (select->limit > 0)
    count = MIN (count, select->limit);
  return project (context, rows, count, list, column_count, columns);
}

static DlQueryResult *
evaluate_count (const void *context, const DlSelect *select, const DlQuerySource *source)
{
  DlRows *rows = dl_table_rows (context, select->table, source);
  DlQueryResult *result = talloc_zero (context, DlQueryResult);
  const DlColumn **headers = talloc_array (result, const DlColumn *, 1);
  const DlCell **cells = talloc_array (result, const DlCell *, 1);
  DlCell *cell = talloc_zero (result, DlCell);
  size_t count;

  talloc_free (select_rows (rows, rows, select->where, &count));
  cell->number = count;
  headers[0] = &count_column;
  cells[0] = cell;
  *result = (DlQueryResult){
    .column_count = 1,
    .columns = headers,
    .row_count = 1,
    .rows = cells,
  };
  return result;
}

static DlQueryResult *
evaluate_in_force (const void *context, uint64_t revision, const DlQuerySource *source)
{
  DlRows *rows = dl_in_force_rows (context, revision, source);
  int *columns;
  size_t column_count = choose_columns (rows, rows->table, 0, NULL, &columns);
  size_t count;
  const DlCell **list = select_rows (rows, rows, NULL, &count);

  return project (context, rows, count, list, column_count, columns);
}

DlQueryResult *
dl_query_evaluate (const void *context,
                   const DlStatement *statement,
                   const DlQuerySource *source)
{
  DlQueryResult *result = NULL;

  switch (statement->type)
    {
    case DL_STATEMENT_SHOW:
      result = evaluate_show (context, &statement->select, source);
      break;
    case DL_STATEMENT_COUNT:
      result = evaluate_count (context, &statement->select, source);
      break;
    case DL_STATEMENT_IN_FORCE:
      result = evaluate_in_force (context, statement->in_force.revision, source);
      break;
    default:
      g_assert_not_reached ();
    }
  result->revision = source->revision;
  return result;
}
