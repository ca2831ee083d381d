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

typedef struct DlHttpConnections DlHttpConnections;

/* Connections, by what has arrived on them. */
typedef struct
{
  unsigned open;
  unsigned unread; /* with bytes that were not read */
  unsigned begun;  /* with the part of a first line; see dl_http_connections_mark */
} DlHttpConnectionCounts;

/* Returns an empty set for a server at PORT, a talloc child of OWNER. */
DlHttpConnections *dl_http_connections_new (const void *owner, uint16_t port);
/* For MHD_OPTION_NOTIFY_CONNECTION, with the set as its data. */
void dl_http_connections_notify (void *data,
                                 struct MHD_Connection *connection,
                                 void **socket_context,
                                 enum MHD_ConnectionNotificationCode code);
/* From now on, what is read on a connection without a request in progress is the part of
 * a first line. */
void dl_http_connections_mark (DlHttpConnections *connections);
/* Counts the connections.  "begun" is only meaningful after dl_http_connections_mark and
 * while no request is in progress. */
DlHttpConnectionCounts dl_http_connections_count (const DlHttpConnections *connections);
/* True if connections wait at the listening socket FD to be accepted. */
bool dl_http_connections_waiting (int fd);

#endif
