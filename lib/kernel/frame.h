/*
 * Framed TCP connections between daisyloft processes.
 *
 * A frame consists of a header (see frame_auth.h), an envelope (protobuf-c, see
 * wire.proto) and a payload of raw bytes.  Header, envelope and payload are authenticated
 * by keyed digests, except for the payload of a ChunkData message: the manifest holds a
 * digest of each chunk.
 *
 * In the handshake the accepting side sends a Challenge with a nonce.  The connecting
 * side replies with a Hello and proves that it knows the fleet key by a MAC over the
 * nonce, its name and its purpose.  The accepting side ends the handshake with a Welcome.
 * This and all later frames are authenticated with keys derived from the fleet key, the
 * nonce and the connecting side's name, so the Welcome proves that the accepting side
 * knows the fleet key too.
 *
 * A side that has sent nothing for a second sends a Ping.  A connection on which nothing
 * arrives for DL_FRAME_IDLE_MS is closed with -ETIMEDOUT, unless reading is paused; this
 * detects a frozen peer or a broken link.
 *
 * At the end of a process each open connection handles what has arrived, sends a Closing,
 * and drops what arrives after it, until all is written and the peer has closed its side,
 * or the peer has been silent for DL_FRAME_IDLE_MS.
 * The peer's on_closed gets DL_ERR_ENDED: what had no answer before was not handled.
 */
#ifndef DL_FRAME_H
#define DL_FRAME_H

#include "kernel/kernel.h"
#include "kernel/str.h"
#include "kernel/wire.pb-c.h"

#define DL_FRAME_ENVELOPE_MAX_BYTES (1u << 20)
#define DL_FRAME_PAYLOAD_MAX_BYTES  (8u << 20)
#define DL_FRAME_PROTOCOL           2 /* version, sent in the Challenge */
#define DL_FRAME_IDLE_MS            4000
/* Response bytes that a slot may send on a request's stream before the first
 * ResponseCredit. */
#define DL_STREAM_WINDOW_BYTES (64u << 10)

typedef Daisyloft__Wire__Envelope DlEnvelope;

typedef struct DlConn DlConn;
typedef struct DlListener DlListener;

/* How a process identifies itself to its peers.  The strings are borrowed and must
 * outlive every connection that uses them. */
typedef struct
{
  const char *name;
  Daisyloft__Wire__Role role;
  const char *region;
  const char *data_center;
  const char *address;  /* advertised */
  const char *key;      /* fleet key, shared by all processes */
  uint64_t incarnation; /* random, chosen at each start of the process */
} DlIdentity;

/* The other side of a connection; set once the connection is open.  On the connecting
 * side only NAME, PURPOSE and INCARNATION are set. */
typedef struct
{
  char *name;
  Daisyloft__Wire__Role role; /* set on the accepting side only */
  Daisyloft__Wire__Purpose purpose;
  char *region;
  char *data_center;
  char *address;
  uint64_t incarnation;
} DlPeer;

/* Callbacks of a connection.  All but on_closed may be NULL. */
typedef struct
{
  /* The handshake of an outgoing connection succeeded. */
  void (*on_open) (DlConn *conn, void *data);
  /* A frame arrived.  ENVELOPE and PAYLOAD are valid only during the call. */
  void (*on_frame) (DlConn *conn, const DlEnvelope *envelope, DlStr payload, void *data);
  /* The send queue drained to the mark set with dl_conn_set_low_water. */
  void (*on_writable) (DlConn *conn, void *data);
  /* The connection was closed by the peer or by an error, or could not be established.
   * The owner may free it with talloc_free, now or later. */
  void (*on_closed) (DlConn *conn, int error, void *data);
} DlConnHandler;

/* Called when the handshake of an accepted connection has succeeded.  The function takes
 * the connection over with dl_conn_set_handler, or calls dl_conn_detach so that another
 * task can do so later; otherwise the connection is closed and freed. */
typedef void (*DlAcceptFunc) (DlConn *conn, void *data);

/* Listens on ADDRESS ("IP:PORT").  *LISTENER is a talloc child of OWNER, and connections
 * beyond MAX_CONNECTIONS are closed at once.  IDENTITY is borrowed.  Returns 0 or a
 * negative error. */
int dl_listener_new (DlTask *task,
                     const void *owner,
                     DlStr address,
                     const DlIdentity *identity,
                     unsigned max_connections,
                     DlAcceptFunc on_accept,
                     void *data,
                     DlListener **listener);
/* Stops accepting; open connections stay open. */
void dl_listener_close (DlListener *listener);

/* Connects to ADDRESS ("IP:PORT").  The connection is a talloc child of OWNER; IDENTITY
 * is borrowed.  Errors are reported through on_closed, never before this function
 * returns. */
DlConn *dl_conn_connect (DlTask *task,
                         const void *owner,
                         DlStr address,
                         const DlIdentity *identity,
                         Daisyloft__Wire__Purpose purpose,
                         const DlConnHandler *handler,
                         void *data);
/* Stops reading until a handler is set. */
void dl_conn_detach (DlConn *conn);
/* Replaces the handler, which is copied, and resumes reading after dl_conn_detach. */
void dl_conn_set_handler (DlConn *conn, const DlConnHandler *handler, void *data);
/* Makes the connection a talloc child of OWNER. */
void dl_conn_set_owner (DlConn *conn, const void *owner);
/* The result lives as long as the connection. */
const DlPeer *dl_conn_peer (const DlConn *conn);
/* True from the end of the handshake until the connection is closed. */
bool dl_conn_is_open (const DlConn *conn);
/* Queues a frame; it is written in the next iteration of the loop.  Returns 0,
 * DL_ERR_CLOSED, or DL_ERR_TOO_LARGE when the frame or the send queue is too long. */
int dl_conn_send (DlConn *conn, const DlEnvelope *envelope, DlStr payload);
/* Milliseconds since anything arrived; a live peer sends at least every second. */
uint64_t dl_conn_idle_ms (const DlConn *conn);
/* Bytes in the send queue that the operating system has not accepted yet. */
size_t dl_conn_queued (const DlConn *conn);
/* on_writable is called when the send queue, once longer than BYTES, drains to BYTES. */
void dl_conn_set_low_water (DlConn *conn, size_t bytes);
/* Stops or resumes reading, to apply back-pressure to the peer. */
void dl_conn_pause (DlConn *conn, bool paused);
/* Closes the connection without calling on_closed or freeing it. */
void dl_conn_close (DlConn *conn);

/* Expands to an envelope that holds MESSAGE, as in DL_ENVELOPE (PING, ping, &ping). */
#define DL_ENVELOPE(CASE, field, message)                                       \
  ((DlEnvelope){                                                                \
      .base = PROTOBUF_C_MESSAGE_INIT (&daisyloft__wire__envelope__descriptor), \
      .body_case = DAISYLOFT__WIRE__ENVELOPE__BODY_##CASE,                      \
      .field = (message),                                                       \
  })
/* Convert a DlStr to a protobuf-c bytes field and back, without copying. */
#define DL_BYTES(str) \
  ((ProtobufCBinaryData){ .len = (str).length, .data = (uint8_t *)(str).data })
#define DL_BYTES_STR(bytes) (dl_str_bytes ((bytes).data, (bytes).len))

#endif
