/*
 * Tests what callers send while a process stands still at a step at which a server leaves
 * them: the end of a stop's time, the close of its listening socket, its idle timeout.
 * Each whole request must be answered in full, or its connection refused or ended at
 * once.
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

#define SLICE_MS 300
/* A connection that ends later than this after its request loses it. */
#define SLACK_MS        200
#define SETTLE_MS       50
#define SHORT_DRAIN_MS  450
#define LONG_DRAIN_MS   3000
#define WAIT_S          3
#define IDLE_TIMEOUT_S  1
#define BEFORE_IDLE_MS  930
#define IDLE_OVER_MS    900 /* from then on to the end of a play */
#define IDLE_STEPS      60
#define US_PER_MS       1000
#define TASK_FREE_STEPS 2

typedef enum
{
  CROSS_NONE, /* other tests run */
  CROSS_BODY, /* the last part of a request, at the end of a stop's time */
  CROSS_NEW,  /* a new connection, at the close of the listening socket */
  CROSS_IDLE, /* a request on a kept connection, at its idle timeout */
} Cross;

typedef struct
{
  Cross cross;
  uint64_t slice_at;
  DlHttpServer *server;
  struct sockaddr_in at;
  GThread *caller;
  gint ready;
  gint sliced;
  gint over; /* the process has ended, without a slice */
  gint handled;
  bool lost;
  gint64 took_us;
} Crossed;

static Crossed crossed;

static const char whole[] = "GET /late HTTP/1.1\r\nHost: a\r\n\r\n";
static const char warm[] = "GET /warm HTTP/1.1\r\nHost: a\r\n\r\n";
static const char first_part[]
    = "POST /late HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab";
static const char last_part[] = "cd";

