/*
 * A settings object as a flat list of keys, for showing and comparing.
 */
#ifndef DL_FLATTEN_H
#define DL_FLATTEN_H

#include <json-c/json.h>
#include <stddef.h>

/* Member of the settings object that entries write; it is no setting. */
#define DL_SETTINGS_HISTORY "history"

typedef struct
{
  const char *key;   /* "services.draft.capacity"; elements without a name by index */
  const char *value; /* JSON text */
} DlFlatSetting;

/* Sorted by key; below CONTEXT. */
DlFlatSetting *
dl_settings_flatten (const void *context, json_object *settings, size_t *count);

#endif
