/*
 * HTTP client through libcurl's multi interface, on the kernel's loop.
 *
 * The library repeats a request by itself when a reused connection dies before the answer
 * begins.  A call marked SINGLE_USE therefore gets a fresh connection that is not kept.
 */
#ifndef DL_HTTP_CLIENT_H
#define DL_HTTP_CLIENT_H

#include "kernel/kernel.h"
#include "kernel/str.h"

typedef struct DlHttpClient DlHttpClient;
typedef struct DlHttpCall DlHttpCall;

/* How a call ended. */
typedef struct
{
  int error;       /* 0 when a whole answer arrived, whatever its status */
  unsigned status; /* 0 when no status line arrived */
  bool sent;       /* false: certainly no byte of the request left this process */
  DlStr body;      /* what was not given to on_data; ends with the callback */
} DlHttpResult;

typedef struct
{
  const char *method; /* NULL for GET */
  const char *url;
  const char *target;         /* request target to send in place of URL's; may be NULL */
  const char *const *headers; /* "Name: value", ending with NULL; may be NULL */
  DlStr body;                 /* copied */
  uint64_t connect_timeout_ms;
  uint64_t timeout_ms;           /* of the whole call; 0 for none */
  size_t max_body_bytes;         /* without on_data; 0 for 1 MiB */
  bool single_use;               /* must not be sent twice */
  unsigned receive_buffer_bytes; /* bounds what is on its way here; 0: the system's */
  /* The status and the headers have arrived. */
  void (*on_head) (DlHttpCall *call, unsigned status, void *data);
  /* Body bytes; without it the body is collected. */
  void (*on_data) (DlHttpCall *call, DlStr bytes, void *data);
  /* The call is over; it is freed after this returns. */
  void (*on_done) (DlHttpCall *call, const DlHttpResult *result, void *data);
  void *data;
} DlHttpCallOptions;

DlHttpClient *dl_http_client_new (DlTask *task, const void *owner);
/* Starts a call, a talloc child of OWNER: freeing it cancels it without a callback. */
DlHttpCall *
dl_http_call (DlHttpClient *client, const void *owner, const DlHttpCallOptions *options);
/* A response header; NULL when absent.  Valid from on_head on. */
const char *dl_http_call_header (DlHttpCall *call, const char *name);
/* Calls FUNC for each response header, in order; from on_head on. */
typedef void (*DlHttpCallHeaderFunc) (const char *name, const char *value, void *data);
void dl_http_call_each_header (DlHttpCall *call, DlHttpCallHeaderFunc func, void *data);
/* Stops or resumes receiving, for back-pressure. */
void dl_http_call_pause (DlHttpCall *call, bool paused);

#endif
