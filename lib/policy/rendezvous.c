#include "policy/rendezvous.h"

#include <sodium.h>
#include <string.h>

/* A fixed key, because all processes must agree; it need not be secret. */
static const unsigned char hash_key[crypto_shorthash_KEYBYTES] = "daisyloft-rank1";

uint64_t
dl_rendezvous_score (DlStr key, DlStr candidate)
{
  unsigned char key_hash[crypto_shorthash_BYTES];
  unsigned char pair[crypto_shorthash_BYTES * 2];
  unsigned char out[crypto_shorthash_BYTES];
  uint64_t score;

  crypto_shorthash (key_hash, (const unsigned char *)key.data, key.length, hash_key);
  memcpy (pair, key_hash, sizeof key_hash);
  crypto_shorthash (pair + sizeof key_hash, (const unsigned char *)candidate.data,
                    candidate.length, hash_key);
  crypto_shorthash (out, pair, sizeof pair, hash_key);
  memcpy (&score, out, sizeof score);
  return score;
}
