/*
 * Formats query results as text for people and as JSON for programs.
 *
 * The output depends only on the result: the same result gives the same bytes.
 */
#ifndef DL_RENDER_H
#define DL_RENDER_H

#include "query/query.h"

/* Returns {"revision", "columns": [...], "rows": [[...]]}, with flags as booleans and
 * values that are not known as null.  The caller owns it. */
json_object *dl_render_json (const DlQueryResult *result);
/* Appends a table of the members "columns" and "rows" of a response in that form.  Each
 * column is as wide as its widest cell, up to a limit.  Members of another form give an
 * empty table. */
void dl_render_table (DlBuffer *buffer, json_object *response);

#endif
