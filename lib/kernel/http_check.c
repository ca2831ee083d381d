#include "kernel/http_check.h"

#include <glib.h>
#include <sys/socket.h>

/* Enough to tell another response from anything else. */
#define PEEKED_BYTES 8

DlHttpCheck
dl_http_check_begin (void)
{
  return (DlHttpCheck){ .fd = DL_HTTP_NO_SOCKET };
}

static DlHttpFault
note_fault (DlHttpCheck *check, DlHttpFault fault)
{
  if (check->fault == DL_HTTP_FAULT_NONE)
    check->fault = fault;
  return check->fault;
}

/* Judges what has arrived after a complete response and was not read. */
static DlHttpFault
judge_unread (const DlHttpCheck *check)
{
  char bytes[PEEKED_BYTES];
  ssize_t n;

  if (check->fd == DL_HTTP_NO_SOCKET)
    return DL_HTTP_FAULT_NONE;
  n = recv (check->fd, bytes, sizeof bytes, MSG_PEEK | MSG_DONTWAIT);
  /* The end of the connection, or an error of it, is no concern of this response. */
  return n > 0 ? dl_http_framing_judge_rest (dl_str_bytes (bytes, (size_t)n))
               : DL_HTTP_FAULT_NONE;
}

static void
begin_body (DlHttpCheck *check)
{
  check->framing = dl_http_framing_begin (dl_http_head_body (&check->head));
  check->has_empty_body = check->framing.is_complete;
  if (check->has_empty_body)
    note_fault (check, judge_unread (check));
}

DlHttpFault
dl_http_check_line (DlHttpCheck *check, DlStr line)
{
  /* Trailers have been judged with the chunks. */
  if (check->fault != DL_HTTP_FAULT_NONE || dl_http_head_is_complete (&check->head))
    return check->fault;
  note_fault (check, dl_http_head_add_line (&check->head, line));
  if (check->fault == DL_HTTP_FAULT_NONE && dl_http_head_is_complete (&check->head))
    begin_body (check);
  return check->fault;
}

DlHttpFault
dl_http_check_received (DlHttpCheck *check, DlStr bytes)
{
  DlStr rest;

  if (check->fault != DL_HTTP_FAULT_NONE || !dl_http_head_is_complete (&check->head)
      || check->framing.is_complete)
    return check->fault;
  note_fault (check, dl_http_framing_feed (&check->framing, bytes, &rest));
  if (check->framing.is_complete)
    note_fault (check, rest.length > 0 ? dl_http_framing_judge_rest (rest)
                                       : judge_unread (check));
  return check->fault;
}

DlHttpFault
dl_http_check_note (DlHttpCheck *check, DlStr text)
{
  /* Of the bytes after an empty body, libcurl tells in no other way. */
  if (check->has_empty_body && dl_str_has_prefix (text, DL_STR_LITERAL ("Excess found")))
    note_fault (check, DL_HTTP_FAULT_SURPLUS);
  return check->fault;
}

DlHttpFault
dl_http_check_end (DlHttpCheck *check)
{
  if (check->framing.kind == DL_HTTP_BODY_CHUNKED && !check->framing.is_complete)
    note_fault (check, DL_HTTP_FAULT_CHUNK);
  return check->fault;
}
