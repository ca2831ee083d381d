/*
 * Fleet settings: the settings shared by all entries and slots.
 *
 * They are stored as the object settings/fleet in the platform's object store.  They are
 * validated against the same table before they are accepted and after they are read.
 * daisyloft-fleet.json(5) describes every key.
 */
#ifndef DL_FLEET_H
#define DL_FLEET_H

#include "kernel/settings.h"

#define DL_FLEET_KIND "settings"
#define DL_FLEET_NAME "fleet"

/* What the upstreams of a service run. */
typedef enum
{
  DL_SERVICE_MODEL, /* a model engine: streams responses, loads versions of weights */
  DL_SERVICE_PLAIN, /* any other HTTP service */
} DlServiceKind;

/* A service that upstreams offer to callers. */
typedef struct
{
  const char *name;
  int kind;                     /* DlServiceKind */
  DlSettingList non_idempotent; /* of const char *: "METHOD /path-prefix" */
  uint64_t capacity;            /* concurrent requests per upstream; 0: as it reports */
  uint64_t queue;               /* requests sent to an upstream beyond CAPACITY */
  bool route_by_prefix; /* prefer upstreams whose cache holds the prompt's prefix */
} DlService;

/* Limits of one organisation's requests. */
typedef struct
{
  const char *name;
  uint64_t weight;             /* relative share under contention */
  uint64_t max_requests_per_s; /* over the whole fleet */
  uint64_t burst;              /* in requests */
} DlOrganisation;

/* What a rollout minimises: its duration, or the bytes fetched from the origin. */
typedef enum
{
  DL_WEIGH_TIME,
  DL_WEIGH_ORIGIN_BYTES,
} DlWeigh;

/* Record of one change of the settings; written by entries, not by operators. */
typedef struct
{
  uint64_t at_ms;      /* milliseconds since 1970 */
  const char *by;      /* operator */
  const char *command; /* id of the command that made the change */
  const char *what;    /* summary */
} DlSettingsChange;

/* The fleet settings.  Texts and lists are talloc children of it. */
typedef struct
{
  DlSettingList services;      /* of DlService */
  DlSettingList organisations; /* of DlOrganisation */
  DlSettingList priorities;    /* of const char *, most urgent first */
  uint64_t retry_percent;      /* retries allowed per 100 first attempts */
  uint64_t address_keep_s;     /* how long callers may cache an address */
  int weigh;                   /* DlWeigh, for rollouts that set none */
  /* Share of the upstreams of a service in a region that load at the same time. */
  uint64_t wave_percent;
  const char *home_region; /* region of the origin */
  DlSettingList history;   /* of DlSettingsChange, oldest first */
} DlFleet;

/* Parses TEXT into *FLEET, a talloc child of CONTEXT.  SOURCE names the text in errors.
 * Returns 0, or -EINVAL with a one-line *ERROR, also a child of CONTEXT.  Duplicate names
 * and malformed entries of non_idempotent are errors too. */
int dl_fleet_parse (
    const void *context, const char *source, DlStr text, DlFleet **fleet, char **error);
/* Returns the settings in effect until the first ones are accepted. */
DlFleet *dl_fleet_default (const void *context);
/* Both return NULL when the fleet has none of that name. */
const DlService *dl_fleet_service (const DlFleet *fleet, const char *name);
const DlOrganisation *dl_fleet_organisation (const DlFleet *fleet, const char *name);
/* Returns the index of the priority NAME, 0 being the most urgent, or -ENOENT.  NULL
 * means the least urgent priority. */
int dl_fleet_priority (const DlFleet *fleet, const char *name);
/* True when a call of METHOD on PATH must not be executed more than once. */
bool dl_service_call_is_non_idempotent (const DlService *service,
                                        const char *method,
                                        const char *path);

#endif
