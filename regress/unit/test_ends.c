/*
 * Tests the end of a graceful shutdown at each of its steps: the process stands still
 * before one of them, and callers send a request each on their kept connections
 * meanwhile.  Each must be answered in full, or not be run and told so at once.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "kernel/http_server.h"
#include "kernel/kernel.h"
#include "kernel/log.h"
#include "../slices/slices.h"
#include "loopback.h"
#include "unit.h"

#define CALLERS  3
#define SLICE_MS 300
#define SLACK_MS \
  200 /* a connection that ends later than this after its request loses it */
#define WARM_MS         5 /* interval of the check whether all callers are connected */
#define DRAIN_MS        3000
#define WAIT_S          3
#define US_PER_MS       1000
#define TASK_FREE_STEPS 2

typedef struct
{
  unsigned number;
  struct sockaddr_in at;
  GThread *thread;
  bool lost;
} Caller;

typedef struct
{
  bool running; /* otherwise other tests run */
  uint64_t slice_at;
  DlTask *task;
  DlHttpServer *server;
  Caller callers[CALLERS];
  gint warm;             /* callers that have had a response */
  gint sliced;           /* the process stands still, or has ended */
  gint handled[CALLERS]; /* requests sent in the slice that reached the handler */
} Ends;

static Ends ends;

/* -------- callers -------- */

static int
caller_connect (const Caller *c)
{
  struct timeval wait = { .tv_sec = WAIT_S };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  CU_ASSERT_EQUAL (connect (fd, (const struct sockaddr *)&c->at, sizeof c->at), 0);
  return fd;
}

static bool
caller_send (const Caller *c, int fd, const char *path)
{
  char *text
      = g_strdup_printf ("GET /%s/%u HTTP/1.1\r\nHost: a\r\n\r\n", path, c->number);
  bool sent = send (fd, text, strlen (text), MSG_NOSIGNAL) == (ssize_t)strlen (text);

  g_free (text);
  return sent;
}

/* Returns the status of a response that arrived in full; 0 when the connection ended
 * before. */
static int
caller_receive (int fd)
{
  char bytes[1024] = "";
  size_t length = 0;
  int status = 0;
  int body = 0;
  ssize_t n;

  while ((n = recv (fd, bytes + length, sizeof bytes - 1 - length, 0)) > 0)
    {
      const char *end;
      const char *field;

      length += (size_t)n;
      bytes[length] = '\0';
      end = strstr (bytes, "\r\n\r\n");
      field = strcasestr (bytes, "Content-Length:");
      if (end != NULL && field != NULL && sscanf (bytes, "HTTP/1.1 %d", &status) == 1
          && sscanf (field + strlen ("Content-Length:"), "%d", &body) == 1
          && strlen (end + 4) >= (size_t)body)
        return status;
    }
  return 0;
}

/* Judges a request by what its caller saw. */
static bool
is_lost (const Caller *c, int status, gint64 took_us)
{
  bool ran = g_atomic_int_get (&ends.handled[c->number]) > 0;

  switch (status)
    {
    case 200:
      return !ran;
    case 0:
      return ran || took_us > SLACK_MS * US_PER_MS;
    default:
      return ran;
    }
}

static gpointer
caller_run (gpointer data)
{
  Caller *c = data;
  int fd = caller_connect (c);
  gint64 sent_us;

  CU_ASSERT_TRUE (caller_send (c, fd, "warm") && caller_receive (fd) == 200);
  g_atomic_int_inc (&ends.warm);
  while (g_atomic_int_get (&ends.sliced) == 0)
    g_usleep (US_PER_MS);
  if (caller_send (c, fd, "late"))
    {
      int status;

      sent_us = g_get_monotonic_time ();
      status = caller_receive (fd);
      c->lost = is_lost (c, status, g_get_monotonic_time () - sent_us);
    }
  close (fd);
  return NULL;
}

/* -------- the process -------- */

static void
on_slice (void)
{
  g_atomic_int_set (&ends.sliced, 1);
}

