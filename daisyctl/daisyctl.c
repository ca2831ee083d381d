/*
 * daisyctl: command-line options, and the sources of statements: arguments, a script,
 * standard input or the prompt.
 */
#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "daisyctl.h"
#include "kernel/address.h"
#include "kernel/manifest.h"
#include "kernel/program.h"

#define ENTRY_VARIABLE      "DAISYCTL_ENTRIES"
#define KEY_VARIABLE        "DAISYCTL_KEY"
#define KEY_FILE_VARIABLE   "DAISYCTL_KEY_FILE"
#define CHUNK_DEFAULT_BYTES (1 << 20)

/* Command-line options as given, not yet checked. */
typedef struct
{
  char **entries;
  char *key;
  char *key_file;
  char *by;
  char *id;
  gint64 at;
  gboolean json;
  gboolean once;
  char *origin;
  char *model;
  gint64 chunk_bytes;
  char *script;
  gboolean version;
} CommandLine;

static ExitStatus
usage_error (const char *message, const char *argument)
{
  fprintf (stderr, "daisyctl: ");
  fprintf (stderr, "%s: %s\n", message, argument);
  return EXIT_USAGE;
}

static gboolean
parse_command_line (CommandLine *line, int *argc, char ***argv, GError **error)
{
  const GOptionEntry entries[] = {
    { "entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &line->entries,
      "Use the entry at ADDRESS; if repeated, the next one when it is down", "ADDRESS" },
    { "key", 'k', 0, G_OPTION_ARG_STRING, &line->key, "The operator key", "KEY" },
    { "key-file", 'K', 0, G_OPTION_ARG_FILENAME, &line->key_file,
      "Read the operator key from FILE", "FILE" },
    { "by", 'b', 0, G_OPTION_ARG_STRING, &line->by, "The operator's name", "NAME" },
    { "id", 'i', 0, G_OPTION_ARG_STRING, &line->id, "The command's id", "ID" },
    { "at", 'a', 0, G_OPTION_ARG_INT64, &line->at,
      "Query at a revision, or run a command only if nothing changed since", "REVISION" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &line->json, "Print JSON", NULL },
    { "once", '1', 0, G_OPTION_ARG_NONE, &line->once, "Print the screen once", NULL },
    { "origin", 'o', 0, G_OPTION_ARG_STRING, &line->origin,
      "Publish: upload to the origin at ADDRESS", "ADDRESS" },
    { "model", 'm', 0, G_OPTION_ARG_STRING, &line->model, "Publish: the model's name",
      "NAME" },
    { "chunk-bytes", 'c', 0, G_OPTION_ARG_INT64, &line->chunk_bytes,
      "Publish: chunk size", "BYTES" },
    { "file", 'f', 0, G_OPTION_ARG_FILENAME, &line->script,
      "Run the statements of FILE, one a line; - for standard input", "FILE" },
    { "version", 'V', 0, G_OPTION_ARG_NONE, &line->version, "Print the version and exit",
      NULL },
    { 0 },
  };
  GOptionContext *context = g_option_context_new ("[STATEMENT ...]");
  gboolean ok;

  g_option_context_set_summary (
      context, "Queries and controls daisyloft; see daisyloft-query(5).");
  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, argc, argv, error);
  g_option_context_free (context);
  return ok;
}

/* -------- checked options -------- */

static ExitStatus
read_key (const CommandLine *line, Options *options)
{
  const char *file = line->key_file != NULL ? line->key_file : getenv (KEY_FILE_VARIABLE);
  GError *error = NULL;

  if (line->key != NULL)
    options->key = g_strdup (line->key);
  else if (line->key_file == NULL && getenv (KEY_VARIABLE) != NULL)
    options->key = g_strdup (getenv (KEY_VARIABLE));
  else if (file != NULL)
    {
      if (!g_file_get_contents (file, &options->key, NULL, &error))
        {
          ExitStatus status = usage_error ("key", error->message);

          g_error_free (error);
          return status;
        }
      g_strstrip (options->key);
    }
  return EXIT_OK;
}

