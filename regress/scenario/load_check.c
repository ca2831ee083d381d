/*
 * Checks that a response is complete and belongs to its request.
 */
#include <inttypes.h>
#include <string.h>

#include "kernel/crypt.h"
#include "load.h"

#define TEXT_HEX_BYTES 16

static const char *
json_text (json_object *object, const char *key)
{
  json_object *value;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_string (value)
                                                         : "";
}

/* Whether TEXT is what an engine with the weights VERSION produces as token INDEX. */
static bool
token_is_right (const char *text, const char *version, const char *prompt, uint64_t index)
{
  DlDigest digest = dl_digest (dl_str (prompt));
  char hex[DL_DIGEST_HEX_BYTES];
  char line[256];

  dl_digest_to_hex (&digest, hex);
  g_snprintf (line, sizeof line, "%s\n%s\n%" PRIu64, version, hex, index);
  digest = dl_digest (dl_str (line));
  dl_digest_to_hex (&digest, hex);
  return strlen (text) == TEXT_HEX_BYTES && strncmp (text, hex, TEXT_HEX_BYTES) == 0;
}

/* Classifies the lines of a stream whose transfer was complete. */
static LoadCounter
classify_lines (const Request *r, const char *version, char **lines)
{
  uint64_t next = 0;
  bool done = false;
  int outcome = -1;

  for (unsigned i = 0; lines[i] != NULL && outcome < 0; i++)
    {
      json_object *line = *lines[i] != '\0' ? json_tokener_parse (lines[i]) : NULL;
      json_object *value;

      if (line == NULL)
        continue;
      if (json_object_object_get_ex (line, "cut_off", NULL))
        outcome = CUT_OFF;
      else if (json_object_object_get_ex (line, "done", NULL))
        done = true;
      else if (done || !json_object_object_get_ex (line, "token", &value)
               || json_object_get_uint64 (value) != next)
        outcome = LOST;
      else if (!token_is_right (json_text (line, "text"), version, r->prompt, next))
        outcome = MIXED;
      next++;
      json_object_put (line);
    }
  if (outcome >= 0)
    return (LoadCounter)outcome;
  return done && next == r->load->tokens + 1 ? ANSWERED : LOST;
}

static LoadCounter
classify_stream (const Request *r)
{
  const char *version = http_header (r->call, "X-Version");
  char **lines;
  LoadCounter outcome;

  if (version == NULL)
    return LOST;
  lines = g_strsplit (r->call->body->str, "\n", -1);
  outcome = classify_lines (r, version, lines);
  g_strfreev (lines);
  return outcome;
}

static LoadCounter
classify_plain (const Request *r)
{
  json_object *response = json_tokener_parse (r->call->body->str);
  Outcomes *outcomes = load_outcomes (r->load->scenario, r->tag);
  LoadCounter outcome = ANSWERED;

  if (response == NULL)
    return LOST;
  if (strcmp (json_text (response, "key"), r->tag) != 0)
    outcome = CROSSED;
  else if (outcomes->response == NULL)
    outcomes->response = g_strdup (r->call->body->str);
  else if (r->load->keyed && strcmp (outcomes->response, r->call->body->str) != 0)
    outcome = CHANGED;
  json_object_put (response);
  return outcome;
}

static LoadCounter
classify_error (const Request *r)
{
  json_object *body = json_tokener_parse (r->call->body->str);
  const char *reported = body != NULL ? json_text (body, "outcome") : "";
  LoadCounter outcome = REJECTED;

  if (strcmp (reported, "not_run") == 0)
    outcome = REFUSED;
  else if (r->call->status >= 500 || strcmp (reported, "unknown") == 0)
    outcome = UNCERTAIN;
  json_object_put (body);
  return outcome;
}

LoadCounter
load_classify (const Request *r)
{
  if (r->call->code == CURLE_OPERATION_TIMEDOUT)
    return LOST;
  if (r->call->code != CURLE_OK)
    return BROKEN;
  if (r->call->status != 200)
    return classify_error (r);
  return r->load->method != NULL ? classify_plain (r) : classify_stream (r);
}
