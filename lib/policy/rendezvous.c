#include "policy/rendezvous.h"

#include <sodium.h>
#include <string.h>

/* A fixed key, because all processes must agree; it need not be secret. */
static const unsigned char hash_key[crypto_shorthash_KEYBYTES] = "daisyloft-rank1";

uint64_t
dl_rendezvous_key (DlStr text)
{
  unsigned char out[crypto_shorthash_BYTES];
  uint64_t hash;

  crypto_shorthash (out, (const unsigned char *)text.data, text.length, hash_key);
  memcpy (&hash, out, sizeof hash);
  return hash;
}

uint64_t
dl_rendezvous_score_of (uint64_t key, uint64_t candidate)
{
  uint64_t pair[] = { key, candidate };

  return dl_rendezvous_key (dl_str_bytes (pair, sizeof pair));
}

uint64_t
dl_rendezvous_score (DlStr key, DlStr candidate)
{
  return dl_rendezvous_score_of (dl_rendezvous_key (key), dl_rendezvous_key (candidate));
}
