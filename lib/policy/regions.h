/*
 * In which regions the requests of a route or an organisation may be handled.
 *
 * An operator may confine a route or an organisation to some regions.  Where both are
 * confined, a request must be allowed by both.
 *
 * Pure functions.
 */
#ifndef DL_REGIONS_H
#define DL_REGIONS_H

#include <stdbool.h>
#include <stddef.h>

/* A set of regions.  A zeroed one is not confined. */
typedef struct
{
  bool is_confined;   /* false: every region is allowed */
  const char **names; /* the regions that are allowed, if confined */
  size_t count;       /* of names; 0: none is allowed */
} DlRegions;

/* True when REGION is allowed.  NULL, a region that is not known, is only allowed without
 * confinement. */
bool dl_regions_allow (const DlRegions *regions, const char *region);

/* The two sets that bind one request; NULL: none. */
typedef struct
{
  const DlRegions *route;
  const DlRegions *organisation;
} DlHomes;

/* True when both sets allow REGION. */
bool dl_homes_allow (const DlHomes *homes, const char *region);
/* True when one of the sets is confined. */
bool dl_homes_are_confined (const DlHomes *homes);

#endif
