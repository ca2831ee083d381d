#include "loopback.h"

#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "unit.h"

DlHttpServer *
loopback_server_new (DlTask *task,
                     const DlHttpLimits *limits,
                     DlHttpHandler handler,
                     struct sockaddr_in *at)
{
  socklen_t length = sizeof *at;
  DlHttpServer *server = NULL;
  char address[32];
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  *at = (struct sockaddr_in){ .sin_family = AF_INET };
  at->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert (bind (fd, (struct sockaddr *)at, sizeof *at) == 0);
  getsockname (fd, (struct sockaddr *)at, &length);
  close (fd);
  g_snprintf (address, sizeof address, "127.0.0.1:%d", ntohs (at->sin_port));
  CU_ASSERT_EQUAL (dl_http_server_new (task, dl_task_state (task), dl_str (address),
                                       limits, handler, NULL, &server),
                   0);
  return server;
}
