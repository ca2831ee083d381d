/* The client: libcurl's sockets and timer on the event loop. */
#include <glib.h>
#include <talloc.h>

#include "kernel/http_client_private.h"

#define IDLE_CONNECTIONS_MAX    256
#define MILLISECONDS_PER_SECOND 1000.0

typedef struct
{
  DlHttpClient *client;
  ev_io watcher;
} SocketWatch;

/* -------- sockets and timer -------- */

static void
on_socket_event (struct ev_loop *loop, ev_io *watcher, int events)
{
  SocketWatch *watch = watcher->data;
  DlHttpClient *client = watch->client;
  int running;
  int mask = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0)
             | ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);

  curl_multi_socket_action (client->multi, watcher->fd, mask, &running);
  dl_http_client_check_done (client);
}

/* Notes which socket the call of EASY uses.  libcurl also closes other ones from it. */
static void
note_socket (CURL *easy, curl_socket_t fd, int what)
{
  DlHttpCall *call = NULL;

  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&call);
  if (call == NULL)
    return;
  if (what != CURL_POLL_REMOVE)
    call->check.fd = fd;
  else if (call->check.fd == fd)
    call->check.fd = DL_HTTP_NO_SOCKET;
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *socket_data)
{
  DlHttpClient *client = data;
  SocketWatch *watch = socket_data;
  int events = 0;

  note_socket (easy, fd, what);
  if (what == CURL_POLL_REMOVE)
    {
      if (watch != NULL)
        {
          ev_io_stop (client->loop, &watch->watcher);
          g_free (watch);
          curl_multi_assign (client->multi, fd, NULL);
        }
      return 0;
    }
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    events |= EV_READ;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    events |= EV_WRITE;
  if (watch == NULL)
    {
      watch = g_new0 (SocketWatch, 1);
      watch->client = client;
      curl_multi_assign (client->multi, fd, watch);
    }
  else
    ev_io_stop (client->loop, &watch->watcher);
  ev_io_init (&watch->watcher, on_socket_event, fd, events);
  watch->watcher.data = watch;
  ev_io_start (client->loop, &watch->watcher);
  return 0;
}

static void
on_curl_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  DlHttpClient *client = watcher->data;
  int running;

  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  dl_http_client_check_done (client);
}

static int
on_timer (CURLM *multi, long timeout_ms, void *data)
{
  DlHttpClient *client = data;

  ev_timer_stop (client->loop, &client->timeout);
  if (timeout_ms >= 0)
    {
      ev_timer_set (&client->timeout, (double)timeout_ms / MILLISECONDS_PER_SECOND, 0.0);
      ev_timer_start (client->loop, &client->timeout);
    }
  return 0;
}

void
dl_http_client_check_done (DlHttpClient *client)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (client->multi, &left)) != NULL)
    if (message->msg == CURLMSG_DONE)
      {
        DlHttpCall *call = NULL;

        curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
        dl_http_call_done (call, message->data.result);
      }
}

/* -------- client -------- */

static int
client_destroy (DlHttpClient *client)
{
  GList *calls = g_hash_table_get_keys (client->calls);

  for (GList *l = calls; l != NULL; l = l->next)
    dl_http_call_release (l->data);
  g_list_free (calls);
  g_hash_table_destroy (client->calls);
  curl_multi_cleanup (client->multi);
  ev_timer_stop (client->loop, &client->timeout);
  return 0;
}

DlHttpClient *
dl_http_client_new (DlTask *task, const void *owner)
{
  static bool initialised;
  DlHttpClient *client = talloc_zero (owner, DlHttpClient);

  g_assert (client != NULL);
  if (!initialised)
    curl_global_init (CURL_GLOBAL_DEFAULT);
  initialised = true;
  client->task = task;
  client->loop = dl_kernel_loop (dl_task_kernel (task));
  client->multi = curl_multi_init ();
  client->calls = g_hash_table_new (NULL, NULL);
  ev_timer_init (&client->timeout, on_curl_timeout, 0.0, 0.0);
  ev_set_priority (&client->timeout, DL_TIMER_PRIORITY);
  client->timeout.data = client;
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, (long)IDLE_CONNECTIONS_MAX);
  talloc_set_destructor (client, client_destroy);
  return client;
}

void
dl_http_client_distrust (DlHttpClient *client, uint64_t since_ms)
{
  client->distrusted_ms = MAX (client->distrusted_ms, since_ms);
}
