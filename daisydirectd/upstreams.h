/*
 * The upstreams that the task "requests" may send to, and estimates of their load.
 */
#ifndef DIRECT_UPSTREAMS_H
#define DIRECT_UPSTREAMS_H

#include <glib.h>

#include "daisydirectd.h"
#include "policy/availability.h"
#include "policy/balance.h"
#include "policy/breaker.h"
#include "policy/cold_start.h"
#include "policy/evacuation.h"
#include "policy/load_proof.h"
#include "policy/machine_pace.h"
#include "policy/rate_limit.h"
#include "policy/routing.h"

typedef struct DirectUpstreams DirectUpstreams;

/* One instance of an upstream.  After it was removed from the list it is freed with its
 * last attempt, or later when what it announced is to be remembered. */
typedef struct DirectUpstream
{
  char *id;
  char *service;
  char *address;
  char *data_center;
  const char *region;    /* of the data centre; NULL if unknown */
  bool same_data_center; /* as this entry */
  uint64_t started_ms;   /* wall clock at its start; 0 when unknown */
  DlRateLimit limit;     /* of requests that it takes from all entries */
  DlMachinePace machine_pace;
  DlColdStart cold;
  DlColdShare cold_share; /* this entry's, if the next says so */
  bool has_cold_share;
  uint64_t engine_started_ms;  /* as its stager last told; 0 for never */
  GHashTable *idle_entries;    /* address of an entry to when it told that it has no
                                * requests for the service */
  DlAvailability availability; /* as it announced in responses or in the list */
  DlAddressClaim claim;        /* to its address */
  bool contested;              /* another listed upstream has claimed the same address */
  bool displaced;              /* another upstream responds at its address */
  bool removed;                /* no longer listed */
  uint64_t removed_ms;         /* when it was removed from the list */
  bool has_engine;             /* according to its list entry or its stager */
  bool loading;                /* down, loading weights, or not known to have sound ones,
                                * according to its stager */
  DlSoundLoad sound_load;      /* its last load that its stager knew to be sound */
  uint64_t version;            /* of the weights that it serves; 0 for none */
  unsigned slots;              /* request slots */
  uint64_t stager_report_ms;   /* when its stager last reported on it; 0 for never, and
                                * an engine is not used before */
  unsigned attempts;           /* in progress at it */
  DlUpstreamLoad load;
  DlBreaker breaker;
  DirectUpstreams *owner;
  struct DirectUpstream *next;
} DirectUpstream;

/* Returns an empty set, a talloc child of CONTEXT; SETTINGS is not copied. */
DirectUpstreams *direct_upstreams_new (const void *context,
                                       const DlNodeSettings *settings);
/* Adds the upstream of ENTRY, or updates the one with its id.  An instance that started
 * later than the known one of this id replaces it. */
void direct_upstreams_set (DirectUpstreams *upstreams,
                           const DlUpstreamEntry *entry,
                           uint64_t now_ms);
/* The upstream ID is no longer listed; nothing happens when it is not known. */
void
direct_upstreams_remove (DirectUpstreams *upstreams, const char *id, uint64_t now_ms);
/* Updates the upstream at the engine's address, if there is one, from its stager's
 * report; all of them, when the start times do not tell several apart. */
void direct_upstreams_update_engine (DirectUpstreams *upstreams,
                                     const DirectEngineStatus *engine,
                                     uint64_t now_ms);
/* The evacuation of DATA_CENTER began, or ended. */
void direct_upstreams_set_evacuated (DirectUpstreams *upstreams,
                                     const char *data_center,
                                     bool is_evacuated,
                                     uint64_t now_ms);
/* All evacuations are known. */
void direct_upstreams_evacuations_known (DirectUpstreams *upstreams);
/* True when it may be that a data centre is evacuated which is not known to be. */
bool direct_upstreams_may_be_evacuated (const DirectUpstreams *upstreams);
/* Adopts the registered entries, for the shares of cold upstreams; MESSAGE is
 * DIRECT_REGISTERED and is referred to until the next call. */
void direct_upstreams_set_registered (DirectUpstreams *upstreams, DirectMessage *message);
/* Adopts FLOOR: what is known of the announcements of versions. */
void direct_upstreams_set_floor (DirectUpstreams *upstreams, const DlVersionFloor *floor);
/* Sets how many entries accept requests, in this entry's region, itself included, and in
 * others. */
void direct_upstreams_set_entries (DirectUpstreams *upstreams,
                                   unsigned same_region,
                                   unsigned other_region);
/* Number of entries that accept requests, in all regions; at least 1. */
unsigned direct_upstreams_entry_count (const DirectUpstreams *upstreams);

/* Calls FUNC for each listed upstream. */
void direct_upstreams_foreach (const DirectUpstreams *upstreams,
                               void (*func) (DirectUpstream *upstream, void *data),
                               void *data);
/* Identifies the instance of the upstream, alike at all entries. */
uint64_t direct_upstream_key (const DirectUpstream *upstream);

/* What to choose an upstream for. */
typedef struct
{
  const DlServiceEntry *service;
  DlHomes homes; /* that bind the request */
  /* Id of an upstream at which the request failed, chosen only if no other has a free
   * request slot; NULL for none. */
  const char *avoid_upstream;
  bool wait_for_others; /* or even then, unless no other may get requests at all */
  /* Ids of the upstreams that have the request, which is to be sent to one more, NULL at
   * the end: neither they nor one with an open circuit breaker is chosen.  NULL for none.
   */
  const char *const *holders;
  uint64_t now_ms;
} DirectUpstreamQuery;

