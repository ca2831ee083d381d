/*
 * Numbered log events.
 *
 * Every log line is one of the events in events.def; docs/EVENTS.md describes what each
 * means and how to react to it.  Events are written as text or JSON lines, to standard
 * error through GLib's structured logging or, after dl_log_use_stdout, to standard
 * output.
 */
#ifndef DL_LOG_H
#define DL_LOG_H

#include <stdbool.h>
#include <stdint.h>

/* Number of an event of events.def. */
typedef enum
{
#define DL_EVENT_DEF(name, number, severity, text) DL_EVENT_##name = (number),
#include "kernel/events.def"
#undef DL_EVENT_DEF
} DlEvent;

/* Type of the value of a field; DL_FIELD_END is that of the last element, which has no
 * key. */
typedef enum
{
  DL_FIELD_END,
  DL_FIELD_TEXT,
  DL_FIELD_INT,
  DL_FIELD_UINT,
  DL_FIELD_ERROR,
} DlFieldType;

/* A named value logged with an event. */
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

/* Fields of an event.  DL_ERRNO takes a negative error number and logs its text. */
#define DL_TEXT(name, value) \
  ((DlField){ .key = (name), .type = DL_FIELD_TEXT, .text = (value) })
#define DL_INT(name, value) \
  ((DlField){ .key = (name), .type = DL_FIELD_INT, .number = (value) })
#define DL_UINT(name, value) \
  ((DlField){ .key = (name), .type = DL_FIELD_UINT, .unsigned_number = (value) })
#define DL_ERRNO(value) \
  ((DlField){ .key = "error", .type = DL_FIELD_ERROR, .error = (value) })

/* Logs an event with its fields, as in dl_log (DL_EVENT_X, DL_TEXT ("peer", name)). */
#define dl_log(event, ...) \
  dl_log_fields ((event), (const DlField[]){ __VA_ARGS__ __VA_OPT__ (, ){ .key = 0 } })

/* The same for a line without which nothing tells why a request ended as it did: the rate
 * limit has a reserve for such lines. */
#define dl_log_kept(event, ...) \
  dl_log_kept_fields ((event),  \
                      (const DlField[]){ __VA_ARGS__ __VA_OPT__ (, ){ .key = 0 } })

/* FIELDS ends with a NULL key. */
void dl_log_fields (DlEvent event, const DlField *fields);
void dl_log_kept_fields (DlEvent event, const DlField *fields);

/* Makes later events go to standard output, which is set to non-blocking.  Lines beyond
 * the rate limit, and lines that the output does not accept, are dropped; their number is
 * logged (LOG_DROPPED). */
void dl_log_use_stdout (void);
/* Sets PROGRAM and NAME (the instance), which every event carries, and the format: JSON
 * lines or text.  DEBUG events are logged only if DAISYLOFT_DEBUG is set in the
 * environment. */
void dl_log_open (const char *program, const char *name, bool json);

#endif
