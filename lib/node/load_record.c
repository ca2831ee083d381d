#include "node/load_record.h"

#include <glib.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"

#define STARTED_KEY "started_ms"
#define LOADS_KEY   "loads"

DlSoundLoad
dl_load_record_read (json_object *value)
{
  json_object *started;
  json_object *loads;

  if (!json_object_is_type (value, json_type_object)
      || !json_object_object_get_ex (value, STARTED_KEY, &started)
      || !json_object_is_type (started, json_type_int)
      || !json_object_object_get_ex (value, LOADS_KEY, &loads)
      || !json_object_is_type (loads, json_type_int))
    return (DlSoundLoad){ 0 };
  return (DlSoundLoad){
    .known = true,
    .started_ms = json_object_get_uint64 (started),
    .loads = json_object_get_uint64 (loads),
  };
}

json_object *
dl_load_record_value (const DlSoundLoad *load)
{
  json_object *value = json_object_new_object ();

  json_object_object_add (value, STARTED_KEY, json_object_new_uint64 (load->started_ms));
  json_object_object_add (value, LOADS_KEY, json_object_new_uint64 (load->loads));
  return value;
}

/* -------- deleting -------- */

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
    dl_log (DL_EVENT_LOAD_RECORD_LEFT, DL_TEXT ("node", deletion->name),
            DL_ERRNO (error));
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
dl_load_record_delete (DlObjectClient *store,
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
