/*
 * TCP relays between processes, and the rules by which they cut, stall, delay, rate-limit
 * or corrupt the traffic.
 *
 * A relay in front of a listener for frames identifies the connecting process by its
 * Hello frame; a relay to a stand-in is used by one source only.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kernel/frame_auth.h"
#include "kernel/wire.pb-c.h"
#include "scenario.h"

#define READ_BYTES       (64u << 10)
#define QUEUED_MAX_BYTES (512u << 10) /* in each direction of a connection */
#define HEADER_BYTES     DL_FRAME_HEADER_BYTES
#define HELLO_MAX_BYTES  4096
#define BURST_MS         50 /* burst size of a rate limit, as time at its rate */
#define RELAY_BACKLOG    128
#define MS_PER_S         1000
#define RATE_POLL_MS     2

/* The faults between two sets of processes; FROM and TO are as for process_matches(). */
struct Rule
{
  char *from;
  char *to;
  bool cut;
  bool stall;
  uint64_t delay_ms;
  uint64_t jitter_ms;
  uint64_t rate_bytes_per_s; /* per direction, over all connections; 0: no limit */
  uint64_t corrupt;          /* number of pieces that are still to be corrupted */
  double allowance[2];       /* bytes that may pass now; FROM to TO, and back */
  uint64_t refilled_us;      /* when ALLOWANCE was last refilled */
};

/* Bytes of one read, which are queued until DUE_MS. */
typedef struct
{
  uint64_t due_ms;
  size_t offset;
  GBytes *bytes;
} Piece;

/* One direction of a relayed connection. */
typedef struct
{
  int from; /* descriptors of the connection's two sockets */
  int to;
  GQueue pieces;
  size_t queued_bytes;
  bool ended;     /* end of file was read from FROM */
  bool shut_down; /* everything was sent, and TO was shut down for writing */
  bool backwards; /* from the target to the connecting side */
} Direction;

/* A connection through a relay. */
typedef struct
{
  Relay *relay;
  Process *source;         /* NULL: not identified yet */
  Direction directions[2]; /* connecting side to target, and back */
  GByteArray *hello;       /* received until the Hello is complete */
  bool identified;         /* SOURCE is known, or the Hello could not be read */
} Connection;

struct Relay
{
  int listener;
  Process *source; /* NULL: any process; identified by its Hello */
  Process *target;
  char *address;
  GPtrArray *connections;
};

/* -------- rules -------- */

static bool
rule_matches (const Rule *r, const Connection *connection, bool *reverse)
{
  const Process *a = connection->source;
  const Process *b = connection->relay->target;

  *reverse = false;
  if (process_matches (a, r->from) && process_matches (b, r->to))
    return true;
  *reverse = true;
  return process_matches (a, r->to) && process_matches (b, r->from);
}

static Rule *
rule_get (Scenario *s, const char *from, const char *to)
{
  Rule *r;

  for (unsigned i = 0; i < s->rules->len; i++)
    {
      r = g_ptr_array_index (s->rules, i);
      if (strcmp (r->from, from) == 0 && strcmp (r->to, to) == 0)
        return r;
    }
  r = g_new0 (Rule, 1);
  r->from = g_strdup (from);
  r->to = g_strdup (to);
  g_ptr_array_add (s->rules, r);
  return r;
}

void
rule_free (gpointer data)
{
  Rule *r = data;

  g_free (r->from);
  g_free (r->to);
  g_free (r);
}

/* link FROM TO cut|stall|heal|delay MS [JITTER_MS]|rate BYTES_PER_S|corrupt COUNT */
bool
statement_link (Scenario *s, char **words, unsigned count)
{
  const char *what = words[3];
  uint64_t number = 0;
  Rule *r = rule_get (s, words[1], words[2]);

  if (!s->use_relays)
    return scn_fail (s,
                     "link faults need \"relays on\" before the processes are declared");
  if (count > 4 && !scn_parse_uint (words[4], &number))
    return scn_fail (s, "%s is not a number", words[4]);
  if (strcmp (what, "cut") == 0)
    r->cut = true;
  else if (strcmp (what, "stall") == 0)
    r->stall = true;
  else if (strcmp (what, "heal") == 0)
    g_ptr_array_remove (s->rules, r);
  else if (strcmp (what, "delay") == 0)
    {
      r->delay_ms = number;
      if (count > 5 && !scn_parse_uint (words[5], &r->jitter_ms))
        return scn_fail (s, "%s is not a number", words[5]);
    }
  else if (strcmp (what, "rate") == 0)
    r->rate_bytes_per_s = number;
  else if (strcmp (what, "corrupt") == 0)
    r->corrupt = number;
  else
    return scn_fail (s, "unknown link fault: %s", what);
  return true;
}

