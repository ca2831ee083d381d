/*
 * Plans operators' commands: what has to be written next.
 *
 * A plan is a pure function of the command and the platform's objects.  Whoever runs a
 * command reads the objects, asks for the plan, does the one conditional write that it
 * names, and starts over until the plan says how the command ended.  Each write leaves
 * the command's id in what it writes, and the plan looks for it first: a write whose
 * answer was lost is found by reading back and is never done twice.
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
  uint64_t at_ms;           /* wall clock, for people */
  uint64_t at_revision;     /* precondition; 0: none */
  uint64_t intent_revision; /* that created the object command/ID */
  bool resumed;             /* an earlier try may have written already */
  json_object *value;       /* the settings of SETTINGS_APPLY; may be NULL */
  const DlQuerySource
      *source_at_revision; /* the objects at AT_REVISION; NULL when not kept */
} DlCommand;

typedef enum
{
  DL_PLAN_WRITE,   /* do the write, read again and ask for the next plan */
  DL_PLAN_APPLIED, /* the command has taken effect in full */
  DL_PLAN_REFUSED, /* it has not taken effect, and DETAIL says why */
  DL_PLAN_UNKNOWN, /* the objects do not tell whether an earlier try took effect */
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
      uint64_t base;      /* the revision that it replaces; 0 creates */
      json_object *value; /* NULL deletes; freed with the plan */
    } write;
    struct
    {
      const char *detail;
      uint64_t revision; /* APPLIED: of the object that shows the effect */
    } outcome;
  };
} DlPlan;

/* Kinds of objects, comma-separated, that the plan of STATEMENT reads. */
const char *dl_plan_kinds (const DlStatement *statement);
/* The result is below CONTEXT. */
DlPlan *dl_plan_command (const void *context,
                         const DlStatement *statement,
                         const DlCommand *command,
                         const DlQuerySource *current);

#endif
