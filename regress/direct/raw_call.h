/*
 * Requests written to a socket byte by byte, for tests in which it matters when a
 * connection is opened and what part of a request has been sent.
 */
#ifndef RAW_CALL_H
#define RAW_CALL_H

#include "direct.h"

typedef struct
{
  char *id;
  int fd;            /* -1: the connection was not opened */
  unsigned kind;     /* as the test counts its kinds of request */
  gint64 sent_us;    /* when the last byte was sent */
  gint64 ended_us;   /* when the response or the connection had ended */
  Response response; /* valid after raw_call_end */
} RawCall;

/* A kind of request. */
typedef struct
{
  const char *target;
  const char *body; /* NULL for none */
  unsigned deadline_ms;
} RawKind;

/* Opens a connection to ADDRESS; false when it is refused. */
bool raw_call_open (RawCall *call, const char *address);
/* Writes the head of a request to TARGET with a valid key, and BODY, NULL for none. */
char *raw_call_text (const RawCall *call,
                     const char *target,
                     unsigned deadline_ms,
                     const char *body);
bool raw_call_send (RawCall *call, const char *bytes, size_t length);
/* Receives the response up to its end, for WAIT_MS at most.  Without KEEP closes the
 * connection. */
void raw_call_end (RawCall *call, unsigned wait_ms, bool keep);
void raw_call_free (RawCall *call);

#endif
