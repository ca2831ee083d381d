#include "kernel/listen.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

/* SO_REUSEADDR allows the address of connections that ended a while ago.  SO_REUSEPORT
 * would share it with another process, and new connections with it. */
int
dl_listen (const struct sockaddr_in *at, int backlog)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;
  int error;

  if (fd < 0)
    return -errno;
  if (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) == 0
      && bind (fd, (const struct sockaddr *)at, sizeof *at) == 0
      && listen (fd, backlog) == 0)
    return fd;
  error = -errno;
  close (fd);
  return error;
}
