#include "node/registration.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"

#define RETRY_MS 700

struct DlRegistration
{
  DlTask *task;
  DlRegistrationOptions options;
  DlTimer *timer; /* of the next write; NULL before the first */
};

static void write_object (DlRegistration *registration, uint64_t revision);

static void
on_timer (DlTimer *timer, void *data)
{
  write_object (data, 0);
}

void
dl_registration_renew (DlRegistration *r, uint64_t delay_ms)
{
  dl_timer_set (&r->timer, r->task, r, delay_ms, on_timer, r);
}

bool
dl_registration_is_equal (const DlRegistration *r, json_object *value)
{
  return value != NULL && json_object_equal (r->options.value, value) != 0;
}

static void
on_existing (const DlObjectResult *result, void *data)
{
  DlRegistration *r = data;

  if (result->error < 0 || result->count == 0)
    dl_registration_renew (r, RETRY_MS);
  else if (!dl_registration_is_equal (r, result->objects[0].value))
    write_object (r, result->objects[0].revision);
}

static void
on_written (const DlObjectResult *result, void *data)
{
  DlRegistration *r = data;
  const DlRegistrationOptions *o = &r->options;

  if (result->error == 0)
    dl_log (DL_EVENT_NODE_REGISTERED, DL_TEXT ("kind", o->kind),
            DL_UINT ("revision", result->revision));
  else if (result->error == DL_ERR_CONFLICT || result->error == DL_ERR_UNKNOWN)
    dl_object_get (o->store, r, o->kind, o->name, on_existing, r);
  else
    dl_registration_renew (r, RETRY_MS);
}

/* Replaces the object at REVISION; 0: creates it. */
static void
write_object (DlRegistration *r, uint64_t revision)
{
  const DlRegistrationOptions *o = &r->options;

  dl_object_put (o->store, r, o->kind, o->name, revision, o->value, on_written, r);
}

static int
registration_destroy (DlRegistration *r)
{
  json_object_put (r->options.value);
  return 0;
}

DlRegistration *
dl_registration_new (DlTask *task,
                     const void *owner,
                     const DlRegistrationOptions *options)
{
  DlRegistration *r = talloc_zero (owner, DlRegistration);

  g_assert (r != NULL);
  r->task = task;
  r->options = *options;
  r->options.value = json_object_get (options->value);
  talloc_set_destructor (r, registration_destroy);
  write_object (r, 0);
  return r;
}
