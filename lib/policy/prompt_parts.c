#include "policy/prompt_parts.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "policy/rendezvous.h"

DlPartId
dl_part_id (DlStr text)
{
  DlPartId id = { "" };

  if (text.length < sizeof id.text)
    memcpy (id.text, text.data, text.length);
  else
    snprintf (id.text, sizeof id.text, "#%016" PRIx64,
              dl_rendezvous_score (text, DL_STR_LITERAL ("prompt part")));
  return id;
}

void
dl_prompt_parts_add (DlPromptParts *parts, DlStr text)
{
  if (text.length > 0 && parts->count < DL_PROMPT_PARTS_MAX)
    parts->ids[parts->count++] = dl_part_id (text);
}
