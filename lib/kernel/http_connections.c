#include "kernel/http_connections.h"

#include <errno.h>
#include <glib.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <talloc.h>

#include "kernel/http_linger.h"
#include "kernel/log.h"

/* One connection; a talloc child of the set. */
typedef struct Connection
{
  DlHttpConnections *set;
  int fd;
  struct MHD_Connection *mhd;
  bool in_request;       /* one is in progress */
  bool handled;          /* its handler has been called */
  bool closed;           /* its output has ended; suspended */
  bool released;         /* handed back to libmicrohttpd after that */
  uint64_t unused_ms;    /* since when no request is in progress */
  uint64_t marked_bytes; /* read before dl_http_connections_mark */
  struct Connection *next;
  struct Connection **link; /* the pointer to this one */
} Connection;

struct DlHttpConnections
{
  DlHttpWakeFunc wake;
  void *owner;
  Connection *first;
  DlHttpLinger *linger;
  uint16_t port;
  bool marked;
};

DlHttpConnections *
dl_http_connections_new (DlTask *task, void *owner, uint16_t port, DlHttpWakeFunc wake)
{
  DlHttpConnections *c = talloc_zero (owner, DlHttpConnections);

  g_assert (c != NULL);
  c->linger = dl_http_linger_new (task, c);
  c->owner = owner;
  c->port = port;
  c->wake = wake;
  return c;
}

static Connection *
connection_opened (DlHttpConnections *connections, struct MHD_Connection *mhd)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
  Connection *c = talloc_zero (connections, Connection);

  g_assert (c != NULL && info != NULL);
  c->set = connections;
  c->unused_ms = dl_clock_ms ();
  c->fd = info->connect_fd;
  c->mhd = mhd;
  c->next = connections->first;
  if (c->next != NULL)
    c->next->link = &c->next;
  c->link = &connections->first;
  connections->first = c;
  return c;
}

/* The answer to a request that crosses the close of an idle connection (RFC 9110, section
 * 15.5.9).  It says that the request was not run. */
static const char close_response[] = "HTTP/1.1 408 Request Timeout\r\n"
                                     "Connection: close\r\n"
                                     "Content-Length: 0\r\n\r\n";

