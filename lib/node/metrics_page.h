/*
 * The page of a process for its operators: GET /metrics is the counters and histograms in
 * the common exposition format, GET /dump the whole state as JSON.  Where there is a
 * relay, other entries ask it here.
 */
#ifndef DL_METRICS_PAGE_H
#define DL_METRICS_PAGE_H

#include "node/object_relay.h"

/* Serves the page at ADDRESS ("IP:PORT"); nothing when it is NULL.  RELAY may be NULL.
 * Returns 0 or a negative error. */
int dl_metrics_page_new (DlTask *task,
                         const void *owner,
                         const char *address,
                         DlObjectRelay *relay);

#endif
