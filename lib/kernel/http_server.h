/*
 * HTTP server that runs libmicrohttpd on the kernel's event loop, without threads.
 *
 * The handler is called when a request has arrived with its whole body.  It responds with
 * one of the reply functions, at once or later; until then the connection is suspended.
 * A streamed response is written in pieces.  dl_http_stream_queued returns how many bytes
 * are not sent yet, so that the source of the data can be slowed down to the speed of the
 * caller.
 */
#ifndef DL_HTTP_SERVER_H
#define DL_HTTP_SERVER_H

#include "kernel/kernel.h"
#include "kernel/str.h"

typedef struct DlHttpServer DlHttpServer;
typedef struct DlHttpRequest DlHttpRequest;

/* Limits of a server; see DL_HTTP_LIMITS_DEFAULT. */
typedef struct
{
  unsigned max_connections;
  unsigned max_connections_per_ip; /* 0 for no limit */
  /* With more open connections, each response closes its own; 0 for no limit. */
  unsigned max_keepalive_connections;
  size_t max_body_bytes;   /* longer bodies are refused with status 413 */
  size_t max_header_bytes; /* longer headers are refused by libmicrohttpd */
  unsigned idle_timeout_s; /* of a connection on which nothing arrives */
  /* Of the next three, 0 stands for the default. */
  size_t max_held_bytes; /* of the bodies of all requests that have not ended */
  uint64_t stall_ms;     /* a request of which nothing arrives for so long is ended */
  uint64_t arrival_ms;   /* and one that has not arrived whole after so long */
} DlHttpLimits;

/* More where a single body may be longer than half of it. */
#define DL_HTTP_HELD_BYTES_DEFAULT ((size_t)32 << 20)
#define DL_HTTP_STALL_DEFAULT_MS   10000
#define DL_HTTP_ARRIVAL_DEFAULT_MS 60000
/* While nearly all connections or nearly all of MAX_HELD_BYTES are in use, a request is
 * ended when nothing of it arrives for this long, and a connection without a request when
 * it has been idle for the other. */
#define DL_HTTP_PRESSURE_STALL_MS 3500
#define DL_HTTP_PRESSURE_IDLE_MS  3500
/* For servers whose requests have no bodies. */
#define DL_HTTP_NO_BODY_BYTES ((size_t)16 << 10)

#define DL_HTTP_LIMITS_DEFAULT      \
  ((DlHttpLimits){                  \
      .max_connections = 1000,      \
      .max_body_bytes = 1 << 20,    \
      .max_header_bytes = 32 << 10, \
      .idle_timeout_s = 60,         \
  })

/* An additional header of a response. */
typedef struct
{
  const char *name;
  const char *value;
} DlHttpHeader;

/* Called for each request.  REQUEST stays valid until the response has been sent in full
 * or the caller has disconnected.  It may be used as a talloc context. */
typedef void (*DlHttpHandler) (DlHttpRequest *request, void *data);

/* Listens on ADDRESS ("IP:PORT").  *SERVER is a talloc child of OWNER.  Returns 0 or a
 * negative error. */
int dl_http_server_new (DlTask *task,
                        const void *owner,
                        DlStr address,
                        const DlHttpLimits *limits,
                        DlHttpHandler handler,
                        void *data,
                        DlHttpServer **server);
/* Names the header with the caller's id of a request, which is logged and sent back by
 * dl_http_reply_error; NAME is borrowed. */
void dl_http_server_set_id_header (DlHttpServer *server, const char *name);
/* Sets the longest body of requests that begin from now on. */
void dl_http_server_set_max_body (DlHttpServer *server, size_t bytes);
/* Stops accepting connections, after those that wait; requests in progress continue. */
void dl_http_server_quiesce (DlHttpServer *server);
/* From now on each response carries "Connection: close" and closes its connection. */
void dl_http_server_disable_keepalive (DlHttpServer *server);
/* Both: from now on the server only ends what callers have begun. */
void dl_http_server_drain (DlHttpServer *server);
/* Accepts and reads what has arrived, and calls the handler for it.  Returns true if no
 * request is in progress or has begun to arrive; the part of a request's first line is
 * only seen after dl_http_server_disable_keepalive. */
bool dl_http_server_is_idle (DlHttpServer *server);
/* Returns the number of requests whose response has not been sent in full. */
unsigned dl_http_server_active_requests (const DlHttpServer *server);

