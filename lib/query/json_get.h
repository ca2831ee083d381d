/*
 * Reading members of JSON objects that others wrote: a member that is missing or of
 * another type reads as empty.
 */
#ifndef DL_JSON_GET_H
#define DL_JSON_GET_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/* "" when there is no such text; it belongs to OBJECT. */
const char *dl_json_text (json_object *object, const char *key);
uint64_t dl_json_uint (json_object *object, const char *key);
bool dl_json_flag (json_object *object, const char *key);
/* NULL when there is no such array, or object. */
json_object *dl_json_array (json_object *object, const char *key);
json_object *dl_json_object (json_object *object, const char *key);
/* 0 for NULL. */
size_t dl_json_array_length (json_object *array);
/* True when ARRAY holds the string TEXT. */
bool dl_json_array_has (json_object *array, const char *text);
/* Adds a string member. */
void dl_json_add_text (json_object *object, const char *key, const char *text);
void dl_json_add_uint (json_object *object, const char *key, uint64_t number);

#endif
