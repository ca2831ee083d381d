/*
 * Rendezvous hashing: every process ranks the candidates for a key in the same order, and
 * adding or removing a candidate moves only the keys for which it ranks first.
 */
#ifndef DL_RENDEZVOUS_H
#define DL_RENDEZVOUS_H

#include <stdint.h>

#include "kernel/str.h"

/* Returns the score of CANDIDATE for KEY; the highest score ranks first. */
uint64_t dl_rendezvous_score (DlStr key, DlStr candidate);
/* The same in two steps, for many keys and candidates: the score of a candidate whose
 * hash is CANDIDATE for a key whose hash is KEY, both from dl_rendezvous_key. */
uint64_t dl_rendezvous_key (DlStr text);
uint64_t dl_rendezvous_score_of (uint64_t key, uint64_t candidate);

#endif
