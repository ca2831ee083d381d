/*
 * Builds the directives that tell slots what the rollouts of a snapshot require of them.
 */
#ifndef DIRECTIVE_H
#define DIRECTIVE_H

#include "daisyentryd.h"
#include "kernel/crypt.h"
#include "policy/rollout.h"

/* Parsed rollouts of one snapshot. */
typedef struct DirectiveTable DirectiveTable;

/* Parses the rollouts of SNAPSHOT; malformed ones are logged and skipped.  The table is a
 * talloc child of CONTEXT and holds no reference to SNAPSHOT. */
DirectiveTable *directive_table_new (const void *context, const EntrySnapshot *snapshot);
/* Returns true when SNAPSHOT has the same rollouts and versions as the snapshot that the
 * table was made from. */
bool directive_table_is_current (const DirectiveTable *table,
                                 const EntrySnapshot *snapshot);
/* Returns the rollouts of the table, which owns them. */
const DlRolloutSet *directive_table_rollouts (const DirectiveTable *table);

/* A directive as sent to one host.  Its texts are borrowed from the table, the fleet
 * settings and the arguments it was built from. */
typedef struct
{
  Daisyloft__Wire__Directive wire;
  DlDigest version;
  char
      *key; /* equal for directives with the same effect; a talloc child of the context */
} HostDirective;

/* Builds in *OUT the directive of the rollout that applies to HOST.  The rollout name is
 * empty when there is none or the size of its version's manifest is unknown. */
void directive_for_host (const void *context,
                         const DirectiveTable *table,
                         const DlFleet *fleet,
                         const char *host,
                         HostDirective *out);
/* Builds the directive of the rollout of that name for HOST.  A rollout that no longer
 * exists is sent as called off. */
void directive_for_rollout (const void *context,
                            const DirectiveTable *table,
                            const DlFleet *fleet,
                            const char *host,
                            const char *rollout,
                            HostDirective *out);

#endif
