/*
 * Internal interfaces of the planner: plan.c plans each command, plan_rollout.c those of
 * rollouts, from the parts in plan_parts.c.
 */
#ifndef DL_PLAN_PRIVATE_H
#define DL_PLAN_PRIVATE_H

#include "query/plan.h"

/* Kinds of objects. */
#define KIND_ROLLOUT "rollout"
#define KIND_VERSION "version"
#define KIND_DRAIN   "drain"
#define KIND_STATUS  "status"

/* Input of the plan of one command. */
typedef struct
{
  const void *context;
  const DlStatement *statement;
  const DlCommand *command;
  const DlQuerySource *current;
} Planner;

/* -------- plan_parts.c -------- */

/* Returns a plan that is an outcome, with DETAIL. */
DlPlan *
plan_outcome (const Planner *p, DlPlanType type, uint64_t revision, const char *detail);
/* Returns a refusal with the formatted reason. */
DlPlan *plan_refuse (const Planner *p, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Returns that the command has taken effect, in the object's REVISION. */
DlPlan *plan_applied (const Planner *p, uint64_t revision, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
/* Returns a write of KIND/NAME over revision BASE.  Takes ownership of VALUE. */
DlPlan *plan_write_object (const Planner *p,
                           const char *kind,
                           const char *name,
                           uint64_t base,
                           json_object *value);
/* Returns "by NAME at TIME" for an object or history entry with the members "by" and
 * "at_ms". */
const char *plan_describe_author (const Planner *p, json_object *entry);
/* Describes the last change in the history of VALUE. */
const char *plan_describe_last_change (const Planner *p, json_object *value);
/* True if the history of VALUE has an entry of the command ID. */
bool plan_history_has_command (json_object *value, const char *id);
/* Returns a new history: the last entries of OLD, which may be NULL, and one for this
 * command. */
json_object *plan_extend_history (const Planner *p, json_object *old, const char *what);
/* Returns a shallow copy of VALUE, which is shared and must not be changed. */
json_object *plan_copy_object (json_object *value);
/* Returns a refusal when KIND/NAME changed after the command's at_revision, else NULL. */
DlPlan *plan_check_precondition (const Planner *p, const char *kind, const char *name);
/* Returns the last version with LABEL, or NULL; *COUNT is the number of such versions. */
const DlObject *plan_find_by_label (const Planner *p, const char *label, size_t *count);

/* -------- plan_rollout.c -------- */

/* Plans ROLLOUT_START. */
DlPlan *plan_start (const Planner *p);
/* Plans ROLLOUT_PAUSE, ROLLOUT_RESUME and ROLLOUT_CALL_OFF. */
DlPlan *plan_change (const Planner *p);

#endif
