/*
 * Circuit breaker of one upstream, as one entry sees it.
 *
 * Consecutive failures, or a smoothed delay far above that of its peers, open the
 * breaker: the upstream gets no requests during a backoff, which doubles each time the
 * breaker opens again.  After it, one request at a time probes the upstream; a success
 * closes the breaker.
 */
#ifndef DL_BREAKER_H
#define DL_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

#define DL_BREAKER_FAILURES       3 /* consecutive ones that open it */
#define DL_BREAKER_BACKOFF_MS     1000
#define DL_BREAKER_BACKOFF_MAX_MS 30000
#define DL_BREAKER_SLOW_FACTOR    4      /* times the peers' delay opens it */
#define DL_BREAKER_SLOW_MIN_US    250000 /* a smoothed delay up to this never opens it */
#define DL_BREAKER_SLOW_SAMPLES   10     /* needed before it opens for delay */

/* Whether requests may be sent to the upstream. */
typedef enum
{
  DL_BREAKER_CLOSED,
  DL_BREAKER_OPEN,    /* no requests until the backoff has passed */
  DL_BREAKER_PROBING, /* half-open: one request probes the upstream */
} DlBreakerState;

/* The breaker of one upstream.  Starts zeroed, which is closed. */
typedef struct
{
  DlBreakerState state;
  unsigned failures; /* consecutive */
  unsigned openings; /* since the last successful probe */
  uint64_t open_until_ms;
  uint64_t delay_us; /* smoothed time to the first byte of a response; 0: none yet */
  unsigned samples;  /* delays in delay_us */
} DlBreaker;

/* True when a request may be sent now. */
bool dl_breaker_allows (const DlBreaker *breaker, uint64_t now_ms);
/* A request was sent.  Once the backoff has passed, it is the probe. */
void dl_breaker_sent (DlBreaker *breaker, uint64_t now_ms);
/* The upstream responded after DELAY_US; 0 when the delay is not representative because
 * the request queued there.  PEERS_DELAY_US is the usual delay of the other upstreams of
 * the service, 0 when unknown.  RANDOM varies the backoff.  Returns true when this opened
 * the breaker. */
bool dl_breaker_succeeded (DlBreaker *breaker,
                           uint64_t now_ms,
                           uint64_t delay_us,
                           uint64_t peers_delay_us,
                           uint64_t random);
/* The upstream failed the request.  Returns true when this opened the breaker. */
bool dl_breaker_failed (DlBreaker *breaker, uint64_t now_ms, uint64_t random);
/* The request was refused or cancelled, which counts neither as a success nor as a
 * failure of the upstream. */
void dl_breaker_neutral (DlBreaker *breaker, uint64_t now_ms);

#endif