/* Returns the upstream to send a request to, or NULL with *ERROR set: -EBUSY when no
 * upstream has a free request slot, -ENOENT when none serves the service. */
DirectUpstream *direct_upstreams_choose (const DirectUpstreams *upstreams,
                                         const DirectUpstreamQuery *query,
                                         int *error);
/* Time until the first upstream that could serve the request takes requests again, when
 * all of them hold off or are at their limit; 0 when that is not the case. */
uint64_t direct_upstreams_hold_ms (const DirectUpstreams *upstreams,
                                   const DirectUpstreamQuery *query);
/* The lowest version of weights that may start a request at NOW_MS; 0 for any. */
uint64_t direct_upstreams_required_version (const DirectUpstreams *upstreams,
                                            uint64_t now_ms);
/* The lowest version of weights at which a request that has not started may still wait at
 * NOW_MS; 0 for any. */
uint64_t direct_upstreams_waiting_version (const DirectUpstreams *upstreams,
                                           uint64_t now_ms);
/* The newest version of weights that must be in effect at NOW_MS; 0 for none. */
uint64_t direct_upstreams_due_version (const DirectUpstreams *upstreams, uint64_t now_ms);

/* Estimated load of an upstream at some time, for logs. */
typedef struct
{
  unsigned requests;     /* running or queued at it */
  int64_t report_age_ms; /* age of its last load report; -1 for none */
} DirectLoadEstimate;

DirectLoadEstimate direct_upstream_estimate (const DirectUpstream *upstream,
                                             uint64_t now_ms);

/* Numbers of upstreams of one service.  One upstream may count under several of the
 * reasons not to use it. */
typedef struct
{
  unsigned listed;    /* listed and not leaving */
  unsigned loading;   /* of these, down or loading weights */
  unsigned ejected;   /* of these, with an open circuit breaker */
  unsigned outdated;  /* of these, with weights too old to start a request */
  unsigned displaced; /* of these, with another upstream at their address */
  unsigned held_off;  /* of these, in a hold-off that they asked for */
  unsigned evacuated; /* of these, in a data centre that is evacuated */
} DirectUpstreamCount;

DirectUpstreamCount direct_upstreams_count (const DirectUpstreams *upstreams,
                                            const char *service,
                                            uint64_t now_ms);

/* An attempt was started. */
void
direct_upstream_sent (DirectUpstream *upstream, uint64_t prompt_tokens, uint64_t now_ms);
/* The response of an attempt has begun. */
void direct_upstream_started (DirectUpstream *upstream, uint64_t prompt_tokens);

/* The upstream, by name, responded to a request sent at SENT_MS: no other one runs at its
 * address. */
void direct_upstream_responded (DirectUpstream *upstream, uint64_t sent_ms);

/* How an attempt counts for its upstream's circuit breaker and failure rate. */
typedef enum
{
  DIRECT_ATTEMPT_SERVED,
  DIRECT_ATTEMPT_FAILED, /* by the upstream's fault */
  /* Could not connect, or another upstream is at its address; ejects it at once. */
  DIRECT_ATTEMPT_UNREACHABLE,
  /* Another one overtook it while the upstream was silent, which was told by
   * direct_upstream_silent. */
  DIRECT_ATTEMPT_SILENT,
  DIRECT_ATTEMPT_NEUTRAL, /* allows no conclusion about the upstream */
} DirectAttemptOutcome;

/* An attempt ended; STARTED: direct_upstream_started was called for it.  Frees the
 * upstream when it was removed and this was its last attempt. */
void direct_upstream_ended (DirectUpstream *upstream,
                            uint64_t prompt_tokens,
                            bool started,
                            DirectAttemptOutcome outcome,
                            uint64_t now_ms);
/* A response of the upstream said that it leaves: it gets no new requests, also when it
 * is listed as ready or listed again.  Requests in progress there go on. */
void direct_upstream_announced_leaving (DirectUpstream *upstream);
/* A response of the upstream asked for no requests for DURATION_MS.  Requests in progress
 * there go on. */
void direct_upstream_asked_hold_off (DirectUpstream *upstream,
                                     uint64_t duration_ms,
                                     uint64_t now_ms);
/* The upstream of an attempt has been silent for long, which counts as a failure for its
 * circuit breaker. */
void direct_upstream_silent (DirectUpstream *upstream, uint64_t now_ms);
/* True when a recent report of its stager says that the upstream serves requests. */
bool direct_upstream_is_reported_up (const DirectUpstream *upstream, uint64_t now_ms);
/* The response to a request of SENT_MS said that the upstream is cold for REMAINING_MS;
 * 0: it is not. */
void direct_upstream_told_cold (DirectUpstream *upstream,
                                uint64_t remaining_ms,
                                uint64_t sent_ms,
                                uint64_t now_ms);
/* A response of the upstream carried its load: REQUESTS running or queued, SLOTS, 0 when
 * not given.  Ignored when its stager reported lately. */
void direct_upstream_update_load (DirectUpstream *upstream,
                                  unsigned requests,
                                  unsigned slots,
                                  uint64_t now_ms);
/* A response of the upstream said how long work takes on its machine. */
void
direct_upstream_told_pace (DirectUpstream *upstream, unsigned percent, uint64_t now_ms);
/* True when the upstreams of SERVICE differ from moment to moment: they may be cold, or
 * tell the pace of their machines. */
bool direct_upstreams_are_uneven (const DirectUpstreams *upstreams,
                                  const DlServiceEntry *service);
/* Returns all upstreams as a JSON array; the caller owns it. */
json_object *direct_upstreams_dump (const DirectUpstreams *upstreams);

#endif
