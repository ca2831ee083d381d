/*
 * Weights for the stand-ins of the origin and of model servers: the bytes of a chunk are
 * computed from its version and index, so that both know them.
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

/* Writes the chunk to BYTES, which has WEIGHTS_CHUNK_BYTES. */
void weights_fill (uint64_t version, unsigned index, char *bytes);
/* True if BYTES is this chunk. */
bool weights_is_chunk (uint64_t version, unsigned index, DlStr bytes);

/* What is wrong in a manifest that the origin spoils, for its knob "spoil_what". */
typedef enum
{
  WEIGHTS_SOUND,
  WEIGHTS_ONE_DIGEST, /* that of WEIGHTS_SPOILT_CHUNK */
  WEIGHTS_ALL_DIGESTS,
  WEIGHTS_SHORT_DIGEST,
  WEIGHTS_ONE_LESS, /* digest */
  WEIGHTS_ONE_MORE,
  WEIGHTS_SIZES, /* of a chunk, and the number of layers */
  WEIGHTS_OTHER_MODEL,
  WEIGHTS_OTHER_VERSION,
  WEIGHTS_SPOILT_KINDS,
} WeightsSpoilt;

#define WEIGHTS_SPOILT_CHUNK 5

#endif
