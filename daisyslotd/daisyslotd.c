/*
 * Entry point of daisyslotd: the settings, and the identity shown to other processes.
 */
#include "daisyslotd.h"

#include <errno.h>
#include <string.h>
#include <talloc.h>

#include "kernel/program.h"

#define DRAIN_DEFAULT_MS  30000
#define GUARD_DEFAULT_MS  6000
#define HOUR_MS           3600000
#define RATE_MAX          (UINT64_C (1) << 40) /* bytes per second */
#define KEY_MINIMUM_BYTES 16

static const char *const service_kinds[] = { "model", "plain", NULL };

static SlotSettings settings;

static const DlSettingSpec slot_specs[] = {
  {
      .key = "name",
      .type = DL_SETTING_STRING,
      .offset = offsetof (SlotSettings, name),
      .required = true,
  },
  {
      .key = "region",
      .type = DL_SETTING_STRING,
      .offset = offsetof (SlotSettings, region),
      .required = true,
  },
  {
      .key = "data_center",
      .type = DL_SETTING_STRING,
      .offset = offsetof (SlotSettings, data_center),
      .required = true,
  },
  {
      .key = "service",
      .type = DL_SETTING_STRING,
      .offset = offsetof (SlotSettings, service),
      .required = true,
  },
  {
      .key = "kind",
      .type = DL_SETTING_CHOICE,
      .offset = offsetof (SlotSettings, kind),
      .choices = service_kinds,
  },
  {
      .key = "listen",
      .type = DL_SETTING_ADDRESS,
      .offset = offsetof (SlotSettings, listen),
      .required = true,
  },
  {
      .key = "advertise",
      .type = DL_SETTING_ADDRESS,
      .offset = offsetof (SlotSettings, advertise),
  },
  {
      .key = "weights_listen",
      .type = DL_SETTING_ADDRESS,
      .offset = offsetof (SlotSettings, weights_listen),
  },
  {
      .key = "engine",
      .type = DL_SETTING_ADDRESS,
      .offset = offsetof (SlotSettings, engine),
      .required = true,
  },
  {
      .key = "engine_checks_fence",
      .type = DL_SETTING_BOOL,
      .offset = offsetof (SlotSettings, engine_checks_fence),
  },
  {
      .key = "origin",
      .type = DL_SETTING_STRING,
      .offset = offsetof (SlotSettings, origin),
      .fallback_text = "",
  },
  {
      .key = "weight_store",
      .type = DL_SETTING_STRING,
      .offset = offsetof (SlotSettings, weight_store),
      .fallback_text = "",
  },
  {
      .key = "fleet_key",
      .type = DL_SETTING_STRING,
      .offset = offsetof (SlotSettings, fleet_key),
      .required = true,
  },
  {
      .key = "seeds",
      .type = DL_SETTING_STRINGS,
      .offset = offsetof (SlotSettings, seeds),
      .required = true,
      .minimum = 1,
      .maximum = 64,
  },
  {
      .key = "json_logs",
      .type = DL_SETTING_BOOL,
      .offset = offsetof (SlotSettings, json_logs),
  },
  {
      .key = "drain_ms",
      .type = DL_SETTING_UINT,
      .offset = offsetof (SlotSettings, drain_ms),
      .maximum = HOUR_MS,
      .fallback = DRAIN_DEFAULT_MS,
  },
  {
      .key = "upload_bytes_per_s",
      .type = DL_SETTING_UINT,
      .offset = offsetof (SlotSettings, upload_bytes_per_s),
      .maximum = RATE_MAX,
  },
  {
      .key = "download_bytes_per_s",
      .type = DL_SETTING_UINT,
      .offset = offsetof (SlotSettings, download_bytes_per_s),
      .maximum = RATE_MAX,
  },
  {
      .key = "link_shared",
      .type = DL_SETTING_BOOL,
      .offset = offsetof (SlotSettings, link_shared),
  },
  {
      .key = "region_bytes_per_s",
      .type = DL_SETTING_UINT,
      .offset = offsetof (SlotSettings, region_bytes_per_s),
      .maximum = RATE_MAX,
  },
  {
      .key = "exchange",
      .type = DL_SETTING_BOOL,
      .offset = offsetof (SlotSettings, exchange),
      .fallback = true,
  },
  {
      .key = "guard_ms",
      .type = DL_SETTING_UINT,
      .offset = offsetof (SlotSettings, guard_ms),
      .minimum = 500,
      .maximum = 600000,
      .fallback = GUARD_DEFAULT_MS,
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
  else if (settings.kind == DL_SERVICE_MODEL && settings.weights_listen == NULL)
    *error = talloc_strdup (context, "weights_listen: required for a model engine");
  else if (settings.kind == DL_SERVICE_MODEL && *settings.origin == '\0'
           && *settings.weight_store == '\0')
    *error = talloc_strdup (context, "origin: a model engine needs it or weight_store");
  else if (settings.link_shared && settings.download_bytes_per_s == 0)
    *error = talloc_strdup (context, "link_shared: needs download_bytes_per_s");
  if (*error != NULL)
    return -EINVAL;
  if (settings.advertise == NULL)
    settings.advertise = settings.listen;
  return 0;
}

const DlIdentity *
slot_identity (DlTask *task)
{
  static DlIdentity identity;

  identity = (DlIdentity){
    .name = settings.name,
    .role = DAISYLOFT__WIRE__ROLE__ROLE_SLOT,
    .region = settings.region,
    .data_center = settings.data_center,
    .address = settings.advertise,
    .key = settings.fleet_key,
    .incarnation = dl_kernel_incarnation (dl_task_kernel (task)),
  };
  return &identity;
}

int
main (int argc, char **argv)
{
  return dl_program_run (
      &(DlProgram){
          .program = "daisyslotd",
          .summary
          = "Stores the weights of an upstream host, makes its engine load them, and "
            "forwards requests to the engine.",
          .specs = slot_specs,
          .settings = &settings,
          .check = check_settings,
          .name = &settings.name,
          .json_logs = &settings.json_logs,
          .drain_ms = &settings.drain_ms,
      },
      argc, argv);
}
