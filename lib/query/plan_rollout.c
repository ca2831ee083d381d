/* Plans of the commands that start and change rollouts. */
#include "query/plan_private.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/fleet.h"
#include "query/json_get.h"

#define DIGEST_PREFIX_MIN 8 /* hexadecimal digits that identify a version */

/* -------- rollout start -------- */

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static bool
includes_region (const DlStatement *statement, const char *region)
{
  for (size_t i = 0; i < statement->start.region_count; i++)
    if (strcmp (statement->start.regions[i], region) == 0)
      return true;
  return statement->start.region_count == 0;
}

/* Adds the hosts of one data centre that the rollout targets.  Returns the new count. */
static size_t
add_targets (const Planner *p, json_object *hosts, const char ***names, size_t count)
{
  size_t length = dl_json_array_length (hosts);

  *names = talloc_realloc (p->context, *names, const char *, count + length + 1);
  for (size_t i = 0; i < length; i++)
    {
      json_object *host = json_object_array_get_idx (hosts, i);

      if (strcmp (dl_json_text (host, "service"), p->statement->start.service) == 0
          && includes_region (p->statement, dl_json_text (host, "region"))
          && dl_json_text (host, "host")[0] != '\0')
        (*names)[count++] = dl_json_text (host, "host");
    }
  return count;
}

/* Returns the hosts of all slots of the service in the regions, sorted and unique. */
static json_object *
choose_targets (const Planner *p)
{
  json_object *targets = json_object_new_array ();
  const char **names = NULL;
  size_t count = 0;
  size_t status_count;
  const DlObject *status = dl_query_source_kind (p->current, KIND_STATUS, &status_count);

  for (size_t i = 0; i < status_count; i++)
    count = add_targets (p, dl_json_array (status[i].value, "hosts"), &names, count);
  if (count > 0)
    qsort (names, count, sizeof *names, compare_names);
  for (size_t i = 0; i < count; i++)
    if (i == 0 || strcmp (names[i], names[i - 1]) != 0)
      json_object_array_add (targets, json_object_new_string (names[i]));
  return targets;
}

static bool
is_in_progress (json_object *rollout)
{
  static const char *const states[] = { "distributing", "loading", "paused" };
  const char *state = dl_json_text (rollout, "state");

  for (size_t i = 0; i < G_N_ELEMENTS (states); i++)
    if (strcmp (state, states[i]) == 0)
      return true;
  return false;
}

/* True when the lists have a host in common; both are sorted. */
static bool
targets_overlap (json_object *a, json_object *b)
{
  size_t i = 0;
  size_t j = 0;

  while (i < dl_json_array_length (a) && j < dl_json_array_length (b))
    {
      const char *x = json_object_get_string (json_object_array_get_idx (a, i));
      const char *y = json_object_get_string (json_object_array_get_idx (b, j));
      int order = g_strcmp0 (x, y);

      if (order == 0)
        return true;
      if (order < 0)
        i++;
      else
        j++;
    }
  return false;
}

/* Returns the first rollout in progress, from index *AT on, that shares a host with
 * TARGETS and was created before revision BEFORE; NULL when there is none.  Sets *AT to
 * the index after it. */
static const DlObject *
next_overlapping (const Planner *p, json_object *targets, uint64_t before, size_t *at)
{
  size_t count;
  const DlObject *rollouts = dl_query_source_kind (p->current, KIND_ROLLOUT, &count);

  for (; *at < count; (*at)++)
    {
      const DlObject *r = &rollouts[*at];

      if (r->created < before && is_in_progress (r->value)
          && targets_overlap (targets, dl_json_array (r->value, "targets")))
        return &rollouts[(*at)++];
    }
  return NULL;
}

/* Returns the names of the rollouts that one for TARGETS replaces, as "a, b"; NULL when
 * there are none. */
static char *
list_overlapping (const Planner *p, json_object *targets)
{
  const DlObject *r;
  char *text = NULL;
  size_t at = 0;

  while ((r = next_overlapping (p, targets, UINT64_MAX, &at)) != NULL)
    text = text == NULL ? talloc_strdup (p->context, r->name)
                        : talloc_asprintf_append (text, ", %s", r->name);
  return text;
}

/* Finds the version by its label, its digest or a prefix of the digest.  Returns NULL
 * with *VERSION, or a refusal. */
static DlPlan *
find_version (const Planner *p, const char *text, const DlObject **version)
{
  size_t count;
  const DlObject *found = plan_find_by_label (p, text, &count);
  const DlObject *versions;
  size_t length;

  if (count > 1)
    return plan_refuse (p, "label %s names %zu versions; give the digest", text, count);
  versions = dl_query_source_kind (p->current, KIND_VERSION, &length);
  for (size_t i = 0; count == 0 && i < length; i++)
    if (strlen (text) >= DIGEST_PREFIX_MIN && g_str_has_prefix (versions[i].name, text))
      {
        if (found != NULL)
          return plan_refuse (p, "%s begins more than one digest", text);
        found = &versions[i];
      }
  if (found == NULL)
    return plan_refuse (p, "no version is published as %s", text);
  *version = found;
  return NULL;
}

