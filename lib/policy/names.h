/*
 * Sorted sets of names, as talloc arrays.
 */
#ifndef DL_NAMES_H
#define DL_NAMES_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>

/* A set of names; starts zeroed, which is empty. */
typedef struct
{
  size_t count;
  char **names; /* sorted; a talloc array of the owner's context, or NULL */
} DlNames;

/* True when NAME is in the set. */
bool dl_names_contains (const DlNames *set, const char *name);
/* Both return whether the set changed.  CONTEXT owns a new array and its names. */
bool dl_names_add (const void *context, DlNames *set, const char *name);
bool dl_names_remove (DlNames *set, const char *name);
/* Reads a JSON array of strings, in any order; NULL is an empty one.  Returns false when
 * LIST is something else. */
bool dl_names_from_json (const void *context, json_object *list, DlNames *set);
/* Returns a new JSON array of the names, owned by the caller. */
json_object *dl_names_to_json (const DlNames *set);

#endif
