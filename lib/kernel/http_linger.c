#include "kernel/http_linger.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#define DROP_BYTES      16384
#define DROP_READS      4   /* in a run of the loop; the rest in the next ones */
#define DROP_READS_LAST 512 /* before a close: 8 MiB, as no run comes after it */
/* Above the limits of all servers of a process; further ones are closed at once. */
#define SOCKETS_MAX 4096

/* A socket whose output has ended; a talloc child of the set. */
typedef struct
{
  DlHttpLinger *linger;
  int fd;
  ev_io reader;
  DlHttpLingerFunc func;
  void *data;
} Socket;

struct DlHttpLinger
{
  DlTask *task;
  struct ev_loop *loop;
  unsigned count;
};

/* Reads and drops what has arrived, at most READS times; returns false once nothing more
 * can. */
static bool
drop_arrived (int fd, unsigned reads)
{
  char bytes[DROP_BYTES];
  ssize_t n;

  do
    n = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT);
  while ((n > 0 || (n < 0 && errno == EINTR)) && --reads > 0);
  return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
}

static int
socket_destroy (Socket *s)
{
  ev_io_stop (s->linger->loop, &s->reader);
  drop_arrived (s->fd, DROP_READS_LAST);
  close (s->fd);
  s->linger->count--;
  return 0;
}

static void
finish (Socket *s)
{
  DlHttpLingerFunc func = s->func;
  void *data = s->data;

  talloc_free (s);
  if (func != NULL)
    func (data);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  Socket *s = watcher->data;

  if (!drop_arrived (s->fd, DROP_READS))
    finish (s);
}

static void
on_time_over (DlTimer *timer, void *data)
{
  finish (data);
}

DlHttpLinger *
dl_http_linger_new (DlTask *task, const void *owner)
{
  DlHttpLinger *linger = talloc_zero (owner, DlHttpLinger);

  g_assert (linger != NULL);
  linger->task = task;
  linger->loop = dl_kernel_loop (dl_task_kernel (task));
  return linger;
}

bool
dl_http_linger_add (DlHttpLinger *linger, int fd, DlHttpLingerFunc func, void *data)
{
  int copy;
  Socket *s;

  shutdown (fd, SHUT_WR);
  if (linger->count >= SOCKETS_MAX)
    return false;
  copy = fcntl (fd, F_DUPFD_CLOEXEC, 0);
  if (copy < 0)
    return false;
  s = talloc_zero (linger, Socket);
  g_assert (s != NULL);
  s->linger = linger;
  s->fd = copy;
  s->func = func;
  s->data = data;
  ev_io_init (&s->reader, on_readable, copy, EV_READ);
  s->reader.data = s;
  ev_io_start (linger->loop, &s->reader);
  dl_timer_subscribe (linger->task, s, DL_HTTP_LINGER_MS, 0, on_time_over, s);
  linger->count++;
  talloc_set_destructor (s, socket_destroy);
  return true;
}

unsigned
dl_http_linger_count (const DlHttpLinger *linger)
{
  return linger->count;
}
