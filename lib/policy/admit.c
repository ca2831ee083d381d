#include "policy/admit.h"

#define MILLIONTHS     UINT64_C (1000000)
#define MS_PER_S       1000
#define PERCENT        100
#define JITTER_DIVISOR 2 /* the time to come back varies by one part in this many */

static uint64_t
at_least_one (uint64_t n)
{
  return n > 0 ? n : 1;
}

/* The entry's part of a fleet-wide AMOUNT. */
static uint64_t
share_of (const DlAdmitShare *share, uint64_t amount_u)
{
  uint64_t even = amount_u / at_least_one (share->entries);
  double by_demand;

  if (share->all_demand == 0 || share->own_demand > share->all_demand)
    return even;
  by_demand = (double)amount_u * (double)share->own_demand / (double)share->all_demand;
  return even / 2 + (uint64_t)(by_demand / 2);
}

uint64_t
dl_admit_rate_micro (const DlAdmitShare *share)
{
  return at_least_one (share_of (share, share->limit_per_s * MILLIONTHS));
}

/* At least one whole request, or an entry could never admit any. */
static uint64_t
bucket_size_u (const DlAdmitShare *share)
{
  uint64_t size = share_of (share, share->burst * MILLIONTHS);

  return size > MILLIONTHS ? size : MILLIONTHS;
}

static void
bucket_refill (DlAdmitBucket *b, const DlAdmitShare *share, uint64_t now_ms)
{
  uint64_t size_u = bucket_size_u (share);
  uint64_t elapsed_ms = now_ms > b->updated_ms ? now_ms - b->updated_ms : 0;
  double micro_tokens
      = (double)b->micro_tokens
        + (double)elapsed_ms * (double)dl_admit_rate_micro (share) / MS_PER_S;

  if (!b->filled || micro_tokens > (double)size_u)
    micro_tokens = (double)size_u;
  b->filled = true;
  b->micro_tokens = (uint64_t)micro_tokens;
  b->updated_ms = now_ms;
}

static uint64_t
clamp_retry (uint64_t ms)
{
  if (ms < DL_ADMIT_RETRY_MIN_MS)
    return DL_ADMIT_RETRY_MIN_MS;
  return ms < DL_ADMIT_RETRY_MAX_MS ? ms : DL_ADMIT_RETRY_MAX_MS;
}

uint64_t
dl_admit_take_token (DlAdmitBucket *bucket, const DlAdmitShare *share, uint64_t now_ms)
{
  uint64_t missing_u;

  bucket_refill (bucket, share, now_ms);
  if (bucket->micro_tokens >= MILLIONTHS)
    {
      bucket->micro_tokens -= MILLIONTHS;
      return 0;
    }
  missing_u = MILLIONTHS - bucket->micro_tokens;
  return clamp_retry (missing_u * MS_PER_S / dl_admit_rate_micro (share) + 1);
}

void
dl_admit_return_token (DlAdmitBucket *bucket)
{
  bucket->micro_tokens += MILLIONTHS;
}

/* Places that a priority may use: all for the most urgent, fewer for each one after. */
static unsigned
places_of_priority (const DlAdmitQuery *p)
{
  unsigned kept;

  if (p->priorities <= 1 || p->priority == 0)
    return p->slots;
  kept = p->slots * (PERCENT - DL_ADMIT_LEAST_PERCENT) * p->priority
         / (PERCENT * (p->priorities - 1));
  return p->slots - kept;
}

/* The organisation's share of the places that this entry uses or could use now. */
static uint64_t
fair_share (const DlAdmitQuery *p)
{
  uint64_t free_places = p->slots > p->used ? p->slots - p->used : 0;
  uint64_t share
      = (p->own_used + free_places) * p->weight / at_least_one (p->active_weight);

  return at_least_one (share);
}

static bool
is_contended (const DlAdmitQuery *p)
{
  unsigned queues = p->slots - p->capacity;

  return p->used >= p->capacity + queues * DL_ADMIT_CONTENTION_PERCENT / PERCENT;
}

DlAdmitDecision
dl_admit_check (const DlAdmitQuery *p)
{
  if (p->used >= p->slots)
    return DL_ADMIT_FULL;
  if (p->used >= places_of_priority (p))
    return DL_ADMIT_PRIORITY;
  if (is_contended (p) && p->held >= fair_share (p))
    return DL_ADMIT_SHARE;
  return DL_ADMIT_ACCEPT;
}

uint64_t
dl_admit_retry_after_ms (const DlAdmitQuery *p, uint64_t random)
{
  uint64_t over = p->used >= p->slots ? p->used - p->slots + 1 : 1;
  uint64_t wait_ms = p->duration_ms * (over + p->slots / 2) / at_least_one (p->slots);

  wait_ms = clamp_retry (wait_ms);
  return wait_ms + random % (wait_ms / JITTER_DIVISOR);
}
