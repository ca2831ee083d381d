/*
 * HTTP server of a process for its operators.
 *
 * GET /metrics returns counters and histograms in the Prometheus text format, GET /dump
 * the whole state as JSON.  The lists and watches of a relay, if there is one, are
 * served to other nodes here too.
 */
#ifndef DL_METRICS_PAGE_H
#define DL_METRICS_PAGE_H

#include "node/object_relay.h"

/* Starts the server at ADDRESS ("IP:PORT"), a talloc child of OWNER; does nothing when
 * ADDRESS is NULL.  RELAY may be NULL.  Returns 0 or a negative error. */
int dl_metrics_page_new (DlTask *task,
                         const void *owner,
                         const char *address,
                         DlObjectRelay *relay);

#endif
