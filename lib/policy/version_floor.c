#include "policy/version_floor.h"

#include <glib.h>
#include <string.h>

static bool
is_better (const DlAnnouncement *a, const DlAnnouncement *known)
{
  if (a->source != known->source)
    return a->source > known->source;
  switch (a->source)
    {
    case DL_ANNOUNCED_OBSERVED:
      return a->announced_ms + DL_ANNOUNCEMENT_TOLERANCE_MS < known->announced_ms;
    case DL_ANNOUNCED_BETWEEN:
      return a->announced_ms > known->announced_ms + DL_ANNOUNCEMENT_TOLERANCE_MS;
    case DL_ANNOUNCED_GUESSED:
      break;
    }
  return false;
}

/* Makes room for a version at INDEX, or at the one returned, by moving the later versions
 * up, or dropping the oldest when there are too many. */
static unsigned
make_room (DlVersionFloor *floor, unsigned index)
{
  if (floor->count == DL_VERSION_FLOOR_HISTORY)
    {
      index--;
      memmove (&floor->versions[0], &floor->versions[1],
               index * sizeof floor->versions[0]);
      return index;
    }
  memmove (&floor->versions[index + 1], &floor->versions[index],
           (floor->count - index) * sizeof floor->versions[0]);
  floor->count++;
  return index;
}

bool
dl_version_floor_add (DlVersionFloor *floor, const DlAnnouncement *a)
{
  uint64_t found_ms = a->found_ms;
  unsigned index = 0;

  while (index < floor->count && floor->versions[index].version < a->version)
    index++;
  if (index < floor->count && floor->versions[index].version == a->version)
    {
      if (!is_better (a, &floor->versions[index]))
        return false;
      found_ms = MIN (found_ms, floor->versions[index].found_ms);
    }
  else if (index == 0 && floor->count == DL_VERSION_FLOOR_HISTORY)
    return false;
  else
    index = make_room (floor, index);
  floor->versions[index] = *a;
  floor->versions[index].found_ms = found_ms;
  return true;
}

bool
dl_version_floor_announced (DlVersionFloor *floor,
                            uint64_t version,
                            uint64_t announced_ms)
{
  return dl_version_floor_add (floor, &(DlAnnouncement){
                                          .version = version,
                                          .source = DL_ANNOUNCED_OBSERVED,
                                          .announced_ms = announced_ms,
                                          .found_ms = announced_ms,
                                      });
}

bool
dl_version_floor_raise (DlVersionFloor *floor, uint64_t version)
{
  if (version <= floor->peer_floor)
    return false;
  floor->peer_floor = version;
  return true;
}

static const DlAnnouncement *
find (const DlVersionFloor *floor, uint64_t version)
{
  for (unsigned i = 0; i < floor->count; i++)
    if (floor->versions[i].version == version)
      return &floor->versions[i];
  return NULL;
}

/* The time from which the version's limit counts. */
static uint64_t
limit_start_ms (const DlAnnouncement *a, uint64_t now_ms)
{
  if (a->source == DL_ANNOUNCED_BETWEEN
      && now_ms < a->found_ms + DL_VERSION_FLOOR_SETTLE_MS)
    return a->found_ms;
  return a->announced_ms;
}

uint64_t
dl_version_floor_start_ms (const DlVersionFloor *floor, uint64_t version, uint64_t now_ms)
{
  const DlAnnouncement *a = find (floor, version);

  return a != NULL ? limit_start_ms (a, now_ms) : 0;
}

/* The newest version, of those whose announcements are known at least as well as LEAST,
 * whose limit is over LEAD_MS from now. */
static uint64_t
newest_due (const DlVersionFloor *floor,
            DlAnnouncementSource least,
            uint64_t limit_ms,
            uint64_t lead_ms,
            uint64_t now_ms)
{
  for (unsigned i = floor->count; i > 0; i--)
    {
      const DlAnnouncement *a = &floor->versions[i - 1];

      if (a->source >= least && now_ms + lead_ms >= limit_start_ms (a, now_ms) + limit_ms)
        return a->version;
    }
  return 0;
}

uint64_t
dl_version_floor_at (const DlVersionFloor *floor, uint64_t limit_ms, uint64_t now_ms)
{
  uint64_t due = newest_due (floor, DL_ANNOUNCED_GUESSED, limit_ms,
                             DL_VERSION_FLOOR_MARGIN_MS, now_ms);

  return MAX (due, floor->peer_floor);
}

uint64_t
dl_version_floor_certain (const DlVersionFloor *floor, uint64_t limit_ms, uint64_t now_ms)
{
  uint64_t due = newest_due (floor, DL_ANNOUNCED_OBSERVED, limit_ms,
                             DL_VERSION_FLOOR_MARGIN_MS, now_ms);

  return MAX (due, floor->peer_floor);
}

/* True when the announcement of VERSION was observed. */
static bool
is_observed (const DlVersionFloor *floor, uint64_t version)
{
  const DlAnnouncement *a = find (floor, version);

  return a != NULL && a->source == DL_ANNOUNCED_OBSERVED;
}

uint64_t
dl_version_floor_for_waiting (const DlVersionFloor *floor,
                              uint64_t limit_ms,
                              uint64_t now_ms)
{
  uint64_t lowest = newest_due (floor, DL_ANNOUNCED_GUESSED, limit_ms,
                                DL_VERSION_FLOOR_WITHDRAW_MS, now_ms);

  /* The time that is left for a version known from another node alone is not known. */
  return is_observed (floor, floor->peer_floor) ? lowest
                                                : MAX (lowest, floor->peer_floor);
}

uint64_t
dl_version_floor_due (const DlVersionFloor *floor, uint64_t limit_ms, uint64_t now_ms)
{
  return newest_due (floor, DL_ANNOUNCED_GUESSED, limit_ms, 0, now_ms);
}
