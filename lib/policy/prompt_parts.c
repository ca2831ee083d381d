#include "policy/prompt_parts.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "kernel/crypt.h"
#include "policy/rendezvous.h"

#define WHOLE_PREFIX '=' /* of the ids of whole requests */

DlPartId
dl_part_id (DlStr text)
{
  DlPartId id = { "" };

  if (text.length < sizeof id.text && (text.length == 0 || text.data[0] != WHOLE_PREFIX))
    memcpy (id.text, text.data, text.length);
  else
    snprintf (id.text, sizeof id.text, "#%016" PRIx64,
              dl_rendezvous_score (text, DL_STR_LITERAL ("prompt part")));
  return id;
}

DlPartId
dl_request_id (const DlRequestIdentity *identity)
{
  const DlStr strings[]
      = { identity->host, identity->path, identity->caller, identity->body };
  DlDigest digest = dl_digest_of_strings (strings, G_N_ELEMENTS (strings));
  char hex[DL_DIGEST_HEX_BYTES];
  DlPartId id = { "" };

  dl_digest_to_hex (&digest, hex);
  snprintf (id.text, sizeof id.text, "%c%.*s", WHOLE_PREFIX, (int)sizeof id.text - 2,
            hex);
  return id;
}

void
dl_prompt_parts_add (DlPromptParts *parts, DlStr text)
{
  if (text.length > 0 && parts->count < DL_PROMPT_PARTS_MAX)
    parts->ids[parts->count++] = dl_part_id (text);
}
