/* Heads of a server's responses, its refusals and the limit that it names. */
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "server.h"
#include "weights.h"

#define MS_PER_S        1000.0
#define MILLIS_PER_UNIT 1000.0

static uint64_t limit_named_ms; /* when a response first named the limit; 0: none did */
static GArray *limited_ms;      /* arrivals of the last LIMIT_WINDOW_MS since */
static uint64_t limited_most;   /* most of them at once */
static uint64_t wrong_version;  /* requests refused as they expected another version */

const char *
server_header (DlHttpRequest *request, const char *name)
{
  const char *value = dl_http_request_header (request, name);

  return value != NULL ? value : "";
}

/* The header that names the limit, with its value in TEXT of NAME_BYTES. */
static DlHttpHeader
limit_header (char *text)
{
  if (limit_named_ms == 0)
    {
      limit_named_ms = dl_clock_ms ();
      limited_most = 0;
      g_array_set_size (limited_ms, 0);
    }
  g_snprintf (text, NAME_BYTES, "%.3f",
              (double)server_knobs.limit_millis / MILLIS_PER_UNIT);
  return (DlHttpHeader){ .name = "Server-Limit", .value = text };
}

void
server_count_limited (void)
{
  uint64_t now_ms = dl_clock_ms ();

  if (server_knobs.limit_millis == 0)
    limit_named_ms = 0;
  if (limit_named_ms == 0 || now_ms < limit_named_ms + LIMIT_AFTER_MS)
    return;
  g_array_append_val (limited_ms, now_ms);
  while (g_array_index (limited_ms, uint64_t, 0) + LIMIT_WINDOW_MS < now_ms)
    g_array_remove_index (limited_ms, 0);
  limited_most = MAX (limited_most, limited_ms->len);
}

const DlHttpHeader *
server_response_headers (DlHttpRequest *request, ServerHeaders *h)
{
  size_t count = 0;

  g_strlcpy (h->id,
             standin_count_down (&server_knobs.foreign)
                 ? "another"
                 : server_header (request, "X-Request-Id"),
             sizeof h->id);
  g_snprintf (h->seal, sizeof h->seal, "seal-of-i-%" PRIu64, server_knobs.instance);
  g_snprintf (h->versions, sizeof h->versions, "%" PRIu64, staged_version);
  h->headers[count++] = (DlHttpHeader){ .name = "X-Request-Id", .value = h->id };
  h->headers[count++]
      = (DlHttpHeader){ .name = "X-Weight-Versions", .value = h->versions };
  if (!standin_count_down (&server_knobs.unsealed))
    h->headers[count++] = (DlHttpHeader){ .name = "X-Response-Seal", .value = h->seal };
  if (server_knobs.leaving)
    h->headers[count++] = (DlHttpHeader){ .name = "Server-Leaving", .value = "1" };
  if (server_knobs.limit_millis > 0)
    h->headers[count++] = limit_header (h->limit);
  h->headers[count] = (DlHttpHeader){ 0 };
  return h->headers;
}

void
server_refuse_as (DlHttpRequest *request, unsigned status, const char *id)
{
  char seconds[NAME_BYTES];
  char limit[NAME_BYTES];
  DlHttpHeader headers[6] = { { 0 } };
  size_t count = 0;

  if (id != NULL)
    headers[count++] = (DlHttpHeader){ .name = "X-Request-Id", .value = id };
  if (!server_knobs.unmarked)
    headers[count++] = (DlHttpHeader){ .name = "X-Not-Executed", .value = "1" };
  if (server_knobs.leaving)
    headers[count++] = (DlHttpHeader){ .name = "Server-Leaving", .value = "1" };
  if (server_knobs.retry_after_ms > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%.3f",
                  (double)server_knobs.retry_after_ms / MS_PER_S);
      headers[count++] = (DlHttpHeader){ .name = "Retry-After", .value = seconds };
    }
  if (server_knobs.limit_millis > 0)
    headers[count] = limit_header (limit);
  dl_http_reply (request, status, NULL, DL_STR_LITERAL (""), headers);
}

void
server_refuse (DlHttpRequest *request, unsigned status)
{
  server_refuse_as (request, status, server_header (request, "X-Request-Id"));
}

void
server_reply_error_resumed (DlHttpRequest *request)
{
  char seal[NAME_BYTES];
  const DlHttpHeader headers[]
      = { { .name = "X-Request-Id", .value = server_header (request, "X-Request-Id") },
          { .name = server_knobs.error_sealed ? "X-Response-Seal" : NULL, .value = seal },
          { 0 } };

  g_snprintf (seal, sizeof seal, "seal-of-i-%" PRIu64, server_knobs.instance);
  dl_http_reply (request, (unsigned)server_knobs.error_resumed, "text/plain",
                 DL_STR_LITERAL ("id: 4\ndata: error text\n\n"), headers);
}

bool
server_expectation_fails (DlHttpRequest *request)
{
  const char *expected = dl_http_request_header (request, "X-Expect-Instance");
  const char *weights = dl_http_request_header (request, "X-Expect-Version");
  char own[NAME_BYTES];

  g_snprintf (own, sizeof own, "i-%" PRIu64, server_knobs.instance);
  if (weights != NULL && g_ascii_strtoull (weights, NULL, 10) != staged_version)
    {
      wrong_version++;
      return true;
    }
  return expected != NULL && strcmp (expected, own) != 0;
}

void
server_reply_done (DlHttpRequest *request)
{
  ServerHeaders headers;

  dl_http_reply (request, standin_count_down (&server_knobs.fail) ? 500 : 200,
                 "text/plain", DL_STR_LITERAL ("done"),
                 server_response_headers (request, &headers));
}

void
server_responses_start (void)
{
  limited_ms = g_array_new (FALSE, FALSE, sizeof (uint64_t));
}

void
server_responses_record (json_object *records)
{
  standin_json_set_uint (records, "limited_most", limited_most);
  standin_json_set_uint (records, "wrong_version", wrong_version);
}
