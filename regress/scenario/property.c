/*
 * Properties: what callers were told is compared with what the stand-ins recorded.
 */
#include "property.h"

#include <inttypes.h>
#include <string.h>

#include "operand.h"

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
          const char *tag = operand_text_at (json_object_array_get_idx (list, j), "tag");
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
          const char *verdict = operand_text_at (command, "verdict");

          if (strcmp (verdict, "taken") != 0 && strcmp (verdict, "late") != 0)
            continue;
          if (command_fence < fence)
            ok = scn_fail (s,
                           "%s accepted a load command with fence %" PRIu64
                           " after %" PRIu64,
                           operand_text_at (engine, "process"), command_fence, fence);
          else if (json_object_get_uint64 (json_at (command, "running")) > 0)
            ok = scn_fail (s, "%s accepted a load command while requests ran",
                           operand_text_at (engine, "process"));
          fence = command_fence;
        }
    }
  json_object_put (engines);
  return ok;
}

static const struct
{
  const char *name;
  PropertyFunc check;
} properties[] = {
  { "no-mixed-weights", check_no_mixed_weights },
  { "no-lost-request", check_no_lost_request },
  { "at-most-once", check_at_most_once },
  { "not-run-is-true", check_not_run_is_true },
  { "answered-ran", check_answered_ran },
  { "orders", check_orders },
};

PropertyFunc
property_find (const char *name)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (properties); i++)
    if (strcmp (properties[i].name, name) == 0)
      return properties[i].check;
  return NULL;
}
