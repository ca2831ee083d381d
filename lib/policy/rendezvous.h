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

#endif
