/*
 * What the logs of several processes say of one request.
 *
 * The lines are read three times.  The first pass finds those that name the request, and
 * from them its processes, its upstreams and its time; the second finds where those
 * upstreams are.  The third gathers what those processes believed then, and what happened
 * to those upstreams: lines that name no request, but without which the request's own
 * lines do not explain themselves.
 *
 * A line is a JSON object as the programs write it, with anything before it.  Times are
 * the writers' wall clocks, which may differ by a little.
 */
#ifndef DL_EXPLAIN_H
#define DL_EXPLAIN_H

#include <stdbool.h>

#include "kernel/str.h"

/* Time around the request within which lines of its upstreams are shown. */
#define DL_EXPLAIN_BEFORE_MS 10000
#define DL_EXPLAIN_AFTER_MS  1000

typedef struct DlExplain DlExplain;

/* ID is the request's. */
DlExplain *dl_explain_new (const void *context, const char *id);
/* First pass, line by line. */
void dl_explain_find_request (DlExplain *explain, DlStr line);
/* Second pass. */
void dl_explain_find_addresses (DlExplain *explain, DlStr line);
/* Third pass. */
void dl_explain_add_context (DlExplain *explain, DlStr line);
/* Writes the lines in order of time, those of the request marked, then the outcome.
 * Returns false when no line names the request; the text then tells what that means. */
bool dl_explain_write (DlExplain *explain, DlBuffer *out);

#endif
