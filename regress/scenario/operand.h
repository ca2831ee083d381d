/* Operands of conditions and figures, and what else checks read from records. */
#ifndef SCENARIO_OPERAND_H
#define SCENARIO_OPERAND_H

#include "scenario.h"

/* Value of an operand.  TEXT is NULL for a number; whoever holds the value frees it. */
typedef struct
{
  bool known;
  double number;
  char *text;
} Value;

/* Reads WORD: a number, an operand of the language, or else a text. */
Value operand_read (Scenario *s, const char *word);
/* Evaluates OPERAND [+|-|*|/ OPERAND]... from left to right; moves *WORDS past it. */
Value operand_read_expression (Scenario *s, char ***words);
/* The value as text, which the caller frees. */
char *operand_text (const Value *value);
/* The text at PATH as json_at finds it, "" when it is absent.  OBJECT keeps it. */
const char *operand_text_at (json_object *object, const char *path);

#endif
