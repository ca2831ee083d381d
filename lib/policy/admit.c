#include "policy/admit.h"

#define MICRO          UINT64_C (1000000)
#define MS_PER_S       1000
#define PERCENT        100
#define JITTER_DIVISOR 2 /* retry times vary by up to one part in this many */

static uint64_t
at_least_one (uint64_t n)
{
  return n > 0 ? n : 1;
}

/* The entry's share of a fleet-wide AMOUNT. */
static uint64_t
share_of (const DlAdmitShare *share, uint64_t amount)
{
  uint64_t even = amount / at_least_one (share->entries);
  double by_demand;

  if (share->all_demand == 0 || share->own_demand > share->all_demand)
    return even;
  by_demand = (double)amount * (double)share->own_demand / (double)share->all_demand;
  return even / 2 + (uint64_t)(by_demand / 2);
}

uint64_t
dl_admit_rate_micro (const DlAdmitShare *share)
{
  return at_least_one (share_of (share, share->limit_per_s * MICRO));
}

/* At least one whole request; an entry with less could never admit any. */
static uint64_t
bucket_size (const DlAdmitShare *share)
{
  uint64_t size = share_of (share, share->burst * MICRO);

  return size > MICRO ? size : MICRO;
}

static void
bucket_refill (DlAdmitBucket *b, const DlAdmitShare *share, uint64_t now_ms)
{
  uint64_t size = bucket_size (share);
  uint64_t elapsed_ms = now_ms > b->updated_ms ? now_ms - b->updated_ms : 0;
  double micro_tokens
      = (double)b->micro_tokens
        + (double)elapsed_ms * (double)dl_admit_rate_micro (share) / MS_PER_S;

  if (!b->filled || micro_tokens > (double)size)
    micro_tokens = (double)size;
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
  uint64_t missing;

  bucket_refill (bucket, share, now_ms);
  if (bucket->micro_tokens >= MICRO)
    {
      bucket->micro_tokens -= MICRO;
      return 0;
    }
  missing = MICRO - bucket->micro_tokens;
  return clamp_retry (missing * MS_PER_S / dl_admit_rate_micro (share) + 1);
}

void
dl_admit_return_token (DlAdmitBucket *bucket)
{
  bucket->micro_tokens += MICRO;
}

/* Slots that the priority may use: all for the most urgent, fewer for each next one. */
static unsigned
slots_of_priority (const DlAdmitQuery *q)
{
  unsigned reserved;

  if (q->priorities <= 1 || q->priority == 0)
    return q->slots;
  reserved = q->slots * (PERCENT - DL_ADMIT_LEAST_PERCENT) * q->priority
             / (PERCENT * (q->priorities - 1));
  return q->slots - reserved;
}

/* The organisation's share of the slots that this entry uses or could use now. */
static uint64_t
fair_share (const DlAdmitQuery *q)
{
  uint64_t free_slots = q->slots > q->used ? q->slots - q->used : 0;
  uint64_t share
      = (q->own_used + free_slots) * q->weight / at_least_one (q->active_weight);

  return at_least_one (share);
}

static bool
is_contended (const DlAdmitQuery *q)
{
  unsigned queues = q->slots - q->capacity;

  return q->used >= q->capacity + queues * DL_ADMIT_CONTENTION_PERCENT / PERCENT;
}

DlAdmitDecision
dl_admit_check (const DlAdmitQuery *query)
{
  if (query->used >= query->slots)
    return DL_ADMIT_FULL;
  if (query->used >= slots_of_priority (query))
    return DL_ADMIT_PRIORITY;
  if (is_contended (query) && query->held >= fair_share (query))
    return DL_ADMIT_SHARE;
  return DL_ADMIT_ACCEPT;
}

uint64_t
dl_admit_retry_after_ms (const DlAdmitQuery *query, uint64_t random)
{
  const DlAdmitQuery *q = query;
  uint64_t excess = q->used >= q->slots ? q->used - q->slots + 1 : 1;
  uint64_t wait_ms = q->duration_ms * (excess + q->slots / 2) / at_least_one (q->slots);

  wait_ms = clamp_retry (wait_ms);
  return wait_ms + random % (wait_ms / JITTER_DIVISOR);
}
