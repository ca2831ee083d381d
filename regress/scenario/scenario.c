/*
 * The program scenario: parses a scenario file and runs its statements in order.
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
#define OPERATOR_KEY     "scenario-operator-key-0123456789"
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

static bool
parse_members (Scenario *s, json_object *object, char **words, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    if (!scn_parse_member (s, object, words[i]))
      return false;
  return true;
}

/* Returns a list in the fleet settings, which own it; adds it when it is missing. */
static json_object *
fleet_list (Scenario *s, const char *key)
{
  json_object *list;

  if (!json_object_object_get_ex (s->fleet, key, &list))
    {
      list = json_object_new_array ();
      json_object_object_add (s->fleet, key, list);
    }
  return list;
}

/* -------- declarations -------- */

/* region NAME DATA_CENTER...; the first region is the home region, where
 * the origin is. */
static bool
statement_region (Scenario *s, char **words, unsigned count)
{
  for (unsigned i = 2; i < count; i++)
    g_ptr_array_add (s->data_centers, g_strjoin (" ", words[1], words[i], NULL));
  if (json_at (s->fleet, "home_region") == NULL)
    json_object_object_add (s->fleet, "home_region", json_object_new_string (words[1]));
  return true;
}

/* Looks up a data centre and its region; both strings live as long as the runner. */
static bool
find_data_center (Scenario *s,
                  const char *data_center,
                  const char **region,
                  const char **name)
{
  for (unsigned i = 0; i < s->data_centers->len; i++)
    {
      char **parts = g_strsplit (g_ptr_array_index (s->data_centers, i), " ", 2);
      bool same = strcmp (parts[1], data_center) == 0;

      *region = g_intern_string (parts[0]);
      *name = g_intern_string (parts[1]);
      g_strfreev (parts);
      if (same)
        return true;
    }
  return scn_fail (s, "no data centre is named %s", data_center);
}

/* service NAME model|plain [KEY=VALUE]... */
static bool
statement_service (Scenario *s, char **words, unsigned count)
{
  json_object *service = json_object_new_object ();

  json_object_object_add (service, "name", json_object_new_string (words[1]));
  json_object_object_add (service, "kind", json_object_new_string (words[2]));
  json_object_array_add (fleet_list (s, "services"), service);
  return parse_members (s, service, words + 3, count - 3);
}

/* organisation NAME REQUESTS_PER_S [KEY=VALUE]... */
static bool
statement_organisation (Scenario *s, char **words, unsigned count)
{
  json_object *organisation = json_object_new_object ();
  uint64_t rate = 0;

  if (!scn_parse_uint (words[2], &rate))
    return scn_fail (s, "%s is not a number", words[2]);
  json_object_object_add (organisation, "name", json_object_new_string (words[1]));
  json_object_object_add (organisation, "max_requests_per_s",
                          json_object_new_uint64 (rate));
  json_object_array_add (fleet_list (s, "organisations"), organisation);
  return parse_members (s, organisation, words + 3, count - 3);
}

/* defaults KIND KEY=VALUE...: for processes that are started later, or the fleet
 * settings. */
static bool
statement_defaults (Scenario *s, char **words, unsigned count)
{
  static const char *const names[PROCESS_KINDS]
      = { "platform", "origin", "engine", "service", "entry", "slot" };

  if (strcmp (words[1], "fleet") == 0)
    return parse_members (s, s->fleet, words + 2, count - 2);
  for (unsigned i = 0; i < PROCESS_KINDS; i++)
    if (strcmp (names[i], words[1]) == 0)
      return parse_members (s, s->defaults[i], words + 2, count - 2);
  return scn_fail (s, "no kind of process is named %s", words[1]);
}

/* entry NAME DATA_CENTER [KEY=VALUE]... */
static bool
statement_entry (Scenario *s, char **words, unsigned count)
{
  const char *region;
  const char *data_center;
  Process *p;

  if (!find_data_center (s, words[2], &region, &data_center))
    return false;
  p = process_new (s, PROCESS_ENTRY, words[1], region, data_center);
  return parse_members (s, p->settings, words + 3, count - 3);
}

/* slot NAME DATA_CENTER SERVICE [KEY=VALUE]...; also declares its engine or plain
 * service, NAME.engine. */
