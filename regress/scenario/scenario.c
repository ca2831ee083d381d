/*
 * The program scenario, and the functions that all its statements use.
 */
#include "scenario.h"

#include <ftw.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LIMIT_DEFAULT_S  180
#define ITERATION_MAX_MS 50
#define FOLDER_DEPTH     8

static volatile sig_atomic_t interrupted;
static uint64_t limit_ms; /* time at which the scenario times out; 0: not set */
static gboolean quiet;

/* -------- functions for all statements -------- */

bool
scn_fail (Scenario *s, const char *format, ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  if (!s->failed)
    printf ("%s:%u: %s\n", s->file, s->line, text);
  fflush (stdout);
  s->failed = true;
  g_free (text);
  return false;
}

uint64_t
scn_now_ms (void)
{
  return (uint64_t)g_get_monotonic_time () / 1000;
}

void
scn_iterate (Scenario *s, int wait_ms)
{
  GArray *fds = g_array_new (FALSE, FALSE, sizeof (struct pollfd));

  relay_poll (s, fds, &wait_ms);
  wait_ms = load_wait_ms (s, MIN (wait_ms, ITERATION_MAX_MS));
  http_iterate (s, (struct pollfd *)(void *)fds->data, fds->len, wait_ms);
  g_array_free (fds, TRUE);
  relay_iterate (s);
  load_iterate (s);
  process_reap (s);
  if (interrupted && !s->failed)
    scn_fail (s, "interrupted");
  if (limit_ms != 0 && scn_now_ms () > limit_ms)
    {
      limit_ms = 0;
      scn_fail (s, "the scenario exceeded its time limit");
    }
}

bool
scn_sleep (Scenario *s, uint64_t ms)
{
  uint64_t end = scn_now_ms () + ms;

  do
    scn_iterate (s, (int)MIN (end - scn_now_ms (), ITERATION_MAX_MS));
  while (scn_now_ms () < end && !s->failed);
  return !s->failed;
}

bool
scn_parse_uint (const char *text, uint64_t *value)
{
  return g_ascii_string_to_unsigned (text, 10, 0, UINT64_MAX, value, NULL);
}

bool
scn_parse_time (Scenario *s, const char *text, uint64_t *ms)
{
  char *end;
  double number = g_ascii_strtod (text, &end);

  if (end == text || number < 0
      || (strcmp (end, "s") != 0 && strcmp (end, "ms") != 0 && *end != '\0'))
    return scn_fail (s, "%s is not a time", text);
  *ms = (uint64_t)(strcmp (end, "ms") == 0 ? number : number * 1000);
  return true;
}

bool
scn_parse_member (Scenario *s, json_object *object, const char *text)
{
  const char *equals = strchr (text, '=');
  json_object *value;
  char *key;

  if (equals == NULL)
    return scn_fail (s, "%s is not of the form KEY=VALUE", text);
  value = json_tokener_parse (equals + 1);
  if (value == NULL)
    value = json_object_new_string (equals + 1);
  key = g_strndup (text, (gsize)(equals - text));
  json_object_object_add (object, key, value);
  g_free (key);
  return true;
}

bool
scn_parse_members (Scenario *s, json_object *object, char **words, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    if (!scn_parse_member (s, object, words[i]))
      return false;
  return true;
}

/* -------- the program -------- */

static void
outcomes_free (gpointer data)
{
  Outcomes *outcomes = data;

  g_free (outcomes->response);
  g_free (outcomes);
}

static void
put_json (gpointer data)
{
  json_object_put (data);
}

static void
scenario_open (Scenario *s)
{
  char *path;

  curl_global_init (CURL_GLOBAL_DEFAULT);
  s->multi = curl_multi_init ();
  s->random = g_rand_new_with_seed ((guint32)s->seed);
  s->folder = g_dir_make_tmp ("daisyloft-scenario-XXXXXX", NULL);
  s->processes = g_ptr_array_new_with_free_func (process_free);
  s->relays = g_ptr_array_new_with_free_func (relay_free);
  s->rules = g_ptr_array_new_with_free_func (rule_free);
  s->loads = g_ptr_array_new_with_free_func (load_free);
  s->versions = g_ptr_array_new_with_free_func (version_free);
  s->data_centers = g_ptr_array_new_with_free_func (g_free);
  s->archives = g_ptr_array_new_with_free_func (put_json);
  s->variables = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->marks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->outcomes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, outcomes_free);
  s->fleet = json_object_new_object ();
  for (unsigned i = 0; i < PROCESS_KINDS; i++)
    s->defaults[i] = json_object_new_object ();
  s->next_host = 1;
  path = g_strdup_printf ("%s/operator.key", s->folder);
  g_file_set_contents (path, SCN_OPERATOR_KEY "\n", -1, NULL);
  g_free (path);
  g_hash_table_insert (s->variables, g_strdup ("folder"), g_strdup (s->folder));
  process_new (s, PROCESS_PLATFORM, "platform", "", "");
  process_new (s, PROCESS_ORIGIN, "origin", "", "");
}

