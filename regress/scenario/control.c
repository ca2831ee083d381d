/*
 * Statements that start and end processes, and set faults of stand-ins.
 */
#include <signal.h>
#include <string.h>

#include "scenario.h"

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
bool
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
bool
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
bool
statement_fault (Scenario *s, char **words, unsigned count)
{
  GPtrArray *found = process_match (s, words[1]);
  json_object *body = json_object_new_object ();
  bool ok = found != NULL && scn_parse_members (s, body, words + 2, count - 2);
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
