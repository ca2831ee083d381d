/*
 * Checks: conditions over operands, and the statements that check, print or save them.
 */
#include <stdio.h>
#include <string.h>

#include "operand.h"
#include "property.h"

#define POLL_MS           150
#define PRINT_INTERVAL_MS 1000

/* -------- conditions -------- */

static bool
holds (const Value *a, const char *operation, const Value *b)
{
  double order = a->number - b->number;

  if (!a->known || !b->known)
    return false;
  if (a->text != NULL || b->text != NULL)
    order = g_strcmp0 (a->text, b->text);
  if (strcmp (operation, "==") == 0)
    return order == 0;
  if (strcmp (operation, "!=") == 0)
    return order != 0;
  if (strcmp (operation, "<") == 0)
    return order < 0;
  if (strcmp (operation, "<=") == 0)
    return order <= 0;
  if (strcmp (operation, ">") == 0)
    return order > 0;
  return strcmp (operation, ">=") == 0 && order >= 0;
}

/* Evaluates CONDITION [and CONDITION]... up to "showing" or the end.  *SEEN is set to a
 * text with the values, which the caller frees. */
static bool
condition_holds (Scenario *s, char **words, char **seen)
{
  GString *text = g_string_new (NULL);
  bool all = true;

  while (*words != NULL && strcmp (*words, "showing") != 0)
    {
      Value a = operand_read_expression (s, &words);
      const char *operation = *words;
      Value b = { 0 };
      char *a_text = operand_text (&a);
      char *b_text;

      if (operation != NULL && words[1] != NULL)
        {
          words++;
          b = operand_read_expression (s, &words);
        }
      b_text = operand_text (&b);
      g_string_append_printf (text, "%s%s %s %s", text->len > 0 ? " and " : "", a_text,
                              operation != NULL ? operation : "?", b_text);
      all = all && operation != NULL && holds (&a, operation, &b);
      g_free (a.text);
      g_free (b.text);
      g_free (a_text);
      g_free (b_text);
      if (*words != NULL && strcmp (*words, "and") == 0)
        words++;
    }
  *seen = g_string_free (text, FALSE);
  return all;
}

/* Prints the operands after "showing", as a progress report. */
static void
print_operands (Scenario *s, char **words)
{
  while (*words != NULL && strcmp (*words, "showing") != 0)
    words++;
  if (*words == NULL)
    return;
  printf ("   ");
  for (words++; *words != NULL; words++)
    {
      Value value = operand_read (s, *words);
      char *text = operand_text (&value);

      printf (" %s=%s", *words, text);
      g_free (text);
      g_free (value.text);
    }
  printf ("\n");
  fflush (stdout);
}

/* expect within TIME CONDITION [and CONDITION]... [showing OPERAND...] */
bool
statement_expect (Scenario *s, char **words, unsigned count)
{
  uint64_t limit = 0;
  uint64_t deadline;
  uint64_t printed_ms = 0;
  char *seen = NULL;
  bool held;

  if (strcmp (words[1], "within") != 0 || !scn_parse_time (s, words[2], &limit))
    return scn_fail (s, "expect within TIME CONDITION");
  deadline = scn_now_ms () + limit;
  while (!(held = condition_holds (s, words + 3, &seen)) && scn_now_ms () < deadline
         && !s->failed)
    {
      g_free (seen);
      if (scn_now_ms () >= printed_ms + PRINT_INTERVAL_MS)
        {
          print_operands (s, words + 3);
          printed_ms = scn_now_ms ();
        }
      scn_sleep (s, POLL_MS);
    }
  print_operands (s, words + 3);
  if (!held && !s->failed)
    scn_fail (s, "condition not met within %s; seen: %s", words[2], seen);
  g_free (seen);
  return held && !s->failed;
}

/* during TIME CONDITION [and CONDITION]...: it must hold at every poll. */
bool
statement_during (Scenario *s, char **words, unsigned count)
{
  uint64_t limit = 0;
  uint64_t deadline;
  char *seen = NULL;
  bool held = true;

  if (!scn_parse_time (s, words[1], &limit))
    return false;
  deadline = scn_now_ms () + limit;
  while (held && scn_now_ms () < deadline && !s->failed)
    {
      g_free (seen);
      held = condition_holds (s, words + 2, &seen);
      scn_sleep (s, POLL_MS);
    }
  if (!held)
    scn_fail (s, "condition not met all the time; seen: %s", seen);
  g_free (seen);
  return held && !s->failed;
}

/* -------- statements -------- */

/* check PROPERTY..., or check CONDITION */
bool
statement_check (Scenario *s, char **words, unsigned count)
{
  char *seen = NULL;
  bool held = true;

  if (property_find (words[1]) == NULL)
    {
      held = condition_holds (s, words + 1, &seen);
      if (!held)
        scn_fail (s, "condition not met; seen: %s", seen);
      g_free (seen);
      return held;
    }
  for (unsigned i = 1; held && i < count; i++)
    {
      PropertyFunc check = property_find (words[i]);

      held
          = check != NULL ? check (s) : scn_fail (s, "no property is named %s", words[i]);
    }
  return held;
}

/* figure NAME EXPRESSION UNIT */
bool
statement_figure (Scenario *s, char **words, unsigned count)
{
  char *unit = words[count - 1];
  char **at = words + 2;
  Value value;

  words[count - 1] = NULL;
  value = operand_read_expression (s, &at);
  words[count - 1] = unit;
  if (!value.known || value.text != NULL)
    {
      g_free (value.text);
      return scn_fail (s, "%s is not a number", words[2]);
    }
  printf ("figure %s %.6g %s\n", words[1], value.number, unit);
  fflush (stdout);
  return true;
}

/* save VARIABLE EXPRESSION */
bool
statement_save (Scenario *s, char **words, unsigned count)
{
  char **at = words + 2;
  Value value = operand_read_expression (s, &at);

  g_hash_table_replace (s->variables, g_strdup (words[1]), operand_text (&value));
  g_free (value.text);
  return value.known || scn_fail (s, "%s is unknown", words[2]);
}
