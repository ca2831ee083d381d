/*
 * Internal interfaces of the task "requests".
 *
 * requests.c admits callers' requests, dispatch.c assigns them to upstreams or queues
 * them, attempt.c sends a request to one upstream and attempt_response.c receives its
 * response (attempt_private.h), silence.c replaces an upstream that falls silent,
 * outdated.c withdraws a request when its upstream's weights become too old, endings.c
 * decides what becomes of a request whose attempt ends, and outcome.c sends the final
 * response.
 */
#ifndef DIRECT_REQUESTS_H
#define DIRECT_REQUESTS_H

#include "daisydirectd.h"
#include "kernel/http_client.h"
#include "kernel/http_server.h"
#include "node/caller_request.h"
#include "policy/attempt_history.h"
#include "policy/ending.h"
#include "policy/patience.h"
#include "policy/quarantine.h"
#include "policy/retry.h"
#include "policy/silence.h"
#include "policy/wait_queue.h"
#include "upstreams.h"

typedef struct Requests Requests;
typedef struct Service Service;
typedef struct Request Request;
typedef struct Attempt Attempt;
typedef struct DirectLimits DirectLimits;

/* State of one service, kept when the routing table is replaced. */
struct Service
{
  Requests *owner;
  char *name;
  DlWaitQueue *queue; /* of Request */
  DlRetryBudget budget;
  uint64_t wanted_ms;       /* arrival of the last request for it; 0: none */
  uint64_t wanted_since_ms; /* of the first one after a long time without any */
};

/* State of the task. */
struct Requests
{
  DlTask *task;
  const DlNodeSettings *settings;
  DlHttpServer *server;
  DlHttpClient *client;
  DirectMessage *routing;           /* the table in effect; NULL before the first */
  DirectRoutingProof routing_proof; /* when it was last known to be the newest */
  DlStoreHeard store_heard;         /* when any entry heard the store */
  DirectUpstreams *upstreams;
  GHashTable *services;   /* name to Service */
  Request *first;         /* list of all requests in progress */
  size_t collected_bytes; /* of responses that attempts in progress collect */
  uint64_t stop_began_ms; /* when a graceful shutdown began; 0 while running */
  DirectLimits *limits;
  DlQuarantine *quarantine;
  bool quarantine_grew;           /* a signature was quarantined since the last tick */
  uint64_t quarantine_expired_ms; /* when its old records were last removed */
};

/* One request of a caller, from its arrival to its final response.  A talloc child of its
 * HTTP request. */
struct Request
{
  Requests *owner;
  DlHttpRequest *http;
  DlCallerRequest incoming;
  DlSignature identity;   /* of the whole request; set at its admission */
  DirectMessage *routing; /* the table in effect at its arrival */
  const DlRouteEntry *route;
  const DlOrganisation *organisation; /* NULL on open routes */
  const DlServiceEntry *service_entry;
  Service *service;
  uint64_t arrived_ms;
  uint64_t deadline_ms;      /* latest time of the final response */
  unsigned attempt_count;    /* attempts so far, except those that could not connect */
  unsigned not_run_count;    /* of these, those that count as not run (endings.c) */
  unsigned connect_failures; /* attempts that could not connect */
  bool waiting;              /* in the service's queue */
  bool is_trial;             /* of a quarantined signature */
  bool trial_sent;           /* to an upstream */
  bool retry_reserved;       /* a retry of the budget was spent and not sent yet */
  bool may_have_run; /* an upstream may have executed it; it must not be refused then */
  bool head_sent;    /* the head of a streamed response was sent to the caller */
  char *avoid_upstream;        /* id of the upstream of the last failed attempt */
  uint64_t failed_ms;          /* when it failed; 0 before */
  char *last_upstream;         /* id of the upstream of the last attempt */
  DirectLoadEstimate estimate; /* of that upstream's load at that time */
  uint64_t first_sent_ms;      /* start of the first attempt; 0 before */
  uint64_t last_sent_ms;       /* start of the last attempt; 0 before */
  uint64_t first_event_ms;     /* of the first event or the whole response; 0 before */
  uint64_t last_event_ms;      /* of the last event; 0 before */
  uint64_t last_event_id;      /* of the last event that its caller has; 0: none */
  uint64_t gap_max_ms;         /* longest gap between events */
  DlAttemptHistory history;    /* of its attempts */
  Attempt *attempts;           /* list of those in progress, the last one sent first */
  Request *next;
  Request **link; /* pointer to this request in the owner's list; NULL when not in it */
};

/* -------- requests.c -------- */

/* Removes the request from its queue and from the requests in progress, and cancels its
 * attempt.  Does nothing the second time. */
