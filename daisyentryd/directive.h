/*
 * What the rollouts of a snapshot ask of each slot.
 */
#ifndef DIRECTIVE_H
#define DIRECTIVE_H

#include "daisyentryd.h"
#include "kernel/crypt.h"
#include "policy/rollout.h"

typedef struct DirectiveTable DirectiveTable;

/* Parses the rollouts of SNAPSHOT; malformed ones are logged and passed over.  A talloc
 * block below CONTEXT, which borrows from SNAPSHOT. */
DirectiveTable *directive_table_new (const void *context, const EntrySnapshot *snapshot);
/* True when SNAPSHOT has the same rollouts and versions as the table. */
bool directive_table_is_current (const DirectiveTable *table,
                                 const EntrySnapshot *snapshot);
const DlRolloutSet *directive_table_rollouts (const DirectiveTable *table);

/* A directive on the way to a slot; texts are borrowed from the table and FLEET. */
typedef struct
{
  Daisyloft__Wire__Directive wire;
  DlDigest version;
  char *key; /* equal for directives that ask the same; below the given context */
} HostDirective;

/* The directive for HOST; an empty rollout name when there is none. */
void directive_for_host (const void *context,
                         const DirectiveTable *table,
                         const DlFleet *fleet,
                         const char *host,
                         HostDirective *out);
/* The directive of one rollout, by name; one that is gone counts as called off. */
void directive_for_rollout (const void *context,
                            const DirectiveTable *table,
                            const DlFleet *fleet,
                            const char *host,
                            const char *rollout,
                            HostDirective *out);

#endif
