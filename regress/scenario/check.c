/*
 * Checks: operands, most of which are read from the stand-ins' records, conditions over
 * them, properties that must hold in every scenario, and the checks of responses and
 * commands.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "scenario.h"

#define POLL_MS           150
#define PRINT_INTERVAL_MS 1000
#define CALL_TIMEOUT_MS   4000
#define OPERATOR_KEY      "scenario-operator-key-0123456789"
#define CTL_WORDS_MAX     64

/* Value of an operand.  TEXT is NULL for a number; whoever holds the value frees it. */
typedef struct
{
  bool known;
  double number;
  char *text;
} Value;

static Value
number_value (double number)
{
  return (Value){ .known = true, .number = number };
}

static Value
json_value (json_object *json)
{
  if (json == NULL)
    return (Value){ 0 };
  if (json_object_is_type (json, json_type_string))
    return (Value){ .known = true, .text = g_strdup (json_object_get_string (json)) };
  if (json_object_is_type (json, json_type_array))
    return number_value ((double)json_object_array_length (json));
  return number_value (json_object_get_double (json));
}

json_object *
json_at (json_object *object, const char *path)
{
  char **keys = g_strsplit (path, ".", -1);

  for (unsigned i = 0; keys[i] != NULL && object != NULL; i++)
    {
      uint64_t index;
      json_object *next = NULL;

      if (json_object_is_type (object, json_type_object))
        json_object_object_get_ex (object, keys[i], &next);
      else if (json_object_is_type (object, json_type_array)
               && scn_parse_uint (keys[i], &index))
        next = json_object_array_get_idx (object, index);
      object = next;
    }
  g_strfreev (keys);
  return object;
}

static const char *
text_at (json_object *object, const char *path)
{
  json_object *found = json_at (object, path);

  return found != NULL ? json_object_get_string (found) : "";
}

/* -------- operands -------- */

/* Returns the records of all stand-ins of a kind, including archived ones.  The caller
 * releases them. */
static json_object *
all_records (Scenario *s, ProcessKind kind)
{
  json_object *list = json_object_new_array ();

  for (unsigned i = 0; i < s->archives->len; i++)
    {
      json_object *records = g_ptr_array_index (s->archives, i);

      if (json_object_get_int (json_at (records, "kind")) == (int)kind)
        json_object_array_add (list, json_object_get (records));
    }
  for (unsigned i = 0; i < s->processes->len; i++)
    {
      Process *p = g_ptr_array_index (s->processes, i);
      json_object *records = p->kind == kind ? process_records (s, p) : NULL;

      if (records == NULL)
        continue;
      json_object_object_add (records, "process", json_object_new_string (p->name));
      json_object_array_add (list, records);
    }
  return list;
}

/* serving:VERSION, the number of running engines that serve it. */
static Value
operand_serving (Scenario *s, char **parts)
{
  Version *v = version_find (s, parts[1]);
  double count = 0;

  for (unsigned i = 0; i < s->processes->len && v != NULL; i++)
    {
      Process *p = g_ptr_array_index (s->processes, i);
      json_object *records = p->kind == PROCESS_ENGINE ? process_records (s, p) : NULL;

      count += records != NULL && strcmp (text_at (records, "serving"), v->hex) == 0;
      json_object_put (records);
    }
  return v != NULL ? number_value (count) : (Value){ 0 };
}

/* running:NAME, the number of running processes that the name or glob matches. */
static Value
operand_running (Scenario *s, char **parts)
{
  double count = 0;

  for (unsigned i = 0; i < s->processes->len; i++)
    {
      Process *p = g_ptr_array_index (s->processes, i);

      count += p->pid != 0 && process_matches (p, parts[1]);
    }
  return number_value (count);
}

/* size:VERSION, in bytes. */
static Value
operand_size (Scenario *s, char **parts)
{
  Version *v = version_find (s, parts[1]);

  return v != NULL ? number_value ((double)v->bytes) : (Value){ 0 };
}

/* record:PROCESS:PATH, a member of a stand-in's records. */
static Value
operand_record (Scenario *s, char **parts)
{
  Process *p = process_find (s, parts[1]);
  json_object *records = p != NULL ? process_records (s, p) : NULL;
  Value value = records != NULL ? json_value (json_at (records, parts[2])) : (Value){ 0 };

  json_object_put (records);
  return value;
}

