/*
 * TCP relays between processes, and the rules by which they cut, stall, delay, limit or
 * corrupt what passes.
 *
 * A relay before a frames listener learns who dials from the Hello of the handshake; one
 * towards a stand-in belongs to one source from the start.
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

#define READ_BYTES      (64u << 10)
#define HELD_MAX_BYTES  (512u << 10) /* in one direction of a connection */
#define HEADER_BYTES    DL_FRAME_HEADER_BYTES
#define HELLO_MAX_BYTES 4096
#define BURST_MS        50 /* what a rate limit lets through at once */
#define RELAY_BACKLOG   128
#define MILLISECONDS    1000
#define RATE_TURN_MS    2

struct Rule
{
  char *from;
  char *to;
  bool cut;
  bool stall;
  uint64_t delay_ms;
  uint64_t jitter_ms;
  uint64_t rate_bytes_per_s; /* each way, shared by all connections; 0: no limit */
  uint64_t corrupt;          /* pieces still to be changed */
  double allowance[2];       /* bytes; FROM to TO, and back */
  uint64_t filled_us;
};

/* Bytes on their way. */
typedef struct
{
  uint64_t due_ms;
  size_t offset;
  GBytes *bytes;
} Piece;

typedef struct
{
  int from; /* descriptors of the connection's two sockets */
  int to;
  GQueue pieces;
  size_t held;
  bool ended;     /* FROM has sent its last byte */
  bool shut;      /* and TO was told */
  bool backwards; /* from the target to the dialling side */
} Way;

typedef struct
{
  Relay *relay;
  Process *source; /* NULL: not known yet */
  Way ways[2];     /* dialling side to target, and back */
  GByteArray *hello;
  bool known; /* no more looking for the Hello */
} Link;

struct Relay
{
  int listener;
  Process *source;
  Process *target;
  char *address;
  GPtrArray *links;
};

/* -------- rules -------- */

static bool
rule_matches (const Rule *r, const Link *link, bool *reverse)
{
  const Process *a = link->source;
  const Process *b = link->relay->target;

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

  if (!s->relays_wanted)
    return scn_fail (s, "a link needs \"relays on\" before its processes");
  if (count > 4 && !scn_parse_uint (words[4], &number))
    return scn_fail (s, "%s is no number", words[4]);
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
        return scn_fail (s, "%s is no number", words[5]);
    }
  else if (strcmp (what, "rate") == 0)
    r->rate_bytes_per_s = number;
  else if (strcmp (what, "corrupt") == 0)
    r->corrupt = number;
  else
    return scn_fail (s, "unknown fault of a link: %s", what);
  return true;
}

static void
rules_fill (Scenario *s)
{
  uint64_t now = (uint64_t)g_get_monotonic_time ();

  for (unsigned i = 0; i < s->rules->len; i++)
    {
      Rule *r = g_ptr_array_index (s->rules, i);
      double rate = (double)r->rate_bytes_per_s;
      double most = rate * BURST_MS / MILLISECONDS;

      for (unsigned way = 0; way < 2; way++)
        r->allowance[way]
            = MIN (most, r->allowance[way]
                             + rate * (double)(now - r->filled_us) / G_USEC_PER_SEC);
      r->filled_us = now;
    }
}

/* What the rules say of one way of a connection. */
typedef struct
{
  bool cut;
  bool stall;
  uint64_t delay_ms;
  size_t limit;   /* bytes that may be read now */
  Rule *rates[8]; /* whose allowance is used */
  unsigned ways[8];
  unsigned rate_count;
  Rule *corrupt;
} Effect;

