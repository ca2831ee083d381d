/*
 * The limit of requests a second that an upstream names, which holds for all entries
 * together.
 *
 * Entries share it without a coordinator: each spaces its own requests so that those of
 * all entries keep to the limit.  As each may have one request due at any time, only so
 * many entries hold a share that together they stay within DL_RATE_BURST_FACTOR times
 * the limit and DL_RATE_BURST requests in any DL_RATE_WINDOW_S.  Entries that want to
 * send go before those that do not, then the order is by a score that all compute alike.
 * An entry that holds no share learns from the others when the limit changes; if nobody
 * has heard from the upstream for long, it may try on its own.
 *
 * Pure: times are milliseconds given by the caller.
 */
#ifndef DL_RATE_LIMIT_H
#define DL_RATE_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DL_RATE_NONE         (-1.0) /* in place of requests a second: no limit */
#define DL_RATE_WINDOW_S     4.0
#define DL_RATE_BURST_FACTOR 1.5
#define DL_RATE_BURST        5.0
/* An entry without a share may try when nobody has heard from the upstream for so long,
 * and at least for so many intervals between requests of all entries. */
#define DL_RATE_UNHEARD_MS        15000
#define DL_RATE_UNHEARD_INTERVALS 5

/* An entry among which a limit is shared. */
typedef struct
{
  bool wants;     /* it has requests for the upstream's service */
  uint64_t score; /* of the entry for this upstream, alike at all entries */
} DlRateEntry;

/* What one entry may send to one upstream. */
typedef struct
{
  bool holds;       /* it has a share */
  unsigned divisor; /* the limit is divided by this; at least 1 */
} DlRateShare;

/* The limit of one instance of an upstream, as one entry knows it. */
typedef struct
{
  double limit_per_s;  /* of all entries together, or DL_RATE_NONE */
  uint64_t named_ms;   /* as of when the upstream named it, or none; 0: never */
  bool is_own;         /* this entry heard it itself */
  uint64_t changed_ms; /* when this entry learnt the value of LIMIT_PER_S; 0: never */
  DlRateShare share;
  uint64_t share_ms; /* when this entry got the share, or lost it */
  double phase;      /* part of an interval to wait from then on */
  uint64_t sent_ms;  /* last own request; 0: none */
} DlRateLimit;

/* Returns the state for an upstream that has named no limit. */
DlRateLimit dl_rate_limit_init (void);
/* Notes that the upstream named LIMIT_PER_S, or DL_RATE_NONE, at AT_MS; IS_OWN: to this
 * entry.  What is older than the known one is ignored.  Returns true when the limit has
 * changed; the share must then be set. */
bool dl_rate_limit_named (
    DlRateLimit *limit, double limit_per_s, uint64_t at_ms, bool is_own, uint64_t now_ms);
/* Sets this entry's share.  RANDOM spreads the entries that get one together. */
void dl_rate_limit_set_share (DlRateLimit *limit,
                              DlRateShare share,
                              uint64_t now_ms,
                              uint64_t random);
/* A request was sent to the upstream. */
void dl_rate_limit_sent (DlRateLimit *limit, uint64_t now_ms);
/* Time until this entry may send a request; 0 when it may now. */
uint64_t dl_rate_limit_wait_ms (const DlRateLimit *limit, uint64_t now_ms);
/* The share of the entry ENTRIES[SELF] among COUNT. */
DlRateShare
dl_rate_share (const DlRateEntry *entries, size_t count, size_t self, double limit_per_s);

#endif
