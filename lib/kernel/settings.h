/*
 * Settings: JSON with comments, read into a structure according to a table of keys.
 *
 * Types and ranges are checked.  Unknown keys, duplicate keys and missing required keys
 * are errors.  An error message names the source, the key and the reason.
 */
#ifndef DL_SETTINGS_H
#define DL_SETTINGS_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/str.h"

/* Type of a value, with that of the member it is read into. */
typedef enum
{
  DL_SETTING_STRING,  /* const char * */
  DL_SETTING_ADDRESS, /* const char *, "IP:PORT" */
  DL_SETTING_UINT,    /* uint64_t */
  DL_SETTING_NUMBER,  /* double, 0 or more */
  DL_SETTING_BOOL,    /* bool */
  DL_SETTING_CHOICE,  /* int, an index into CHOICES */
  DL_SETTING_STRINGS, /* DlSettingList of const char * */
  DL_SETTING_OBJECTS, /* DlSettingList of structures read by FIELDS */
} DlSettingType;

/* A list read from the settings. */
typedef struct
{
  size_t count;
  void *items; /* talloc array of the elements themselves */
} DlSettingList;

/* Describes one key. */
typedef struct DlSettingSpec
{
  const char *key; /* ends with its unit: _ms, _bytes, _per_s; NULL ends the table */
  DlSettingType type;
  size_t offset; /* of the member in the structure */
  bool required;
  uint64_t minimum;                   /* of a UINT, or of a list's length */
  uint64_t maximum;                   /* likewise; 0: none */
  uint64_t fallback;                  /* default of a number, bool or choice */
  const char *fallback_text;          /* default of a string or address */
  const char *const *choices;         /* of a CHOICE; ends with NULL */
  const struct DlSettingSpec *fields; /* keys of each element of OBJECTS */
  size_t element_bytes;               /* size of an element of OBJECTS */
} DlSettingSpec;

/*
 * Parses TEXT into the structure at RESULT; strings and lists become talloc
 * children of CONTEXT.  SOURCE names the text in errors.  Returns 0, or -EINVAL with a
 * one-line *ERROR, also a child of CONTEXT.
 */
int dl_settings_parse (const void *context,
                       const char *source,
                       DlStr text,
                       const DlSettingSpec *specs,
                       void *result,
                       char **error);
/* Does the same with the file PATH; returns -ENOENT when it cannot be read. */
int dl_settings_read (const void *context,
                      const char *path,
                      const DlSettingSpec *specs,
                      void *result,
                      char **error);
/* Parses JSON with comments; duplicate keys in an object are errors.  Returns 0, or
 * -EINVAL with *ERROR, a talloc child of CONTEXT.  The calling code releases *OBJECT with
 * json_object_put. */
int dl_json_parse (const void *context,
                   const char *source,
                   DlStr text,
                   json_object **object,
                   char **error);

/* Where a text violates the syntax; both count from 1. */
typedef struct
{
  size_t line;   /* 0: unknown */
  size_t column; /* in bytes; 0: unknown */
} DlJsonPlace;

/* Does the same as dl_json_parse, and sets *PLACE to the place of the error. */
int dl_json_parse_with_place (const void *context,
                              const char *source,
                              DlStr text,
                              json_object **object,
                              DlJsonPlace *place,
                              char **error);

#endif