/* drawn:PROCESS, the bytes that an origin or weight store has served. */
static Value
operand_drawn (Scenario *s, char **parts)
{
  char *record[] = { NULL, parts[1], (char *)"drawn_bytes", NULL };

  return operand_record (s, record);
}

/* object:KIND/NAME:PATH, a member of an object, read directly from the platform's
 * stand-in. */
static Value
operand_object (Scenario *s, char **parts)
{
  Process *p = process_find (s, "platform");
  char *url = g_strdup_printf ("http://%s/v1/objects/%s", p->address, parts[1]);
  json_object *object = http_json (s, url);
  json_object *value = object != NULL ? json_at (object, "value") : NULL;
  Value result = value != NULL ? json_value (json_at (value, parts[2])) : (Value){ 0 };

  json_object_put (object);
  g_free (url);
  return result;
}

/* known:SERVICE, the number of its hosts that the status objects do not show as lost. */
static Value
operand_known (Scenario *s, char **parts)
{
  Process *p = process_find (s, "platform");
  char *url = g_strdup_printf ("http://%s/v1/objects?kinds=status", p->address);
  json_object *response = http_json (s, url);
  json_object *list = response != NULL ? json_at (response, "objects") : NULL;
  double count = 0;

  for (size_t i = 0; list != NULL && i < json_object_array_length (list); i++)
    {
      json_object *hosts = json_at (json_object_array_get_idx (list, i), "value.hosts");

      for (size_t j = 0; hosts != NULL && j < json_object_array_length (hosts); j++)
        {
          json_object *host = json_object_array_get_idx (hosts, j);

          count += strcmp (text_at (host, "service"), parts[1]) == 0
                   && !json_object_get_boolean (json_at (host, "lost"));
        }
    }
  json_object_put (response);
  g_free (url);
  return list != NULL ? number_value (count) : (Value){ 0 };
}

/* load:NAME:COUNTER; all:COUNTER is the sum over all loads. */
static Value
operand_load (Scenario *s, char **parts)
{
  double value;

  return load_counter (s, parts[1], parts[2], &value) ? number_value (value)
                                                      : (Value){ 0 };
}

static Value
operand_all (Scenario *s, char **parts)
{
  return number_value (load_sum (s, parts[1]));
}

/* elapsed:MARK, in seconds. */
static Value
operand_elapsed (Scenario *s, char **parts)
{
  uint64_t *mark = g_hash_table_lookup (s->marks, parts[1]);

  return mark != NULL ? number_value ((double)(scn_now_ms () - *mark) / 1000)
                      : (Value){ 0 };
}

/* cpu:PROCESS, processor time in seconds, and memory:PROCESS, resident
 * bytes, from /proc. */
