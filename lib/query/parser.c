/*
 * Parser of the operators' language.
 */
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/object_client.h"
#include "query/parser_private.h"

#define PERCENT_MAX   100
#define NAME_EXPECTED "expected a name of letters, digits, \".\", \"_\" and \"-\""

const DlToken *
dl_parser_peek (const DlParser *p)
{
  return &p->list.tokens[p->next];
}

const DlToken *
dl_parser_next (DlParser *p)
{
  const DlToken *token = dl_parser_peek (p);

  if (token->type != DL_TOKEN_END)
    p->next++;
  return token;
}

int
dl_parser_error (DlParser *p, const DlToken *token, const char *format, ...)
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

bool
dl_parser_is_word (const DlToken *token, const char *word)
{
  return token->type == DL_TOKEN_WORD && strcmp (token->text, word) == 0;
}

bool
dl_parser_is_symbol (const DlToken *token, const char *symbol)
{
  return token->type == DL_TOKEN_SYMBOL && strcmp (token->text, symbol) == 0;
}

bool
dl_parser_accept_word (DlParser *p, const char *word)
{
  if (!dl_parser_is_word (dl_parser_peek (p), word))
    return false;
  p->next++;
  return true;
}

bool
dl_parser_accept_symbol (DlParser *p, const char *symbol)
{
  if (!dl_parser_is_symbol (dl_parser_peek (p), symbol))
    return false;
  p->next++;
  return true;
}

int
dl_parser_expect_word (DlParser *p, const char *word)
{
  if (dl_parser_accept_word (p, word))
    return 0;
  return dl_parser_error (p, dl_parser_peek (p), "expected \"%s\"", word);
}

int
dl_parser_text (DlParser *p, const char *expected, const char **text)
{
  const DlToken *token = dl_parser_peek (p);

  if (token->type != DL_TOKEN_WORD && token->type != DL_TOKEN_STRING)
    return dl_parser_error (p, token, "expected %s", expected);
  *text = talloc_strdup (p->context, token->text);
  p->next++;
  return 0;
}

int
dl_parser_name (DlParser *p, const char **name)
{
  const DlToken *token = dl_parser_peek (p);

  if (token->type != DL_TOKEN_WORD || !dl_object_name_is_valid (dl_str (token->text)))
    return dl_parser_error (p, token, NAME_EXPECTED);
  return dl_parser_text (p, "a name", name);
}

int
dl_parser_number (DlParser *p, uint64_t *number)
{
  const DlToken *token = dl_parser_next (p);

  if (token->type != DL_TOKEN_WORD || dl_str_to_uint64 (dl_str (token->text), number) < 0)
    return dl_parser_error (p, token, "expected a whole number");
  return 0;
}

int
dl_parser_column (DlParser *p, DlTableId table, int *column)
{
  const DlToken *token = dl_parser_next (p);

  if (token->type != DL_TOKEN_WORD)
    return dl_parser_error (p, token, "expected a column");
  *column = dl_table_find_column (&dl_tables[table], token->text);
  if (*column < 0)
    return dl_parser_error (p, token, "table %s has no column \"%s\"",
                            dl_tables[table].name, token->text);
  return 0;
}

/* -------- queries -------- */

static int
parse_table (DlParser *p, DlTableId *table)
{
  const DlToken *token = dl_parser_next (p);
  int found = token->type == DL_TOKEN_WORD ? dl_table_find (token->text) : -ENOENT;

  if (found < 0)
    return dl_parser_error (
        p, token,
        "expected a table: hosts, rollouts, versions, upstreams, entries, "
        "leases, settings, failures, commands or drains");
  *table = found;
  return 0;
}

static int
parse_columns (DlParser *p, DlSelect *select)
{
  do
    {
      int status;

      select->columns
          = talloc_realloc (p->context, select->columns, int, select->column_count + 1);
      status
          = dl_parser_column (p, select->table, &select->columns[select->column_count]);
      if (status < 0)
        return status;
      select->column_count++;
    }
  while (dl_parser_accept_symbol (p, ","));
  return 0;
}

static int
parse_order (DlParser *p, DlSelect *select)
{
  int status = dl_parser_expect_word (p, "by");

  if (status == 0)
    status = dl_parser_column (p, select->table, &select->order_column);
  if (status == 0)
    select->descending = dl_parser_accept_word (p, "desc");
  return status;
}

static int
parse_limit (DlParser *p, DlSelect *select)
{
  const DlToken *token = dl_parser_peek (p);
  int status = dl_parser_number (p, &select->limit);

  if (status == 0 && select->limit == 0)
    return dl_parser_error (p, token, "the limit must be at least 1");
  return status;
}

