/*
 * Strings with a length, and a growable byte buffer.
 */
#ifndef DL_STR_H
#define DL_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A view of LENGTH bytes at DATA, which it does not own.  No NUL need follow them. */
typedef struct
{
  const char *data;
  size_t length;
} DlStr;

/* A view of a string literal. */
#define DL_STR_LITERAL(text)       \
  ((DlStr){                        \
      .data = (text),              \
      .length = sizeof (text) - 1, \
  })
/* The two arguments of printf's "%.*s". */
#define DL_STR_ARG(str) (int)(str).length, (str).data

/* Returns a view of a NUL-terminated string; for NULL, an empty one. */
DlStr dl_str (const char *text);
/* Returns a view of LENGTH bytes at DATA. */
DlStr dl_str_bytes (const void *data, size_t length);
bool dl_str_equal (DlStr a, DlStr b);
/* Compares bytewise; a prefix sorts before longer strings. */
int dl_str_compare (DlStr a, DlStr b);
bool dl_str_has_prefix (DlStr text, DlStr prefix);
/* Returns a NUL-terminated copy, a talloc child of CONTEXT. */
char *dl_str_dup (const void *context, DlStr text);
/* Replaces control characters by "?", so that text from outside stays on one line. */
void dl_text_make_printable (char *text);
/* Parses an unsigned decimal number.  Returns 0, -EINVAL or -ERANGE. */
int dl_str_to_uint64 (DlStr text, uint64_t *value);

/* A byte buffer that grows at the end and is consumed from the start. */
typedef struct
{
  uint8_t *data;   /* talloc child of the buffer */
  size_t start;    /* index of the first byte not yet consumed */
  size_t length;   /* bytes in the buffer, from START on */
  size_t capacity; /* size of DATA */
  size_t limit;    /* maximum LENGTH; 0 for none */
} DlBuffer;

/* Returns an empty buffer, a talloc child of CONTEXT; LIMIT 0 means no limit. */
DlBuffer *dl_buffer_new (const void *context, size_t limit);
/* Both return 0, or DL_ERR_TOO_LARGE when the limit would be exceeded; nothing is
 * appended then. */
int dl_buffer_append (DlBuffer *buffer, const void *data, size_t length);
int dl_buffer_printf (DlBuffer *buffer, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Removes LENGTH bytes, which must be there, from the start. */
void dl_buffer_consume (DlBuffer *buffer, size_t length);
/* Removes all bytes. */
void dl_buffer_clear (DlBuffer *buffer);
/* Removes all bytes and frees their memory. */
void dl_buffer_reset (DlBuffer *buffer);
/* The capacity that the buffer will have once LENGTH more bytes have been appended. */
size_t dl_buffer_capacity_for (const DlBuffer *buffer, size_t length);
/* A view of the contents; invalid once the buffer changes. */
DlStr dl_buffer_view (const DlBuffer *buffer);

#endif
