/*
 * Requests to entries.  When an entry is down or cannot answer, the next one is used.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "daisyctl.h"
#include "query/json_get.h"

#define QUERY_TIMEOUT_MS  3000L
#define HTTP_OK           200
#define HTTP_BAD_REQUEST  400
#define HTTP_UNAUTHORIZED 401

/* Index of the entry that answered the last query.  It is tried first, so that an entry
 * that is down or hangs delays the live screen by its timeout only once. */
static size_t preferred_entry;

static char *
entry_at (const Options *options, size_t index)
{
  return options->entries[(preferred_entry + index) % g_strv_length (options->entries)];
}

static void
set_preferred (const Options *options, size_t index)
{
  preferred_entry = (preferred_entry + index) % g_strv_length (options->entries);
}

static Response
send_request (const Options *options,
              const char *method,
              const char *entry,
              const char *path,
              json_object *body,
              long timeout_ms)
{
  const char *text = "";

  if (body != NULL)
    text = json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN);
  return http_call (&(Request){
      .method = method,
      .address = entry,
      .path = path,
      .key = options->key,
      .body = dl_str (text),
      .timeout_ms = timeout_ms,
  });
}

/* True when another entry would give the same response. */
static bool
is_final (const Response *response)
{
  return (response->status == HTTP_OK && response->body != NULL)
         || response->status == HTTP_BAD_REQUEST || response->status == HTTP_UNAUTHORIZED;
}

/* Keeps in KEPT one of two responses that are not final: an HTTP response is more
 * informative than none. */
static void
keep_better (Response *kept, Response *other)
{
  bool sent = kept->sent || other->sent;

  if (kept->status == 0)
    {
      response_clear (kept);
      *kept = *other;
    }
  else
    response_clear (other);
  kept->sent = sent;
}

Response
client_query (const Options *options, const char *text, uint64_t revision)
{
  Response best = { .error = "no entry given" };
  json_object *body = json_object_new_object ();
  size_t count = g_strv_length (options->entries);

  dl_json_add_text (body, "text", text);
  if (revision > 0)
    dl_json_add_uint (body, "revision", revision);
  for (size_t i = 0; i < count && !is_final (&best); i++)
    {
      Response response = send_request (options, "POST", entry_at (options, i),
                                        "/v1/query", body, QUERY_TIMEOUT_MS);

      if (is_final (&response))
        {
          response_clear (&best);
          best = response;
          set_preferred (options, i);
        }
      else
        keep_better (&best, &response);
    }
  json_object_put (body);
  return best;
}

/* True when the next entry need not be queried. */
static bool
has_known_outcome (const Response *response)
{
  const char *outcome = dl_json_text (response->body, "outcome");

  return is_final (response) && strcmp (outcome, "unknown") != 0;
}

/* Sends the request to the entries in turn until one reports an outcome other than
 * "unknown".  Otherwise returns the last final response, or the most informative other.
 */
static Response
fetch_outcome (const Options *options,
               const char *method,
               const char *path,
               json_object *body)
{
  Response best = { .error = "no entry given" };
  size_t count = g_strv_length (options->entries);

  for (size_t i = 0; i < count && !has_known_outcome (&best); i++)
    {
      Response response
          = send_request (options, method, entry_at (options, i), path, body, 0);

      if (is_final (&response))
        {
          response_clear (&best);
          best = response;
        }
      else if (!is_final (&best))
        keep_better (&best, &response);
      else
        response_clear (&response);
    }
  return best;
}

Response
client_command (const Options *options,
                const char *text,
                const char *id,
                json_object *value)
{
  json_object *body = json_object_new_object ();
  Response response;

  dl_json_add_text (body, "text", text);
  dl_json_add_text (body, "id", id);
  dl_json_add_text (body, "by", options->by);
  if (options->at > 0)
    dl_json_add_uint (body, "revision", options->at);
  if (value != NULL)
    json_object_object_add (body, "value", json_object_get (value));
  response = fetch_outcome (options, "POST", "/v1/command", body);
  json_object_put (body);
  return response;
}

Response
client_outcome (const Options *options, const char *id)
{
  char *path = talloc_asprintf (NULL, "/v1/command?id=%s", id);
  Response response = fetch_outcome (options, "GET", path, NULL);

  talloc_free (path);
  return response;
}

ExitStatus
client_report_failure (const Response *response)
{
  const char *error = dl_json_text (response->body, "error");

  if (response->status == 0)
    {
      fprintf (stderr, "daisyctl: no entry responds: %s\n", response->error);
      return EXIT_UNREACHABLE;
    }
  fprintf (stderr, "daisyctl: %s: %s\n", response->entry,
           error[0] != '\0' ? error : "invalid response");
  switch (response->status)
    {
    case HTTP_UNAUTHORIZED:
      return EXIT_UNAUTHORIZED;
    case HTTP_BAD_REQUEST:
      return EXIT_USAGE;
    case 429:
    case 503:
      return EXIT_UNREACHABLE;
    default:
      return EXIT_REFUSED;
    }
}
