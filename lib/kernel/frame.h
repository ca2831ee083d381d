/*
 * Framed connections between daisyloft's own processes.
 *
 * A frame on the wire is a header (see seal.h), the envelope (protobuf-c, see wire.proto)
 * and the payload as raw bytes.  Header, envelope and payload are checked against keyed
 * digests, but for the payload of a chunk, which has a digest of its own in the manifest.
 *
 * The accepting side opens with a Challenge; the dialling side proves that it knows the
 * fleet's key by a MAC over the nonce, its name and its purpose; a Welcome, sealed like
 * all that follows under a key derived from these, ends the handshake and proves the same
 * of the accepting side.  A side that has nothing to send sends a Ping every second, and
 * a connection on which nothing arrived for its idle limit is closed with -ETIMEDOUT, so
 * that a frozen peer or a cut link shows itself.
 */
#ifndef DL_FRAME_H
#define DL_FRAME_H

#include "kernel/kernel.h"
#include "kernel/str.h"
#include "kernel/wire.pb-c.h"

#define DL_FRAME_ENVELOPE_MAX_BYTES (1u << 20)
#define DL_FRAME_PAYLOAD_MAX_BYTES  (8u << 20)
#define DL_FRAME_PROTOCOL           2
#define DL_FRAME_IDLE_MS            4000
/* Response bytes that a slot may send on a request's stream before any ResponseCredit. */
#define DL_STREAM_WINDOW_BYTES (64u << 10)

typedef Daisyloft__Wire__Envelope DlEnvelope;

typedef struct DlConn DlConn;
typedef struct DlListener DlListener;

/* Who a process is to its peers.  The texts belong to the process's settings. */
typedef struct
{
  const char *name;
  Daisyloft__Wire__Role role;
  const char *region;
  const char *data_center;
  const char *address; /* advertised */
  const char *key;     /* the fleet's shared key */
  uint64_t incarnation;
} DlIdentity;

/* Who the other side is; known once the connection is open. */
typedef struct
{
  char *name;
  Daisyloft__Wire__Role role; /* of the dialling side */
  Daisyloft__Wire__Purpose purpose;
  char *region;
  char *data_center;
  char *address;
  uint64_t incarnation;
} DlPeer;

/* What a connection's owner is told.  Any of them may be NULL but on_closed. */
typedef struct
{
  /* The handshake ended well. */
  void (*on_open) (DlConn *conn, void *data);
  /* A frame arrived; both views end with the call. */
  void (*on_frame) (DlConn *conn, const DlEnvelope *envelope, DlStr payload, void *data);
  /* Bytes queued for sending fell below the mark of dl_conn_set_low_water. */
  void (*on_writable) (DlConn *conn, void *data);
  /* The connection is gone; the owner frees it, if it wants to, by talloc_free, now or
   * later.  Also told of a dial that failed. */
  void (*on_closed) (DlConn *conn, int error, void *data);
} DlConnHandler;

/* An accepted connection whose handshake ended well.  The owner takes it over by setting
 * a handler with dl_conn_set_handler, or detaches it for another task to take over; left
 * with neither, it is closed. */
typedef void (*DlAcceptFunc) (DlConn *conn, void *data);

/* Listens on ADDRESS ("IP:PORT").  Returns 0 or a negative error. */
int dl_listener_new (DlTask *task,
                     const void *owner,
                     DlStr address,
                     const DlIdentity *identity,
                     unsigned max_connections,
                     DlAcceptFunc on_accept,
                     void *data,
                     DlListener **listener);
/* Stops accepting; open connections go on. */
void dl_listener_close (DlListener *listener);

/* Dials ADDRESS.  Never fails at once: errors come through on_closed. */
DlConn *dl_conn_dial (DlTask *task,
                      const void *owner,
                      DlStr address,
                      const DlIdentity *identity,
                      Daisyloft__Wire__Purpose purpose,
                      const DlConnHandler *handler,
                      void *data);
/* Leaves the connection unread until somebody sets a handler. */
void dl_conn_detach (DlConn *conn);
void dl_conn_set_handler (DlConn *conn, const DlConnHandler *handler, void *data);
/* Moves the connection below another talloc owner. */
void dl_conn_set_owner (DlConn *conn, const void *owner);
const DlPeer *dl_conn_peer (const DlConn *conn);
bool dl_conn_is_open (const DlConn *conn);
/* Queues a frame.  Returns 0, DL_ERR_CLOSED or DL_ERR_TOO_LARGE. */
int dl_conn_send (DlConn *conn, const DlEnvelope *envelope, DlStr payload);
/* Milliseconds since anything arrived; an open peer sends at least every second. */
uint64_t dl_conn_idle_ms (const DlConn *conn);
/* Bytes queued and not yet taken by the system. */
size_t dl_conn_queued (const DlConn *conn);
void dl_conn_set_low_water (DlConn *conn, size_t bytes);
/* Stops or resumes reading, for back-pressure. */
void dl_conn_pause (DlConn *conn, bool paused);
/* Closes; on_closed is not called.  The caller still frees it. */
void dl_conn_close (DlConn *conn);

/* An envelope on the stack: DL_ENVELOPE (PING, ping, &ping). */
#define DL_ENVELOPE(CASE, field, message)                                       \
  ((DlEnvelope){                                                                \
      .base = PROTOBUF_C_MESSAGE_INIT (&daisyloft__wire__envelope__descriptor), \
      .body_case = DAISYLOFT__WIRE__ENVELOPE__BODY_##CASE,                      \
      .field = (message),                                                       \
  })
/* A protobuf-c bytes field over a view. */
#define DL_BYTES(str) \
  ((ProtobufCBinaryData){ .len = (str).length, .data = (uint8_t *)(str).data })
#define DL_BYTES_STR(bytes) (dl_str_bytes ((bytes).data, (bytes).len))

#endif
