/*
 * The listener task: accepts framed connections and passes each to the task for its
 * purpose.
 */
#include <glib.h>
#include <talloc.h>

#include "daisyslotd.h"

#define CONNECTIONS_MAX 4096

typedef struct
{
  DlListener *listener;
  DlTask *transfer;
  DlTask *requests;
} Listener;

static DlTask *
purpose_task (const Listener *l, Daisyloft__Wire__Purpose purpose)
{
  switch (purpose)
    {
    case DAISYLOFT__WIRE__PURPOSE__PURPOSE_PEER:
      return l->transfer;
    case DAISYLOFT__WIRE__PURPOSE__PURPOSE_REQUEST:
      return l->requests;
    default:
      return NULL;
    }
}

static void
on_accept (DlConn *conn, void *data)
{
  DlTask *task = purpose_task (data, dl_conn_peer (conn)->purpose);
  SlotMessage *message;

  if (task == NULL)
    return; /* the listener closes it */
  message = dl_message_new (SLOT_MSG_CONNECTION, sizeof *message);
  message->connection.connection = conn;
  dl_conn_detach (conn);
  dl_task_post (task, message);
}

static int
listener_start (DlTask *task)
{
  Listener *l = talloc_zero (NULL, Listener);

  g_assert (l != NULL);
  dl_task_set_state (task, l);
  l->transfer = dl_kernel_task (dl_task_kernel (task), "transfer");
  l->requests = dl_kernel_task (dl_task_kernel (task), "requests");
  return dl_listener_new (task, l, dl_str (slot_settings (task)->listen),
                          slot_identity (task), CONNECTIONS_MAX, on_accept, l,
                          &l->listener);
}

static DlPlugin listener_plugin = {
  .name = "listener",
  .order = 10,
  .start = listener_start,
};
DL_PLUGIN_REGISTER (listener_plugin)
