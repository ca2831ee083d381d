/* One call of the HTTP client: its request, and the response while it arrives. */
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/http_client_private.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

#define BODY_DEFAULT_MAX_BYTES (1u << 20)
#define HEAD_DEFAULT_MAX_BYTES (32u << 10)
#define HEAD_MAX_LINES         256u
/* Bytes of chunk lengths and extensions with no body byte in between. */
#define FRAMING_MAX_BYTES          (32u << 10)
#define CONNECT_DEFAULT_TIMEOUT_MS 2000
#define IDLE_DEFAULT_MAX_S         118L   /* libcurl's own */
#define MILLISECONDS               1000u  /* in a second */
#define RECEIVE_BUFFER_BYTES       8192L  /* receive buffer of each call */
#define UPLOAD_BUFFER_BYTES        16384L /* libcurl's minimum */

DL_METRIC (metric_invalid,
           DL_METRIC_COUNTER,
           "daisy_http_invalid_responses_total",
           "Responses given up because what a peer sent cannot be one.")

/* -------- progress -------- */

static void
note_arrival (DlHttpCall *call)
{
  if (call->stalled != NULL)
    call->arrived_ms = dl_clock_ms ();
}

/* Time by which something has to arrive. */
static uint64_t
stall_due_ms (const DlHttpCall *call)
{
  const DlHttpCallOptions *o = &call->options;

  return call->arrived_ms == 0 ? call->started_ms + o->timeout_ms
                               : call->arrived_ms + o->stall_ms;
}

static void
on_stall_check (DlTimer *timer, void *data)
{
  DlHttpCall *call = data;
  uint64_t due_ms = stall_due_ms (call);
  uint64_t now_ms = dl_clock_ms ();

  if (now_ms < due_ms)
    dl_timer_restart (timer, due_ms - now_ms);
  else
    dl_http_call_done (call, CURLE_OPERATION_TIMEDOUT);
}

/* -------- limits -------- */

void
dl_http_call_report_invalid (DlHttpCall *call, const char *what)
{
  char *ip = NULL;
  long port = 0;

  curl_easy_getinfo (call->easy, CURLINFO_PRIMARY_IP, &ip);
  curl_easy_getinfo (call->easy, CURLINFO_PRIMARY_PORT, &port);
  dl_metric_add (&metric_invalid, 1);
  dl_log (DL_EVENT_HTTP_INVALID, DL_TEXT ("peer", ip != NULL ? ip : ""),
          DL_INT ("port", port), DL_TEXT ("what", what),
          DL_TEXT ("request", call->id != NULL ? call->id : ""));
}

/* Notes, once, that the response is given up. */
static void
call_note_invalid (DlHttpCall *call, int error, const char *what)
{
  if (call->error != 0)
    return;
  call->error = error;
  if (!call->freed_in_callback)
    dl_http_call_report_invalid (call, what);
}

/* Notes that the response is given up if FAULT is one; returns whether it is. */
static bool
call_note_fault (DlHttpCall *call, DlHttpFault fault)
{
  if (fault == DL_HTTP_FAULT_NONE)
    return false;
  call_note_invalid (call, DL_ERR_MALFORMED, dl_http_fault_text (fault));
  return true;
}

static size_t
on_header (char *data, size_t size, size_t n, void *user)
{
  DlHttpCall *call = user;
  DlStr line = dl_str_bytes (data, size * n);
  size_t limit = call->options.max_head_bytes > 0 ? call->options.max_head_bytes
                                                  : HEAD_DEFAULT_MAX_BYTES;

  note_arrival (call);
  if (call_note_fault (call, dl_http_check_line (&call->check, line)))
    return CURL_WRITEFUNC_ERROR;
  call->framing_bytes = 0;
  call->head_bytes += size * n;
  call->head_lines++;
  if (call->head_bytes <= limit && call->head_lines <= HEAD_MAX_LINES)
    return size * n;
  call_note_invalid (call, DL_ERR_TOO_LARGE, "heads or trailers over the limit");
  return CURL_WRITEFUNC_ERROR;
}

static void
on_give_up (DlTimer *timer, void *data)
{
  dl_http_call_done (data, CURLE_RECV_ERROR);
}

/* Ends a call from the loop, where libcurl accepts no error from a callback. */
static void
call_give_up (DlHttpCall *call)
{
  if (call->give_up == NULL)
    call->give_up = dl_timer_subscribe (call->client->task, call, 0, 0, on_give_up, call);
}

