/*
 * Immutable snapshots of the platform's objects: made from a list, from changes, and
 * compared.
 */
#ifndef SNAPSHOT_H
#define SNAPSHOT_H

#include "daisyentryd.h"

/* A change as the platform or a peer tells it; the texts and the value are borrowed. */
typedef struct
{
  size_t count;
  DlObject *objects; /* a deleted one has no value */
} SnapshotChanges;

/* Both sort CHANGES.  The result is a talloc block below CONTEXT. */
EntrySnapshot *
snapshot_new (const void *context, uint64_t revision, SnapshotChanges *changes);
/* OLD with those CHANGES that are newer; NULL when none is. */
EntrySnapshot *snapshot_apply (const void *context,
                               const EntrySnapshot *old,
                               uint64_t revision,
                               SnapshotChanges *changes);
/* What leads from OLD (NULL: none) to NEW, as the list of a watch answer; the caller owns
 * it. */
json_object *snapshot_difference (const EntrySnapshot *old, const EntrySnapshot *new);
/* Reads such a list; the objects borrow from LIST and are below CONTEXT.  Returns 0 or
 * DL_ERR_MALFORMED. */
int snapshot_changes_from_json (const void *context,
                                json_object *list,
                                SnapshotChanges *changes);

#endif
