/*
 * Placing requests on upstreams.
 *
 * The load this answers: requests that hold a place of an upstream for a second or so,
 * taken by several entries at once that each learn of an upstream's load a tenth of a
 * second late.  An upstream works on CAPACITY requests at once; one more waits in its
 * queue, out of reach, and misses its latency target there.  So an entry places a request
 * only where a place is free, and lets the others wait with it.  Of the places that a
 * report shows as free, each entry takes its share, rounded at random, and besides those
 * that its own requests left since: entries that see the same hole do not fill it several
 * times over.  Among upstreams with a free place a few are drawn at random and the best
 * of them is taken, so that entries with the same reports do not all pick the same one.
 *
 * Pure: no clock, no sockets; times are milliseconds that the caller gives.
 */
#ifndef DL_BALANCE_H
#define DL_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A report older than this says nothing any more. */
#define DL_BALANCE_REPORT_MAX_AGE_MS 700
/* Draws among the upstreams with room. */
#define DL_BALANCE_SAMPLE 4

/* Part of an engine's places that is left free: entries know of each other's requests a
 * little late, and a request that waits in the engine's own queue misses its target. */
#define DL_BALANCE_HEADROOM_PERCENT 13

/* Places of an engine with SLOTS that entries fill. */
unsigned dl_balance_usable_slots (unsigned slots);

/* Load of one upstream as one entry knows it. */
typedef struct
{
  unsigned capacity;      /* requests at once */
  unsigned reported;      /* running and waiting there, by its last report */
  uint64_t reported_ms;   /* when the report was taken; 0 for never */
  unsigned share;         /* of the free places of the report, that this entry may take */
  unsigned in_flight;     /* this entry's requests there now */
  unsigned sent_since;    /* of them, sent after the report */
  unsigned ended_since;   /* of those in the report, ended after it */
  uint64_t prompt_tokens; /* of own requests without a first event yet */
  double pace;            /* time that work takes there against usual; 0 when not told */
  double failure_rate;    /* smoothed share of own requests that failed there, 0 to 1 */
} DlUpstreamLoad;

/* The upstream told its load: REPORTED requests, as of NOW.  ENTRIES is how many entries
 * send requests, RANDOM fresh for each report. */
void dl_balance_report (DlUpstreamLoad *load,
                        unsigned reported,
                        unsigned entries,
                        uint64_t random,
                        uint64_t now_ms);
/* A request was sent there. */
void dl_balance_sent (DlUpstreamLoad *load, uint64_t prompt_tokens);
/* Its first event or answer arrived, so that its prompt has been read. */
void dl_balance_started (DlUpstreamLoad *load, uint64_t prompt_tokens);
/* It ended.  STARTED: dl_balance_started was called for it.  FAILED: by the upstream's
 * fault. */
void dl_balance_ended (DlUpstreamLoad *load,
                       uint64_t prompt_tokens,
                       bool started,
                       bool failed);

/* Requests there now, as far as the entry can know.  ENTRIES is how many entries send
 * requests: without a fresh report, the others are thought to send as much as this one.
 */
double
dl_balance_estimate (const DlUpstreamLoad *load, unsigned entries, uint64_t now_ms);
/* True when one more request would find a free place. */
bool dl_balance_has_room (const DlUpstreamLoad *load, unsigned entries, uint64_t now_ms);

/* One upstream that may take the request. */
typedef struct
{
  const DlUpstreamLoad *load;
  bool same_data_center; /* in the entry's own region */
  bool allowed;          /* by its breaker */
  bool avoided;          /* has failed this request before */
} DlBalanceCandidate;

typedef struct
{
  unsigned entries;           /* entries that send requests, this one among them */
  double usual_prompt_tokens; /* mean; 0 when the service has no engine */
  uint64_t now_ms;
  uint64_t random; /* fresh for each choice */
} DlBalanceQuery;

/* Index of the candidate to send to; -EBUSY when none has a free place, -ENOENT when none
 * is allowed at all. */
int dl_balance_choose (const DlBalanceCandidate *candidates,
                       size_t count,
                       const DlBalanceQuery *query);

#endif
