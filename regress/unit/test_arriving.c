/* Tests of requests that arrive slowly, in parts or with long bodies, on loopback. */
#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "kernel/http_server_private.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "loopback.h"
#include "unit.h"

#define TICK_MS    20
#define END_MS     20000 /* a test that takes longer has failed */
#define ARRIVAL_MS 300
#define STALL_MS   1000
#define TRIES_MAX  8
/* Longer than the default limit on all bodies together. */
#define LONG_BODY_BYTES (DL_HTTP_HELD_BYTES_DEFAULT + 1)
#define HELD_BODY_BYTES 20000

/* Called every TICK_MS; returns true once the test has ended. */
typedef bool (*TickFunc) (void);

typedef struct
{
  TickFunc tick; /* NULL: other tests run */
  DlHttpLimits limits;
  DlKernel *kernel;
  DlHttpServer *server;
  DlHttpServer *other;
  struct sockaddr_in at;
  struct sockaddr_in other_at;
  int fd; /* -1: not connected */
  uint64_t sent_ms;
  unsigned tries;
  unsigned handled;
  unsigned ticks; /* since the last step */
  DlHttpRequest *kept;
  GThread *thread;
  int64_t stalled_before;
  int64_t held_before;
} Arriving;

static Arriving arriving;

/* -------- callers -------- */

static int
caller_connect (const struct sockaddr_in *at)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  g_assert (connect (fd, (const struct sockaddr *)at, sizeof *at) == 0);
  return fd;
}

static void
caller_send (int fd, const char *text)
{
  CU_ASSERT_EQUAL (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t)strlen (text));
}

static int64_t
metric (const char *name)
{
  json_object *all = dl_metrics_dump ();
  json_object *value = NULL;
  int64_t result;

  g_assert (json_object_object_get_ex (all, name, &value));
  result = json_object_get_int64 (value);
  json_object_put (all);
  return result;
}

static int64_t
stalled (void)
{
  return metric ("daisy_http_requests_stalled_total") - arriving.stalled_before;
}

/* -------- the process -------- */

static void
on_request (DlHttpRequest *request, void *data)
{
  arriving.handled++;
  if (strcmp (dl_http_request_path (request), "/kept") == 0)
    arriving.kept = request;
  else
    dl_http_reply (request, 200, NULL, DL_STR_LITERAL ("done"), NULL);
}

static void
on_tick (DlTimer *timer, void *data)
{
  if (dl_kernel_stopping (arriving.kernel))
    return;
  arriving.ticks++;
  if (arriving.tick ())
    dl_kernel_stop (arriving.kernel);
}

static void
on_too_late (DlTimer *timer, void *data)
{
  CU_FAIL ("the test did not end");
  dl_kernel_stop (arriving.kernel);
}

static int
arriving_start (DlTask *task)
{
  dl_task_set_state (task, talloc_new (NULL));
  if (arriving.tick == NULL)
    return 0;
  arriving.kernel = dl_task_kernel (task);
  arriving.server
      = loopback_server_new (task, &arriving.limits, on_request, &arriving.at);
  arriving.other
      = loopback_server_new (task, &arriving.limits, on_request, &arriving.other_at);
  dl_timer_subscribe (task, dl_task_state (task), TICK_MS, TICK_MS, on_tick, NULL);
  dl_timer_subscribe (task, dl_task_state (task), END_MS, 0, on_too_late, NULL);
  return 0;
}

static DlPlugin arriving_plugin
    = { .name = "arriving", .order = 6, .start = arriving_start };
DL_PLUGIN_REGISTER (arriving_plugin)

static void
play (TickFunc tick, const DlHttpLimits *limits)
{
  DlKernel *kernel;

  arriving = (Arriving){ .tick = tick, .limits = *limits, .fd = -1 };
  arriving.stalled_before = metric ("daisy_http_requests_stalled_total");
  arriving.held_before = metric ("daisy_http_held_bytes");
  dl_log_open ("unit", "unit", true);
  kernel = dl_kernel_new ("unit", "unit", NULL);
  CU_ASSERT_EQUAL (dl_kernel_run (kernel), 0);
  talloc_free (kernel);
  if (arriving.fd >= 0)
    close (arriving.fd);
  arriving.tick = NULL;
  CU_ASSERT_EQUAL (metric ("daisy_http_held_bytes"), arriving.held_before);
}

/* -------- the end of a request that is being closed -------- */

/* The rest of the request arrives, but is not read, before its connection is closed.
 * After a pause of the process nothing is closed, and the request is handled: then once
 * more. */