void direct_request_release (Request *request);
/* Time left until the request's deadline; 0 when it has passed. */
uint64_t direct_request_remaining_ms (const Request *request, uint64_t now_ms);

/* -------- outcome.c -------- */

/* Each of the next five functions releases the request and sends its final response;
 * REASON and CAUSE are logged and sent to the caller. */

/* Refuses with 503: the request has not been executed and may be sent again after
 * RETRY_MS. */
void direct_request_refuse (Request *request, uint64_t retry_ms, const char *reason);
/* Rejects with STATUS what the routing table does not allow. */
void direct_request_deny (Request *request, unsigned status, const char *reason);
/* Fails with STATUS, 502 or 504; a streamed response that has begun is aborted
 * instead. */
void direct_request_fail (Request *request, unsigned status, const char *cause);
/* Forwards the upstream's complete response. */
void direct_request_reply (Request *request,
                           unsigned status,
                           const char *content_type,
                           DlStr body,
                           const DlHttpHeader *headers);
/* Ends a streamed response that is complete. */
void direct_request_end_stream (Request *request);

/* Records that events, or a whole response, were forwarded at NOW_MS. */
void direct_request_record_event (Request *request, uint64_t now_ms);

/* Final responses since the process started, by kind. */
typedef struct
{
  int64_t served;
  int64_t late; /* of those served: over a latency target */
  int64_t refused;
  int64_t failed;
  int64_t denied;
} DirectRequestCounts;

/* Returns the counts so far. */
DirectRequestCounts direct_request_counts (void);

/* -------- dispatch.c -------- */

/* Returns the service NAME, created when it is new. */
Service *direct_service_get (Requests *requests, const char *name);
/* Sends the request to an upstream, or queues it, or sends an error as its final
 * response. */
void direct_dispatch_request (Request *request);
/* Replaces silent upstreams and sends queued requests while upstreams have free request
 * slots. */
void direct_dispatch_run_queue (Service *service);
/* The same for all services. */
void direct_dispatch_run_queues (Requests *requests);
/* Removes the request from its service's queue, if it is queued. */
void direct_dispatch_dequeue (Request *request);
/* Refuses or fails requests that have been queued for too long. */
void direct_dispatch_expire (Requests *requests, uint64_t now_ms);
/* Sets how many entries accept requests, in this entry's region, itself included, and in
 * others, and adapts this entry's share of the retry budgets. */
void direct_dispatch_set_entries (Requests *requests,
                                  unsigned same_region,
                                  unsigned other_region);

/* Sends the request to UPSTREAM, beside its attempts in progress. */
void direct_dispatch_send (Request *request, DirectUpstream *upstream);
/* Returns an upstream that the request may be sent to beside its attempts in progress;
 * NULL for none. */
DirectUpstream *direct_dispatch_choose_further (const Request *request);
/* Percentage of a retry that the first attempt of a request earns. */
uint64_t direct_dispatch_retry_percent (const Requests *requests);
/* Sends the final response of a request that gets no further attempt: refuses it, or
 * fails it when it may have run. */
void direct_dispatch_refuse_or_fail (Request *request, const char *reason);

/* -------- endings.c -------- */

/* What becomes of the request of ATTEMPT, which is in progress, if it ends for CAUSE; as
 * things are now. */
DlEndDecision direct_ending_decide (const Attempt *attempt, DlEndCause cause);
/* True when CAUSE, which is none of an attempt, ends the request. */
bool direct_ending_ends_request (const Request *request, DlEndCause cause);
/* An attempt of the request at UPSTREAM has ended for CAUSE: the request goes on with its
 * others, is sent again, or gets its final response. */
void direct_ending_handle (Request *request, DlEndCause cause, const char *upstream);
/* Logs and counts that the request, which UPSTREAM had, is sent again for CAUSE. */
void
direct_ending_log_retry (const Request *request, DlEndCause cause, const char *upstream);
/* Returns the request's retry to the budget, if it has one that was not sent. */
void direct_ending_return_retry (Request *request);
/* How often the request was sent. */
DlAttemptCounts direct_ending_counts (const Request *request);

/* -------- silence.c -------- */

/* Looks for replacements of upstreams that have been silent for long. */
void direct_silence_check (Service *service);
/* WINNER goes on first, and LOSER, of the same request, will be cancelled; logs which of
 * them was the silent one. */
void direct_silence_overtaken (const Attempt *winner, const Attempt *loser);

/* -------- outdated.c -------- */

/* Withdraws requests that have not started at upstreams whose weights are about to be too
 * old, and retries them elsewhere or sends their final responses.  To be called with
 * every sweep. */
void direct_outdated_withdraw (Requests *requests, uint64_t now_ms);

/* -------- attempt.c -------- */

