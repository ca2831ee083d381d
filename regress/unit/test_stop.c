/*
 * Tests the end of a graceful shutdown: what callers send while the last task says that
 * it has nothing in progress.  Each test runs a kernel of its own.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "kernel/http_server.h"
#include "kernel/kernel.h"
#include "kernel/log.h"
#include "loopback.h"
#include "unit.h"

#define SETTLE_MS     50  /* until a connection was accepted */
#define SLOW_REPLY_MS 150 /* time that the server takes for "/slow" */
#define OTHER_TASK_MS 50  /* time that the other task takes to drain */
#define REST_MS       100 /* after which a caller sends the rest of its first line */
#define DUE_MS        20  /* of a timer that is due together with a request */
#define DRAIN_MS      3000

typedef enum
{
  CASE_NONE, /* other tests run */
  CASE_UNREAD,
  CASE_UNACCEPTED,
  CASE_HALF_LINE,
  CASE_OTHER_TASK,
  CASE_OUTLASTS,
  CASE_TIMER_DUE,
} StopCase;

typedef struct
{
  StopCase running;
  DlTask *task;
  DlHttpServer *server;
  struct sockaddr_in at;
  int caller;             /* its socket */
  DlHttpRequest *pending; /* to "/never"; NULL for none */
  bool handled;           /* a request was */
} Stop;

static Stop stop;

static void
send_text (const char *text)
{
  CU_ASSERT_EQUAL (write (stop.caller, text, strlen (text)), (ssize_t)strlen (text));
}

static void
connect_caller (void)
{
  stop.caller = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL (connect (stop.caller, (const struct sockaddr *)&stop.at,
                            sizeof stop.at),
                   0);
}

/* -------- the task that serves callers -------- */

static void
on_slow_reply (DlTimer *timer, void *data)
{
  dl_http_reply (data, 200, NULL, DL_STR_LITERAL ("late"), NULL);
}

static void
on_request (DlHttpRequest *request, void *data)
{
  stop.handled = true;
  if (strcmp (dl_http_request_path (request), "/slow") == 0)
    dl_timer_subscribe (stop.task, request, SLOW_REPLY_MS, 0, on_slow_reply, request);
  else if (strcmp (dl_http_request_path (request), "/never") == 0)
    stop.pending = request;
  else
    dl_http_reply (request, 200, NULL, DL_STR_LITERAL ("done"), NULL);
}

static void
on_due (DlTimer *timer, void *data)
{
  CU_ASSERT_TRUE (stop.handled);
  dl_kernel_stop (dl_task_kernel (stop.task));
}

