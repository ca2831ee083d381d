/*
 * Blocking HTTP requests through libcurl.
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "daisyctl.h"
#include "kernel/http_check.h"

#define CONNECT_TIMEOUT_MS 2000L
#define TIMEOUT_MS         10000L
#define RESPONSE_MAX_BYTES (256u << 20)

/* What arrives of a response. */
typedef struct
{
  DlHttpCheck check;
  DlBuffer *body;
} Arrival;

static int
on_socket_created (void *user, curl_socket_t fd, curlsocktype purpose)
{
  Arrival *arrival = user;

  arrival->check.fd = fd;
  return CURL_SOCKOPT_OK;
}

static size_t
on_header (char *data, size_t size, size_t n, void *user)
{
  Arrival *arrival = user;
  DlStr line = dl_str_bytes (data, size * n);

  return dl_http_check_line (&arrival->check, line) == DL_HTTP_FAULT_NONE ? line.length
                                                                          : 0;
}

static int
on_debug (CURL *easy, curl_infotype type, char *data, size_t length, void *user)
{
  Arrival *arrival = user;

  if (type == CURLINFO_DATA_IN)
    (void)dl_http_check_received (&arrival->check, dl_str_bytes (data, length));
  else if (type == CURLINFO_TEXT)
    (void)dl_http_check_note (&arrival->check, dl_str_bytes (data, length));
  return 0;
}

static size_t
on_write (char *data, size_t size, size_t n, void *user)
{
  Arrival *arrival = user;

  if (arrival->check.fault != DL_HTTP_FAULT_NONE)
    return 0;
  return dl_buffer_append (arrival->body, data, size * n) < 0 ? 0 : size * n;
}

static struct curl_slist *
make_headers (const Request *request)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");

  headers = curl_slist_append (headers, "Content-Type: application/json");
  if (request->key != NULL)
    {
      char *line = g_strdup_printf ("Authorization: Bearer %s", request->key);

      headers = curl_slist_append (headers, line);
      g_free (line);
    }
  return headers;
}

static json_object *
parse_body (DlStr text)
{
  struct json_tokener *tokener = json_tokener_new ();
  json_object *body = json_tokener_parse_ex (tokener, text.data, (int)text.length);

  json_tokener_free (tokener);
  if (json_object_is_type (body, json_type_object))
    return body;
  json_object_put (body);
  return NULL;
}

/* Has libcurl report all of a response to ARRIVAL. */
static void
set_callbacks (CURL *easy, Arrival *arrival)
{
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTDATA, arrival);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, arrival);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_write);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, arrival);
  curl_easy_setopt (easy, CURLOPT_DEBUGFUNCTION, on_debug);
  curl_easy_setopt (easy, CURLOPT_DEBUGDATA, arrival);
  curl_easy_setopt (easy, CURLOPT_VERBOSE, 1L); /* calls on_debug */
}

static void
set_options (CURL *easy, const Request *request, const char *url)
{
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    request->timeout_ms > 0 ? request->timeout_ms : TIMEOUT_MS);
  /* libcurl resends a request when a reused connection dies: use a new one each time. */
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  if (strcmp (request->method, "GET") != 0)
    {
      curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)request->body.length);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                        request->body.length > 0 ? request->body.data : "");
    }
}

/* Why there is no response; NULL when there is one. */
static const char *
error_text (Arrival *arrival, CURLcode code)
{
  if (code == CURLE_OK && !dl_http_head_is_complete (&arrival->check.head))
    code = CURLE_GOT_NOTHING;
  if (code == CURLE_OK)
    (void)dl_http_check_end (&arrival->check);
  if (arrival->check.fault != DL_HTTP_FAULT_NONE)
    return dl_http_fault_text (arrival->check.fault);
  return code == CURLE_OK ? NULL : curl_easy_strerror (code);
}

Response
http_call (const Request *request)
{
  CURL *easy = curl_easy_init ();
  Arrival arrival = { .check = dl_http_check_begin (),
                      .body = dl_buffer_new (NULL, RESPONSE_MAX_BYTES) };
  char *url = g_strdup_printf ("http://%s%s", request->address, request->path);
  struct curl_slist *headers = make_headers (request);
  Response response = { .entry = request->address };
  CURLcode code;
  long status = 0;
  long sent = 0;

  set_options (easy, request, url);
  set_callbacks (easy, &arrival);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (easy, CURLINFO_REQUEST_SIZE, &sent);
  response.sent = sent > 0;
  response.error = error_text (&arrival, code);
  if (response.error == NULL)
    {
      response.status = (unsigned)status;
      response.body = parse_body (dl_buffer_view (arrival.body));
    }
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  g_free (url);
  talloc_free (arrival.body);
  return response;
}

void
response_clear (Response *response)
{
  json_object_put (response->body);
  response->body = NULL;
}
