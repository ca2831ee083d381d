/*
 * Manifests of model versions.
 *
 * A manifest names everything that shapes an answer (base weights, adapters, tokenizer,
 * ...) as files cut into chunks of one size, each chunk known by its digest.  The version
 * is the digest of the manifest's bytes.  Two versions share the chunks whose digests are
 * equal.
 *
 *   {"model": "draft", "chunk_bytes": 65536,
 *    "files": [{"name": "base", "bytes": 1000000}, ...],
 *    "chunks": ["<64 hex digits>", ...]}
 *
 * Chunks stand in file order; the last chunk of each file may be shorter.  The origin and
 * the weight store serve manifests and chunks alike as GET /v1/blobs/HEXDIGEST.
 */
#ifndef DL_MANIFEST_H
#define DL_MANIFEST_H

#include "kernel/crypt.h"

#define DL_MANIFEST_MAX_BYTES  (8u << 20)
#define DL_CHUNK_MAX_BYTES     (8u << 20)
#define DL_CHUNK_MIN_BYTES     1024
#define DL_MANIFEST_MAX_CHUNKS (1u << 17)

typedef struct
{
  char *name;
  uint64_t bytes;
  uint32_t first_chunk;
  uint32_t chunk_count;
} DlManifestFile;

typedef struct
{
  DlDigest version; /* digest of the manifest's bytes */
  char *model;
  uint32_t chunk_bytes;
  uint32_t file_count;
  DlManifestFile *files;
  uint32_t chunk_count;
  DlDigest *chunks;
  uint64_t total_bytes;
  DlStr text; /* the manifest's bytes */
} DlManifest;

/* Parses and checks TEXT.  Returns 0, -EINVAL with *ERROR below CONTEXT, or
 * DL_ERR_TOO_LARGE. */
int
dl_manifest_parse (const void *context, DlStr text, DlManifest **manifest, char **error);
/* Length of chunk INDEX in bytes. */
uint32_t dl_manifest_chunk_length (const DlManifest *manifest, uint32_t index);

/* Builds a manifest of one model from whole files in memory. */
typedef struct
{
  const char *name;
  DlStr content;
} DlManifestInput;
DlManifest *dl_manifest_build (const void *context,
                               const char *model,
                               uint32_t chunk_bytes,
                               size_t input_count,
                               const DlManifestInput *inputs);

#endif
