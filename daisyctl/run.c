/*
 * Runs statements and prints their results.
 */
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "daisyctl.h"
#include "kernel/crypt.h"
#include "kernel/fleet.h"
#include "kernel/object_client.h"
#include "query/flatten.h"
#include "query/json_get.h"
#include "query/render.h"

#define HTTP_OK 200

/* -------- output -------- */

static void
print_json (json_object *object)
{
  puts (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PRETTY
                                                    | JSON_C_TO_STRING_NOSLASHESCAPE));
}

/* Prints the statement with a caret below the word that the error is about. */
static ExitStatus
report_syntax (const char *text, const DlSyntaxError *error)
{
  char *line = g_strdup (text);
  size_t column = 0;

  for (char *c = line; *c != '\0'; c++)
    if (g_ascii_iscntrl (*c))
      *c = ' ';
  /* The caret counts characters, the position bytes. */
  for (size_t i = 0; i < error->position && line[i] != '\0'; i++)
    column += ((unsigned char)line[i] & 0xc0) != 0x80;
  fprintf (stderr, "%s\n%*s^ %s\n", line, (int)column, "", error->text);
  g_free (line);
  return EXIT_USAGE;
}

static void
print_age (json_object *response)
{
  json_object *age = NULL;

  json_object_object_get_ex (response, "age_ms", &age);
  if (age == NULL)
    fprintf (stderr, "revision %" PRIu64 ", of unknown age\n",
             dl_json_uint (response, "revision"));
  else
    fprintf (stderr, "revision %" PRIu64 ", %.1f s old\n",
             dl_json_uint (response, "revision"),
             (double)json_object_get_uint64 (age) / 1000.0);
}

/* -------- queries -------- */

static ExitStatus
run_query (const Options *options, const char *text)
{
  Response response = client_query (options, text, options->at);
  ExitStatus status = EXIT_OK;

  if (response.status != HTTP_OK)
    status = client_report_failure (&response);
  else if (options->json)
    print_json (response.body);
  else
    {
      DlBuffer *buffer = dl_buffer_new (NULL, 0);
      DlStr view;

      dl_render_table (buffer, response.body);
      view = dl_buffer_view (buffer);
      fwrite (view.data, 1, view.length, stdout);
      fflush (stdout);
      print_age (response.body);
      talloc_free (buffer);
    }
  response_clear (&response);
  return status;
}

/* -------- commands -------- */

static ExitStatus
outcome_status (const char *outcome)
{
  if (strcmp (outcome, "applied") == 0)
    return EXIT_OK;
  if (strcmp (outcome, "refused") == 0)
    return EXIT_REFUSED;
  if (strcmp (outcome, "not-run") == 0)
    return EXIT_UNREACHABLE;
  return EXIT_UNKNOWN;
}

static ExitStatus
report_outcome (const Options *options, const Response *response, const char *id)
{
  const char *outcome = dl_json_text (response->body, "outcome");

  if (response->status == 0 && response->sent)
    {
      fprintf (stderr,
               "daisyctl: outcome unknown: %s\ndaisyctl: to query it: daisyctl ask %s\n",
               response->error, id);
      return EXIT_UNKNOWN;
    }
  if (outcome[0] == '\0')
    return client_report_failure (response);
  if (options->json)
    print_json (response->body);
  else if (strcmp (outcome, "not-run") == 0)
    fprintf (stderr, "not run: %s (id %s; retry in %" PRIu64 " ms)\n",
             dl_json_text (response->body, "error"), id,
             dl_json_uint (response->body, "retry_after_ms"));
  else
    fprintf (strcmp (outcome, "applied") == 0 ? stdout : stderr, "%s: %s (id %s)\n",
             outcome, dl_json_text (response->body, "detail"), id);
  return outcome_status (outcome);
}

ExitStatus
run_command (const Options *options, const char *text, json_object *value)
{
  char *id
      = options->id != NULL ? talloc_strdup (NULL, options->id) : dl_random_name (NULL);
  Response response = client_command (options, text, id, value);
  ExitStatus status = report_outcome (options, &response, id);

  response_clear (&response);
  talloc_free (id);
  return status;
}

