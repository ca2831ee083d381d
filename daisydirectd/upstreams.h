/*
 * The upstreams that the task "requests" may send to, with their load as it knows it.
 */
#ifndef DIRECT_UPSTREAMS_H
#define DIRECT_UPSTREAMS_H

#include "daisydirectd.h"
#include "policy/balance.h"
#include "policy/breaker.h"
#include "policy/routing.h"

typedef struct DirectUpstreams DirectUpstreams;

/* One upstream.  It stays while tries refer to it, also after it left the list. */
typedef struct DirectUpstream
{
  char *id;
  char *service;
  char *address;
  bool near; /* in this entry's region */
  bool leaving;
  bool gone;       /* off the list */
  bool has_engine; /* by its entry or its stager */
  bool loading;    /* down or taking new weights, by its stager */
  uint64_t version;
  unsigned slots;            /* requests that it works on at once */
  uint64_t stager_report_ms; /* when its stager last told of it; 0 for never */
  unsigned tries;            /* that refer to it */
  DlUpstreamLoad load;
  DlBreaker breaker;
  DirectUpstreams *owner;
  struct DirectUpstream *next;
} DirectUpstream;

DirectUpstreams *direct_upstreams_new (const void *context,
                                       const DlNodeSettings *settings);
void direct_upstreams_set (DirectUpstreams *upstreams, const DlUpstreamEntry *entry);
void direct_upstreams_remove (DirectUpstreams *upstreams, const char *id);
void direct_upstreams_update_engine (DirectUpstreams *upstreams,
                                     const DirectEngineStatus *engine,
                                     uint64_t now_ms);
/* Another entry holds the version floor at VERSION. */
void direct_upstreams_raise_floor (DirectUpstreams *upstreams, uint64_t version);
void direct_upstreams_add_version (DirectUpstreams *upstreams,
                                   uint64_t version,
                                   uint64_t named_ms);
/* How many entries take requests: in this one's region, itself among them, and in others.
 */
void
direct_upstreams_set_entries (DirectUpstreams *upstreams, unsigned near, unsigned far);
/* All of them together; at least 1. */
unsigned direct_upstreams_entry_count (const DirectUpstreams *upstreams);

typedef struct
{
  const DlServiceEntry *service;
  const char
      *avoid_upstream; /* id of an upstream that failed the request; NULL for none */
  uint64_t now_ms;
} DirectUpstreamQuery;

/* The upstream to send to; NULL with *ERROR -EBUSY when all places are taken, -ENOENT
 * when none serves. */
DirectUpstream *direct_upstreams_choose (const DirectUpstreams *upstreams,
                                         const DirectUpstreamQuery *query,
                                         int *error);
/* The lowest version that may begin a request now; 0 for any. */
uint64_t direct_upstreams_required_version (const DirectUpstreams *upstreams,
                                            uint64_t now_ms);

/* What this entry knows of an upstream at some time. */
typedef struct
{
  unsigned requests;     /* there, as far as this entry can know */
  int64_t report_age_ms; /* -1 without a report */
} DirectLoadEstimate;

DirectLoadEstimate direct_upstream_estimate (const DirectUpstream *upstream,
                                             uint64_t now_ms);

/* How the upstreams of one service are. */
typedef struct
{
  unsigned listed;  /* and not leaving */
  unsigned loading; /* of these, down or taking new weights */
  unsigned ejected; /* of these, failing or silent */
  unsigned old;     /* of these, with weights that may not begin a request any more */
} DirectUpstreamCount;

DirectUpstreamCount direct_upstreams_count (const DirectUpstreams *upstreams,
                                            const char *service,
                                            uint64_t now_ms);

/* A try begins, got its first bytes, and ended.  ENDED may free the upstream. */
void
direct_upstream_sent (DirectUpstream *upstream, uint64_t prompt_tokens, uint64_t now_ms);
void direct_upstream_started (DirectUpstream *upstream, uint64_t prompt_tokens);

typedef enum
{
  DIRECT_ATTEMPT_SERVED,
  DIRECT_ATTEMPT_FAILED,      /* by the upstream's fault */
  DIRECT_ATTEMPT_UNREACHABLE, /* the upstream is out of reach or does not answer */
  DIRECT_ATTEMPT_NEUTRAL,     /* says nothing of the upstream */
} DirectAttemptOutcome;

void direct_upstream_ended (DirectUpstream *upstream,
                            uint64_t prompt_tokens,
                            bool started,
                            DirectAttemptOutcome end,
                            uint64_t now_ms);
/* True when its stager told just now that the upstream works. */
bool direct_upstream_is_reported_up (const DirectUpstream *upstream, uint64_t now_ms);
/* The upstream's answer told its load. */
void direct_upstream_update_load (DirectUpstream *upstream,
                                  unsigned requests,
                                  unsigned slots,
                                  uint64_t now_ms);
json_object *direct_upstreams_dump (const DirectUpstreams *upstreams);

#endif