/* When the request had arrived (dl_clock_ms), which is before it is handled if this
 * process stood still. */
uint64_t dl_http_request_arrived_ms (const DlHttpRequest *request);
const char *dl_http_request_method (const DlHttpRequest *request);
/* The path and query as received, without decoding escapes. */
const char *dl_http_request_target (const DlHttpRequest *request);
/* The decoded path, without the query. */
const char *dl_http_request_path (const DlHttpRequest *request);
/* Valid as long as the request, as are the results above. */
DlStr dl_http_request_body (const DlHttpRequest *request);
/* The value of a header or of a query parameter; NULL when absent. */
const char *dl_http_request_header (const DlHttpRequest *request, const char *name);
const char *dl_http_request_query (const DlHttpRequest *request, const char *name);
/* Returns the whole query, escaped again and without "?", a talloc child of
 * CONTEXT. */
char *dl_http_request_query_string (const DlHttpRequest *request, const void *context);

/* Calls FUNC for each header of the request, in order. */
typedef void (*DlHttpHeaderFunc) (const char *name, const char *value, void *data);
void dl_http_request_each_header (const DlHttpRequest *request,
                                  DlHttpHeaderFunc func,
                                  void *data);

/* Why a request has ended. */
typedef enum
{
  DL_HTTP_COMPLETED,    /* its response was sent in full */
  DL_HTTP_CALLER_LEFT,  /* the caller closed or reset its connection before */
  DL_HTTP_CUT,          /* the handler ended the response before its end */
  DL_HTTP_WRITE_FAILED, /* the response could not be written or built */
  DL_HTTP_TIMED_OUT,    /* nothing went over the connection for too long */
  DL_HTTP_SERVER_ENDED, /* the process ended */
} DlHttpEnd;

/* Why the request has ended, in words; valid in a DlHttpClosedFunc. */
DlHttpEnd dl_http_request_end (const DlHttpRequest *request);
const char *dl_http_end_text (DlHttpEnd end);

/* Called when the request has ended for any reason, just before it is freed.  COMPLETED
 * is false when the caller disconnected or the server stopped before the response had
 * been sent in full. */
typedef void (*DlHttpClosedFunc) (DlHttpRequest *request, bool completed, void *data);
void
dl_http_request_on_closed (DlHttpRequest *request, DlHttpClosedFunc func, void *data);

/* Sends a complete response.  BODY is copied; HEADERS is NULL or ends in a NULL name. */
void dl_http_reply (DlHttpRequest *request,
                    unsigned status,
                    const char *content_type,
                    DlStr body,
                    const DlHttpHeader *headers);
/* Responds with OBJECT as JSON and releases the reference to OBJECT. */
void dl_http_reply_json (DlHttpRequest *request, unsigned status, json_object *object);
/* Responds with the JSON object {"error": TEXT}.  A RETRY_AFTER_MS above 0 adds the
 * member "retry_after_ms" and the header Retry-After, in seconds, rounded up. */
void dl_http_reply_error (DlHttpRequest *request,
                          unsigned status,
                          uint64_t retry_after_ms,
                          const char *format,
                          ...) __attribute__ ((format (printf, 4, 5)));

/* Closes the connection without a response. */
void dl_http_abort (DlHttpRequest *request);

/* Begins a streamed response. */
void dl_http_stream_begin (DlHttpRequest *request,
                           unsigned status,
                           const char *content_type,
                           const DlHttpHeader *headers);
/* Appends a copy of DATA to the stream. */
void dl_http_stream_write (DlHttpRequest *request, DlStr data);
/* Ends the stream.  When COMPLETE is false, the connection is closed without the last
 * chunk, so that the caller can see that the response was truncated. */
void dl_http_stream_end (DlHttpRequest *request, bool complete);
/* Returns how many bytes of the stream libmicrohttpd has not fetched yet. */
size_t dl_http_stream_queued (const DlHttpRequest *request);
/* Calls FUNC whenever libmicrohttpd has fetched CONSUMED bytes of the stream to send. */
typedef void (*DlHttpConsumedFunc) (DlHttpRequest *request, size_t consumed, void *data);
void
dl_http_stream_on_consumed (DlHttpRequest *request, DlHttpConsumedFunc func, void *data);

#endif
