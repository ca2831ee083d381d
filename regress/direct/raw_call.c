#include "raw_call.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kernel/address.h"

#define READ_BYTES 16384
#define US_PER_MS  1000

bool
raw_call_open (RawCall *c, const char *address)
{
  struct sockaddr_in at;

  c->fd = -1;
  if (dl_address_parse (dl_str (address), &at) < 0)
    return false;
  c->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (c->fd, (const struct sockaddr *)&at, sizeof at) == 0)
    return true;
  close (c->fd);
  c->fd = -1;
  return false;
}

char *
raw_call_text (const RawCall *c,
               const char *target,
               unsigned deadline_ms,
               const char *body)
{
  return g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: %s\r\n"
      "Authorization: Token key1\r\nX-Deadline-Ms: %u\r\nContent-Length: %zu\r\n\r\n%s",
      body != NULL ? "POST" : "GET", target, c->id, deadline_ms,
      body != NULL ? strlen (body) : 0, body != NULL ? body : "");
}

bool
raw_call_send (RawCall *c, const char *bytes, size_t length)
{
  bool sent = send (c->fd, bytes, length, MSG_NOSIGNAL) == (ssize_t)length;

  c->sent_us = g_get_monotonic_time ();
  return sent;
}

/* -------- the response -------- */

static size_t
content_length (const Response *r)
{
  char *text = response_header (r, "Content-Length");
  size_t length = text != NULL ? (size_t)g_ascii_strtoull (text, NULL, 10) : SIZE_MAX;

  g_free (text);
  return length;
}

static bool
is_chunked (const Response *r)
{
  char *text = response_header (r, "Transfer-Encoding");
  bool chunked = text != NULL && g_ascii_strcasecmp (text, "chunked") == 0;

  g_free (text);
  return chunked;
}

/* Joins the chunks of BODY; true when the last one is there. */
static bool
join_chunks (const char *body, size_t length, GString *joined)
{
  const char *end = body + length;

  while (body < end)
    {
      const char *line = memmem (body, (size_t)(end - body), "\r\n", 2);
      size_t size = strtoul (body, NULL, 16);

      if (line == NULL)
        return false;
      if (size == 0)
        return line + 4 <= end;
      if ((size_t)(end - line) < size + 4)
        return false;
      g_string_append_len (joined, line + 2, (gssize)size);
      body = line + 2 + size + 2;
    }
  return false;
}

/* Reads RESPONSE from the bytes that were received; true when it is complete. */
static bool
parse_response (const GString *bytes, Response *r)
{
  const char *body = strstr (bytes->str, "\r\n\r\n");
  GString *joined = g_string_new (NULL);
  size_t length;

  response_free (r);
  if (body != NULL && sscanf (bytes->str, "HTTP/1.1 %d", &r->status) == 1)
    {
      body += 4;
      r->headers = g_strndup (bytes->str, (gsize)(body - bytes->str));
      length = bytes->len - (size_t)(body - bytes->str);
      if (is_chunked (r))
        r->complete = join_chunks (body, length, joined);
      else
        {
          g_string_append_len (joined, body, (gssize)length);
          r->complete = length == content_length (r);
        }
    }
  r->body = g_string_free (joined, FALSE);
  return r->complete;
}

void
raw_call_end (RawCall *c, unsigned wait_ms, bool keep)
{
  gint64 until_us = g_get_monotonic_time () + (gint64)wait_ms * US_PER_MS;
  GString *bytes = g_string_new (NULL);
  char buffer[READ_BYTES];
  ssize_t n = 1;

  while (c->fd >= 0 && n > 0 && !parse_response (bytes, &c->response))
    {
      gint64 left_us = until_us - g_get_monotonic_time ();
      struct pollfd p = { .fd = c->fd, .events = POLLIN };

      if (left_us <= 0 || poll (&p, 1, (int)(left_us / US_PER_MS) + 1) <= 0)
        break;
      n = recv (c->fd, buffer, sizeof buffer, 0);
      if (n > 0)
        g_string_append_len (bytes, buffer, n);
    }
  c->ended_us = g_get_monotonic_time ();
  g_string_free (bytes, TRUE);
  if (!keep && c->fd >= 0)
    {
      close (c->fd);
      c->fd = -1;
    }
}

void
raw_call_free (RawCall *c)
{
  if (c->fd >= 0)
    close (c->fd);
  g_free (c->id);
  response_free (&c->response);
  *c = (RawCall){ .fd = -1 };
}
