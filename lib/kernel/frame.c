#include "kernel/frame_private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <talloc.h>
#include <unistd.h>

#include "kernel/address.h"
#include "kernel/crypt.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

#define HEADER_BYTES         DL_FRAME_HEADER_BYTES
#define READ_CHUNK_BYTES     (256u * 1024)
#define PING_INTERVAL_MS     1000
#define HANDSHAKE_TIMEOUT_MS 5000
#define QUEUE_MAX_BYTES      (64u << 20)
#define ARRIVED_READS_MAX    (QUEUE_MAX_BYTES / READ_CHUNK_BYTES)

DL_METRIC (metric_sent,
           DL_METRIC_COUNTER,
           "daisy_frame_sent_bytes",
           "Bytes written to framed connections.")
DL_METRIC (metric_received,
           DL_METRIC_COUNTER,
           "daisy_frame_received_bytes",
           "Bytes read from framed connections.")
DL_METRIC (metric_open,
           DL_METRIC_GAUGE,
           "daisy_frame_connections",
           "Framed connections open or being opened.")

/* -------- creating and closing connections -------- */

static void
conn_release (DlConn *conn)
{
  if (conn->fd >= 0)
    {
      ev_io_stop (conn->loop, &conn->reader);
      ev_io_stop (conn->loop, &conn->writer);
      close (conn->fd);
      conn->fd = -1;
      dl_metric_add (&metric_open, -1);
    }
  if (conn->listener != NULL)
    g_hash_table_remove (conn->listener->connections, conn);
  conn->listener = NULL;
  TALLOC_FREE (conn->timer);
  conn->state = CONN_CLOSED;
}

static int
conn_destroy (DlConn *conn)
{
  conn_release (conn);
  if (conn->freed != NULL)
    *conn->freed = true;
  return 0;
}

void
dl_conn_close (DlConn *conn)
{
  conn_release (conn);
}

void
dl_conn_fail (DlConn *conn, int error)
{
  bool has_handler = conn->handler.on_closed != NULL;

  if (error == DL_ERR_CLOSED && conn->write_error != 0)
    error = conn->write_error;
  if (conn->state == CONN_CLOSED)
    return;
  dl_log (DL_EVENT_CONNECTION_CLOSED, DL_TEXT ("peer", conn->peer.name),
          DL_ERRNO (error));
  conn_release (conn);
  if (has_handler)
    conn->handler.on_closed (conn, error, conn->data);
  else
    talloc_free (conn);
}

static void on_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_writable (struct ev_loop *loop, ev_io *watcher, int events);

/* True if nothing was read for longer than a live peer is silent. */
static bool
is_silent (const DlConn *conn)
{
  uint64_t limit = conn->state >= CONN_OPEN ? DL_FRAME_IDLE_MS : HANDSHAKE_TIMEOUT_MS;

  return !conn->paused && dl_clock_ms () - conn->last_read_ms > limit;
}

/* Closes the connection, unless something has arrived: the process may have stood still,
 * and libev may not have come to this socket since. */
static void
on_silent (DlConn *conn)
{
  if (conn->state == CONN_ENDING)
    conn_release (conn);
  else if (dl_conn_handle_arrived (conn) && is_silent (conn))
    dl_conn_fail (conn, -ETIMEDOUT);
}

static void
on_conn_timer (DlTimer *timer, void *data)
{
  DlConn *conn = data;

  if (is_silent (conn))
    {
      on_silent (conn);
      return;
    }
  if (conn->state == CONN_OPEN && dl_clock_ms () - conn->last_write_ms >= PING_INTERVAL_MS
      && conn->out->length == 0)
    {
      Daisyloft__Wire__Ping ping = DAISYLOFT__WIRE__PING__INIT;
      DlEnvelope envelope = DL_ENVELOPE (PING, ping, &ping);

      dl_conn_send (conn, &envelope, dl_str_bytes (NULL, 0));
    }
}

