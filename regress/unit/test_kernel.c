/*
 * Tests the kernel with sockets on the loopback interface: HTTP client and server, framed
 * connections, a peer with a wrong key, and random bytes in place of frames.  One kernel
 * runs all steps; each starts the next.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "kernel/error.h"
#include "kernel/frame.h"
#include "kernel/http_client.h"
#include "kernel/http_server.h"
#include "kernel/kernel.h"
#include "kernel/log.h"
#include "unit.h"

#define STREAM_BYTES   (4u << 20)
#define STREAM_PIECE   65536
#define QUEUE_MAX      (1u << 20)
#define GARBAGE_ROUNDS 50
#define GARBAGE_SEED   7
#define TIMEOUT_MS     20000

typedef struct
{
  DlTask *task;
  char http_address[32];
  char frame_address[32];
  DlHttpServer *server;
  DlHttpClient *client;
  DlListener *listener;
  DlIdentity identity;
  DlConn *dialled;
  DlConn *accepted;
  /* observations, checked at the end */
  unsigned echo_status;
  size_t stream_sent;
  size_t stream_received;
  size_t stream_queued_max;
  bool stream_ok;
  unsigned too_large_status;
  bool disconnect_seen;
  bool frame_echoed;
  bool bad_key_refused;
  int garbage_rounds;
  bool garbage_survived;
} State;

static State *state;
static bool running; /* this test, not another one with a kernel */

static void step_stream (void);
static void step_too_large (void);
static void step_disconnect (void);
static void step_frames (void);
static void step_bad_key (void);
static void step_garbage (void);

static int
free_port (void)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t length = sizeof at;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert (bind (fd, (struct sockaddr *)&at, sizeof at) == 0);
  getsockname (fd, (struct sockaddr *)&at, &length);
  close (fd);
  return ntohs (at.sin_port);
}

/* -------- HTTP -------- */

static void
fill_stream (DlHttpRequest *request)
{
  static char piece[STREAM_PIECE];

  while (state->stream_sent < STREAM_BYTES && dl_http_stream_queued (request) < QUEUE_MAX)
    {
      dl_http_stream_write (request, dl_str_bytes (piece, sizeof piece));
      state->stream_sent += sizeof piece;
    }
  state->stream_queued_max
      = MAX (state->stream_queued_max, dl_http_stream_queued (request));
}

static void
on_fill_timer (DlTimer *timer, void *data)
{
  DlHttpRequest *request = data;

  fill_stream (request);
  if (state->stream_sent == STREAM_BYTES)
    {
      dl_http_stream_end (request, true);
      talloc_free (timer);
    }
}

static void
on_request_closed (DlHttpRequest *request, bool completed, void *data)
{
  state->disconnect_seen = !completed;
  step_frames ();
}

static void
on_request (DlHttpRequest *request, void *data)
{
  const char *path = dl_http_request_path (request);

  if (strcmp (path, "/echo") == 0)
    dl_http_reply (request, 200, "text/plain", dl_http_request_body (request), NULL);
  else if (strcmp (path, "/stream") == 0)
    {
      dl_http_stream_begin (request, 200, "application/octet-stream", NULL);
      dl_timer_subscribe (state->task, request, 1, 5, on_fill_timer, request);
    }
  else
    dl_http_request_on_closed (request, on_request_closed, NULL);
}

static DlHttpCall *
http_call (const char *path,
           const char *method,
           DlStr body,
           void (*on_data) (DlHttpCall *, DlStr, void *),
           void (*on_done) (DlHttpCall *, const DlHttpResult *, void *))
{
  char *url = talloc_asprintf (state, "http://%s%s", state->http_address, path);
  DlHttpCall *call = dl_http_call (state->client, state,
                                   &(DlHttpCallOptions){
                                       .method = method,
                                       .url = url,
                                       .body = body,
                                       .single_use = true,
                                       .on_data = on_data,
                                       .on_done = on_done,
                                   });

  talloc_free (url);
  return call;
}