static int
parse_show (DlParser *p, DlStatement *statement)
{
  DlSelect *select = &statement->select;
  int status;

  statement->type = DL_STATEMENT_SHOW;
  select->order_column = -1;
  status = parse_table (p, &select->table);
  if (status == 0 && dl_parser_accept_word (p, "columns"))
    status = parse_columns (p, select);
  if (status == 0 && dl_parser_accept_word (p, "where"))
    status = dl_parser_condition (p, select->table, &select->where);
  if (status == 0 && dl_parser_accept_word (p, "order"))
    status = parse_order (p, select);
  if (status == 0 && dl_parser_accept_word (p, "limit"))
    status = parse_limit (p, select);
  return status;
}

static int
parse_count (DlParser *p, DlStatement *statement)
{
  DlSelect *select = &statement->select;
  int status;

  statement->type = DL_STATEMENT_COUNT;
  select->order_column = -1;
  status = parse_table (p, &select->table);
  if (status == 0 && dl_parser_accept_word (p, "where"))
    status = dl_parser_condition (p, select->table, &select->where);
  return status;
}

/* -------- commands -------- */

static int
parse_digest (DlParser *p, const char **text)
{
  const DlToken *token = dl_parser_peek (p);
  DlDigest digest;

  if (token->type != DL_TOKEN_WORD
      || dl_digest_from_hex (dl_str (token->text), &digest) < 0)
    return dl_parser_error (p, token, "expected a digest of %d hexadecimal digits",
                            DL_DIGEST_HEX_BYTES - 1);
  return dl_parser_text (p, "a digest", text);
}

static int
parse_publish_size (DlParser *p, const char *word, uint64_t *number)
{
  int status = dl_parser_expect_word (p, word);

  return status < 0 ? status : dl_parser_number (p, number);
}

static int
parse_publish (DlParser *p, DlStatement *statement)
{
  int status;

  statement->type = DL_STATEMENT_PUBLISH;
  status = parse_digest (p, &statement->publish.version);
  if (status == 0)
    status = dl_parser_expect_word (p, "as");
  if (status == 0)
    status = dl_parser_name (p, &statement->publish.label);
  if (status == 0)
    status = dl_parser_expect_word (p, "model");
  if (status == 0)
    status = dl_parser_name (p, &statement->publish.model);
  if (status == 0)
    status = parse_publish_size (p, "manifest-bytes", &statement->publish.manifest_bytes);
  if (status == 0)
    status = parse_publish_size (p, "total-bytes", &statement->publish.total_bytes);
  if (status == 0)
    status = parse_publish_size (p, "chunks", &statement->publish.chunk_count);
  return status;
}

static int
parse_regions (DlParser *p, DlStatement *statement)
{
  do
    {
      size_t n = statement->start.region_count;
      int status;

      statement->start.regions
          = talloc_realloc (p->context, statement->start.regions, const char *, n + 1);
      status = dl_parser_name (p, &statement->start.regions[n]);
      if (status < 0)
        return status;
      statement->start.region_count++;
    }
  while (dl_parser_accept_symbol (p, ","));
  return 0;
}

static int
parse_weigh (DlParser *p, DlStatement *statement)
{
  if (dl_parser_accept_word (p, "time"))
    statement->start.weigh = DL_ROLLOUT_WEIGH_TIME;
  else if (dl_parser_accept_word (p, "origin-bytes"))
    statement->start.weigh = DL_ROLLOUT_WEIGH_ORIGIN_BYTES;
  else
    return dl_parser_error (p, dl_parser_peek (p),
                            "expected \"time\" or \"origin-bytes\"");
  return 0;
}

static int
parse_wave (DlParser *p, DlStatement *statement)
{
  const DlToken *token = dl_parser_next (p);
  size_t length = strlen (token->text);
  uint64_t *percent = &statement->start.wave_percent;

  if (length > 0 && token->text[length - 1] == '%')
    length--;
  if (token->type != DL_TOKEN_WORD
      || dl_str_to_uint64 (dl_str_bytes (token->text, length), percent) < 0
      || *percent == 0 || *percent > PERCENT_MAX)
    return dl_parser_error (p, token, "expected a percentage from 1%% to 100%%");
  return 0;
}

static int
parse_rollout_start (DlParser *p, DlStatement *statement)
{
  int status;

  statement->type = DL_STATEMENT_ROLLOUT_START;
  status = dl_parser_name (p, &statement->start.name);
  if (status == 0)
    status = dl_parser_expect_word (p, "service");
  if (status == 0)
    status = dl_parser_name (p, &statement->start.service);
  if (status == 0)
    status = dl_parser_expect_word (p, "version");
  if (status == 0)
    status = dl_parser_name (p, &statement->start.version);
  if (status == 0 && dl_parser_accept_word (p, "in"))
    {
      status = dl_parser_expect_word (p, "region");
      if (status == 0)
        status = parse_regions (p, statement);
    }
  if (status == 0 && dl_parser_accept_word (p, "weigh"))
    status = parse_weigh (p, statement);
  if (status == 0 && dl_parser_accept_word (p, "wave"))
    status = parse_wave (p, statement);
  return status;
}

