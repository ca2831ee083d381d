/*
 * Request connections to slots: what the parts of the upstreams task share.
 *
 *   upstreams.c         the task: which slots to connect to, status, planned stop
 *   upstreams_stream.c  one try of a request: admission to a place, routing, its stream
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

/* Places that one organisation holds at a service's upstreams, through this entry. */
typedef struct
{
  char *organisation;
  unsigned count;
  uint64_t asked_ms; /* when it last asked for one */
} UpstreamHolder;

/* What the entry knows of the requests of one service. */
typedef struct
{
  char *name;
  GHashTable *holders;    /* by organisation, of UpstreamHolder */
  unsigned own_used;      /* requests of this entry at its upstreams */
  uint64_t duration_us;   /* smoothed, of whole requests */
  uint64_t first_byte_us; /* smoothed, over all its upstreams */
} UpstreamService;

typedef struct
{
  DlTask *task;
  const EntrySettings *settings;
  GHashTable *upstreams;       /* by name */
  GHashTable *services;        /* by name, of UpstreamService */
  GHashTable *streams;         /* uint64_t id to UpstreamStream */
  const EntryMessage *members; /* last MEMBERS; NULL before the first */
  const EntryMessage *fleet;
  const EntryMessage *snapshot; /* NULL before the first */
  DlPrefixIndex *prefixes;
} UpstreamsTask;

/* One slot, connected or wanted. */
struct Upstream
{
  UpstreamsTask *upstreams;
  char *name;
  char *service;
  char *address;
  uint64_t hash; /* of the name, for the prefix index */
  DlDistance distance;
  bool wanted;         /* in the subset that this entry connects to */
  bool listed_leaving; /* by the lagging list */
  bool drained;        /* by operators */
  DlConn *conn;        /* NULL between dials */
  bool open;
  DlTimer *redial;
  uint64_t backoff_ms;
  bool reported; /* the fields below stand */
  bool accepts;
  bool leaving;
  DlDigest version;
  unsigned capacity;
  unsigned load;
  uint64_t incarnation;
  unsigned own_at_report;
  unsigned own;
  uint64_t sent_ms;           /* when the last request was sent; 0: none yet */
  unsigned headless;          /* own requests whose answer has not begun */
  uint64_t headless_since_ms; /* nothing has begun since, and some wait */
  DlBreaker breaker;
};

UpstreamService *upstreams_service (UpstreamsTask *upstreams, const char *name);

/* A REQUEST message of any kind. */
void upstream_stream_handle (UpstreamsTask *upstreams, const EntryMessage *message);
/* A frame of a stream. */
void
upstream_stream_frame (Upstream *upstream, const DlEnvelope *envelope, DlStr payload);
/* The connection is gone: ends its streams. */
void upstream_streams_lost (Upstream *upstream);

#endif
