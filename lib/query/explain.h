/*
 * Collects the log lines of several processes that explain one request.
 *
 * The lines are read in three passes.  The first finds the lines that name the request,
 * and from them its processes, its upstreams and its time.  The second finds the
 * addresses of those upstreams.  The third adds the lines that show the state of those
 * processes at that time and what happened to those upstreams: they name no request, but
 * are needed to understand it.
 *
 * A line holds one JSON object as the programs log it; text before the object is ignored.
 * Times are the writers' wall clocks, which may differ slightly.
 */
#ifndef DL_EXPLAIN_H
#define DL_EXPLAIN_H

#include <stdbool.h>

#include "kernel/str.h"

/* Lines of the request's upstreams are added from this long before to after it. */
#define DL_EXPLAIN_BEFORE_MS 10000
#define DL_EXPLAIN_AFTER_MS  1000

typedef struct DlExplain DlExplain;

/* ID is the request's; it is copied.  The result is a talloc child of CONTEXT. */
DlExplain *dl_explain_new (const void *context, const char *id);
/* First pass, to be called for each line before the second pass begins. */
void dl_explain_find_request (DlExplain *explain, DlStr line);
/* Second pass, likewise. */
void dl_explain_find_addresses (DlExplain *explain, DlStr line);
/* Third pass. */
void dl_explain_add_context (DlExplain *explain, DlStr line);
/* Writes the lines in order of time, those of the request marked with "*", then the
 * outcome.  Returns false when no line names the request; the text then gives the
 * possible reasons. */
bool dl_explain_write (DlExplain *explain, DlBuffer *out);

#endif
