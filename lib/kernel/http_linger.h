/*
 * Lingering close of an HTTP server's connections (RFC 9112, section 9.6).
 *
 * A socket that is closed with unread bytes resets its connection, and the caller may
 * lose a response that it has not read yet.  So the output ends first; what still arrives
 * is read and dropped until the caller ends its own.
 */
#ifndef DL_HTTP_LINGER_H
#define DL_HTTP_LINGER_H

#include <stdbool.h>

#include "kernel/kernel.h"

typedef struct DlHttpLinger DlHttpLinger;

/* Returns an empty set of sockets, a talloc child of OWNER.  Its end closes all sockets,
 * after reading what has arrived. */
DlHttpLinger *dl_http_linger_new (DlTask *task, const void *owner);
/* Called when a socket of the set was closed, but not at the end of the set. */
typedef void (*DlHttpLingerFunc) (void *data);
/* Ends the output of the socket FD, and reads it until its caller has ended its own, at
 * the latest for DL_HTTP_LINGER_MS; then calls FUNC, unless it is NULL.  FD itself stays
 * the caller's.  Returns false if it cannot; FUNC is not called then. */
bool dl_http_linger_add (DlHttpLinger *linger, int fd, DlHttpLingerFunc func, void *data);
/* Number of sockets that are not closed yet. */
unsigned dl_http_linger_count (const DlHttpLinger *linger);

#define DL_HTTP_LINGER_MS 200

#endif
