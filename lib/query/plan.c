#include "query/plan.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "kernel/fleet.h"
#include "query/flatten.h"
#include "query/json_get.h"

#define KIND_ROLLOUT "rollout"
#define KIND_VERSION "version"
#define KIND_DRAIN   "drain"
#define KIND_STATUS  "status"

#define MS_PER_S          1000
#define TIME_BYTES        32
#define DIGEST_PREFIX_MIN 8 /* hexadecimal digits that identify a version */

/* Input of the plan of one command. */
typedef struct
{
  const void *context;
  const DlStatement *statement;
  const DlCommand *command;
  const DlQuerySource *current;
} Planner;

/* -------- outcomes and writes -------- */

static DlPlan *
outcome (const Planner *p, DlPlanType type, uint64_t revision, const char *detail)
{
  DlPlan *plan = talloc_zero (p->context, DlPlan);

  *plan = (DlPlan){ .type = type, .outcome = { .detail = detail, .revision = revision } };
  return plan;
}

static DlPlan *__attribute__ ((format (printf, 2, 3)))
refuse (const Planner *p, const char *format, ...)
{
  va_list args;
  char *detail;

  va_start (args, format);
  detail = talloc_vasprintf (p->context, format, args);
  va_end (args);
  return outcome (p, DL_PLAN_REFUSED, 0, detail);
}

static DlPlan *__attribute__ ((format (printf, 3, 4)))
applied (const Planner *p, uint64_t revision, const char *format, ...)
{
  va_list args;
  char *detail;

  va_start (args, format);
  detail = talloc_vasprintf (p->context, format, args);
  va_end (args);
  return outcome (p, DL_PLAN_APPLIED, revision, detail);
}

static int
release_value (DlPlan *plan)
{
  json_object_put (plan->write.value);
  return 0;
}

/* Takes ownership of VALUE. */
static DlPlan *
write_object (const Planner *p,
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

/* Returns "by NAME at TIME" for an object or history entry with the members "by" and
 * "at_ms". */
static const char *
describe_author (const Planner *p, json_object *entry)
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

/* Describes the last change in the history of VALUE. */
static const char *
describe_last_change (const Planner *p, json_object *value)
{
  json_object *entry = last_history_entry (value);
  const char *what = dl_json_text (entry, "what");

  if (entry == NULL)
    return "nobody knows by whom";
  return talloc_asprintf (p->context, "%s %s", what[0] != '\0' ? what : "changed",
                          describe_author (p, entry));
}

static bool
history_has_command (json_object *value, const char *id)
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

/* Returns a new history: the last entries of OLD, which may be NULL, and one for this
 * command. */
static json_object *
extend_history (const Planner *p, json_object *old, const char *what)
{
  json_object *history = json_object_new_array ();
  size_t length = dl_json_array_length (old);
  size_t first = length >= DL_HISTORY_MAX ? length - DL_HISTORY_MAX + 1 : 0;

  for (size_t i = first; i < length; i++)
    json_object_array_add (history, json_object_get (json_object_array_get_idx (old, i)));
  json_object_array_add (history, new_history_entry (p, what));
  return history;
}

/* Returns a shallow copy of VALUE, which is shared and must not be changed. */
static json_object *
copy_object (json_object *value)
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

/* Returns a refusal when KIND/NAME changed after the command's at_revision, else NULL. */
static DlPlan *
check_precondition (const Planner *p, const char *kind, const char *name)
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
    return refuse (p, "%s %s was deleted after revision %" PRIu64, kind, name, at);
  if (current->revision <= at)
    return NULL;
  if (old != NULL && !differs_for_operators (current->value, old->value))
    return NULL;
  how = dl_json_array (current->value, "history") != NULL
            ? describe_last_change (p, current->value)
            : describe_author (p, current->value);
  return refuse (p,
                 "%s %s changed after revision %" PRIu64 ": %s (now at revision %" PRIu64
                 ")",
                 kind, name, at, how, current->revision);
}

/* -------- publish -------- */

static json_object *
new_version (const Planner *p)
{
  json_object *value = json_object_new_object ();

  dl_json_add_text (value, "model", p->statement->publish.model);
  dl_json_add_text (value, "label", p->statement->publish.label);
  dl_json_add_uint (value, "manifest_bytes", p->statement->publish.manifest_bytes);
  dl_json_add_uint (value, "total_bytes", p->statement->publish.total_bytes);
  dl_json_add_uint (value, "chunk_count", p->statement->publish.chunk_count);
  dl_json_add_text (value, "by", p->command->by);
  dl_json_add_uint (value, "at_ms", p->command->at_ms);
  dl_json_add_text (value, "command", p->command->id);
  return value;
}

