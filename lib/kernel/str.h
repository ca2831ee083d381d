/*
 * Length-counted strings and a growable byte buffer.
 */
#ifndef DL_STR_H
#define DL_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A view of LENGTH bytes at DATA.  It owns nothing; DATA need not end in a NUL. */
typedef struct
{
  const char *data;
  size_t length;
} DlStr;

#define DL_STR_LITERAL(text)       \
  ((DlStr){                        \
      .data = (text),              \
      .length = sizeof (text) - 1, \
  })
/* For printf's "%.*s". */
#define DL_STR_ARG(str) (int)(str).length, (str).data

/* Returns a view of a NUL-terminated TEXT; NULL gives the empty string. */
DlStr dl_str (const char *text);
DlStr dl_str_bytes (const void *data, size_t length);
bool dl_str_equal (DlStr a, DlStr b);
/* Orders as memcmp does, a prefix before its extensions. */
int dl_str_compare (DlStr a, DlStr b);
bool dl_str_has_prefix (DlStr text, DlStr prefix);
/* Copies into a NUL-terminated talloc string below CONTEXT. */
char *dl_str_dup (const void *context, DlStr text);
/* Replaces control characters by "?", so that foreign text stays on one line. */
void dl_text_make_printable (char *text);
/* Parses a decimal number without sign; returns 0, -EINVAL or -ERANGE. */
int dl_str_to_uint64 (DlStr text, uint64_t *value);

/* Bytes that grow at the end and are consumed from the start. */
typedef struct
{
  uint8_t *data;   /* talloc block below the buffer's context */
  size_t start;    /* index of the first byte not yet consumed */
  size_t length;   /* bytes held, from START on */
  size_t capacity; /* size of the block */
  size_t limit;    /* most bytes that may be held; 0 for none */
} DlBuffer;

DlBuffer *dl_buffer_new (const void *context, size_t limit);
/* Returns 0 or DL_ERR_TOO_LARGE, when nothing is appended. */
int dl_buffer_append (DlBuffer *buffer, const void *data, size_t length);
int dl_buffer_printf (DlBuffer *buffer, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void dl_buffer_consume (DlBuffer *buffer, size_t length);
void dl_buffer_clear (DlBuffer *buffer);
DlStr dl_buffer_view (const DlBuffer *buffer);

#endif
