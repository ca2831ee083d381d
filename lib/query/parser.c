/*
 * Parser of the operators' language.
 */
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/object_client.h"
#include "query/lexer.h"
#include "query/statement.h"

#define NESTING_MAX   32
#define PERCENT_MAX   100
#define RATIO_SCALE   100 /* operands of RATIO columns are hundredths */
#define RATIO_PLACES  2
#define NAME_EXPECTED "expected a name of letters, digits, \".\", \"_\" and \"-\""

/* A recursive-descent parser with one token of look-ahead.  The parse functions return 0,
 * or -EINVAL with *ERROR set. */
typedef struct
{
  const void *context; /* talloc context of the statement */
  DlTokenList list;
  size_t next;
  unsigned nesting;
  DlSyntaxError *error;
} Parser;

static const DlToken *
peek (const Parser *p)
{
  return &p->list.tokens[p->next];
}

/* Returns the next token and advances, but not past the END token. */
static const DlToken *
next_token (Parser *p)
{
  const DlToken *token = peek (p);

  if (token->type != DL_TOKEN_END)
    p->next++;
  return token;
}

static int __attribute__ ((format (printf, 3, 4)))
syntax_error (Parser *p, const DlToken *token, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  *p->error = (DlSyntaxError){
    .position = token->position,
    .text = talloc_vasprintf (p->context, format, args),
  };
  va_end (args);
  return -EINVAL;
}

static bool
is_word (const DlToken *token, const char *word)
{
  return token->type == DL_TOKEN_WORD && strcmp (token->text, word) == 0;
}

static bool
is_symbol (const DlToken *token, const char *symbol)
{
  return token->type == DL_TOKEN_SYMBOL && strcmp (token->text, symbol) == 0;
}

/* Advances past WORD when it is the next token; returns whether it was. */
static bool
accept_word (Parser *p, const char *word)
{
  if (!is_word (peek (p), word))
    return false;
  p->next++;
  return true;
}

static bool
accept_symbol (Parser *p, const char *symbol)
{
  if (!is_symbol (peek (p), symbol))
    return false;
  p->next++;
  return true;
}

static int
expect_word (Parser *p, const char *word)
{
  if (accept_word (p, word))
    return 0;
  return syntax_error (p, peek (p), "expected \"%s\"", word);
}

/* Parses a word or string; *TEXT is a talloc child of the statement. */
static int
parse_text (Parser *p, const char *expected, const char **text)
{
  const DlToken *token = peek (p);

  if (token->type != DL_TOKEN_WORD && token->type != DL_TOKEN_STRING)
    return syntax_error (p, token, "expected %s", expected);
  *text = talloc_strdup (p->context, token->text);
  p->next++;
  return 0;
}

/* Parses the name of an object. */
static int
parse_name (Parser *p, const char **name)
{
  const DlToken *token = peek (p);

  if (token->type != DL_TOKEN_WORD || !dl_object_name_is_valid (dl_str (token->text)))
    return syntax_error (p, token, NAME_EXPECTED);
  return parse_text (p, "a name", name);
}

static int
parse_number (Parser *p, uint64_t *number)
{
  const DlToken *token = next_token (p);

  if (token->type != DL_TOKEN_WORD || dl_str_to_uint64 (dl_str (token->text), number) < 0)
    return syntax_error (p, token, "expected a whole number");
  return 0;
}

/* -------- conditions -------- */