static Value
operand_cpu (Scenario *s, char **parts)
{
  Process *p = process_find (s, parts[1]);
  char *path = g_strdup_printf ("/proc/%d/stat", p != NULL ? (int)p->pid : 0);
  char *text = NULL;
  unsigned long user = 0;
  unsigned long system = 0;
  bool ok
      = g_file_get_contents (path, &text, NULL, NULL)
        && sscanf (strrchr (text, ')') + 1,
                   " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system)
               == 2;

  g_free (path);
  g_free (text);
  return ok ? number_value ((double)(user + system) / (double)sysconf (_SC_CLK_TCK))
            : (Value){ 0 };
}

static Value
operand_memory (Scenario *s, char **parts)
{
  Process *p = process_find (s, parts[1]);
  char *path = g_strdup_printf ("/proc/%d/statm", p != NULL ? (int)p->pid : 0);
  char *text = NULL;
  unsigned long pages = 0;
  bool ok = g_file_get_contents (path, &text, NULL, NULL)
            && sscanf (text, "%*u %lu", &pages) == 1;

  g_free (path);
  g_free (text);
  return ok ? number_value ((double)pages * (double)sysconf (_SC_PAGESIZE))
            : (Value){ 0 };
}

/* metric:ENTRY:NAME, a metric that the entry exports. */
static Value
operand_metric (Scenario *s, char **parts)
{
  Process *p = process_find (s, parts[1]);
  char *headers[] = { (char *)"Authorization: Bearer " OPERATOR_KEY, NULL };
  char *url = g_strdup_printf ("http://%s/metrics", p != NULL ? p->operators : "");
  HttpCall *call = http_wait (s, "GET", url, headers, NULL, 0, CALL_TIMEOUT_MS);
  char **lines = g_strsplit (call->body->str, "\n", -1);
  Value value = { 0 };
  size_t length = strlen (parts[2]);

  for (unsigned i = 0; lines[i] != NULL; i++)
    if (g_str_has_prefix (lines[i], parts[2]) && lines[i][length] == ' ')
      value = number_value (g_ascii_strtod (lines[i] + length, NULL));
  g_strfreev (lines);
  http_free (s, call);
  g_free (url);
  return value;
}

static const struct
{
  const char *name;
  unsigned parts;
  Value (*read) (Scenario *s, char **parts);
} operands[] = {
  { "serving", 2, operand_serving }, { "running", 2, operand_running },
  { "size", 2, operand_size },       { "record", 3, operand_record },
  { "drawn", 2, operand_drawn },     { "object", 3, operand_object },
  { "known", 2, operand_known },     { "load", 3, operand_load },
  { "all", 2, operand_all },         { "elapsed", 2, operand_elapsed },
  { "cpu", 2, operand_cpu },         { "memory", 2, operand_memory },
  { "metric", 3, operand_metric },
};

static Value
read_operand (Scenario *s, const char *word)
{
  char **parts = g_strsplit (word, ":", 3);
  unsigned count = g_strv_length (parts);
  char *end;
  double number = g_ascii_strtod (word, &end);
  Value value = { .known = true };
  bool found = false;

  if (*word != '\0' && *end == '\0')
    value.number = number;
  else
    {
      for (unsigned i = 0; i < G_N_ELEMENTS (operands) && !found; i++)
        if (count == operands[i].parts && strcmp (parts[0], operands[i].name) == 0)
          {
            value = operands[i].read (s, parts);
            found = true;
          }
      if (!found)
        value.text = g_strdup (word);
    }
  g_strfreev (parts);
  return value;
}

/* Evaluates OPERAND [+|-|*|/ OPERAND]... from left to right; moves *WORDS past it. */
static Value
read_expression (Scenario *s, char ***words)
{
  Value value = read_operand (s, **words);

  (*words)++;
  while (**words != NULL && strlen (**words) == 1 && strchr ("+-*/", ***words) != NULL
         && (*words)[1] != NULL)
    {
      char operation = ***words;
      Value other = read_operand (s, (*words)[1]);

      value.known = value.known && other.known && value.text == NULL && !other.text;
      if (operation == '+')
        value.number += other.number;
      else if (operation == '-')
        value.number -= other.number;
      else if (operation == '*')
        value.number *= other.number;
      else
        value.number = other.number != 0 ? value.number / other.number : 0;
      g_free (other.text);
      *words += 2;
    }
  return value;
}

static char *
value_text (const Value *value)
{
  if (!value->known)
    return g_strdup ("unknown");
  return value->text != NULL ? g_strdup (value->text)
                             : g_strdup_printf ("%.10g", value->number);
}

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
      Value a = read_expression (s, &words);
      const char *operation = *words;
      Value b = { 0 };
      char *a_text = value_text (&a);
      char *b_text;

      if (operation != NULL && words[1] != NULL)
        {
          words++;
          b = read_expression (s, &words);
        }
      b_text = value_text (&b);
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
      Value value = read_operand (s, *words);
      char *text = value_text (&value);

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

/* -------- properties -------- */

static bool
is_zero (Scenario *s, const char *counter)
{
  double sum = load_sum (s, counter);

  return sum == 0 || scn_fail (s, "%.0f requests are %s", sum, counter);
}

/* Every response has only text of the version that it names. */
static bool
check_no_mixed_weights (Scenario *s)
{
  return is_zero (s, "mixed");
}

/* Every caller got the complete response to its own request, or an explicit error.
 * Connections may break only when an entry was killed. */
static bool
check_no_lost_request (Scenario *s)
{
  return is_zero (s, "lost") && is_zero (s, "crossed") && is_zero (s, "changed")
         && (s->entry_killed || is_zero (s, "broken"));
}

/* Counts the runs of each key or tag over all services and engines. */
static GHashTable *
count_runs (Scenario *s)
{
  GHashTable *runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  json_object *services = all_records (s, PROCESS_SERVICE);
  json_object *engines = all_records (s, PROCESS_ENGINE);

  for (size_t i = 0; i < json_object_array_length (services); i++)
    {
      json_object *list = json_at (json_object_array_get_idx (services, i), "runs");

      json_object_object_foreach (list, key, value)
        {
          uintptr_t sum = GPOINTER_TO_SIZE (g_hash_table_lookup (runs, key))
                          + json_object_get_uint64 (value);

          g_hash_table_replace (runs, g_strdup (key), GSIZE_TO_POINTER (sum));
        }
    }
  for (size_t i = 0; i < json_object_array_length (engines); i++)
    {
      json_object *list = json_at (json_object_array_get_idx (engines, i), "runs");

      for (size_t j = 0; j < json_object_array_length (list); j++)
        {
          const char *tag = text_at (json_object_array_get_idx (list, j), "tag");
          const char *space = strrchr (tag, ' ');
          const char *key = space != NULL ? space + 1 : tag;
          uintptr_t sum = GPOINTER_TO_SIZE (g_hash_table_lookup (runs, key)) + 1;

          g_hash_table_replace (runs, g_strdup (key), GSIZE_TO_POINTER (sum));
        }
    }
  json_object_put (services);
  json_object_put (engines);
  return runs;
}

/* Checks every tag or key by VIOLATION, which returns what is wrong with it, or NULL. */
static bool
check_outcomes (Scenario *s,
                const char *(*violation) (const Outcomes *outcomes, uintptr_t runs))
{
  GHashTable *runs = count_runs (s);
  GHashTableIter iter;
  gpointer tag;
  gpointer value;
  bool ok = true;

  g_hash_table_iter_init (&iter, s->outcomes);
  while (ok && g_hash_table_iter_next (&iter, &tag, &value))
    {
      uintptr_t count = GPOINTER_TO_SIZE (g_hash_table_lookup (runs, tag));
      const char *wrong = violation (value, count);

      ok = wrong == NULL
           || scn_fail (s, "%s ran %zu times: %s", (char *)tag, (size_t)count, wrong);
    }
  g_hash_table_destroy (runs);
  return ok;
}

static const char *
violation_at_most_once (const Outcomes *outcomes, uintptr_t runs)
{
  return outcomes->non_idempotent && runs > 1 ? "more than once" : NULL;
}

static const char *
violation_not_run (const Outcomes *outcomes, uintptr_t runs)
{
  return outcomes->not_run > 0 && outcomes->not_run == outcomes->sent && runs > 0
             ? "every response to its callers said that it did not run"
             : NULL;
}

static const char *
violation_answered (const Outcomes *outcomes, uintptr_t runs)
{
  return outcomes->answered > 0 && runs == 0 ? "its caller got a response" : NULL;
}

static bool
check_at_most_once (Scenario *s)
{
  return check_outcomes (s, violation_at_most_once);
}

/* A request whose callers were told only "not run" has not run. */
static bool
check_not_run_is_true (Scenario *s)
{
  return check_outcomes (s, violation_not_run);
}

static bool
check_answered_ran (Scenario *s)
{
  return check_outcomes (s, violation_answered);
}

/* No engine accepted a load command with a lower fence than one that it had accepted
 * before, or while a request ran. */
static bool
check_orders (Scenario *s)
{
  json_object *engines = all_records (s, PROCESS_ENGINE);
  bool ok = true;

  for (size_t i = 0; ok && i < json_object_array_length (engines); i++)
    {
      json_object *engine = json_object_array_get_idx (engines, i);
      json_object *commands = json_at (engine, "orders");
      uint64_t fence = 0;

      for (size_t j = 0; ok && j < json_object_array_length (commands); j++)
        {
          json_object *command = json_object_array_get_idx (commands, j);
          uint64_t command_fence = json_object_get_uint64 (json_at (command, "fence"));
          const char *verdict = text_at (command, "verdict");

          if (strcmp (verdict, "taken") != 0 && strcmp (verdict, "late") != 0)
            continue;
          if (command_fence < fence)
            ok = scn_fail (s,
                           "%s accepted a load command with fence %" PRIu64
                           " after %" PRIu64,
                           text_at (engine, "process"), command_fence, fence);
          else if (json_object_get_uint64 (json_at (command, "running")) > 0)
            ok = scn_fail (s, "%s accepted a load command while requests ran",
                           text_at (engine, "process"));
          fence = command_fence;
        }
    }
  json_object_put (engines);
  return ok;
}

static const struct
{
  const char *name;
  bool (*check) (Scenario *s);
} properties[] = {
  { "no-mixed-weights", check_no_mixed_weights },
  { "no-lost-request", check_no_lost_request },
  { "at-most-once", check_at_most_once },
  { "not-run-is-true", check_not_run_is_true },
  { "answered-ran", check_answered_ran },
  { "orders", check_orders },
};

static bool (*find_property (const char *name)) (Scenario *s)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (properties); i++)
    if (strcmp (properties[i].name, name) == 0)
      return properties[i].check;
  return NULL;
}

