/*
 * Plans operators' commands: determines the next write of a command, or its outcome.
 *
 * A plan is a pure function of the command and the platform's objects.  The caller reads
 * the objects, gets the plan, does the one conditional write that it contains, and starts
 * over until the plan is an outcome.  Each write stores the command's id in the object,
 * and the planner looks for that id first: a write whose response was lost is found when
 * the object is read again, and is never repeated.
 */
#ifndef DL_PLAN_H
#define DL_PLAN_H

#include "query/query.h"

/* Entries kept in the history of a rollout or of the settings. */
#define DL_HISTORY_MAX 64

/* A command as an operator gave it. */
typedef struct
{
  const char *id;
  const char *by;
  uint64_t at_ms;       /* wall clock, for display only */
  uint64_t at_revision; /* refuse if the object changed after it; 0: no precondition */
  uint64_t intent_revision; /* revision that created the object command/ID */
  bool resumed;             /* an earlier attempt may have written already */
  json_object *value;       /* the settings of SETTINGS_APPLY; may be NULL */
  /* The objects at at_revision; NULL when they are no longer kept. */
  const DlQuerySource *source_at_revision;
} DlCommand;

typedef enum
{
  DL_PLAN_WRITE,   /* do the write, read the objects again and get the next plan */
  DL_PLAN_APPLIED, /* the command has taken full effect */
  DL_PLAN_REFUSED, /* it has no effect; the outcome's detail has the reason */
  DL_PLAN_UNKNOWN, /* whether an earlier attempt takes effect is not known yet */
} DlPlanType;

typedef struct
{
  DlPlanType type;
  union
  {
    struct
    {
      const char *kind;
      const char *name;
      uint64_t base;      /* revision of the object that is replaced; 0: create it */
      json_object *value; /* NULL deletes; freed with the plan */
    } write;
    struct
    {
      const char *detail;
      uint64_t revision; /* APPLIED: revision of the object that the command changed */
    } outcome;
  };
} DlPlan;

/* Returns the kinds of objects that the plan of STATEMENT reads, comma-separated. */
const char *dl_plan_kinds (const DlStatement *statement);
/* Plans the next step of COMMAND, the parsed text of which is STATEMENT, on the objects
 * CURRENT.  The result is a talloc child of CONTEXT. */
DlPlan *dl_plan_command (const void *context,
                         const DlStatement *statement,
                         const DlCommand *command,
                         const DlQuerySource *current);

#endif
