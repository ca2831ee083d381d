/*
 * The callers' side of the entry: what the parts of the callers task share.
 *
 *   callers.c          the task: listener, admission, refusals, planned stop
 *   callers_ask.c      what a request must bring
 *   callers_address.c  which entries callers should use
 *   callers_request.c  one request: tries, retries, resumed streams
 *   callers_claim.c    one claimed call that must run at most once
 *   callers_expiry.c   deletes claims when their time has passed
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

/* An organisation as this entry meets it. */
typedef struct
{
  char *name;
  DlAdmitBucket bucket;
  unsigned tried_now; /* requests in the current second */
  unsigned demand;    /* in the last whole second */
} CallerOrganisation;

/* State of the callers task. */
typedef struct
{
  DlTask *task;
  const EntrySettings *settings;
  DlHttpServer *server;
  DlObjectClient *objects;
  GHashTable *organisations;   /* by name, of CallerOrganisation */
  GHashTable *budgets;         /* by service name, of DlRetryBudget */
  GHashTable *tries;           /* uint64_t id to CallerTry */
  uint32_t published_running;  /* of the last LOAD */
  GHashTable *entry_status;    /* by host, of EntryMessage ENTRY_STATUS */
  GHashTable *claims_seen;     /* char * object name to uint64_t first seen, ms */
  const EntryMessage *members; /* last MEMBERS; NULL before the first */
  const EntryMessage *fleet;
  bool in_contact;
  bool stopping;
  GQueue expiries; /* of ClaimExpiry, the first one due first */
  unsigned claims; /* in progress or being recorded */
  uint64_t next_id;
} CallersTask;

/* What a caller asks for, once checked. */
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
  bool model;
  uint32_t resume_from;
  uint64_t prefix;
  DlStr body;
} CallerAsk;

/* One try: the messages of upstreams about ID go to ON_RESPONSE. */
typedef struct
{
  uint64_t id;
  void (*on_response) (const EntryMessage *message, void *data);
  void *data;
} CallerTry;

/* Starts a try of ASK; TRY must stay until its END or its cancel. */
void callers_send (CallersTask *callers,
                   CallerTry *try,
                   const CallerAsk *ask,
                   const EntryRequest *details);
void callers_cancel (CallersTask *callers, CallerTry *try);
void callers_credit (CallersTask *callers, const CallerTry *try, size_t bytes);

/* What a refusal says of the request. */
typedef enum
{
  CALLERS_NOT_RUN,
  CALLERS_UNKNOWN,
  CALLERS_IN_PROGRESS, /* of a repeated key */
  CALLERS_DONE,        /* it ran; its answer is not to be had any more */
} CallersOutcome;

void callers_refuse (CallersTask *callers,
                     DlHttpRequest *http,
                     unsigned status,
                     CallersOutcome outcome,
                     uint64_t retry_after_ms,
                     const char *error);
DlRetryBudget *callers_budget (CallersTask *callers, const char *service);
uint64_t callers_retry_percent (const CallersTask *callers);
/* Copies ASK with its texts below CONTEXT; the service is kept by the name only. */
CallerAsk *callers_copy_ask (const void *context, const CallerAsk *ask);

/* Reads the request for PATH, after "/v1/services/", into ASK, whose texts are HTTP's.
 * Returns NULL, or what the caller must change, with the HTTP status that says so. */
const char *callers_read_ask (const DlFleet *fleet,
                              DlHttpRequest *http,
                              const char *path,
                              CallerAsk *ask,
                              unsigned *status);
void callers_answer_address (CallersTask *callers, DlHttpRequest *http);
void
caller_request_start (CallersTask *callers, DlHttpRequest *http, const CallerAsk *ask);
void caller_claim_start (CallersTask *callers, DlHttpRequest *http, const CallerAsk *ask);

/* The claim NAME has its end recorded at REVISION: it is to be deleted later. */
void callers_expire_later (CallersTask *callers, const char *name, uint64_t revision);
/* Deletes claims that are due, a few each second. */
void callers_expire (CallersTask *callers);
void callers_expiries_clear (CallersTask *callers);

#endif
