#include "node/target_version.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

/* Names that two nodes saw differ by less than this. */
#define SAME_MS 300

DlTargetDiscovery
dl_target_version_discovery (const DlObjectWatch *watch)
{
  if (dl_object_watch_synced_ms (watch) == 0)
    return DL_TARGET_AT_START;
  return dl_object_watch_is_continuous (watch) ? DL_TARGET_OBSERVED
                                               : DL_TARGET_AFTER_OUTAGE;
}

static uint64_t
before (uint64_t now_ms, uint64_t age_ms)
{
  return now_ms > age_ms ? now_ms - age_ms : 1;
}

static bool
is_newer (const DlTargetVersion *named, const char *model, uint64_t version)
{
  return named->model == NULL || strcmp (named->model, model) != 0
         || version > named->version;
}

static void
adopt (const void *owner, DlTargetVersion *named, const char *model, uint64_t version)
{
  talloc_free (named->model);
  named->model = talloc_strdup (owner, model);
  named->version = version;
}

bool
dl_target_version_from_store (const void *owner,
                              DlTargetVersion *named,
                              const char *model,
                              uint64_t version,
                              DlTargetDiscovery how,
                              uint64_t now_ms)
{
  if (!is_newer (named, model, version))
    return false;
  adopt (owner, named, model, version);
  named->witnessed = how == DL_TARGET_OBSERVED;
  named->announced_ms
      = how == DL_TARGET_AT_START ? before (now_ms, DL_TARGET_ASSUMED_AGE_MS) : now_ms;
  return true;
}

bool
dl_target_version_from_node (const void *owner,
                             DlTargetVersion *named,
                             const Daisyloft__Wire__Named *told,
                             uint64_t now_ms)
{
  uint64_t announced_ms = before (now_ms, told->age_ms);

  if (is_newer (named, told->model, told->version))
    adopt (owner, named, told->model, told->version);
  else if (told->version < named->version || !told->witnessed
           || (named->witnessed && announced_ms + SAME_MS >= named->announced_ms))
    return false;
  named->witnessed = told->witnessed;
  named->announced_ms = announced_ms;
  return true;
}

bool
dl_target_version_to_wire (const DlTargetVersion *named,
                           Daisyloft__Wire__Named *told,
                           uint64_t now_ms)
{
  if (named->model == NULL)
    return false;
  daisyloft__wire__named__init (told);
  told->model = named->model;
  told->version = named->version;
  told->age_ms = now_ms - named->announced_ms;
  told->witnessed = named->witnessed;
  return true;
}
