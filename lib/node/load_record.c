#include "node/load_record.h"

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
