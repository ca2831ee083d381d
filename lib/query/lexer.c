#include "query/lexer.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#define WORD_FIRST G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "_/."
#define WORD_NEXT  WORD_FIRST "-:%@+"

static const GScannerConfig scanner_config = {
  .cset_skip_characters = (char *)" ",
  .cset_identifier_first = (char *)WORD_FIRST,
  .cset_identifier_nth = (char *)WORD_NEXT,
  .cpair_comment_single = (char *)"#\n",
  .case_sensitive = TRUE,
  .skip_comment_single = TRUE,
  .scan_identifier = TRUE,
  .scan_identifier_1char = TRUE,
  .scan_string_sq = TRUE,
  .scan_string_dq = TRUE,
  .char_2_token = TRUE,
};

static int
set_error (const void *context,
           size_t at,
           const char *reason,
           size_t *position,
           const char **error)
{
  *position = at;
  *error = talloc_strdup (context, reason);
  return -EINVAL;
}

/* Returns a copy with each whitespace character replaced by a space, so that GScanner's
 * position is the byte offset: it expands tabs and restarts at 0 on a new line. */
static char *
replace_whitespace (const void *context, DlStr text)
{
  char *copy = dl_str_dup (context, text);

  for (size_t i = 0; i < text.length; i++)
    if (g_ascii_isspace (copy[i]))
      copy[i] = ' ';
  return copy;
}

static size_t
skip_blanks (const char *text, size_t at)
{
  while (text[at] == ' ')
    at++;
  return at;
}

static void
append_token (DlTokenList *list, DlTokenType type, const char *text, size_t position)
{
  void *context = talloc_parent (list->tokens);

  list->tokens = talloc_realloc (context, list->tokens, DlToken, list->count + 1);
  list->tokens[list->count++] = (DlToken){
    .type = type,
    .text = talloc_strdup (list->tokens, text),
    .position = position,
  };
}

/* Appends "=" to the last token when that is the "!", "<" or ">" directly before it.
 * Returns false when it is not. */
static bool
join_symbol (DlTokenList *list, const char *text, size_t start)
{
  DlToken *last = list->count > 0 ? &list->tokens[list->count - 1] : NULL;

  if (last == NULL || text[start] != '=' || last->type != DL_TOKEN_SYMBOL
      || last->position + 1 != start || strlen (last->text) != 1
      || strchr ("!<>", last->text[0]) == NULL)
    return false;
  last->text = talloc_asprintf (list->tokens, "%s=", last->text);
  return true;
}

static int
scan_tokens (GScanner *scanner,
             const void *context,
             const char *text,
             DlTokenList *list,
             size_t *position,
             const char **error)
{
  size_t end = 0;

  for (;;)
    {
      size_t start = skip_blanks (text, end);
      GTokenType type = g_scanner_get_next_token (scanner);

      end = g_scanner_cur_position (scanner);
      if (type == G_TOKEN_EOF)
        {
          append_token (list, DL_TOKEN_END, "", start);
          return 0;
        }
      if (type == G_TOKEN_IDENTIFIER)
        append_token (list, DL_TOKEN_WORD, scanner->value.v_identifier, start);
      else if (type == G_TOKEN_STRING)
        append_token (list, DL_TOKEN_STRING, scanner->value.v_string, start);
      else if (type == G_TOKEN_ERROR)
        return set_error (context, start,
                          scanner->value.v_error == G_ERR_UNEXP_EOF_IN_STRING
                              ? "the string has no closing quote"
                              : "unexpected character",
                          position, error);
      else if (type < 128 && strchr ("=!<>~(),", (int)type) != NULL)
        {
          const char symbol[] = { (char)type, '\0' };

          if (!join_symbol (list, text, start))
            append_token (list, DL_TOKEN_SYMBOL, symbol, start);
        }
      else
        return set_error (context, start, "unexpected character", position, error);
    }
}

int
dl_lex (const void *context,
        DlStr text,
        DlTokenList *list,
        size_t *position,
        const char **error)
{
  void *scratch = talloc_new (NULL);
  const char *nul = text.length > 0 ? memchr (text.data, '\0', text.length) : NULL;
  char *copy;
  GScanner *scanner;
  int status;

  list->count = 0;
  list->tokens = talloc_array (context, DlToken, 0);
  if (text.length > DL_STATEMENT_MAX_BYTES)
    status = set_error (context, DL_STATEMENT_MAX_BYTES, "the statement is too long",
                        position, error);
  else if (nul != NULL)
    status = set_error (context, (size_t)(nul - text.data), "unexpected character",
                        position, error);
  else
    {
      copy = replace_whitespace (scratch, text);
      scanner = g_scanner_new (&scanner_config);
      g_scanner_input_text (scanner, copy, (guint)text.length);
      status = scan_tokens (scanner, context, copy, list, position, error);
      g_scanner_destroy (scanner);
    }
  talloc_free (scratch);
  return status;
}