static DlFleet *
read_fleet (const Planner *p)
{
  const DlObject *object
      = dl_query_source_find (p->current, DL_FLEET_KIND, DL_FLEET_NAME);
  DlFleet *fleet = NULL;
  char *error = NULL;

  if (object == NULL
      || dl_fleet_parse (p->context, "settings",
                         dl_str (json_object_to_json_string (object->value)), &fleet,
                         &error)
             < 0)
    return dl_fleet_default (p->context);
  return fleet;
}

static const char *
weigh_text (DlRolloutWeigh weigh, const DlFleet *fleet)
{
  switch (weigh)
    {
    case DL_ROLLOUT_WEIGH_TIME:
      return "time";
    case DL_ROLLOUT_WEIGH_ORIGIN_BYTES:
      return "origin-bytes";
    case DL_ROLLOUT_WEIGH_DEFAULT:
      break;
    }
  return fleet->weigh == DL_WEIGH_ORIGIN_BYTES ? "origin-bytes" : "time";
}

static json_object *
region_array (const DlStatement *statement)
{
  json_object *regions = json_object_new_array ();

  for (size_t i = 0; i < statement->start.region_count; i++)
    json_object_array_add (regions, json_object_new_string (statement->start.regions[i]));
  return regions;
}

/* Takes ownership of TARGETS. */
static json_object *
new_rollout (const Planner *p,
             const DlObject *version,
             const DlFleet *fleet,
             json_object *targets)
{
  json_object *value = json_object_new_object ();
  uint64_t wave = p->statement->start.wave_percent;
  const char *replaced = list_overlapping (p, targets);
  const char *what = "started";

  if (replaced != NULL)
    what = talloc_asprintf (p->context, "started; replaces %s", replaced);
  dl_json_add_text (value, "version", version->name);
  dl_json_add_text (value, "label", dl_json_text (version->value, "label"));
  dl_json_add_text (value, "service", p->statement->start.service);
  json_object_object_add (value, "regions", region_array (p->statement));
  dl_json_add_text (value, "weigh", weigh_text (p->statement->start.weigh, fleet));
  dl_json_add_uint (value, "wave_percent", wave > 0 ? wave : fleet->wave_percent);
  dl_json_add_text (value, "state", "distributing");
  dl_json_add_text (value, "paused_from", "");
  dl_json_add_text (value, "reason", "");
  dl_json_add_uint (value, "fence", 0);
  json_object_object_add (value, "targets", targets);
  json_object_object_add (value, "wave", json_object_new_array ());
  json_object_object_add (value, "loaded", json_object_new_array ());
  json_object_object_add (value, "failures", json_object_new_object ());
  json_object_object_add (value, "history", plan_extend_history (p, NULL, what));
  return value;
}

/* Returns a refusal when a rollout that this one would replace changed after the
 * command's at_revision, else NULL. */
static DlPlan *
check_overlapping (const Planner *p, json_object *targets)
{
  const DlObject *r;
  size_t at = 0;

  while ((r = next_overlapping (p, targets, UINT64_MAX, &at)) != NULL)
    {
      DlPlan *refusal = plan_check_precondition (p, KIND_ROLLOUT, r->name);

      if (refusal != NULL)
        return refusal;
    }
  return NULL;
}

static DlPlan *
plan_create_rollout (const Planner *p)
{
  const char *service = p->statement->start.service;
  DlFleet *fleet = read_fleet (p);
  const DlService *service_settings = dl_fleet_service (fleet, service);
  const DlObject *version = NULL;
  DlPlan *refusal = find_version (p, p->statement->start.version, &version);
  json_object *targets;

  if (refusal != NULL)
    return refusal;
  g_assert (version != NULL);
  if (service_settings != NULL && service_settings->kind != DL_SERVICE_MODEL)
    return plan_refuse (p, "service %s is plain and carries no model", service);
  targets = choose_targets (p);
  if (json_object_array_length (targets) == 0)
    refusal = plan_refuse (p, "no slot of service %s is known in %s", service,
                           p->statement->start.region_count > 0 ? "the named regions"
                                                                : "any region");
  else
    refusal = check_overlapping (p, targets);
  if (refusal != NULL)
    {
      json_object_put (targets);
      return refusal;
    }
  return plan_write_object (p, KIND_ROLLOUT, p->statement->start.name, 0,
                            new_rollout (p, version, fleet, targets));
}

/* Plans to mark ROLLOUT as replaced by the one that this command started. */
static DlPlan *
plan_replace (const Planner *p, const DlObject *rollout)
{
  json_object *value = plan_copy_object (rollout->value);
  char *what = talloc_asprintf (p->context, "replaced by %s", p->statement->start.name);

  dl_json_add_text (value, "state", "replaced");
  dl_json_add_text (value, "reason", what);
  json_object_object_add (value, "history",
                          plan_extend_history (p,
                                               dl_json_array (rollout->value, "history"),
                                               what));
  return plan_write_object (p, KIND_ROLLOUT, rollout->name, rollout->revision, value);
}

