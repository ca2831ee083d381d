/*
 * State and functions shared by the modules of the requests task.
 *
 *   requests.c         connections from entries, limits, status, graceful shutdown
 *   requests_stream.c  one request: the call to the engine or service and its stream
 *   requests_cache.c   forwarding of the engine's cache events to entries
 */
#ifndef REQUESTS_H
#define REQUESTS_H

#include <glib.h>

#include "daisyslotd.h"
#include "kernel/http_client.h"
#include "policy/admit.h"

typedef struct RequestPeer RequestPeer;
typedef struct SlotRequest SlotRequest;

/* Request slots that an organisation holds at this upstream, over all entries. */
typedef struct
{
  char *organisation;
  unsigned count;
  uint64_t requested_ms; /* when a request of it last arrived */
} OrganisationUsage;

/* State of the requests task. */
typedef struct
{
  DlTask *task;
  const SlotSettings *settings;
  DlHttpClient *http;
  GHashTable *peers;         /* set of RequestPeer; each is talloc-owned by the task */
  GHashTable *usages;        /* organisation to OrganisationUsage */
  bool accept;               /* in rotation: the engine task allows new requests */
  bool stopping;             /* graceful shutdown has begun */
  const SlotMessage *status; /* last STATUS, referenced; NULL before the first */
  const SlotMessage *fleet;
  const SlotMessage *engine;
  uint64_t received_us;        /* when any part of a response last came */
  uint64_t last_cache_event;   /* number of the last one read from the engine */
  DlHttpCall *cache_poll;      /* NULL between polls */
  unsigned running;            /* including requests whose entry has disconnected */
  uint64_t mean_duration_us;   /* smoothed, of completed requests */
  uint64_t mean_first_byte_us; /* smoothed */
  unsigned published_running;  /* in the last LOAD */
  uint64_t published_first_byte_us;
  unsigned reported_running; /* in the last status to entries */
} RequestsTask;

/* A connection from an entry. */
struct RequestPeer
{
  RequestsTask *requests;
  DlConn *conn;
  GHashTable *streams; /* stream identifier (uint64_t) to SlotRequest */
};

/* Starts a request that an entry has opened, or refuses it as not run.  A request
 * on a stream that is in use already is ignored. */
void slot_request_open (RequestPeer *peer,
                        uint64_t stream,
                        const Daisyloft__Wire__RequestOpen *open,
                        DlStr body);
/* Permits COUNT more response bytes to be sent to the entry. */
void slot_request_credit (SlotRequest *request, uint32_t count);
/* Cancels the request.  Its stream ends when the engine has reported whether it ran; for
 * a plain service it ends at once. */
void slot_request_cancel (SlotRequest *request);
/* The entry has disconnected.  Cancels the request, except that a request which must not
 * be sent twice runs to its end. */
void slot_request_detach (SlotRequest *request);

/* The engine does not respond to polls of its state.  Ends the request, unless it was
 * sent, or any part of a response came from the engine, a short time ago: as cut off if
 * the response had begun, as unknown otherwise. */
void slot_request_abort_if_silent (SlotRequest *request);

/* Returns the usage of ORGANISATION, which lives as long as the task. */
OrganisationUsage *requests_usage (RequestsTask *requests, const char *organisation);
/* Records that a request of the organisation has arrived, and decides whether to accept
 * it.  PRIORITY 0 is the most urgent. */
DlAdmitDecision
requests_admit (RequestsTask *requests, OrganisationUsage *usage, unsigned priority);
/* Milliseconds after which a refused request should be retried. */
uint32_t requests_retry_after_ms (const RequestsTask *requests);
/* Records that a request has ended.  DURATION_US is 0 unless it completed. */
void requests_ended (RequestsTask *requests, uint64_t duration_us);

/* Reads the engine's cache events since the last poll and sends them to the entries. */
void requests_poll_cache (RequestsTask *requests);

#endif
