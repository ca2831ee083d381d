/*
 * Builds and compares immutable snapshots of the platform's objects.
 */
#ifndef SNAPSHOT_H
#define SNAPSHOT_H

#include "daisyentryd.h"

/* Objects received from the platform or a peer.  Names and values are borrowed. */
typedef struct
{
  size_t count;
  DlObject *objects; /* deleted objects have no value */
} SnapshotChanges;

/* Returns a snapshot of the objects in CHANGES, which is sorted in place.  The snapshot
 * is a talloc child of CONTEXT and holds references to the values. */
EntrySnapshot *
snapshot_new (const void *context, uint64_t revision, SnapshotChanges *changes);
/* Returns a snapshot of OLD with those CHANGES applied that are newer than the objects in
 * it, or NULL when nothing changes.  CHANGES is sorted in place; the result is a talloc
 * child of CONTEXT. */
EntrySnapshot *snapshot_apply (const void *context,
                               const EntrySnapshot *old,
                               uint64_t revision,
                               SnapshotChanges *changes);
/* Returns the changes from OLD (NULL: empty) to NEW, as a JSON array like that of the
 * response to a watch.  The caller owns it. */
json_object *snapshot_difference (const EntrySnapshot *old, const EntrySnapshot *new);
/* Decodes such an array into *CHANGES.  The objects are a talloc child of CONTEXT and
 * borrow their names and values from LIST.  Returns 0 or DL_ERR_MALFORMED. */
int snapshot_changes_from_json (const void *context,
                                json_object *list,
                                SnapshotChanges *changes);

#endif
