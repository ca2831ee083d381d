/*
 * A caller's request and an upstream's answer, as the decisions need them.
 */
#ifndef DL_CALLER_REQUEST_H
#define DL_CALLER_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/http_server.h"
#include "kernel/str.h"

/* Texts belong to the HTTP request. */
typedef struct
{
  const char *id;  /* of this try of the caller; "" when it sent none */
  const char *key; /* NULL when it sent none */
  DlStr host;
  DlStr path;             /* as the caller wrote it, without the query */
  uint64_t remaining_ms;  /* that the caller will still wait; 0 when not told */
  uint64_t last_event_id; /* that it already has of a stream; 0 for none */
  uint64_t prompt_tokens;
  size_t header_bytes; /* of all headers */
} DlCallerRequest;

/* What one try of a request carries beyond what the caller sent. */
typedef struct
{
  uint64_t remaining_ms;
  const char *organisation; /* NULL: none; the key is passed on only then */
  const char *upstream;     /* id of the only one that may take it */
  uint64_t version;         /* only weights of this version; 0 for any */
  uint64_t last_event_id;   /* the stream goes on after it; 0 from the start */
} DlForwardOptions;

/* The head of an upstream's answer. */
typedef struct
{
  bool not_run;       /* the upstream says that it did not run the request */
  bool is_mismatched; /* it answers another request, or is not the upstream's own body */
  bool has_seal;      /* it carries the upstream's proof of its answer */
  bool is_events;     /* a stream of events */
  bool has_load;
  unsigned running;
  unsigned waiting;
  unsigned slots;
} DlResponseHead;

#endif
