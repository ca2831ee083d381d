#include "policy/manifest_digests.h"

#include <glib.h>
#include <string.h>

static bool
is_digest (const char *text)
{
  size_t length = 0;

  while (g_ascii_isxdigit (text[length]))
    length++;
  return length == DL_DIGEST_DIGITS && text[length] == '\0';
}

bool
dl_manifest_digests_valid (const char *const *digests, unsigned count, unsigned expected)
{
  if (count == 0 || (expected > 0 && count != expected))
    return false;
  for (unsigned i = 0; i < count; i++)
    if (!is_digest (digests[i]))
      return false;
  return true;
}

bool
dl_manifest_digest_is_wrong (const char *own, const char *received, const char *listed)
{
  return g_ascii_strcasecmp (received, own) != 0
         && g_ascii_strcasecmp (received, listed) == 0;
}

bool
dl_manifest_may_check (uint64_t last_ms, uint64_t now_ms)
{
  return last_ms == 0 || now_ms - last_ms >= DL_MANIFEST_CHECK_INTERVAL_MS;
}
