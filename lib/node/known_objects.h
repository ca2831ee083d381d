/*
 * Which objects of one kind a watch knows, and at which revisions.
 *
 * Reports an object that appears, changes or is deleted, never an older state after a
 * newer one.  A list in several pages shows the complete set: what it does not show is
 * reported as deleted at its end.
 */
#ifndef DL_KNOWN_OBJECTS_H
#define DL_KNOWN_OBJECTS_H

#include "kernel/object_client.h"

typedef struct DlKnownObjects DlKnownObjects;

/* OBJECT is news; its value is NULL when it was deleted. */
typedef void (*DlKnownObjectsFunc) (const DlObject *object, void *data);

/* Creates an empty set, a talloc child of OWNER; KIND is borrowed. */
DlKnownObjects *dl_known_objects_new (const void *owner,
                                      const char *kind,
                                      DlKnownObjectsFunc func,
                                      void *data);
/* Reports OBJECT, unless this or a later state of it is known. */
void dl_known_objects_apply (DlKnownObjects *known, const DlObject *object);
/* A list begins; one in progress is given up. */
void dl_known_objects_begin_list (DlKnownObjects *known);
/* Gives up the list in progress, if there is one; what it has shown stays known. */
void dl_known_objects_abandon_list (DlKnownObjects *known);
/* True while a list is in progress. */
bool dl_known_objects_is_listing (const DlKnownObjects *known);
/* The list in progress shows OBJECT, which is applied. */
void dl_known_objects_list (DlKnownObjects *known, const DlObject *object);
/* The list is complete, of the state at REVISION; returns how many known objects it did
 * not show. */
unsigned dl_known_objects_end_list (DlKnownObjects *known, uint64_t revision);
/* Voids the revisions, but not the names, which the next list is compared with. */
void dl_known_objects_void_revisions (DlKnownObjects *known);

#endif
