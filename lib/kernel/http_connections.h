/*
 * Open connections of an HTTP server, and what has arrived on them outside of requests in
 * progress.
 *
 * libmicrohttpd tells of a request when it has read its first line.  What it has not read
 * yet, and the part of a first line, are visible at the sockets only.
 */
#ifndef DL_HTTP_CONNECTIONS_H
#define DL_HTTP_CONNECTIONS_H

#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/kernel.h"

typedef struct DlHttpConnections DlHttpConnections;

/* Connections, by what has arrived on them. */
typedef struct
{
  unsigned open;
  unsigned unread; /* with bytes that were not read */
  unsigned begun;  /* with the part of a first line; see dl_http_connections_mark */
} DlHttpConnectionCounts;

/* Called when libmicrohttpd has something to do for a connection. */
typedef void (*DlHttpWakeFunc) (void *data);
/* Returns an empty set for a server of TASK at PORT, a talloc child of OWNER.  WAKE is
 * called with OWNER. */
DlHttpConnections *
dl_http_connections_new (DlTask *task, void *owner, uint16_t port, DlHttpWakeFunc wake);
/* For MHD_OPTION_NOTIFY_CONNECTION, with the set as its data. */
void dl_http_connections_notify (void *data,
                                 struct MHD_Connection *connection,
                                 void **socket_context,
                                 enum MHD_ConnectionNotificationCode code);
/* From now on, what is read on a connection without a request in progress is the part of
 * a first line. */
void dl_http_connections_mark (DlHttpConnections *connections);
/* True when the caller of CONNECTION has closed or reset it. */
bool dl_http_connections_is_caller_gone (struct MHD_Connection *connection);
/* Time since the last bytes of CONNECTION arrived, read or not; 0 where the system does
 * not tell. */
uint64_t dl_http_connections_quiet_ms (struct MHD_Connection *connection);
/* A request has begun on CONNECTION, is passed to its handler, or has ended. */
void dl_http_connections_request_begun (struct MHD_Connection *connection);
void dl_http_connections_request_handled (struct MHD_Connection *connection);
void dl_http_connections_request_ended (struct MHD_Connection *connection);
/* Tells the callers of all connections without a request in progress, and on which
 * nothing has arrived, that no request was run, and closes them; each in the moment in
 * which it is found so.  A request that crosses the close has this for its response. With
 * ALL, what has arrived of a request that its handler has not got is no reason to keep a
 * connection: it will not be run.  Only
 * to be called while libmicrohttpd does not run.  Returns the number of connections that
 * are still to be closed: lingering ones count, those with a request in progress do not.
 */
unsigned dl_http_connections_close (DlHttpConnections *connections, bool all);
/* Number of connections whose output has ended and whose callers have not ended theirs.
 */
unsigned dl_http_connections_lingering (const DlHttpConnections *connections);
/* Closes, in the same way, the connections on which no request was in progress for
 * TIMEOUT_MS.  These are freed once their callers have closed them too. */
void dl_http_connections_close_unused (DlHttpConnections *connections,
                                       uint64_t timeout_ms);
/* True for a connection that was closed so: what is read on it is not to be handled. */
bool dl_http_connections_is_closed (struct MHD_Connection *connection);
/* Hands the closed connections back to libmicrohttpd, which can then end. */
void dl_http_connections_release (DlHttpConnections *connections);
/* Counts the connections.  "begun" is only meaningful after dl_http_connections_mark and
 * while no request is in progress. */
DlHttpConnectionCounts dl_http_connections_count (const DlHttpConnections *connections);
/* True if connections wait at the listening socket FD to be accepted. */
bool dl_http_connections_waiting (int fd);

#endif
