/*
 * Conditions of the operators' language.
 */
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "query/parser_private.h"

#define NESTING_MAX  32
#define RATIO_SCALE  100 /* operands of RATIO columns are hundredths */
#define RATIO_PLACES 2

/* Reads "1.25" as 125 hundredths. */
static int
read_ratio (const char *text, uint64_t *hundredths)
{
  const char *point = strchr (text, '.');
  size_t whole = point != NULL ? (size_t)(point - text) : strlen (text);
  size_t places = point != NULL ? strlen (point + 1) : 0;
  uint64_t fraction = 0;

  if (dl_str_to_uint64 (dl_str_bytes (text, whole), hundredths) < 0
      || *hundredths > UINT32_MAX || places > RATIO_PLACES)
    return -EINVAL;
  if (places > 0 && dl_str_to_uint64 (dl_str (point + 1), &fraction) < 0)
    return -EINVAL;
  *hundredths = *hundredths * RATIO_SCALE + (places == 1 ? fraction * 10 : fraction);
  return 0;
}

static int
read_flag (const char *text, uint64_t *flag)
{
  *flag = strcmp (text, "yes") == 0 || strcmp (text, "true") == 0;
  return *flag || strcmp (text, "no") == 0 || strcmp (text, "false") == 0 ? 0 : -EINVAL;
}

static int
parse_operand (DlParser *p, const DlColumn *column, DlOperand *operand)
{
  const DlToken *token = dl_parser_peek (p);
  int status;

  operand->text = "";
  status = dl_parser_text (p, "a value", &operand->text);
  if (status < 0)
    return status;
  switch (column->type)
    {
    case DL_COLUMN_TEXT:
    case DL_COLUMN_VERSION:
      return 0;
    case DL_COLUMN_NUMBER:
    case DL_COLUMN_TIME:
      if (dl_str_to_uint64 (dl_str (operand->text), &operand->number) < 0)
        return dl_parser_error (p, token, "column %s holds whole numbers", column->name);
      return 0;
    case DL_COLUMN_RATIO:
      if (read_ratio (operand->text, &operand->number) < 0)
        return dl_parser_error (p, token,
                                "column %s holds numbers with up to two decimals",
                                column->name);
      return 0;
    case DL_COLUMN_FLAG:
      if (read_flag (operand->text, &operand->number) < 0)
        return dl_parser_error (p, token, "column %s holds \"yes\" or \"no\"",
                                column->name);
      return 0;
    }
  return -EINVAL;
}

static int
parse_operator (DlParser *p, const DlColumn *column, DlOperator *operator)
{
  static const char *const symbols[] = {
    [DL_OPERATOR_EQUAL] = "=",       [DL_OPERATOR_NOT_EQUAL] = "!=",
    [DL_OPERATOR_LESS] = "<",        [DL_OPERATOR_GREATER] = ">",
    [DL_OPERATOR_LESS_EQUAL] = "<=", [DL_OPERATOR_GREATER_EQUAL] = ">=",
    [DL_OPERATOR_CONTAINS] = "~",
  };
  const DlToken *token = dl_parser_next (p);
  bool textual = column->type == DL_COLUMN_TEXT || column->type == DL_COLUMN_VERSION;

  for (int i = DL_OPERATOR_EQUAL; i <= DL_OPERATOR_CONTAINS; i++)
    if (dl_parser_is_symbol (token, symbols[i]))
      {
        *operator= i;
        if (i == DL_OPERATOR_CONTAINS && !textual)
          return dl_parser_error (p, token,
                                  "\"~\" compares only texts, and column %s holds none",
                                  column->name);
        return 0;
      }
  return dl_parser_error (p, token, "expected one of = != < <= > >= ~ in");
}

static int
parse_in_list (DlParser *p, const DlColumn *column, DlCondition *condition)
{
  if (!dl_parser_accept_symbol (p, "("))
    return dl_parser_error (p, dl_parser_peek (p), "expected \"(\"");
  do
    {
      size_t n = condition->in.count;
      int status;

      condition->in.operands
          = talloc_realloc (condition, condition->in.operands, DlOperand, n + 1);
      condition->in.operands[n] = (DlOperand){ 0 };
      status = parse_operand (p, column, &condition->in.operands[n]);
      if (status < 0)
        return status;
      condition->in.count++;
    }
  while (dl_parser_accept_symbol (p, ","));
  if (!dl_parser_accept_symbol (p, ")"))
    return dl_parser_error (p, dl_parser_peek (p), "expected \",\" or \")\"");
  return 0;
}

static int
parse_comparison (DlParser *p, DlTableId table, DlCondition **result)
{
  DlCondition *c = talloc_zero (p->context, DlCondition);
  const DlColumn *column;
  int index = 0;
  int status = dl_parser_column (p, table, &index);

  *result = c;
  if (status < 0)
    return status;
  column = &dl_tables[table].columns[index];
  if (dl_parser_accept_word (p, "in"))
    {
      c->type = DL_CONDITION_IN;
      c->in.column = index;
      return parse_in_list (p, column, c);
    }
  c->type = DL_CONDITION_COMPARE;
  c->compare.column = index;
  status = parse_operator (p, column, &c->compare.operator);
  if (status < 0)
    return status;
  return parse_operand (p, column, &c->compare.operand);
}

static int
parse_primary (DlParser *p, DlTableId table, DlCondition **result)
{
  const DlToken *token = dl_parser_peek (p);
  int status;

  if (!dl_parser_accept_symbol (p, "("))
    return parse_comparison (p, table, result);
  if (++p->nesting > NESTING_MAX)
    return dl_parser_error (p, token, "parentheses are nested more than %d deep",
                            NESTING_MAX);
  status = dl_parser_condition (p, table, result);
  p->nesting--;
  if (status == 0 && !dl_parser_accept_symbol (p, ")"))
    return dl_parser_error (p, dl_parser_peek (p), "expected \")\"");
  return status;
}

static DlCondition *
new_logic (DlParser *p, DlConditionType type, DlCondition *left, DlCondition *right)
{
  DlCondition *c = talloc_zero (p->context, DlCondition);

  *c = (DlCondition){ .type = type, .logic = { .left = left, .right = right } };
  return c;
}

static int
parse_and (DlParser *p, DlTableId table, DlCondition **result)
{
  int status = parse_primary (p, table, result);

  while (status == 0 && dl_parser_accept_word (p, "and"))
    {
      DlCondition *right = NULL;

      status = parse_primary (p, table, &right);
      *result = new_logic (p, DL_CONDITION_AND, *result, right);
    }
  return status;
}

int
dl_parser_condition (DlParser *p, DlTableId table, DlCondition **result)
{
  int status = parse_and (p, table, result);

  while (status == 0 && dl_parser_accept_word (p, "or"))
    {
      DlCondition *right = NULL;

      status = parse_and (p, table, &right);
      *result = new_logic (p, DL_CONDITION_OR, *result, right);
    }
  return status;
}
