#include "policy/signature.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "kernel/crypt.h"
#include "policy/rendezvous.h"

#define WHOLE_PREFIX '=' /* of the signatures of whole requests */
#define KEY_DIGITS   16  /* hexadecimal ones of 64 bits */

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

DlSignature
dl_signature_from_text (DlStr text)
{
  DlSignature id = { "" };

  if (text.length < sizeof id.text)
    memcpy (id.text, text.data, text.length);
  return id;
}

bool
dl_signature_is_whole (const DlSignature *signature)
{
  return signature->text[0] == WHOLE_PREFIX;
}

const char *
dl_signature_digest (const DlSignature *signature)
{
  return signature->text + 1;
}

DlSignature
dl_signature_of_digest (const char *digest)
{
  char text[DL_SIGNATURE_BYTES];

  g_snprintf (text, sizeof text, "%c%s", WHOLE_PREFIX, digest);
  return dl_signature_from_text (dl_str (text));
}

uint64_t
dl_signature_key (const DlSignature *signature)
{
  char hex[KEY_DIGITS + 1];
  uint64_t key;

  g_strlcpy (hex, dl_signature_digest (signature), sizeof hex);
  key = g_ascii_strtoull (hex, NULL, 16);
  return key != 0 ? key : 1;
}

void
dl_signatures_add_whole (DlSignatures *signatures, DlSignature whole)
{
  g_assert (signatures->count < DL_SIGNATURES_MAX);
  signatures->ids[signatures->count++] = whole;
}

void
dl_signatures_add_part (DlSignatures *signatures, DlStr text)
{
  if (text.length > 0 && signatures->count < DL_SIGNATURE_PARTS_MAX)
    signatures->ids[signatures->count++] = dl_part_signature (text);
}

char *
dl_signatures_parts_text (const void *context, const DlSignatures *signatures)
{
  char *text = talloc_strdup (context, "");

  for (size_t i = 0; i < signatures->count; i++)
    if (!dl_signature_is_whole (&signatures->ids[i]))
      text = talloc_asprintf_append (text, "%s%s", i > 0 ? "," : "",
                                     signatures->ids[i].text);
  return text;
}
