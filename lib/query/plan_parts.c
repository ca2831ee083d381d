/* Parts of plans: outcomes and writes, histories, preconditions. */
#include "query/plan_private.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "query/json_get.h"

#define MS_PER_S   1000
#define TIME_BYTES 32

/* -------- outcomes and writes -------- */

DlPlan *
plan_outcome (const Planner *p, DlPlanType type, uint64_t revision, const char *detail)
{
  DlPlan *plan = talloc_zero (p->context, DlPlan);

  *plan = (DlPlan){ .type = type, .outcome = { .detail = detail, .revision = revision } };
  return plan;
}

DlPlan *
plan_refuse (const Planner *p, const char *format, ...)
{
  va_list args;
  char *detail;

  va_start (args, format);
  detail = talloc_vasprintf (p->context, format, args);
  va_end (args);
  return plan_outcome (p, DL_PLAN_REFUSED, 0, detail);
}

DlPlan *
plan_applied (const Planner *p, uint64_t revision, const char *format, ...)
{
  va_list args;
  char *detail;

  va_start (args, format);
  detail = talloc_vasprintf (p->context, format, args);
  va_end (args);
  return plan_outcome (p, DL_PLAN_APPLIED, revision, detail);
}

static int
release_value (DlPlan *plan)
{
  json_object_put (plan->write.value);
  return 0;
}

DlPlan *
plan_write_object (const Planner *p,
                   const char *kind,
                   const char *name,
                   uint64_t base,
                   json_object *value)
{
  DlPlan *plan = talloc_zero (p->context, DlPlan);

  *plan = (DlPlan){
    .type = DL_PLAN_WRITE,
    .write = {
      .kind = kind,
      .name = talloc_strdup (plan, name),
      .base = base,
      .value = value,
    },
  };
  talloc_set_destructor (plan, release_value);
  return plan;
}

/* -------- histories -------- */

static const char *
format_time (const Planner *p, uint64_t at_ms)
{
  time_t seconds = (time_t)(at_ms / MS_PER_S);
  char text[TIME_BYTES];
  struct tm tm;

  if (at_ms == 0 || gmtime_r (&seconds, &tm) == NULL
      || strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &tm) == 0)
    return "an unknown time";
  return talloc_strdup (p->context, text);
}

const char *
plan_describe_author (const Planner *p, json_object *entry)
{
  const char *by = dl_json_text (entry, "by");

  return talloc_asprintf (p->context, "by %s at %s", by[0] != '\0' ? by : "someone",
                          format_time (p, dl_json_uint (entry, "at_ms")));
}

static json_object *
last_history_entry (json_object *value)
{
  json_object *history = dl_json_array (value, "history");
  size_t length = dl_json_array_length (history);

  return length > 0 ? json_object_array_get_idx (history, length - 1) : NULL;
}

const char *
plan_describe_last_change (const Planner *p, json_object *value)
{
  json_object *entry = last_history_entry (value);
  const char *what = dl_json_text (entry, "what");

  if (entry == NULL)
    return "nobody knows by whom";
  return talloc_asprintf (p->context, "%s %s", what[0] != '\0' ? what : "changed",
                          plan_describe_author (p, entry));
}

bool
plan_history_has_command (json_object *value, const char *id)
{
  json_object *history = dl_json_array (value, "history");

  for (size_t i = 0; i < dl_json_array_length (history); i++)
    if (strcmp (dl_json_text (json_object_array_get_idx (history, i), "command"), id)
        == 0)
      return true;
  return false;
}

static json_object *
new_history_entry (const Planner *p, const char *what)
{
  json_object *entry = json_object_new_object ();

  dl_json_add_uint (entry, "at_ms", p->command->at_ms);
  dl_json_add_text (entry, "by", p->command->by);
  dl_json_add_text (entry, "command", p->command->id);
  dl_json_add_text (entry, "what", what);
  return entry;
}

json_object *
plan_extend_history (const Planner *p, json_object *old, const char *what)
{
  json_object *history = json_object_new_array ();
  size_t length = dl_json_array_length (old);
  size_t first = length >= DL_HISTORY_MAX ? length - DL_HISTORY_MAX + 1 : 0;

  for (size_t i = first; i < length; i++)
    json_object_array_add (history, json_object_get (json_object_array_get_idx (old, i)));
  json_object_array_add (history, new_history_entry (p, what));
  return history;
}

json_object *
plan_copy_object (json_object *value)
{
  json_object *copy = json_object_new_object ();

  json_object_object_foreach (value, key, member)
    {
      json_object_object_add (copy, key, json_object_get (member));
    }
  return copy;
}

/* -------- preconditions -------- */

/* True when an object's state or history changed.  Other members are ignored: the entry
 * that steers a rollout updates them as it advances, and such updates must not refuse an
 * operator's command.  Objects without a history always differ. */
static bool
differs_for_operators (json_object *current, json_object *old)
{
  json_object *a = dl_json_array (current, "history");
  json_object *b = dl_json_array (old, "history");

  if (a == NULL && b == NULL)
    return true;
  return strcmp (dl_json_text (current, "state"), dl_json_text (old, "state")) != 0
         || dl_json_array_length (a) != dl_json_array_length (b)
         || !json_object_equal (last_history_entry (current), last_history_entry (old));
}

DlPlan *
plan_check_precondition (const Planner *p, const char *kind, const char *name)
{
  uint64_t at = p->command->at_revision;
  const DlObject *current = dl_query_source_find (p->current, kind, name);
  const DlObject *old = NULL;
  const char *how;

  if (at == 0)
    return NULL;
  if (p->command->source_at_revision != NULL)
    old = dl_query_source_find (p->command->source_at_revision, kind, name);
  if (current == NULL && old == NULL)
    return NULL;
  if (current == NULL)
    return plan_refuse (p, "%s %s was deleted after revision %" PRIu64, kind, name, at);
  if (current->revision <= at)
    return NULL;
  if (old != NULL && !differs_for_operators (current->value, old->value))
    return NULL;
  how = dl_json_array (current->value, "history") != NULL
            ? plan_describe_last_change (p, current->value)
            : plan_describe_author (p, current->value);
  return plan_refuse (p,
                      "%s %s changed after revision %" PRIu64
                      ": %s (now at revision %" PRIu64 ")",
                      kind, name, at, how, current->revision);
}

/* -------- versions -------- */

const DlObject *
plan_find_by_label (const Planner *p, const char *label, size_t *count)
{
  size_t length;
  const DlObject *versions = dl_query_source_kind (p->current, KIND_VERSION, &length);
  const DlObject *found = NULL;

  *count = 0;
  for (size_t i = 0; i < length; i++)
    if (strcmp (dl_json_text (versions[i].value, "label"), label) == 0)
      {
        found = &versions[i];
        (*count)++;
      }
  return found;
}