static void
rules_refill (Scenario *s)
{
  uint64_t now = (uint64_t)g_get_monotonic_time ();

  for (unsigned i = 0; i < s->rules->len; i++)
    {
      Rule *r = g_ptr_array_index (s->rules, i);
      double rate = (double)r->rate_bytes_per_s;
      double most = rate * BURST_MS / MS_PER_S;

      for (unsigned direction = 0; direction < 2; direction++)
        r->allowance[direction]
            = MIN (most, r->allowance[direction]
                             + rate * (double)(now - r->refilled_us) / G_USEC_PER_SEC);
      r->refilled_us = now;
    }
}

/* Combined effect of all matching rules on one direction of a connection. */
typedef struct
{
  bool cut;
  bool stall;
  uint64_t delay_ms;
  size_t limit;           /* bytes that may be read now */
  Rule *rates[8];         /* rules whose allowance the bytes are taken from */
  unsigned directions[8]; /* index into the allowance of each of RATES */
  unsigned rate_count;
  Rule *corrupt;
} Effect;

static Effect
rules_combine (Scenario *s, const Connection *connection, const Direction *direction)
{
  Effect e = { .limit = READ_BYTES };
  bool reverse;

  for (unsigned i = 0; i < s->rules->len; i++)
    {
      Rule *r = g_ptr_array_index (s->rules, i);

      if (!rule_matches (r, connection, &reverse))
        continue;
      e.cut = e.cut || r->cut;
      e.stall = e.stall || r->stall;
      e.delay_ms += r->delay_ms;
      if (r->jitter_ms > 0)
        e.delay_ms += (uint64_t)g_rand_int_range (s->random, 0, (gint32)r->jitter_ms + 1);
      if (r->corrupt > 0)
        e.corrupt = r;
      if (r->rate_bytes_per_s > 0 && e.rate_count < G_N_ELEMENTS (e.rates))
        {
          unsigned side = reverse != direction->backwards;

          e.limit = MIN (e.limit, (size_t)MAX (r->allowance[side], 0));
          e.directions[e.rate_count] = side;
          e.rates[e.rate_count++] = r;
        }
    }
  return e;
}

/* -------- connections -------- */

static void
piece_free (gpointer data)
{
  Piece *piece = data;

  g_bytes_unref (piece->bytes);
  g_free (piece);
}

static void
connection_free (gpointer data)
{
  Connection *connection = data;

  close (connection->directions[0].from);
  close (connection->directions[0].to);
  g_queue_clear_full (&connection->directions[0].pieces, piece_free);
  g_queue_clear_full (&connection->directions[1].pieces, piece_free);
  g_byte_array_free (connection->hello, TRUE);
  g_free (connection);
}

static int
connect_to (const char *address)
{
  char **parts = g_strsplit (address, ":", 2);
  struct sockaddr_in at = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, parts[0], &at.sin_addr);
  at.sin_port = htons ((uint16_t)g_ascii_strtoull (parts[1], NULL, 10));
  g_strfreev (parts);
  if (connect (fd, (struct sockaddr *)&at, sizeof at) < 0 && errno != EINPROGRESS)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static void