static void
on_echo_done (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  if (dl_str_equal (result->body, DL_STR_LITERAL ("hello")))
    state->echo_status = result->status;
  step_stream ();
}

static void
on_stream_data (DlHttpCall *call, DlStr bytes, void *data)
{
  state->stream_received += bytes.length;
}

static void
on_stream_done (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  state->stream_ok = result->error == 0;
  step_too_large ();
}

static void
step_stream (void)
{
  http_call ("/stream", "GET", dl_str (NULL), on_stream_data, on_stream_done);
}

static void
on_too_large_done (DlHttpCall *call, const DlHttpResult *result, void *data)
{
  state->too_large_status = result->status;
  step_disconnect ();
}

static void
step_too_large (void)
{
  char *body = talloc_zero_size (state, (1u << 20) + 1);

  http_call ("/echo", "POST", dl_str_bytes (body, (1u << 20) + 1), NULL,
             on_too_large_done);
  talloc_free (body);
}

static void
on_cancel_call (DlTimer *timer, void *data)
{
  talloc_free (data); /* cancels the call, which disconnects the caller */
}

static void
on_cancelled_done (DlHttpCall *call, const DlHttpResult *result, void *data)
{
}

static void
step_disconnect (void)
{
  DlHttpCall *call = http_call ("/never", "GET", dl_str (NULL), NULL, on_cancelled_done);

  dl_timer_subscribe (state->task, state, 50, 0, on_cancel_call, call);
}

/* -------- frames -------- */

static void
on_server_frame (DlConn *conn, const DlEnvelope *envelope, DlStr payload, void *data)
{
  dl_conn_send (conn, envelope, payload);
}

static void
on_any_closed (DlConn *conn, int error, void *data)
{
  talloc_free (conn);
}

static const DlConnHandler server_handler = {
  .on_frame = on_server_frame,
  .on_closed = on_any_closed,
};

static void
on_accept (DlConn *conn, void *data)
{
  dl_conn_set_handler (conn, &server_handler, NULL);
}

static void
on_client_open (DlConn *conn, void *data)
{
  Daisyloft__Wire__ResponseCredit credit = DAISYLOFT__WIRE__RESPONSE_CREDIT__INIT;
  DlEnvelope envelope = DL_ENVELOPE (RESPONSE_CREDIT, response_credit, &credit);

  envelope.stream = 5;
  credit.bytes = 77;
  dl_conn_send (conn, &envelope, DL_STR_LITERAL ("payload"));
}

static void
on_client_frame (DlConn *conn, const DlEnvelope *envelope, DlStr payload, void *data)
{
  state->frame_echoed = envelope->stream == 5 && envelope->response_credit->bytes == 77
                        && dl_str_equal (payload, DL_STR_LITERAL ("payload"));
  talloc_free (conn); /* from inside its own callback */
  step_bad_key ();
}

static const DlConnHandler client_handler = {
  .on_open = on_client_open,
  .on_frame = on_client_frame,
  .on_closed = on_any_closed,
};

static void
step_frames (void)
{
  dl_conn_connect (state->task, state, dl_str (state->frame_address), &state->identity,
                   DAISYLOFT__WIRE__PURPOSE__PURPOSE_PEER, &client_handler, NULL);
}

static void
on_bad_key_closed (DlConn *conn, int error, void *data)
{
  state->bad_key_refused = !dl_conn_is_open (conn) && dl_conn_peer (conn)->name == NULL;
  talloc_free (conn);
  step_garbage ();
}

static void
step_bad_key (void)
{
  static DlIdentity stranger;
  static const DlConnHandler handler = { .on_closed = on_bad_key_closed };

  stranger = state->identity;
  stranger.key = "another key, not the fleet's";
  dl_conn_connect (state->task, state, dl_str (state->frame_address), &stranger,
                   DAISYLOFT__WIRE__PURPOSE__PURPOSE_PEER, &handler, NULL);
}

