/* Opens listening sockets. */
#ifndef DL_LISTEN_H
#define DL_LISTEN_H

#include <netinet/in.h>

/* Opens a non-blocking socket that listens at AT with a queue of BACKLOG connections.  No
 * other process can listen there meanwhile.  Returns its descriptor, or a negative error:
 * -EADDRINUSE while another one does. */
int dl_listen (const struct sockaddr_in *at, int backlog);

#endif
