/*
 * The interactive prompt, with history and completion by libedit.
 */
#include <editline/readline.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daisyctl.h"
#include "query/schema.h"

#define PROMPT "daisyloft> "

static const char *const keywords[] = {
  "show",   "count",        "settings", "publish", "rollout",  "drain",   "undrain",
  "where",  "and",          "or",       "order",   "by",       "desc",    "limit",
  "in",     "force",        "apply",    "check",   "diff",     "start",   "pause",
  "resume", "call",         "off",      "service", "version",  "region",  "weigh",
  "time",   "origin-bytes", "wave",     "at",      "revision", "columns", "as",
  "ask",    "dump",         "screen",   "compare", "quit",
};

/* All words that completion offers: keywords, tables and columns. */
static GPtrArray *words;

static void
add_word (const char *word)
{
  for (guint i = 0; i < words->len; i++)
    if (strcmp (g_ptr_array_index (words, i), word) == 0)
      return;
  g_ptr_array_add (words, (char *)word);
}

static void
collect_words (void)
{
  words = g_ptr_array_new ();
  for (size_t i = 0; i < G_N_ELEMENTS (keywords); i++)
    add_word (keywords[i]);
  for (int t = 0; t < DL_TABLES; t++)
    {
      if (dl_tables[t].name != NULL)
        add_word (dl_tables[t].name);
      for (size_t c = 0; c < dl_tables[t].column_count; c++)
        add_word (dl_tables[t].columns[c].name);
    }
}

/* Returns the next completion of TEXT, or NULL.  libedit passes STATE 0 to start over
 * and frees the result. */
static char *
next_completion (const char *text, int state)
{
  static guint next;

  if (state == 0)
    next = 0;
  while (next < words->len)
    {
      const char *word = g_ptr_array_index (words, next++);

      if (g_str_has_prefix (word, text))
        return strdup (word);
    }
  return NULL;
}

static char **
complete (const char *text, int start, int end)
{
  rl_attempted_completion_over = 1;
  return rl_completion_matches (text, next_completion);
}

ExitStatus
prompt_run (const Options *options)
{
  ExitStatus status = EXIT_OK;
  char *line;

  collect_words ();
  rl_readline_name = "daisyctl";
  rl_attempted_completion_function = complete;
  using_history ();
  while ((line = readline (PROMPT)) != NULL)
    {
      bool quit = strcmp (g_strstrip (line), "quit") == 0;

      if (line[0] != '\0' && !quit)
        {
          add_history (line);
          status = run_text (options, line);
        }
      free (line);
      if (quit)
        break;
    }
  g_ptr_array_free (words, TRUE);
  return status;
}
