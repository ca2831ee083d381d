#include "policy/signature.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "kernel/crypt.h"
#include "policy/rendezvous.h"

#define WHOLE_PREFIX '=' /* of the ids of whole requests */

DlSignature
dl_part_signature (DlStr text)
{
  DlSignature id = { "" };

  if (text.length < sizeof id.text && (text.length == 0 || text.data[0] != WHOLE_PREFIX))
    memcpy (id.text, text.data, text.length);
  else
    snprintf (id.text, sizeof id.text, "#%016" PRIx64,
              dl_rendezvous_score (text, DL_STR_LITERAL ("prompt part")));
  return id;
}

DlSignature
dl_request_signature (const DlRequestIdentity *identity)
{
  const DlStr strings[]
      = { identity->host, identity->path, identity->caller, identity->body };
  DlDigest digest = dl_digest_of_strings (strings, G_N_ELEMENTS (strings));
  char hex[DL_DIGEST_HEX_BYTES];
  DlSignature id = { "" };

  dl_digest_to_hex (&digest, hex);
  snprintf (id.text, sizeof id.text, "%c%.*s", WHOLE_PREFIX, (int)sizeof id.text - 2,
            hex);
  return id;
}

void
dl_signatures_add_part (DlSignatures *signatures, DlStr text)
{
  if (text.length > 0 && signatures->count < DL_SIGNATURES_MAX)
    signatures->ids[signatures->count++] = dl_part_signature (text);
}
