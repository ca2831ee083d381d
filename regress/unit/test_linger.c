/*
 * Tests what callers read of a response when more of their bytes arrive than its server
 * reads before it closes the connection.  Each must get the whole response and an orderly
 * end, and nothing that came after the close may be run.  A caller that never stops
 * sending may not hold the loop.
 */
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "endless.h"
#include "kernel/http_linger.h"
#include "kernel/http_server.h"
#include "kernel/kernel.h"
#include "kernel/log.h"
#include "loopback.h"
#include "unit.h"

#define BODY_BYTES     (256u * 1024) /* more than a caller's socket takes */
#define MORE_BYTES     (128u * 1024)
#define CALLER_BUFFER  4096 /* of its socket */
#define PIECE_BYTES    8192 /* a slow caller reads one, and waits */
#define PIECE_PAUSE_US 10000
#define CROSSING_PAUSE_US \
  50000 /* the response has been sent, and its connection closed */
/* A caller that itself stood still sends after the server has stopped reading. */
#define CROSSING_MAX_US 150000
#define CROSSING_TRIES  10
#define WAIT_S          5
#define CHECK_MS        5
#define DRAIN_MS        1000
/* Of one connection, in a run of the loop: what an open framed one reads. */
#define RUN_MAX_BYTES  (256u * 1024)
#define LAST_MAX_BYTES (8u << 20) /* at the end of the set */

typedef struct
{
  bool running; /* otherwise other tests run */
  struct sockaddr_in at;
  char *body;
  GThread *thread;
  GThreadFunc caller;
  gint done;    /* atomic; the caller has ended */
  gint handled; /* atomic; requests that reached the handler */
  gint after;   /* atomic; those of them that came after the first */
  bool late;    /* the caller sent later than CROSSING_MAX_US */
} Linger;

static Linger linger;

/* -------- callers -------- */

typedef struct
{
  int status;
  bool whole;   /* its body arrived in full */
  bool orderly; /* the connection ended without a reset */
} Seen;

static int
caller_connect (void)
{
  struct timeval wait = { .tv_sec = WAIT_S };
  int bytes = CALLER_BUFFER;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  CU_ASSERT_EQUAL (connect (fd, (const struct sockaddr *)&linger.at, sizeof linger.at),
                   0);
  return fd;
}