static ExitStatus
run_ask (const Options *options, const char *id)
{
  Response response;
  ExitStatus status;

  if (!dl_object_name_is_valid (dl_str (id)))
    {
      fprintf (stderr, "daisyctl: %s: not a valid command id\n", id);
      return EXIT_USAGE;
    }
  response = client_outcome (options, id);
  status = report_outcome (options, &response, id);
  response_clear (&response);
  return status;
}

/* -------- settings files -------- */

ExitStatus
read_settings_file (const char *path, json_object **settings)
{
  void *context = talloc_new (NULL);
  char *text = NULL;
  gsize length = 0;
  GError *failure = NULL;
  DlFleet *fleet = NULL;
  char *error = NULL;
  ExitStatus status = EXIT_OK;

  if (!g_file_get_contents (path, &text, &length, &failure))
    {
      fprintf (stderr, "daisyctl: %s\n", failure->message);
      g_error_free (failure);
      status = EXIT_REFUSED;
    }
  else if (dl_fleet_parse (context, path, dl_str_bytes (text, length), &fleet, &error) < 0
           || (settings != NULL
               && dl_json_parse (context, path, dl_str_bytes (text, length), settings,
                                 &error)
                      < 0))
    {
      fprintf (stderr, "daisyctl: %s\n", error);
      status = EXIT_REFUSED;
    }
  g_free (text);
  talloc_free (context);
  return status;
}

static ExitStatus
run_settings_check (const char *path)
{
  ExitStatus status = read_settings_file (path, NULL);

  if (status == EXIT_OK)
    printf ("%s: ok\n", path);
  return status;
}

static ExitStatus
run_settings_apply (const Options *options, const char *text, const char *path)
{
  json_object *settings = NULL;
  ExitStatus status = read_settings_file (path, &settings);

  if (status == EXIT_OK)
    status = run_command (options, text, settings);
  json_object_put (settings);
  return status;
}

/* Returns the key and value of row INDEX of "show settings". */
static DlFlatSetting
accepted_setting (json_object *rows, size_t index)
{
  json_object *row = json_object_array_get_idx (rows, index);
  const char *key = NULL;
  const char *value = NULL;

  if (json_object_is_type (row, json_type_array))
    {
      key = json_object_get_string (json_object_array_get_idx (row, 0));
      value = json_object_get_string (json_object_array_get_idx (row, 1));
    }
  return (DlFlatSetting){
    .key = key != NULL ? key : "",
    .value = value != NULL ? value : "",
  };
}

/* Prints the settings that differ between the accepted ones and the file's; both lists
 * are sorted by key.  Returns their number. */
static size_t
print_differences (json_object *rows, const DlFlatSetting *file, size_t file_count)
{
  size_t count = dl_json_array_length (rows);
  size_t i = 0;
  size_t j = 0;
  size_t differences = 0;

  while (i < count || j < file_count)
    {
      DlFlatSetting accepted = { 0 };
      int order = i >= count ? 1 : -1;

      if (i < count)
        accepted = accepted_setting (rows, i);
      if (i < count && j < file_count)
        order = strcmp (accepted.key, file[j].key);
      if (order != 0 || strcmp (accepted.value, file[j].value) != 0)
        {
          if (order <= 0)
            printf ("- %s = %s\n", accepted.key, accepted.value);
          if (order >= 0)
            printf ("+ %s = %s\n", file[j].key, file[j].value);
          differences++;
        }
      i += order <= 0;
      j += order >= 0;
    }
  return differences;
}

static ExitStatus
run_settings_diff (const Options *options, const char *path)
{
  json_object *settings = NULL;
  ExitStatus status = read_settings_file (path, &settings);
  Response response = { 0 };

  if (status == EXIT_OK)
    {
      response = client_query (options, "show settings columns key, value", options->at);
      if (response.status != HTTP_OK)
        status = client_report_failure (&response);
    }
  if (status == EXIT_OK)
    {
      void *context = talloc_new (NULL);
      size_t count;
      DlFlatSetting *list = dl_settings_flatten (context, settings, &count);

      if (print_differences (dl_json_array (response.body, "rows"), list, count) > 0)
        status = EXIT_REFUSED;
      talloc_free (context);
    }
  response_clear (&response);
  json_object_put (settings);
  return status;
}

