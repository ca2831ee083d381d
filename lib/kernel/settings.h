/*
 * Checked settings: JSON with comments, read into a structure by a table of keys.
 *
 * Every key is checked for type, range and spelling; unknown keys, keys that stand twice
 * and missing required keys are errors that name the source, the key and the reason.
 */
#ifndef DL_SETTINGS_H
#define DL_SETTINGS_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/str.h"

typedef enum
{
  DL_SETTING_STRING,  /* const char * */
  DL_SETTING_ADDRESS, /* const char *, "IP:PORT" */
  DL_SETTING_UINT,    /* uint64_t */
  DL_SETTING_NUMBER,  /* double, not negative */
  DL_SETTING_BOOL,    /* bool */
  DL_SETTING_CHOICE,  /* int, an index into CHOICES */
  DL_SETTING_STRINGS, /* DlSettingList of const char * */
  DL_SETTING_OBJECTS, /* DlSettingList of structures read by FIELDS */
} DlSettingType;

typedef struct
{
  size_t count;
  void *items; /* talloc array */
} DlSettingList;

typedef struct DlSettingSpec
{
  const char *key; /* its unit at the end: _ms, _bytes, _per_s; NULL ends the table */
  DlSettingType type;
  size_t offset; /* of the member in the structure */
  bool required;
  uint64_t minimum;           /* of a number; of a list's length */
  uint64_t maximum;           /* 0: none */
  uint64_t fallback;          /* number, bool or choice when the key is absent */
  const char *fallback_text;  /* string when the key is absent */
  const char *const *choices; /* ends with NULL */
  const struct DlSettingSpec *fields;
  size_t element_bytes; /* of an element of OBJECTS */
} DlSettingSpec;

/*
 * Reads TEXT into the structure at RESULT; what it points to is below CONTEXT.  SOURCE
 * names the text in errors.  Returns 0 or -EINVAL with a one-line *ERROR below CONTEXT.
 */
int dl_settings_parse (const void *context,
                       const char *source,
                       DlStr text,
                       const DlSettingSpec *specs,
                       void *result,
                       char **error);
/* The same from a file; also returns the negative errno of reading it. */
int dl_settings_read (const void *context,
                      const char *path,
                      const DlSettingSpec *specs,
                      void *result,
                      char **error);
/* Parses JSON with comments, refusing keys that stand twice in one object.  Returns 0 or
 * -EINVAL; the caller puts *OBJECT. */
int dl_json_parse (const void *context,
                   const char *source,
                   DlStr text,
                   json_object **object,
                   char **error);

#endif
