#include "policy/names.h"

#include <string.h>
#include <talloc.h>

/* Index of the first name that does not sort before NAME. */
static size_t
lower_bound (const DlNames *set, const char *name)
{
  size_t low = 0;
  size_t high = set->count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (strcmp (set->names[middle], name) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static bool
is_at (const DlNames *set, size_t at, const char *name)
{
  return at < set->count && strcmp (set->names[at], name) == 0;
}

bool
dl_names_contains (const DlNames *set, const char *name)
{
  return is_at (set, lower_bound (set, name), name);
}

bool
dl_names_add (const void *context, DlNames *set, const char *name)
{
  size_t at = lower_bound (set, name);

  if (is_at (set, at, name))
    return false;
  set->names = talloc_realloc (context, set->names, char *, set->count + 1);
  memmove (&set->names[at + 1], &set->names[at], (set->count - at) * sizeof (char *));
  set->names[at] = talloc_strdup (set->names, name);
  set->count++;
  return true;
}

bool
dl_names_remove (DlNames *set, const char *name)
{
  size_t at = lower_bound (set, name);

  if (!is_at (set, at, name))
    return false;
  talloc_free (set->names[at]);
  memmove (&set->names[at], &set->names[at + 1], (set->count - at - 1) * sizeof (char *));
  set->count--;
  return true;
}

bool
dl_names_from_json (const void *context, json_object *list, DlNames *set)
{
  *set = (DlNames){ 0 };
  if (list == NULL)
    return true;
  if (!json_object_is_type (list, json_type_array))
    return false;
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *name = json_object_array_get_idx (list, i);

      if (!json_object_is_type (name, json_type_string))
        return false;
      dl_names_add (context, set, json_object_get_string (name));
    }
  return true;
}

json_object *
dl_names_to_json (const DlNames *set)
{
  json_object *list = json_object_new_array ();

  for (size_t i = 0; i < set->count; i++)
    json_object_array_add (list, json_object_new_string (set->names[i]));
  return list;
}
