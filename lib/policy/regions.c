#include "policy/regions.h"

#include <string.h>

bool
dl_regions_allow (const DlRegions *regions, const char *region)
{
  if (!regions->is_confined)
    return true;
  for (size_t i = 0; region != NULL && i < regions->count; i++)
    if (strcmp (regions->names[i], region) == 0)
      return true;
  return false;
}

bool
dl_homes_allow (const DlHomes *homes, const char *region)
{
  return (homes->route == NULL || dl_regions_allow (homes->route, region))
         && (homes->organisation == NULL
             || dl_regions_allow (homes->organisation, region));
}

bool
dl_homes_are_confined (const DlHomes *homes)
{
  return (homes->route != NULL && homes->route->is_confined)
         || (homes->organisation != NULL && homes->organisation->is_confined);
}
