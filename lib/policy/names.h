/*
 * Sorted sets of names, as talloc arrays.
 */
#ifndef DL_NAMES_H
#define DL_NAMES_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  size_t count;
  char **names; /* sorted; a talloc array below the owner's context, or NULL */
} DlNames;

bool dl_names_contains (const DlNames *set, const char *name);
/* Both return whether the set changed; a new array and name are below CONTEXT. */
bool dl_names_add (const void *context, DlNames *set, const char *name);
bool dl_names_remove (DlNames *set, const char *name);
/* Reads a JSON list of strings, in any order; false when it is something else. */
bool dl_names_from_json (const void *context, json_object *list, DlNames *set);
/* The caller owns the list. */
json_object *dl_names_to_json (const DlNames *set);

#endif
