#include "kernel/log.h"

#include <fcntl.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <glib.h>

#include "kernel/error.h"
#include "kernel/kernel.h"

#define LINE_BYTES      4096
#define LINES_PER_S     40
#define LINES_BURST     200
#define MS_PER_S        1000
#define DROPPED_TELL_MS 5000

typedef struct
{
  DlEvent event;
  GLogLevelFlags level;
  const char *severity;
  const char *text;
} EventInfo;

#define LEVEL_ERROR   G_LOG_LEVEL_CRITICAL
#define LEVEL_WARNING G_LOG_LEVEL_WARNING
#define LEVEL_INFO    G_LOG_LEVEL_INFO
#define LEVEL_DEBUG   G_LOG_LEVEL_DEBUG

static const EventInfo event_infos[] = {
#define DL_EVENT_DEF(name, number, severity, text) \
  { DL_EVENT_##name, LEVEL_##severity, #severity, text },
#include "kernel/events.def"
#undef DL_EVENT_DEF
};

static struct
{
  char program[32];
  char name[128];
  bool json;
  bool debug;
  bool to_stdout;
  double lines_left;   /* that may be written now; grows by LINES_PER_S */
  uint64_t filled_ms;  /* when lines_left was last raised */
  uint64_t dropped;    /* lines, since the last LOG_DROPPED */
  uint64_t dropped_ms; /* when the first of them was */
} log_state = { .program = "daisyloft" };

static const EventInfo *
event_info (DlEvent event)
{
  for (size_t i = 0; i < G_N_ELEMENTS (event_infos); i++)
    if (event_infos[i].event == event)
      return &event_infos[i];
  g_assert_not_reached ();
}

/* True when the rate lets one more line out. */
static bool
take_line (uint64_t now_ms)
{
  uint64_t passed_ms = now_ms - log_state.filled_ms;

  log_state.lines_left += (double)passed_ms * LINES_PER_S / MS_PER_S;
  log_state.lines_left = MIN (log_state.lines_left, LINES_BURST);
  log_state.filled_ms = now_ms;
  if (log_state.lines_left < 1)
    return false;
  log_state.lines_left -= 1;
  return true;
}

/* A line goes out whole or not at all, as far as the output allows. */
static bool
write_line (const char *text)
{
  char line[LINE_BYTES];
  int length = snprintf (line, sizeof line, "%s\n", text);

  if (length >= (int)sizeof line)
    {
      length = sizeof line;
      line[length - 1] = '\n';
    }
  return write (STDOUT_FILENO, line, (size_t)length) == length;
}

static void
write_stdout (const char *text)
{
  uint64_t now_ms = dl_clock_ms ();

  if (!take_line (now_ms) || !write_line (text))
    {
      if (log_state.dropped++ == 0)
        log_state.dropped_ms = now_ms;
      return;
    }
  if (log_state.dropped > 0 && now_ms - log_state.dropped_ms >= DROPPED_TELL_MS)
    {
      uint64_t lines = log_state.dropped;

      log_state.dropped = 0;
      dl_log (DL_EVENT_LOG_DROPPED, DL_UINT ("lines", lines));
    }
}

void
dl_log_use_stdout (void)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  log_state.to_stdout = true;
  log_state.lines_left = LINES_BURST;
  log_state.filled_ms = dl_clock_ms ();
}

static GLogWriterOutput
log_writer (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
  if ((level & G_LOG_LEVEL_DEBUG) != 0 && !log_state.debug)
    return G_LOG_WRITER_HANDLED;
  for (gsize i = 0; i < n; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      {
        if (log_state.to_stdout)
          write_stdout (fields[i].value);
        else
          fprintf (stderr, "%s\n", (const char *)fields[i].value);
      }
  return G_LOG_WRITER_HANDLED;
}

void
dl_log_open (const char *program, const char *name, bool json)
{
  static bool opened;

  g_strlcpy (log_state.program, program, sizeof log_state.program);
  g_strlcpy (log_state.name, name, sizeof log_state.name);
  log_state.json = json;
  log_state.debug = g_getenv ("DAISYLOFT_DEBUG") != NULL;
  if (!opened)
    g_log_set_writer_func (log_writer, NULL, NULL);
  opened = true;
}

static char *
format_json (const EventInfo *info, const DlField *fields)
{
  json_object *object = json_object_new_object ();
  char *line;

  json_object_object_add (object, "time_ms",
                          json_object_new_uint64 (dl_wall_clock_ms ()));
  json_object_object_add (object, "program", json_object_new_string (log_state.program));
  json_object_object_add (object, "name", json_object_new_string (log_state.name));
  json_object_object_add (object, "event", json_object_new_int ((int)info->event));
  json_object_object_add (object, "severity", json_object_new_string (info->severity));
  json_object_object_add (object, "message", json_object_new_string (info->text));
  for (const DlField *f = fields; f->key != NULL; f++)
    {
      json_object *value = NULL;

      switch (f->type)
        {
        case DL_FIELD_TEXT:
          value = json_object_new_string (f->text != NULL ? f->text : "");
          break;
        case DL_FIELD_INT:
          value = json_object_new_int64 (f->number);
          break;
        case DL_FIELD_UINT:
          value = json_object_new_uint64 (f->unsigned_number);
          break;
        case DL_FIELD_ERROR:
          value = json_object_new_string (dl_strerror (f->error));
          break;
        case DL_FIELD_END:
          break;
        }
      json_object_object_add (object, f->key, value);
    }
  line = g_strdup (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return line;
}

static char *
format_text (const EventInfo *info, const DlField *fields)
{
  GString *line = g_string_new (NULL);

  g_string_printf (line, "%s[%s]: %d %s: %s", log_state.program, log_state.name,
                   (int)info->event, info->severity, info->text);
  for (const DlField *f = fields; f->key != NULL; f++)
    switch (f->type)
      {
      case DL_FIELD_TEXT:
        g_string_append_printf (line, " %s=%s", f->key, f->text != NULL ? f->text : "");
        break;
      case DL_FIELD_INT:
        g_string_append_printf (line, " %s=%" G_GINT64_FORMAT, f->key, f->number);
        break;
      case DL_FIELD_UINT:
        g_string_append_printf (line, " %s=%" G_GUINT64_FORMAT, f->key,
                                f->unsigned_number);
        break;
      case DL_FIELD_ERROR:
        g_string_append_printf (line, " %s=\"%s\"", f->key, dl_strerror (f->error));
        break;
      case DL_FIELD_END:
        break;
      }
  return g_string_free (line, FALSE);
}

void
dl_log_fields (DlEvent event, const DlField *fields)
{
  const EventInfo *info = event_info (event);
  char number[16];
  char *line;

  if (info->level == G_LOG_LEVEL_DEBUG && !log_state.debug)
    return;
  line = log_state.json ? format_json (info, fields) : format_text (info, fields);
  snprintf (number, sizeof number, "%d", (int)event);
  g_log_structured_array (info->level,
                          (GLogField[]){
                              { .key = "MESSAGE", .value = line, .length = -1 },
                              { .key = "EVENT", .value = number, .length = -1 },
                          },
                          2);
  g_free (line);
}
