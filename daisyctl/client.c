/*
 * Asks entries: the next one when one is down or cannot answer.
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

/* Index of the entry that answered last: it is asked first, so that one that is down or
 * frozen costs a screen its timeout only once. */
static size_t preferred;

static char *
entry_at (const Options *options, size_t index)
{
  return options->entries[(preferred + index) % g_strv_length (options->entries)];
}

static void
prefer (const Options *options, size_t index)
{
  preferred = (preferred + index) % g_strv_length (options->entries);
}

static Answer
ask (const Options *options,
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

/* True when another entry would say the same. */
static bool
is_final (const Answer *answer)
{
  return (answer->status == HTTP_OK && answer->body != NULL)
         || answer->status == HTTP_BAD_REQUEST || answer->status == HTTP_UNAUTHORIZED;
}

/* Keeps, of two answers that are not final, the one that says more. */
static void
keep_better (Answer *kept, Answer *other)
{
  bool sent = kept->sent || other->sent;

  if (kept->status == 0)
    {
      answer_clear (kept);
      *kept = *other;
    }
  else
    answer_clear (other);
  kept->sent = sent;
}

Answer
client_query (const Options *options, const char *text, uint64_t revision)
{
  Answer best = { .error = "no entry is given" };
  json_object *body = json_object_new_object ();
  size_t count = g_strv_length (options->entries);

  dl_json_add_text (body, "text", text);
  if (revision > 0)
    dl_json_add_uint (body, "revision", revision);
  for (size_t i = 0; i < count && !is_final (&best); i++)
    {
      Answer answer = ask (options, "POST", entry_at (options, i), "/v1/query", body,
                           QUERY_TIMEOUT_MS);

      if (is_final (&answer))
        {
          answer_clear (&best);
          best = answer;
          prefer (options, i);
        }
      else
        keep_better (&best, &answer);
    }
  json_object_put (body);
  return best;
}

/* True for an outcome that the next entry need not be asked for. */
static bool
is_outcome (const Answer *answer)
{
  const char *outcome = dl_json_text (answer->body, "outcome");

  return is_final (answer) && strcmp (outcome, "unknown") != 0;
}

/* Asks the entries until one tells the outcome; an unknown one is kept meanwhile. */
static Answer
ask_outcome (const Options *options,
             const char *method,
             const char *path,
             json_object *body)
{
  Answer best = { .error = "no entry is given" };
  size_t count = g_strv_length (options->entries);

  for (size_t i = 0; i < count && !is_outcome (&best); i++)
    {
      Answer answer = ask (options, method, entry_at (options, i), path, body, 0);

      if (is_final (&answer))
        {
          answer_clear (&best);
          best = answer;
        }
      else if (!is_final (&best))
        keep_better (&best, &answer);
      else
        answer_clear (&answer);
    }
  return best;
}

Answer
client_command (const Options *options,
                const char *text,
                const char *id,
                json_object *value)
{
  json_object *body = json_object_new_object ();
  Answer answer;

  dl_json_add_text (body, "text", text);
  dl_json_add_text (body, "id", id);
  dl_json_add_text (body, "by", options->by);
  if (options->at > 0)
    dl_json_add_uint (body, "revision", options->at);
  if (value != NULL)
    json_object_object_add (body, "value", json_object_get (value));
  answer = ask_outcome (options, "POST", "/v1/command", body);
  json_object_put (body);
  return answer;
}

Answer
client_ask (const Options *options, const char *id)
{
  char *path = talloc_asprintf (NULL, "/v1/command?id=%s", id);
  Answer answer = ask_outcome (options, "GET", path, NULL);

  talloc_free (path);
  return answer;
}

ExitStatus
client_report_failure (const Answer *answer)
{
  const char *error = dl_json_text (answer->body, "error");

  if (answer->status == 0)
    {
      fprintf (stderr, "daisyctl: no entry answers: %s\n", answer->error);
      return EXIT_UNREACHABLE;
    }
  fprintf (stderr, "daisyctl: %s: %s\n", answer->entry,
           error[0] != '\0' ? error : "an answer that is not understood");
  switch (answer->status)
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
