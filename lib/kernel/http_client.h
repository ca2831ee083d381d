/*
 * HTTP client that runs libcurl's multi interface on the kernel's event loop.
 *
 * libcurl retries a request by itself when a reused connection breaks before the response
 * begins.  A call marked SINGLE_USE, which must not be sent twice, therefore gets a new
 * connection, which is closed after the call.
 *
 * A peer may send bytes that are no response, without end.  The call then ends with
 * DL_ERR_MALFORMED or DL_ERR_TOO_LARGE, and its connection is closed, as soon as its
 * heads and trailers, the framing of its chunks, or the body that it collects exceed
 * their limits.  It ends with DL_ERR_MALFORMED as well at the first line, chunk or rest
 * that kernel/http_check.h finds a fault in.  on_head is not called for a head that has
 * one; one that shows later makes the whole response unusable, its head included.
 */
#ifndef DL_HTTP_CLIENT_H
#define DL_HTTP_CLIENT_H

#include "kernel/kernel.h"
#include "kernel/str.h"

typedef struct DlHttpClient DlHttpClient;
typedef struct DlHttpCall DlHttpCall;

/* Longest time of a call whose response keeps arriving (stall_ms). */
#define DL_HTTP_PROGRESS_MAX_MS 20000

/* The outcome of a call. */
typedef struct
{
  int error;       /* 0 when a complete response arrived, whatever its status */
  unsigned status; /* 0 when no whole head arrived, or a malformed one */
  bool sent;       /* false: no byte of the request left this process */
  bool broken_off; /* the peer closed or reset the connection; ERROR is DL_ERR_CLOSED */
  DlStr body;      /* empty when on_data is set; valid during the callback */
  uint64_t received_bytes; /* of the body, as it was sent */
} DlHttpResult;

/* The end of a call. */
typedef void (*DlHttpDone) (DlHttpCall *call, const DlHttpResult *result, void *data);

/* What to call and how.  dl_http_call copies the strings, the headers and the body. */
typedef struct
{
  const char *method; /* NULL for GET */
  const char *url;
  const char *target;         /* request target to send instead of URL's; may be NULL */
  const char *const *headers; /* "Name: value" strings, NULL-terminated; may be NULL */
  DlStr body;
  uint64_t connect_timeout_ms;
  uint64_t timeout_ms;   /* for the whole call; 0 for none */
  uint64_t stall_ms;     /* above 0: once the response has begun to arrive, the call times
                          * out when nothing more has arrived for so long, or after
                          * DL_HTTP_PROGRESS_MAX_MS, in place of after TIMEOUT_MS */
  size_t max_body_bytes; /* of a body that is collected; 0 for 1 MiB */
  size_t max_head_bytes; /* of all heads and trailers; 0 for 32 KiB */
  const char *id;        /* of the request, for logs; NULL for none */
  bool single_use;       /* must not be sent twice */
  bool accepts_gzip;     /* the body may be sent compressed; on_data and on_done
                          * get it as it was before */
  bool new_connection;   /* sent on a new one, which is kept afterwards */
  unsigned
      max_idle_s; /* a kept connection that was idle for longer is not used; 0: any */
  unsigned receive_buffer_bytes; /* limits the data in flight to us; 0: system default */
  /* The status line and the headers have arrived. */
  void (*on_head) (DlHttpCall *call, unsigned status, void *data);
  /* A part of the body has arrived.  When NULL, the body is collected for on_done. */
  void (*on_data) (DlHttpCall *call, DlStr bytes, void *data);
  /* The call has ended; it is freed after this returns.  Must not be NULL. */
  DlHttpDone on_done;
  void *data;
} DlHttpCallOptions;

/* The client is a talloc child of OWNER; freeing it ends its calls without callbacks. */
DlHttpClient *dl_http_client_new (DlTask *task, const void *owner);
/* A request sent at SINCE_MS, by dl_clock_ms, has had no response: kept connections that
 * have not carried one since are not used any more, as they may be silent, too.  The
 * client notes this by itself when a call times out without a byte of a response. */
void dl_http_client_distrust (DlHttpClient *client, uint64_t since_ms);
/* Starts a call.  It is a talloc child of OWNER; freeing it cancels it without a
 * callback. */
DlHttpCall *
dl_http_call (DlHttpClient *client, const void *owner, const DlHttpCallOptions *options);
/* What has arrived of a response so far. */
typedef struct
{
  uint64_t bytes;      /* of the body, as it was sent */
  uint64_t arrived_ms; /* when the last part of it or of its head did, dl_clock_ms; 0:
                        * nothing yet, or the call has no stall_ms */
} DlHttpProgress;

DlHttpProgress dl_http_call_progress (const DlHttpCall *call);
/* Returns the value of a response header, or NULL when it is absent.  To be called in or
 * after on_head; the result lives as long as the call. */
const char *dl_http_call_header (DlHttpCall *call, const char *name);
/* Calls FUNC for each response header, in order.  To be called in or after on_head. */
typedef void (*DlHttpCallHeaderFunc) (const char *name, const char *value, void *data);
void dl_http_call_each_header (DlHttpCall *call, DlHttpCallHeaderFunc func, void *data);
/* Logs and counts that what the peer sent cannot be a response; WHAT says why.  For
 * callers that judge the body themselves; the call goes on. */
void dl_http_call_report_invalid (DlHttpCall *call, const char *what);
/* Stops or resumes receiving, to apply back-pressure to the server. */
void dl_http_call_pause (DlHttpCall *call, bool paused);

#endif
