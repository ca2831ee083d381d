#include "node/known_objects.h"

#include <glib.h>
#include <talloc.h>

struct DlKnownObjects
{
  const char *kind;
  DlKnownObjectsFunc func;
  void *data;
  GHashTable *revisions; /* object name to its revision, stored as a pointer */
  GHashTable *listed;    /* names that the list in progress has shown; NULL without one */
};

static int
known_destroy (DlKnownObjects *known)
{
  g_hash_table_destroy (known->revisions);
  if (known->listed != NULL)
    g_hash_table_destroy (known->listed);
  return 0;
}

DlKnownObjects *
dl_known_objects_new (const void *owner,
                      const char *kind,
                      DlKnownObjectsFunc func,
                      void *data)
{
  DlKnownObjects *known = talloc_zero (owner, DlKnownObjects);

  g_assert (known != NULL && func != NULL);
  known->kind = kind;
  known->func = func;
  known->data = data;
  known->revisions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  talloc_set_destructor (known, known_destroy);
  return known;
}

static uint64_t
known_revision (const DlKnownObjects *known, const char *name)
{
  return (uint64_t)GPOINTER_TO_SIZE (g_hash_table_lookup (known->revisions, name));
}

static void
report_deleted (DlKnownObjects *known, const char *name, uint64_t revision)
{
  DlObject object = {
    .kind = (char *)known->kind,
    .name = (char *)name,
    .revision = revision,
    .deleted = true,
  };

  known->func (&object, known->data);
}

void
dl_known_objects_apply (DlKnownObjects *known, const DlObject *object)
{
  if (object->revision <= known_revision (known, object->name))
    return;
  if (object->deleted)
    {
      if (g_hash_table_remove (known->revisions, object->name))
        report_deleted (known, object->name, object->revision);
      return;
    }
  g_hash_table_insert (known->revisions, g_strdup (object->name),
                       GSIZE_TO_POINTER ((gsize)object->revision));
  known->func (object, known->data);
}

void
dl_known_objects_abandon_list (DlKnownObjects *known)
{
  if (known->listed != NULL)
    g_hash_table_destroy (known->listed);
  known->listed = NULL;
}

void
dl_known_objects_begin_list (DlKnownObjects *known)
{
  dl_known_objects_abandon_list (known);
  known->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

bool
dl_known_objects_is_listing (const DlKnownObjects *known)
{
  return known->listed != NULL;
}

void
dl_known_objects_list (DlKnownObjects *known, const DlObject *object)
{
  g_hash_table_add (known->listed, g_strdup (object->name));
  dl_known_objects_apply (known, object);
}

unsigned
dl_known_objects_end_list (DlKnownObjects *known, uint64_t revision)
{
  GHashTableIter iter;
  gpointer name;
  unsigned dropped = 0;

  g_hash_table_iter_init (&iter, known->revisions);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (known->listed, name))
      {
        char *copy = g_strdup (name);

        g_hash_table_iter_remove (&iter);
        report_deleted (known, copy, revision);
        g_free (copy);
        dropped++;
      }
  dl_known_objects_abandon_list (known);
  return dropped;
}

void
dl_known_objects_void_revisions (DlKnownObjects *known)
{
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, known->revisions);
  while (g_hash_table_iter_next (&iter, NULL, NULL))
    g_hash_table_iter_replace (&iter, NULL);
}
