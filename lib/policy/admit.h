/*
 * Admission control at one entry.
 *
 * Two checks.  Both decide at once, and a refusal carries a time to retry after.
 *
 * Rate limit.  An organisation's limit holds over the whole fleet without a central
 * counter.  Each entry enforces its own share by a token bucket: half of the limit is
 * split evenly over the live entries, the other half in proportion to the demand that
 * each entry saw last.  An entry that does not know the demand of all entries splits that
 * half evenly too.  This is what daisyentryd does, as the status of an entry does not
 * carry its demand.  The shares add up to the limit while the entries agree on the
 * figures.  While a change of demand has not reached all of them, the sum can exceed the
 * limit by at most half.
 *
 * Contention.  A request slot is one request running or queued at an upstream.  Once the
 * upstreams of a service have begun to queue, an organisation may hold at most its
 * weight's share of the request slots, counted over the organisations that hold request
 * slots or sent a request lately.  Less urgent priorities may not use the last request
 * slots.  Without contention there is no limit by share: idle capacity is open to
 * everybody.  Requests queue only at the upstreams, up to the limits in the service's
 * settings; the entry holds none back.
 *
 * daisyslotd decides in the same way with exact counts of its own upstream, so the
 * entries need not agree.  The entry decides beforehand by what it knows, so that most
 * refusals cost the upstream nothing.
 */
#ifndef DL_ADMIT_H
#define DL_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bounds of the time after which a refused request should be retried. */
#define DL_ADMIT_RETRY_MIN_MS 100
#define DL_ADMIT_RETRY_MAX_MS 60000
/* A service is under contention once this percentage of the request slots in its
 * upstreams' queues is in use. */
#define DL_ADMIT_CONTENTION_PERCENT 25
/* An organisation is active if it sent a request within this time. */
#define DL_ADMIT_ACTIVE_MS 5000
/* Percentage of the request slots that the least urgent priority may use. */
#define DL_ADMIT_LEAST_PERCENT 85

/* What determines the entry's share of one organisation's limit. */
typedef struct
{
  uint64_t limit_per_s; /* of the organisation, over the fleet */
  uint64_t burst;       /* of the organisation, over the fleet */
  unsigned entries;     /* live entries, this one included; at least 1 */
  uint64_t own_demand;  /* requests per second that callers sent here, as last measured */
  uint64_t all_demand;  /* the same over all entries; 0: unknown */
} DlAdmitShare;

/* Token bucket of one organisation.  A zeroed one is full at its first use. */
typedef struct
{
  uint64_t micro_tokens; /* millionths of a request */
  uint64_t updated_ms;   /* of the last refill */
  bool filled;           /* false before the first use */
} DlAdmitBucket;

/* Rate at which the entry may admit the organisation's requests, in millionths of a
 * request per second. */
uint64_t dl_admit_rate_micro (const DlAdmitShare *share);
/* Takes one token and returns 0, or returns the milliseconds until one is available. */
uint64_t
dl_admit_take_token (DlAdmitBucket *bucket, const DlAdmitShare *share, uint64_t now_ms);
/* Returns the token of a request that was refused later on. */
void dl_admit_return_token (DlAdmitBucket *bucket);

/* A request for a request slot at the upstreams of a service. */
typedef struct
{
  unsigned slots;         /* capacity and queues of the connected upstreams */
  unsigned capacity;      /* of the slots, those that run at once */
  unsigned used;          /* of the slots, by all entries, as far as is known */
  unsigned own_used;      /* of the slots, by this entry */
  unsigned held;          /* request slots of the organisation, through this entry */
  uint64_t weight;        /* of the organisation */
  uint64_t active_weight; /* of the active organisations, this one included */
  unsigned priority;      /* 0: most urgent */
  unsigned priorities;    /* number of priorities */
  uint64_t duration_ms;   /* usual duration of a request */
} DlAdmitQuery;

/* Whether a request may take a request slot, or why not. */
typedef enum
{
  DL_ADMIT_ACCEPT,
  DL_ADMIT_FULL,     /* no request slot is left */
  DL_ADMIT_PRIORITY, /* the request slots left are reserved for more urgent priorities */
  DL_ADMIT_SHARE,    /* the organisation holds its share under contention */
} DlAdmitDecision;

/* Decides whether a request may take a request slot. */
DlAdmitDecision dl_admit_check (const DlAdmitQuery *query);
/* Milliseconds after which a request refused for lack of a request slot should be
 * retried: the time that the upstreams need for the requests ahead of it, varied by
 * RANDOM so that refused callers do not all return together. */
uint64_t dl_admit_retry_after_ms (const DlAdmitQuery *query, uint64_t random);

#endif
