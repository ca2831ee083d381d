#include "kernel/log.h"

#include <fcntl.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <glib.h>

#include "kernel/error.h"
#include "kernel/kernel.h"
#include "kernel/log_rate.h"
#include "kernel/metrics.h"

#define LINE_BYTES 4096

DL_METRIC (metric_lines,
           DL_METRIC_COUNTER,
           "daisy_log_lines_total",
           "Log lines written to standard output.")
DL_METRIC (metric_dropped,
           DL_METRIC_COUNTER,
           "daisy_log_dropped_total",
           "Log lines dropped: over the rate limit, or the output was full.")

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
  DlLogRate rate;
} log_state = { .program = "daisyloft" };

static const EventInfo *
event_info (DlEvent event)
{
  for (size_t i = 0; i < G_N_ELEMENTS (event_infos); i++)
    if (event_infos[i].event == event)
      return &event_infos[i];
  g_assert_not_reached ();
}

/* Writes TEXT as one line in a single call, cut to LINE_BYTES.  Returns whether the
 * output accepted all of it. */
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

void
dl_log_use_stdout (void)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  log_state.to_stdout = true;
  dl_log_rate_init (&log_state.rate, dl_clock_ms ());
}

static GLogWriterOutput
log_writer (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
  if ((level & G_LOG_LEVEL_DEBUG) != 0 && !log_state.debug)
    return G_LOG_WRITER_HANDLED;
  for (gsize i = 0; i < n; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      fprintf (stderr, "%s\n", (const char *)fields[i].value);
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

/* -------- writing -------- */

static char *
format (const EventInfo *info, const DlField *fields)
{
  return log_state.json ? format_json (info, fields) : format_text (info, fields);
}

static bool
write_event (DlEvent event, const DlField *fields)
{
  char *line = format (event_info (event), fields);
  bool written = write_line (line);

  g_free (line);
  dl_metric_add (written ? &metric_lines : &metric_dropped, 1);
  return written;
}

/* Events about a single request have its id as their first field. */
static DlLogClass
class_of (const DlField *fields)
{
  bool is_request = fields[0].key != NULL && strcmp (fields[0].key, "request") == 0;

  return is_request ? DL_LOG_REQUEST : DL_LOG_STATE;
}

/* Reports how many lines were dropped; the report is not subject to the rate limit. */
static void
report_dropped (uint64_t now_ms)
{
  uint64_t lines = dl_log_rate_report (&log_state.rate, now_ms);

  if (lines > 0
      && !write_event (DL_EVENT_LOG_DROPPED,
                       (const DlField[]){ DL_UINT ("lines", lines), { .key = 0 } }))
    dl_log_rate_drop (&log_state.rate, lines, now_ms);
}

/* Lines over the rate limit are dropped before they are formatted. */
static void
log_to_stdout (DlEvent event, DlLogClass class, const DlField *fields)
{
  uint64_t now_ms = dl_clock_ms ();

  if (!dl_log_rate_take (&log_state.rate, class, now_ms))
    {
      dl_metric_add (&metric_dropped, 1);
      dl_log_rate_drop (&log_state.rate, 1, now_ms);
    }
  else if (!write_event (event, fields))
    dl_log_rate_drop (&log_state.rate, 1, now_ms);
  report_dropped (now_ms);
}

static void
log_to_glib (const EventInfo *info, const DlField *fields)
{
  char number[16];
  char *line = format (info, fields);

  snprintf (number, sizeof number, "%d", (int)info->event);
  g_log_structured_array (info->level,
                          (GLogField[]){
                              { .key = "MESSAGE", .value = line, .length = -1 },
                              { .key = "EVENT", .value = number, .length = -1 },
                          },
                          2);
  g_free (line);
}

static void
log_event (DlEvent event, DlLogClass class, const DlField *fields)
{
  const EventInfo *info = event_info (event);

  if (info->level == G_LOG_LEVEL_DEBUG && !log_state.debug)
    return;
  if (log_state.to_stdout)
    log_to_stdout (event, class, fields);
  else
    log_to_glib (info, fields);
}

void
dl_log_fields (DlEvent event, const DlField *fields)
{
  log_event (event, class_of (fields), fields);
}

void
dl_log_kept_fields (DlEvent event, const DlField *fields)
{
  log_event (event, DL_LOG_KEPT, fields);
}