/* Bytes of the body, as received. */
static void
call_note_received (DlHttpCall *call, DlStr bytes)
{
  call->framing_bytes += bytes.length;
  if (call_note_fault (call, dl_http_check_received (&call->check, bytes)))
    call_give_up (call);
  else if (call->framing_bytes > FRAMING_MAX_BYTES && call->error == 0)
    {
      call_note_invalid (call, DL_ERR_MALFORMED, "chunk framing without end");
      call_give_up (call);
    }
}

/* libcurl reports body bytes here before it removes the framing of chunks. */
static int
on_debug (CURL *easy, curl_infotype type, char *data, size_t length, void *user)
{
  DlHttpCall *call = user;
  DlStr bytes = dl_str_bytes (data, length);

  if (call->freed_in_callback)
    return 0;
  if (type == CURLINFO_DATA_IN)
    call_note_received (call, bytes);
  else if (type == CURLINFO_TEXT)
    call_note_fault (call, dl_http_check_note (&call->check, bytes));
  return 0;
}

/* -------- calls -------- */

static void
call_report_head (DlHttpCall *call)
{
  long status = 0;

  if (call->head_reported)
    return;
  call->head_reported = true;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  if (call->options.on_head != NULL)
    call->options.on_head (call, (unsigned)status, call->options.data);
}

static size_t
call_receive (DlHttpCall *call, DlStr bytes)
{
  note_arrival (call);
  call->framing_bytes = 0;
  if (call->error != 0)
    return CURL_WRITEFUNC_ERROR;
  call_report_head (call);
  if (call->freed_in_callback)
    return CURL_WRITEFUNC_ERROR;
  if (call->paused)
    return CURL_WRITEFUNC_PAUSE;
  if (call->options.on_data != NULL)
    call->options.on_data (call, bytes, call->options.data);
  else if (dl_buffer_append (call->body, bytes.data, bytes.length) < 0)
    {
      call_note_invalid (call, DL_ERR_TOO_LARGE, "a body over the limit");
      return CURL_WRITEFUNC_ERROR;
    }
  return call->freed_in_callback ? CURL_WRITEFUNC_ERROR : bytes.length;
}

static size_t
on_write (char *data, size_t size, size_t n, void *user)
{
  DlHttpCall *call = user;
  size_t consumed;

  call->in_callback = true;
  consumed = call_receive (call, dl_str_bytes (data, size * n));
  call->in_callback = false;
  return consumed;
}

static size_t
on_read (char *out, size_t size, size_t n, void *user)
{
  DlHttpCall *call = user;
  DlStr view = dl_buffer_view (call->request_body);
  size_t length = MIN (size * n, view.length);

  if (length > 0)
    memcpy (out, view.data, length);
  dl_buffer_consume (call->request_body, length);
  return length;
}

void
dl_http_call_release (DlHttpCall *call)
{
  if (call->easy == NULL)
    return;
  g_hash_table_remove (call->client->calls, call);
  curl_multi_remove_handle (call->client->multi, call->easy);
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  call->easy = NULL;
}

/* A call that its owner frees inside a callback is kept until libcurl has returned. */
static int
call_destroy (DlHttpCall *call)
{
  if (call->in_callback && !call->freed_in_callback)
    {
      call->freed_in_callback = true;
      talloc_steal (call->client, call);
      return -1;
    }
  dl_http_call_release (call);
  return 0;
}

static int
curl_error (CURLcode code, const DlHttpCall *call)
{
  if (call->error != 0)
    return call->error;
  switch (code)
    {
    case CURLE_OK:
      return 0;
    case CURLE_COULDNT_CONNECT:
      return DL_ERR_UNAVAILABLE;
    case CURLE_OPERATION_TIMEDOUT:
      return -ETIMEDOUT;
    case CURLE_BAD_CONTENT_ENCODING:
      return DL_ERR_MALFORMED;
    case CURLE_URL_MALFORMAT:
      return -EINVAL;
    default:
      return DL_ERR_CLOSED;
    }
}

/* True when the peer ended the connection, and not this side for what it received. */
static bool
is_broken_off (DlHttpCall *call, CURLcode code)
{
  long os_errno = 0;

  if (call->error != 0)
    return false;
  curl_easy_getinfo (call->easy, CURLINFO_OS_ERRNO, &os_errno);
  /* libcurl reports invalid chunks as errors of receiving, too. */
  return code == CURLE_PARTIAL_FILE || code == CURLE_GOT_NOTHING
         || code == CURLE_SEND_ERROR || (code == CURLE_RECV_ERROR && os_errno != 0);
}

