/*
 * Converts a settings object to a flat list of keys and values, to show and compare it.
 */
#ifndef DL_FLATTEN_H
#define DL_FLATTEN_H

#include <json-c/json.h>
#include <stddef.h>

/* Member of the settings object that holds its history; it is not a setting. */
#define DL_SETTINGS_HISTORY "history"

typedef struct
{
  const char *key;   /* path, such as "services.draft.capacity"; array elements go by
                        their "name", or their index when they have none */
  const char *value; /* JSON text */
} DlFlatSetting;

/* Returns the *COUNT settings, sorted by key, or NULL when there are none.  The array and
 * its texts are talloc children of CONTEXT. */
DlFlatSetting *
dl_settings_flatten (const void *context, json_object *settings, size_t *count);

#endif
