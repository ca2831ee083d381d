#include "policy/version_floor.h"

#include <glib.h>
#include <string.h>

void
dl_version_floor_announced (DlVersionFloor *floor,
                            uint64_t version,
                            uint64_t announced_ms)
{
  if (floor->count > 0 && version == floor->versions[floor->count - 1].version)
    floor->versions[floor->count - 1].announced_ms = announced_ms;
  if (floor->count > 0 && version <= floor->versions[floor->count - 1].version)
    return;
  if (floor->count == DL_VERSION_FLOOR_HISTORY)
    {
      memmove (&floor->versions[0], &floor->versions[1],
               (DL_VERSION_FLOOR_HISTORY - 1) * sizeof floor->versions[0]);
      floor->count--;
    }
  floor->versions[floor->count].version = version;
  floor->versions[floor->count].announced_ms = announced_ms;
  floor->count++;
}

bool
dl_version_floor_raise (DlVersionFloor *floor, uint64_t version)
{
  if (version <= floor->peer_floor)
    return false;
  floor->peer_floor = version;
  return true;
}

uint64_t
dl_version_floor_at (const DlVersionFloor *floor, uint64_t limit_ms, uint64_t now_ms)
{
  uint64_t due
      = dl_version_floor_due (floor, limit_ms, now_ms + DL_VERSION_FLOOR_MARGIN_MS);

  return MAX (due, floor->peer_floor);
}

/* True when this node knows when VERSION was announced. */
static bool
is_known (const DlVersionFloor *floor, uint64_t version)
{
  for (unsigned i = 0; i < floor->count; i++)
    if (floor->versions[i].version == version)
      return true;
  return false;
}

uint64_t
dl_version_floor_unstarted (const DlVersionFloor *floor,
                            uint64_t limit_ms,
                            uint64_t now_ms)
{
  uint64_t lowest
      = dl_version_floor_due (floor, limit_ms, now_ms + DL_VERSION_FLOOR_WITHDRAW_MS);

  /* The time that is left for a version known from another node alone is not known. */
  return is_known (floor, floor->peer_floor) ? lowest : MAX (lowest, floor->peer_floor);
}

uint64_t
dl_version_floor_due (const DlVersionFloor *floor, uint64_t limit_ms, uint64_t now_ms)
{
  uint64_t due = 0;

  for (unsigned i = 0; i < floor->count; i++)
    if (now_ms >= floor->versions[i].announced_ms + limit_ms)
      due = MAX (due, floor->versions[i].version);
  return due;
}