/* True when a whole head has arrived that can be believed. */
static bool
has_head (const DlHttpCall *call)
{
  return dl_http_head_is_complete (&call->check.head);
}

/* libcurl takes a response for complete: also one whose head ends with its connection. */
static CURLcode
check_complete (DlHttpCall *call)
{
  if (!has_head (call))
    return CURLE_GOT_NOTHING;
  call_note_fault (call, dl_http_check_end (&call->check));
  return call->error == 0 ? CURLE_OK : CURLE_RECV_ERROR;
}

void
dl_http_call_done (DlHttpCall *call, CURLcode code)
{
  long status = 0;
  long request_bytes = 0;
  DlHttpResult result = { 0 };

  if (code == CURLE_OK)
    code = check_complete (call);
  if (code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_WEIRD_SERVER_REPLY)
    call_note_invalid (call, DL_ERR_MALFORMED, "bytes that are not HTTP");
  else if (code == CURLE_OUT_OF_MEMORY) /* over libcurl's own limit of 100 KiB */
    call_note_invalid (call, DL_ERR_TOO_LARGE, "a line of the head without end");
  result.error = curl_error (code, call);
  if (code == CURLE_OPERATION_TIMEDOUT && call->head_bytes == 0)
    dl_http_client_distrust (call->client, call->started_ms);
  if (has_head (call))
    curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (call->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  call->in_callback = true;
  if (!call->freed_in_callback && code == CURLE_OK)
    call_report_head (call);
  result.status = (unsigned)status;
  result.sent = request_bytes > 0;
  result.received_bytes = dl_http_call_progress (call).bytes;
  result.broken_off = is_broken_off (call, code);
  result.body = dl_buffer_view (call->body);
  if (!call->freed_in_callback)
    call->options.on_done (call, &result, call->options.data);
  call->in_callback = false;
  call->freed_in_callback = true;
  talloc_free (call);
}

static void
call_set_method (DlHttpCall *call)
{
  const DlHttpCallOptions *o = &call->options;

  if (o->method == NULL || strcmp (o->method, "GET") == 0)
    return;
  if (o->body.length > 0 || strcmp (o->method, "POST") == 0
      || strcmp (o->method, "PUT") == 0)
    {
      curl_easy_setopt (call->easy, CURLOPT_UPLOAD, 1L);
      curl_easy_setopt (call->easy, CURLOPT_READFUNCTION, on_read);
      curl_easy_setopt (call->easy, CURLOPT_READDATA, call);
      curl_easy_setopt (call->easy, CURLOPT_INFILESIZE_LARGE, (curl_off_t)o->body.length);
    }
  curl_easy_setopt (call->easy, CURLOPT_CUSTOMREQUEST, o->method);
}

/* Limits the TCP receive window before the connection is established. */
static int
on_socket_created (void *data, curl_socket_t fd, curlsocktype purpose)
{
  const DlHttpCall *call = data;
  int bytes = (int)call->options.receive_buffer_bytes;

  (void)setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  return CURL_SOCKOPT_OK;
}

static void
call_set_limits (DlHttpCall *call)
{
  const DlHttpCallOptions *o = &call->options;
  uint64_t connect_ms
      = o->connect_timeout_ms > 0 ? o->connect_timeout_ms : CONNECT_DEFAULT_TIMEOUT_MS;

  curl_easy_setopt (call->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_ms);
  curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS,
                    o->stall_ms > 0 ? (long)DL_HTTP_PROGRESS_MAX_MS
                                    : (long)o->timeout_ms);
  if (o->stall_ms > 0)
    call->stalled = dl_timer_subscribe (call->client->task, call, o->timeout_ms, 0,
                                        on_stall_check, call);
  if (o->receive_buffer_bytes > 0)
    {
      curl_easy_setopt (call->easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
      curl_easy_setopt (call->easy, CURLOPT_SOCKOPTDATA, call);
    }
}

/* Longest time in seconds for which a kept connection may have been idle to be used, or
 * -1 when none may be used.  libcurl counts whole seconds. */
static long
max_idle_s (const DlHttpCall *call)
{
  const DlHttpCallOptions *o = &call->options;
  uint64_t distrusted_ms = call->client->distrusted_ms;
  long idle_s = o->max_idle_s > 0 ? (long)o->max_idle_s : IDLE_DEFAULT_MAX_S;

  if (o->single_use || o->new_connection)
    return -1;
  if (distrusted_ms == 0)
    return idle_s;
  return MIN (idle_s, (long)((call->started_ms - distrusted_ms) / MILLISECONDS) - 1);
}

static void
call_set_connection (DlHttpCall *call)
{
  long idle_s = max_idle_s (call);

  if (idle_s < 0)
    curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
  else
    curl_easy_setopt (call->easy, CURLOPT_MAXAGE_CONN, idle_s);
  if (call->options.single_use)
    curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 1L);
}

