/*
 * Responses that the HTTP client takes, which calls of the store, the engines and the
 * other nodes share: a thread answers each call with one of them.
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
#define STATUS     "HTTP/1.1 200 OK\r\n"
#define TIMEOUT_MS 5000
#define PAUSE_US   20000 /* between the parts of a response */

#define TEXT(text)        \
  {                       \
    text, sizeof text - 1 \
  }
/* A response with the line, or the lines, of an otherwise sound head. */
#define LINE(text, status)                    \
  {                                           \
    { TEXT (text REST) }, status, status == 0 \
  }

static const struct
{
  DlStr parts[2]; /* of the response, sent one after the other; the second may be empty */
  unsigned status;
  bool malformed;
} cases[] = {
  LINE ("HTTP/1.1 200 OK", 200),
  LINE ("HTTP/1.1 200 ", 200),
  LINE ("HTTP/1.1 200", 200),
  LINE ("HTTP/1.0 200 OK", 200),
  LINE ("HTTP/1.1 599 Odd", 599),
  LINE ("HTTP/1.1 404 Not Found", 404),
  LINE ("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK", 200),
  LINE ("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 600 Odd", 0),
  LINE ("HTTP/1.1 000", 0),
  LINE ("HTTP/1.1 042 Odd", 0),
  LINE ("HTTP/1.1 099 Odd", 0),
  LINE ("HTTP/1.1 101 Switching Protocols", 0),
  LINE ("HTTP/1.1 600 Odd", 0),
  LINE ("HTTP/1.1 999 Odd", 0),
  LINE ("HTTP/1.1 1000 Odd", 0),
  LINE ("HTTP/1.1 20 Odd", 0),
  LINE ("HTTP/1.1 2x0 Odd", 0),
  LINE ("HTTP/1.1 -20 Odd", 0),
  LINE ("HTTP/1.1 0200 OK", 0),
  LINE ("HTTP/1.1 200OK", 0),
  LINE ("HTTP/1.1  200 OK", 0),
  LINE ("HTTP/1.1", 0),
  /* lines with a NUL, which no string of other tests holds */
  LINE (STATUS "X\0A: b", 0),
  LINE (STATUS "X-A: b\0c", 0),
  LINE (STATUS "Content-Length: 4\0", 0),
  /* bytes after the end of the body */
  { { TEXT (STATUS "Content-Length: 4\r\n\r\n"), TEXT ("done") }, 200, false },
  { { TEXT (STATUS "Content-Length: 2\r\n\r\ndone") }, 200, true },
  { { TEXT (STATUS "Content-Length: 2\r\n\r\n"), TEXT ("done") }, 200, true },
  { { TEXT (STATUS "Content-Length: 2\r\n\r\nd"), TEXT ("one") }, 200, true },
  { { TEXT (STATUS "Content-Length: 0\r\n\r\ndone") }, 200, true },
  { { TEXT (STATUS "Content-Length: 0\r\n\r\n") }, 200, false },
  { { TEXT ("HTTP/1.1 204 No Content\r\n\r\ndone") }, 204, true },
  { { TEXT ("HTTP/1.1 204 No Content\r\n\r\n") }, 204, false },
  { { TEXT (STATUS "Content-Length: 4\r\n\r\n"), TEXT ("done" STATUS) }, 200, false },
  /* chunks */
  { { TEXT (STATUS "Transfer-Encoding: chunked\r\n\r\n"),
      TEXT ("4\r\ndone\r\n0\r\nA: b\r\n\r\n") },
    200,
    false },
  { { TEXT (STATUS "Transfer-Encoding: chunked\r\n\r\n4\r\ndo"),
      TEXT ("ne\r\n0\r\n\r\nelse") },
    200,
    true },
  { { TEXT (STATUS "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"),
      TEXT ("0x\r\n\r\n") },
    200,
    true },
  { { TEXT (STATUS "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"), TEXT ("0\r\n\n") },
    200,
    true },
};

static struct
{
  bool running; /* this test, not another one with a kernel */
  DlTask *task;
  DlHttpClient *client;
  char *url;
  int listener;
  size_t ended; /* calls */
} responses;

static void call_next (void);

static void
send_part (int fd, DlStr part)
{
  if (part.length > 0)
    (void)send (fd, part.data, part.length, MSG_NOSIGNAL);
}

/* Answers as many connections as there are cases, in their order. */
static gpointer
answer_all (gpointer data)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char request[1024];
      int fd = accept (responses.listener, NULL, NULL);

      if (recv (fd, request, sizeof request, 0) > 0)
        send_part (fd, cases[i].parts[0]);
      if (cases[i].parts[1].length > 0)
        g_usleep (PAUSE_US);
      send_part (fd, cases[i].parts[1]);
      shutdown (fd, SHUT_WR);
      close (fd);
    }
  return NULL;
}

static void
on_done (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  size_t i = responses.ended++;
  bool is_right
      = cases[i].malformed == (result->error < 0) && result->status == cases[i].status;

  if (!is_right)
    g_print ("response %zu, \"%s\": error %d, status %u\n", i, cases[i].parts[0].data,
             result->error, result->status);
  CU_ASSERT_TRUE (is_right);
  call_next ();
}

static void
call_next (void)
{
  if (responses.ended == G_N_ELEMENTS (cases))
    dl_kernel_stop (dl_task_kernel (responses.task));
  else
    dl_http_call (responses.client, dl_task_state (responses.task),
                  &(DlHttpCallOptions){ .url = responses.url,
                                        .single_use = true,
                                        .timeout_ms = TIMEOUT_MS,
                                        .on_done = on_done });
}

static int
start (DlTask *task)
{
  dl_task_set_state (task, talloc_new (NULL));
  if (!responses.running)
    return 0;
  responses.task = task;
  responses.client = dl_http_client_new (task, dl_task_state (task));
  call_next ();
  return 0;
}

static DlPlugin plugin = { .name = "responses", .start = start };
DL_PLUGIN_REGISTER (plugin)

static void
test_malformed_response_ended_a_call_without_an_error (void)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t length = sizeof at;
  DlKernel *kernel;
  GThread *thread;

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  responses.listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert (bind (responses.listener, (const struct sockaddr *)&at, sizeof at) == 0
            && listen (responses.listener, 1) == 0
            && getsockname (responses.listener, (struct sockaddr *)&at, &length) == 0);
  responses.url = g_strdup_printf ("http://127.0.0.1:%u/", ntohs (at.sin_port));
  thread = g_thread_new ("answers", answer_all, NULL);
  dl_log_open ("unit", "unit", true);
  kernel = dl_kernel_new ("unit", "unit", NULL);
  responses.running = true;
  CU_ASSERT_EQUAL (dl_kernel_run (kernel), 0);
  responses.running = false;
  CU_ASSERT_EQUAL (responses.ended, G_N_ELEMENTS (cases));
  g_thread_join (thread);
  talloc_free (kernel);
  close (responses.listener);
  g_free (responses.url);
}

static const CU_TestInfo tests[] = {
  { "a malformed response ended a call without an error",
    test_malformed_response_ended_a_call_without_an_error },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("responses", tests)
