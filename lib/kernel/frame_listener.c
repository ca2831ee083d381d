#include <errno.h>
#include <glib.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "kernel/address.h"
#include "kernel/error.h"
#include "kernel/frame_private.h"
#include "kernel/listen.h"
#include "kernel/log.h"

#define LISTEN_BACKLOG        512
#define ACCEPTS_PER_ITERATION 64

static int
accept_one (DlListener *listener)
{
  int fd = accept4 (listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  DlConn *conn;

  if (fd < 0)
    return -errno;
  if (g_hash_table_size (listener->connections) >= listener->max_connections)
    {
      dl_log (DL_EVENT_CONNECTION_LIMIT,
              DL_UINT ("max_connections", listener->max_connections));
      close (fd);
      return 0;
    }
  conn = dl_conn_new (listener->task, listener, fd, listener->identity);
  conn->listener = listener;
  g_hash_table_add (listener->connections, conn);
  conn->state = CONN_AWAIT_HELLO;
  ev_io_start (conn->loop, &conn->reader);
  dl_conn_send_challenge (conn);
  return 0;
}

static void
on_acceptable (struct ev_loop *loop, ev_io *watcher, int events)
{
  for (int i = 0; i < ACCEPTS_PER_ITERATION; i++)
    {
      int error = accept_one (watcher->data);

      if (error == -EAGAIN || error == -EINTR || error == -ECONNABORTED)
        return;
      if (error < 0)
        {
          dl_log (DL_EVENT_ACCEPT_FAILED, DL_ERRNO (error));
          return;
        }
    }
}

/* See DlEndFunc. */
static bool
listener_end (DlEndStep step, void *data)
{
  if (step != DL_END_KEPT)
    dl_listener_close (data);
  return true;
}

void
dl_listener_close (DlListener *listener)
{
  if (listener->fd < 0)
    return;
  ev_io_stop (listener->loop, &listener->watcher);
  close (listener->fd);
  listener->fd = -1;
}

static int
listener_destroy (DlListener *listener)
{
  GHashTableIter iter;
  gpointer conn;

  dl_listener_close (listener);
  g_hash_table_iter_init (&iter, listener->connections);
  while (g_hash_table_iter_next (&iter, &conn, NULL))
    ((DlConn *)conn)->listener = NULL;
  g_hash_table_destroy (listener->connections);
  return 0;
}

int
dl_listener_new (DlTask *task,
                 const void *owner,
                 DlStr address,
                 const DlIdentity *identity,
                 unsigned max_connections,
                 DlAcceptFunc on_accept,
                 void *data,
                 DlListener **listener)
{
  struct sockaddr_in at;
  int error = dl_address_parse (address, &at);
  int fd;
  DlListener *l;

  if (error < 0)
    return error;
  fd = dl_listen (&at, LISTEN_BACKLOG);
  if (fd < 0)
    return fd;
  l = talloc_zero (owner, DlListener);
  g_assert (l != NULL);
  l->task = task;
  l->loop = dl_kernel_loop (dl_task_kernel (task));
  l->fd = fd;
  l->identity = identity;
  l->max_connections = max_connections;
  l->connections = g_hash_table_new (NULL, NULL);
  l->on_accept = on_accept;
  l->data = data;
  ev_io_init (&l->watcher, on_acceptable, fd, EV_READ);
  l->watcher.data = l;
  ev_io_start (l->loop, &l->watcher);
  dl_kernel_on_end (dl_task_kernel (task), l, listener_end, l);
  talloc_set_destructor (l, listener_destroy);
  *listener = l;
  return 0;
}
