#include "query/flatten.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "query/json_get.h"

#define DEPTH_MAX 32

typedef struct
{
  const void *context;
  size_t count;
  DlFlatSetting *list;
} Flattener;

static void
add_value (Flattener *f, const char *path, json_object *value, unsigned depth);

static char *
join_path (Flattener *f, const char *path, const char *key)
{
  return talloc_asprintf (f->context, "%s%s%s", path, path[0] != '\0' ? "." : "", key);
}

static void
add_leaf (Flattener *f, const char *path, json_object *value)
{
  const char *text
      = json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN
                                                   | JSON_C_TO_STRING_NOSLASHESCAPE);

  f->list = talloc_realloc (f->context, f->list, DlFlatSetting, f->count + 1);
  f->list[f->count++] = (DlFlatSetting){
    .key = talloc_strdup (f->context, path),
    .value = talloc_strdup (f->context, text),
  };
}

static void
add_object (Flattener *f, const char *path, json_object *object, unsigned depth)
{
  json_object_object_foreach (object, key, value)
    {
      if (depth > 0 || strcmp (key, DL_SETTINGS_HISTORY) != 0)
        add_value (f, join_path (f, path, key), value, depth + 1);
    }
}

/* Named elements are keyed by name, so that the keys stay when one is inserted. */
static void
add_array (Flattener *f, const char *path, json_object *array, unsigned depth)
{
  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      json_object *element = json_object_array_get_idx (array, i);
      const char *name = dl_json_text (element, "name");
      char *index = talloc_asprintf (f->context, "%zu", i);

      add_value (f, join_path (f, path, name[0] != '\0' ? name : index), element,
                 depth + 1);
    }
}

static void
add_value (Flattener *f, const char *path, json_object *value, unsigned depth)
{
  if (depth < DEPTH_MAX && json_object_is_type (value, json_type_object))
    add_object (f, path, value, depth);
  else if (depth < DEPTH_MAX && json_object_is_type (value, json_type_array)
           && json_object_array_length (value) > 0)
    add_array (f, path, value, depth);
  else
    add_leaf (f, path, value);
}

static int
compare_keys (const void *a, const void *b)
{
  const DlFlatSetting *x = a;
  const DlFlatSetting *y = b;
  int order = strcmp (x->key, y->key);

  return order != 0 ? order : strcmp (x->value, y->value);
}

DlFlatSetting *
dl_settings_flatten (const void *context, json_object *settings, size_t *count)
{
  Flattener f = { .context = context };

  add_value (&f, "", settings, 0);
  if (f.count > 0)
    qsort (f.list, f.count, sizeof *f.list, compare_keys);
  *count = f.count;
  return f.list;
}
