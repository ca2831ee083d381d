#include "kernel/crypt.h"

#include <errno.h>
#include <glib.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

DlDigest
dl_digest (DlStr data)
{
  DlDigest digest;

  crypto_generichash (digest.bytes, sizeof digest.bytes, (const uint8_t *)data.data,
                      data.length, NULL, 0);
  return digest;
}

DlDigest
dl_digest_of_strings (const DlStr *strings, size_t count)
{
  crypto_generichash_state state;
  DlDigest digest;

  crypto_generichash_init (&state, NULL, 0, sizeof digest.bytes);
  for (size_t i = 0; i < count; i++)
    {
      uint64_t length = GUINT64_TO_LE (strings[i].length);

      crypto_generichash_update (&state, (const uint8_t *)&length, sizeof length);
      crypto_generichash_update (&state, (const uint8_t *)strings[i].data,
                                 strings[i].length);
    }
  crypto_generichash_final (&state, digest.bytes, sizeof digest.bytes);
  return digest;
}

bool
dl_digest_equal (const DlDigest *a, const DlDigest *b)
{
  return memcmp (a->bytes, b->bytes, DL_DIGEST_BYTES) == 0;
}

bool
dl_digest_is_zero (const DlDigest *digest)
{
  return sodium_is_zero (digest->bytes, DL_DIGEST_BYTES) == 1;
}

void
dl_digest_to_hex (const DlDigest *digest, char *text)
{
  sodium_bin2hex (text, DL_DIGEST_HEX_BYTES, digest->bytes, DL_DIGEST_BYTES);
}

int
dl_digest_from_hex (DlStr text, DlDigest *digest)
{
  size_t length;

  if (text.length != DL_DIGEST_HEX_BYTES - 1
      || sodium_hex2bin (digest->bytes, DL_DIGEST_BYTES, text.data, text.length, NULL,
                         &length, NULL)
             != 0
      || length != DL_DIGEST_BYTES)
    return -EINVAL;
  return 0;
}

int
dl_digest_from_bytes (DlStr bytes, DlDigest *digest)
{
  if (bytes.length != DL_DIGEST_BYTES)
    return -EINVAL;
  memcpy (digest->bytes, bytes.data, DL_DIGEST_BYTES);
  return 0;
}

DlDigest
dl_mac (DlStr key, DlStr data)
{
  /* libsodium limits the length of a key. */
  DlDigest hashed_key = dl_digest (key);
  DlDigest mac;

  crypto_generichash (mac.bytes, sizeof mac.bytes, (const uint8_t *)data.data,
                      data.length, hashed_key.bytes, sizeof hashed_key.bytes);
  return mac;
}

bool
dl_secret_equal (DlStr a, DlStr b)
{
  /* Digests have the same length, whatever the lengths of the secrets. */
  DlDigest x = dl_digest (a);
  DlDigest y = dl_digest (b);

  return sodium_memcmp (x.bytes, y.bytes, DL_DIGEST_BYTES) == 0;
}

void
dl_random_bytes (void *bytes, size_t length)
{
  randombytes_buf (bytes, length);
}

uint64_t
dl_random_uint64 (void)
{
  uint64_t value;

  randombytes_buf (&value, sizeof value);
  return value;
}

char *
dl_random_name (const void *context)
{
  uint8_t bytes[DL_NONCE_BYTES];
  char *text = talloc_size (context, 2 * DL_NONCE_BYTES + 1);

  g_assert (text != NULL);
  randombytes_buf (bytes, sizeof bytes);
  return sodium_bin2hex (text, 2 * DL_NONCE_BYTES + 1, bytes, sizeof bytes);
}
