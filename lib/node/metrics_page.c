#include "node/metrics_page.h"

#include <string.h>
#include <talloc.h>

#include "kernel/http_server.h"
#include "kernel/metrics.h"

/* Enough for operators, and for the watches of five kinds of objects of each entry, and
 * of three of each stager, of a region of DL_ENTRIES_PER_READER entries and twice as many
 * stagers. */
#define CONNECTIONS      512
#define HEADER_BYTES     (4u << 10)
#define IDLE_TIMEOUT_S   10
#define STATUS_OK        200
#define STATUS_NOT_FOUND 404

typedef struct
{
  DlTask *task;
  DlObjectRelay *relay;
} Page;

static void
on_request (DlHttpRequest *http, void *data)
{
  const Page *page = data;
  const char *path = dl_http_request_path (http);

  if (strcmp (path, "/metrics") == 0)
    {
      DlBuffer *text = dl_buffer_new (http, 0);

      dl_metrics_write (text);
      dl_http_reply (http, STATUS_OK, "text/plain; version=0.0.4", dl_buffer_view (text),
                     NULL);
    }
  else if (strcmp (path, "/dump") == 0)
    dl_http_reply_json (http, STATUS_OK, dl_kernel_dump (dl_task_kernel (page->task)));
  else if (page->relay == NULL || !dl_object_relay_handle (page->relay, http))
    dl_http_reply_error (http, STATUS_NOT_FOUND, 0, "no such page");
}

int
dl_metrics_page_new (DlTask *task,
                     const void *owner,
                     const char *address,
                     DlObjectRelay *relay)
{
  DlHttpLimits limits = DL_HTTP_LIMITS_DEFAULT;
  DlHttpServer *server;
  Page *page;

  if (address == NULL)
    return 0;
  page = talloc_zero (owner, Page);
  page->task = task;
  page->relay = relay;
  limits.max_body_bytes = DL_HTTP_NO_BODY_BYTES;
  limits.max_connections = CONNECTIONS;
  limits.max_header_bytes = HEADER_BYTES;
  limits.idle_timeout_s = IDLE_TIMEOUT_S;
  return dl_http_server_new (task, owner, dl_str (address), &limits, on_request, page,
                             &server);
}
