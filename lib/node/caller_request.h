/*
 * Those parts of a caller's request and an upstream's response that decisions depend on.
 */
#ifndef DL_CALLER_REQUEST_H
#define DL_CALLER_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/http_server.h"
#include "kernel/str.h"
#include "policy/signature.h"

/* A caller's request; strings belong to the HTTP request. */
typedef struct
{
  const char *id;  /* request id of this attempt of the caller; "" for none */
  const char *key; /* NULL when the caller sent none */
  DlStr host;
  DlStr path;             /* as the caller sent it, without the query */
  uint64_t remaining_ms;  /* time that the caller will still wait; 0 when unknown */
  uint64_t last_event_id; /* last event of a stream that the caller has; 0 for none */
  uint64_t prompt_tokens;
  DlSignatures signatures; /* of its prompt; none when it has no prompt */
  size_t header_bytes;     /* size of all headers */
} DlCallerRequest;

/* What is added to the caller's headers for one attempt. */
typedef struct
{
  uint64_t remaining_ms;
  const char *organisation; /* NULL: none; only then is the caller's key passed on */
  const char *upstream;     /* id of the only one that may run it; NULL for any */
  uint64_t version;         /* version of the weights that must run it; 0 for any */
  bool has_order;           /* the upstream is told the next */
  unsigned order;           /* as dl_engine_order_place */
  uint64_t last_event_id; /* resume the stream after this event; 0: as the caller asked */
} DlForwardOptions;

/* The head of an upstream's response. */
typedef struct
{
  bool not_run;             /* the upstream reports that it did not run the request */
  bool names_request;       /* has the request's id, or the request has none */
  bool is_mismatched;       /* has another request's id, or is content-encoded */
  bool is_unstated_refusal; /* its status promises callers that the request did not run,
                             * and the upstream does not state it */
  bool has_seal;            /* carries the upstream's seal of its response */
  bool is_delimited; /* has a length or chunks; otherwise it ends with its connection */
  bool is_event_stream;
  uint64_t version;     /* of the weights that the request runs on; 0 when not given */
  bool leaving;         /* the upstream announces that it leaves */
  bool has_limit;       /* it names how many requests it takes */
  double limit_per_s;   /* requests a second, from all entries together */
  uint64_t hold_off_ms; /* it sheds requests and wants none for this long; 0 for none */
  bool has_cold;        /* it says for how long it is cold */
  uint64_t cold_ms;     /* time for which it is; 0: it is not */
  bool has_load;        /* the next three members are set */
  unsigned running;     /* requests */
  unsigned waiting;     /* requests */
  unsigned slots;       /* requests that it runs at once */
  unsigned
      pace_percent; /* time that work takes on its machine; 100: usual; 0: not given */
} DlResponseHead;

#endif