/* Sends random bytes from a plain socket to the listener for framed connections. */
static void
on_garbage_timer (DlTimer *timer, void *data)
{
  GRand *rand = data;
  struct sockaddr_in at = { .sin_family = AF_INET };
  char bytes[600];
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  for (size_t i = 0; i < sizeof bytes; i++)
    bytes[i] = (char)g_rand_int_range (rand, 0, 256);
  at.sin_port = htons ((uint16_t)atoi (strchr (state->frame_address, ':') + 1));
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (connect (fd, (struct sockaddr *)&at, sizeof at) == 0)
    (void)!write (fd, bytes, sizeof bytes);
  close (fd);
  if (++state->garbage_rounds == GARBAGE_ROUNDS)
    {
      state->garbage_survived = true;
      talloc_free (timer);
      g_rand_free (rand);
      dl_kernel_stop (dl_task_kernel (state->task));
    }
}

static void
step_garbage (void)
{
  dl_timer_subscribe (state->task, state, 5, 5, on_garbage_timer,
                      g_rand_new_with_seed (GARBAGE_SEED));
}

/* -------- the kernel -------- */

static void
on_timeout (DlTimer *timer, void *data)
{
  dl_kernel_stop (dl_task_kernel (state->task));
}

static int
test_start (DlTask *task)
{
  DlHttpLimits limits = DL_HTTP_LIMITS_DEFAULT;
  int error;

  dl_task_set_state (task, talloc_new (NULL));
  if (!running)
    return 0;
  state = talloc_zero (NULL, State);
  state->task = task;
  snprintf (state->http_address, sizeof state->http_address, "127.0.0.1:%d",
            free_port ());
  snprintf (state->frame_address, sizeof state->frame_address, "127.0.0.1:%d",
            free_port ());
  state->identity = (DlIdentity){
    .name = "unit",
    .role = DAISYLOFT__WIRE__ROLE__ROLE_SLOT,
    .region = "r",
    .data_center = "d",
    .address = state->frame_address,
    .key = "a key of sixteen bytes",
    .incarnation = 1,
  };
  error = dl_http_server_new (task, state, dl_str (state->http_address), &limits,
                              on_request, NULL, &state->server);
  if (error == 0)
    error = dl_listener_new (task, state, dl_str (state->frame_address), &state->identity,
                             100, on_accept, NULL, &state->listener);
  if (error < 0)
    return error;
  state->client = dl_http_client_new (task, state);
  dl_timer_subscribe (task, state, TIMEOUT_MS, 0, on_timeout, NULL);
  http_call ("/echo", "POST", DL_STR_LITERAL ("hello"), NULL, on_echo_done);
  return 0;
}

static DlPlugin test_plugin = { .name = "test", .start = test_start };
DL_PLUGIN_REGISTER (test_plugin)

static void
test_kernel_run (void)
{
  DlKernel *kernel;

  dl_log_open ("unit", "unit", true);
  kernel = dl_kernel_new ("unit", "unit", NULL);
  running = true;
  CU_ASSERT_EQUAL (dl_kernel_run (kernel), 0);
  CU_ASSERT_EQUAL (state->echo_status, 200);
  CU_ASSERT_TRUE (state->stream_ok);
  CU_ASSERT_EQUAL (state->stream_received, STREAM_BYTES);
  CU_ASSERT (state->stream_queued_max <= QUEUE_MAX + STREAM_PIECE);
  CU_ASSERT_EQUAL (state->too_large_status, 413);
  CU_ASSERT_TRUE (state->disconnect_seen);
  CU_ASSERT_TRUE (state->frame_echoed);
  CU_ASSERT_TRUE (state->bad_key_refused);
  CU_ASSERT_TRUE (state->garbage_survived);
  talloc_free (state);
  talloc_free (kernel);
  running = false;
}

static const CU_TestInfo kernel_tests[] = {
  { "loopback", test_kernel_run },
  CU_TEST_INFO_NULL,
};
UNIT_SUITE ("kernel", kernel_tests)
