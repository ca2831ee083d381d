/*
 * Selects the entries of a region that poll the platform's store on behalf of the other
 * nodes there.
 *
 * Every entry must learn of changes in the store within a second or two and know how
 * current its copy is.  If each polled the store itself, the number of calls would grow
 * with the number of entries, and each change would cross to a region once for every
 * entry there.  So a few entries of each region, the readers, poll the store often, and
 * the other nodes ask one of them.  All nodes rank the entries by the same hash; nodes
 * that briefly disagree on which entries are up only cost an extra call to the store or
 * to each other.
 *
 * A reader may be behind the store, and then so are the nodes that ask it.  An entry's
 * copy has a bound, the time within which a change takes effect.  When most of that is
 * over, the entry reads the store itself, unless a reader is receiving a newer copy: the
 * same read by every entry of the region would fill the link that delays the reader.  The
 * entries of a region do so one after the other, by rank, so that those behind find a
 * fresh copy at those before them.
 *
 * An entry that has just started has no copy.  It waits for as long as a reader makes
 * progress with one.  When none has for a while, the entries read the store themselves,
 * by rank as well, but with longer pauses, since whole lists are long.
 *
 * No I/O: times are milliseconds passed in by the caller.
 */
#ifndef DL_READERS_H
#define DL_READERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* There is one reader for each so many entries, rounded up. */
#define DL_ENTRIES_PER_READER 30

/* A node, and the entries of its region. */
typedef struct
{
  const char *self;          /* this node's name */
  bool is_entry;             /* this node is an entry, so it can be a reader */
  const char *const *others; /* names of the other entries of the region that are up */
  size_t other_count;
} DlReadersQuery;

/* Returns the index in OTHERS of the reader that this node asks, or -1 when it must read
 * the store itself: it is a reader, or the region has no entry. */
int dl_readers_choose (const DlReadersQuery *query);

/* A region with at least so many entries has many nodes that may start together. */
#define DL_READER_START_MANY 8
/* There, and in a large fleet (policy/fanout.h), a node that has just started waits so
 * long for a reader, and for a random part of the spread after it, before it reads the
 * store itself: when all start at once, only the first in rank should read it. */
#define DL_READER_START_WAIT_MS   1500
#define DL_READER_START_SPREAD_MS 1500
/* Entries of a region that read the store without such a wait. */
#define DL_READER_START_FIRST 2
/* An entry that has no copy yet reads the store itself when no reader has been seen to
 * read the objects for this long, and the entries after the first each so much later. */
#define DL_READER_FIRST_WAIT_MS 1500
#define DL_READER_FIRST_STEP_MS 500

/* A reader that failed is not asked again for this long; another one is. */
#define DL_READER_AVOID_MS 4000
/* A reader that responded, but whose copy is too old, is asked again for the same kind of
 * objects after this time: it waits for the store as this node would. */
#define DL_READER_STALE_AVOID_MS 1000
/* Backoff after DL_READER_FAILURES_MAX such in a row: then the store may be out of reach,
 * and the nodes of a region should not ask each other all the time. */
#define DL_READER_STALE_BACKOFF_MS 500
/* After this many consecutive failures the readers are unlikely to be the cause: an entry
 * then asks the store for DL_READER_AVOID_MS. */
#define DL_READER_FAILURES_MAX 3
/* Backoff before the next reader is asked, which may only just have started polling. */
#define DL_READER_BACKOFF_MS 150
/* Entries that switch to the store spread their calls over this time: a link too slow
 * for one of them cannot serve all of them at once. */
#define DL_READER_JITTER_MS 1200
/* Backoff of an entry whose reader is reading the objects. */
#define DL_READER_READING_BACKOFF_MS 50
/* Backoff of nodes that are not entries, which can wait longer. */
#define DL_READER_NODE_BACKOFF_MS 2000
/* An entry reads the store itself when the age of its copy is this part of the time for a
 * change: the first entry of a region then, and the others in turn over the spread, which
 * is a further part and has DL_ENTRIES_PER_READER turns. */
#define DL_READER_DIRECT_PERCENT        70
#define DL_READER_DIRECT_SPREAD_PERCENT 15
/* Since a reader was last seen to receive a newer copy, the first entry waits for at
 * least this long, and the entries after it each so much longer. */
#define DL_READER_RENEWAL_WAIT_MS 800
#define DL_READER_RENEWAL_STEP_MS 300
/* An entry that the store did not answer asks only readers for this long, and for a part
 * of the spread by its turn, so that not all read the store as an outage ends. */
#define DL_READER_DIRECT_RETRY_MS  1500
#define DL_READER_DIRECT_SPREAD_MS 1500

/* An entry's copy of the objects of one kind. */
typedef struct
{
  const char *kind;
  uint64_t synced_ms; /* it was current then; 0: there is none */
  uint64_t wanted_ms; /* since when it is wanted, if there is none */
  uint64_t apply_ms;  /* time within which a change takes effect; 0: any */
  size_t position;    /* entries of the region that rank before this one */
} DlReaderCopy;

/* Records which readers failed recently. */
typedef struct DlReaderHealth DlReaderHealth;

/* Returns a talloc child of CONTEXT.  IS_ENTRY: this node is an entry. */
DlReaderHealth *dl_reader_health_new (const void *context, bool is_entry);
/* Records that READER did not respond.  Returns the backoff in milliseconds before the
 * next call.  *IS_NEW is set to false when READER was already being avoided: several
 * calls may meet the same failure, which counts once. */
uint64_t dl_reader_health_failed (DlReaderHealth *health,
                                  const char *reader,
                                  uint64_t random,
                                  uint64_t now_ms,
                                  bool *is_new);
/* Records that READER's copy of the objects of KIND is too old; otherwise as the above.
 * This alone is no reason to turn to the store, whose link may be what delays the reader:
 * see dl_reader_health_direct_ms. */
uint64_t dl_reader_health_stale (DlReaderHealth *health,
                                 const char *reader,
                                 const char *kind,
                                 uint64_t now_ms,
                                 bool *is_new);
/* Records that a reader is reading the objects of KIND: it has no copy yet, or an old
 * one.  Returns the backoff in milliseconds before the next call. */
uint64_t
dl_reader_health_reading (DlReaderHealth *health, const char *kind, uint64_t now_ms);
/* Records that a reader gave out objects of KIND, which ends a run of consecutive
 * failures. */
void dl_reader_health_succeeded (DlReaderHealth *health, const char *kind);
/* True when READER is not being avoided for objects of KIND. */
bool dl_reader_health_may_ask (const DlReaderHealth *health,
                               const char *reader,
                               const char *kind,
                               uint64_t now_ms);
/* Time from which this entry reads the store itself for COPY; UINT64_MAX for never. */
uint64_t dl_reader_health_direct_ms (const DlReaderHealth *health,
                                     const DlReaderCopy *copy);
/* Records that the store did not answer this entry, which wanted to renew COPY. */
void dl_reader_health_store_failed (DlReaderHealth *health,
                                    const DlReaderCopy *copy,
                                    uint64_t now_ms);
/* True when an entry must ask the store instead of any reader. */
bool dl_reader_health_must_use_store (const DlReaderHealth *health, uint64_t now_ms);

#endif
