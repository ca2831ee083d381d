/*
 * Which entries of a region read the platform's store for the others there.
 *
 * The load this answers: every entry needs to know within a second or two what changed in
 * the store, and to prove how fresh that is; done by each for itself, calls grow with the
 * number of entries, and each change crosses to every region as often as the region has
 * entries.  So a few entries of each region ask the store often, and the others ask one
 * of these.  All rank the entries alike, by hashing; entries that do not agree for a
 * moment on who is up only ask the store, or each other, once too often.
 *
 * Pure: no sockets; times are milliseconds that the caller gives.
 */
#ifndef DL_READERS_H
#define DL_READERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Entries for each of which there is one reader. */
#define DL_ENTRIES_PER_READER 10

typedef struct
{
  const char *self;          /* this node's name */
  bool is_entry;             /* it may be a reader itself */
  const char *const *others; /* names of the other entries of the region that are up */
  size_t other_count;
} DlReadersQuery;

/* Index in OTHERS of the entry to ask; -1 when this node reads the store itself. */
int dl_readers_choose (const DlReadersQuery *query);

/* A reader that failed is not asked again for this long; the next in rank is. */
#define DL_READER_AVOID_MS 4000
/* After so many failed in a row the cause is not a reader: the store is asked for the
 * same time. */
#define DL_READER_FAILURES_MAX 3
/* Pause before the next one is asked, which may have just begun to read the store. */
#define DL_READER_BACKOFF_MS 150
/* Entries that all turn to the store spread over this time, since a link on which it is
 * late for one of them does not carry it to all. */
#define DL_READER_JITTER_MS 1200
/* The pause of nodes that are no entries, which can wait. */
#define DL_READER_NODE_BACKOFF_MS 2000

/* Which readers failed lately. */
typedef struct DlReaderHealth DlReaderHealth;

DlReaderHealth *dl_reader_health_new (const void *context, bool is_entry);
/* READER did not answer, or has no fresh proof.  Returns the pause before the next call;
 * *IS_NEW tells whether this was not known yet, as several calls may find it. */
uint64_t dl_reader_health_failed (DlReaderHealth *trust,
                                  const char *reader,
                                  uint64_t random,
                                  uint64_t now_ms,
                                  bool *is_new);
void dl_reader_health_succeeded (DlReaderHealth *trust);
/* True when READER may be asked. */
bool dl_reader_health_may_ask (const DlReaderHealth *trust,
                               const char *reader,
                               uint64_t now_ms);
/* True when no reader should be asked now. */
bool dl_reader_health_must_use_store (const DlReaderHealth *trust, uint64_t now_ms);

#endif
