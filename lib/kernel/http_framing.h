/*
 * Where the body of an HTTP response ends, by its bytes as they arrive.
 *
 * Follows a body by its length or its chunks (RFC 9112, section 7.1), to find malformed
 * chunks and trailers, and bytes after the end.  The body itself is decoded by libcurl.
 */
#ifndef DL_HTTP_FRAMING_H
#define DL_HTTP_FRAMING_H

#include "kernel/http_head.h"

/* The part of a chunked body that is expected next. */
typedef enum
{
  DL_HTTP_CHUNK_SIZE,
  DL_HTTP_CHUNK_BLANK,     /* between the size and the extension */
  DL_HTTP_CHUNK_EXTENSION, /* ignored */
  DL_HTTP_CHUNK_SIZE_LF,
  DL_HTTP_CHUNK_DATA,
  DL_HTTP_CHUNK_DATA_CR,
  DL_HTTP_CHUNK_DATA_LF,
  DL_HTTP_CHUNK_TRAILER_START, /* of a trailer, or of the blank line at the end */
  DL_HTTP_CHUNK_TRAILER_NAME,
  DL_HTTP_CHUNK_TRAILER_VALUE,
  DL_HTTP_CHUNK_TRAILER_LF,
  DL_HTTP_CHUNK_LAST_LF,
} DlHttpChunkStage;

typedef struct
{
  DlHttpBodyKind kind;
  DlHttpChunkStage stage;   /* for chunks */
  unsigned size_digits;     /* read of the size of a chunk */
  uint64_t remaining_bytes; /* of the body by its length, or of the chunk */
  bool is_complete;
} DlHttpFraming;

/* Returns the state before the first byte of BODY. */
DlHttpFraming dl_http_framing_begin (DlHttpBody body);
/* Takes the next bytes of the connection, as received, up to the end of the body. Returns
 * the first fault in them; *REST are those that follow the end. */
DlHttpFault dl_http_framing_feed (DlHttpFraming *framing, DlStr bytes, DlStr *rest);
/* Judges BYTES that follow a complete response: another response, which belongs to no
 * request, leaves it as it is; anything else shows that its length was wrong. */
DlHttpFault dl_http_framing_judge_rest (DlStr bytes);

#endif