static ExitStatus
read_entries (const CommandLine *line, Options *options)
{
  const char *variable = getenv (ENTRY_VARIABLE);
  struct sockaddr_in address;

  if (line->entries != NULL)
    options->entries = g_strdupv (line->entries);
  else
    options->entries = g_strsplit (variable != NULL ? variable : "", ",", -1);
  for (char **e = options->entries; *e != NULL; e++)
    if (dl_address_parse (dl_str (*e), &address) < 0)
      return usage_error ("entry: not of the form IP:PORT", *e);
  return EXIT_OK;
}

static ExitStatus
read_options (const CommandLine *line, Options *options)
{
  struct sockaddr_in address;
  ExitStatus status;

  *options = (Options){
    .by = g_strdup (line->by != NULL ? line->by : g_get_user_name ()),
    .id = g_strdup (line->id),
    .at = line->at > 0 ? (uint64_t)line->at : 0,
    .json = line->json,
    .once = line->once,
    .origin = g_strdup (line->origin),
    .model = g_strdup (line->model),
    .chunk_bytes
    = line->chunk_bytes > 0 ? (uint64_t)line->chunk_bytes : CHUNK_DEFAULT_BYTES,
  };
  if (options->chunk_bytes < DL_CHUNK_MIN_BYTES
      || options->chunk_bytes > DL_CHUNK_MAX_BYTES)
    return usage_error ("chunk-bytes", "must be from 1024 to 8388608");
  if (line->origin != NULL && dl_address_parse (dl_str (line->origin), &address) < 0)
    return usage_error ("origin: not of the form IP:PORT", line->origin);
  status = read_entries (line, options);
  return status != EXIT_OK ? status : read_key (line, options);
}

static void
clear_options (Options *options)
{
  g_strfreev (options->entries);
  g_free (options->key);
  g_free (options->by);
  g_free (options->id);
  g_free (options->origin);
  g_free (options->model);
}

static void
clear_command_line (CommandLine *line)
{
  g_strfreev (line->entries);
  g_free (line->key);
  g_free (line->key_file);
  g_free (line->by);
  g_free (line->id);
  g_free (line->origin);
  g_free (line->model);
  g_free (line->script);
}

/* -------- sources of statements -------- */

/* Runs the statements of a file, one a line, up to the first that fails. */
static ExitStatus
run_script (const Options *options, const char *path)
{
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  ExitStatus status = EXIT_OK;
  char *line = NULL;
  size_t size = 0;
  unsigned number = 0;

  if (file == NULL)
    return usage_error ("cannot read the script", path);
  while (status == EXIT_OK && getline (&line, &size, file) >= 0)
    {
      number++;
      g_strchomp (line);
      status = run_text (options, line);
    }
  if (status != EXIT_OK)
    fprintf (stderr, "daisyctl: %s: line %u: stopped here\n", path, number);
  free (line);
  if (file != stdin)
    fclose (file);
  return status;
}

static ExitStatus
run (const Options *options, const char *script, char **words)
{
  ExitStatus status;
  char *text;

  if (script != NULL && words[0] != NULL)
    return usage_error ("a script takes no arguments", words[0]);
  if (script != NULL)
    return run_script (options, script);
  if (words[0] == NULL && isatty (STDIN_FILENO))
    return prompt_run (options);
  if (words[0] == NULL)
    return run_script (options, "-");
  text = g_strjoinv (" ", words);
  status = run_text (options, text);
  g_free (text);
  return status;
}

int
main (int argc, char **argv)
{
  CommandLine line = { 0 };
  Options options = { 0 };
  GError *error = NULL;
  ExitStatus status;

  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    return EXIT_REFUSED;
  if (!parse_command_line (&line, &argc, &argv, &error))
    {
      status = usage_error ("options", error->message);
      g_error_free (error);
    }
  else if (line.version)
    {
      printf ("daisyctl %s\n", DL_VERSION);
      status = EXIT_OK;
    }
  else
    {
      status = read_options (&line, &options);
      if (status == EXIT_OK)
        status = run (&options, line.script, argv + 1);
    }
  clear_options (&options);
  clear_command_line (&line);
  curl_global_cleanup ();
  return status;
}
