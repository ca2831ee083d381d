/* How a server ends: its listening socket, its connections, and the process. */
#include <glib.h>
#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kernel/http_linger.h"
#include "kernel/http_server_private.h"
#include "kernel/listen.h"
#include "kernel/log.h"

/* libmicrohttpd accepts a few at a time. */
static void
accept_waiting (DlHttpServer *server)
{
  int fd = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;

  for (int i = 0; i < DL_HTTP_LISTEN_BACKLOG && dl_http_connections_waiting (fd); i++)
    dl_http_server_run (server);
}

/* Accepts what waits at the listening socket FD, which libmicrohttpd has left. */
static unsigned
accept_last (DlHttpServer *server, int fd)
{
  unsigned count = 0;
  struct sockaddr_in caller;
  socklen_t length = sizeof caller;
  int accepted;

  while ((accepted = accept4 (fd, (struct sockaddr *)&caller, &length,
                              SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      MHD_add_connection (server->daemon, accepted, (struct sockaddr *)&caller, length);
      length = sizeof caller;
      count++;
    }
  return count;
}

void
dl_http_server_quiesce (DlHttpServer *server)
{
  MHD_socket fd;
  unsigned last;
  int error;

  if (server->quiesced)
    return;
  server->quiesced = true;
  accept_waiting (server);
  fd = MHD_quiesce_daemon (server->daemon);
  if (fd == MHD_INVALID_SOCKET)
    return;
  error = dl_listen_stop (fd);
  last = accept_last (server, fd);
  close (fd);
  dl_log (DL_EVENT_LISTENER_CLOSED, DL_UINT ("port", server->port),
          DL_UINT ("accepted_last", last),
          DL_TEXT ("dropped_new", error == 0 ? "yes" : "no"));
}

void
dl_http_server_drain (DlHttpServer *server)
{
  dl_http_server_disable_keepalive (server);
  dl_http_server_quiesce (server);
}

bool
dl_http_server_is_idle (DlHttpServer *server)
{
  DlHttpConnectionCounts counts;

  server->looked_ms = dl_clock_ms ();
  if (!server->quiesced)
    accept_waiting (server);
  dl_http_server_run (server);
  if (server->active_requests > 0)
    return false;
  counts = dl_http_connections_count (server->connections);
  return counts.unread == 0 && counts.begun == 0;
}

/* Returns false until the callers of kept connections have ended them, or have had the
 * time to. */
static bool
end_kept_connections (DlHttpServer *server)
{
  uint64_t now_ms = dl_clock_ms ();

  if (!server->keepalive_disabled)
    dl_http_server_disable_keepalive (server);
  if (server->ending_ms == 0)
    {
      server->ending_ms = now_ms;
      dl_http_connections_close (server->connections, false);
    }
  return now_ms >= server->ending_ms + DL_HTTP_LINGER_MS
         || dl_http_connections_lingering (server->connections) == 0;
}

static bool
end_all_connections (DlHttpServer *server, bool now)
{
  dl_http_server_quiesce (server);
  dl_http_server_run (server);
  if (now)
    dl_http_server_run (server); /* what the first run has read is answered */
  return dl_http_connections_close (server->connections, now) == 0;
}

bool
dl_http_server_end (DlEndStep step, void *data)
{
  DlHttpServer *server = data;

  server->looked_ms = dl_clock_ms ();
  switch (step)
    {
    case DL_END_KEPT:
      return end_kept_connections (server);
    case DL_END_ALL:
      return end_all_connections (server, false);
    case DL_END_NOW:
      return end_all_connections (server, true);
    }
  g_assert_not_reached ();
}

void
dl_http_server_log_open (const DlHttpServer *server)
{
  DlHttpConnectionCounts counts = dl_http_connections_count (server->connections);

  if (counts.open == 0 || !dl_kernel_stopping (dl_task_kernel (server->task)))
    return;
  dl_log (DL_EVENT_CONNECTIONS_CLOSED, DL_UINT ("port", server->port),
          DL_UINT ("connections", counts.open), DL_UINT ("unread", counts.unread),
          DL_UINT ("begun", server->active_requests > 0 ? 0 : counts.begun),
          DL_UINT ("requests", server->active_requests),
          DL_UINT ("since_look_ms",
                   server->looked_ms != 0 ? dl_clock_ms () - server->looked_ms : 0));
}