DlHttpCall *
dl_http_call (DlHttpClient *client, const void *owner, const DlHttpCallOptions *options)
{
  DlHttpCall *call = talloc_zero (owner, DlHttpCall);

  g_assert (call != NULL && options->on_done != NULL);
  call->client = client;
  call->options = *options;
  call->started_ms = dl_clock_ms ();
  call->check = dl_http_check_begin ();
  call->id = talloc_strdup (call, options->id);
  call->request_body = dl_buffer_new (call, 0);
  dl_buffer_append (call->request_body, options->body.data, options->body.length);
  call->body = dl_buffer_new (call, options->max_body_bytes > 0 ? options->max_body_bytes
                                                                : BODY_DEFAULT_MAX_BYTES);
  call->easy = curl_easy_init ();
  g_assert (call->easy != NULL);
  call->headers = curl_slist_append (NULL, "Expect:");
  for (size_t i = 0; options->headers != NULL && options->headers[i] != NULL; i++)
    call->headers = curl_slist_append (call->headers, options->headers[i]);
  curl_easy_setopt (call->easy, CURLOPT_URL, options->url);
  curl_easy_setopt (call->easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (call->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (call->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (call->easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (call->easy, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER_BYTES);
  curl_easy_setopt (call->easy, CURLOPT_UPLOAD_BUFFERSIZE, UPLOAD_BUFFER_BYTES);
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (call->easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (call->easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_DEBUGFUNCTION, on_debug);
  curl_easy_setopt (call->easy, CURLOPT_DEBUGDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_VERBOSE, 1L); /* calls on_debug */
  curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, on_write);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
  if (options->target != NULL)
    curl_easy_setopt (call->easy, CURLOPT_REQUEST_TARGET, options->target);
  if (options->accepts_gzip)
    curl_easy_setopt (call->easy, CURLOPT_ACCEPT_ENCODING, "gzip");
  call_set_method (call);
  call_set_limits (call);
  call_set_connection (call);
  talloc_set_destructor (call, call_destroy);
  g_hash_table_add (client->calls, call);
  curl_multi_add_handle (client->multi, call->easy);
  return call;
}

DlHttpProgress
dl_http_call_progress (const DlHttpCall *call)
{
  curl_off_t bytes = 0;

  curl_easy_getinfo (call->easy, CURLINFO_SIZE_DOWNLOAD_T, &bytes);
  return (DlHttpProgress){ .bytes = (uint64_t)bytes, .arrived_ms = call->arrived_ms };
}

const char *
dl_http_call_header (DlHttpCall *call, const char *name)
{
  struct curl_header *header;

  if (curl_easy_header (call->easy, name, 0, CURLH_HEADER, -1, &header) != CURLHE_OK)
    return NULL;
  return header->value;
}

void
dl_http_call_each_header (DlHttpCall *call, DlHttpCallHeaderFunc func, void *data)
{
  struct curl_header *header = NULL;

  while ((header = curl_easy_nextheader (call->easy, CURLH_HEADER, -1, header)) != NULL)
    func (header->name, header->value, data);
}

/* curl_easy_pause may call back with buffered data at once, so it is called from the
 * loop. */
static void
on_resume (DlTimer *timer, void *data)
{
  DlHttpCall *call = data;

  TALLOC_FREE (call->resume);
  if (!call->paused && call->easy != NULL)
    {
      curl_easy_pause (call->easy, CURLPAUSE_CONT);
      dl_http_client_check_done (call->client);
    }
}

void
dl_http_call_pause (DlHttpCall *call, bool paused)
{
  if (call->paused == paused)
    return;
  call->paused = paused;
  if (!paused && call->resume == NULL)
    call->resume = dl_timer_subscribe (call->client->task, call, 0, 0, on_resume, call);
}