DlPlan *
plan_start (const Planner *p)
{
  const char *name = p->statement->start.name;
  const DlObject *existing = dl_query_source_find (p->current, KIND_ROLLOUT, name);
  const DlObject *older;
  json_object *targets;
  size_t at = 0;

  if (existing == NULL)
    return plan_create_rollout (p);
  if (!plan_history_has_command (existing->value, p->command->id))
    return plan_refuse (p, "rollout %s exists: %s", name,
                        plan_describe_last_change (p, existing->value));
  targets = dl_json_array (existing->value, "targets");
  older = is_in_progress (existing->value)
              ? next_overlapping (p, targets, existing->created, &at)
              : NULL;
  if (older != NULL)
    return plan_replace (p, older);
  return plan_applied (p, existing->revision, "rollout %s started for %zu hosts%s%s",
                       name, dl_json_array_length (targets),
                       is_in_progress (existing->value) ? "" : "; since: ",
                       is_in_progress (existing->value)
                           ? ""
                           : plan_describe_last_change (p, existing->value));
}

/* -------- rollout pause, resume, call off -------- */

/* Returns why the rollout's state does not allow the change; NULL when it does. */
static const char *
state_conflict (const Planner *p, json_object *rollout)
{
  const char *state = dl_json_text (rollout, "state");
  bool paused = strcmp (state, "paused") == 0;

  if (!is_in_progress (rollout))
    return talloc_asprintf (p->context, "is %s", state);
  if (p->statement->type == DL_STATEMENT_ROLLOUT_PAUSE && paused)
    return "is paused already";
  if (p->statement->type == DL_STATEMENT_ROLLOUT_RESUME && !paused)
    return talloc_asprintf (p->context, "is not paused but %s", state);
  return NULL;
}

/* Sets "since" of the wave's hosts to REVISION, at which this change is made: what they
 * reported before they knew of it does not count any more (see policy/rollout.h). */
static void
set_wave_since (json_object *value, uint64_t revision)
{
  json_object *wave = NULL;
  json_object *since = NULL;

  json_object_object_get_ex (value, "wave", &wave);
  json_object_object_get_ex (value, "since", &since);
  if (!json_object_is_type (wave, json_type_array))
    return;
  if (!json_object_is_type (since, json_type_object))
    {
      since = json_object_new_object ();
      json_object_object_add (value, "since", since);
    }
  for (size_t i = 0; i < json_object_array_length (wave); i++)
    json_object_object_add (since,
                            json_object_get_string (json_object_array_get_idx (wave, i)),
                            json_object_new_uint64 (revision));
}

/* Changes the state in VALUE, and returns the name of the change for the history. */
static const char *
change_state (const Planner *p, json_object *value, uint64_t revision)
{
  char *before = talloc_strdup (p->context, dl_json_text (value, "state"));
  char *paused_from = talloc_strdup (p->context, dl_json_text (value, "paused_from"));

  switch (p->statement->type)
    {
    case DL_STATEMENT_ROLLOUT_PAUSE:
      dl_json_add_text (value, "paused_from", before);
      dl_json_add_text (value, "state", "paused");
      return "paused";
    case DL_STATEMENT_ROLLOUT_RESUME:
      dl_json_add_text (value, "state",
                        paused_from[0] != '\0' ? paused_from : "distributing");
      dl_json_add_text (value, "paused_from", "");
      return "resumed";
    case DL_STATEMENT_ROLLOUT_CALL_OFF:
      set_wave_since (value, revision);
      dl_json_add_text (value, "state", "called-off");
      dl_json_add_text (value, "reason",
                        talloc_asprintf (p->context, "called off by %s", p->command->by));
      return "called off";
    default:
      g_assert_not_reached ();
    }
}

static const char *
change_name (DlStatementType type)
{
  if (type == DL_STATEMENT_ROLLOUT_PAUSE)
    return "paused";
  return type == DL_STATEMENT_ROLLOUT_RESUME ? "resumed" : "called off";
}

DlPlan *
plan_change (const Planner *p)
{
  const char *name = p->statement->name;
  const DlObject *object = dl_query_source_find (p->current, KIND_ROLLOUT, name);
  DlPlan *refusal;
  const char *conflict;
  const char *what;
  json_object *value;

  if (object == NULL)
    return plan_refuse (p, "there is no rollout %s", name);
  if (plan_history_has_command (object->value, p->command->id))
    return plan_applied (p, object->revision, "rollout %s %s", name,
                         change_name (p->statement->type));
  refusal = plan_check_precondition (p, KIND_ROLLOUT, name);
  if (refusal != NULL)
    return refusal;
  conflict = state_conflict (p, object->value);
  if (conflict != NULL)
    return plan_refuse (p, "rollout %s %s: %s", name, conflict,
                        plan_describe_last_change (p, object->value));
  value = plan_copy_object (object->value);
  what = change_state (p, value, object->revision);
  json_object_object_add (value, "history",
                          plan_extend_history (p,
                                               dl_json_array (object->value, "history"),
                                               what));
  return plan_write_object (p, KIND_ROLLOUT, name, object->revision, value);
}
