/*
 * Admission of requests at one entry.
 *
 * Two checks, both answered at once, each refusal with a time to come back:
 *
 * The rate limit of an organisation holds over the whole fleet and is kept without a
 * central counter.  Each entry enforces its own share of the limit by a token bucket.
 * Half of the limit is split evenly over the live entries, half by the demand that each
 * entry saw last, which the entries learn from each other's status; an entry that knows
 * no demand of others assumes an even split.  The shares of entries that agree on the
 * figures add up to the limit; while they disagree, for the few seconds that a status
 * takes, the sum can exceed it by at most half.
 *
 * Under contention, when the upstreams of a service have begun to queue, an organisation
 * may hold at most its weight's share of the places, counted over the organisations that
 * hold any or asked lately, and the less urgent priorities may not use the last places.
 * Without contention neither limit applies: idle capacity is not kept from anybody.  The
 * queue is the upstreams' own, bounded by the service's settings; the entry holds no
 * request back.  The slot decides the same way with exact counts of its own upstream, so
 * that entries need not agree; an entry decides ahead by what it knows, so that most
 * refusals cost the upstream nothing.
 */
#ifndef DL_ADMIT_H
#define DL_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DL_ADMIT_RETRY_MIN_MS 100
#define DL_ADMIT_RETRY_MAX_MS 60000
/* Part of the queues, in percent, beyond which a service is under contention. */
#define DL_ADMIT_CONTENTION_PERCENT 25
/* An organisation that asked within this time counts as active. */
#define DL_ADMIT_ACTIVE_MS 5000
/* Part of the places, in percent, that the least urgent priority may use. */
#define DL_ADMIT_LEAST_PERCENT 85

/* The entry's share of one organisation's limit. */
typedef struct
{
  uint64_t limit_per_s; /* of the organisation, over the fleet */
  uint64_t burst;       /* of the organisation, over the fleet */
  unsigned entries;     /* live entries, this one included; at least 1 */
  uint64_t own_demand;  /* requests per second that callers tried here, last seen */
  uint64_t all_demand;  /* the same over all entries; 0: not known */
} DlAdmitShare;

typedef struct
{
  uint64_t micro_tokens; /* millionths of a request */
  uint64_t updated_ms;   /* of the last refill */
  bool filled;           /* false before the first use */
} DlAdmitBucket;

/* Millionths of a request per second that the entry may admit of the organisation. */
uint64_t dl_admit_rate_micro (const DlAdmitShare *share);
/* Takes one token; returns 0, or the milliseconds until there will be one. */
uint64_t
dl_admit_take_token (DlAdmitBucket *bucket, const DlAdmitShare *share, uint64_t now_ms);
/* Gives back the token of a request that was refused after all. */
void dl_admit_return_token (DlAdmitBucket *bucket);

/* Who asks for a place at the upstreams of a service. */
typedef struct
{
  unsigned slots;         /* capacity and queues of the connected upstreams */
  unsigned capacity;      /* of the places, those that run at once */
  unsigned used;          /* of them, by all entries, as far as is known */
  unsigned own_used;      /* of them, by this entry */
  unsigned held;          /* by the organisation, through this entry */
  uint64_t weight;        /* of the organisation */
  uint64_t active_weight; /* of the active organisations, this one included */
  unsigned priority;      /* 0: most urgent */
  unsigned priorities;    /* how many there are */
  uint64_t duration_ms;   /* usual duration of a request */
} DlAdmitQuery;

typedef enum
{
  DL_ADMIT_ACCEPT,
  DL_ADMIT_FULL,     /* no place is left */
  DL_ADMIT_PRIORITY, /* what is left is kept for more urgent ones */
  DL_ADMIT_SHARE,    /* the organisation holds its share */
} DlAdmitDecision;

DlAdmitDecision dl_admit_check (const DlAdmitQuery *place);
/* When a request refused for want of a place should come back: as long as the upstreams
 * need to work off what waits before it, varied by RANDOM so that refused callers do not
 * return together. */
uint64_t dl_admit_retry_after_ms (const DlAdmitQuery *place, uint64_t random);

#endif
