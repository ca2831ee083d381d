/*
 * Fleet settings: what is common to all entries and slots.
 *
 * They are the object settings/fleet of the platform's service.  The same table checks
 * them before they are accepted and after they are read.  daisyloft-fleet.json(5)
 * describes every key.
 */
#ifndef DL_FLEET_H
#define DL_FLEET_H

#include "kernel/settings.h"

#define DL_FLEET_KIND "settings"
#define DL_FLEET_NAME "fleet"

typedef enum
{
  DL_SERVICE_MODEL, /* a model engine: streams, versions, load orders */
  DL_SERVICE_PLAIN, /* a plain service */
} DlServiceKind;

typedef struct
{
  const char *name;
  int kind;                     /* DlServiceKind */
  DlSettingList non_idempotent; /* of const char *: "METHOD /path-prefix" */
  uint64_t capacity;            /* requests at once on one upstream; 0: as it reports */
  uint64_t queue;               /* requests more than CAPACITY sent to one upstream */
  bool route_by_prefix; /* prefer upstreams whose cache holds the prompt's prefix */
} DlService;

typedef struct
{
  const char *name;
  uint64_t weight;             /* share among organisations under contention */
  uint64_t max_requests_per_s; /* over the whole fleet */
  uint64_t burst;              /* requests */
} DlOrganisation;

typedef enum
{
  DL_WEIGH_TIME,
  DL_WEIGH_ORIGIN_BYTES,
} DlWeigh;

/* One acceptance of settings; entries write these, operators do not. */
typedef struct
{
  uint64_t at_ms; /* since 1970 */
  const char *by;
  const char *command; /* id of the command that applied them */
  const char *what;
} DlSettingsChange;

typedef struct
{
  DlSettingList services;      /* of DlService */
  DlSettingList organisations; /* of DlOrganisation */
  DlSettingList priorities;    /* of const char *, most urgent first */
  uint64_t retry_percent;      /* retries allowed for each 100 first tries */
  uint64_t address_keep_s;     /* how long callers may keep an address */
  int weigh;                   /* DlWeigh, for rollouts that do not say */
  uint64_t wave_percent; /* of the upstreams of a service and region that load at once */
  const char *home_region; /* where the origin stands */
  DlSettingList history;   /* of DlSettingsChange, oldest first */
} DlFleet;

/* Returns 0 or -EINVAL with a one-line *ERROR below CONTEXT.  Contradictions between keys
 * (a name that stands twice, a malformed call) are errors too. */
int dl_fleet_parse (
    const void *context, const char *source, DlStr text, DlFleet **fleet, char **error);
/* The settings in force before any were ever accepted. */
DlFleet *dl_fleet_default (const void *context);
const DlService *dl_fleet_service (const DlFleet *fleet, const char *name);
const DlOrganisation *dl_fleet_organisation (const DlFleet *fleet, const char *name);
/* Index of a priority's name; the least urgent one when NAME is NULL; -ENOENT. */
int dl_fleet_priority (const DlFleet *fleet, const char *name);
/* True when a call of METHOD on PATH must run at most once. */
bool dl_service_call_is_non_idempotent (const DlService *service,
                                        const char *method,
                                        const char *path);

#endif
