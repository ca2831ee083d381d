/*
 * What a rollout's next step is decided from: the hosts of its service, as the host list,
 * the status objects and the operators' drains have them.
 */
#ifndef STEER_FACTS_H
#define STEER_FACTS_H

#include "daisyentryd.h"
#include "policy/rollout.h"

/* The hosts of SERVICE, sorted by name; below CONTEXT.  The texts are borrowed from
 * MEMBERS and SNAPSHOT. */
DlRolloutHost *steer_hosts (const void *context,
                            const EntrySnapshot *snapshot,
                            const DlMembers *members,
                            const char *service,
                            size_t *count);

#endif