static bool
tick_stalled (void)
{
  if (arriving.fd < 0)
    {
      arriving.fd = caller_connect (&arriving.at);
      caller_send (arriving.fd,
                   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
      arriving.sent_ms = dl_clock_ms ();
      arriving.tries++;
      arriving.ticks = 0;
      return false;
    }
  if (dl_clock_ms () < arriving.sent_ms + ARRIVAL_MS + TICK_MS * 3)
    return false;
  if (arriving.sent_ms != 0)
    {
      send (arriving.fd, "cd", 2, MSG_NOSIGNAL);
      dl_http_body_end_stalled (arriving.server);
      arriving.sent_ms = 0;
      arriving.ticks = 0;
    }
  if (dl_http_server_active_requests (arriving.server) > 0 || arriving.ticks < 3)
    return false;
  close (arriving.fd);
  arriving.fd = -1;
  return stalled () > 0 || arriving.tries == TRIES_MAX;
}

/* Guards against a request that runs although its connection was closed as it did not go
 * on arriving. */
static void
test_closed_request_does_not_run (void)
{
  DlHttpLimits limits = DL_HTTP_LIMITS_DEFAULT;

  limits.arrival_ms = ARRIVAL_MS;
  play (tick_stalled, &limits);
  CU_ASSERT (stalled () > 0);
  CU_ASSERT_EQUAL (arriving.handled + stalled (), arriving.tries);
}

/* -------- a pipelined request -------- */

static bool
tick_pipelined (void)
{
  if (arriving.fd < 0)
    {
      arriving.fd = caller_connect (&arriving.at);
      caller_send (arriving.fd,
                   "GET /kept HTTP/1.1\r\nHost: a\r\n\r\n"
                   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
      arriving.sent_ms = dl_clock_ms ();
    }
  if (dl_clock_ms () < arriving.sent_ms + STALL_MS * 2)
    return false;
  if (arriving.kept != NULL)
    {
      dl_http_reply (arriving.kept, 200, NULL, DL_STR_LITERAL (""), NULL);
      arriving.kept = NULL;
      arriving.ticks = 0;
    }
  if (arriving.ticks == 2)
    {
      dl_http_body_end_stalled (arriving.server);
      send (arriving.fd, "cd", 2, MSG_NOSIGNAL);
    }
  return arriving.ticks == 6;
}

/* Guards against a request that is closed for the time that it waited behind the one
 * before it on its connection. */
static void
test_pipelined_request_is_not_stalled (void)
{
  DlHttpLimits limits = DL_HTTP_LIMITS_DEFAULT;

  limits.stall_ms = STALL_MS;
  play (tick_pipelined, &limits);
  CU_ASSERT_EQUAL (stalled (), 0);
  CU_ASSERT_EQUAL (arriving.handled, 2);
}

/* -------- the gauge of what is held -------- */

static bool
tick_held (void)
{
  if (arriving.fd < 0)
    {
      char *body = g_strnfill (HELD_BODY_BYTES, 'x');

      arriving.fd = caller_connect (&arriving.at);
      caller_send (arriving.fd,
                   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n");
      caller_send (arriving.fd, body);
      g_free (body);
      arriving.ticks = 0;
    }
  if (arriving.ticks == 3)
    {
      int fd = caller_connect (&arriving.other_at);

      caller_send (fd, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
      close (fd);
    }
  if (arriving.ticks < 8 || arriving.handled == 0)
    return false;
  CU_ASSERT (metric ("daisy_http_held_bytes") - arriving.held_before >= HELD_BODY_BYTES);
  return true;
}

/* Guards against a gauge that one server of the process sets to what it holds alone. */
static void
test_gauge_counts_all_servers (void)
{
  play (tick_held, &DL_HTTP_LIMITS_DEFAULT);
}

/* -------- a refused body -------- */

static bool
tick_refused (void)
{
  char response[512] = "";

  if (arriving.fd < 0)
    {
      dl_http_server_set_id_header (arriving.server, "X-Id");
      dl_http_server_set_max_body (arriving.server, 10);
      arriving.fd = caller_connect (&arriving.at);
      caller_send (arriving.fd,
                   "POST / HTTP/1.1\r\nHost: a\r\nX-Id: x7\r\nContent-Length: 11\r\n\r\n"
                   "01234567890");
      return false;
    }
  if (recv (arriving.fd, response, sizeof response - 1, MSG_DONTWAIT) <= 0)
    return false;
  CU_ASSERT_NSTRING_EQUAL (response, "HTTP/1.1 413", 12);
  CU_ASSERT_PTR_NOT_NULL (strstr (response, "X-Id: x7\r\n"));
  return true;
}

/* Guards against a refusal without the id by which its caller knows the request. */
static void
test_refused_body_has_the_id (void)
{
  play (tick_refused, &DL_HTTP_LIMITS_DEFAULT);
  CU_ASSERT_EQUAL (arriving.handled, 0);
}

/* -------- a single long body -------- */

static void *
send_long_body (void *data)
{
  char *body = g_strnfill (LONG_BODY_BYTES, 'x');
  char *head
      = g_strdup_printf ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n",
                         LONG_BODY_BYTES);
  int fd = caller_connect (&arriving.at);
  char status[16] = "";

  caller_send (fd, head);
  for (size_t sent = 0; sent < LONG_BODY_BYTES;)
    {
      ssize_t n = send (fd, body + sent, LONG_BODY_BYTES - sent, MSG_NOSIGNAL);

      if (n <= 0)
        break;
      sent += (size_t)n;
    }
  CU_ASSERT (recv (fd, status, sizeof status - 1, MSG_WAITALL) > 0);
  CU_ASSERT_NSTRING_EQUAL (status, "HTTP/1.1 200", 12);
  close (fd);
  g_free (head);
  g_free (body);
  g_atomic_int_set (&arriving.tries, 1);
  return NULL;
}

static bool
tick_long_body (void)
{
  if (arriving.thread == NULL)
    arriving.thread = g_thread_new ("caller", send_long_body, NULL);
  return g_atomic_int_get (&arriving.tries) > 0;
}

/* Guards against a default for all bodies together that never lets a single one in that
 * is within the server's limit. */
static void
test_single_body_within_the_limit_is_kept (void)
{
  DlHttpLimits limits = DL_HTTP_LIMITS_DEFAULT;

  limits.max_body_bytes = LONG_BODY_BYTES;
  play (tick_long_body, &limits);
  g_thread_join (arriving.thread);
  CU_ASSERT_EQUAL (arriving.handled, 1);
}

static const CU_TestInfo arriving_tests[] = {
  { "a closed request does not run", test_closed_request_does_not_run },
  { "a pipelined request", test_pipelined_request_is_not_stalled },
  { "what all servers hold", test_gauge_counts_all_servers },
  { "the id of a refused body", test_refused_body_has_the_id },
  { "a single long body", test_single_body_within_the_limit_is_kept },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("arriving", arriving_tests)
