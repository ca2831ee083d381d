/*
 * Index of the prompt prefixes that upstreams probably have in their caches.
 *
 * Engines report late what they cache and drop, and some reports never arrive.  The index
 * is therefore only a hint; a wrong one costs the time of a prefill.  A prefix expires
 * when it is neither reported nor used for a while, and an upstream that restarted or
 * changed its version loses all its prefixes.  An entry also records where it sent a
 * prefix itself, ahead of the engine's report.
 */
#ifndef DL_PREFIX_H
#define DL_PREFIX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/str.h"

#define DL_PREFIX_BYTES      256    /* of the prompt that its prefix hash covers */
#define DL_PREFIX_HOLDERS    4      /* upstreams per prefix */
#define DL_PREFIX_MAX        16384  /* prefixes in the index */
#define DL_PREFIX_MAX_AGE_MS 120000 /* since the last dl_prefix_add */

typedef struct DlPrefixIndex DlPrefixIndex;

/* Returns an empty index, a talloc child of CONTEXT. */
DlPrefixIndex *dl_prefix_new (const void *context);
/* Hash of a prompt's prefix; 0 for an empty prompt. */
uint64_t dl_prefix_hash (DlStr prompt);
/* Records that UPSTREAM caches PREFIX, or soon will. */
void
dl_prefix_add (DlPrefixIndex *index, uint64_t prefix, uint64_t upstream, uint64_t now_ms);
/* UPSTREAM has dropped PREFIX from its cache. */
void dl_prefix_drop (DlPrefixIndex *index, uint64_t prefix, uint64_t upstream);
/* Drops all prefixes of UPSTREAM, which restarted or loaded another version. */
void dl_prefix_drop_upstream (DlPrefixIndex *index, uint64_t upstream);
/* True when UPSTREAM is likely to cache PREFIX. */
bool dl_prefix_holds (const DlPrefixIndex *index,
                      uint64_t prefix,
                      uint64_t upstream,
                      uint64_t now_ms);
/* Number of prefixes in the index. */
size_t dl_prefix_count (const DlPrefixIndex *index);

#endif