DlConn *
dl_conn_new (DlTask *task, const void *owner, int fd, const DlIdentity *identity)
{
  DlConn *conn = talloc_zero (owner, DlConn);
  int one = 1;

  g_assert (conn != NULL);
  conn->task = task;
  conn->loop = dl_kernel_loop (dl_task_kernel (task));
  conn->fd = fd;
  conn->identity = identity;
  conn->in = dl_buffer_new (conn, 0);
  conn->out = dl_buffer_new (conn, QUEUE_MAX_BYTES);
  conn->last_read_ms = conn->last_write_ms = dl_clock_ms ();
  conn->timer = dl_timer_subscribe (task, conn, PING_INTERVAL_MS, PING_INTERVAL_MS,
                                    on_conn_timer, conn);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  ev_io_init (&conn->reader, on_readable, fd, EV_READ);
  conn->reader.data = conn;
  ev_io_init (&conn->writer, on_writable, fd, EV_WRITE);
  conn->writer.data = conn;
  dl_metric_add (&metric_open, 1);
  dl_kernel_on_end (dl_task_kernel (task), conn, dl_conn_end, conn);
  talloc_set_destructor (conn, conn_destroy);
  return conn;
}

/* -------- sending -------- */

int
dl_conn_flush (DlConn *conn)
{
  while (conn->out->length > 0)
    {
      DlStr view = dl_buffer_view (conn->out);
      ssize_t n = send (conn->fd, view.data, view.length, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        {
          ev_io_start (conn->loop, &conn->writer);
          return 0;
        }
      if (n < 0)
        return -errno;
      dl_metric_add (&metric_sent, n);
      conn->last_write_ms = dl_clock_ms ();
      dl_buffer_consume (conn->out, (size_t)n);
    }
  ev_io_stop (conn->loop, &conn->writer);
  return 0;
}

static void
conn_notify_writable (DlConn *conn)
{
  if (!conn->above_low_water || conn->out->length > conn->low_water)
    return;
  conn->above_low_water = false;
  if (conn->handler.on_writable != NULL)
    conn->handler.on_writable (conn, conn->data);
}

/* Ends both directions of the socket, so that its reader comes to the end of what has
 * arrived and closes the connection. */
static void
on_write_failed (DlConn *conn, int error)
{
  conn->write_error = error;
  dl_buffer_clear (conn->out);
  ev_io_stop (conn->loop, &conn->writer);
  shutdown (conn->fd, SHUT_RDWR);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  DlConn *conn = watcher->data;
  int error;

  if (conn->state == CONN_CONNECTING)
    {
      socklen_t length = sizeof error;

      getsockopt (conn->fd, SOL_SOCKET, SO_ERROR, &error, &length);
      if (error != 0)
        {
          dl_conn_fail (conn, -error);
          return;
        }
      conn->state = CONN_AWAIT_CHALLENGE;
      ev_io_stop (loop, &conn->writer);
      ev_io_start (loop, &conn->reader);
      return;
    }
  error = dl_conn_flush (conn);
  if (conn->state == CONN_ENDING)
    dl_conn_end_output (conn);
  else if (error < 0)
    on_write_failed (conn, error);
  else
    conn_notify_writable (conn);
}

/* Returns how many bytes of envelope and payload the body digest covers. */
static size_t
authenticated_bytes (const DlEnvelope *envelope,
                     size_t envelope_bytes,
                     size_t payload_bytes)
{
  if (envelope->body_case == DAISYLOFT__WIRE__ENVELOPE__BODY_CHUNK_DATA)
    return envelope_bytes;
  return envelope_bytes + payload_bytes;
}

static void
queue_frame (DlConn *conn, const DlEnvelope *envelope, DlStr packed, DlStr payload)
{
  static const uint8_t no_header[HEADER_BYTES];
  size_t at = conn->out->length;
  uint8_t *frame;

  dl_buffer_append (conn->out, no_header, sizeof no_header);
  dl_buffer_append (conn->out, packed.data, packed.length);
  dl_buffer_append (conn->out, payload.data, payload.length);
  frame = conn->out->data + conn->out->start + at;
  dl_frame_auth_write_header (&conn->out_auth, (uint32_t)packed.length,
                              (uint32_t)payload.length,
                              dl_str_bytes (frame + HEADER_BYTES,
                                            authenticated_bytes (envelope, packed.length,
                                                                 payload.length)),
                              frame);
}

int
dl_conn_send (DlConn *conn, const DlEnvelope *envelope, DlStr payload)
{
  size_t size = protobuf_c_message_get_packed_size (&envelope->base);
  uint8_t small[512];
  uint8_t *packed = size <= sizeof small ? small : g_malloc (size);
  int error;

  if (conn->state >= CONN_ENDING || conn->state == CONN_CONNECTING
      || conn->write_error != 0)
    error = DL_ERR_CLOSED;
  else if (size > DL_FRAME_ENVELOPE_MAX_BYTES
           || payload.length > DL_FRAME_PAYLOAD_MAX_BYTES
           || conn->out->length + HEADER_BYTES + size + payload.length > QUEUE_MAX_BYTES)
    {
      conn->incomplete = true;
      error = DL_ERR_TOO_LARGE;
    }
  else
    {
      protobuf_c_message_pack (&envelope->base, packed);
      queue_frame (conn, envelope, dl_str_bytes (packed, size), payload);
      if (conn->out->length > conn->low_water)
        conn->above_low_water = true;
      /* The loop writes it in its next iteration, so that small frames are sent together
       * and a failing write does not invoke the sender's callbacks. */
      ev_io_start (conn->loop, &conn->writer);
      error = 0;
    }
  if (packed != small)
    g_free (packed);
  return error;
}

/* -------- handshake -------- */

/* Passes an accepted connection to the listener's owner; frees it if the owner does not
 * take it over. */
static void
conn_hand_over (DlConn *conn)
{
  DlListener *listener = conn->listener;

  dl_log (DL_EVENT_CONNECTION_OPEN, DL_TEXT ("peer", conn->peer.name));
  listener->on_accept (conn, listener->data);
  if (conn->freed != NULL && *conn->freed)
    return;
  if (conn->state != CONN_CLOSED && conn->handler.on_closed == NULL && !conn->detached)
    talloc_free (conn);
}

static int
handle_welcome (DlConn *conn, const DlEnvelope *envelope)
{
  if (envelope->body_case != DAISYLOFT__WIRE__ENVELOPE__BODY_WELCOME)
    return DL_ERR_MALFORMED;
  conn->peer.name = talloc_strdup (conn, envelope->welcome->name);
  conn->peer.incarnation = envelope->welcome->incarnation;
  conn->peer.purpose = conn->purpose;
  conn->state = CONN_OPEN;
  dl_log (DL_EVENT_CONNECTION_OPEN, DL_TEXT ("peer", conn->peer.name));
  if (conn->handler.on_open != NULL)
    conn->handler.on_open (conn, conn->data);
  return 0;
}

/* -------- receiving -------- */

/* Handles one frame.  May free CONN, in which case *conn->freed is set. */
static int
conn_handle_frame (DlConn *conn, const DlEnvelope *envelope, DlStr payload)
{
  int error;

  switch (conn->state)
    {
    case CONN_AWAIT_CHALLENGE:
      return dl_conn_handle_challenge (conn, envelope);
    case CONN_AWAIT_WELCOME:
      return handle_welcome (conn, envelope);
    case CONN_AWAIT_HELLO:
      error = dl_conn_handle_hello (conn, envelope);
      if (error == 0)
        conn_hand_over (conn);
      return error;
    case CONN_OPEN:
      if (envelope->body_case == DAISYLOFT__WIRE__ENVELOPE__BODY_CLOSING)
        return DL_ERR_ENDED;
      if (envelope->body_case != DAISYLOFT__WIRE__ENVELOPE__BODY_PING
          && conn->handler.on_frame != NULL)
        conn->handler.on_frame (conn, envelope, payload, conn->data);
      return 0;
    case CONN_CONNECTING:
    case CONN_ENDING:
    case CONN_CLOSED:
      return 0;
    }
  return DL_ERR_MALFORMED;
}

static int
log_malformed_frame (const DlConn *conn)
{
  dl_log (DL_EVENT_FRAME_MALFORMED, DL_TEXT ("peer", conn->peer.name));
  return DL_ERR_MALFORMED;
}

/* Unpacks FRAME and verifies its body; returns NULL when it is malformed. */
static DlEnvelope *
unpack_frame (DlConn *conn,
              const uint8_t *frame,
              uint32_t envelope_bytes,
              uint32_t payload_bytes)
{
  const uint8_t *body = frame + HEADER_BYTES;
  DlEnvelope *envelope = daisyloft__wire__envelope__unpack (NULL, envelope_bytes, body);

  if (envelope == NULL)
    return NULL;
  if (envelope->body_case != DAISYLOFT__WIRE__ENVELOPE__BODY__NOT_SET
      && dl_frame_auth_check_body (
             &conn->in_auth, frame,
             dl_str_bytes (body,
                           authenticated_bytes (envelope, envelope_bytes, payload_bytes)))
             == 0)
    return envelope;
  daisyloft__wire__envelope__free_unpacked (envelope, NULL);
  return NULL;
}

/* Handles the next frame if it has arrived in full.  Returns its length, 0 when it is
 * incomplete, or a negative error that ends the connection. */
static ssize_t
conn_parse_frame (DlConn *conn, bool *freed)
{
  DlStr view = dl_buffer_view (conn->in);
  const uint8_t *frame = (const uint8_t *)view.data;
  uint32_t envelope_bytes;
  uint32_t payload_bytes;
  DlEnvelope *envelope;
  int error;

  if (dl_frame_auth_check_header (&conn->in_auth, frame, &envelope_bytes, &payload_bytes)
      < 0)
    return log_malformed_frame (conn);
  if (envelope_bytes > DL_FRAME_ENVELOPE_MAX_BYTES
      || payload_bytes > DL_FRAME_PAYLOAD_MAX_BYTES)
    return DL_ERR_TOO_LARGE;
  if (view.length - HEADER_BYTES < (size_t)envelope_bytes + payload_bytes)
    return 0;
  envelope = unpack_frame (conn, frame, envelope_bytes, payload_bytes);
  if (envelope == NULL)
    return log_malformed_frame (conn);
  error = conn_handle_frame (conn, envelope,
                             dl_str_bytes (frame + HEADER_BYTES + envelope_bytes,
                                           payload_bytes));
  daisyloft__wire__envelope__free_unpacked (envelope, NULL);
  if (*freed || error == 0)
    return HEADER_BYTES + (ssize_t)envelope_bytes + (ssize_t)payload_bytes;
  return error;
}

/* Handles the complete frames in the buffer.  Returns 0, or a negative error that ends
 * the connection. */
static int
conn_parse (DlConn *conn, bool *freed)
{
  while (!conn->paused && conn->state != CONN_CLOSED && conn->in->length >= HEADER_BYTES)
    {
      ssize_t length = conn_parse_frame (conn, freed);

      if (*freed || length == 0)
        return 0;
      if (length < 0)
        return (int)length;
      if (conn->state != CONN_CLOSED)
        dl_buffer_consume (conn->in, (size_t)length);
    }
  return 0;
}

int
dl_conn_read (DlConn *conn)
{
  static uint8_t chunk[READ_CHUNK_BYTES];
  ssize_t n = recv (conn->fd, chunk, sizeof chunk, 0);

  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return 0;
  if (n < 0)
    return -errno;
  if (n == 0)
    return DL_ERR_CLOSED;
  dl_metric_add (&metric_received, n);
  conn->last_read_ms = dl_clock_ms ();
  dl_buffer_append (conn->in, chunk, (size_t)n);
  return (int)MIN (n, G_MAXINT);
}

/* Parses, and detects whether a callback frees the connection meanwhile. */
void
dl_conn_parse (DlConn *conn)
{
  bool freed = false;
  bool *outer = conn->freed;
  int error;

  conn->freed = &freed;
  error = conn_parse (conn, &freed);
  if (freed)
    {
      if (outer != NULL)
        *outer = true;
      return;
    }
  conn->freed = outer;
  if (error < 0)
    dl_conn_fail (conn, error);
}

bool
dl_conn_handle_arrived (DlConn *conn)
{
  bool freed = false;
  unsigned reads = 0;
  int n;

  g_assert (conn->freed == NULL);
  do
    {
      n = dl_conn_read (conn);
      if (n < 0)
        {
          dl_conn_fail (conn, n);
          return false;
        }
      conn->freed = &freed;
      dl_conn_parse (conn);
      if (freed)
        return false;
      conn->freed = NULL;
    }
  while (n > 0 && ++reads < ARRIVED_READS_MAX && conn->state != CONN_CLOSED);
  return conn->state != CONN_CLOSED;
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  DlConn *conn = watcher->data;
  int n;

  if (conn->state == CONN_ENDING)
    {
      dl_conn_drop_arrived (conn);
      return;
    }
  n = dl_conn_read (conn);
  if (n < 0)
    dl_conn_fail (conn, n);
  else
    dl_conn_parse (conn);
}

void
dl_conn_pause (DlConn *conn, bool paused)
{
  if (conn->state == CONN_CLOSED || conn->paused == paused)
    return;
  conn->paused = paused;
  conn->last_read_ms = dl_clock_ms ();
  if (paused)
    {
      ev_io_stop (conn->loop, &conn->reader);
      return;
    }
  ev_io_start (conn->loop, &conn->reader);
  /* The buffer may hold frames already: parse them in the loop's next iteration. */
  if (conn->in->length > 0 && conn->freed == NULL)
    ev_feed_event (conn->loop, &conn->reader, EV_READ);
}

/* -------- connecting -------- */

static void
on_connect_failed (DlTimer *timer, void *data)
{
  dl_conn_fail (data, DL_ERR_UNAVAILABLE);
}

DlConn *
dl_conn_connect (DlTask *task,
                 const void *owner,
                 DlStr address,
                 const DlIdentity *identity,
                 Daisyloft__Wire__Purpose purpose,
                 const DlConnHandler *handler,
                 void *data)
{
  struct sockaddr_in to;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  DlConn *conn = dl_conn_new (task, owner, fd, identity);

  conn->purpose = purpose;
  conn->handler = *handler;
  conn->data = data;
  conn->state = CONN_CONNECTING;
  if (fd < 0 || dl_address_parse (address, &to) < 0
      || (connect (fd, (struct sockaddr *)&to, sizeof to) < 0 && errno != EINPROGRESS))
    {
      /* Reported by a timer, so that no callback runs before this returns. */
      dl_timer_subscribe (task, conn, 0, 0, on_connect_failed, conn);
      return conn;
    }
  ev_io_start (conn->loop, &conn->writer);
  return conn;
}

void
dl_conn_detach (DlConn *conn)
{
  conn->detached = true;
  dl_conn_pause (conn, true);
}

void
dl_conn_set_handler (DlConn *conn, const DlConnHandler *handler, void *data)
{
  conn->handler = *handler;
  conn->data = data;
  if (conn->detached)
    dl_conn_pause (conn, false);
  conn->detached = false;
}

void
dl_conn_set_owner (DlConn *conn, const void *owner)
{
  talloc_steal (owner, conn);
}

const DlPeer *
dl_conn_peer (const DlConn *conn)
{
  return &conn->peer;
}

bool
dl_conn_is_open (const DlConn *conn)
{
  return conn->state == CONN_OPEN;
}

uint64_t
dl_conn_idle_ms (const DlConn *conn)
{
  return dl_clock_ms () - conn->last_read_ms;
}

size_t
dl_conn_queued (const DlConn *conn)
{
  return conn->out->length;
}

void
dl_conn_set_low_water (DlConn *conn, size_t bytes)
{
  conn->low_water = bytes;
}
