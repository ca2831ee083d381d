/*
 * The state of the parser and its basic steps: parser.c parses statements,
 * parser_condition.c their conditions.
 */
#ifndef DL_QUERY_PARSER_PRIVATE_H
#define DL_QUERY_PARSER_PRIVATE_H

#include "query/lexer.h"
#include "query/statement.h"

/* A recursive-descent parser with one token of look-ahead.  The parse functions return 0,
 * or -EINVAL with *ERROR set. */
typedef struct
{
  const void *context; /* talloc context of the statement */
  DlTokenList list;
  size_t next;
  unsigned nesting;
  DlSyntaxError *error;
} DlParser;

const DlToken *dl_parser_peek (const DlParser *p);
/* Returns the next token and advances, but not past the END token. */
const DlToken *dl_parser_next (DlParser *p);
/* Sets the error at TOKEN and returns -EINVAL. */
int dl_parser_error (DlParser *p, const DlToken *token, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
bool dl_parser_is_word (const DlToken *token, const char *word);
bool dl_parser_is_symbol (const DlToken *token, const char *symbol);
/* Advances past WORD, or SYMBOL, when it is the next token; returns whether it was. */
bool dl_parser_accept_word (DlParser *p, const char *word);
bool dl_parser_accept_symbol (DlParser *p, const char *symbol);
int dl_parser_expect_word (DlParser *p, const char *word);
/* Parses a word or string; *TEXT is a talloc child of the statement. */
int dl_parser_text (DlParser *p, const char *expected, const char **text);
/* Parses the name of an object. */
int dl_parser_name (DlParser *p, const char **name);
int dl_parser_number (DlParser *p, uint64_t *number);
/* Parses the name of a column of TABLE into its index. */
int dl_parser_column (DlParser *p, DlTableId table, int *column);
/* Parses a condition on the rows of TABLE; "and" has a higher precedence than "or". */
int dl_parser_condition (DlParser *p, DlTableId table, DlCondition **result);

#endif
