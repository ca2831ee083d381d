/*
 * Decides whether a manifest of digests, as an origin or another host sent it, is usable,
 * and whether one of its digests is wrong.
 *
 * A manifest carries no digest of its own, so a spoilt one shows only when a chunk does
 * not match it.  A spoilt chunk looks the same at first.  Which of the two is spoilt is
 * told by the source of the chunk, asked for its manifest once more.
 *
 * Pure: no clock, no network.
 */
#ifndef DL_MANIFEST_DIGESTS_H
#define DL_MANIFEST_DIGESTS_H

#include <stdbool.h>
#include <stdint.h>

/* Hexadecimal digits of a SHA-256. */
#define DL_DIGEST_DIGITS 64
/* A host asks for a manifest once more at most this often. */
#define DL_MANIFEST_CHECK_INTERVAL_MS 300

/* True for COUNT well-formed digests.  EXPECTED is the number of chunks of a version, by
 * the configuration; 0 when unknown. */
bool
dl_manifest_digests_valid (const char *const *digests, unsigned count, unsigned expected);

/* True when OWN, the digest of a chunk in this host's manifest, is wrong: the chunk was
 * RECEIVED with another digest, and LISTED, the digest in the manifest of its source, is
 * that one too. */
bool
dl_manifest_digest_is_wrong (const char *own, const char *received, const char *listed);

/* True when a manifest may be asked for once more at NOW_MS; LAST_MS is when it was last,
 * 0 for never. */
bool dl_manifest_may_check (uint64_t last_ms, uint64_t now_ms);

#endif
