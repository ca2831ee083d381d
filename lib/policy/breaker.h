/*
 * Circuit breaker of one upstream, as one entry sees it.
 *
 * Consecutive failures, or a smoothed delay far above that of its peers, open the
 * breaker: the upstream gets no requests for a back-off that doubles each time it opens
 * again. After it, one request at a time probes the upstream; a success closes the
 * breaker.
 */
#ifndef DL_BREAKER_H
#define DL_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

#define DL_BREAKER_FAILURES       3 /* in a row, that open it */
#define DL_BREAKER_BACKOFF_MS     1000
#define DL_BREAKER_BACKOFF_MAX_MS 30000
#define DL_BREAKER_SLOW_FACTOR    4      /* times the peers' delay, that opens it */
#define DL_BREAKER_SLOW_MIN_US    250000 /* a delay below this is never slow */
#define DL_BREAKER_SLOW_SAMPLES   10

typedef enum
{
  DL_BREAKER_CLOSED,
  DL_BREAKER_OPEN,    /* no requests until the back-off has passed */
  DL_BREAKER_PROBING, /* one request is out to try the upstream */
} DlBreakerState;

typedef struct
{
  DlBreakerState state;
  unsigned failures; /* in a row */
  unsigned openings; /* without a success between them */
  uint64_t open_until_ms;
  uint64_t delay_us; /* smoothed time to the first response byte; 0: none yet */
  unsigned samples;
} DlBreaker;

/* True when a request may be sent now. */
bool dl_breaker_allows (const DlBreaker *breaker, uint64_t now_ms);
/* A request was sent; begins the probe when the back-off has passed. */
void dl_breaker_sent (DlBreaker *breaker, uint64_t now_ms);
/* The upstream answered after DELAY_US, 0 when the delay says nothing because the request
 * had to queue there; PEERS_DELAY_US is the usual delay of the other upstreams of its
 * service, 0 when unknown.  Returns true when this opened the breaker. */
bool dl_breaker_succeeded (DlBreaker *breaker,
                           uint64_t now_ms,
                           uint64_t delay_us,
                           uint64_t peers_delay_us,
                           uint64_t random);
/* The upstream failed the request.  Returns true when this opened the breaker. */
bool dl_breaker_failed (DlBreaker *breaker, uint64_t now_ms, uint64_t random);
/* The request ended without saying anything of the upstream (a refusal, a cancel). */
void dl_breaker_neutral (DlBreaker *breaker, uint64_t now_ms);

#endif
