/*
 * Single calls and operators' commands, and the checks of what they return.
 */
#include <stdio.h>
#include <string.h>

#include "scenario.h"

#define CALL_TIMEOUT_MS 4000
#define CTL_WORDS_MAX   64

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
    g_ptr_array_add (headers, (char *)"Authorization: Bearer " SCN_OPERATOR_KEY);
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
