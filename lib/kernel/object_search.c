/* Binary search in sorted objects; see object_client.h. */
#include <string.h>

#include "kernel/object_client.h"

static int
compare_object (const DlObject *object, const char *kind, const char *name)
{
  int order = strcmp (object->kind, kind);

  return order != 0 ? order : strcmp (object->name, name);
}

/* Returns the index of the first object that does not sort before KIND and NAME. */
static size_t
lower_bound (const DlObject *objects, size_t count, const char *kind, const char *name)
{
  size_t low = 0;
  size_t high = count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (compare_object (&objects[middle], kind, name) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

const DlObject *
dl_objects_of_kind (const DlObject *objects,
                    size_t count,
                    const char *kind,
                    size_t *found)
{
  size_t first = lower_bound (objects, count, kind, "");
  size_t end = first;

  while (end < count && strcmp (objects[end].kind, kind) == 0)
    end++;
  *found = end - first;
  return *found > 0 ? &objects[first] : NULL;
}

const DlObject *
dl_objects_find (const DlObject *objects,
                 size_t count,
                 const char *kind,
                 const char *name)
{
  size_t at = lower_bound (objects, count, kind, name);

  if (at < count && compare_object (&objects[at], kind, name) == 0)
    return &objects[at];
  return NULL;
}
