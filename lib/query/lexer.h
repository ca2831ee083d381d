/*
 * Words of the operators' language, by GLib's GScanner.
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
  const char *text; /* talloc string below the list's context */
  size_t position;  /* of its first byte in the statement */
} DlToken;

/* The tokens of one statement; the last one is an END. */
typedef struct
{
  size_t count;
  DlToken *tokens;
} DlTokenList;

/* Returns 0 or -EINVAL with *ERROR below CONTEXT and *POSITION of the offending byte.
 * Text after "#" is a comment. */
int dl_lex (const void *context,
            DlStr text,
            DlTokenList *list,
            size_t *position,
            const char **error);

#endif