/* Sends the request to UPSTREAM, beside its attempts in progress. */
void direct_attempt_start (Request *request, DirectUpstream *upstream);
/* The request that the attempt is of. */
Request *direct_attempt_request (const Attempt *attempt);
/* The attempt of the same request that was sent before ATTEMPT and is in progress; NULL
 * for none. */
Attempt *direct_attempt_next (const Attempt *attempt);
/* Ends the attempt and frees it; the caller is sent nothing.  OUTCOME is counted for the
 * upstream; REASON, a static string, goes into the request's history. */
void direct_attempt_cancel (Attempt *attempt,
                            DirectAttemptOutcome outcome,
                            const char *reason);
/* Notes the present state of the attempt in the request's history. */
void direct_attempt_note_state (const Attempt *attempt);
/* Facts for the decision whether the attempt's upstream has been silent for too long. */
DlSilence direct_attempt_silence (const Attempt *attempt, uint64_t now_ms);
/* Notes that the attempt is kept though its upstream is silent; false when that was noted
 * before.  The silence counts as a failure of the upstream if COUNTS, so that it gets no
 * further requests while it holds this one. */
bool direct_attempt_note_kept (Attempt *attempt, bool counts);
/* A replacement is started, as the attempt's upstream is silent, which counts as a
 * failure of the upstream, once. */
void direct_attempt_count_silence (Attempt *attempt);
/* Version of the weights that the attempt would start on: the last one that the upstream
 * served, as it has none while it loads others. */
uint64_t direct_attempt_version (const Attempt *attempt);
/* When the attempt was sent. */
uint64_t direct_attempt_sent_ms (const Attempt *attempt);
/* True while the request may still wait in its upstream's queue: no event has arrived,
 * nor, on routes without streams, the head of a response. */
bool direct_attempt_may_wait (const Attempt *attempt);
/* The upstream that the request was sent to. */
const DirectUpstream *direct_attempt_upstream (const Attempt *attempt);

/* -------- forward.c -------- */

/* What an attempt at UPSTREAM that starts at NOW_MS sends besides the caller's headers.
 */
DlForwardOptions direct_forward_options (const Request *request,
                                         const DirectUpstream *upstream,
                                         uint64_t now_ms);

/* -------- limits.c -------- */

/* Returns the sharing of limits, a talloc child of REQUESTS. */
DirectLimits *direct_limits_new (Requests *requests);
/* Adopts the entries of MESSAGE, which is DIRECT_ENTRIES. */
void direct_limits_set_entries (DirectLimits *limits, const DirectMessage *message);
/* A request for SERVICE has arrived. */
void direct_limits_note_request (Service *service, uint64_t now_ms);
/* The response of UPSTREAM to a request sent at SENT_MS has HEAD. */
void direct_limits_heard (DirectLimits *limits,
                          DirectUpstream *upstream,
                          const DlResponseHead *head,
                          uint64_t sent_ms);
/* Merges what another entry told. */
void direct_limits_merge (DirectLimits *limits, const DlLimitRecords *records);
/* Computes this entry's shares, and publishes what others are to know.  To be called with
 * every sweep. */
void direct_limits_tick (DirectLimits *limits, uint64_t now_ms);

/* -------- quarantine.c -------- */

/* Returns true when the request may be sent.  Otherwise one of its signatures is
 * quarantined, and it was refused. */
bool direct_quarantine_admit (Request *request);
/* True when one of the request's signatures is quarantined. */
bool direct_quarantine_holds (const Request *request);
/* True unless what is known of its signatures forbids to send the request again. */
bool direct_quarantine_allows_retry (const Request *request, DlEndCause cause);
/* The request is sent to an upstream. */
void direct_quarantine_sent (Request *request);
/* The request was served completely. */
void direct_quarantine_served (Request *request);
/* An upstream ran the request to its end, but without success. */
void direct_quarantine_answered (Request *request);
/* UPSTREAM broke off the request. */
void direct_quarantine_broken_off (Request *request, const DirectUpstream *upstream);
/* Merges what another entry told of signatures. */
void direct_quarantine_merge (Requests *requests, const DlSignatureRecords *records);
/* The store keeps that the whole request with the signature ID was quarantined, and sent
 * as a trial TRIALS times. */
void
direct_quarantine_restore (Requests *requests, const DlSignature *id, unsigned trials);
/* Ends the requests that are in progress and were quarantined, and publishes changed
 * records.  To be called with every sweep. */
void direct_quarantine_tick (Requests *requests, uint64_t now_ms);
/* Adopts the entries of MESSAGE, which is DIRECT_ENTRIES, for the turns of trials. */
void direct_quarantine_set_entries (Requests *requests, const DirectMessage *message);

#endif
