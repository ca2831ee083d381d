#include "query/plan_private.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/fleet.h"
#include "query/flatten.h"
#include "query/json_get.h"

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

static DlPlan *
plan_publish (const Planner *p)
{
  const char *digest = p->statement->publish.version;
  const char *label = p->statement->publish.label;
  const DlObject *object = dl_query_source_find (p->current, KIND_VERSION, digest);
  size_t count;
  const DlObject *other;

  if (object != NULL && strcmp (dl_json_text (object->value, "label"), label) == 0)
    return plan_applied (p, object->revision, "version %s is published as %s, %s", digest,
                         label, plan_describe_author (p, object->value));
  if (object != NULL)
    return plan_refuse (p, "version %s was published as %s %s", digest,
                        dl_json_text (object->value, "label"),
                        plan_describe_author (p, object->value));
  other = plan_find_by_label (p, label, &count);
  if (other != NULL)
    return plan_refuse (p, "label %s names version %s, published %s", label, other->name,
                        plan_describe_author (p, other->value));
  return plan_write_object (p, KIND_VERSION, digest, 0, new_version (p));
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
                          plan_extend_history (p, old, drained ? "drained" : "put back"));
  return plan_write_object (p, KIND_DRAIN, p->statement->name,
                            object != NULL ? object->revision : 0, value);
}

static DlPlan *
plan_drain (const Planner *p, bool drain)
{
  const char *host = p->statement->name;
  const DlObject *object = dl_query_source_find (p->current, KIND_DRAIN, host);
  bool drained = dl_host_is_drained (p->current, host);
  DlPlan *refusal;

  if (object != NULL && plan_history_has_command (object->value, p->command->id))
    return plan_applied (p, object->revision, "host %s %s", host,
                         drain ? "takes no new requests" : "is not drained");
  if (object != NULL && drain == drained)
    return plan_refuse (p, "host %s %s: %s", host,
                        drained ? "is drained already" : "is not drained",
                        plan_describe_last_change (p, object->value));
  if (object == NULL && !drain)
    return plan_refuse (p, "host %s is not drained", host);
  refusal = plan_check_precondition (p, KIND_DRAIN, host);
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
  json_object *value = plan_copy_object (p->command->value);

  json_object_object_add (value, DL_SETTINGS_HISTORY,
                          plan_extend_history (p, old, "accepted"));
  return plan_write_object (p, DL_FLEET_KIND, DL_FLEET_NAME,
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

  if (object != NULL && plan_history_has_command (object->value, p->command->id))
    return plan_applied (p, object->revision, "settings accepted as revision %" PRIu64,
                         object->revision);
  if (p->command->value == NULL && p->command->resumed)
    return plan_outcome (
        p, DL_PLAN_UNKNOWN, 0,
        "the settings were not accepted so far; give the command again with its "
        "id and its file");
  if (!json_object_is_type (p->command->value, json_type_object))
    return plan_refuse (p, "the command came without settings");
  if (dl_fleet_parse (p->context, p->statement->name,
                      dl_str (json_object_to_json_string (p->command->value)), &fleet,
                      &error)
      < 0)
    return plan_refuse (p, "%s", error);
  refusal = plan_check_precondition (p, DL_FLEET_KIND, DL_FLEET_NAME);
  if (refusal != NULL)
    return refusal;
  if (object != NULL && settings_equal (p, object->value, p->command->value))
    return plan_applied (p, object->revision, "no change from revision %" PRIu64,
                         object->revision);
  /* The command replaces all settings: it must not overwrite any that were accepted after
   * it was given. */
  if (object != NULL && object->revision > p->command->intent_revision)
    return plan_refuse (
        p, "settings changed while the command ran: %s (now at revision %" PRIu64 ")",
        plan_describe_last_change (p, object->value), object->revision);
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
      return plan_refuse (p, "this is not a command");
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
