/*
 * Blocking HTTP requests through libcurl.
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "daisyctl.h"

#define CONNECT_TIMEOUT_MS 2000L
#define TIMEOUT_MS         10000L
#define RESPONSE_MAX_BYTES (256u << 20)

static size_t
on_write (char *data, size_t size, size_t n, void *user)
{
  return dl_buffer_append (user, data, size * n) < 0 ? 0 : size * n;
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

static void
set_options (CURL *easy, const Request *request, const char *url, DlBuffer *buffer)
{
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    request->timeout_ms > 0 ? request->timeout_ms : TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_write);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, buffer);
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

Response
http_call (const Request *request)
{
  CURL *easy = curl_easy_init ();
  DlBuffer *buffer = dl_buffer_new (NULL, RESPONSE_MAX_BYTES);
  char *url = g_strdup_printf ("http://%s%s", request->address, request->path);
  struct curl_slist *headers = make_headers (request);
  Response response = { .entry = request->address };
  CURLcode code;
  long status = 0;
  long sent = 0;

  set_options (easy, request, url, buffer);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (easy, CURLINFO_REQUEST_SIZE, &sent);
  response.sent = sent > 0;
  if (code != CURLE_OK)
    response.error = curl_easy_strerror (code);
  else
    {
      response.status = (unsigned)status;
      response.body = parse_body (dl_buffer_view (buffer));
    }
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  g_free (url);
  talloc_free (buffer);
  return response;
}

void
response_clear (Response *response)
{
  json_object_put (response->body);
  response->body = NULL;
}
