#include "node/target_version.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "policy/version_floor.h"

#define MODEL_MAX_BYTES 128

DlTargetDiscovery
dl_target_version_discovery (const DlObjectWatch *watch)
{
  if (dl_object_watch_synced_ms (watch) == 0)
    return DL_TARGET_AT_START;
  if (dl_object_watch_is_prompt (watch))
    return DL_TARGET_OBSERVED;
  return dl_object_watch_is_after_outage (watch) ? DL_TARGET_AFTER_OUTAGE
                                                 : DL_TARGET_LATE;
}

bool
dl_model_name_is_valid (const char *name)
{
  size_t length = 0;

  while (g_ascii_isgraph (name[length]))
    length++;
  return name[length] == '\0' && length > 0 && length <= MODEL_MAX_BYTES;
}

/* The time AGE_MS before NOW_MS; 1 when that is before the clock's start. */
static uint64_t
time_before (uint64_t now_ms, uint64_t age_ms)
{
  return now_ms > age_ms ? now_ms - age_ms : 1;
}

static bool
is_newer (const DlTargetVersion *target, const char *model, uint64_t version)
{
  return target->model == NULL || strcmp (target->model, model) != 0
         || version > target->version;
}

static void
set_version (const void *owner,
             DlTargetVersion *target,
             const char *model,
             uint64_t version)
{
  talloc_free (target->model);
  target->model = talloc_strdup (owner, model);
  target->version = version;
}

bool
dl_target_version_from_store (const void *owner,
                              DlTargetVersion *target,
                              const char *model,
                              uint64_t version,
                              DlTargetDiscovery how,
                              uint64_t now_ms)
{
  bool is_news = is_newer (target, model, version);

  /* Another node may have reported the version without knowing since when it is. */
  if (!is_news
      && (version < target->version || target->observed || how != DL_TARGET_OBSERVED))
    return false;
  if (is_news)
    set_version (owner, target, model, version);
  target->observed = how == DL_TARGET_OBSERVED;
  target->announced_ms = how == DL_TARGET_AT_START
                             ? time_before (now_ms, DL_TARGET_ASSUMED_AGE_MS)
                             : now_ms;
  return true;
}

bool
dl_target_version_from_node (const void *owner,
                             DlTargetVersion *target,
                             const Daisyloft__Wire__Named *wire,
                             uint64_t now_ms)
{
  uint64_t announced_ms = time_before (now_ms, wire->age_ms);

  if (is_newer (target, wire->model, wire->version))
    set_version (owner, target, wire->model, wire->version);
  else if (wire->version < target->version || !wire->witnessed
           || (target->observed
               && announced_ms + DL_ANNOUNCEMENT_TOLERANCE_MS >= target->announced_ms))
    return false;
  target->observed = wire->witnessed;
  target->announced_ms = announced_ms;
  return true;
}

bool
dl_target_version_to_wire (const DlTargetVersion *target,
                           Daisyloft__Wire__Named *wire,
                           uint64_t now_ms)
{
  if (target->model == NULL)
    return false;
  daisyloft__wire__named__init (wire);
  wire->model = target->model;
  wire->version = target->version;
  wire->age_ms = now_ms - target->announced_ms;
  wire->witnessed = target->observed;
  return true;
}
