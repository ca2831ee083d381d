/*
 * JSON texts of other programs, made acceptable to the parser: one odd value must not
 * make the whole text unreadable.
 */
#ifndef DL_JSON_TEXT_H
#define DL_JSON_TEXT_H

#include <json-c/json.h>

#include "kernel/str.h"

/* Levels of objects and arrays that are read; what is nested deeper is read as null. */
#define DL_JSON_DEPTH_MAX 24

/* Returns TEXT with null in the place of each value that is nested deeper than
 * DL_JSON_DEPTH_MAX, and without NUL bytes: TEXT itself, or a talloc child of CONTEXT. */
DlStr dl_json_text_flatten (const void *context, DlStr text);
/* Parses TEXT so.  Returns NULL when it is no JSON object. */
json_object *dl_json_text_parse_object (DlStr text);

#endif