/* check PROPERTY..., or check CONDITION */
bool
statement_check (Scenario *s, char **words, unsigned count)
{
  char *seen = NULL;
  bool held = true;

  if (find_property (words[1]) == NULL)
    {
      held = condition_holds (s, words + 1, &seen);
      if (!held)
        scn_fail (s, "condition not met; seen: %s", seen);
      g_free (seen);
      return held;
    }
  for (unsigned i = 1; held && i < count; i++)
    {
      bool (*check) (Scenario *) = find_property (words[i]);

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
  value = read_expression (s, &at);
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
  Value value = read_expression (s, &at);

  g_hash_table_replace (s->variables, g_strdup (words[1]), value_text (&value));
  g_free (value.text);
  return value.known || scn_fail (s, "%s is unknown", words[2]);
}

/* -------- calls and commands -------- */

/* Checks a response or output: [has TEXT] [lacks TEXT] [json PATH VALUE] [save NAME PATH]
 * [print all]. */
static bool
check_text (Scenario *s, const char *text, char **words, unsigned count)
{
  json_object *json = json_tokener_parse (text);
  bool ok = true;

  for (unsigned i = 0; ok && i + 1 < count; i += 2)
    {
      const char *what = words[i];

      if (strcmp (what, "has") == 0)
        ok = strstr (text, words[i + 1]) != NULL;
      else if (strcmp (what, "lacks") == 0)
        ok = strstr (text, words[i + 1]) == NULL;
      else if (strcmp (what, "print") == 0)
        printf ("%s", text);
      else if (strcmp (what, "json") == 0 && i + 2 < count)
        {
          json_object *found = json != NULL ? json_at (json, words[i + 1]) : NULL;

          ok = found != NULL
               && strcmp (json_object_get_string (found), words[i + 2]) == 0;
          i++;
        }
      else if (strcmp (what, "save") == 0 && i + 2 < count)
        {
          json_object *found = json != NULL ? json_at (json, words[i + 2]) : NULL;

          g_hash_table_replace (s->variables, g_strdup (words[i + 1]),
                                g_strdup (found != NULL ? json_object_get_string (found)
                                                        : ""));
          i++;
        }
      else
        ok = scn_fail (s, "unknown check: %s", what);
    }
  json_object_put (json);
  return ok || scn_fail (s, "seen: %.2000s", text);
}

/* Returns the index of "=>", or COUNT. */
static unsigned
find_arrow (char **words, unsigned count)
{
  unsigned i = 0;

  while (i < count && strcmp (words[i], "=>") != 0)
    i++;
  return i;
}

/* Returns the address of TARGET, which is a process or ENTRY.operators, or NULL. */
static const char *
call_address (Scenario *s, const char *target)
{
  char *name = g_strdup (target);
  char *dot = strrchr (name, '.');
  bool operators = dot != NULL && strcmp (dot, ".operators") == 0;
  Process *p;

  if (operators)
    *dot = '\0';
  p = process_find (s, name);
  g_free (name);
  if (p == NULL)
    return NULL;
  if (operators)
    return p->operators;
  return p->http != NULL ? p->http : p->address;
}

/* call METHOD PROCESS PATH [header TEXT]... [body TEXT] => STATUS|cut|hang [CHECK...] */
bool
statement_call (Scenario *s, char **words, unsigned count)
{
  unsigned arrow = find_arrow (words, count);
  const char *address = call_address (s, words[2]);
  const char *body = "";
  GPtrArray *headers = g_ptr_array_new ();
  const char *expected = arrow + 1 < count ? words[arrow + 1] : "200";
  char *url;
  char *status;
  HttpCall *call;
  bool ok;

  for (unsigned i = 4; i + 1 < arrow; i += 2)
    if (strcmp (words[i], "header") == 0)
      g_ptr_array_add (headers, words[i + 1]);
    else
      body = words[i + 1];
  /* Calls to operators' listeners carry the key, unless the statement gives a header. */
  if (g_str_has_suffix (words[2], ".operators") && headers->len == 0)
    g_ptr_array_add (headers, (char *)"Authorization: Bearer " OPERATOR_KEY);
  g_ptr_array_add (headers, NULL);
  url = g_strdup_printf ("http://%s%s", address != NULL ? address : "", words[3]);
  call = http_wait (s, words[1], url, (char *const *)headers->pdata, body, strlen (body),
                    CALL_TIMEOUT_MS);
  if (call->code == CURLE_OPERATION_TIMEDOUT)
    status = g_strdup ("hang");
  else if (call->code != CURLE_OK)
    status = g_strdup ("cut");
  else
    status = g_strdup_printf ("%ld", call->status);
  ok = strcmp (status, expected) == 0
       || scn_fail (s, "status is %s, expected %s: %.500s", status, expected,
                    call->body->str);
  if (ok && arrow + 2 < count)
    ok = check_text (s, call->body->str, words + arrow + 2, count - arrow - 2);
  http_free (s, call);
  g_ptr_array_free (headers, TRUE);
  g_free (url);
  g_free (status);
  return ok;
}

/* Adds an --entry option for each of the comma-separated NAMES.  Returns their number, or
 * 0 when one is not an entry or there are more than MAX. */
static unsigned
add_entries (Scenario *s, const char *names, char **argv, unsigned max)
{
  char **list = g_strsplit (names, ",", -1);
  unsigned n = 0;

  for (char **name = list; *name != NULL; name++)
    {
      Process *entry = process_find (s, *name);

      if (entry == NULL || entry->operators == NULL || n == max)
        {
          n = 0;
          break;
        }
      argv[n++] = g_strdup_printf ("--entry=%s", entry->operators);
    }
  g_strfreev (list);
  return n;
}

/* ctl ENTRY[,ENTRY...] WORDS... [=> STATUS [CHECK...]] */
bool
statement_ctl (Scenario *s, char **words, unsigned count)
{
  unsigned arrow = find_arrow (words, count);
  char *argv[CTL_WORDS_MAX] = { 0 };
  uint64_t expected = 0;
  char *output = NULL;
  int status = 0;
  unsigned n = 0;
  bool ok;

  if (arrow + 1 < count && !scn_parse_uint (words[arrow + 1], &expected))
    return scn_fail (s, "%s is not an exit status", words[arrow + 1]);
  n = arrow <= CTL_WORDS_MAX - 16 ? add_entries (s, words[1], argv + 1, 8) : 0;
  if (n == 0)
    return scn_fail (s, "no entry is named %s", words[1]);
  argv[0] = g_strdup_printf ("%s/daisyctl", s->bin);
  n++;
  argv[n++] = g_strdup_printf ("--key-file=%s/operator.key", s->folder);
  for (unsigned i = 2; i < arrow; i++)
    argv[n++] = g_strdup (words[i]);
  ok = process_run (s, argv, &status, &output);
  if (ok && status != (int)expected)
    ok = scn_fail (s, "exit status is %d, expected %d: %.2000s", status, (int)expected,
                   output);
  if (ok && arrow + 2 < count)
    ok = check_text (s, output, words + arrow + 2, count - arrow - 2);
  for (unsigned i = 0; i < n; i++)
    g_free (argv[i]);
  g_free (output);
  return ok;
}
