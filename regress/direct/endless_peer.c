/* Each connection has a thread, which blocks for at most WAIT_MS. */
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "endless.h"

#define WAIT_MS        20
#define BLOCK_BYTES    16384
#define TRICKLE_BYTES  5
#define TRICKLE_US     50000
#define RESET_DELAY_US 50000
#define REQUEST_BYTES  65536

struct EndlessPeer
{
  struct sockaddr_in target;
  GMutex lock; /* of the members below */
  bool answers;
  EndlessAnswer answer; /* if so */
  unsigned set;         /* how often these were set */
  EndlessRecord record;
  unsigned threads;
};

typedef struct
{
  EndlessPeer *peer;
  int fd;
  bool answers;
  EndlessAnswer answer;
  unsigned set;
  char request[REQUEST_BYTES + 1];
  size_t length;
} Serving;

EndlessPeer *
endless_peer_new (const struct sockaddr_in *target)
{
  EndlessPeer *peer = g_new0 (EndlessPeer, 1);

  peer->target = *target;
  g_mutex_init (&peer->lock);
  return peer;
}

static bool
is_current (const Serving *s)
{
  bool current;

  g_mutex_lock (&s->peer->lock);
  current = s->set == s->peer->set;
  g_mutex_unlock (&s->peer->lock);
  return current;
}

/* Waits for EVENTS; false when there were none for WAIT_MS. */
static bool
wait_for (int fd, short events)
{
  struct pollfd p = { .fd = fd, .events = events };

  return poll (&p, 1, WAIT_MS) > 0;
}

/* Reads a request up to the end of its head; false when the connection ended before. */
static bool
read_request (Serving *s)
{
  while (strstr (s->request, "\r\n\r\n") == NULL)
    {
      ssize_t n;

      if (!is_current (s) || s->length == REQUEST_BYTES)
        return false;
      if (!wait_for (s->fd, POLLIN))
        continue;
      n = recv (s->fd, s->request + s->length, REQUEST_BYTES - s->length, 0);
      if (n <= 0)
        return false;
      s->length += (size_t)n;
      s->request[s->length] = '\0';
    }
  return true;
}

/* -------- answers without end -------- */

/* Drops what the caller sends; false when it has closed the connection. */
static bool
is_open (int fd)
{
  char dropped[BLOCK_BYTES];
  ssize_t n = recv (fd, dropped, sizeof dropped, MSG_DONTWAIT);

  return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
}

static bool
send_all (const Serving *s, const char *bytes, size_t length, uint64_t *total)
{
  while (length > 0)
    {
      ssize_t n;

      if (!is_current (s) || !is_open (s->fd))
        return false;
      if (!wait_for (s->fd, POLLOUT))
        continue;
      n = send (s->fd, bytes, length, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && errno != EAGAIN)
        return false;
      bytes += MAX (n, 0);
      length -= (size_t)MAX (n, 0);
      *total += (uint64_t)MAX (n, 0);
    }
  return true;
}

static char *
request_id (const Serving *s)
{
  static const char name[] = "X-Request-Id: ";
  const char *at = strstr (s->request, name);

  return at != NULL ? g_strndup (at + strlen (name), strcspn (at + strlen (name), "\r"))
                    : g_strdup ("");
}

/* Fills BLOCK with the unit, repeated; returns the length. */
static size_t
fill_block (const EndlessAnswer *answer, char *block)
{
  size_t unit = strlen (answer->unit);
  size_t length = 0;

  while (length + unit <= BLOCK_BYTES)
    {
      memcpy (block + length, answer->unit, unit);
      length += unit;
    }
  return length;
}

/* Sends the head.  Returns false when the connection is to end. */
static bool
send_head (const Serving *s, uint64_t *total)
{
  char **parts = g_strsplit (s->answer.head, "%s", 2);
  char *id = request_id (s);
  char *head = g_strjoinv (id, parts);
  bool open = send_all (s, head, strlen (head), total);

  g_strfreev (parts);
  g_free (head);
  g_free (id);
  return open && s->answer.unit != NULL;
}

