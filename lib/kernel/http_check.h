/*
 * Checks the response of one libcurl transfer while it arrives.
 *
 * libcurl accepts much that is no response, and how much depends on its release.  The
 * owner of a transfer passes on what libcurl's callbacks report, and gives the transfer
 * up at the first fault: nothing that a malformed response says is to be believed.
 *
 * Bytes after the end of a response are found where they have arrived with its last ones
 * or before these were read.
 */
#ifndef DL_HTTP_CHECK_H
#define DL_HTTP_CHECK_H

#include "kernel/http_framing.h"

/* A socket that is not known. */
#define DL_HTTP_NO_SOCKET (-1)

typedef struct
{
  DlHttpHead head;
  DlHttpFraming framing; /* once the head is complete */
  bool has_empty_body;   /* by the head, once that is complete */
  int fd;                /* of the connection, or DL_HTTP_NO_SOCKET; owned by libcurl */
  DlHttpFault fault;     /* the first one */
} DlHttpCheck;

/* Returns the state before the first byte of a response. */
DlHttpCheck dl_http_check_begin (void);
/* The functions below return the first fault so far, or DL_HTTP_FAULT_NONE. */

/* A line of a head, or of the trailers, from CURLOPT_HEADERFUNCTION. */
DlHttpFault dl_http_check_line (DlHttpCheck *check, DlStr line);
/* Bytes after the head as they were received: CURLINFO_DATA_IN, from
 * CURLOPT_DEBUGFUNCTION. */
DlHttpFault dl_http_check_received (DlHttpCheck *check, DlStr bytes);
/* What libcurl tells in words: CURLINFO_TEXT, from CURLOPT_DEBUGFUNCTION. */
DlHttpFault dl_http_check_note (DlHttpCheck *check, DlStr text);
/* libcurl takes the response for complete. */
DlHttpFault dl_http_check_end (DlHttpCheck *check);

#endif
