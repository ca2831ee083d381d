/*
 * Entry point of daisyentryd: the settings, the identity shown to other processes, and
 * access to snapshots.
 */
#include "daisyentryd.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/program.h"
#include "query/query.h"

#define DRAIN_DEFAULT_MS              30000
#define PLATFORM_TIMEOUT_DEFAULT_MS   2000
#define HOST_LIST_INTERVAL_DEFAULT_MS 2000
#define LEASE_DEFAULT_MS              5000
#define LEASE_MINIMUM_MS              500
#define CLAIM_KEEP_DEFAULT_MS         86400000 /* one day */
#define CLAIM_KEEP_MINIMUM_MS         10000
#define CLAIM_KEEP_MAXIMUM_MS         2592000000 /* 30 days */
#define MAX_CALLERS_DEFAULT           10000
#define BODY_DEFAULT_BYTES            (1u << 20)
#define BODY_MAX_BYTES                (64u << 20)
#define HOUR_MS                       3600000
#define KEY_MINIMUM_BYTES             16

static EntrySettings settings;

static const DlSettingSpec entry_specs[] = {
  {
      .key = "name",
      .type = DL_SETTING_STRING,
      .offset = offsetof (EntrySettings, name),
      .required = true,
  },
  {
      .key = "region",
      .type = DL_SETTING_STRING,
      .offset = offsetof (EntrySettings, region),
      .required = true,
  },
  {
      .key = "data_center",
      .type = DL_SETTING_STRING,
      .offset = offsetof (EntrySettings, data_center),
      .required = true,
  },
  {
      .key = "listen",
      .type = DL_SETTING_ADDRESS,
      .offset = offsetof (EntrySettings, listen),
      .required = true,
  },
  {
      .key = "advertise",
      .type = DL_SETTING_ADDRESS,
      .offset = offsetof (EntrySettings, advertise),
  },
  {
      .key = "callers_listen",
      .type = DL_SETTING_ADDRESS,
      .offset = offsetof (EntrySettings, callers_listen),
      .required = true,
  },
  {
      .key = "callers_advertise",
      .type = DL_SETTING_ADDRESS,
      .offset = offsetof (EntrySettings, callers_advertise),
  },
  {
      .key = "operators_listen",
      .type = DL_SETTING_ADDRESS,
      .offset = offsetof (EntrySettings, operators_listen),
      .required = true,
  },
  {
      .key = "platform",
      .type = DL_SETTING_ADDRESS,
      .offset = offsetof (EntrySettings, platform),
      .required = true,
  },
  {
      .key = "fleet_key",
      .type = DL_SETTING_STRING,
      .offset = offsetof (EntrySettings, fleet_key),
      .required = true,
  },
  {
      .key = "operator_key",
      .type = DL_SETTING_STRING,
      .offset = offsetof (EntrySettings, operator_key),
      .required = true,
  },
  {
      .key = "seeds",
      .type = DL_SETTING_STRINGS,
      .offset = offsetof (EntrySettings, seeds),
      .maximum = 64,
  },
  {
      .key = "json_logs",
      .type = DL_SETTING_BOOL,
      .offset = offsetof (EntrySettings, json_logs),
  },
  {
      .key = "drain_ms",
      .type = DL_SETTING_UINT,
      .offset = offsetof (EntrySettings, drain_ms),
      .maximum = HOUR_MS,
      .fallback = DRAIN_DEFAULT_MS,
  },
  {
      .key = "platform_timeout_ms",
      .type = DL_SETTING_UINT,
      .offset = offsetof (EntrySettings, platform_timeout_ms),
      .minimum = 50,
      .maximum = 60000,
      .fallback = PLATFORM_TIMEOUT_DEFAULT_MS,
  },
  {
      .key = "host_list_interval_ms",
      .type = DL_SETTING_UINT,
      .offset = offsetof (EntrySettings, host_list_interval_ms),
      .minimum = 100,
      .maximum = 60000,
      .fallback = HOST_LIST_INTERVAL_DEFAULT_MS,
  },
  {
      .key = "lease_ms",
      .type = DL_SETTING_UINT,
      .offset = offsetof (EntrySettings, lease_ms),
      .minimum = LEASE_MINIMUM_MS,
      .maximum = 600000,
      .fallback = LEASE_DEFAULT_MS,
  },
  {
      .key = "claim_keep_ms",
      .type = DL_SETTING_UINT,
      .offset = offsetof (EntrySettings, claim_keep_ms),
      .minimum = CLAIM_KEEP_MINIMUM_MS,
      .maximum = CLAIM_KEEP_MAXIMUM_MS,
      .fallback = CLAIM_KEEP_DEFAULT_MS,
  },
  {
      .key = "max_callers",
      .type = DL_SETTING_UINT,
      .offset = offsetof (EntrySettings, max_callers),
      .minimum = 1,
      .maximum = 100000,
      .fallback = MAX_CALLERS_DEFAULT,
  },
  {
      .key = "max_body_bytes",
      .type = DL_SETTING_UINT,
      .offset = offsetof (EntrySettings, max_body_bytes),
      .minimum = 1024,
      .maximum = BODY_MAX_BYTES,
      .fallback = BODY_DEFAULT_BYTES,
  },
  { 0 },
};