/* Makes the end of the connection a reset, once the peer has read what was sent. */
static void
reset_at_close (const Serving *s)
{
  struct linger linger = { .l_onoff = 1 };

  g_usleep (RESET_DELAY_US);
  setsockopt (s->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

static void
send_without_end (const Serving *s, uint64_t *total)
{
  char block[BLOCK_BYTES];
  size_t length = fill_block (&s->answer, block);
  size_t step = s->answer.trickle ? TRICKLE_BYTES : length;
  size_t at = 0;

  for (bool open = true; open;)
    {
      size_t n = MIN (step, length - at);

      open = send_all (s, block + at, n, total);
      at = at + n < length ? at + n : 0;
      if (s->answer.trickle)
        g_usleep (TRICKLE_US);
    }
}

static void
answer_without_end (const Serving *s)
{
  EndlessPeer *p = s->peer;
  gint64 begin_us = g_get_monotonic_time ();
  uint64_t total = 0;

  g_mutex_lock (&p->lock);
  p->record.requests++;
  p->record.open++;
  g_mutex_unlock (&p->lock);
  if (send_head (s, &total))
    send_without_end (s, &total);
  else if (s->answer.reset)
    reset_at_close (s);
  g_mutex_lock (&p->lock);
  if (s->set == p->set)
    {
      uint64_t open_ms = (uint64_t)(g_get_monotonic_time () - begin_us) / 1000;

      p->record.open--;
      p->record.open_ms = MAX (p->record.open_ms, open_ms);
      p->record.bytes = MAX (p->record.bytes, total);
    }
  g_mutex_unlock (&p->lock);
}

/* -------- passing on -------- */

/* Passes on what is there from FROM; false when the connection has ended. */
static bool
pass_on (int from, int to)
{
  char bytes[BLOCK_BYTES];
  ssize_t n = recv (from, bytes, sizeof bytes, MSG_DONTWAIT);

  if (n < 0)
    return errno == EAGAIN || errno == EINTR;
  return n > 0 && send (to, bytes, (size_t)n, MSG_NOSIGNAL) == n;
}

static void
relay (const Serving *s)
{
  int to = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool open
      = connect (to, (const struct sockaddr *)&s->peer->target, sizeof s->peer->target)
            == 0
        && send (to, s->request, s->length, MSG_NOSIGNAL) == (ssize_t)s->length;

  while (open && is_current (s))
    {
      struct pollfd fds[]
          = { { .fd = s->fd, .events = POLLIN }, { .fd = to, .events = POLLIN } };

      if (poll (fds, G_N_ELEMENTS (fds), WAIT_MS) > 0)
        open = pass_on (s->fd, to) && pass_on (to, s->fd);
    }
  close (to);
}

/* -------- connections -------- */

static bool
is_answered (const Serving *s)
{
  const char *target = strchr (s->request, ' ');

  if (!s->answers || target == NULL || !g_str_has_prefix (target + 1, s->answer.path))
    return false;
  return s->answer.left == NULL || g_atomic_int_add (s->answer.left, -1) > 0;
}

static gpointer
serve (gpointer data)
{
  Serving *s = data;
  EndlessPeer *p = s->peer;

  if (read_request (s))
    {
      if (is_answered (s))
        answer_without_end (s);
      else
        relay (s);
    }
  close (s->fd);
  g_free (s);
  g_mutex_lock (&p->lock);
  p->threads--;
  g_mutex_unlock (&p->lock);
  return NULL;
}

void
endless_peer_serve (EndlessPeer *peer, int fd)
{
  Serving *s = g_new0 (Serving, 1);

  s->peer = peer;
  s->fd = fd;
  g_mutex_lock (&peer->lock);
  s->answers = peer->answers;
  s->answer = peer->answer;
  s->set = peer->set;
  peer->threads++;
  g_mutex_unlock (&peer->lock);
  g_thread_unref (g_thread_new ("endless", serve, s));
}

void
endless_peer_set (EndlessPeer *peer, const EndlessAnswer *answer)
{
  g_mutex_lock (&peer->lock);
  peer->answers = answer != NULL;
  if (answer != NULL)
    peer->answer = *answer;
  peer->set++;
  peer->record = (EndlessRecord){ 0 };
  g_mutex_unlock (&peer->lock);
}

EndlessRecord
endless_peer_record (EndlessPeer *peer)
{
  EndlessRecord record;

  g_mutex_lock (&peer->lock);
  record = peer->record;
  g_mutex_unlock (&peer->lock);
  return record;
}

void
endless_peer_free (EndlessPeer *peer)
{
  bool done = false;

  endless_peer_set (peer, NULL);
  while (!done)
    {
      g_mutex_lock (&peer->lock);
      done = peer->threads == 0;
      g_mutex_unlock (&peer->lock);
      if (!done)
        g_usleep (WAIT_MS * 1000);
    }
  g_mutex_clear (&peer->lock);
  g_free (peer);
}