static bool
caller_send (int fd, const char *bytes, size_t length)
{
  while (length > 0)
    {
      ssize_t n = send (fd, bytes, length, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      bytes += n;
      length -= (size_t)n;
    }
  return true;
}

/* Reads slowly up to the end of the connection. */
static Seen
caller_read (int fd)
{
  GString *text = g_string_new (NULL);
  char piece[PIECE_BYTES];
  Seen seen = { 0 };
  const char *body;
  size_t length = 0;
  ssize_t n;

  while ((n = recv (fd, piece, sizeof piece, 0)) > 0)
    {
      g_string_append_len (text, piece, n);
      g_usleep (PIECE_PAUSE_US);
    }
  seen.orderly = n == 0;
  body = strstr (text->str, "\r\n\r\n");
  if (body != NULL && sscanf (text->str, "HTTP/1.1 %d", &seen.status) == 1)
    {
      const char *field = strcasestr (text->str, "Content-Length:");

      seen.whole = field != NULL
                   && sscanf (field + strlen ("Content-Length:"), "%zu", &length) == 1
                   && strlen (body + 4) == length;
    }
  g_string_free (text, TRUE);
  return seen;
}

static void
check_seen (int fd, int status)
{
  Seen seen = caller_read (fd);

  CU_ASSERT_EQUAL (seen.status, status);
  CU_ASSERT_TRUE (seen.whole);
  CU_ASSERT_TRUE (seen.orderly);
  close (fd);
  g_atomic_int_set (&linger.done, 1);
}

static const char first_request[] = "GET /first HTTP/1.1\r\nHost: a\r\n\r\n";
static const char after_request[] = "GET /after HTTP/1.1\r\nHost: a\r\n\r\n";

static gpointer
call_with_crossing_request (gpointer data)
{
  int fd = caller_connect ();
  gint64 sent_us = g_get_monotonic_time ();

  CU_ASSERT_TRUE (caller_send (fd, first_request, strlen (first_request)));
  g_usleep (CROSSING_PAUSE_US);
  linger.late = !caller_send (fd, after_request, strlen (after_request))
                || g_get_monotonic_time () > sent_us + CROSSING_MAX_US;
  if (linger.late)
    {
      close (fd);
      g_atomic_int_set (&linger.done, 1);
    }
  else
    check_seen (fd, 200);
  return NULL;
}

static gpointer
call_with_pipelined_request (gpointer data)
{
  int fd = caller_connect ();
  GString *text = g_string_new (first_request);

  g_string_append_printf (text,
                          "POST /after HTTP/1.1\r\nHost: a\r\n"
                          "Content-Length: %u\r\n\r\n%*s",
                          MORE_BYTES, (int)MORE_BYTES, "");
  CU_ASSERT_TRUE (caller_send (fd, text->str, text->len));
  g_string_free (text, TRUE);
  check_seen (fd, 200);
  return NULL;
}

/* Its head is longer than the server reads. */
static gpointer
call_with_long_head (gpointer data)
{
  int fd = caller_connect ();
  char *text = g_strdup_printf ("GET /first HTTP/1.1\r\nHost: a\r\nX-Long: %*s\r\n\r\n",
                                (int)MORE_BYTES, "a");

  CU_ASSERT_TRUE (caller_send (fd, text, strlen (text)));
  g_free (text);
  check_seen (fd, 431);
  return NULL;
}

/* -------- the server -------- */

static void
on_request (DlHttpRequest *request, void *data)
{
  g_atomic_int_inc (&linger.handled);
  if (strcmp (dl_http_request_path (request), "/after") == 0)
    g_atomic_int_inc (&linger.after);
  dl_http_reply (request, 200, NULL, dl_str (linger.body), NULL);
}

static void
on_check (DlTimer *timer, void *data)
{
  if (g_atomic_int_get (&linger.done) == 0 || dl_kernel_stopping (data))
    return;
  talloc_free (timer);
  dl_kernel_stop (data);
}

static int
linger_start (DlTask *task)
{
  DlHttpLimits limits = DL_HTTP_LIMITS_DEFAULT;
  DlHttpServer *server;

  dl_task_set_state (task, talloc_new (NULL));
  if (!linger.running)
    return 0;
  server = loopback_server_new (task, &limits, on_request, &linger.at);
  dl_http_server_disable_keepalive (server);
  linger.thread = g_thread_new ("caller", linger.caller, NULL);
  dl_timer_subscribe (task, dl_task_state (task), CHECK_MS, CHECK_MS, on_check,
                      dl_task_kernel (task));
  return 0;
}

static DlPlugin linger_plugin = { .name = "linger", .order = 5, .start = linger_start };
DL_PLUGIN_REGISTER (linger_plugin)

/* -------- a caller that never stops -------- */

typedef struct
{
  bool running; /* otherwise other tests run */
  DlHttpLinger *set;
  size_t run_bytes;     /* read when a timer that was due was served */
  size_t last_bytes;    /* read as a set ended */
  size_t unread_bytes;  /* that had arrived before the end of another set */
  size_t arrived_bytes; /* those of them that its end read */
} EndlessCaller;

static EndlessCaller endless_caller;

static void
end_set (size_t *bytes)
{
  size_t before = endless_read_bytes ();

  TALLOC_FREE (endless_caller.set);
  *bytes = endless_read_bytes () - before;
}

static void
on_endless_timer (DlTimer *timer, void *data)
{
  endless_caller.run_bytes = endless_read_bytes ();
  endless_end ();
  dl_kernel_stop (data);
}

static void
endless_add (DlTask *task)
{
  int fd = endless_begin ();

  endless_caller.set = dl_http_linger_new (task, dl_task_state (task));
  CU_ASSERT_TRUE (dl_http_linger_add (endless_caller.set, fd, NULL, NULL));
  close (fd);
}

static int
endless_start (DlTask *task)
{
  dl_task_set_state (task, talloc_new (NULL));
  if (!endless_caller.running)
    return 0;
  endless_add (task);
  endless_stop ();
  endless_caller.unread_bytes = endless_unread_bytes ();
  end_set (&endless_caller.arrived_bytes);
  endless_end ();
  endless_add (task);
  end_set (&endless_caller.last_bytes);
  endless_end ();
  endless_add (task);
  dl_timer_subscribe (task, dl_task_state (task), 0, 0, on_endless_timer,
                      dl_task_kernel (task));
  return 0;
}

static DlPlugin endless_plugin
    = { .name = "linger-endless", .order = 6, .start = endless_start };
DL_PLUGIN_REGISTER (endless_plugin)

/* -------- the tests -------- */

/* Runs a server and CALLER; returns the number of requests that were handled. */
static int
play (GThreadFunc caller)
{
  DlKernel *kernel;

  linger = (Linger){ .running = true, .caller = caller };
  linger.body = g_strnfill (BODY_BYTES, 'x');
  dl_log_open ("unit", "unit", true);
  kernel = dl_kernel_new ("unit", "unit", NULL);
  dl_kernel_set_drain_ms (kernel, DRAIN_MS);
  CU_ASSERT_EQUAL (dl_kernel_run (kernel), 0);
  g_thread_join (linger.thread);
  talloc_free (kernel);
  g_free (linger.body);
  linger.running = false;
  CU_ASSERT_EQUAL (linger.after, 0);
  return linger.handled;
}

static void
test_request_that_crosses_the_close_takes_no_response_away (void)
{
  for (int i = 0; i < CROSSING_TRIES; i++)
    {
      CU_ASSERT_EQUAL (play (call_with_crossing_request), 1);
      if (!linger.late)
        return;
    }
  CU_FAIL ("no request was sent in time");
}

static void
test_pipelined_request_takes_no_response_away (void)
{
  CU_ASSERT_EQUAL (play (call_with_pipelined_request), 1);
}

static void
test_refused_head_is_answered_before_the_close (void)
{
  CU_ASSERT_EQUAL (play (call_with_long_head), 0);
}

static void
test_caller_that_never_stops_holds_nothing (void)
{
  DlKernel *kernel;

  endless_caller = (EndlessCaller){ .running = true };
  dl_log_open ("unit", "unit", true);
  kernel = dl_kernel_new ("unit", "unit", NULL);
  CU_ASSERT_EQUAL (dl_kernel_run (kernel), 0);
  talloc_free (kernel);
  endless_caller.running = false;
  CU_ASSERT_TRUE (endless_caller.unread_bytes > 0);
  CU_ASSERT_EQUAL (endless_caller.arrived_bytes, endless_caller.unread_bytes);
  CU_ASSERT_TRUE (endless_caller.run_bytes > 0);
  CU_ASSERT_TRUE (endless_caller.run_bytes <= RUN_MAX_BYTES);
  CU_ASSERT_TRUE (endless_caller.last_bytes > 0);
  CU_ASSERT_TRUE (endless_caller.last_bytes <= LAST_MAX_BYTES);
}

static const CU_TestInfo linger_tests[] = {
  { "a request that crosses the close takes no response away",
    test_request_that_crosses_the_close_takes_no_response_away },
  { "a pipelined request takes no response away",
    test_pipelined_request_takes_no_response_away },
  { "a head that is too long is refused in full",
    test_refused_head_is_answered_before_the_close },
  { "a caller that never stops sending holds nothing else",
    test_caller_that_never_stops_holds_nothing },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("lingering close", linger_tests)