static int
remove_one (const char *path, const struct stat *status, int type, struct FTW *ftw)
{
  return remove (path);
}

static void
scenario_close (Scenario *s, bool keep)
{
  g_ptr_array_free (s->loads, TRUE);
  g_ptr_array_free (s->relays, TRUE);
  g_ptr_array_free (s->rules, TRUE);
  g_ptr_array_free (s->processes, TRUE);
  g_ptr_array_free (s->versions, TRUE);
  g_ptr_array_free (s->data_centers, TRUE);
  g_ptr_array_free (s->archives, TRUE);
  g_hash_table_destroy (s->variables);
  g_hash_table_destroy (s->marks);
  g_hash_table_destroy (s->outcomes);
  json_object_put (s->fleet);
  for (unsigned i = 0; i < PROCESS_KINDS; i++)
    json_object_put (s->defaults[i]);
  curl_multi_cleanup (s->multi);
  g_rand_free (s->random);
  if (keep)
    printf ("kept: %s\n", s->folder);
  else
    nftw (s->folder, remove_one, FOLDER_DEPTH, FTW_DEPTH | FTW_PHYS);
  g_free (s->folder);
}

static void
on_signal (int number)
{
  interrupted = 1;
}

static bool
run (Scenario *s, const char *path, char **assignments, bool keep)
{
  bool ok = true;

  scenario_open (s);
  for (; assignments != NULL && *assignments != NULL; assignments++)
    {
      char **parts = g_strsplit (*assignments, "=", 2);

      if (parts[0] != NULL && parts[1] != NULL)
        g_hash_table_replace (s->variables, g_strdup (parts[0]), g_strdup (parts[1]));
      g_strfreev (parts);
    }
  ok = scn_run_file (s, path);
  ok = process_end_all (s) && ok && !s->failed;
  if (!ok)
    load_print (s);
  if (!ok && !quiet)
    process_print_logs (s);
  printf ("%s: %s (seed %" G_GUINT64_FORMAT ")\n", path, ok ? "passed" : "FAILED",
          s->seed);
  scenario_close (s, keep);
  return ok;
}

int
main (int argc, char **argv)
{
  Scenario s = { 0 };
  char *bin = NULL;
  char **assignments = NULL;
  gint64 seed = 1;
  gint64 limit = LIMIT_DEFAULT_S;
  gboolean keep = FALSE;
  GError *error = NULL;
  const GOptionEntry entries[] = {
    { "bin", 'b', 0, G_OPTION_ARG_FILENAME, &bin, "Directory of the programs", "DIR" },
    { "seed", 's', 0, G_OPTION_ARG_INT64, &seed, "Seed of the random numbers", "N" },
    { "set", 'D', 0, G_OPTION_ARG_STRING_ARRAY, &assignments, "Set a variable",
      "NAME=VALUE" },
    { "limit", 'l', 0, G_OPTION_ARG_INT64, &limit, "Time limit in seconds", "S" },
    { "keep", 'k', 0, G_OPTION_ARG_NONE, &keep, "Keep the settings and logs", NULL },
    { "quiet", 'q', 0, G_OPTION_ARG_NONE, &quiet, "Print no logs after a failure", NULL },
    { 0 },
  };
  GOptionContext *context = g_option_context_new ("FILE");
  struct sigaction action = { .sa_handler = on_signal };
  bool parsed;
  bool ok = false;

  g_option_context_add_main_entries (context, entries, NULL);
  parsed = g_option_context_parse (context, &argc, &argv, &error);
  g_option_context_free (context);
  if (!parsed || argc != 2 || bin == NULL)
    {
      fprintf (stderr, "scenario: %s\n",
               error != NULL ? error->message : "usage: scenario --bin DIR FILE");
      return 2;
    }
  sigaction (SIGINT, &action, NULL);
  sigaction (SIGTERM, &action, NULL);
  signal (SIGPIPE, SIG_IGN);
  s.bin = bin;
  s.seed = (uint64_t)seed;
  limit_ms = scn_now_ms () + (uint64_t)limit * 1000;
  ok = run (&s, argv[1], assignments, keep);
  g_free (bin);
  g_strfreev (assignments);
  return ok ? 0 : 1;
}
