/*
 * Internal interface of the callers task, which serves the callers of the entry.
 *
 *   callers.c          the task: listener, admission, refusals, graceful shutdown
 *   callers_parse.c    parses and checks a request
 *   callers_address.c  the addresses of entries that callers should use
 *   callers_request.c  one idempotent request: attempts, retries, resumed streams
 *   callers_claim.c    one non-idempotent call, which runs at most once
 *   callers_expiry.c   deletes claims after their retention time
 */
#ifndef CALLERS_H
#define CALLERS_H

#include <glib.h>

#include "daisyentryd.h"
#include "kernel/http_server.h"
#include "policy/admit.h"
#include "policy/retry.h"

typedef struct CallerRequest CallerRequest;
typedef struct CallerClaim CallerClaim;

/* Rate limit and demand of an organisation at this entry. */
typedef struct
{
  char *name;
  DlAdmitBucket bucket;
  unsigned requests_this_second; /* admitted or not */
  unsigned demand;               /* requests in the last whole second */
} CallerOrganisation;

/* State of the callers task. */
typedef struct
{
  DlTask *task;
  const EntrySettings *settings;
  DlHttpServer *server;
  DlObjectClient *objects;
  GHashTable *organisations;     /* by name, of CallerOrganisation */
  GHashTable *budgets;           /* by service name, of DlRetryBudget */
  GHashTable *attempts;          /* by uint64_t id, of CallerAttempt */
  uint32_t published_running;    /* in the last LOAD message */
  GHashTable *entry_status;      /* by host, of EntryMessage ENTRY_STATUS */
  GHashTable *claims_first_seen; /* by "NAME@REVISION", of uint64_t ms */
  const EntryMessage *members;   /* last MEMBERS; NULL before the first */
  const EntryMessage *fleet;
  bool in_contact;
  bool stopping;
  bool abandoned;         /* the time of the stop is over: no attempt is started */
  GQueue expiries;        /* of ClaimExpiry, in the order of their times */
  unsigned active_claims; /* calls in progress and outcomes being recorded */
  size_t held_bytes;      /* of responses to claimed calls */
  GQueue claims;          /* of CallerClaim: these */
  GQueue requests;        /* of CallerRequest: in progress */
  uint64_t next_id;
} CallersTask;

/* A caller's request, parsed and checked. */
typedef struct
{
  const DlService *service;
  const char *organisation;
  const char *region;
  const char *method;
  const char *path;
  const char *content_type;
  const char *key; /* Idempotency-Key; NULL for none */
  unsigned priority;
  bool model;           /* for a model's generate path */
  uint32_t resume_from; /* tokens of the response that the caller already has */
  uint64_t prefix;      /* hash of the prompt's prefix; 0: none */
  DlStr body;
} ParsedRequest;

/* One attempt of a request.  RESPONSE messages about ID are passed to ON_RESPONSE. */
typedef struct
{
  uint64_t id;
  void (*on_response) (const EntryMessage *message, void *data);
  void *data;
} CallerAttempt;

/* Starts an attempt of PARSED and sets its id.  DETAILS has the fields that are specific
 * to the attempt; those that PARSED sets are ignored, except resume_from.  ATTEMPT must
 * stay valid until its END message or until it is cancelled. */
void callers_start_attempt (CallersTask *callers,
                            CallerAttempt *attempt,
                            const ParsedRequest *parsed,
                            const EntryRequest *details);
/* Cancels the attempt; its ON_RESPONSE is not called again. */
void callers_cancel_attempt (CallersTask *callers, CallerAttempt *attempt);
/* Allows the upstream to send BYTES more of the response. */
void
callers_grant_credit (CallersTask *callers, const CallerAttempt *attempt, size_t bytes);

/* What a refusal says about whether the request ran. */
typedef enum
{
  CALLERS_NOT_RUN,
  CALLERS_UNKNOWN,
  CALLERS_IN_PROGRESS, /* a call with the same key */
  CALLERS_DONE,        /* it ran; its response is not available */
} CallersOutcome;

/* Responds with an error as JSON.  RETRY_AFTER_MS is 0 for no Retry-After. */
void callers_refuse (CallersTask *callers,
                     DlHttpRequest *http,
                     unsigned status,
                     CallersOutcome outcome,
                     uint64_t retry_after_ms,
                     const char *error);
/* Returns the retry budget of a service, which lasts as long as the task. */
DlRetryBudget *callers_retry_budget (CallersTask *callers, const char *service);
/* Returns retry_percent of the fleet settings; 0 before there are any. */
uint64_t callers_retry_percent (const CallersTask *callers);
/* Returns a copy of PARSED and its texts, a talloc child of CONTEXT.  Of the service,
 * only name and kind are copied. */
ParsedRequest *callers_copy_request (const void *context, const ParsedRequest *parsed);

/* Parses and checks the request for PATH, the part after "/v1/services/", into PARSED,
 * whose texts belong to HTTP or FLEET.  Returns NULL, or the error to respond with and
 * its HTTP status in STATUS. */
const char *callers_parse_request (const DlFleet *fleet,
                                   DlHttpRequest *http,
                                   const char *path,
                                   ParsedRequest *parsed,
                                   unsigned *status);
/* Responds to a request for /v1/address. */
void callers_reply_address (CallersTask *callers, DlHttpRequest *http);
/* Starts a request that may be sent more than once; it frees itself when it ends. */
void caller_request_start (CallersTask *callers,
                           DlHttpRequest *http,
                           const ParsedRequest *parsed);
/* Starts a call that must run at most once; it frees itself when it ends. */
void caller_claim_start (CallersTask *callers,
                         DlHttpRequest *http,
                         const ParsedRequest *parsed);
/* Ends each call that has not been dispatched with its final response; its claim, if it
 * is confirmed later, is recorded as not run. */
void caller_claims_abandon (CallersTask *callers);
/* Ends each request that waits for its next attempt: its stream is cut off. */
void caller_requests_abandon (CallersTask *callers);

/* Schedules the deletion of the claim NAME, whose outcome was recorded at REVISION. */
void callers_schedule_expiry (CallersTask *callers, const char *name, uint64_t revision);
/* Deletes claims that are due, a limited number at a time; called every second. */
void callers_expire_claims (CallersTask *callers);
/* Frees the scheduled deletions without carrying them out. */
void callers_clear_expiries (CallersTask *callers);

#endif
