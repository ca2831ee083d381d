/*
 * Numbered log events.
 *
 * Every line that a program logs is one of the events of events.def, which docs/EVENTS.md
 * lists with what each means and what to do.  Events go through GLib's structured logging
 * to standard error, as text or as JSON lines.
 */
#ifndef DL_LOG_H
#define DL_LOG_H

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
#define DL_EVENT_DEF(name, number, severity, text) DL_EVENT_##name = (number),
#include "kernel/events.def"
#undef DL_EVENT_DEF
} DlEvent;

typedef enum
{
  DL_FIELD_END,
  DL_FIELD_TEXT,
  DL_FIELD_INT,
  DL_FIELD_UINT,
  DL_FIELD_ERROR,
} DlFieldType;

/* One named value of an event. */
typedef struct
{
  const char *key;
  DlFieldType type;
  union
  {
    const char *text;
    int64_t number;
    uint64_t unsigned_number;
    int error;
  };
} DlField;

#define DL_TEXT(name, value) \
  ((DlField){ .key = (name), .type = DL_FIELD_TEXT, .text = (value) })
#define DL_INT(name, value) \
  ((DlField){ .key = (name), .type = DL_FIELD_INT, .number = (value) })
#define DL_UINT(name, value) \
  ((DlField){ .key = (name), .type = DL_FIELD_UINT, .unsigned_number = (value) })
#define DL_ERRNO(value) \
  ((DlField){ .key = "error", .type = DL_FIELD_ERROR, .error = (value) })

/* Logs an event with its fields: dl_log (DL_EVENT_X, DL_TEXT ("peer", name)). */
#define dl_log(event, ...) \
  dl_log_fields ((event), (const DlField[]){ __VA_ARGS__ __VA_OPT__ (, ){ .key = 0 } })

void dl_log_fields (DlEvent event, const DlField *fields);

/* Writes to standard output from now on, without ever blocking: a line that the output
 * does not take, or beyond a rate, is dropped and counted (LOG_DROPPED). */
void dl_log_use_stdout (void);
/* Sets how events are written; PROGRAM and NAME (the instance) stand in every event. */
void dl_log_open (const char *program, const char *name, bool json);

#endif