/* Returns the last version with LABEL, or NULL; *COUNT is the number of such versions. */
static const DlObject *
find_by_label (const Planner *p, const char *label, size_t *count)
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

static DlPlan *
plan_publish (const Planner *p)
{
  const char *digest = p->statement->publish.version;
  const char *label = p->statement->publish.label;
  const DlObject *object = dl_query_source_find (p->current, KIND_VERSION, digest);
  size_t count;
  const DlObject *other;

  if (object != NULL && strcmp (dl_json_text (object->value, "label"), label) == 0)
    return applied (p, object->revision, "version %s is published as %s, %s", digest,
                    label, describe_author (p, object->value));
  if (object != NULL)
    return refuse (p, "version %s was published as %s %s", digest,
                   dl_json_text (object->value, "label"),
                   describe_author (p, object->value));
  other = find_by_label (p, label, &count);
  if (other != NULL)
    return refuse (p, "label %s names version %s, published %s", label, other->name,
                   describe_author (p, other->value));
  return write_object (p, KIND_VERSION, digest, 0, new_version (p));
}

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
  const DlObject *found = find_by_label (p, text, &count);
  const DlObject *versions;
  size_t length;

  if (count > 1)
    return refuse (p, "label %s names %zu versions; give the digest", text, count);
  versions = dl_query_source_kind (p->current, KIND_VERSION, &length);
  for (size_t i = 0; count == 0 && i < length; i++)
    if (strlen (text) >= DIGEST_PREFIX_MIN && g_str_has_prefix (versions[i].name, text))
      {
        if (found != NULL)
          return refuse (p, "%s begins more than one digest", text);
        found = &versions[i];
      }
  if (found == NULL)
    return refuse (p, "no version is published as %s", text);
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
  json_object_object_add (value, "history", extend_history (p, NULL, what));
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
      DlPlan *refusal = check_precondition (p, KIND_ROLLOUT, r->name);

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
    return refuse (p, "service %s is plain and carries no model", service);
  targets = choose_targets (p);
  if (json_object_array_length (targets) == 0)
    refusal = refuse (p, "no slot of service %s is known in %s", service,
                      p->statement->start.region_count > 0 ? "the named regions"
                                                           : "any region");
  else
    refusal = check_overlapping (p, targets);
  if (refusal != NULL)
    {
      json_object_put (targets);
      return refusal;
    }
  return write_object (p, KIND_ROLLOUT, p->statement->start.name, 0,
                       new_rollout (p, version, fleet, targets));
}

/* Plans to mark ROLLOUT as replaced by the one that this command started. */
static DlPlan *
plan_replace (const Planner *p, const DlObject *rollout)
{
  json_object *value = copy_object (rollout->value);
  char *what = talloc_asprintf (p->context, "replaced by %s", p->statement->start.name);

  dl_json_add_text (value, "state", "replaced");
  dl_json_add_text (value, "reason", what);
  json_object_object_add (value, "history",
                          extend_history (p, dl_json_array (rollout->value, "history"),
                                          what));
  return write_object (p, KIND_ROLLOUT, rollout->name, rollout->revision, value);
}

