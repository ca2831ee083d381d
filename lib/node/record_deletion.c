#include "node/record_deletion.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"

typedef struct
{
  DlObjectClient *store;
  char *kind;
  char *name;
} Deletion;

static void
end_deletion (Deletion *deletion, int error)
{
  if (error < 0 && error != DL_ERR_NOT_FOUND && error != DL_ERR_CONFLICT)
    dl_log (DL_EVENT_RECORD_LEFT, DL_TEXT ("kind", deletion->kind),
            DL_TEXT ("node", deletion->name), DL_ERRNO (error));
  talloc_free (deletion);
}

static void
on_deleted (const DlObjectResult *result, void *data)
{
  end_deletion (data, result->error);
}

static void
on_found (const DlObjectResult *result, void *data)
{
  Deletion *deletion = data;

  if (result->error < 0 || result->count == 0)
    end_deletion (deletion, result->error);
  else
    dl_object_delete (deletion->store, talloc_parent (deletion), deletion->kind,
                      deletion->name, result->objects[0].revision, on_deleted, deletion);
}

void
dl_record_delete (DlObjectClient *store,
                  const void *owner,
                  const char *kind,
                  const char *name)
{
  Deletion *deletion = talloc_zero (owner, Deletion);

  g_assert (deletion != NULL);
  deletion->store = store;
  deletion->kind = talloc_strdup (deletion, kind);
  deletion->name = talloc_strdup (deletion, name);
  dl_object_get (store, owner, kind, name, on_found, deletion);
}
