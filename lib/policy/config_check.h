/*
 * Checks of a routing configuration before it is sent.
 *
 * An error makes some requests fail or be handled in a way that the configuration does
 * not show.  A warning is a part that has no effect.  A difference is a change from the
 * configuration in force.
 *
 * Pure functions.
 */
#ifndef DL_CONFIG_CHECK_H
#define DL_CONFIG_CHECK_H

#include <stdbool.h>
#include <stddef.h>

#include "policy/routing.h"

typedef enum
{
  DL_CONFIG_ERROR,
  DL_CONFIG_WARNING,
  DL_CONFIG_DIFFERENCE,
  DL_CONFIG_SEVERITIES, /* their number */
} DlConfigSeverity;

typedef enum
{
  DL_CONFIG_MALFORMED, /* the text cannot be parsed */
  DL_CONFIG_LEFT_OUT,
  DL_CONFIG_SHARED_KEY,
  DL_CONFIG_VERSION,
  DL_CONFIG_UNKNOWN_SERVICE,
  DL_CONFIG_NO_WEIGHT,
  DL_CONFIG_NEVER_MATCHES,
  DL_CONFIG_DUPLICATE_NAME,
  DL_CONFIG_UNUSED_SERVICE,
  DL_CONFIG_TARGET_OVER_TIMEOUT,
  DL_CONFIG_ATTEMPTS,
  DL_CONFIG_REGIONS_DISJOINT,
  DL_CONFIG_UNKNOWN_REGION,
  DL_CONFIG_EVACUATION,
  DL_CONFIG_ADDED,
  DL_CONFIG_REMOVED,
  DL_CONFIG_CHANGED,
} DlConfigKind;

typedef struct
{
  DlConfigSeverity severity;
  DlConfigKind kind;
  DlRoutingPart part;
  const char *name; /* of the route, service or organisation */
  const char *text; /* one line */
} DlConfigFinding;

/* Bounds the memory and the output for a configuration that consists of faults. */
#define DL_CONFIG_LISTED_MAX 10000

/* What was found. */
typedef struct
{
  DlConfigFinding *items;              /* a talloc array */
  size_t listed;                       /* length of ITEMS */
  size_t counts[DL_CONFIG_SEVERITIES]; /* of all findings, listed or not */
} DlConfigFindings;

/* A data centre that may have upstreams. */
typedef struct
{
  const char *name;
  const char *region;
  bool is_evacuated;
} DlConfigDataCenter;

/* An upstream in use. */
typedef struct
{
  const char *service;
  const char *data_center;
} DlConfigUpstream;

/* What is checked. */
typedef struct
{
  const DlRouting *routing;
  const DlRoutingFaults *faults; /* of ROUTING; may be NULL */
  const DlRouting *in_force;     /* to compare with; may be NULL */
  /* With none, regions and evacuations are not checked. */
  const DlConfigDataCenter *data_centers;
  size_t data_center_count;
  /* When they are not known, each data centre is taken to have some of each service. */
  bool has_upstreams;
  const DlConfigUpstream *upstreams;
  size_t upstream_count;
} DlConfigInput;

/* Returns an empty list, a talloc child of CONTEXT. */
DlConfigFindings *dl_config_findings_new (const void *context);
/* Adds a finding with a text as of printf; both texts are copied. */
void dl_config_findings_add (DlConfigFindings *findings,
                             DlConfigSeverity severity,
                             DlConfigKind kind,
                             DlRoutingPart part,
                             const char *name,
                             const char *format,
                             ...) __attribute__ ((format (printf, 6, 7)));
/* Adds what is found in INPUT. */
void dl_config_check (DlConfigFindings *findings, const DlConfigInput *input);

/* Names for output. */
const char *dl_config_severity_name (DlConfigSeverity severity);
const char *dl_config_kind_name (DlConfigKind kind);
const char *dl_routing_part_name (DlRoutingPart part);

#endif
