/*
 * Deletes an object of a node that is gone, at whatever revision it is.
 */
#ifndef DL_RECORD_DELETION_H
#define DL_RECORD_DELETION_H

#include "kernel/object_client.h"

/* Deletes the object NAME of KIND.  One that is not there, or changes meanwhile, is left;
 * a failure is logged.  OWNER, a talloc context, ends the deletion when it is freed. */
void dl_record_delete (DlObjectClient *store,
                       const void *owner,
                       const char *kind,
                       const char *name);

#endif
