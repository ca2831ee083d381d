/*
 * First lines of responses that the HTTP client takes, which calls of the store, the
 * engines and the other nodes share: a thread answers each call with one of them.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "kernel/error.h"
#include "kernel/http_client.h"
#include "kernel/kernel.h"
#include "kernel/log.h"
#include "unit.h"

#define REST       "\r\nContent-Length: 4\r\n\r\ndone"
#define TIMEOUT_MS 5000

static const struct
{
  const char *line;
  unsigned status; /* 0: it is no answer */
} cases[] = {
  { "HTTP/1.1 200 OK", 200 },
  { "HTTP/1.1 200 ", 200 },
  { "HTTP/1.1 200", 200 },
  { "HTTP/1.0 200 OK", 200 },
  { "HTTP/1.1 599 Odd", 599 },
  { "HTTP/1.1 404 Not Found", 404 },
  { "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK", 200 },
  { "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 600 Odd", 0 },
  { "HTTP/1.1 000", 0 },
  { "HTTP/1.1 042 Odd", 0 },
  { "HTTP/1.1 099 Odd", 0 },
  { "HTTP/1.1 101 Switching Protocols", 0 },
  { "HTTP/1.1 600 Odd", 0 },
  { "HTTP/1.1 999 Odd", 0 },
  { "HTTP/1.1 1000 Odd", 0 },
  { "HTTP/1.1 20 Odd", 0 },
  { "HTTP/1.1 2x0 Odd", 0 },
  { "HTTP/1.1 -20 Odd", 0 },
  { "HTTP/1.1 0200 OK", 0 },
  { "HTTP/1.1 200OK", 0 },
  { "HTTP/1.1  200 OK", 0 },
  { "HTTP/1.1", 0 },
};

static struct
{
  bool running; /* this test, not another one with a kernel */
  DlTask *task;
  DlHttpClient *client;
  char *url;
  int listener;
  size_t ended; /* calls */
} lines;

static void call_next (void);

/* Answers as many connections as there are cases, in their order. */
static gpointer
answer_all (gpointer data)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *bytes = g_strconcat (cases[i].line, REST, NULL);
      char request[1024];
      int fd = accept (lines.listener, NULL, NULL);

      if (recv (fd, request, sizeof request, 0) > 0)
        (void)send (fd, bytes, strlen (bytes), MSG_NOSIGNAL);
      shutdown (fd, SHUT_WR);
      close (fd);
    }
  return NULL;
}

static void
on_done (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  size_t i = lines.ended++;
  bool is_right = cases[i].status != 0
                      ? result->error == 0 && result->status == cases[i].status
                      : result->error < 0 && result->status == 0;

  if (!is_right)
    g_print ("\"%s\": error %d, status %u\n", cases[i].line, result->error,
             result->status);
  CU_ASSERT_TRUE (is_right);
  call_next ();
}

static void
call_next (void)
{
  if (lines.ended == G_N_ELEMENTS (cases))
    dl_kernel_stop (dl_task_kernel (lines.task));
  else
    dl_http_call (lines.client, dl_task_state (lines.task),
                  &(DlHttpCallOptions){ .url = lines.url,
                                        .single_use = true,
                                        .timeout_ms = TIMEOUT_MS,
                                        .on_done = on_done });
}

static int
start (DlTask *task)
{
  dl_task_set_state (task, talloc_new (NULL));
  if (!lines.running)
    return 0;
  lines.task = task;
  lines.client = dl_http_client_new (task, dl_task_state (task));
  call_next ();
  return 0;
}

static DlPlugin plugin = { .name = "status-line", .start = start };
DL_PLUGIN_REGISTER (plugin)

static void
test_status_that_is_none_ended_a_call_without_an_error (void)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t length = sizeof at;
  DlKernel *kernel;
  GThread *thread;

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  lines.listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert (bind (lines.listener, (const struct sockaddr *)&at, sizeof at) == 0
            && listen (lines.listener, 1) == 0
            && getsockname (lines.listener, (struct sockaddr *)&at, &length) == 0);
  lines.url = g_strdup_printf ("http://127.0.0.1:%u/", ntohs (at.sin_port));
  thread = g_thread_new ("answers", answer_all, NULL);
  dl_log_open ("unit", "unit", true);
  kernel = dl_kernel_new ("unit", "unit", NULL);
  lines.running = true;
  CU_ASSERT_EQUAL (dl_kernel_run (kernel), 0);
  lines.running = false;
  CU_ASSERT_EQUAL (lines.ended, G_N_ELEMENTS (cases));
  g_thread_join (thread);
  talloc_free (kernel);
  close (lines.listener);
  g_free (lines.url);
}

static const CU_TestInfo tests[] = {
  { "a status that is none ended a call without an error",
    test_status_that_is_none_ended_a_call_without_an_error },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("status line", tests)
