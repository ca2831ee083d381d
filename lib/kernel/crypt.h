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
#define DL_DIGEST_HEX_BYTES (2 * DL_DIGEST_BYTES + 1) /* with the terminating NUL */
#define DL_NONCE_BYTES      16 /* of a handshake or a random name */

/* A BLAKE2b-256 digest. */
typedef struct
{
  uint8_t bytes[DL_DIGEST_BYTES];
} DlDigest;

/* Returns the digest of DATA. */
DlDigest dl_digest (DlStr data);
/* Returns the digest of COUNT strings and their lengths: other strings that are the same
 * when joined have another one. */
DlDigest dl_digest_of_strings (const DlStr *strings, size_t count);
/* Not in constant time; for secrets use dl_secret_equal. */
bool dl_digest_equal (const DlDigest *a, const DlDigest *b);
/* A zero digest stands for "none". */
bool dl_digest_is_zero (const DlDigest *digest);
/* Writes lower-case hexadecimal digits and a NUL into TEXT, which must hold
 * DL_DIGEST_HEX_BYTES. */
void dl_digest_to_hex (const DlDigest *digest, char *text);
/* Returns 0, or -EINVAL when TEXT is not exactly 64 hexadecimal digits. */
int dl_digest_from_hex (DlStr text, DlDigest *digest);
/* Returns 0, or -EINVAL when BYTES is not DL_DIGEST_BYTES long. */
int dl_digest_from_bytes (DlStr bytes, DlDigest *digest);

/* Returns the message authentication code of DATA under KEY, of any length. */
DlDigest dl_mac (DlStr key, DlStr data);
/* Compares two secrets in time that does not depend on where they differ. */
bool dl_secret_equal (DlStr a, DlStr b);
/* Fills BYTES from the cryptographic random number generator. */
void dl_random_bytes (void *bytes, size_t length);
uint64_t dl_random_uint64 (void);
/* Returns DL_NONCE_BYTES random bytes as a hexadecimal string, a talloc child of
 * CONTEXT. */
char *dl_random_name (const void *context);

#endif
