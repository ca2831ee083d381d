/*
 * Which upstreams are thought to hold which prompt prefixes in their cache.
 *
 * Engines tell of what they cache and drop late, and some of it never arrives.  What the
 * index holds is therefore only a hint: a wrong one costs the time of a prefill.  It ages
 * out when it is neither told again nor used for a while, and an upstream that restarted
 * or changed its version loses all that it is thought to hold.  An entry also notes where
 * it sent a prefix itself, ahead of the event.
 */
#ifndef DL_PREFIX_H
#define DL_PREFIX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/str.h"

#define DL_PREFIX_BYTES      256 /* of the prompt, that its prefix digest covers */
#define DL_PREFIX_HOLDERS    4   /* upstreams remembered for each prefix */
#define DL_PREFIX_MAX        16384
#define DL_PREFIX_MAX_AGE_MS 120000

typedef struct DlPrefixIndex DlPrefixIndex;

DlPrefixIndex *dl_prefix_new (const void *context);
/* Hash of a prompt's prefix; 0 for an empty prompt. */
uint64_t dl_prefix_hash (DlStr prompt);
/* UPSTREAM now holds PREFIX, or is about to. */
void
dl_prefix_add (DlPrefixIndex *index, uint64_t prefix, uint64_t upstream, uint64_t now_ms);
void dl_prefix_drop (DlPrefixIndex *index, uint64_t prefix, uint64_t upstream);
/* Forgets all that UPSTREAM holds: it restarted or loaded another version. */
void dl_prefix_drop_upstream (DlPrefixIndex *index, uint64_t upstream);
bool dl_prefix_holds (const DlPrefixIndex *index,
                      uint64_t prefix,
                      uint64_t upstream,
                      uint64_t now_ms);
size_t dl_prefix_count (const DlPrefixIndex *index);

#endif
