/*
 * Asks entries: the next one when one is down or cannot answer.
 */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "daisyctl.h"
#include "query/json_get.h"

#define HTTP_OK           200
#define HTTP_BAD_REQUEST  400
#define HTTP_UNAUTHORIZED 401

static Answer
ask (const Options *options,
     const char *method,
     const char *entry,
     const char *path,
     json_object *body)
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

  dl_json_add_text (body, "text", text);
  if (revision > 0)
    dl_json_add_uint (body, "revision", revision);
  for (char **e = options->entries; *e != NULL && !is_final (&best); e++)
    {
      Answer answer = ask (options, "POST", *e, "/v1/query", body);

      if (is_final (&answer))
        {
          answer_clear (&best);
          best = answer;
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

  for (char **e = options->entries; *e != NULL && !is_outcome (&best); e++)
    {
      Answer answer = ask (options, method, *e, path, body);

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
