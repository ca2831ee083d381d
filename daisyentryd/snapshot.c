#include "snapshot.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"
#include "query/json_get.h"

static int
compare_objects (const DlObject *a, const DlObject *b)
{
  int order = strcmp (a->kind, b->kind);

  return order != 0 ? order : strcmp (a->name, b->name);
}

/* Puts the newer of two changes to one object first. */
static int
compare_changes (const void *a, const void *b)
{
  const DlObject *x = a;
  const DlObject *y = b;
  int order = compare_objects (x, y);

  if (order != 0)
    return order;
  return x->revision > y->revision ? -1 : x->revision < y->revision;
}

/* All values in use are JSON objects; any other value is ignored. */
static bool
is_usable (const DlObject *object)
{
  return object->deleted || json_object_is_type (object->value, json_type_object);
}

/* Sorts CHANGES by kind and name, and keeps only the newest usable one of each object. */
static void
sort_changes (SnapshotChanges *changes)
{
  size_t kept = 0;

  if (changes->count == 0)
    return;
  qsort (changes->objects, changes->count, sizeof (DlObject), compare_changes);
  for (size_t i = 0; i < changes->count; i++)
    if (is_usable (&changes->objects[i])
        && (kept == 0
            || compare_objects (&changes->objects[kept - 1], &changes->objects[i]) != 0))
      changes->objects[kept++] = changes->objects[i];
  changes->count = kept;
}

/* Successive snapshots share the kinds, names and values of their objects, so each holds
 * references to them. */
static int
snapshot_destroy (EntrySnapshot *snapshot)
{
  for (size_t i = 0; i < snapshot->count; i++)
    {
      g_ref_string_release (snapshot->objects[i].kind);
      g_ref_string_release (snapshot->objects[i].name);
      json_object_put (snapshot->objects[i].value);
    }
  return 0;
}

static EntrySnapshot *
snapshot_alloc (const void *context, uint64_t revision, size_t capacity)
{
  EntrySnapshot *snapshot = talloc_zero (context, EntrySnapshot);

  g_assert (snapshot != NULL);
  snapshot->revision = revision;
  snapshot->objects = talloc_array (snapshot, DlObject, MAX (capacity, 1));
  talloc_set_destructor (snapshot, snapshot_destroy);
  return snapshot;
}

static void
append_object (EntrySnapshot *snapshot, const DlObject *object, bool shared)
{
  DlObject *to = (DlObject *)&snapshot->objects[snapshot->count++];

  *to = *object;
  to->kind = shared ? g_ref_string_acquire (object->kind)
                    : g_ref_string_new_intern (object->kind);
  to->name
      = shared ? g_ref_string_acquire (object->name) : g_ref_string_new (object->name);
  json_object_get (to->value);
}

EntrySnapshot *
snapshot_new (const void *context, uint64_t revision, SnapshotChanges *changes)
{
  EntrySnapshot *snapshot = snapshot_alloc (context, revision, changes->count);

  sort_changes (changes);
  for (size_t i = 0; i < changes->count; i++)
    if (!changes->objects[i].deleted)
      append_object (snapshot, &changes->objects[i], false);
  return snapshot;
}

/* Compares the next object and the next change; one that is past the end sorts last. */
static int
compare_next (const EntrySnapshot *old,
              size_t i,
              const SnapshotChanges *changes,
              size_t j)
{
  if (i >= old->count)
    return 1;
  if (j >= changes->count)
    return -1;
  return compare_objects (&old->objects[i], &changes->objects[j]);
}

EntrySnapshot *
snapshot_apply (const void *context,
                const EntrySnapshot *old,
                uint64_t revision,
                SnapshotChanges *changes)
{
  EntrySnapshot *snapshot
      = snapshot_alloc (context, revision, old->count + changes->count);
  bool changed = false;
  size_t i = 0;
  size_t j = 0;

  sort_changes (changes);
  while (i < old->count || j < changes->count)
    {
      int order = compare_next (old, i, changes, j);
      const DlObject *current = &old->objects[i];
      const DlObject *change = &changes->objects[j];

      if (order < 0 || (order == 0 && change->revision <= current->revision))
        append_object (snapshot, current, true);
      else
        {
          if (!change->deleted)
            append_object (snapshot, change, false);
          changed |= order == 0 || !change->deleted;
        }
      i += order <= 0;
      j += order >= 0;
    }
  if (changed)
    return snapshot;
  talloc_free (snapshot);
  return NULL;
}

/* -------- as JSON -------- */

static json_object *
object_to_json (const DlObject *object, bool deleted, uint64_t revision)
{
  json_object *to = json_object_new_object ();

  json_object_object_add (to, "kind", json_object_new_string (object->kind));
  json_object_object_add (to, "name", json_object_new_string (object->name));
  json_object_object_add (to, "revision", json_object_new_uint64 (revision));
  if (deleted)
    json_object_object_add (to, "deleted", json_object_new_boolean (true));
  else
    {
      json_object_object_add (to, "created", json_object_new_uint64 (object->created));
      json_object_object_add (to, "value", json_object_get (object->value));
    }
  return to;
}

json_object *
snapshot_difference (const EntrySnapshot *old, const EntrySnapshot *new)
{
  json_object *list = json_object_new_array ();
  size_t old_count = old != NULL ? old->count : 0;
  size_t i = 0;
  size_t j = 0;

  while (i < old_count || j < new->count)
    {
      int order = i >= old_count ? 1
                  : j >= new->count
                      ? -1
                      : compare_objects (&old->objects[i], &new->objects[j]);

      if (order < 0)
        json_object_array_add (list,
                               object_to_json (&old->objects[i], true, new->revision));
      else if (order > 0 || new->objects[j].revision != old->objects[i].revision)
        json_object_array_add (list, object_to_json (&new->objects[j], false,
                                                     new->objects[j].revision));
      i += order <= 0;
      j += order >= 0;
    }
  return list;
}

static int
change_from_json (json_object *from, DlObject *object)
{
  if (!json_object_is_type (from, json_type_object))
    return DL_ERR_MALFORMED;
  *object = (DlObject){
    .kind = (char *)dl_json_text (from, "kind"),
    .name = (char *)dl_json_text (from, "name"),
    .revision = dl_json_uint (from, "revision"),
    .created = dl_json_uint (from, "created"),
    .deleted = dl_json_flag (from, "deleted"),
  };
  json_object_object_get_ex (from, "value", &object->value);
  if (object->kind[0] == '\0' || object->name[0] == '\0' || object->revision == 0
      || (!object->deleted && !json_object_is_type (object->value, json_type_object)))
    return DL_ERR_MALFORMED;
  return 0;
}

int
snapshot_changes_from_json (const void *context,
                            json_object *list,
                            SnapshotChanges *changes)
{
  if (!json_object_is_type (list, json_type_array))
    return DL_ERR_MALFORMED;
  changes->count = json_object_array_length (list);
  changes->objects = talloc_zero_array (context, DlObject, MAX (changes->count, 1));
  for (size_t i = 0; i < changes->count; i++)
    if (change_from_json (json_object_array_get_idx (list, i), &changes->objects[i]) < 0)
      return DL_ERR_MALFORMED;
  return 0;
}
