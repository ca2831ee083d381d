/*
 * Splits a statement of the operators' language into tokens, with GLib's GScanner.
 */
#ifndef DL_LEXER_H
#define DL_LEXER_H

#include "kernel/str.h"

#define DL_STATEMENT_MAX_BYTES 65536

typedef enum
{
  DL_TOKEN_END,
  DL_TOKEN_WORD,   /* keyword, name, number, digest, path or address */
  DL_TOKEN_STRING, /* quoted; TEXT is without the quotes */
  DL_TOKEN_SYMBOL, /* one of = != < > <= >= ~ ( ) , */
} DlTokenType;

typedef struct
{
  DlTokenType type;
  const char *text; /* talloc child of the list's tokens */
  size_t position;  /* of its first byte in the statement */
} DlToken;

/* The tokens of one statement; the last is DL_TOKEN_END. */
typedef struct
{
  size_t count;
  DlToken *tokens;
} DlTokenList;

/* Splits TEXT into *LIST.  Text from "#" on is a comment.  Returns 0, or -EINVAL with a
 * message *ERROR and the offset *POSITION of the byte that it is about.  The tokens and
 * the message are talloc children of CONTEXT. */
int dl_lex (const void *context,
            DlStr text,
            DlTokenList *list,
            size_t *position,
            const char **error);

#endif
