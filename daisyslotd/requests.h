/*
 * Live requests at the slot: what the parts of the requests task share.
 *
 *   requests.c         the task: connections from entries, status, planned stop
 *   requests_stream.c  one request: the call to the engine or service and its stream
 *   requests_cache.c   the engine's cache events, passed on to the entries
 */
#ifndef REQUESTS_H
#define REQUESTS_H

#include <glib.h>

#include "daisyslotd.h"
#include "kernel/http_client.h"

#include "policy/admit.h"

typedef struct RequestPeer RequestPeer;
typedef struct SlotRequest SlotRequest;

/* Requests in progress of one organisation, over all entries. */
typedef struct
{
  char *organisation;
  unsigned count;
  uint64_t asked_ms; /* when it last asked for one */
} RequestHolder;

/* State of the requests task. */
typedef struct
{
  DlTask *task;
  const SlotSettings *settings;
  DlHttpClient *http;
  GHashTable *peers;   /* set of RequestPeer */
  GHashTable *holders; /* by organisation, of RequestHolder */
  bool accept;         /* in rotation */
  bool stopping;
  const SlotMessage *status; /* last STATUS; NULL before the first */
  const SlotMessage *fleet;
  const SlotMessage *engine;
  uint64_t last_cache_event; /* that the engine told */
  DlHttpCall *cache_poll;    /* NULL between polls */
  unsigned running;          /* requests in progress, also those whose entry is gone */
  uint64_t mean_duration_us; /* smoothed, of requests that ended */
  uint64_t mean_first_byte_us;
  unsigned published_running; /* in the last LOAD */
  uint64_t published_first_byte_us;
  unsigned reported_running; /* in the last status to entries */
} RequestsTask;

/* A connection from an entry. */
struct RequestPeer
{
  RequestsTask *requests;
  DlConn *conn;
  GHashTable *streams; /* uint64_t stream to SlotRequest */
};

/* Begins the request that FRAME opens, or ends it at once as not run. */
void slot_request_open (RequestPeer *peer,
                        uint64_t stream,
                        const Daisyloft__Wire__RequestOpen *open,
                        DlStr body);
/* The entry lets COUNT more response bytes be sent. */
void slot_request_credit (SlotRequest *request, uint32_t count);
/* The entry wants the request no more; the stream ends when the engine has said what
 * became of it. */
void slot_request_cancel (SlotRequest *request);
/* The entry is gone.  A call that must not be sent twice runs on to its end. */
void slot_request_orphan (SlotRequest *request);

/* The engine answers no more: ends the request as broken. */
void slot_request_give_up (SlotRequest *request);

RequestHolder *requests_holder (RequestsTask *requests, const char *organisation);
/* Whether one more request of HOLDER may be taken. */
DlAdmitDecision
requests_admit (RequestsTask *requests, RequestHolder *holder, unsigned priority);
/* When a refused request should come back. */
uint32_t requests_retry_after_ms (const RequestsTask *requests);
/* A request has ended; DURATION_US is 0 when it never reached the engine. */
void requests_ended (RequestsTask *requests, uint64_t duration_us);

/* Asks the engine for cache events after the last one, and tells the entries. */
void requests_poll_cache (RequestsTask *requests);

#endif
