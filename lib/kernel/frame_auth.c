#include "kernel/frame_auth.h"

#include <arpa/inet.h>
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "kernel/crypt.h"
#include "kernel/error.h"

#define LENGTHS_BYTES 8
#define HASH_BYTES    crypto_shorthash_BYTES
#define HASHED_BYTES  (sizeof (uint64_t) + LENGTHS_BYTES + HASH_BYTES)

G_STATIC_ASSERT (DL_FRAME_AUTH_KEY_BYTES == crypto_shorthash_KEYBYTES);
G_STATIC_ASSERT (DL_FRAME_HEADER_BYTES == LENGTHS_BYTES + 2 * HASH_BYTES);

void
dl_frame_auth_set_key (DlFrameAuth *auth, DlStr fleet_key, DlStr nonce, const char *label)
{
  GString *data = g_string_new_len (nonce.data, (gssize)nonce.length);
  DlDigest mac;

  g_string_append (data, label);
  mac = dl_mac (fleet_key, dl_str_bytes (data->str, data->len));
  memcpy (auth->key, mac.bytes, sizeof auth->key);
  g_string_free (data, TRUE);
}

static void
hash (const DlFrameAuth *auth, DlStr data, uint8_t *out)
{
  crypto_shorthash (out, (const uint8_t *)data.data, data.length, auth->key);
}

/* The tag covers the frame's number, so that replayed and omitted frames are detected. */
static void
header_tag (const DlFrameAuth *auth, const uint8_t *header, uint8_t *tag)
{
  uint8_t hashed[HASHED_BYTES];

  memcpy (hashed, &auth->sequence, sizeof auth->sequence);
  memcpy (hashed + sizeof auth->sequence, header, LENGTHS_BYTES + HASH_BYTES);
  hash (auth, dl_str_bytes (hashed, sizeof hashed), tag);
}

void
dl_frame_auth_write_header (DlFrameAuth *auth,
                            uint32_t envelope_bytes,
                            uint32_t payload_bytes,
                            DlStr body,
                            uint8_t *header)
{
  uint32_t lengths[2] = { htonl (envelope_bytes), htonl (payload_bytes) };

  memcpy (header, lengths, LENGTHS_BYTES);
  hash (auth, body, header + LENGTHS_BYTES);
  header_tag (auth, header, header + LENGTHS_BYTES + HASH_BYTES);
  auth->sequence++;
}

int
dl_frame_auth_check_header (const DlFrameAuth *auth,
                            const uint8_t *header,
                            uint32_t *envelope_bytes,
                            uint32_t *payload_bytes)
{
  uint32_t lengths[2];
  uint8_t tag[HASH_BYTES];

  header_tag (auth, header, tag);
  if (sodium_memcmp (tag, header + LENGTHS_BYTES + HASH_BYTES, HASH_BYTES) != 0)
    return DL_ERR_MALFORMED;
  memcpy (lengths, header, LENGTHS_BYTES);
  *envelope_bytes = ntohl (lengths[0]);
  *payload_bytes = ntohl (lengths[1]);
  return 0;
}

int
dl_frame_auth_check_body (DlFrameAuth *auth, const uint8_t *header, DlStr body)
{
  uint8_t digest[HASH_BYTES];

  hash (auth, body, digest);
  if (sodium_memcmp (digest, header + LENGTHS_BYTES, HASH_BYTES) != 0)
    return DL_ERR_MALFORMED;
  auth->sequence++;
  return 0;
}
