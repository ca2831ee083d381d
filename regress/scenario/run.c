/*
 * Parses a scenario file and runs its statements in order; the small statements.
 */
#include <stdio.h>
#include <string.h>

#include "scenario.h"

/* -------- small statements -------- */

/* wait TIME */
static bool
statement_wait (Scenario *s, char **words, unsigned count)
{
  uint64_t ms = 0;

  return scn_parse_time (s, words[1], &ms) && scn_sleep (s, ms);
}

/* say TEXT */
static bool
statement_say (Scenario *s, char **words, unsigned count)
{
  char *text = g_strjoinv (" ", words + 1);

  printf ("%s\n", text);
  fflush (stdout);
  g_free (text);
  return true;
}

/* file NAME TEXT */
static bool
statement_file (Scenario *s, char **words, unsigned count)
{
  char *path = g_build_filename (s->folder, words[1], NULL);
  bool ok = g_file_set_contents (path, words[2], -1, NULL)
            || scn_fail (s, "cannot write %s", path);

  g_free (path);
  return ok;
}

/* mark NAME: sets the start of elapsed:NAME. */
static bool
statement_mark (Scenario *s, char **words, unsigned count)
{
  uint64_t now = scn_now_ms ();

  g_hash_table_replace (s->marks, g_strdup (words[1]), g_memdup2 (&now, sizeof now));
  return true;
}

/* set NAME VALUE; "default NAME VALUE" sets the variable only if it is not set yet. */
static bool
statement_set (Scenario *s, char **words, unsigned count)
{
  if (strcmp (words[0], "set") == 0 || !g_hash_table_contains (s->variables, words[1]))
    g_hash_table_replace (s->variables, g_strdup (words[1]), g_strdup (words[2]));
  return true;
}

/* -------- running a file -------- */

/* include FILE, relative to the directory of the current file */
static bool
statement_include (Scenario *s, char **words, unsigned count)
{
  const char *file = s->file;
  unsigned line = s->line;
  char *folder = g_path_get_dirname (file);
  char *path = g_build_filename (folder, words[1], NULL);
  bool ok = scn_run_file (s, path);

  /* After a failure, messages keep the file and line in the included file. */
  if (ok)
    {
      s->file = file;
      s->line = line;
    }
  g_free (folder);
  g_free (path);
  return ok;
}

static const struct
{
  const char *name;
  unsigned words; /* minimum, with the name */
  bool (*run) (Scenario *s, char **words, unsigned count);
} statements[] = {
  { "region", 3, statement_region },
  { "service", 3, statement_service },
  { "organisation", 3, statement_organisation },
  { "defaults", 3, statement_defaults },
  { "entry", 3, statement_entry },
  { "slot", 4, statement_slot },
  { "entries", 2, statement_many },
  { "slots", 3, statement_many },
  { "store", 1, statement_store },
  { "relays", 2, statement_relays },
  { "start", 1, statement_start },
  { "stop", 2, statement_signal },
  { "kill", 2, statement_signal },
  { "freeze", 2, statement_signal },
  { "thaw", 2, statement_signal },
  { "restart", 2, statement_signal },
  { "leave", 2, statement_signal },
  { "fault", 3, statement_fault },
  { "link", 4, statement_link },
  { "version", 4, statement_version },
  { "publish", 2, statement_publish },
  { "rollout", 4, statement_rollout },
  { "put", 3, statement_put },
  { "load", 3, statement_load },
  { "call", 4, statement_call },
  { "ctl", 3, statement_ctl },
  { "expect", 4, statement_expect },
  { "during", 4, statement_during },
  { "check", 2, statement_check },
  { "figure", 4, statement_figure },
  { "save", 3, statement_save },
  { "wait", 2, statement_wait },
  { "say", 2, statement_say },
  { "file", 3, statement_file },
  { "mark", 2, statement_mark },
  { "set", 3, statement_set },
  { "default", 3, statement_set },
  { "include", 2, statement_include },
};

/* Replaces $NAME by the variable's value; leaves it as it is when there is no such
 * variable.
 */
static gboolean
replace_variable (const GMatchInfo *match, GString *result, gpointer data)
{
  Scenario *s = data;
  char *name = g_match_info_fetch (match, 1);
  const char *value = g_hash_table_lookup (s->variables, name);

  if (value != NULL)
    g_string_append (result, value);
  else
    g_string_append_printf (result, "$%s", name);
  g_free (name);
  return FALSE;
}

static void
replace_variables (Scenario *s, char **words)
{
  GRegex *regex = g_regex_new ("\\$([A-Za-z_][A-Za-z0-9_]*)", 0, 0, NULL);

  for (; *words != NULL; words++)
    {
      char *text
          = g_regex_replace_eval (regex, *words, -1, 0, 0, replace_variable, s, NULL);

      g_free (*words);
      *words = text;
    }
  g_regex_unref (regex);
}

static bool
run_line (Scenario *s, const char *line)
{
  char **words = NULL;
  int count = 0;
  GError *error = NULL;
  bool ok = false;
  unsigned i = 0;

  if (!g_shell_parse_argv (line, &count, &words, &error))
    {
      ok = g_error_matches (error, G_SHELL_ERROR, G_SHELL_ERROR_EMPTY_STRING)
           || scn_fail (s, "%s", error->message);
      g_error_free (error);
      return ok;
    }
  replace_variables (s, words);
  while (i < G_N_ELEMENTS (statements) && strcmp (statements[i].name, words[0]) != 0)
    i++;
  if (i == G_N_ELEMENTS (statements))
    scn_fail (s, "unknown statement: %s", words[0]);
  else if ((unsigned)count < statements[i].words)
    scn_fail (s, "%s needs at least %u arguments", words[0], statements[i].words - 1);
  else
    ok = statements[i].run (s, words, (unsigned)count) && !s->failed;
  g_strfreev (words);
  return ok;
}

bool
scn_run_file (Scenario *s, const char *path)
{
  char *text = NULL;
  char **lines;
  bool ok = true;

  s->file = g_intern_string (path);
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return scn_fail (s, "cannot read the file");
  lines = g_strsplit (text, "\n", -1);
  for (unsigned i = 0; ok && lines[i] != NULL; i++)
    {
      GString *line = g_string_new (lines[i]);

      s->line = i + 1;
      while (g_str_has_suffix (line->str, "\\") && lines[i + 1] != NULL)
        {
          g_string_truncate (line, line->len - 1);
          g_string_append (line, lines[++i]);
        }
      ok = run_line (s, line->str);
      g_string_free (line, TRUE);
    }
  g_strfreev (lines);
  g_free (text);
  return ok;
}
