/*
 * The record in the store of an engine's last load that was known to be sound
 * (policy/load_proof.h).  Its object is named after the node that stages for the engine.
 */
#ifndef DL_LOAD_RECORD_H
#define DL_LOAD_RECORD_H

#include <json-c/json.h>

#include "policy/load_proof.h"

/* Reads an object's VALUE; not known if it is no record. */
DlSoundLoad dl_load_record_read (json_object *value);
/* Returns the value of the object for LOAD, to be released. */
json_object *dl_load_record_value (const DlSoundLoad *load);

#endif