static int
check_settings (const void *context, char **error)
{
  *error = NULL;
  if (strlen (settings.fleet_key) < KEY_MINIMUM_BYTES)
    *error = talloc_asprintf (context, "fleet_key: must have at least %d bytes",
                              KEY_MINIMUM_BYTES);
  else if (strlen (settings.operator_key) < KEY_MINIMUM_BYTES)
    *error = talloc_asprintf (context, "operator_key: must have at least %d bytes",
                              KEY_MINIMUM_BYTES);
  else if (strcmp (settings.fleet_key, settings.operator_key) == 0)
    *error = talloc_strdup (context, "operator_key: must differ from fleet_key");
  if (*error != NULL)
    return -EINVAL;
  if (settings.advertise == NULL)
    settings.advertise = settings.listen;
  if (settings.callers_advertise == NULL)
    settings.callers_advertise = settings.callers_listen;
  return 0;
}

const DlIdentity *
entry_identity (DlTask *task)
{
  static DlIdentity identity;

  identity = (DlIdentity){
    .name = settings.name,
    .role = DAISYLOFT__WIRE__ROLE__ROLE_ENTRY,
    .region = settings.region,
    .data_center = settings.data_center,
    .address = settings.advertise,
    .key = settings.fleet_key,
    .incarnation = dl_kernel_incarnation (dl_task_kernel (task)),
  };
  return &identity;
}

/* -------- snapshots -------- */

const DlObject *
entry_snapshot_kind (const EntrySnapshot *snapshot, const char *kind, size_t *count)
{
  return dl_objects_of_kind (snapshot->objects, snapshot->count, kind, count);
}

const DlObject *
entry_snapshot_find (const EntrySnapshot *snapshot, const char *kind, const char *name)
{
  return dl_objects_find (snapshot->objects, snapshot->count, kind, name);
}

bool
entry_host_is_drained (const EntrySnapshot *snapshot, const char *host)
{
  const DlQuerySource source = {
    .revision = snapshot->revision,
    .count = snapshot->count,
    .objects = snapshot->objects,
  };

  return dl_host_is_drained (&source, host);
}

int
main (int argc, char **argv)
{
  return dl_program_run (
      &(DlProgram){
          .program = "daisyentryd",
          .summary = "Routes callers' requests, answers operators and steers rollouts.",
          .specs = entry_specs,
          .settings = &settings,
          .check = check_settings,
          .name = &settings.name,
          .json_logs = &settings.json_logs,
          .drain_ms = &settings.drain_ms,
      },
      argc, argv);
}
