/* One thread polls all connections of one proxy. */
#include "proxy.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kernel/address.h"

#define TURN_MS     5
#define PIECE_BYTES 16384
#define BACKLOG     64

/* One direction of a connection. */
typedef struct
{
  int from;
  int to;
  char bytes[PIECE_BYTES]; /* read and not yet written */
  size_t length;
  gint64 due_us; /* when they may be written */
  bool ended;    /* FROM has sent its last byte */
  bool shut;     /* TO was told */
} Way;

typedef struct
{
  Way up;
  Way down;
  bool silenced;
} Connection;

struct Proxy
{
  struct sockaddr_in target;
  int listener;
  GThread *thread;
  gint mode;         /* ProxyMode, atomic */
  gint reset_due;    /* atomic flags */
  gint silence_due;  /* */
  gint stop;         /* */
  GPtrArray *active; /* of Connection; the thread's own */
};

/* Closing with this option sends a reset. */
static void
set_abrupt (int fd)
{
  struct linger linger = { .l_onoff = 1 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

static void
connection_free (gpointer data)
{
  Connection *c = data;

  close (c->up.from);
  close (c->up.to);
  g_free (c);
}

static void
reset_all (Proxy *p)
{
  for (guint i = 0; i < p->active->len; i++)
    {
      Connection *c = g_ptr_array_index (p->active, i);

      set_abrupt (c->up.from);
      set_abrupt (c->up.to);
    }
  g_ptr_array_set_size (p->active, 0);
}

static void
accept_new (Proxy *p, ProxyMode mode)
{
  int on = 1;
  int fd;

  while ((fd = accept4 (p->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      Connection *c;
      int to = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

      if (mode == PROXY_REFUSE
          || (connect (to, (struct sockaddr *)&p->target, sizeof p->target) < 0
              && errno != EINPROGRESS))
        {
          set_abrupt (fd);
          close (fd);
          close (to);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      setsockopt (to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      c = g_new0 (Connection, 1);
      c->up = (Way){ .from = fd, .to = to };
      c->down = (Way){ .from = to, .to = fd };
      g_ptr_array_add (p->active, c);
    }
}

static bool
is_later (int error)
{
  return error == EAGAIN || error == EINTR || error == ENOTCONN || error == EINPROGRESS;
}

static bool
read_way (Way *w, ProxyMode mode)
{
  ssize_t n;

  if (w->length > 0 || w->ended)
    return true;
  n = recv (w->from, w->bytes, sizeof w->bytes, 0);
  if (n < 0)
    return is_later (errno);
  w->ended = n == 0;
  w->length = (size_t)n;
  w->due_us = g_get_monotonic_time () + (mode == PROXY_DELAY ? PROXY_DELAY_MS * 1000 : 0);
  return true;
}

/* Returns false when the connection broke. */
static bool
turn_way (Way *w, ProxyMode mode)
{
  ssize_t n;

  if (!read_way (w, mode))
    return false;
  if (w->length > 0 && g_get_monotonic_time () >= w->due_us)
    {
      n = send (w->to, w->bytes, w->length, MSG_NOSIGNAL);
      if (n < 0)
        return is_later (errno);
      memmove (w->bytes, w->bytes + n, w->length - (size_t)n);
      w->length -= (size_t)n;
    }
  if (w->ended && w->length == 0 && !w->shut)
    {
      shutdown (w->to, SHUT_WR);
      w->shut = true;
    }
  return true;
}

static bool
turn_connection (Connection *c, ProxyMode mode)
{
  bool up = mode != PROXY_CUT_UP && mode != PROXY_CUT_BOTH;
  bool down = mode != PROXY_CUT_DOWN && mode != PROXY_CUT_BOTH;

  if (c->silenced)
    return true;
  if ((up && !turn_way (&c->up, mode)) || (down && !turn_way (&c->down, mode)))
    {
      set_abrupt (c->up.from);
      set_abrupt (c->up.to);
      return false;
    }
  return !(c->up.shut && c->down.shut);
}

static void
turn (Proxy *p)
{
  ProxyMode mode = (ProxyMode)g_atomic_int_get (&p->mode);

  if (g_atomic_int_and ((guint *)&p->reset_due, 0) || mode == PROXY_REFUSE)
    reset_all (p);
  if (g_atomic_int_and ((guint *)&p->silence_due, 0))
    for (guint i = 0; i < p->active->len; i++)
      ((Connection *)g_ptr_array_index (p->active, i))->silenced = true;
  accept_new (p, mode);
  for (guint i = p->active->len; i-- > 0;)
    if (!turn_connection (g_ptr_array_index (p->active, i), mode))
      g_ptr_array_remove_index_fast (p->active, i);
}

/* Sleeps until something may have arrived; never for long, as modes change and delayed
 * bytes come due. */
static void
wait_for_bytes (const Proxy *p)
{
  guint count = 1 + 2 * p->active->len;
  struct pollfd *fds = g_new0 (struct pollfd, count);
  int busy = 0;

  fds[0] = (struct pollfd){ .fd = p->listener, .events = POLLIN };
  for (guint i = 0; i < p->active->len; i++)
    {
      const Connection *c = g_ptr_array_index (p->active, i);
      bool waits = c->silenced || g_atomic_int_get (&p->mode) != PROXY_PASS;

      fds[1 + 2 * i] = (struct pollfd){ .fd = c->up.from, .events = POLLIN };
      fds[2 + 2 * i] = (struct pollfd){ .fd = c->up.to, .events = POLLIN };
      busy += waits || c->up.ended || c->down.ended;
    }
  if (busy > 0)
    g_usleep (TURN_MS * 1000); /* descriptors may be readable and not to be read */
  else
    poll (fds, count, TURN_MS);
  g_free (fds);
}

static gpointer
run (gpointer data)
{
  Proxy *p = data;

  while (!g_atomic_int_get (&p->stop))
    {
      turn (p);
      wait_for_bytes (p);
    }
  return NULL;
}

Proxy *
proxy_new (const char *listen_at, const char *target)
{
  Proxy *p = g_new0 (Proxy, 1);
  struct sockaddr_in own;
  int on = 1;

  p->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (p->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (dl_address_parse (dl_str (listen_at), &own) < 0
      || dl_address_parse (dl_str (target), &p->target) < 0
      || bind (p->listener, (struct sockaddr *)&own, sizeof own) < 0
      || listen (p->listener, BACKLOG) < 0)
    {
      g_printerr ("direct: proxy at %s: %s\n", listen_at, g_strerror (errno));
      close (p->listener);
      g_free (p);
      return NULL;
    }
  p->active = g_ptr_array_new_with_free_func (connection_free);
  p->thread = g_thread_new ("proxy", run, p);
  return p;
}

void
proxy_set_mode (Proxy *proxy, ProxyMode mode)
{
  g_atomic_int_set (&proxy->mode, (gint)mode);
}

void
proxy_reset (Proxy *proxy)
{
  g_atomic_int_set (&proxy->reset_due, 1);
}

void
proxy_silence (Proxy *proxy)
{
  g_atomic_int_set (&proxy->silence_due, 1);
}

void
proxy_free (Proxy *proxy)
{
  if (proxy == NULL)
    return;
  g_atomic_int_set (&proxy->stop, 1);
  g_thread_join (proxy->thread);
  g_ptr_array_free (proxy->active, TRUE);
  close (proxy->listener);
  g_free (proxy);
}