relay_accept (Relay *relay)
{
  int on = 1;
  int fd;

  while ((fd = accept4 (relay->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      int to = connect_to (relay->target->address);
      Connection *connection;

      if (to < 0)
        {
          close (fd);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      setsockopt (to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      connection = g_new0 (Connection, 1);
      connection->relay = relay;
      connection->source = relay->source;
      connection->identified = relay->source != NULL;
      connection->hello = g_byte_array_new ();
      connection->directions[0]
          = (Direction){ .from = fd, .to = to, .pieces = G_QUEUE_INIT };
      connection->directions[1] = (Direction){
        .from = to, .to = fd, .pieces = G_QUEUE_INIT, .backwards = true
      };
      g_ptr_array_add (relay->connections, connection);
    }
}

/* Reads the Hello, once it is complete, from what the connecting side has sent, and sets
 * the connection's source. */
static void
connection_identify (Scenario *s,
                     Connection *connection,
                     const uint8_t *bytes,
                     size_t length)
{
  uint32_t size;
  Daisyloft__Wire__Envelope *envelope;

  g_byte_array_append (connection->hello, bytes, (guint)length);
  if (connection->hello->len < HEADER_BYTES)
    return;
  memcpy (&size, connection->hello->data, sizeof size);
  size = ntohl (size);
  if (size <= HELLO_MAX_BYTES && connection->hello->len < HEADER_BYTES + size)
    return;
  connection->identified = true;
  envelope
      = size <= HELLO_MAX_BYTES
            ? daisyloft__wire__envelope__unpack (NULL, size,
                                                 connection->hello->data + HEADER_BYTES)
            : NULL;
  if (envelope != NULL && envelope->body_case == DAISYLOFT__WIRE__ENVELOPE__BODY_HELLO)
    connection->source = process_find (s, envelope->hello->name);
  else
    scn_fail (s, "a connection through a relay does not begin with a Hello");
  if (envelope != NULL)
    daisyloft__wire__envelope__free_unpacked (envelope, NULL);
}

static void
direction_append (Direction *direction,
                  const uint8_t *bytes,
                  size_t length,
                  uint64_t delay_ms)
{
  Piece *piece = g_new0 (Piece, 1);
  const Piece *last = g_queue_peek_tail (&direction->pieces);

  piece->bytes = g_bytes_new (bytes, length);
  piece->due_ms = scn_now_ms () + delay_ms;
  if (last != NULL)
    piece->due_ms = MAX (piece->due_ms, last->due_ms);
  g_queue_push_tail (&direction->pieces, piece);
  direction->queued_bytes += length;
}

/* Returns false when the connection has failed. */
static bool
direction_read (Scenario *s,
                Connection *connection,
                Direction *direction,
                const Effect *e)
{
  static uint8_t buffer[READ_BYTES];
  ssize_t n;

  if (direction->ended || direction->queued_bytes >= QUEUED_MAX_BYTES || e->limit == 0)
    return true;
  n = recv (direction->from, buffer, e->limit, 0);
  if (n < 0)
    return errno == EAGAIN || errno == EINTR || errno == EINPROGRESS || errno == ENOTCONN;
  if (n == 0)
    {
      direction->ended = true;
      return true;
    }
  for (unsigned i = 0; i < e->rate_count; i++)
    e->rates[i]->allowance[e->directions[i]] -= (double)n;
  if (e->corrupt != NULL && n > HEADER_BYTES)
    {
      buffer[n / 2] ^= 1;
      e->corrupt->corrupt--;
    }
  if (!direction->backwards && !connection->identified)
    connection_identify (s, connection, buffer, (size_t)n);
  direction_append (direction, buffer, (size_t)n, e->delay_ms);
  return true;
}

static bool
direction_write (Direction *direction)
{
  Piece *piece;

  while ((piece = g_queue_peek_head (&direction->pieces)) != NULL
         && piece->due_ms <= scn_now_ms ())
    {
      gsize size;
      const uint8_t *bytes = g_bytes_get_data (piece->bytes, &size);
      ssize_t n = send (direction->to, bytes + piece->offset, size - piece->offset,
                        MSG_NOSIGNAL);

      if (n < 0)
        return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
      piece->offset += (size_t)n;
      direction->queued_bytes -= (size_t)n;
      if (piece->offset < size)
        return true;
      piece_free (g_queue_pop_head (&direction->pieces));
    }
  if (direction->ended && direction->pieces.length == 0 && !direction->shut_down)
    {
      shutdown (direction->to, SHUT_WR);
      direction->shut_down = true;
    }
  return true;
}

/* Returns false when the connection must be closed. */
static bool
connection_iterate (Scenario *s, Connection *connection)
{
  for (unsigned i = 0; i < 2; i++)
    {
      Direction *direction = &connection->directions[i];
      Effect e = rules_combine (s, connection, direction);

      if (e.cut)
        return false;
      if (e.stall)
        continue;
      if (!direction_read (s, connection, direction, &e) || !direction_write (direction))
        return false;
    }
  return !(connection->directions[0].shut_down && connection->directions[1].shut_down);
}

/* -------- relays -------- */

char *
relay_new (Scenario *s, Process *source, Process *target, Relay **result)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t length = sizeof at;
  char **parts = g_strsplit (target->address, ":", 2);
  Relay *relay = NULL;

  for (unsigned i = 0; i < s->relays->len && source != NULL; i++)
    {
      relay = g_ptr_array_index (s->relays, i);
      if (relay->source == source && relay->target == target)
        {
          g_strfreev (parts);
          return g_strdup (relay->address);
        }
    }
  relay = g_new0 (Relay, 1);
  relay->source = source;
  relay->target = target;
  relay->connections = g_ptr_array_new_with_free_func (connection_free);
  relay->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  inet_pton (AF_INET, parts[0], &at.sin_addr);
  if (bind (relay->listener, (struct sockaddr *)&at, sizeof at) < 0
      || listen (relay->listener, RELAY_BACKLOG) < 0
      || getsockname (relay->listener, (struct sockaddr *)&at, &length) < 0)
    g_error ("a relay cannot listen: %s", g_strerror (errno));
  relay->address = g_strdup_printf ("%s:%u", parts[0], ntohs (at.sin_port));
  g_strfreev (parts);
  g_ptr_array_add (s->relays, relay);
  if (result != NULL)
    *result = relay;
  return g_strdup (relay->address);
}

void
relay_free (gpointer data)
{
  Relay *relay = data;

  close (relay->listener);
  g_ptr_array_free (relay->connections, TRUE);
  g_free (relay->address);
  g_free (relay);
}

static void
poll_fd (GArray *fds, int fd, short events)
{
  struct pollfd p = { .fd = fd, .events = events };

  g_array_append_val (fds, p);
}

static void
direction_poll (Scenario *s,
                const Connection *connection,
                Direction *direction,
                GArray *fds,
                int *wait_ms)
{
  Effect e = rules_combine (s, connection, direction);
  const Piece *piece = g_queue_peek_head (&direction->pieces);
  uint64_t now = scn_now_ms ();

  if (e.stall)
    return;
  if (!direction->ended && direction->queued_bytes < QUEUED_MAX_BYTES)
    {
      if (e.limit > 0)
        poll_fd (fds, direction->from, POLLIN);
      else
        *wait_ms = MIN (*wait_ms, RATE_POLL_MS);
    }
  if (piece == NULL)
    return;
  if (piece->due_ms <= now)
    poll_fd (fds, direction->to, POLLOUT);
  else
    *wait_ms = MIN (*wait_ms, (int)MIN (piece->due_ms - now, G_MAXINT));
}

void
relay_poll (Scenario *s, GArray *fds, int *wait_ms)
{
  rules_refill (s);
  for (unsigned i = 0; i < s->relays->len; i++)
    {
      const Relay *relay = g_ptr_array_index (s->relays, i);

      poll_fd (fds, relay->listener, POLLIN);
      for (unsigned j = 0; j < relay->connections->len; j++)
        {
          Connection *connection = g_ptr_array_index (relay->connections, j);

          direction_poll (s, connection, &connection->directions[0], fds, wait_ms);
          direction_poll (s, connection, &connection->directions[1], fds, wait_ms);
        }
    }
}

void
relay_iterate (Scenario *s)
{
  rules_refill (s);
  for (unsigned i = 0; i < s->relays->len; i++)
    {
      Relay *relay = g_ptr_array_index (s->relays, i);

      relay_accept (relay);
      for (unsigned j = relay->connections->len; j-- > 0;)
        if (!connection_iterate (s, g_ptr_array_index (relay->connections, j)))
          g_ptr_array_remove_index_fast (relay->connections, j);
    }
}
