/*
 * Internal types of framed connections: frame.c sends and receives on them,
 * frame_listener.c accepts them.
 */
#ifndef DL_FRAME_PRIVATE_H
#define DL_FRAME_PRIVATE_H

#include <glib.h>

#include "kernel/crypt.h"
#include "kernel/frame.h"
#include "kernel/frame_auth.h"

/* How far a connection has come. */
typedef enum
{
  CONN_CONNECTING,
  CONN_AWAIT_CHALLENGE, /* connecting side */
  CONN_AWAIT_WELCOME,   /* connecting side */
  CONN_AWAIT_HELLO,     /* accepting side */
  CONN_OPEN,
  CONN_ENDING, /* a Closing was sent: output is written, input dropped */
  CONN_CLOSED,
} ConnState;

struct DlConn
{
  DlTask *task;
  struct ev_loop *loop;
  int fd;
  ConnState state;
  bool paused;
  bool detached;   /* not read until a handler is set */
  int write_error; /* nothing can be sent any more; what has arrived is still read */
  bool incomplete; /* a frame did not fit into the queue, so that no Closing is sent */
  bool *freed;     /* set to true when a callback frees the connection; or NULL */
  const DlIdentity *identity;
  Daisyloft__Wire__Purpose purpose;
  DlPeer peer;
  uint8_t nonce[DL_NONCE_BYTES];
  DlFrameAuth out_auth;
  DlFrameAuth in_auth;
  DlListener *listener; /* NULL on the connecting side, or when the listener was freed */
  DlConnHandler handler;
  void *data;
  DlBuffer *in;
  DlBuffer *out;
  size_t low_water;
  bool above_low_water;
  uint64_t last_read_ms;
  uint64_t last_write_ms;
  DlTimer *timer;
  ev_io reader;
  ev_io writer;
};

struct DlListener
{
  DlTask *task;
  struct ev_loop *loop;
  int fd;
  ev_io watcher;
  const DlIdentity *identity;
  unsigned max_connections;
  GHashTable *connections; /* set of DlConn: all accepted ones that are open */
  DlAcceptFunc on_accept;
  void *data;
};

/* Creates a connection on socket FD, a talloc child of OWNER, which is not read yet. */
DlConn *dl_conn_new (DlTask *task, const void *owner, int fd, const DlIdentity *identity);
/* Reads once.  Returns the number of bytes, 0 when nothing has arrived, or a negative
 * error. */
int dl_conn_read (DlConn *conn);
/* Handles the complete frames that were read.  May close or free the connection. */
void dl_conn_parse (DlConn *conn);
/* Reads and handles what has arrived.  Returns false if the connection was closed or
 * freed. */
bool dl_conn_handle_arrived (DlConn *conn);
/* Closes the connection and tells its owner. */
void dl_conn_fail (DlConn *conn, int error);
/* Writes what the socket takes now; returns 0 or a negative error. */
int dl_conn_flush (DlConn *conn);
/* Part of the end of the process; DATA is the connection. */
bool dl_conn_end (DlEndStep step, void *data);
/* Drops some of what has arrived on a connection that ends, and closes it once its peer
 * has. */
void dl_conn_drop_arrived (DlConn *conn);
/* Ends the output of a connection that ends, once all is written. */
void dl_conn_end_output (DlConn *conn);
/* Begins the handshake with a peer that has connected. */
void dl_conn_send_challenge (DlConn *conn);
/* Handle the peer's first frame, on the connecting and on the accepting side.  Return 0
 * or a negative error. */
int dl_conn_handle_challenge (DlConn *conn, const DlEnvelope *envelope);
int dl_conn_handle_hello (DlConn *conn, const DlEnvelope *envelope);

#endif