static bool
statement_slot (Scenario *s, char **words, unsigned count)
{
  const char *region;
  const char *data_center;
  json_object *services = fleet_list (s, "services");
  ProcessKind kind = PROCESS_KINDS;
  char *engine;
  Process *p;

  if (!find_data_center (s, words[2], &region, &data_center))
    return false;
  for (size_t i = 0; i < json_object_array_length (services); i++)
    {
      json_object *service = json_object_array_get_idx (services, i);

      if (strcmp (json_object_get_string (json_at (service, "name")), words[3]) == 0)
        kind = strcmp (json_object_get_string (json_at (service, "kind")), "model") == 0
                   ? PROCESS_ENGINE
                   : PROCESS_SERVICE;
    }
  if (kind == PROCESS_KINDS)
    return scn_fail (s, "no service is named %s", words[3]);
  p = process_new (s, PROCESS_SLOT, words[1], region, data_center);
  g_free (p->service);
  p->service = g_strdup (words[3]);
  engine = g_strdup_printf ("%s.engine", words[1]);
  p->engine = process_new (s, kind, engine, "", "");
  g_free (engine);
  return parse_members (s, p->settings, words + 4, count - 4);
}

/* entries COUNT [KEY=VALUE]..., named e1, e2, ..., or slots COUNT SERVICE [KEY=VALUE]...,
 * named SERVICE-1, SERVICE-2, ...: assigned to the data centres in turn. */
static bool
statement_many (Scenario *s, char **words, unsigned count)
{
  bool slots = strcmp (words[0], "slots") == 0;
  unsigned fixed = slots ? 3 : 2;
  uint64_t number = 0;
  bool ok = true;

  if (!scn_parse_uint (words[1], &number) || s->data_centers->len == 0)
    return scn_fail (s, "%s is not a number, or no data centre is declared", words[1]);
  for (uint64_t i = 1; ok && i <= number; i++)
    {
      GPtrArray *one = g_ptr_array_new_with_free_func (g_free);
      const char *location
          = g_ptr_array_index (s->data_centers, (i - 1) % s->data_centers->len);

      g_ptr_array_add (one, g_strdup (slots ? "slot" : "entry"));
      g_ptr_array_add (one, slots ? g_strdup_printf ("%s-%u", words[2], (unsigned)i)
                                  : g_strdup_printf ("e%u", (unsigned)i));
      g_ptr_array_add (one, g_strdup (strchr (location, ' ') + 1));
      for (unsigned j = fixed - (slots ? 1 : 0); j < count; j++)
        g_ptr_array_add (one, g_strdup (words[j]));
      ok = slots ? statement_slot (s, (char **)one->pdata, one->len)
                 : statement_entry (s, (char **)one->pdata, one->len);
      g_ptr_array_free (one, TRUE);
    }
  return ok;
}

/* store [KEY=NUMBER]...: a weight store in addition to the origin. */
static bool
statement_store (Scenario *s, char **words, unsigned count)
{
  return parse_members (s, process_new (s, PROCESS_ORIGIN, "store", "", "")->settings,
                        words + 1, count - 1);
}

/* relays on|off */
static bool
statement_relays (Scenario *s, char **words, unsigned count)
{
  s->use_relays = strcmp (words[1], "on") == 0;
  return true;
}

/* -------- processes -------- */

/* Writes the fleet settings, with a default organisation and priorities if none are
 * declared.
 */
static bool
write_fleet (Scenario *s)
{
  json_object *list = fleet_list (s, "organisations");

  if (json_object_array_length (list) == 0)
    {
      json_object *organisation = json_object_new_object ();

      json_object_object_add (organisation, "name", json_object_new_string ("istota"));
      json_object_object_add (organisation, "max_requests_per_s",
                              json_object_new_int (100000));
      json_object_object_add (organisation, "burst", json_object_new_int (100000));
      json_object_array_add (list, organisation);
    }
  list = fleet_list (s, "priorities");
  if (json_object_array_length (list) == 0)
    {
      json_object_array_add (list, json_object_new_string ("summary"));
      json_object_array_add (list, json_object_new_string ("routine"));
    }
  fleet_list (s, "services");
  s->fleet_written = true;
  return object_write (s, "settings/fleet", json_object_to_json_string_ext (s->fleet, 0));
}

static bool
start_all (Scenario *s, GPtrArray *processes)
{
  for (unsigned i = 0; i < processes->len; i++)
    if (!process_start (s, g_ptr_array_index (processes, i)))
      return false;
  for (unsigned i = 0; i < processes->len; i++)
    if (!process_wait_ready (s, g_ptr_array_index (processes, i)))
      return false;
  return true;
}

