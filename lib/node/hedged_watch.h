/*
 * One watch at a time, of which the request is sent once more, on a new connection, when
 * nothing of a response has arrived (policy/hedge.h).
 *
 * The first usable response ends both requests.  A failure counts when the other request
 * has ended, too.  When the second request is responded to and the first is not, the
 * server's older connections are no longer trusted.
 */
#ifndef DL_HEDGED_WATCH_H
#define DL_HEDGED_WATCH_H

#include "kernel/object_client.h"
#include "policy/read_progress.h"

typedef struct DlHedgedWatch DlHedgedWatch;

/* What to send; the strings are borrowed until the response. */
typedef struct
{
  DlObjectClient *server;
  const char *kind;
  uint64_t revision; /* changes after it are wanted */
  uint64_t wait_ms;  /* how long the server waits for one */
  bool is_hedged;    /* false: there is no second request */
  bool is_anew;      /* without a wait, on a new connection */
} DlWatchRequest;

/* Both requests have ended; RESULT responds to the one that was sent at SENT_MS. */
typedef void (*DlHedgedWatchFunc) (const DlObjectResult *result,
                                   uint64_t sent_ms,
                                   void *data);

/* Creates a watch, a talloc child of OWNER.  FUNC is called for each response. */
DlHedgedWatch *
dl_hedged_watch_new (DlTask *task, const void *owner, DlHedgedWatchFunc func, void *data);
/* Sends REQUEST; cancels what is in progress. */
void dl_hedged_watch_send (DlHedgedWatch *watch, const DlWatchRequest *request);
/* Progress of the watch in progress; zeroed when there is none. */
DlReadProgress dl_hedged_watch_progress (const DlHedgedWatch *watch);
/* The response to the watch in progress, if one is, is not wanted any more.  Its requests
 * are cancelled when the next one is sent. */
void dl_hedged_watch_ignore (DlHedgedWatch *watch);

#endif
