#include "policy/resume.h"

#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <talloc.h>

DlResume *
dl_resume_new (const void *context, uint32_t first_token)
{
  DlResume *resume = talloc_zero (context, DlResume);

  g_assert (resume != NULL);
  resume->next_token = first_token;
  resume->line = dl_buffer_new (resume, DL_RESUME_LINE_MAX_BYTES);
  return resume;
}

void
dl_resume_restart (DlResume *resume)
{
  dl_buffer_clear (resume->line);
  if (resume->state == DL_RESUME_BROKEN)
    resume->state = DL_RESUME_MORE;
}

static void
count_attempt (DlResume *resume, bool is_not_run, uint64_t now_ms)
{
  if (!is_not_run)
    {
      resume->attempts++;
      resume->refusals = 0;
    }
  else if (resume->refusals++ == 0)
    resume->refused_ms = now_ms;
}

bool
dl_resume_attempt_ended (DlResume *resume,
                         bool is_not_run,
                         uint64_t now_ms,
                         uint64_t *delay_ms)
{
  unsigned failures;

  count_attempt (resume, is_not_run, now_ms);
  if (is_not_run ? now_ms - resume->refused_ms >= DL_RESUME_WAIT_MS
                 : resume->attempts > DL_RESUME_ATTEMPTS_MAX)
    return false;
  /* The first time at once; later with a backoff that lets upstreams recover. */
  failures = MIN (resume->attempts + resume->refusals, DL_RESUME_ATTEMPTS_MAX);
  *delay_ms = failures > 1 ? (uint64_t)DL_RESUME_BACKOFF_MS * failures : 0;
  return true;
}

static json_object *
parse_line (DlStr line)
{
  struct json_tokener *tokener = json_tokener_new ();
  json_object *object = json_tokener_parse_ex (tokener, line.data, (int)line.length);

  json_tokener_free (tokener);
  if (!json_object_is_type (object, json_type_object))
    {
      json_object_put (object);
      return NULL;
    }
  return object;
}

static bool
get_number (json_object *object, const char *key, int64_t *number)
{
  json_object *value;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_int))
    return false;
  *number = json_object_get_int64 (value);
  return true;
}

/* Checks one line; *PASS is set when the caller is to get it. */
static DlResumeState
check_line (DlResume *resume, DlStr line, bool *pass)
{
  json_object *object = parse_line (line);
  json_object *done = NULL;
  DlResumeState state = DL_RESUME_BROKEN;
  int64_t number;

  *pass = false;
  if (object == NULL)
    return DL_RESUME_BROKEN;
  if (get_number (object, "token", &number))
    {
      if (number >= 0 && number <= resume->next_token)
        state = DL_RESUME_MORE;
      if (number == resume->next_token)
        {
          resume->next_token++;
          *pass = true;
        }
    }
  else if (json_object_object_get_ex (object, "done", &done)
           && json_object_get_boolean (done) && get_number (object, "tokens", &number)
           && number == resume->next_token)
    {
      state = DL_RESUME_DONE;
      *pass = true;
    }
  json_object_put (object);
  return state;
}

DlResumeState
dl_resume_feed (DlResume *resume, DlStr bytes, DlBuffer *out)
{
  while (resume->state == DL_RESUME_MORE && bytes.length > 0)
    {
      const char *end = memchr (bytes.data, '\n', bytes.length);
      size_t length = end != NULL ? (size_t)(end - bytes.data) + 1 : bytes.length;
      DlStr line;
      bool pass;

      if (dl_buffer_append (resume->line, bytes.data, length) < 0)
        {
          resume->state = DL_RESUME_BROKEN;
          break;
        }
      bytes = dl_str_bytes (bytes.data + length, bytes.length - length);
      if (end == NULL)
        break;
      line = dl_buffer_view (resume->line);
      resume->state = check_line (resume, line, &pass);
      if (pass)
        dl_buffer_append (out, line.data, line.length);
      dl_buffer_clear (resume->line);
    }
  return resume->state;
}