static int
parse_column (Parser *p, DlTableId table, int *column)
{
  const DlToken *token = next_token (p);

  if (token->type != DL_TOKEN_WORD)
    return syntax_error (p, token, "expected a column");
  *column = dl_table_find_column (&dl_tables[table], token->text);
  if (*column < 0)
    return syntax_error (p, token, "table %s has no column \"%s\"", dl_tables[table].name,
                         token->text);
  return 0;
}

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
parse_operand (Parser *p, const DlColumn *column, DlOperand *operand)
{
  const DlToken *token = peek (p);
  int status;

  operand->text = "";
  status = parse_text (p, "a value", &operand->text);
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
        return syntax_error (p, token, "column %s holds whole numbers", column->name);
      return 0;
    case DL_COLUMN_RATIO:
      if (read_ratio (operand->text, &operand->number) < 0)
        return syntax_error (p, token, "column %s holds numbers with up to two decimals",
                             column->name);
      return 0;
    case DL_COLUMN_FLAG:
      if (read_flag (operand->text, &operand->number) < 0)
        return syntax_error (p, token, "column %s holds \"yes\" or \"no\"", column->name);
      return 0;
    }
  return -EINVAL;
}

static int
parse_operator (Parser *p, const DlColumn *column, DlOperator *operator)
{
  static const char *const symbols[] = {
    [DL_OPERATOR_EQUAL] = "=",       [DL_OPERATOR_NOT_EQUAL] = "!=",
    [DL_OPERATOR_LESS] = "<",        [DL_OPERATOR_GREATER] = ">",
    [DL_OPERATOR_LESS_EQUAL] = "<=", [DL_OPERATOR_GREATER_EQUAL] = ">=",
    [DL_OPERATOR_CONTAINS] = "~",
  };
  const DlToken *token = next_token (p);
  bool textual = column->type == DL_COLUMN_TEXT || column->type == DL_COLUMN_VERSION;

  for (int i = DL_OPERATOR_EQUAL; i <= DL_OPERATOR_CONTAINS; i++)
    if (is_symbol (token, symbols[i]))
      {
        *operator= i;
        if (i == DL_OPERATOR_CONTAINS && !textual)
          return syntax_error (p, token,
                               "\"~\" compares only texts, and column %s holds none",
                               column->name);
        return 0;
      }
  return syntax_error (p, token, "expected one of = != < <= > >= ~ in");
}

static int
parse_in_list (Parser *p, const DlColumn *column, DlCondition *condition)
{
  if (!accept_symbol (p, "("))
    return syntax_error (p, peek (p), "expected \"(\"");
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
  while (accept_symbol (p, ","));
  if (!accept_symbol (p, ")"))
    return syntax_error (p, peek (p), "expected \",\" or \")\"");
  return 0;
}