static DlPlan *
plan_start (const Planner *p)
{
  const char *name = p->statement->start.name;
  const DlObject *existing = dl_query_source_find (p->current, KIND_ROLLOUT, name);
  const DlObject *older;
  json_object *targets;
  size_t at = 0;

  if (existing == NULL)
    return plan_create_rollout (p);
  if (!history_has_command (existing->value, p->command->id))
    return refuse (p, "rollout %s exists: %s", name,
                   describe_last_change (p, existing->value));
  targets = dl_json_array (existing->value, "targets");
  older = is_in_progress (existing->value)
              ? next_overlapping (p, targets, existing->created, &at)
              : NULL;
  if (older != NULL)
    return plan_replace (p, older);
  return applied (p, existing->revision, "rollout %s started for %zu hosts%s%s", name,
                  dl_json_array_length (targets),
                  is_in_progress (existing->value) ? "" : "; since: ",
                  is_in_progress (existing->value)
                      ? ""
                      : describe_last_change (p, existing->value));
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

static DlPlan *
plan_change (const Planner *p)
{
  const char *name = p->statement->name;
  const DlObject *object = dl_query_source_find (p->current, KIND_ROLLOUT, name);
  DlPlan *refusal;
  const char *conflict;
  const char *what;
  json_object *value;

  if (object == NULL)
    return refuse (p, "there is no rollout %s", name);
  if (history_has_command (object->value, p->command->id))
    return applied (p, object->revision, "rollout %s %s", name,
                    change_name (p->statement->type));
  refusal = check_precondition (p, KIND_ROLLOUT, name);
  if (refusal != NULL)
    return refusal;
  conflict = state_conflict (p, object->value);
  if (conflict != NULL)
    return refuse (p, "rollout %s %s: %s", name, conflict,
                   describe_last_change (p, object->value));
  value = copy_object (object->value);
  what = change_state (p, value, object->revision);
  json_object_object_add (value, "history",
                          extend_history (p, dl_json_array (object->value, "history"),
                                          what));
  return write_object (p, KIND_ROLLOUT, name, object->revision, value);
}

/* -------- drain, undrain -------- */

/* The object is kept when the host is put back into service: if it were deleted, a
 * delayed write of an earlier drain, which creates it, could still take effect. */
static DlPlan *
plan_write_drain (const Planner *p, const DlObject *object, bool drained)
{
  json_object *old = object != NULL ? dl_json_array (object->value, "history") : NULL;
  json_object *value = json_object_new_object ();

  dl_json_add_text (value, "state", drained ? DL_DRAIN_DRAINED : DL_DRAIN_IN_SERVICE);
  dl_json_add_text (value, "by", p->command->by);
  dl_json_add_uint (value, "at_ms", p->command->at_ms);
  json_object_object_add (value, "history",
                          extend_history (p, old, drained ? "drained" : "put back"));
  return write_object (p, KIND_DRAIN, p->statement->name,
                       object != NULL ? object->revision : 0, value);
}

static DlPlan *
plan_drain (const Planner *p, bool drain)
{
  const char *host = p->statement->name;
  const DlObject *object = dl_query_source_find (p->current, KIND_DRAIN, host);
  bool drained = dl_host_is_drained (p->current, host);
  DlPlan *refusal;

  if (object != NULL && history_has_command (object->value, p->command->id))
    return applied (p, object->revision, "host %s %s", host,
                    drain ? "takes no new requests" : "is not drained");
  if (object != NULL && drain == drained)
    return refuse (p, "host %s %s: %s", host,
                   drained ? "is drained already" : "is not drained",
                   describe_last_change (p, object->value));
  if (object == NULL && !drain)
    return refuse (p, "host %s is not drained", host);
  refusal = check_precondition (p, KIND_DRAIN, host);
  if (refusal != NULL)
    return refusal;
  return plan_write_drain (p, object, drain);
}

/* -------- settings -------- */

/* True when both are equal apart from their histories. */
static bool
settings_equal (const Planner *p, json_object *a, json_object *b)
{
  size_t a_count;
  size_t b_count;
  DlFlatSetting *x = dl_settings_flatten (p->context, a, &a_count);
  DlFlatSetting *y = dl_settings_flatten (p->context, b, &b_count);

  if (a_count != b_count)
    return false;
  for (size_t i = 0; i < a_count; i++)
    if (strcmp (x[i].key, y[i].key) != 0 || strcmp (x[i].value, y[i].value) != 0)
      return false;
  return true;
}

static DlPlan *
plan_write_settings (const Planner *p, const DlObject *object)
{
  json_object *old = object != NULL ? dl_json_array (object->value, "history") : NULL;
  json_object *value = copy_object (p->command->value);

  json_object_object_add (value, DL_SETTINGS_HISTORY,
                          extend_history (p, old, "accepted"));
  return write_object (p, DL_FLEET_KIND, DL_FLEET_NAME,
                       object != NULL ? object->revision : 0, value);
}

static DlPlan *
plan_settings (const Planner *p)
{
  const DlObject *object
      = dl_query_source_find (p->current, DL_FLEET_KIND, DL_FLEET_NAME);
  DlFleet *fleet = NULL;
  char *error = NULL;
  DlPlan *refusal;

  if (object != NULL && history_has_command (object->value, p->command->id))
    return applied (p, object->revision, "settings accepted as revision %" PRIu64,
                    object->revision);
  if (p->command->value == NULL && p->command->resumed)
    return outcome (
        p, DL_PLAN_UNKNOWN, 0,
        "the settings were not accepted so far; give the command again with its "
        "id and its file");
  if (!json_object_is_type (p->command->value, json_type_object))
    return refuse (p, "the command came without settings");
  if (dl_fleet_parse (p->context, p->statement->name,
                      dl_str (json_object_to_json_string (p->command->value)), &fleet,
                      &error)
      < 0)
    return refuse (p, "%s", error);
  refusal = check_precondition (p, DL_FLEET_KIND, DL_FLEET_NAME);
  if (refusal != NULL)
    return refusal;
  if (object != NULL && settings_equal (p, object->value, p->command->value))
    return applied (p, object->revision, "no change from revision %" PRIu64,
                    object->revision);
  /* The command replaces all settings: it must not overwrite any that were accepted after
   * it was given. */
  if (object != NULL && object->revision > p->command->intent_revision)
    return refuse (p,
                   "settings changed while the command ran: %s (now at revision %" PRIu64
                   ")",
                   describe_last_change (p, object->value), object->revision);
  return plan_write_settings (p, object);
}

/* -------- all commands -------- */

const char *
dl_plan_kinds (const DlStatement *statement)
{
  switch (statement->type)
    {
    case DL_STATEMENT_PUBLISH:
      return KIND_VERSION;
    case DL_STATEMENT_ROLLOUT_START:
      return KIND_ROLLOUT "," KIND_VERSION "," KIND_STATUS "," DL_FLEET_KIND;
    case DL_STATEMENT_ROLLOUT_PAUSE:
    case DL_STATEMENT_ROLLOUT_RESUME:
    case DL_STATEMENT_ROLLOUT_CALL_OFF:
      return KIND_ROLLOUT;
    case DL_STATEMENT_DRAIN:
    case DL_STATEMENT_UNDRAIN:
      return KIND_DRAIN;
    default:
      return DL_FLEET_KIND;
    }
}

/* Returns the object that shows whether the command took effect; NULL when there is
 * none. */
static const DlObject *
find_command_object (const Planner *p)
{
  switch (p->statement->type)
    {
    case DL_STATEMENT_PUBLISH:
      return dl_query_source_find (p->current, KIND_VERSION,
                                   p->statement->publish.version);
    case DL_STATEMENT_ROLLOUT_START:
      return dl_query_source_find (p->current, KIND_ROLLOUT, p->statement->start.name);
    case DL_STATEMENT_ROLLOUT_PAUSE:
    case DL_STATEMENT_ROLLOUT_RESUME:
    case DL_STATEMENT_ROLLOUT_CALL_OFF:
      return dl_query_source_find (p->current, KIND_ROLLOUT, p->statement->name);
    case DL_STATEMENT_DRAIN:
    case DL_STATEMENT_UNDRAIN:
      return dl_query_source_find (p->current, KIND_DRAIN, p->statement->name);
    default:
      return dl_query_source_find (p->current, DL_FLEET_KIND, DL_FLEET_NAME);
    }
}

static DlPlan *
plan_statement (const Planner *p)
{
  switch (p->statement->type)
    {
    case DL_STATEMENT_PUBLISH:
      return plan_publish (p);
    case DL_STATEMENT_ROLLOUT_START:
      return plan_start (p);
    case DL_STATEMENT_ROLLOUT_PAUSE:
    case DL_STATEMENT_ROLLOUT_RESUME:
    case DL_STATEMENT_ROLLOUT_CALL_OFF:
      return plan_change (p);
    case DL_STATEMENT_DRAIN:
      return plan_drain (p, true);
    case DL_STATEMENT_UNDRAIN:
      return plan_drain (p, false);
    case DL_STATEMENT_SETTINGS_APPLY:
      return plan_settings (p);
    default:
      return refuse (p, "this is not a command");
    }
}

/* True when an earlier write of the command can still take effect after a refusal: a
 * write that creates the object can as long as the object does not exist; one that
 * replaces it can unless the refusal shows that the object has changed since. */
static bool
may_have_pending_write (const Planner *p)
{
  if (!p->command->resumed)
    return false;
  if (find_command_object (p) == NULL)
    return p->statement->type == DL_STATEMENT_PUBLISH
           || p->statement->type == DL_STATEMENT_ROLLOUT_START
           || p->statement->type == DL_STATEMENT_DRAIN
           || p->statement->type == DL_STATEMENT_SETTINGS_APPLY;
  return p->command->at_revision > 0 && p->command->source_at_revision == NULL;
}

DlPlan *
dl_plan_command (const void *context,
                 const DlStatement *statement,
                 const DlCommand *command,
                 const DlQuerySource *current)
{
  Planner planner = {
    .context = context,
    .statement = statement,
    .command = command,
    .current = current,
  };
  DlPlan *plan = plan_statement (&planner);

  if (plan->type == DL_PLAN_REFUSED && may_have_pending_write (&planner))
    {
      plan->type = DL_PLAN_UNKNOWN;
      plan->outcome.detail = talloc_asprintf (
          context, "an earlier try may still take effect; now it would be refused: %s",
          plan->outcome.detail);
    }
  return plan;
}
