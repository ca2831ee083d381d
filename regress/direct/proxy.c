/* Each proxy has one thread, which polls all of its connections. */
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
#include "mutate.h"

#define POLL_MS      5
#define BUFFER_BYTES 16384
#define BACKLOG      64
/* A narrow link forwards at most what it carries in this part of a second at once. */
#define ALLOWANCES_PER_S 20
/* Of a buffer, so that what is changed has room to grow. */
#define MUTABLE_BYTES (BUFFER_BYTES / 2)

/* One direction of a connection. */
typedef struct
{
  int from;
  int to;
  char bytes[BUFFER_BYTES]; /* read from FROM and not yet written to TO */
  size_t length;
  gint64 due_us; /* monotonic time at which they may be written */
  bool eof;      /* FROM has reached its end */
  bool eof_sent; /* the end was passed on to TO */
} Direction;

typedef struct
{
  Direction up;
  Direction down;
  bool stalled;
} Connection;

struct Proxy
{
  struct sockaddr_in target;
  EndlessPeer *endless;
  int listener;
  GThread *thread;
  gint mode;         /* ProxyMode, atomic */
  gint reset_due;    /* flag, atomic */
  gint stall_due;    /* flag, atomic */
  gint stop;         /* flag, atomic */
  gint rate;         /* bytes a second from the target, atomic; 0: no bound */
  gint queue_ms;     /* by which bytes from the target are late, atomic */
  size_t allowance;  /* bytes that may pass by RATE now; used by the thread only */
  gint64 allowed_us; /* when it was last added to */
  gint seed;         /* for RAND, atomic; 0: it has been taken */
  GRand *rand;       /* used by the thread only */
  GPtrArray *active; /* of Connection; used by the thread only */
};

/* Makes close send a reset. */
static void
set_reset_on_close (int fd)
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

      set_reset_on_close (c->up.from);
      set_reset_on_close (c->up.to);
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
      int to;

      if (mode == PROXY_ENDLESS)
        {
          endless_peer_serve (p->endless, fd);
          continue;
        }
      to = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      if (mode == PROXY_REFUSE
          || (connect (to, (struct sockaddr *)&p->target, sizeof p->target) < 0
              && errno != EINPROGRESS))
        {
          set_reset_on_close (fd);
          close (fd);
          close (to);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      setsockopt (to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      c = g_new0 (Connection, 1);
      c->up = (Direction){ .from = fd, .to = to };
      c->down = (Direction){ .from = to, .to = fd };
      g_ptr_array_add (p->active, c);
    }
}

static bool
is_transient (int error)
{
  return error == EAGAIN || error == EINTR || error == ENOTCONN || error == EINPROGRESS;
}

/* Changes the bytes that were read, as far as the buffer has room. */
static void
mutate_direction (Direction *d, GRand *rand)
{
  g_autoptr (GByteArray) bytes = g_byte_array_new ();

  if (g_rand_int_range (rand, 0, PROXY_MUTATE_ONE_IN) != 0)
    return;
  g_byte_array_append (bytes, (const guint8 *)d->bytes, (guint)d->length);
  mutate (rand, bytes);
  d->length = MIN (bytes->len, sizeof d->bytes);
  if (d->length > 0)
    memcpy (d->bytes, bytes->data, d->length);
}

/* How the bytes of one direction are passed on. */
typedef struct
{
  unsigned delay_ms;
  GRand *rand;       /* chooses what is changed; NULL: nothing is */
  size_t *allowance; /* bytes that may still pass, which is lowered; NULL: any number */
} Passage;

/* Fills the buffer if it is empty.  Returns false when the connection failed. */
static bool
read_direction (Direction *d, const Passage *passage)
{
  GRand *rand = passage->rand;
  ssize_t n;

  if (d->length > 0 || d->eof)
    return true;
  n = recv (d->from, d->bytes, rand != NULL ? MUTABLE_BYTES : sizeof d->bytes, 0);
  if (n < 0)
    return is_transient (errno);
  d->eof = n == 0;
  d->length = (size_t)n;
  if (rand != NULL)
    mutate_direction (d, rand);
  d->due_us
      = g_get_monotonic_time () + passage->delay_ms * (gint64)G_TIME_SPAN_MILLISECOND;
  return true;
}

/* Reads and writes what is possible now.  Returns false when the connection failed. */
static bool
relay_direction (Direction *d, const Passage *passage)
{
  size_t *allowance = passage->allowance;
  size_t sendable;
  ssize_t n;

  if (!read_direction (d, passage))
    return false;
  sendable = allowance != NULL ? MIN (d->length, *allowance) : d->length;
  if (sendable > 0 && g_get_monotonic_time () >= d->due_us)
    {
      n = send (d->to, d->bytes, sendable, MSG_NOSIGNAL);
      if (n < 0)
        return is_transient (errno);
      if (allowance != NULL)
        *allowance -= (size_t)n;
      memmove (d->bytes, d->bytes + n, d->length - (size_t)n);
      d->length -= (size_t)n;
    }
  if (d->eof && d->length == 0 && !d->eof_sent)
    {
      shutdown (d->to, SHUT_WR);
      d->eof_sent = true;
    }
  return true;
}

/* Returns false when the connection is over and is to be closed.  DOWN_PASSAGE is that of
 * bytes from the target. */