static int
parse_comparison (Parser *p, DlTableId table, DlCondition **result)
{
  DlCondition *c = talloc_zero (p->context, DlCondition);
  const DlColumn *column;
  int index = 0;
  int status = parse_column (p, table, &index);

  *result = c;
  if (status < 0)
    return status;
  column = &dl_tables[table].columns[index];
  if (accept_word (p, "in"))
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

static int parse_or (Parser *p, DlTableId table, DlCondition **result);

static int
parse_primary (Parser *p, DlTableId table, DlCondition **result)
{
  const DlToken *token = peek (p);
  int status;

  if (!accept_symbol (p, "("))
    return parse_comparison (p, table, result);
  if (++p->nesting > NESTING_MAX)
    return syntax_error (p, token, "parentheses are nested more than %d deep",
                         NESTING_MAX);
  status = parse_or (p, table, result);
  p->nesting--;
  if (status == 0 && !accept_symbol (p, ")"))
    return syntax_error (p, peek (p), "expected \")\"");
  return status;
}

static DlCondition *
new_logic (Parser *p, DlConditionType type, DlCondition *left, DlCondition *right)
{
  DlCondition *c = talloc_zero (p->context, DlCondition);

  *c = (DlCondition){ .type = type, .logic = { .left = left, .right = right } };
  return c;
}

static int
parse_and (Parser *p, DlTableId table, DlCondition **result)
{
  int status = parse_primary (p, table, result);

  while (status == 0 && accept_word (p, "and"))
    {
      DlCondition *right = NULL;

      status = parse_primary (p, table, &right);
      *result = new_logic (p, DL_CONDITION_AND, *result, right);
    }
  return status;
}

/* "and" has a higher precedence than "or". */
static int
parse_or (Parser *p, DlTableId table, DlCondition **result)
{
  int status = parse_and (p, table, result);

  while (status == 0 && accept_word (p, "or"))
    {
      DlCondition *right = NULL;

      status = parse_and (p, table, &right);
      *result = new_logic (p, DL_CONDITION_OR, *result, right);
    }
  return status;
}

/* -------- queries -------- */

static int
parse_table (Parser *p, DlTableId *table)
{
  const DlToken *token = next_token (p);
  int found = token->type == DL_TOKEN_WORD ? dl_table_find (token->text) : -ENOENT;

  if (found < 0)
    return syntax_error (
        p, token,
        "expected a table: hosts, rollouts, versions, upstreams, entries, "
        "leases, settings, failures, commands or drains");
  *table = found;
  return 0;
}

static int
parse_columns (Parser *p, DlSelect *select)
{
  do
    {
      int status;

      select->columns
          = talloc_realloc (p->context, select->columns, int, select->column_count + 1);
      status = parse_column (p, select->table, &select->columns[select->column_count]);
      if (status < 0)
        return status;
      select->column_count++;
    }
  while (accept_symbol (p, ","));
  return 0;
}

static int
parse_order (Parser *p, DlSelect *select)
{
  int status = expect_word (p, "by");

  if (status == 0)
    status = parse_column (p, select->table, &select->order_column);
  if (status == 0)
    select->descending = accept_word (p, "desc");
  return status;
}

static int
parse_limit (Parser *p, DlSelect *select)
{
  const DlToken *token = peek (p);
  int status = parse_number (p, &select->limit);

  if (status == 0 && select->limit == 0)
    return syntax_error (p, token, "the limit must be at least 1");
  return status;
}

static int
parse_show (Parser *p, DlStatement *statement)
{
  DlSelect *select = &statement->select;
  int status;

  statement->type = DL_STATEMENT_SHOW;
  select->order_column = -1;
  status = parse_table (p, &select->table);
  if (status == 0 && accept_word (p, "columns"))
    status = parse_columns (p, select);
  if (status == 0 && accept_word (p, "where"))
    status = parse_or (p, select->table, &select->where);
  if (status == 0 && accept_word (p, "order"))
    status = parse_order (p, select);
  if (status == 0 && accept_word (p, "limit"))
    status = parse_limit (p, select);
  return status;
}

static int
parse_count (Parser *p, DlStatement *statement)
{
  DlSelect *select = &statement->select;
  int status;

  statement->type = DL_STATEMENT_COUNT;
  select->order_column = -1;
  status = parse_table (p, &select->table);
  if (status == 0 && accept_word (p, "where"))
    status = parse_or (p, select->table, &select->where);
  return status;
}

/* -------- commands -------- */

static int
parse_digest (Parser *p, const char **text)
{
  const DlToken *token = peek (p);
  DlDigest digest;

  if (token->type != DL_TOKEN_WORD
      || dl_digest_from_hex (dl_str (token->text), &digest) < 0)
    return syntax_error (p, token, "expected a digest of %d hexadecimal digits",
                         DL_DIGEST_HEX_BYTES - 1);
  return parse_text (p, "a digest", text);
}

static int
parse_publish_size (Parser *p, const char *word, uint64_t *number)
{
  int status = expect_word (p, word);

  return status < 0 ? status : parse_number (p, number);
}

static int
parse_publish (Parser *p, DlStatement *statement)
{
  int status;

  statement->type = DL_STATEMENT_PUBLISH;
  status = parse_digest (p, &statement->publish.version);
  if (status == 0)
    status = expect_word (p, "as");
  if (status == 0)
    status = parse_name (p, &statement->publish.label);
  if (status == 0)
    status = expect_word (p, "model");
  if (status == 0)
    status = parse_name (p, &statement->publish.model);
  if (status == 0)
    status = parse_publish_size (p, "manifest-bytes", &statement->publish.manifest_bytes);
  if (status == 0)
    status = parse_publish_size (p, "total-bytes", &statement->publish.total_bytes);
  if (status == 0)
    status = parse_publish_size (p, "chunks", &statement->publish.chunk_count);
  return status;
}

static int
parse_regions (Parser *p, DlStatement *statement)
{
  do
    {
      size_t n = statement->start.region_count;
      int status;

      statement->start.regions
          = talloc_realloc (p->context, statement->start.regions, const char *, n + 1);
      status = parse_name (p, &statement->start.regions[n]);
      if (status < 0)
        return status;
      statement->start.region_count++;
    }
  while (accept_symbol (p, ","));
  return 0;
}

static int
parse_weigh (Parser *p, DlStatement *statement)
{
  if (accept_word (p, "time"))
    statement->start.weigh = DL_ROLLOUT_WEIGH_TIME;
  else if (accept_word (p, "origin-bytes"))
    statement->start.weigh = DL_ROLLOUT_WEIGH_ORIGIN_BYTES;
  else
    return syntax_error (p, peek (p), "expected \"time\" or \"origin-bytes\"");
  return 0;
}

static int
parse_wave (Parser *p, DlStatement *statement)
{
  const DlToken *token = next_token (p);
  size_t length = strlen (token->text);
  uint64_t *percent = &statement->start.wave_percent;

  if (length > 0 && token->text[length - 1] == '%')
    length--;
  if (token->type != DL_TOKEN_WORD
      || dl_str_to_uint64 (dl_str_bytes (token->text, length), percent) < 0
      || *percent == 0 || *percent > PERCENT_MAX)
    return syntax_error (p, token, "expected a percentage from 1%% to 100%%");
  return 0;
}

static int
parse_rollout_start (Parser *p, DlStatement *statement)
{
  int status;

  statement->type = DL_STATEMENT_ROLLOUT_START;
  status = parse_name (p, &statement->start.name);
  if (status == 0)
    status = expect_word (p, "service");
  if (status == 0)
    status = parse_name (p, &statement->start.service);
  if (status == 0)
    status = expect_word (p, "version");
  if (status == 0)
    status = parse_name (p, &statement->start.version);
  if (status == 0 && accept_word (p, "in"))
    {
      status = expect_word (p, "region");
      if (status == 0)
        status = parse_regions (p, statement);
    }
  if (status == 0 && accept_word (p, "weigh"))
    status = parse_weigh (p, statement);
  if (status == 0 && accept_word (p, "wave"))
    status = parse_wave (p, statement);
  return status;
}

static int
parse_rollout (Parser *p, DlStatement *statement)
{
  const DlToken *token = next_token (p);

  if (is_word (token, "start"))
    return parse_rollout_start (p, statement);
  if (is_word (token, "pause"))
    statement->type = DL_STATEMENT_ROLLOUT_PAUSE;
  else if (is_word (token, "resume"))
    statement->type = DL_STATEMENT_ROLLOUT_RESUME;
  else if (is_word (token, "call"))
    {
      int status = expect_word (p, "off");

      if (status < 0)
        return status;
      statement->type = DL_STATEMENT_ROLLOUT_CALL_OFF;
    }
  else
    return syntax_error (p, token,
                         "expected \"start\", \"pause\", \"resume\" or \"call off\"");
  return parse_name (p, &statement->name);
}

static int
parse_in_force (Parser *p, DlStatement *statement)
{
  int status;

  statement->type = DL_STATEMENT_IN_FORCE;
  status = expect_word (p, "force");
  if (status == 0 && accept_word (p, "revision"))
    status = parse_number (p, &statement->in_force.revision);
  return status;
}

static int
parse_settings (Parser *p, DlStatement *statement)
{
  const DlToken *token = next_token (p);

  if (is_word (token, "in"))
    return parse_in_force (p, statement);
  if (is_word (token, "apply"))
    statement->type = DL_STATEMENT_SETTINGS_APPLY;
  else if (is_word (token, "check"))
    statement->type = DL_STATEMENT_SETTINGS_CHECK;
  else if (is_word (token, "diff"))
    statement->type = DL_STATEMENT_SETTINGS_DIFF;
  else
    return syntax_error (p, token,
                         "expected \"in force\", \"apply\", \"check\" or \"diff\"");
  return parse_text (p, "a file", &statement->name);
}

static int
parse_precondition (Parser *p, DlStatement *statement)
{
  const DlToken *token = peek (p);
  int status;

  if (!accept_word (p, "at"))
    return 0;
  if (dl_statement_is_query (statement))
    return syntax_error (p, token, "only commands take \"at revision\"");
  status = expect_word (p, "revision");
  if (status == 0)
    status = parse_number (p, &statement->at_revision);
  return status;
}

static int
parse_statement (Parser *p, DlStatement *statement)
{
  const DlToken *token = next_token (p);

  if (token->type == DL_TOKEN_END)
    {
      statement->type = DL_STATEMENT_EMPTY;
      return 0;
    }
  if (is_word (token, "show"))
    return parse_show (p, statement);
  if (is_word (token, "count"))
    return parse_count (p, statement);
  if (is_word (token, "settings"))
    return parse_settings (p, statement);
  if (is_word (token, "publish"))
    return parse_publish (p, statement);
  if (is_word (token, "rollout"))
    return parse_rollout (p, statement);
  if (is_word (token, "drain") || is_word (token, "undrain"))
    {
      statement->type = token->text[0] == 'd' ? DL_STATEMENT_DRAIN : DL_STATEMENT_UNDRAIN;
      return parse_name (p, &statement->name);
    }
  return syntax_error (
      p, token, "expected show, count, settings, publish, rollout, drain or undrain");
}

int
dl_statement_parse (const void *context,
                    DlStr text,
                    DlStatement **result,
                    DlSyntaxError *error)
{
  DlStatement *statement = talloc_zero (context, DlStatement);
  Parser parser = { .context = statement, .error = error };
  void *scratch = talloc_new (NULL);
  int status = dl_lex (scratch, text, &parser.list, &error->position, &error->text);

  if (status == 0)
    status = parse_statement (&parser, statement);
  if (status == 0)
    status = parse_precondition (&parser, statement);
  if (status == 0 && peek (&parser)->type != DL_TOKEN_END)
    status = syntax_error (&parser, peek (&parser), "unexpected \"%s\"",
                           peek (&parser)->text);
  if (status < 0)
    {
      error->text = talloc_strdup (context, error->text);
      talloc_free (statement);
    }
  else
    *result = statement;
  talloc_free (scratch);
  return status;
}

bool
dl_statement_is_query (const DlStatement *statement)
{
  switch (statement->type)
    {
    case DL_STATEMENT_EMPTY:
    case DL_STATEMENT_SHOW:
    case DL_STATEMENT_COUNT:
    case DL_STATEMENT_IN_FORCE:
    case DL_STATEMENT_SETTINGS_CHECK:
    case DL_STATEMENT_SETTINGS_DIFF:
      return true;
    case DL_STATEMENT_PUBLISH:
    case DL_STATEMENT_ROLLOUT_START:
    case DL_STATEMENT_ROLLOUT_PAUSE:
    case DL_STATEMENT_ROLLOUT_RESUME:
    case DL_STATEMENT_ROLLOUT_CALL_OFF:
    case DL_STATEMENT_DRAIN:
    case DL_STATEMENT_UNDRAIN:
    case DL_STATEMENT_SETTINGS_APPLY:
      return false;
    }
  return false;
}
