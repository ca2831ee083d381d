/*
 * Operands, most of which are read from the stand-ins' records, and expressions over
 * them.
 */
#include "operand.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CALL_TIMEOUT_MS 4000

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

const char *
operand_text_at (json_object *object, const char *path)
{
  json_object *found = json_at (object, path);

  return found != NULL ? json_object_get_string (found) : "";
}

/* -------- operands -------- */

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

      count += records != NULL
               && strcmp (operand_text_at (records, "serving"), v->hex) == 0;
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

          count += strcmp (operand_text_at (host, "service"), parts[1]) == 0
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
  char *headers[] = { (char *)"Authorization: Bearer " SCN_OPERATOR_KEY, NULL };
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

Value
operand_read (Scenario *s, const char *word)
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

Value
operand_read_expression (Scenario *s, char ***words)
{
  Value value = operand_read (s, **words);

  (*words)++;
  while (**words != NULL && strlen (**words) == 1 && strchr ("+-*/", ***words) != NULL
         && (*words)[1] != NULL)
    {
      char operation = ***words;
      Value other = operand_read (s, (*words)[1]);

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

char *
operand_text (const Value *value)
{
  if (!value->known)
    return g_strdup ("unknown");
  return value->text != NULL ? g_strdup (value->text)
                             : g_strdup_printf ("%.10g", value->number);
}