static int
parse_rollout (DlParser *p, DlStatement *statement)
{
  const DlToken *token = dl_parser_next (p);

  if (dl_parser_is_word (token, "start"))
    return parse_rollout_start (p, statement);
  if (dl_parser_is_word (token, "pause"))
    statement->type = DL_STATEMENT_ROLLOUT_PAUSE;
  else if (dl_parser_is_word (token, "resume"))
    statement->type = DL_STATEMENT_ROLLOUT_RESUME;
  else if (dl_parser_is_word (token, "call"))
    {
      int status = dl_parser_expect_word (p, "off");

      if (status < 0)
        return status;
      statement->type = DL_STATEMENT_ROLLOUT_CALL_OFF;
    }
  else
    return dl_parser_error (p, token,
                            "expected \"start\", \"pause\", \"resume\" or \"call off\"");
  return dl_parser_name (p, &statement->name);
}

static int
parse_in_force (DlParser *p, DlStatement *statement)
{
  int status;

  statement->type = DL_STATEMENT_IN_FORCE;
  status = dl_parser_expect_word (p, "force");
  if (status == 0 && dl_parser_accept_word (p, "revision"))
    status = dl_parser_number (p, &statement->in_force.revision);
  return status;
}

static int
parse_settings (DlParser *p, DlStatement *statement)
{
  const DlToken *token = dl_parser_next (p);

  if (dl_parser_is_word (token, "in"))
    return parse_in_force (p, statement);
  if (dl_parser_is_word (token, "apply"))
    statement->type = DL_STATEMENT_SETTINGS_APPLY;
  else if (dl_parser_is_word (token, "check"))
    statement->type = DL_STATEMENT_SETTINGS_CHECK;
  else if (dl_parser_is_word (token, "diff"))
    statement->type = DL_STATEMENT_SETTINGS_DIFF;
  else
    return dl_parser_error (p, token,
                            "expected \"in force\", \"apply\", \"check\" or \"diff\"");
  return dl_parser_text (p, "a file", &statement->name);
}

static int
parse_precondition (DlParser *p, DlStatement *statement)
{
  const DlToken *token = dl_parser_peek (p);
  int status;

  if (!dl_parser_accept_word (p, "at"))
    return 0;
  if (dl_statement_is_query (statement))
    return dl_parser_error (p, token, "only commands take \"at revision\"");
  status = dl_parser_expect_word (p, "revision");
  if (status == 0)
    status = dl_parser_number (p, &statement->at_revision);
  return status;
}

static int
parse_statement (DlParser *p, DlStatement *statement)
{
  const DlToken *token = dl_parser_next (p);

  if (token->type == DL_TOKEN_END)
    {
      statement->type = DL_STATEMENT_EMPTY;
      return 0;
    }
  if (dl_parser_is_word (token, "show"))
    return parse_show (p, statement);
  if (dl_parser_is_word (token, "count"))
    return parse_count (p, statement);
  if (dl_parser_is_word (token, "settings"))
    return parse_settings (p, statement);
  if (dl_parser_is_word (token, "publish"))
    return parse_publish (p, statement);
  if (dl_parser_is_word (token, "rollout"))
    return parse_rollout (p, statement);
  if (dl_parser_is_word (token, "drain") || dl_parser_is_word (token, "undrain"))
    {
      statement->type = token->text[0] == 'd' ? DL_STATEMENT_DRAIN : DL_STATEMENT_UNDRAIN;
      return dl_parser_name (p, &statement->name);
    }
  return dl_parser_error (
      p, token, "expected show, count, settings, publish, rollout, drain or undrain");
}

int
dl_statement_parse (const void *context,
                    DlStr text,
                    DlStatement **result,
                    DlSyntaxError *error)
{
  DlStatement *statement = talloc_zero (context, DlStatement);
  DlParser parser = { .context = statement, .error = error };
  void *scratch = talloc_new (NULL);
  int status = dl_lex (scratch, text, &parser.list, &error->position, &error->text);

  if (status == 0)
    status = parse_statement (&parser, statement);
  if (status == 0)
    status = parse_precondition (&parser, statement);
  if (status == 0 && dl_parser_peek (&parser)->type != DL_TOKEN_END)
    status = dl_parser_error (&parser, dl_parser_peek (&parser), "unexpected \"%s\"",
                              dl_parser_peek (&parser)->text);
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
