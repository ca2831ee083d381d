/*
 * Rendezvous hashing: every process ranks the same candidates for a key alike, and a
 * candidate's coming or going moves only the keys that it is first for.
 */
#ifndef DL_RENDEZVOUS_H
#define DL_RENDEZVOUS_H

#include <stdint.h>

#include "kernel/str.h"

/* The candidate with the highest score is first for the key. */
uint64_t dl_rendezvous_score (DlStr key, DlStr candidate);

#endif
