#include "policy/held_bytes.h"

static size_t
counted (size_t bytes)
{
  return bytes > DL_HELD_FREE_BYTES ? bytes : 0;
}

bool
dl_held_bytes_change (DlHeldBytes *held, size_t before, size_t after)
{
  size_t others = held->bytes - counted (before);

  if (after > before && held->max > 0 && counted (after) > 0
      && (others > held->max || counted (after) > held->max - others))
    return false;
  held->bytes = others + counted (after);
  return true;
}
