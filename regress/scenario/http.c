/*
 * A small HTTP client over curl's multi interface, independent of the HTTP client under
 * test.
 */
#include <string.h>

#include "scenario.h"

#define CONNECT_TIMEOUT_MS 2000
#define JSON_TIMEOUT_MS    3000
#define ITERATION_MS       20

static size_t
on_body (char *data, size_t size, size_t n, void *user)
{
  HttpCall *call = user;

  if (call->first_byte_us == 0)
    call->first_byte_us = (uint64_t)g_get_monotonic_time ();
  g_string_append_len (call->body, data, (gssize)(size * n));
  return size * n;
}

HttpCall *
http_start (Scenario *s,
            const char *method,
            const char *url,
            char *const *headers,
            const char *body,
            size_t length,
            uint64_t timeout_ms,
            HttpFunc func,
            void *data)
{
  HttpCall *call = g_new0 (HttpCall, 1);

  call->func = func;
  call->data = data;
  call->body = g_string_new (NULL);
  call->request_body = g_memdup2 (body != NULL ? body : "", length + 1);
  call->easy = curl_easy_init ();
  call->headers = curl_slist_append (NULL, "Expect:");
  for (size_t i = 0; headers != NULL && headers[i] != NULL; i++)
    call->headers = curl_slist_append (call->headers, headers[i]);
  call->started_us = (uint64_t)g_get_monotonic_time ();
  curl_easy_setopt (call->easy, CURLOPT_URL, url);
  curl_easy_setopt (call->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (call->easy, CURLOPT_NOSIGNAL, 1L);
  /* The library may resend a request by itself when a reused connection breaks. */
  curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (call->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
  if (strcmp (method, "GET") != 0)
    {
      curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)length);
      curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, call->request_body);
      curl_easy_setopt (call->easy, CURLOPT_CUSTOMREQUEST, method);
    }
  curl_multi_add_handle (s->multi, call->easy);
  return call;
}

const char *
http_header (HttpCall *call, const char *name)
{
  struct curl_header *header;

  return curl_easy_header (call->easy, name, 0, CURLH_HEADER, -1, &header) == CURLHE_OK
             ? header->value
             : NULL;
}

void
http_free (Scenario *s, HttpCall *call)
{
  curl_multi_remove_handle (s->multi, call->easy);
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  g_string_free (call->body, TRUE);
  g_free (call->request_body);
  g_free (call);
}

void
http_iterate (Scenario *s, struct pollfd *fds, unsigned count, int wait_ms)
{
  struct curl_waitfd *extra = g_new0 (struct curl_waitfd, count + 1);
  CURLMsg *message;
  int running;
  int left;

  for (unsigned i = 0; i < count; i++)
    extra[i] = (struct curl_waitfd){ .fd = fds[i].fd, .events = fds[i].events };
  curl_multi_poll (s->multi, extra, count, wait_ms, NULL);
  g_free (extra);
  curl_multi_perform (s->multi, &running);
  while ((message = curl_multi_info_read (s->multi, &left)) != NULL)
    if (message->msg == CURLMSG_DONE)
      {
        HttpCall *call = NULL;

        curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
        call->code = message->data.result;
        curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &call->status);
        call->done_us = (uint64_t)g_get_monotonic_time ();
        call->done = true;
        if (call->func != NULL)
          call->func (call, call->data);
      }
}

HttpCall *
http_wait (Scenario *s,
           const char *method,
           const char *url,
           char *const *headers,
           const char *body,
           size_t length,
           uint64_t timeout_ms)
{
  HttpCall *call
      = http_start (s, method, url, headers, body, length, timeout_ms, NULL, NULL);

  while (!call->done)
    scn_iterate (s, ITERATION_MS);
  return call;
}

json_object *
http_json (Scenario *s, const char *url)
{
  HttpCall *call = http_wait (s, "GET", url, NULL, NULL, 0, JSON_TIMEOUT_MS);
  json_object *json = NULL;

  if (call->code == CURLE_OK && call->status == 200)
    json = json_tokener_parse (call->body->str);
  http_free (s, call);
  return json;
}
