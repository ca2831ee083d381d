#include "policy/breaker.h"

#define SMOOTHING      8 /* a new delay counts as one part in this many */
#define JITTER_DIVISOR 4 /* the backoff varies by up to one part in this many */
#define DOUBLINGS_MAX  10

static void
breaker_open (DlBreaker *b, uint64_t now_ms, uint64_t random)
{
  unsigned doublings = b->openings < DOUBLINGS_MAX ? b->openings : DOUBLINGS_MAX;
  uint64_t backoff_ms = (uint64_t)DL_BREAKER_BACKOFF_MS << doublings;

  if (backoff_ms > DL_BREAKER_BACKOFF_MAX_MS)
    backoff_ms = DL_BREAKER_BACKOFF_MAX_MS;
  /* Keeps entries that saw the same failure from probing all at once. */
  backoff_ms += random % (backoff_ms / JITTER_DIVISOR);
  b->state = DL_BREAKER_OPEN;
  b->open_until_ms = now_ms + backoff_ms;
  b->openings++;
  b->failures = 0;
  b->samples = 0;
  b->delay_us = 0;
}

bool
dl_breaker_allows (const DlBreaker *breaker, uint64_t now_ms)
{
  switch (breaker->state)
    {
    case DL_BREAKER_CLOSED:
      return true;
    case DL_BREAKER_OPEN:
      return now_ms >= breaker->open_until_ms;
    case DL_BREAKER_PROBING:
      return false;
    }
  return false;
}

void
dl_breaker_sent (DlBreaker *breaker, uint64_t now_ms)
{
  if (breaker->state == DL_BREAKER_OPEN && now_ms >= breaker->open_until_ms)
    breaker->state = DL_BREAKER_PROBING;
}

static bool
is_slow (const DlBreaker *b, uint64_t peers_delay_us)
{
  return peers_delay_us > 0 && b->samples >= DL_BREAKER_SLOW_SAMPLES
         && b->delay_us > DL_BREAKER_SLOW_MIN_US
         && b->delay_us > peers_delay_us * DL_BREAKER_SLOW_FACTOR;
}

bool
dl_breaker_succeeded (DlBreaker *breaker,
                      uint64_t now_ms,
                      uint64_t delay_us,
                      uint64_t peers_delay_us,
                      uint64_t random)
{
  DlBreaker *b = breaker;

  b->failures = 0;
  if (b->state == DL_BREAKER_PROBING)
    {
      b->state = DL_BREAKER_CLOSED;
      b->openings = 0;
    }
  if (b->state != DL_BREAKER_CLOSED)
    return false; /* response to a request sent before the breaker opened */
  if (delay_us == 0)
    return false;
  b->delay_us = b->samples == 0 ? delay_us
                                : (b->delay_us * (SMOOTHING - 1) + delay_us) / SMOOTHING;
  b->samples++;
  if (!is_slow (b, peers_delay_us))
    return false;
  breaker_open (b, now_ms, random);
  return true;
}

bool
dl_breaker_failed (DlBreaker *breaker, uint64_t now_ms, uint64_t random)
{
  if (breaker->state == DL_BREAKER_OPEN)
    return false;
  breaker->failures++;
  if (breaker->state == DL_BREAKER_CLOSED && breaker->failures < DL_BREAKER_FAILURES)
    return false;
  breaker_open (breaker, now_ms, random);
  return true;
}

void
dl_breaker_neutral (DlBreaker *breaker, uint64_t now_ms)
{
  if (breaker->state != DL_BREAKER_PROBING)
    return;
  /* The probe had no result: the next request is a new probe. */
  breaker->state = DL_BREAKER_OPEN;
  breaker->open_until_ms = now_ms;
}
