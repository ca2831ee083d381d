/*
 * Keeps one object of the platform's store equal to what this process writes there.
 *
 * The object is created; one that exists already is read, and replaced if it differs.  A
 * write that fails is repeated.
 */
#ifndef DL_REGISTRATION_H
#define DL_REGISTRATION_H

#include "kernel/object_client.h"

typedef struct DlRegistration DlRegistration;

/* What to write; the strings are borrowed. */
typedef struct
{
  DlObjectClient *store;
  const char *kind;
  const char *name;
  json_object *value; /* a reference to it is kept */
} DlRegistrationOptions;

/* Starts to write the object.  The registration is a talloc child of OWNER. */
DlRegistration *dl_registration_new (DlTask *task,
                                     const void *owner,
                                     const DlRegistrationOptions *options);
/* Writes the object again after DELAY_MS, as it may be gone. */
void dl_registration_renew (DlRegistration *registration, uint64_t delay_ms);
/* True when VALUE, which may be NULL, is what is written. */
bool dl_registration_is_equal (const DlRegistration *registration, json_object *value);

#endif
