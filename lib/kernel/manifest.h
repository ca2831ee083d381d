/*
 * Manifests of model versions.
 *
 * A manifest lists all files that a model's responses depend on (base weights, adapters,
 * tokenizer, ...).  The files are split into chunks of equal size, each identified by its
 * digest.  A version is identified by the digest of its manifest.  Versions share the
 * chunks whose digests are equal.
 *
 *   {"model": "draft", "chunk_bytes": 65536,
 *    "files": [{"name": "base", "bytes": 1000000}, ...],
 *    "chunks": ["<64 hex digits>", ...]}
 *
 * The chunks are listed in the order of the files; the last chunk of each file may be
 * shorter.  The origin and the weight store serve manifests and chunks alike by
 * GET /v1/blobs/HEXDIGEST.
 */
#ifndef DL_MANIFEST_H
#define DL_MANIFEST_H

#include "kernel/crypt.h"

#define DL_MANIFEST_MAX_BYTES  (8u << 20)
#define DL_CHUNK_MAX_BYTES     (8u << 20)
#define DL_CHUNK_MIN_BYTES     1024
#define DL_MANIFEST_MAX_CHUNKS (1u << 17)

/* A file of a version. */
typedef struct
{
  char *name;
  uint64_t bytes;       /* length */
  uint32_t first_chunk; /* index into DlManifest.chunks */
  uint32_t chunk_count;
} DlManifestFile;

/* A parsed manifest: one talloc block with children. */
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

/* Parses and checks TEXT into *MANIFEST, a talloc child of CONTEXT.  Returns 0, or
 * -EINVAL or DL_ERR_TOO_LARGE with *ERROR, also a child of CONTEXT. */
int
dl_manifest_parse (const void *context, DlStr text, DlManifest **manifest, char **error);
/* Returns the length in bytes of chunk INDEX, which must exist. */
uint32_t dl_manifest_chunk_length (const DlManifest *manifest, uint32_t index);

/* A file to build a manifest from. */
typedef struct
{
  const char *name;
  DlStr content;
} DlManifestInput;
/* Builds the manifest of a model from files in memory.  Returns NULL when the result
 * would not be a valid manifest. */
DlManifest *dl_manifest_build (const void *context,
                               const char *model,
                               uint32_t chunk_bytes,
                               size_t input_count,
                               const DlManifestInput *inputs);

#endif