/* Starts the processes of a kind that do not run; only those in NAMED, unless
 * it is NULL. */
static bool
start_kind (Scenario *s, ProcessKind kind, GPtrArray *named)
{
  GPtrArray *chosen = g_ptr_array_new ();
  bool ok;

  for (unsigned i = 0; i < s->processes->len; i++)
    {
      Process *p = g_ptr_array_index (s->processes, i);

      if (p->kind == kind && p->pid == 0
          && (named == NULL || g_ptr_array_find (named, p, NULL)))
        g_ptr_array_add (chosen, p);
    }
  ok = start_all (s, chosen);
  g_ptr_array_free (chosen, TRUE);
  return ok;
}

/* start [NAME...] */
static bool
statement_start (Scenario *s, char **words, unsigned count)
{
  GPtrArray *named = NULL;
  bool ok = true;

  for (unsigned i = 1; ok && i < count; i++)
    {
      GPtrArray *found = process_match (s, words[i]);

      if (named == NULL)
        named = g_ptr_array_new ();
      if (found != NULL)
        g_ptr_array_extend_and_steal (named, found);
      ok = found != NULL;
    }
  for (int kind = 0; ok && kind < PROCESS_KINDS; kind++)
    {
      ok = start_kind (s, (ProcessKind)kind, named);
      if (ok && kind == PROCESS_PLATFORM && !s->fleet_written
          && process_find (s, "platform")->pid != 0)
        ok = write_fleet (s);
    }
  if (named != NULL)
    g_ptr_array_free (named, TRUE);
  return ok && (process_find (s, "platform")->pid == 0 || process_write_hosts (s));
}

/* stop|kill|freeze|thaw|restart|leave NAME... */
static bool
statement_signal (Scenario *s, char **words, unsigned count)
{
  const char *verb = words[0];
  bool hosts = false;
  bool ok = true;

  for (unsigned i = 1; ok && i < count; i++)
    {
      GPtrArray *found = process_match (s, words[i]);

      if (found == NULL)
        return false;
      for (unsigned j = 0; ok && j < found->len; j++)
        {
          Process *p = g_ptr_array_index (found, j);

          if (strcmp (verb, "stop") == 0)
            ok = process_end (s, p, SIGTERM);
          else if (strcmp (verb, "kill") == 0 || strcmp (verb, "restart") == 0)
            ok = process_end (s, p, SIGKILL);
          else if (strcmp (verb, "leave") == 0)
            p->leaving = true;
          else
            process_freeze (p, strcmp (verb, "freeze") == 0);
          hosts = hosts || p->kind == PROCESS_ENTRY || p->kind == PROCESS_SLOT;
        }
      g_ptr_array_free (found, TRUE);
    }
  if (ok && strcmp (verb, "restart") == 0)
    return statement_start (s, words, count);
  if (!ok || !hosts || process_find (s, "platform")->pid == 0)
    return ok;
  return process_write_hosts (s);
}

/* fault NAME KNOB=NUMBER... */
static bool
statement_fault (Scenario *s, char **words, unsigned count)
{
  GPtrArray *found = process_match (s, words[1]);
  json_object *body = json_object_new_object ();
  bool ok = found != NULL && parse_members (s, body, words + 2, count - 2);
  const char *text = json_object_to_json_string_ext (body, 0);

  for (unsigned i = 0; ok && i < found->len; i++)
    {
      Process *p = g_ptr_array_index (found, i);
      char *url = g_strdup_printf ("http://%s/test/fault", p->address);
      HttpCall *call
          = http_wait (s, "POST", url, NULL, text, strlen (text), SCN_READY_MS);

      ok = call->status == 200
           || scn_fail (s, "%s refused %s: %s", p->name, text, call->body->str);
      http_free (s, call);
      g_free (url);
    }
  if (found != NULL)
    g_ptr_array_free (found, TRUE);
  json_object_put (body);
  return ok;
}

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

static bool run_file (Scenario *s, const char *path);

/* include FILE, relative to the directory of the current file */
static bool
statement_include (Scenario *s, char **words, unsigned count)
{
  const char *file = s->file;
  unsigned line = s->line;
  char *folder = g_path_get_dirname (file);
  char *path = g_build_filename (folder, words[1], NULL);
  bool ok = run_file (s, path);

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

static bool
run_file (Scenario *s, const char *path)
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
  g_file_set_contents (path, OPERATOR_KEY "\n", -1, NULL);
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
  ok = run_file (s, path);
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
