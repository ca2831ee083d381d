/*
 * Load balancing of requests over upstreams.
 *
 * Requests hold a request slot of an upstream for about a second, and several entries
 * send them at once, each of which learns of an upstream's load about a tenth of a second
 * late.  An upstream works on CAPACITY requests at a time.  One more waits in its queue,
 * where the entry cannot move it, and misses its latency target.  So an entry sends a
 * request only to a free request slot and keeps the others in its own queue.
 *
 * Of the request slots that a report shows as free, each entry takes only its share,
 * rounded at random, and the request slots that its own requests have left since.
 * Otherwise all entries that see the same free request slots would fill them at once.
 * Among the upstreams with a free request slot a few are sampled at random and the best
 * of them is taken, so that entries with the same reports do not all choose the same one.
 *
 * Pure functions: no clock, no sockets.  Times are milliseconds given by the caller.
 */
#ifndef DL_BALANCE_H
#define DL_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A load report older than this is ignored. */
#define DL_BALANCE_REPORT_MAX_AGE_MS 700
/* The same of an upstream whose reports are passed on by relays of two regions. */
#define DL_BALANCE_RELAYED_MAX_AGE_MS 1500
/* Upstreams with a free request slot that are compared, sampled at random. */
#define DL_BALANCE_SAMPLE 4

/* Percentage of an engine's request slots that is left free.  Entries learn of each
 * other's requests a little late, and a request that waits in the engine's own queue
 * misses its latency target. */
#define DL_BALANCE_HEADROOM_PERCENT 13

/* Number of an engine's SLOTS request slots that entries fill; at least 1. */
unsigned dl_balance_usable_slots (unsigned slots);

/* A retry waits this long for another upstream than the one that just failed the request.
 * That one has often a free request slot, as the request has just left it, and it may be
 * down or loading before its stager has told so. */
#define DL_BALANCE_AVOID_MS 500

/* The load of one upstream, as one entry knows it. */
typedef struct
{
  unsigned capacity;      /* requests that run at once */
  bool is_relayed;        /* its reports come from another region, by relays */
  unsigned reported;      /* requests running and queued there, by its last report */
  uint64_t reported_ms;   /* when the report was received; 0: never */
  unsigned share;         /* free request slots of the report that this entry may take */
  unsigned in_flight;     /* this entry's requests there now */
  unsigned sent_since;    /* this entry's requests sent after the report */
  unsigned ended_since;   /* this entry's requests that ended after the report */
  uint64_t prompt_tokens; /* of in-flight requests without a first event yet */
  double pace;         /* time of a request there relative to the usual one; 0: unknown */
  double failure_rate; /* smoothed share of this entry's requests that failed, 0 to 1 */
} DlUpstreamLoad;

/* Takes a load report: REPORTED requests as of NOW_MS.  ENTRIES is the number of entries
 * that send requests; RANDOM is a new value for each report. */
void dl_balance_report (DlUpstreamLoad *load,
                        unsigned reported,
                        unsigned entries,
                        uint64_t random,
                        uint64_t now_ms);
/* A request was sent to the upstream. */
void dl_balance_sent (DlUpstreamLoad *load, uint64_t prompt_tokens);
/* The first event or response arrived, so the engine has processed the prompt. */
void dl_balance_started (DlUpstreamLoad *load, uint64_t prompt_tokens);
/* The request ended.  STARTED: dl_balance_started was called for it.  FAILED: it failed
 * by the upstream's fault. */
void dl_balance_ended (DlUpstreamLoad *load,
                       uint64_t prompt_tokens,
                       bool started,
                       bool failed);

/* Number of entries among which the free request slots of an upstream are divided: those
 * of its region, and a part of those of other regions, which mostly use upstreams that
 * are closer to them.  In a large fleet (IS_LARGE) relays tell these its load seldom, so
 * that they take even fewer. */
unsigned
dl_balance_sharing_entries (unsigned same_region, unsigned other_region, bool is_large);

/* Estimate of the requests at the upstream now.  Without a recent report, each of the
 * ENTRIES that send requests is assumed to have as many there as this one. */
double
dl_balance_estimate (const DlUpstreamLoad *load, unsigned entries, uint64_t now_ms);
/* True when one more request would find a free request slot.  Without a recent report
 * there is none at an upstream whose reports are relayed: hundreds of entries may take it
 * for idle. */
bool dl_balance_has_room (const DlUpstreamLoad *load, unsigned entries, uint64_t now_ms);

/* An upstream that may take the request. */
typedef struct
{
  const DlUpstreamLoad *load;
  bool same_data_center; /* as the entry */
  bool allowed;          /* by its circuit breaker */
  bool avoided;          /* it failed this request before */
  bool replaced;         /* it holds this request now; never chosen */
  double machine_pace;   /* as dl_machine_pace_at; 0: as usual */
  bool paced;            /* it takes its next request soon, but none now */
} DlBalanceCandidate;

/* What a choice depends on besides the candidates. */
typedef struct
{
  unsigned entries;           /* entries that send requests, this one included */
  double usual_prompt_tokens; /* mean of the service; 0 when it has no engine */
  /* An avoided candidate is chosen only if no other is allowed; otherwise, if no other
   * has a free request slot. */
  bool wait_for_others;
  uint64_t now_ms;
  uint64_t random; /* a new value for each choice */
} DlBalanceQuery;

/* Returns the index of the candidate to send to; -EBUSY when no allowed candidate has a
 * free request slot, -ENOENT when none is allowed. */
int dl_balance_choose (const DlBalanceCandidate *candidates,
                       size_t count,
                       const DlBalanceQuery *query);

#endif
