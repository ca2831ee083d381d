/*
 * Access to members of JSON objects that may be malformed: a member that is missing or of
 * another type reads as "", 0, false or NULL.  So does any member of a NULL object.
 */
#ifndef DL_JSON_GET_H
#define DL_JSON_GET_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/* Returns a string, which belongs to OBJECT. */
const char *dl_json_text (json_object *object, const char *key);
uint64_t dl_json_uint (json_object *object, const char *key);
bool dl_json_flag (json_object *object, const char *key);
/* Return an array or object, which belongs to OBJECT. */
json_object *dl_json_array (json_object *object, const char *key);
json_object *dl_json_object (json_object *object, const char *key);
/* ARRAY may be NULL. */
size_t dl_json_array_length (json_object *array);
/* True when ARRAY holds the string TEXT. */
bool dl_json_array_has (json_object *array, const char *text);
/* Add a member, or replace the one of that name. */
void dl_json_add_text (json_object *object, const char *key, const char *text);
void dl_json_add_uint (json_object *object, const char *key, uint64_t number);

#endif