static int
connect_caller (void)
{
  struct timeval wait = { .tv_sec = WAIT_S };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  if (connect (fd, (const struct sockaddr *)&crossed.at, sizeof crossed.at) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
send_text (int fd, const char *text)
{
  return send (fd, text, strlen (text), MSG_NOSIGNAL) == (ssize_t)strlen (text);
}

/* Returns the status of a response whose head arrived in full; 0 for none. */
static int
receive_status (int fd)
{
  char bytes[1024] = "";
  size_t length = 0;
  int status = 0;
  ssize_t n;

  while ((n = recv (fd, bytes + length, sizeof bytes - 1 - length, 0)) > 0)
    {
      length += (size_t)n;
      bytes[length] = '\0';
      if (strstr (bytes, "\r\n\r\n") != NULL
          && sscanf (bytes, "HTTP/1.1 %d", &status) == 1)
        return status;
    }
  return 0;
}

static gpointer
caller_run (gpointer data)
{
  int fd = -1;
  int status;
  gint64 sent_us;

  if (crossed.cross != CROSS_NEW)
    {
      fd = connect_caller ();
      CU_ASSERT_TRUE (fd >= 0);
      CU_ASSERT_TRUE (send_text (fd, crossed.cross == CROSS_BODY ? first_part : warm));
      if (crossed.cross == CROSS_IDLE)
        CU_ASSERT_EQUAL (receive_status (fd), 200);
    }
  g_atomic_int_set (&crossed.ready, 1);
  while (g_atomic_int_get (&crossed.sliced) == 0 && g_atomic_int_get (&crossed.over) == 0)
    g_usleep (US_PER_MS);
  if (g_atomic_int_get (&crossed.sliced) != 0)
    {
      if (fd < 0)
        fd = connect_caller ();
      if (fd >= 0 && send_text (fd, crossed.cross == CROSS_BODY ? last_part : whole))
        {
          sent_us = g_get_monotonic_time ();
          status = receive_status (fd);
          crossed.took_us = g_get_monotonic_time () - sent_us;
          crossed.lost = status == 0 && crossed.took_us > SLACK_MS * US_PER_MS;
        }
    }
  if (fd >= 0)
    close (fd);
  return NULL;
}

static void
on_slice (void)
{
  g_atomic_int_set (&crossed.sliced, 1);
}

static void
on_request (DlHttpRequest *request, void *data)
{
  g_atomic_int_inc (&crossed.handled);
  dl_http_reply (request, 200, NULL, DL_STR_LITERAL ("done"), NULL);
}

static bool
on_end (DlEndStep step, void *data)
{
  if (step == DL_END_NOW && crossed.cross == CROSS_BODY)
    slices_begin (crossed.slice_at, SLICE_MS, on_slice);
  return true;
}

static void
on_idle_over (DlTimer *timer, void *data)
{
  slices_end ();
  dl_kernel_stop (data);
}

static void
on_idle_near (DlTimer *timer, void *data)
{
  slices_begin (crossed.slice_at, SLICE_MS, on_slice);
}

static void
on_ready_check (DlTimer *timer, void *data)
{
  DlKernel *kernel = data;
  DlTask *task = dl_kernel_task (kernel, "crossed");

  if (g_atomic_int_get (&crossed.ready) == 0)
    return;
  switch (crossed.cross)
    {
    case CROSS_IDLE:
      dl_timer_subscribe (task, dl_task_state (task), BEFORE_IDLE_MS, 0, on_idle_near,
                          kernel);
      dl_timer_subscribe (task, dl_task_state (task), BEFORE_IDLE_MS + IDLE_OVER_MS, 0,
                          on_idle_over, kernel);
      break;
    case CROSS_NEW:
      slices_begin (crossed.slice_at, SLICE_MS, on_slice);
      dl_kernel_stop (kernel);
      break;
    case CROSS_BODY:
    case CROSS_NONE:
      dl_kernel_stop (kernel);
      break;
    }
  talloc_free (timer);
}

static int
crossed_start (DlTask *task)
{
  DlHttpLimits limits = DL_HTTP_LIMITS_DEFAULT;

  dl_task_set_state (task, talloc_new (NULL));
  if (crossed.cross == CROSS_NONE)
    return 0;
  if (crossed.cross == CROSS_IDLE)
    limits.idle_timeout_s = IDLE_TIMEOUT_S;
  crossed.server = loopback_server_new (task, &limits, on_request, &crossed.at);
  dl_kernel_on_end (dl_task_kernel (task), dl_task_state (task), on_end, NULL);
  crossed.caller = g_thread_new ("caller", caller_run, NULL);
  dl_timer_subscribe (task, dl_task_state (task), SETTLE_MS, SETTLE_MS, on_ready_check,
                      dl_task_kernel (task));
  return 0;
}

static void
crossed_drain (DlTask *task)
{
  if (crossed.cross != CROSS_NONE)
    dl_http_server_disable_keepalive (crossed.server);
  dl_task_drained (task);
}

static bool
crossed_is_idle (DlTask *task)
{
  return crossed.cross == CROSS_NONE || dl_http_server_is_idle (crossed.server);
}

static DlPlugin crossed_plugin = {
  .name = "crossed",
  .order = 5,
  .start = crossed_start,
  .drain = crossed_drain,
  .is_idle = crossed_is_idle,
};
DL_PLUGIN_REGISTER (crossed_plugin)

/* -------- a task that started later, and is freed before -------- */

static int
later_destroy (char *state)
{
  for (int i = 0; i < TASK_FREE_STEPS; i++)
    slices_step ();
  return 0;
}

static int
later_start (DlTask *task)
{
  char *state = talloc_strdup (NULL, "a large table");

  talloc_set_destructor (state, later_destroy);
  dl_task_set_state (task, state);
  return 0;
}

static DlPlugin later_plugin = { .name = "later", .order = 6, .start = later_start };
DL_PLUGIN_REGISTER (later_plugin)

/* -------- the tests -------- */

static uint64_t
play (Cross cross, uint64_t at, unsigned *lost)
{
  DlKernel *kernel;
  uint64_t steps;

  crossed = (Crossed){ .cross = cross, .slice_at = at };
  dl_log_open ("unit", "unit", true);
  kernel = dl_kernel_new ("unit", "unit", NULL);
  dl_kernel_set_drain_ms (kernel, cross == CROSS_BODY ? SHORT_DRAIN_MS : LONG_DRAIN_MS);
  CU_ASSERT_EQUAL (dl_kernel_run (kernel), 0);
  talloc_free (kernel);
  steps = slices_end ();
  g_atomic_int_set (&crossed.over, 1);
  g_thread_join (crossed.caller);
  if (crossed.lost)
    printf ("\n  step %" PRIu64 " of %" PRIu64 ": lost after %d ms, handled %d ", at,
            steps, (int)(crossed.took_us / US_PER_MS), crossed.handled);
  *lost += crossed.lost;
  crossed = (Crossed){ .cross = CROSS_NONE };
  return steps;
}

static void
play_each_step (Cross cross, uint64_t max)
{
  unsigned lost = 0;
  uint64_t steps = play (cross, 0, &lost);

  printf ("%" PRIu64 " steps ", steps);
  for (uint64_t at = 1; at <= MIN (steps, max); at++)
    play (cross, at, &lost);
  CU_ASSERT_EQUAL (lost, 0);
}

static void
test_request_completed_as_a_stops_time_ends_is_not_lost (void)
{
  play_each_step (CROSS_BODY, UINT64_MAX);
}

static void
test_request_on_a_new_connection_at_the_close_of_the_listening_socket_is_not_lost (void)
{
  play_each_step (CROSS_NEW, UINT64_MAX);
}

static void
test_request_at_the_idle_timeout_of_its_connection_is_not_lost (void)
{
  play_each_step (CROSS_IDLE, IDLE_STEPS);
}

static const CU_TestInfo crossed_tests[] = {
  { "a request that is completed as a stop's time ends is not lost",
    test_request_completed_as_a_stops_time_ends_is_not_lost },
  { "a request on a new connection at the close of the listening socket is not lost",
    test_request_on_a_new_connection_at_the_close_of_the_listening_socket_is_not_lost },
  { "a request at the idle timeout of its connection is not lost",
    test_request_at_the_idle_timeout_of_its_connection_is_not_lost },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE_ALONE ("ends-crossed", crossed_tests)