static void
on_request (DlHttpRequest *request, void *data)
{
  const char *path = dl_http_request_path (request);
  unsigned number;

  if (sscanf (path, "/late/%u", &number) == 1 && number < CALLERS)
    g_atomic_int_inc (&ends.handled[number]);
  dl_http_reply (request, 200, NULL, DL_STR_LITERAL ("done"), NULL);
}

static void
on_warm_check (DlTimer *timer, void *data)
{
  if (g_atomic_int_get (&ends.warm) < CALLERS || dl_kernel_stopping (data))
    return;
  talloc_free (timer);
  slices_begin (ends.slice_at, SLICE_MS, on_slice);
  dl_kernel_stop (data);
}

static int
ends_start (DlTask *task)
{
  struct sockaddr_in at;
  DlHttpLimits limits = DL_HTTP_LIMITS_DEFAULT;

  dl_task_set_state (task, talloc_new (NULL));
  if (!ends.running)
    return 0;
  ends.task = task;
  ends.server = loopback_server_new (task, &limits, on_request, &at);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      ends.callers[i] = (Caller){ .number = i, .at = at };
      ends.callers[i].thread = g_thread_new ("caller", caller_run, &ends.callers[i]);
    }
  dl_timer_subscribe (task, dl_task_state (task), WARM_MS, WARM_MS, on_warm_check,
                      dl_task_kernel (task));
  return 0;
}

static void
ends_drain (DlTask *task)
{
  if (ends.running)
    dl_http_server_disable_keepalive (ends.server);
  dl_task_drained (task);
}

static bool
ends_is_idle (DlTask *task)
{
  return !ends.running || dl_http_server_is_idle (ends.server);
}

static DlPlugin ends_plugin = {
  .name = "ends",
  .order = 3,
  .start = ends_start,
  .drain = ends_drain,
  .is_idle = ends_is_idle,
};
DL_PLUGIN_REGISTER (ends_plugin)

/* -------- a task that started later, and is freed before -------- */

static int
table_destroy (void *state)
{
  for (int i = 0; i < TASK_FREE_STEPS; i++)
    slices_step ();
  return 0;
}

static int
table_start (DlTask *task)
{
  char *state = talloc_strdup (NULL, "a large table");

  talloc_set_destructor (state, (int (*) (char *))table_destroy);
  dl_task_set_state (task, state);
  return 0;
}

static DlPlugin table_plugin = { .name = "table", .order = 4, .start = table_start };
DL_PLUGIN_REGISTER (table_plugin)

/* -------- the tests -------- */

/* Runs a process that stands still before step AT of its end; returns the number of
 * steps, and adds to *LOST the requests that were lost. */
static uint64_t
play_end (uint64_t at, unsigned *lost)
{
  DlKernel *kernel;
  uint64_t steps;

  ends = (Ends){ .running = true, .slice_at = at };
  dl_log_open ("unit", "unit", true);
  kernel = dl_kernel_new ("unit", "unit", NULL);
  dl_kernel_set_drain_ms (kernel, DRAIN_MS);
  CU_ASSERT_EQUAL (dl_kernel_run (kernel), 0);
  talloc_free (kernel);
  steps = slices_end ();
  on_slice ();
  for (unsigned i = 0; i < CALLERS; i++)
    {
      g_thread_join (ends.callers[i].thread);
      if (ends.callers[i].lost)
        printf ("\n  step %" PRIu64 " of %" PRIu64 ": request %u lost, handled %d ", at,
                steps, i, ends.handled[i]);
      *lost += ends.callers[i].lost;
    }
  ends = (Ends){ .running = false };
  return steps;
}

static void
test_process_that_stands_still_at_any_step_of_its_end_loses_no_request (void)
{
  unsigned lost = 0;
  uint64_t steps = play_end (0, &lost);

  for (uint64_t at = 1; at <= steps; at++)
    play_end (at, &lost);
  CU_ASSERT_EQUAL (lost, 0);
}

static const CU_TestInfo ends_tests[] = {
  { "a process that stands still at any step of its end loses no request",
    test_process_that_stands_still_at_any_step_of_its_end_loses_no_request },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE_ALONE ("ends", ends_tests)
