/*
 * What the files of the HTTP client share: its state, and that of a call.
 */
#ifndef DL_HTTP_CLIENT_PRIVATE_H
#define DL_HTTP_CLIENT_PRIVATE_H

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

#include "kernel/http_check.h"
#include "kernel/http_client.h"

struct DlHttpClient
{
  DlTask *task;
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timeout;
  GHashTable *calls;      /* set of DlHttpCall */
  uint64_t distrusted_ms; /* kept connections without a response since are not used; 0:
                           * all are */
};

struct DlHttpCall
{
  DlHttpClient *client;
  CURL *easy;
  struct curl_slist *headers;
  DlBuffer *request_body;
  DlBuffer *body;
  DlHttpCallOptions options;
  char *id; /* as in the options */
  uint64_t started_ms;
  size_t head_bytes;    /* of the heads and trailers so far */
  unsigned head_lines;  /* the same in lines */
  size_t framing_bytes; /* received since the last byte of the head or the body */
  DlHttpCheck check;    /* of the response */
  int error;            /* why the response was given up; 0: it was not */
  DlTimer *give_up;
  uint64_t arrived_ms; /* last part of the response; 0: nothing yet */
  DlTimer *stalled;    /* when the call is checked for progress; NULL without stall_ms */
  bool head_reported;
  bool paused;
  bool in_callback;
  bool freed_in_callback;
  DlTimer *resume;
};

/* Ends the calls that libcurl has done. */
void dl_http_client_check_done (DlHttpClient *client);
/* Ends a call with libcurl's CODE: its owner is told, and it is freed. */
void dl_http_call_done (DlHttpCall *call, CURLcode code);
/* Takes a call from its client; it does not go on. */
void dl_http_call_release (DlHttpCall *call);

#endif