static void
on_settled (DlTimer *timer, void *data)
{
  if (stop.running == CASE_TIMER_DUE)
    {
      send_text ("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
      dl_timer_subscribe (stop.task, dl_task_state (stop.task), DUE_MS, 0, on_due, NULL);
      g_usleep (2 * DUE_MS * 1000);
      return;
    }
  dl_kernel_stop (dl_task_kernel (stop.task));
}

static int
stop_start (DlTask *task)
{
  DlHttpLimits limits = DL_HTTP_LIMITS_DEFAULT;

  dl_task_set_state (task, talloc_new (NULL));
  if (stop.running == CASE_NONE)
    return 0;
  stop.task = task;
  stop.server = loopback_server_new (task, &limits, on_request, &stop.at);
  if (stop.running != CASE_UNACCEPTED)
    connect_caller ();
  dl_timer_subscribe (task, dl_task_state (task), SETTLE_MS, 0, on_settled, NULL);
  return 0;
}

static void
on_rest (DlTimer *timer, void *data)
{
  send_text (".1\r\nHost: a\r\n\r\n");
}

static void
stop_drain (DlTask *task)
{
  if (stop.running != CASE_NONE)
    dl_http_server_disable_keepalive (stop.server);
  switch (stop.running)
    {
    case CASE_NONE:
    case CASE_TIMER_DUE:
      break;
    case CASE_UNREAD:
      send_text ("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
      break;
    case CASE_UNACCEPTED:
      connect_caller ();
      send_text ("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
      dl_http_server_quiesce (stop.server);
      break;
    case CASE_HALF_LINE:
      send_text ("GET / HTTP/1");
      dl_timer_subscribe (task, dl_task_state (task), REST_MS, 0, on_rest, NULL);
      break;
    case CASE_OTHER_TASK:
      send_text ("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
      break;
    case CASE_OUTLASTS:
      send_text ("GET /never HTTP/1.1\r\nHost: a\r\n\r\n");
      break;
    }
  dl_task_drained (task);
}

static bool
stop_is_idle (DlTask *task)
{
  return stop.running == CASE_NONE || dl_http_server_is_idle (stop.server);
}

static void
stop_abandon (DlTask *task)
{
  if (stop.pending != NULL)
    dl_http_reply (stop.pending, 200, NULL, DL_STR_LITERAL ("abandoned"), NULL);
}

static DlPlugin stop_plugin = {
  .name = "stop",
  .order = 1,
  .start = stop_start,
  .drain = stop_drain,
  .abandon = stop_abandon,
  .is_idle = stop_is_idle,
};
DL_PLUGIN_REGISTER (stop_plugin)

/* -------- a task that drains later -------- */

static int
other_start (DlTask *task)
{
  dl_task_set_state (task, talloc_new (NULL));
  return 0;
}

static void
on_other_drained (DlTimer *timer, void *data)
{
  dl_task_drained (data);
}

static void
other_drain (DlTask *task)
{
  if (stop.running == CASE_OTHER_TASK)
    dl_timer_subscribe (task, dl_task_state (task), OTHER_TASK_MS, 0, on_other_drained,
                        task);
  else
    dl_task_drained (task);
}

static DlPlugin other_plugin = {
  .name = "other",
  .order = 2,
  .start = other_start,
  .drain = other_drain,
};
DL_PLUGIN_REGISTER (other_plugin)

/* -------- the tests -------- */

/* Runs a kernel from its start to the end of its shutdown; the caller's request must be
 * answered before the end. */
static void
check_answered (StopCase which, const char *body)
{
  struct timeval wait = { .tv_sec = 1 };
  char answer[512] = "";
  size_t length = 0;
  ssize_t n;
  DlKernel *kernel;

  stop = (Stop){ .running = which };
  dl_log_open ("unit", "unit", true);
  kernel = dl_kernel_new ("unit", "unit", NULL);
  dl_kernel_set_drain_ms (kernel, DRAIN_MS);
  CU_ASSERT_EQUAL (dl_kernel_run (kernel), 0);
  setsockopt (stop.caller, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  while ((n = read (stop.caller, answer + length, sizeof answer - 1 - length)) > 0)
    length += (size_t)n;
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "HTTP/1.1 200"));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, body));
  close (stop.caller);
  talloc_free (kernel);
  stop = (Stop){ .running = CASE_NONE };
}

static void
test_request_that_arrives_as_a_process_ends_is_answered (void)
{
  check_answered (CASE_UNREAD, "done");
}

static void
test_request_on_an_unaccepted_connection_is_answered (void)
{
  check_answered (CASE_UNACCEPTED, "done");
}

static void
test_request_whose_first_line_is_half_read_is_answered (void)
{
  check_answered (CASE_HALF_LINE, "done");
}

static void
test_request_read_while_another_task_drains_is_answered (void)
{
  check_answered (CASE_OTHER_TASK, "late");
}

static void
test_request_read_after_its_task_drained_is_abandoned_with_an_answer (void)
{
  check_answered (CASE_OUTLASTS, "abandoned");
}

static void
test_request_that_arrived_before_a_timer_was_due_is_handled_first (void)
{
  check_answered (CASE_TIMER_DUE, "done");
}

static const CU_TestInfo stop_tests[] = {
  { "a request that arrives as the process ends is answered",
    test_request_that_arrives_as_a_process_ends_is_answered },
  { "a request on a connection that nobody accepted is answered",
    test_request_on_an_unaccepted_connection_is_answered },
  { "a request whose first line is half read is answered",
    test_request_whose_first_line_is_half_read_is_answered },
  { "a request read while another task drains is answered",
    test_request_read_while_another_task_drains_is_answered },
  { "a request read after its task drained is abandoned with an answer",
    test_request_read_after_its_task_drained_is_abandoned_with_an_answer },
  { "a request that arrived before a timer was due is handled first",
    test_request_that_arrived_before_a_timer_was_due_is_handled_first },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("stop", stop_tests)