/* Reads nothing; returns the result of recv: 0 once the caller has closed. */
static ssize_t
peek (const Connection *c)
{
  char byte;

  return recv (c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

static bool
has_unread (const Connection *c)
{
  return peek (c) > 0;
}

static unsigned
unread_bytes (const Connection *c)
{
  int n = 0;

  return ioctl (c->fd, FIONREAD, &n) == 0 && n > 0 ? (unsigned)n : 0;
}

/* Called before its socket is closed. */
static void
connection_closed (DlHttpConnections *connections, Connection *c)
{
  ssize_t unread = c->closed ? 0 : peek (c);

  if (unread > 0)
    dl_log (DL_EVENT_CONNECTION_UNREAD, DL_UINT ("port", connections->port),
            DL_UINT ("bytes", unread_bytes (c)));
  if (unread != 0)
    dl_http_linger_add (connections->linger, c->fd, NULL, NULL);
  *c->link = c->next;
  if (c->next != NULL)
    c->next->link = c->link;
  talloc_free (c);
}

void
dl_http_connections_notify (void *data,
                            struct MHD_Connection *connection,
                            void **socket_context,
                            enum MHD_ConnectionNotificationCode code)
{
  switch (code)
    {
    case MHD_CONNECTION_NOTIFY_STARTED:
      *socket_context = connection_opened (data, connection);
      break;
    case MHD_CONNECTION_NOTIFY_CLOSED:
      connection_closed (data, *socket_context);
      *socket_context = NULL;
      break;
    }
}

/* What the system tells of the connection; all 0 where it does not. */
static struct tcp_info
get_tcp_info (const Connection *c)
{
  struct tcp_info info = { 0 };
  socklen_t length = sizeof info;

  if (getsockopt (c->fd, IPPROTO_TCP, TCP_INFO, &info, &length) < 0)
    return (struct tcp_info){ 0 };
  return info;
}

/* Bytes that were read on the connection; 0 where the system does not tell. */
static uint64_t
read_bytes (const Connection *c)
{
  unsigned unread = unread_bytes (c);
  uint64_t received = get_tcp_info (c).tcpi_bytes_received;

  return received < unread ? 0 : received - unread;
}

void
dl_http_connections_mark (DlHttpConnections *connections)
{
  connections->marked = true;
  for (Connection *c = connections->first; c != NULL; c = c->next)
    c->marked_bytes = read_bytes (c);
}

/* -------- requests, and the close -------- */

static Connection *
connection_of (struct MHD_Connection *mhd)
{
  return MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context;
}

bool
dl_http_connections_is_caller_gone (struct MHD_Connection *connection)
{
  ssize_t n = peek (connection_of (connection));

  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

uint64_t
dl_http_connections_quiet_ms (struct MHD_Connection *connection)
{
  return get_tcp_info (connection_of (connection)).tcpi_last_data_recv;
}

void
dl_http_connections_request_begun (struct MHD_Connection *connection)
{
  Connection *c = connection_of (connection);

  c->in_request = true;
  c->handled = false;
}

void
dl_http_connections_request_handled (struct MHD_Connection *connection)
{
  connection_of (connection)->handled = true;
}

void
dl_http_connections_request_ended (struct MHD_Connection *connection)
{
  Connection *c = connection_of (connection);

  c->in_request = false;
  c->unused_ms = dl_clock_ms ();
}

bool
dl_http_connections_is_closed (struct MHD_Connection *connection)
{
  return connection_of (connection)->closed;
}

static bool
has_arrived (const DlHttpConnections *connections, const Connection *c)
{
  return has_unread (c) || (connections->marked && read_bytes (c) > c->marked_bytes);
}

/* True if nothing on the connection is lost by the close: with ALL, also what has arrived
 * of a request that was not handled. */
static bool
may_close (const DlHttpConnections *connections, const Connection *c, bool all)
{
  if (all)
    return !c->in_request || !c->handled;
  return !c->in_request && !has_arrived (connections, c);
}

static void
release (Connection *c)
{
  if (c->released)
    return;
  c->released = true;
  MHD_resume_connection (c->mhd);
}

/* Has libmicrohttpd find the end of the connection's input, and free it. */
static void
on_lingered (void *data)
{
  Connection *c = data;

  shutdown (c->fd, SHUT_RD);
  release (c);
  c->set->wake (c->set->owner);
}

/* Where the response cannot be sent, the end of the output tells the caller. */
static void
close_output (Connection *c)
{
  send (c->fd, close_response, sizeof close_response - 1, MSG_DONTWAIT | MSG_NOSIGNAL);
  c->closed = true;
  MHD_suspend_connection (c->mhd);
  if (!dl_http_linger_add (c->set->linger, c->fd, on_lingered, c))
    on_lingered (c);
}

unsigned
dl_http_connections_close (DlHttpConnections *connections, bool all)
{
  unsigned open = 0;

  for (Connection *c = connections->first; c != NULL; c = c->next)
    {
      if (!c->closed && may_close (connections, c, all))
        close_output (c);
      open += !c->closed && !c->in_request;
    }
  return open + dl_http_linger_count (connections->linger);
}

void
dl_http_connections_close_unused (DlHttpConnections *connections, uint64_t timeout_ms)
{
  uint64_t now_ms = dl_clock_ms ();

  for (Connection *c = connections->first; c != NULL; c = c->next)
    if (!c->closed && !c->in_request && now_ms >= c->unused_ms + timeout_ms
        && !has_unread (c))
      close_output (c);
}

unsigned
dl_http_connections_lingering (const DlHttpConnections *connections)
{
  return dl_http_linger_count (connections->linger);
}

void
dl_http_connections_release (DlHttpConnections *connections)
{
  for (Connection *c = connections->first; c != NULL; c = c->next)
    if (c->closed)
      release (c);
}

DlHttpConnectionCounts
dl_http_connections_count (const DlHttpConnections *connections)
{
  DlHttpConnectionCounts counts = { 0 };

  for (const Connection *c = connections->first; c != NULL; c = c->next)
    {
      if (c->closed)
        continue;
      counts.open++;
      counts.unread += has_unread (c);
      counts.begun += connections->marked && read_bytes (c) > c->marked_bytes;
    }
  return counts;
}

bool
dl_http_connections_waiting (int fd)
{
  struct pollfd p = { .fd = fd, .events = POLLIN };

  return poll (&p, 1, 0) > 0;
}
