/*
 * Collects what is known of the hosts of a service, from the host list, the status
 * objects and the operators' drains.  The next step of a rollout is computed from it.
 */
#ifndef STEER_FACTS_H
#define STEER_FACTS_H

#include "daisyentryd.h"
#include "policy/rollout.h"

/* Returns an array, a talloc child of CONTEXT, of the *COUNT hosts of SERVICE, sorted by
 * name.  Its strings are borrowed from MEMBERS and SNAPSHOT. */
DlRolloutHost *steer_hosts (const void *context,
                            const EntrySnapshot *snapshot,
                            const DlMembers *members,
                            const char *service,
                            size_t *count);

#endif
