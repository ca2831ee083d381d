/*
 * Statements that declare the fleet: regions, services, organisations and processes.
 */
#include <string.h>

#include "scenario.h"

json_object *
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

/* region NAME DATA_CENTER...; the first region is the home region, where
 * the origin is. */
bool
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
bool
statement_service (Scenario *s, char **words, unsigned count)
{
  json_object *service = json_object_new_object ();

  json_object_object_add (service, "name", json_object_new_string (words[1]));
  json_object_object_add (service, "kind", json_object_new_string (words[2]));
  json_object_array_add (fleet_list (s, "services"), service);
  return scn_parse_members (s, service, words + 3, count - 3);
}

/* organisation NAME REQUESTS_PER_S [KEY=VALUE]... */
bool
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
  return scn_parse_members (s, organisation, words + 3, count - 3);
}

/* defaults KIND KEY=VALUE...: for processes that are started later, or the fleet
 * settings. */
bool
statement_defaults (Scenario *s, char **words, unsigned count)
{
  static const char *const names[PROCESS_KINDS]
      = { "platform", "origin", "engine", "service", "entry", "slot" };

  if (strcmp (words[1], "fleet") == 0)
    return scn_parse_members (s, s->fleet, words + 2, count - 2);
  for (unsigned i = 0; i < PROCESS_KINDS; i++)
    if (strcmp (names[i], words[1]) == 0)
      return scn_parse_members (s, s->defaults[i], words + 2, count - 2);
  return scn_fail (s, "no kind of process is named %s", words[1]);
}

/* entry NAME DATA_CENTER [KEY=VALUE]... */
bool
statement_entry (Scenario *s, char **words, unsigned count)
{
  const char *region;
  const char *data_center;
  Process *p;

  if (!find_data_center (s, words[2], &region, &data_center))
    return false;
  p = process_new (s, PROCESS_ENTRY, words[1], region, data_center);
  return scn_parse_members (s, p->settings, words + 3, count - 3);
}

/* slot NAME DATA_CENTER SERVICE [KEY=VALUE]...; also declares its engine or plain
 * service, NAME.engine. */
bool
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
  return scn_parse_members (s, p->settings, words + 4, count - 4);
}

/* entries COUNT [KEY=VALUE]..., named e1, e2, ..., or slots COUNT SERVICE [KEY=VALUE]...,
 * named SERVICE-1, SERVICE-2, ...: assigned to the data centres in turn. */
bool
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
bool
statement_store (Scenario *s, char **words, unsigned count)
{
  return scn_parse_members (s, process_new (s, PROCESS_ORIGIN, "store", "", "")->settings,
                            words + 1, count - 1);
}

/* relays on|off */
bool
statement_relays (Scenario *s, char **words, unsigned count)
{
  s->use_relays = strcmp (words[1], "on") == 0;
  return true;
}
