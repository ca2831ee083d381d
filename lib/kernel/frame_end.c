/*
 * The end of framed connections at the end of the process.
 *
 * Each handles what has arrived, and sends a Closing.  From then on nothing that arrives
 * is handled, so that the peer knows which of its requests were.  The connection stays
 * until everything is written and the peer has closed its side: a socket that is closed
 * with unread bytes may take from the peer what it has not read yet.
 */
#include <sys/socket.h>

#include "kernel/error.h"
#include "kernel/frame_private.h"

#define DROP_READS      1  /* in a run of the loop; the rest in the next ones */
#define DROP_READS_LAST 32 /* before a close: 8 MiB, as no run comes after it */

static void
send_closing (DlConn *conn)
{
  Daisyloft__Wire__Closing closing = DAISYLOFT__WIRE__CLOSING__INIT;
  DlEnvelope envelope = DL_ENVELOPE (CLOSING, closing, &closing);

  if (!conn->incomplete)
    dl_conn_send (conn, &envelope, dl_str_bytes (NULL, 0));
}

void
dl_conn_end_output (DlConn *conn)
{
  if (conn->out->length == 0)
    shutdown (conn->fd, SHUT_WR);
}

/* Reads at most READS times; returns the last result of dl_conn_read. */
static int
drop_arrived (DlConn *conn, unsigned reads)
{
  int n;

  do
    {
      n = dl_conn_read (conn);
      dl_buffer_consume (conn->in, conn->in->length);
    }
  while (n > 0 && --reads > 0);
  return n;
}

void
dl_conn_drop_arrived (DlConn *conn)
{
  if (drop_arrived (conn, DROP_READS) < 0)
    dl_conn_close (conn);
}

static void
begin_end (DlConn *conn)
{
  send_closing (conn);
  conn->state = CONN_ENDING;
  if (dl_conn_flush (conn) < 0)
    dl_conn_close (conn);
  else
    dl_conn_end_output (conn);
}

/* What is in progress still ends as a cut connection: no Closing tells otherwise. */
static void
end_now (DlConn *conn)
{
  if (conn->state == CONN_OPEN && !conn->paused && !dl_conn_handle_arrived (conn))
    return;
  if (conn->state >= CONN_OPEN && dl_conn_flush (conn) == 0)
    dl_conn_end_output (conn);
  if (conn->state == CONN_ENDING)
    drop_arrived (conn, DROP_READS_LAST);
  dl_conn_close (conn);
}

bool
dl_conn_end (DlEndStep step, void *data)
{
  DlConn *conn = data;

  if (step == DL_END_KEPT)
    return true; /* callers' requests that still arrive may need it */
  if (conn->state == CONN_CLOSED)
    return true;
  if (step == DL_END_NOW)
    {
      end_now (conn);
      return true;
    }
  if (conn->state == CONN_ENDING)
    return false;
  if (conn->state != CONN_OPEN || conn->paused)
    {
      dl_conn_close (conn);
      return true;
    }
  if (!dl_conn_handle_arrived (conn))
    return true;
  begin_end (conn);
  return conn->state == CONN_CLOSED;
}