static bool
relay_connection (Connection *c, ProxyMode mode, const Passage *down_passage)
{
  const Passage up_passage = { .delay_ms = mode == PROXY_DELAY ? PROXY_DELAY_MS : 0 };
  bool up = mode != PROXY_CUT_UP && mode != PROXY_CUT_BOTH;
  bool down = mode != PROXY_CUT_DOWN && mode != PROXY_CUT_BOTH;

  if (c->stalled)
    return true;
  if ((up && !relay_direction (&c->up, &up_passage))
      || (down && !relay_direction (&c->down, down_passage)))
    {
      set_reset_on_close (c->up.from);
      set_reset_on_close (c->up.to);
      return false;
    }
  return !(c->up.eof_sent && c->down.eof_sent);
}

/* Adds to the allowance what the rate allows for the time since the last call. */
static void
add_allowance (Proxy *p, gint rate)
{
  gint64 now_us = g_get_monotonic_time ();

  p->allowance += (size_t)((now_us - p->allowed_us) * rate / G_USEC_PER_SEC);
  p->allowance = MIN (p->allowance, (size_t)rate / ALLOWANCES_PER_S);
  p->allowed_us = now_us;
}

/* Each connection in turn gets an equal part of what a narrow link still carries. */
static void
relay_connections (Proxy *p, ProxyMode mode)
{
  gint rate = g_atomic_int_get (&p->rate);
  guint count = p->active->len;

  if (rate > 0)
    add_allowance (p, rate);
  for (guint i = p->active->len; i-- > 0;)
    {
      size_t part = p->allowance / MAX (count, 1);
      size_t left = part;
      const Passage down = {
        .delay_ms = (unsigned)g_atomic_int_get (&p->queue_ms)
                    + (mode == PROXY_DELAY ? PROXY_DELAY_MS : 0),
        .rand = mode == PROXY_MUTATE ? p->rand : NULL,
        .allowance = rate > 0 ? &left : NULL,
      };

      if (!relay_connection (g_ptr_array_index (p->active, i), mode, &down))
        g_ptr_array_remove_index_fast (p->active, i);
      p->allowance -= rate > 0 ? part - left : 0;
    }
}

static void
relay_all (Proxy *p)
{
  ProxyMode mode = (ProxyMode)g_atomic_int_get (&p->mode);

  gint seed = (gint)g_atomic_int_and ((guint *)&p->seed, 0);

  if (seed != 0)
    g_rand_set_seed (p->rand, (guint32)seed);
  if (g_atomic_int_and ((guint *)&p->reset_due, 0) || mode == PROXY_REFUSE)
    reset_all (p);
  if (g_atomic_int_and ((guint *)&p->stall_due, 0))
    for (guint i = 0; i < p->active->len; i++)
      ((Connection *)g_ptr_array_index (p->active, i))->stalled = true;
  accept_new (p, mode);
  relay_connections (p, mode);
}

/* Sleeps until input may have arrived, but at most POLL_MS, as the mode may change and
 * delayed bytes become due. */
static void
wait_for_input (const Proxy *p)
{
  guint count = 1 + 2 * p->active->len;
  struct pollfd *fds = g_new0 (struct pollfd, count);
  int unpollable = 0;

  fds[0] = (struct pollfd){ .fd = p->listener, .events = POLLIN };
  for (guint i = 0; i < p->active->len; i++)
    {
      const Connection *c = g_ptr_array_index (p->active, i);
      bool paused = c->stalled || g_atomic_int_get (&p->mode) != PROXY_PASS
                    || g_atomic_int_get (&p->rate) > 0
                    || g_atomic_int_get (&p->queue_ms) > 0;

      fds[1 + 2 * i] = (struct pollfd){ .fd = c->up.from, .events = POLLIN };
      fds[2 + 2 * i] = (struct pollfd){ .fd = c->up.to, .events = POLLIN };
      unpollable += paused || c->up.eof || c->down.eof;
    }
  if (unpollable > 0)
    /* poll would return at once for a readable descriptor that is not read now. */
    g_usleep (POLL_MS * 1000);
  else
    poll (fds, count, POLL_MS);
  g_free (fds);
}

static gpointer
run (gpointer data)
{
  Proxy *p = data;

  while (!g_atomic_int_get (&p->stop))
    {
      relay_all (p);
      wait_for_input (p);
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
  p->rand = g_rand_new_with_seed (1);
  p->endless = endless_peer_new (&p->target);
  p->thread = g_thread_new ("proxy", run, p);
  return p;
}

void
proxy_set_mode (Proxy *proxy, ProxyMode mode)
{
  g_atomic_int_set (&proxy->mode, (gint)mode);
}

void
proxy_set_rate (Proxy *proxy, unsigned bytes_per_s)
{
  g_atomic_int_set (&proxy->rate, (gint)bytes_per_s);
}

void
proxy_set_queue (Proxy *proxy, unsigned delay_ms)
{
  g_atomic_int_set (&proxy->queue_ms, (gint)delay_ms);
}

void
proxy_seed (Proxy *proxy, uint32_t seed)
{
  g_atomic_int_set (&proxy->seed, (gint)seed);
}

EndlessPeer *
proxy_endless_peer (Proxy *proxy)
{
  return proxy->endless;
}

void
proxy_reset (Proxy *proxy)
{
  g_atomic_int_set (&proxy->reset_due, 1);
}

void
proxy_stall (Proxy *proxy)
{
  g_atomic_int_set (&proxy->stall_due, 1);
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
  endless_peer_free (proxy->endless);
  g_rand_free (proxy->rand);
  g_free (proxy);
}
