#include "query/json_get.h"

#include <string.h>

static json_object *
get_member (json_object *object, const char *key, json_type type)
{
  json_object *value;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, type))
    return NULL;
  return value;
}

const char *
dl_json_text (json_object *object, const char *key)
{
  json_object *value = get_member (object, key, json_type_string);

  return value != NULL ? json_object_get_string (value) : "";
}

uint64_t
dl_json_uint (json_object *object, const char *key)
{
  json_object *value = get_member (object, key, json_type_int);

  return value != NULL ? json_object_get_uint64 (value) : 0;
}

bool
dl_json_flag (json_object *object, const char *key)
{
  json_object *value = get_member (object, key, json_type_boolean);

  return value != NULL && json_object_get_boolean (value);
}

json_object *
dl_json_array (json_object *object, const char *key)
{
  return get_member (object, key, json_type_array);
}

json_object *
dl_json_object (json_object *object, const char *key)
{
  return get_member (object, key, json_type_object);
}

size_t
dl_json_array_length (json_object *array)
{
  return array != NULL ? json_object_array_length (array) : 0;
}

bool
dl_json_array_has (json_object *array, const char *text)
{
  for (size_t i = 0; i < dl_json_array_length (array); i++)
    {
      json_object *element = json_object_array_get_idx (array, i);

      if (json_object_is_type (element, json_type_string)
          && strcmp (json_object_get_string (element), text) == 0)
        return true;
    }
  return false;
}

void
dl_json_add_text (json_object *object, const char *key, const char *text)
{
  json_object_object_add (object, key, json_object_new_string (text));
}

void
dl_json_add_uint (json_object *object, const char *key, uint64_t number)
{
  json_object_object_add (object, key, json_object_new_uint64 (number));
}
