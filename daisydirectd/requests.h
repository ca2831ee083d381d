/*
 * Parts of the task "requests" that its files share.
 *
 * requests.c takes requests in, dispatch.c finds them a place, attempt.c carries one try
 * at one upstream, outcome.c gives final answers.
 */
#ifndef DIRECT_REQUESTS_H
#define DIRECT_REQUESTS_H

#include "daisydirectd.h"
#include "kernel/http_client.h"
#include "kernel/http_server.h"
#include "node/caller_request.h"
#include "policy/event_stream.h"
#include "policy/retry.h"
#include "policy/wait_queue.h"
#include "upstreams.h"

typedef struct Requests Requests;
typedef struct Service Service;
typedef struct Request Request;
typedef struct Attempt Attempt;

/* What the task keeps of one service, whatever routing table names it. */
struct Service
{
  char *name;
  DlWaitQueue *queue; /* of Request */
  DlRetryBudget budget;
};

struct Requests
{
  DlTask *task;
  const DlNodeSettings *settings;
  DlHttpServer *server;
  DlHttpClient *client;
  DirectMessage *routing;        /* the table in force; NULL before the first */
  uint64_t routing_confirmed_ms; /* as of when it is current; 0 before the first proof */
  DirectUpstreams *upstreams;
  GHashTable *services; /* name to Service */
  Request *first;       /* of all requests in progress */
  uint64_t stop_ms;     /* when the planned stop began; 0 while running */
};

/* One request of a caller, from its arrival to its final answer; below its HTTP
 * request. */
struct Request
{
  Requests *owner;
  DlHttpRequest *http;
  DlCallerRequest in;
  DirectMessage *routing; /* the table that it was admitted under */
  const DlRouteEntry *route;
  const DlOrganisation *organisation; /* NULL on open routes */
  const DlServiceEntry *service_entry;
  Service *service;
  uint64_t arrived_ms;
  uint64_t deadline_ms;        /* final answer at the latest */
  unsigned sent;               /* upstreams that it was sent to */
  unsigned connect_failures;   /* upstreams that could not be connected to */
  bool waiting;                /* in the service's queue */
  bool may_have_run;           /* no refusal may say that it did not */
  bool replying;               /* the caller has the head of a stream */
  char *avoid_upstream;        /* id of the upstream that failed it last */
  char *last_upstream;         /* id of the one that it was sent to last */
  DirectLoadEstimate estimate; /* what was known of that one then */
  uint64_t first_sent_ms;
  uint64_t last_sent_ms;
  uint64_t first_event_ms; /* when the first event or the whole answer came; 0 before */
  uint64_t last_event_ms;
  uint64_t gap_max_ms;   /* longest pause between events */
  DlEventStream *events; /* of a stream; NULL before its first try */
  Attempt *attempt;      /* the try in progress; NULL while waiting */
  Request *next;
  Request **link; /* what points here in the owner's list */
};

/* -------- requests.c -------- */

/* Nothing is in progress for the request any more. */
void direct_request_release (Request *request);
/* Time left until the request's deadline. */
uint64_t direct_request_remaining_ms (const Request *request, uint64_t now_ms);

/* -------- outcome.c -------- */

/* Final answers; each ends the request's life here. */
void direct_request_refuse (Request *request, uint64_t retry_ms, const char *reason);
/* It asks for what the routing table does not allow. */
void direct_request_deny (Request *request, unsigned status, const char *reason);
/* STATUS is 502 or 504.  A stream that has begun is cut instead. */
void direct_request_fail (Request *request, unsigned status, const char *cause);
/* The upstream's whole answer goes to the caller. */
void direct_request_reply (Request *request,
                           unsigned status,
                           const char *content_type,
                           DlStr body,
                           const DlHttpHeader *headers);
void direct_request_end_stream (Request *request);
/* Events went to the caller. */
void direct_request_note_event (Request *request, uint64_t now_ms);

/* Final answers since the process started. */
typedef struct
{
  int64_t served;
  int64_t late; /* of those served */
  int64_t refused;
  int64_t failed;
  int64_t denied;
} DirectRequestCounts;

DirectRequestCounts direct_request_counts (void);

/* -------- dispatch.c -------- */

Service *direct_service_get (Requests *requests, const char *name);
/* Sends the request to an upstream, queues or refuses it. */
void direct_dispatch_place (Request *request);
/* A place may have come free: sends what waits. */
void direct_dispatch_run_queue (Service *service);
void direct_dispatch_run_queues (Requests *requests);
void direct_dispatch_dequeue (Request *request);
/* Refuses what has waited too long. */
void direct_dispatch_expire (Requests *requests, uint64_t now_ms);
void direct_dispatch_set_entries (Requests *requests, unsigned near, unsigned far);

/* Why a try ended without an answer for the caller. */
typedef enum
{
  DIRECT_FAILURE_CONNECT, /* nothing was sent */
  DIRECT_FAILURE_NOT_RUN, /* the upstream says that it did not run it */
  DIRECT_FAILURE_BROKEN,  /* sent, and may have run */
  DIRECT_FAILURE_STALLED, /* the same, with the upstream silent */
} DirectAttemptFailure;

/* True when the request may go to one more upstream after END; pays for it from the retry
 * budget. */
bool direct_dispatch_reserve_retry (Request *request, DirectAttemptFailure end);
/* Sends it to one more, as direct_dispatch_reserve_retry allowed. */
void
direct_dispatch_retry (Request *request, DirectAttemptFailure end, const char *upstream);
/* Decides how the request goes on: another try, or its final answer. */
void direct_dispatch_attempt_failed (Request *request,
                                     DirectAttemptFailure end,
                                     const char *upstream);

/* -------- attempt.c -------- */

void direct_attempt_start (Request *request, DirectUpstream *upstream);
/* Ends the try without a word to the caller.  END says what it tells of the upstream. */
void direct_attempt_cancel (Attempt *attempt, DirectAttemptOutcome end);
/* True when the upstream has been silent for so long that another should take over. */
bool direct_attempt_is_stalled (const Attempt *attempt, uint64_t now_ms);
const DirectUpstream *direct_attempt_upstream (const Attempt *attempt);

#endif
