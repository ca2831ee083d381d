#include "policy/version_floor.h"

#include <glib.h>
#include <string.h>

void
dl_version_floor_named (DlVersionFloor *floor, uint64_t version, uint64_t named_ms)
{
  if (floor->count > 0 && version == floor->names[floor->count - 1].version)
    floor->names[floor->count - 1].named_ms = named_ms;
  if (floor->count > 0 && version <= floor->names[floor->count - 1].version)
    return;
  if (floor->count == DL_VERSION_FLOOR_NAMES)
    {
      memmove (&floor->names[0], &floor->names[1],
               (DL_VERSION_FLOOR_NAMES - 1) * sizeof floor->names[0]);
      floor->count--;
    }
  floor->names[floor->count].version = version;
  floor->names[floor->count].named_ms = named_ms;
  floor->count++;
}

bool
dl_version_floor_raise (DlVersionFloor *floor, uint64_t version)
{
  if (version <= floor->raised)
    return false;
  floor->raised = version;
  return true;
}

uint64_t
dl_version_floor_at (const DlVersionFloor *floor, uint64_t limit_ms, uint64_t now_ms)
{
  uint64_t lowest = floor->raised;

  for (unsigned i = 0; i < floor->count; i++)
    if (now_ms + DL_VERSION_FLOOR_RESERVE_MS >= floor->names[i].named_ms + limit_ms)
      lowest = MAX (lowest, floor->names[i].version);
  return lowest;
}
