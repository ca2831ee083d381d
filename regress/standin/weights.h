/*
 * Weights that the stand-ins of an origin and of model servers agree on: the bytes of a
 * chunk follow from its version and index.
 */
#ifndef STANDIN_WEIGHTS_H
#define STANDIN_WEIGHTS_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/str.h"

#define WEIGHTS_CHUNKS      16
#define WEIGHTS_CHUNK_BYTES 4096
#define WEIGHTS_LAYERS      4
#define WEIGHTS_MODEL       "big"

/* Fills BYTES, of WEIGHTS_CHUNK_BYTES. */
void weights_fill (uint64_t version, unsigned index, char *bytes);
bool weights_is_chunk (uint64_t version, unsigned index, DlStr bytes);

#endif
