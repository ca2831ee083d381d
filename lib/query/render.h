/*
 * Query results as text for people and as JSON for programs.
 *
 * The renderings are functions of the result alone: the same result gives the same bytes.
 */
#ifndef DL_RENDER_H
#define DL_RENDER_H

#include "query/query.h"

/* {"revision", "columns": [...], "rows": [[...]]}; numbers as numbers, flags as booleans,
 * what is not known as null.  The caller owns it. */
json_object *dl_render_json (const DlQueryResult *result);
/* A table of the members "columns" and "rows" of an answer in that form, each column as
 * wide as its widest cell.  Members of another form give an empty table. */
void dl_render_table (DlBuffer *buffer, json_object *answer);

#endif