/* -------- dump -------- */

static ExitStatus
run_dump (const Options *options, const char *address)
{
  Response response = http_call (&(Request){
      .method = "GET",
      .address = address,
      .path = "/v1/dump",
      .key = options->key,
  });
  ExitStatus status = EXIT_OK;

  if (response.status == HTTP_OK && response.body != NULL)
    print_json (response.body);
  else
    status = client_report_failure (&response);
  response_clear (&response);
  return status;
}

/* -------- statements -------- */

static ExitStatus
run_statement (const Options *options, const char *text, const DlStatement *statement)
{
  switch (statement->type)
    {
    case DL_STATEMENT_EMPTY:
      return EXIT_OK;
    case DL_STATEMENT_SHOW:
    case DL_STATEMENT_COUNT:
    case DL_STATEMENT_IN_FORCE:
      return run_query (options, text);
    case DL_STATEMENT_SETTINGS_CHECK:
      return run_settings_check (statement->name);
    case DL_STATEMENT_SETTINGS_DIFF:
      return run_settings_diff (options, statement->name);
    case DL_STATEMENT_SETTINGS_APPLY:
      return run_settings_apply (options, text, statement->name);
    case DL_STATEMENT_PUBLISH:
    case DL_STATEMENT_ROLLOUT_START:
    case DL_STATEMENT_ROLLOUT_PAUSE:
    case DL_STATEMENT_ROLLOUT_RESUME:
    case DL_STATEMENT_ROLLOUT_CALL_OFF:
    case DL_STATEMENT_DRAIN:
    case DL_STATEMENT_UNDRAIN:
      return run_command (options, text, NULL);
    }
  return EXIT_USAGE;
}

/* WORDS: the request's id, then log files. */
static ExitStatus
run_explain (char **words, guint count)
{
  char **paths = g_new0 (char *, count);
  ExitStatus status;

  for (guint i = 1; i < count; i++)
    paths[i - 1] = words[i];
  status = explain_run (words[0], paths);
  g_free (paths);
  return status;
}

/* Runs a command of this program that is not part of the operators' language.  Returns
 * false when TEXT is none. */
static bool
run_local (const Options *options, const char *text, ExitStatus *status)
{
  char **words = g_strsplit_set (text, " \t", -1);
  guint count = 0;
  DlDigest digest;
  bool found = true;

  for (guint i = 0; words[i] != NULL; i++)
    if (words[i][0] != '\0')
      {
        char *word = words[i];

        words[i] = words[count];
        words[count++] = word;
      }
  if (count == 1 && strcmp (words[0], "screen") == 0)
    *status = screen_run (options);
  else if (count == 1 && strcmp (words[0], "compare") == 0)
    *status = compare_run (options);
  else if (count == 2 && strcmp (words[0], "dump") == 0)
    *status = run_dump (options, words[1]);
  else if (count == 2 && strcmp (words[0], "ask") == 0)
    *status = run_ask (options, words[1]);
  else if (count >= 3 && strcmp (words[0], "explain") == 0)
    *status = run_explain (words + 1, count - 1);
  else if (count == 4 && strcmp (words[0], "publish") == 0 && strcmp (words[2], "as") == 0
           && dl_digest_from_hex (dl_str (words[1]), &digest) < 0)
    *status = publish_path (options, words[1], words[3]);
  else
    found = false;
  g_strfreev (words);
  return found;
}

ExitStatus
run_text (const Options *options, const char *text)
{
  void *context = talloc_new (NULL);
  DlStatement *statement = NULL;
  DlSyntaxError error = { 0 };
  ExitStatus status = EXIT_OK;

  if (!run_local (options, text, &status))
    {
      if (dl_statement_parse (context, dl_str (text), &statement, &error) < 0)
        status = report_syntax (text, &error);
      else
        status = run_statement (options, text, statement);
    }
  talloc_free (context);
  return status;
}
