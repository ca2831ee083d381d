/*
 * Digests, message authentication and random numbers, through libsodium.
 */
#ifndef DL_CRYPT_H
#define DL_CRYPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/str.h"

#define DL_DIGEST_BYTES     32
#define DL_DIGEST_HEX_BYTES (2 * DL_DIGEST_BYTES + 1) /* with the closing NUL */
#define DL_NONCE_BYTES      16

/* A BLAKE2b-256 digest. */
typedef struct
{
  uint8_t bytes[DL_DIGEST_BYTES];
} DlDigest;

DlDigest dl_digest (DlStr data);
bool dl_digest_equal (const DlDigest *a, const DlDigest *b);
bool dl_digest_is_zero (const DlDigest *digest);
/* Writes lower-case hexadecimal into TEXT of DL_DIGEST_HEX_BYTES. */
void dl_digest_to_hex (const DlDigest *digest, char *text);
/* Returns 0 or -EINVAL. */
int dl_digest_from_hex (DlStr text, DlDigest *digest);
/* Returns 0 or -EINVAL when BYTES is not of DL_DIGEST_BYTES. */
int dl_digest_from_bytes (DlStr bytes, DlDigest *digest);

/* Keyed digest of DATA under KEY (any length). */
DlDigest dl_mac (DlStr key, DlStr data);
/* Compares in constant time. */
bool dl_secret_equal (DlStr a, DlStr b);
void dl_random_bytes (void *bytes, size_t length);
uint64_t dl_random_uint64 (void);
/* Returns a random hexadecimal text of DL_NONCE_BYTES below CONTEXT. */
char *dl_random_name (const void *context);

#endif
