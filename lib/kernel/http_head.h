/*
 * What the head of an HTTP response may be, and what it says of the body's framing.
 *
 * The lines of a response are judged one by one, before any of them is believed: those of
 * interim heads, then those of the head.  The grammar is that of RFC 9112
 * (sections 2, 4, 5 and 6) and RFC 9110 (sections 5.1, 5.5 and 8.6).  Where these let a
 * proxy choose between repairing a response and refusing it, it is refused.
 */
#ifndef DL_HTTP_HEAD_H
#define DL_HTTP_HEAD_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/str.h"

/* What makes bytes no response. */
typedef enum
{
  DL_HTTP_FAULT_NONE,
  DL_HTTP_FAULT_STATUS_LINE, /* no status line, or none of HTTP/1 */
  DL_HTTP_FAULT_STATUS,      /* outside of 100 to 599, or 101, which none asks for */
  DL_HTTP_FAULT_FIELD_LINE,  /* no name and colon, or the continuation of a field */
  DL_HTTP_FAULT_FIELD_NAME,  /* empty, or with a byte that no name has */
  DL_HTTP_FAULT_FIELD_VALUE, /* with a control byte */
  DL_HTTP_FAULT_LENGTH,      /* Content-Length is no number, or tells several */
  DL_HTTP_FAULT_CODING,      /* Transfer-Encoding is not "chunked", once */
  DL_HTTP_FAULT_LENGTH_AND_CODING, /* both */
  DL_HTTP_FAULT_CHUNK,             /* the framing of a chunk */
  DL_HTTP_FAULT_SURPLUS,           /* bytes after the end that the head tells */
} DlHttpFault;

/* The line of a response that is expected next. */
typedef enum
{
  DL_HTTP_STAGE_STATUS_LINE,
  DL_HTTP_STAGE_FIELDS,
  DL_HTTP_STAGE_COMPLETE, /* none */
} DlHttpHeadStage;

/* How the end of a body is marked. */
typedef enum
{
  DL_HTTP_BODY_LENGTH, /* by a length, which is 0 where a status has no body */
  DL_HTTP_BODY_CHUNKED,
  DL_HTTP_BODY_UNTIL_CLOSE, /* by the end of the connection */
} DlHttpBodyKind;

typedef struct
{
  DlHttpBodyKind kind;
  uint64_t length; /* bytes, for DL_HTTP_BODY_LENGTH */
} DlHttpBody;

/* The heads of one response.  All zero before the first line. */
typedef struct
{
  DlHttpHeadStage stage;
  unsigned status; /* of the last status line */
  bool is_http_1_0;
  bool has_length;
  uint64_t length; /* bytes, by Content-Length */
  bool is_chunked; /* by Transfer-Encoding */
} DlHttpHead;

/* Judges the next line of a head that is not complete; it ends with CRLF or LF.  After a
 * fault the head is not to be used. */
DlHttpFault dl_http_head_add_line (DlHttpHead *head, DlStr line);
/* True once the blank line after the head has been added; interim heads do not count. */
bool dl_http_head_is_complete (const DlHttpHead *head);
/* Returns how the body of a complete head is framed. */
DlHttpBody dl_http_head_body (const DlHttpHead *head);
/* True for the bytes that names of fields have. */
bool dl_http_is_name_byte (char c);
/* True for those that values have: also blanks, and bytes beyond ASCII. */
bool dl_http_is_value_byte (char c);
/* A text for logs; NULL for DL_HTTP_FAULT_NONE. */
const char *dl_http_fault_text (DlHttpFault fault);

#endif
