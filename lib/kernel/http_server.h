/*
 * HTTP server through libmicrohttpd, on the kernel's loop and without threads.
 *
 * A request reaches its handler when its whole body has arrived.  The handler answers
 * with one of the reply functions, at once or later: meanwhile the connection is
 * suspended.  A streamed answer is written piece by piece; bytes that the caller has not
 * taken yet are counted by dl_http_stream_queued, so that a slow reader can slow the
 * source down.
 */
#ifndef DL_HTTP_SERVER_H
#define DL_HTTP_SERVER_H

#include "kernel/kernel.h"
#include "kernel/str.h"

typedef struct DlHttpServer DlHttpServer;
typedef struct DlHttpRequest DlHttpRequest;

typedef struct
{
  unsigned max_connections;
  unsigned max_connections_per_ip; /* 0 for no limit */
  unsigned
      max_keepalive_connections; /* with more, each answer closes its own; 0: never */
  size_t max_body_bytes;         /* longer bodies are refused with 413 */
  size_t max_header_bytes;       /* longer headers are refused by the library */
  unsigned idle_timeout_s;       /* of a connection that sends nothing */
} DlHttpLimits;

#define DL_HTTP_LIMITS_DEFAULT      \
  ((DlHttpLimits){                  \
      .max_connections = 1000,      \
      .max_body_bytes = 1 << 20,    \
      .max_header_bytes = 32 << 10, \
      .idle_timeout_s = 60,         \
  })

/* One extra header of an answer. */
typedef struct
{
  const char *name;
  const char *value;
} DlHttpHeader;

/* The request stays valid until it has been answered in full or its caller went away.  It
 * is a talloc context for what belongs to it. */
typedef void (*DlHttpHandler) (DlHttpRequest *request, void *data);

/* Returns 0 or a negative error. */
int dl_http_server_new (DlTask *task,
                        const void *owner,
                        DlStr address,
                        const DlHttpLimits *limits,
                        DlHttpHandler handler,
                        void *data,
                        DlHttpServer **server);
/* Stops accepting; requests in progress go on. */
void dl_http_server_quiesce (DlHttpServer *server);
/* Tells callers with every answer from now on that their connection closes. */
void dl_http_server_disable_keepalive (DlHttpServer *server);
/* Requests that are not yet answered in full. */
unsigned dl_http_server_active_requests (const DlHttpServer *server);

const char *dl_http_request_method (const DlHttpRequest *request);
/* Path and query as the caller wrote them, escapes untouched. */
const char *dl_http_request_target (const DlHttpRequest *request);
/* The path without its query. */
const char *dl_http_request_path (const DlHttpRequest *request);
DlStr dl_http_request_body (const DlHttpRequest *request);
/* NULL when absent. */
const char *dl_http_request_header (const DlHttpRequest *request, const char *name);
const char *dl_http_request_query (const DlHttpRequest *request, const char *name);
/* The whole query, escaped, without "?"; below CONTEXT. */
char *dl_http_request_query_string (const DlHttpRequest *request, const void *context);

/* Calls FUNC for each header of the request, in order. */
typedef void (*DlHttpHeaderFunc) (const char *name, const char *value, void *data);
void dl_http_request_each_header (const DlHttpRequest *request,
                                  DlHttpHeaderFunc func,
                                  void *data);

/* Called when the request is over for any reason, just before it is freed; ANSWERED is
 * false when the caller went away or the server stopped before the answer was whole. */
typedef void (*DlHttpClosedFunc) (DlHttpRequest *request, bool answered, void *data);
void
dl_http_request_on_closed (DlHttpRequest *request, DlHttpClosedFunc func, void *data);

/* Answers in one piece.  HEADERS ends with a NULL name, or is NULL. */
void dl_http_reply (DlHttpRequest *request,
                    unsigned status,
                    const char *content_type,
                    DlStr body,
                    const DlHttpHeader *headers);
/* Answers with a JSON object, which is put (released). */
void dl_http_reply_json (DlHttpRequest *request, unsigned status, json_object *object);
/* Answers with {"error": TEXT}; a RETRY_AFTER_MS above 0 adds Retry-After (whole seconds,
 * rounded up) and "retry_after_ms". */
void dl_http_reply_error (DlHttpRequest *request,
                          unsigned status,
                          uint64_t retry_after_ms,
                          const char *format,
                          ...) __attribute__ ((format (printf, 4, 5)));

/* Closes the connection without an answer. */
void dl_http_abort (DlHttpRequest *request);

/* Begins a streamed answer. */
void dl_http_stream_begin (DlHttpRequest *request,
                           unsigned status,
                           const char *content_type,
                           const DlHttpHeader *headers);
void dl_http_stream_write (DlHttpRequest *request, DlStr data);
/* Ends the stream; COMPLETE false closes the connection without the last chunk, so that
 * the caller sees that the answer was cut off. */
void dl_http_stream_end (DlHttpRequest *request, bool complete);
size_t dl_http_stream_queued (const DlHttpRequest *request);
/* FUNC is called whenever the caller has taken bytes: how many. */
typedef void (*DlHttpConsumedFunc) (DlHttpRequest *request, size_t taken, void *data);
void
dl_http_stream_on_consumed (DlHttpRequest *request, DlHttpConsumedFunc func, void *data);

#endif
