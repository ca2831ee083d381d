/* Opens listening sockets. */
#ifndef DL_LISTEN_H
#define DL_LISTEN_H

#include <netinet/in.h>

/* Opens a non-blocking socket that listens at AT with a queue of BACKLOG connections.  No
 * other process can listen there meanwhile.  Returns its descriptor, or a negative error:
 * -EADDRINUSE while another one does. */
int dl_listen (const struct sockaddr_in *at, int backlog);
/* Makes the system drop further attempts to connect to the listening socket FD, so that
 * none succeeds between the last accept and the close.  Best effort: 0 or a negative
 * error. */
int dl_listen_stop (int fd);

#endif
