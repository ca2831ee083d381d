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
 * Pure: no clock, no sockets.
 */
#ifndef DL_READERS_H
#define DL_READERS_H

#include <stdbool.h>
#include <stddef.h>

/* Entries for each of which there is one reader. */
#define DL_READERS_SHARE 10

typedef struct
{
  const char *self;          /* this node's name */
  bool is_entry;             /* it may be a reader itself */
  const char *const *others; /* names of the other entries of the region that are up */
  size_t other_count;
} DlReadersQuery;

/* Index in OTHERS of the entry to ask; -1 when this node reads the store itself. */
int dl_readers_choose (const DlReadersQuery *query);

#endif
