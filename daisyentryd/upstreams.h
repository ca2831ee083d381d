/*
 * Internal interface of the upstreams task, which holds request connections to slot
 * processes (daisyslotd).
 *
 *   upstreams.c         the task: selection of slot processes, connections, status
 *   upstreams_stream.c  one attempt of a request: admission, routing, its stream
 */
#ifndef UPSTREAMS_H
#define UPSTREAMS_H

#include <glib.h>

#include "daisyentryd.h"
#include "policy/breaker.h"
#include "policy/prefix.h"
#include "policy/route.h"

typedef struct Upstream Upstream;
typedef struct UpstreamStream UpstreamStream;

/* Request slots that one organisation holds at a service's upstreams by this entry. */
typedef struct
{
  char *organisation;
  unsigned count;
  uint64_t last_request_ms; /* when it last requested one */
} OrganisationUsage;

/* Requests of this entry to the upstreams of one service. */
typedef struct
{
  char *name;
  GHashTable *usages;     /* by organisation, of OrganisationUsage */
  unsigned in_flight;     /* requests in progress */
  uint64_t duration_us;   /* moving average, of complete requests */
  uint64_t first_byte_us; /* moving average, over all upstreams */
} UpstreamService;

/* State of the upstreams task. */
typedef struct
{
  DlTask *task;
  const EntrySettings *settings;
  GHashTable *upstreams;       /* by name, of Upstream */
  GHashTable *moved;           /* set of Upstream: whose name now belongs to another */
  GHashTable *services;        /* by name, of UpstreamService */
  GHashTable *streams;         /* by uint64_t id, of UpstreamStream */
  const EntryMessage *members; /* last MEMBERS; NULL before the first */
  const EntryMessage *fleet;
  const EntryMessage *snapshot; /* NULL before the first */
  DlPrefixIndex *prefixes;
} UpstreamsTask;

/* A slot process that the entry connects to, or still has requests at. */
struct Upstream
{
  UpstreamsTask *upstreams;
  char *name;
  char *service;
  char *address;
  uint64_t hash; /* of the name, for the prefix index */
  DlDistance distance;
  bool selected;       /* in the subset that this entry connects to */
  bool listed_leaving; /* by the host list, which lags */
  bool moved;          /* only its requests in progress count */
  bool drained;        /* by operators */
  DlConn *conn;        /* NULL while waiting to reconnect */
  bool open;
  DlTimer *reconnect_timer;
  uint64_t backoff_ms;
  bool reported; /* a status arrived on this connection */
  bool accepts;
  bool leaving;
  DlDigest version;
  unsigned capacity;
  unsigned load; /* requests running and queued, by its last status */
  uint64_t incarnation;
  unsigned in_flight_at_report; /* in_flight when that status arrived */
  unsigned in_flight;           /* requests of this entry there */
  uint64_t sent_ms;             /* when the last request was sent; 0: none yet */
  unsigned awaiting_head;       /* requests whose response has not begun */
  uint64_t awaiting_since_ms;   /* when that last went down, or rose from 0 */
  DlBreaker breaker;
};

/* Returns the state of the service NAME, which lasts as long as the task. */
UpstreamService *upstreams_service (UpstreamsTask *upstreams, const char *name);

/* Handles a REQUEST message. */
void upstream_stream_handle (UpstreamsTask *upstreams, const EntryMessage *message);
/* Handles a frame of a stream that arrived from UPSTREAM. */
void
upstream_stream_frame (Upstream *upstream, const DlEnvelope *envelope, DlStr payload);
/* Ends all streams of the upstream, whose connection was closed with ERROR.  After
 * DL_ERR_ENDED those without a response certainly were not run. */
void upstream_fail_streams (Upstream *upstream, int error);

#endif