static Effect
rules_effect (Scenario *s, const Link *link, const Way *way)
{
  Effect e = { .limit = READ_BYTES };
  bool reverse;

  for (unsigned i = 0; i < s->rules->len; i++)
    {
      Rule *r = g_ptr_array_index (s->rules, i);

      if (!rule_matches (r, link, &reverse))
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
          unsigned side = reverse != way->backwards;

          e.limit = MIN (e.limit, (size_t)MAX (r->allowance[side], 0));
          e.ways[e.rate_count] = side;
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
link_free (gpointer data)
{
  Link *link = data;

  close (link->ways[0].from);
  close (link->ways[0].to);
  g_queue_clear_full (&link->ways[0].pieces, piece_free);
  g_queue_clear_full (&link->ways[1].pieces, piece_free);
  g_byte_array_free (link->hello, TRUE);
  g_free (link);
}

static int
dial (const char *address)
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
      int to = dial (relay->target->address);
      Link *link;

      if (to < 0)
        {
          close (fd);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      setsockopt (to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      link = g_new0 (Link, 1);
      link->relay = relay;
      link->source = relay->source;
      link->known = relay->source != NULL;
      link->hello = g_byte_array_new ();
      link->ways[0] = (Way){ .from = fd, .to = to, .pieces = G_QUEUE_INIT };
      link->ways[1]
          = (Way){ .from = to, .to = fd, .pieces = G_QUEUE_INIT, .backwards = true };
      g_ptr_array_add (relay->links, link);
    }
}

/* Looks for the Hello in what the dialling side has sent so far. */
static void
link_learn (Scenario *s, Link *link, const uint8_t *bytes, size_t length)
{
  uint32_t size;
  Daisyloft__Wire__Envelope *envelope;

  g_byte_array_append (link->hello, bytes, (guint)length);
  if (link->hello->len < HEADER_BYTES)
    return;
  memcpy (&size, link->hello->data, sizeof size);
  size = ntohl (size);
  if (size <= HELLO_MAX_BYTES && link->hello->len < HEADER_BYTES + size)
    return;
  link->known = true;
  envelope = size <= HELLO_MAX_BYTES
                 ? daisyloft__wire__envelope__unpack (NULL, size,
                                                      link->hello->data + HEADER_BYTES)
                 : NULL;
  if (envelope != NULL && envelope->body_case == DAISYLOFT__WIRE__ENVELOPE__BODY_HELLO)
    link->source = process_find (s, envelope->hello->name);
  else
    scn_fail (s, "a connection through a relay does not begin with a Hello");
  if (envelope != NULL)
    daisyloft__wire__envelope__free_unpacked (envelope, NULL);
}

static void
way_add (Way *way, const uint8_t *bytes, size_t length, uint64_t delay_ms)
{
  Piece *piece = g_new0 (Piece, 1);
  const Piece *last = g_queue_peek_tail (&way->pieces);

  piece->bytes = g_bytes_new (bytes, length);
  piece->due_ms = scn_now_ms () + delay_ms;
  if (last != NULL)
    piece->due_ms = MAX (piece->due_ms, last->due_ms);
  g_queue_push_tail (&way->pieces, piece);
  way->held += length;
}

/* Returns false when the connection broke. */
static bool
way_read (Scenario *s, Link *link, Way *way, const Effect *e)
{
  static uint8_t buffer[READ_BYTES];
  ssize_t n;

  if (way->ended || way->held >= HELD_MAX_BYTES || e->limit == 0)
    return true;
  n = recv (way->from, buffer, e->limit, 0);
  if (n < 0)
    return errno == EAGAIN || errno == EINTR || errno == EINPROGRESS || errno == ENOTCONN;
  if (n == 0)
    {
      way->ended = true;
      return true;
    }
  for (unsigned i = 0; i < e->rate_count; i++)
    e->rates[i]->allowance[e->ways[i]] -= (double)n;
  if (e->corrupt != NULL && n > HEADER_BYTES)
    {
      buffer[n / 2] ^= 1;
      e->corrupt->corrupt--;
    }
  if (!way->backwards && !link->known)
    link_learn (s, link, buffer, (size_t)n);
  way_add (way, buffer, (size_t)n, e->delay_ms);
  return true;
}

static bool
way_write (Way *way)
{
  Piece *piece;

  while ((piece = g_queue_peek_head (&way->pieces)) != NULL
         && piece->due_ms <= scn_now_ms ())
    {
      gsize size;
      const uint8_t *bytes = g_bytes_get_data (piece->bytes, &size);
      ssize_t n
          = send (way->to, bytes + piece->offset, size - piece->offset, MSG_NOSIGNAL);

      if (n < 0)
        return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
      piece->offset += (size_t)n;
      way->held -= (size_t)n;
      if (piece->offset < size)
        return true;
      piece_free (g_queue_pop_head (&way->pieces));
    }
  if (way->ended && way->pieces.length == 0 && !way->shut)
    {
      shutdown (way->to, SHUT_WR);
      way->shut = true;
    }
  return true;
}

/* Returns false when the connection is over. */
static bool
link_turn (Scenario *s, Link *link)
{
  for (unsigned i = 0; i < 2; i++)
    {
      Way *way = &link->ways[i];
      Effect e = rules_effect (s, link, way);

      if (e.cut)
        return false;
      if (e.stall)
        continue;
      if (!way_read (s, link, way, &e) || !way_write (way))
        return false;
    }
  return !(link->ways[0].shut && link->ways[1].shut);
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
  relay->links = g_ptr_array_new_with_free_func (link_free);
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
  g_ptr_array_free (relay->links, TRUE);
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
way_poll (Scenario *s, const Link *link, Way *way, GArray *fds, int *wait_ms)
{
  Effect e = rules_effect (s, link, way);
  const Piece *piece = g_queue_peek_head (&way->pieces);
  uint64_t now = scn_now_ms ();

  if (e.stall)
    return;
  if (!way->ended && way->held < HELD_MAX_BYTES)
    {
      if (e.limit > 0)
        poll_fd (fds, way->from, POLLIN);
      else
        *wait_ms = MIN (*wait_ms, RATE_TURN_MS);
    }
  if (piece == NULL)
    return;
  if (piece->due_ms <= now)
    poll_fd (fds, way->to, POLLOUT);
  else
    *wait_ms = MIN (*wait_ms, (int)MIN (piece->due_ms - now, G_MAXINT));
}

void
relay_poll (Scenario *s, GArray *fds, int *wait_ms)
{
  rules_fill (s);
  for (unsigned i = 0; i < s->relays->len; i++)
    {
      const Relay *relay = g_ptr_array_index (s->relays, i);

      poll_fd (fds, relay->listener, POLLIN);
      for (unsigned j = 0; j < relay->links->len; j++)
        {
          Link *link = g_ptr_array_index (relay->links, j);

          way_poll (s, link, &link->ways[0], fds, wait_ms);
          way_poll (s, link, &link->ways[1], fds, wait_ms);
        }
    }
}

void
relay_turn (Scenario *s)
{
  rules_fill (s);
  for (unsigned i = 0; i < s->relays->len; i++)
    {
      Relay *relay = g_ptr_array_index (s->relays, i);

      relay_accept (relay);
      for (unsigned j = relay->links->len; j-- > 0;)
        if (!link_turn (s, g_ptr_array_index (relay->links, j)))
          g_ptr_array_remove_index_fast (relay->links, j);
    }
}
