/*
 * Internal types of the HTTP server: http_server.c runs it and sends responses,
 * http_server_end.c ends it, http_request.c reads requests, http_request_end.c tells how
 * they end.
 */
#ifndef DL_HTTP_SERVER_PRIVATE_H
#define DL_HTTP_SERVER_PRIVATE_H

#include <glib.h>
#include <microhttpd.h>

#include "kernel/http_connections.h"
#include "kernel/http_server.h"
#include "policy/held_bytes.h"

#define DL_HTTP_LISTEN_BACKLOG 512 /* connections */

struct DlHttpServer
{
  DlTask *task;
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  uint16_t port;
  DlHttpLimits limits;
  DlHttpHandler handler;
  void *data;
  ev_io watcher;
  ev_timer timeout;
  ev_prepare prepare;
  bool need_run; /* a connection was resumed since the last MHD_run */
  bool quiesced;
  bool keepalive_disabled; /* responses carry "Connection: close" */
  unsigned active_requests;
  GHashTable *suspended; /* set of DlHttpRequest */
  GHashTable *arriving;  /* set of DlHttpRequest that have not arrived whole */
  DlHeldBytes held;      /* by bodies */
  DlHttpConnections *connections;
  const char *id_header; /* NULL for none */
  uint64_t ending_ms;    /* when the end of the process began to close connections */
  uint64_t looked_ms;    /* last time at which all connections were read; 0 before */
  DlTimer *caller_check;
};

/* What is done with a body as it arrives. */
typedef enum
{
  DL_HTTP_BODY_KEPT,
  DL_HTTP_BODY_TOO_LARGE, /* dropped: over the limit of one body */
  DL_HTTP_BODY_NO_ROOM,   /* dropped: over that of all together */
} DlHttpBodyState;

struct DlHttpRequest
{
  DlHttpServer *server;
  struct MHD_Connection *connection;
  char *target; /* as received */
  char *method; /* NULL until the headers have been read */
  char *path;
  DlBuffer *body;
  DlHttpBodyState body_state;
  size_t dropped_bytes; /* that were read after the body was dropped */
  bool stalled;         /* its connection was closed, as it did not go on arriving */
  bool handled;         /* the handler has been called */
  bool in_handler;
  bool suspended;
  bool has_response;        /* a reply or a stream was begun */
  bool discard_output;      /* the caller has disconnected: further output is discarded */
  bool caller_disconnected; /* set by on_caller_check */
  bool aborted;             /* by dl_http_abort */
  struct MHD_Response *response;
  unsigned status;
  DlBuffer *stream; /* bytes not sent yet; NULL for a reply in one piece */
  bool stream_ended;
  bool stream_complete;
  DlHttpConsumedFunc on_consumed;
  void *consumed_data;
  DlHttpClosedFunc on_closed;
  void *closed_data;
  uint64_t begun_ms;   /* when its first line was read */
  uint64_t arrived_ms; /* when its last byte came */
  DlHttpEnd end;       /* set as it ends */
};

/* Has libmicrohttpd handle what has arrived and what is due. */
void dl_http_server_run (DlHttpServer *server);
/* The server's part in the end of the process, a DlEndFunc. */
bool dl_http_server_end (DlEndStep step, void *server);
/* Tells what callers lose as the process ends. */
void dl_http_server_log_open (const DlHttpServer *server);

/* Takes in LENGTH bytes of a body.  Returns false when the connection is to be closed. */
bool dl_http_body_receive (DlHttpRequest *request, const char *bytes, size_t length);
/* Refuses a request that has arrived, but whose body was not kept; false when it was. */
bool dl_http_body_refuse (DlHttpRequest *request);
/* REQUEST ends: what its body holds does not count any more. */
void dl_http_body_release (DlHttpRequest *request);
/* Closes the connections of requests that do not go on arriving. */
void dl_http_body_end_stalled (DlHttpServer *server);

/* Why REQUEST ends, by what libmicrohttpd says. */
DlHttpEnd dl_http_request_ended_by (const DlHttpRequest *request,
                                    enum MHD_RequestTerminationCode code);
/* Counts and logs REQUEST, which has ended, if its response was not sent in full and its
 * handler is not the one to tell. */
void dl_http_request_report_end (const DlHttpRequest *request);

#endif
