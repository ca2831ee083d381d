#include "node/node.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/http_server.h"

#define MS_PER_S 1000
/* Part of the grace time that is kept for exiting after the drain. */
#define STOP_RESERVE_MS    400
#define HOUR_MS            3600000
#define REVOKE_DEFAULT_MS  5000
#define APPLY_DEFAULT_MS   2000
#define VERSION_DEFAULT_MS 8000
#define GRACE_DEFAULT_S    8
#define TTL_DEFAULT_S      2
#define OVERAGE_DEFAULT    1
#define BYTES_PER_MB       (1024.0 * 1024.0)
/* Of the host's memory, the part for the bodies of requests, each of which is copied once
 * as it is sent on, and that for connections. */
#define HELD_BODIES_SHARE 0.15
#define CONNECTIONS_SHARE 0.3
#define CONNECTION_BYTES  (52.0 * 1024.0) /* at most, without a body */
/* Twice the longest body, whose buffer may be that large. */
#define HELD_BODIES_MIN_BYTES (UINT64_C (16) << 20)
#define HELD_BODIES_MAX_BYTES (UINT64_C (4) << 30)

#define TEXT(member, is_required)                                           \
  {                                                                         \
    .key = #member, .type = DL_SETTING_STRING,                              \
    .offset = offsetof (DlNodeSettings, member), .required = (is_required), \
  }
#define ADDRESS(member, is_required)                                        \
  {                                                                         \
    .key = #member, .type = DL_SETTING_ADDRESS,                             \
    .offset = offsetof (DlNodeSettings, member), .required = (is_required), \
  }
#define NUMBER(member, default_value)                                         \
  {                                                                           \
    .key = #member, .type = DL_SETTING_NUMBER,                                \
    .offset = offsetof (DlNodeSettings, member), .fallback = (default_value), \
  }

/* A time in milliseconds, of at least a second. */
#define DURATION(member, default_value)                               \
  {                                                                   \
    .key = #member, .type = DL_SETTING_UINT,                          \
    .offset = offsetof (DlNodeSettings, member), .minimum = MS_PER_S, \
    .maximum = HOUR_MS, .fallback = (default_value),                  \
  }

const DlSettingSpec dl_node_specs[] = {
  TEXT (name, true),
  TEXT (region, true),
  TEXT (data_center, true),
  ADDRESS (address, true),
  ADDRESS (store, true),
  ADDRESS (listen, false),
  ADDRESS (ready, false),
  ADDRESS (directory, false),
  ADDRESS (metrics, false),
  ADDRESS (engine, false),
  TEXT (service, false),
  {
      .key = "json_logs",
      .type = DL_SETTING_BOOL,
      .offset = offsetof (DlNodeSettings, json_logs),
  },
  {
      .key = "bootstrap",
      .type = DL_SETTING_BOOL,
      .offset = offsetof (DlNodeSettings, bootstrap),
  },
  DURATION (revoke_ms, REVOKE_DEFAULT_MS),
  DURATION (apply_ms, APPLY_DEFAULT_MS),
  DURATION (version_ms, VERSION_DEFAULT_MS),
  NUMBER (grace_s, GRACE_DEFAULT_S),
  NUMBER (retry_ratio, 0),
  NUMBER (retry_slack, 0),
  NUMBER (directory_ttl_s, TTL_DEFAULT_S),
  {
      .key = "data_centers",
      .type = DL_SETTING_STRINGS,
      .offset = offsetof (DlNodeSettings, data_centers),
  },
  DURATION (evacuate_ms, 0),
  NUMBER (cold_overage, OVERAGE_DEFAULT),
  NUMBER (cold_slack, 0),
  NUMBER (memory_mb, 0),
  {
      .key = "held_bodies_bytes",
      .type = DL_SETTING_UINT,
      .offset = offsetof (DlNodeSettings, held_bodies_bytes),
      .minimum = HELD_BODIES_MIN_BYTES,
      .maximum = HELD_BODIES_MAX_BYTES,
  },
  {
      .key = "connections_max",
      .type = DL_SETTING_UINT,
      .offset = offsetof (DlNodeSettings, connections_max),
      .maximum = DL_NODE_CONNECTIONS_MAX,
  },
  {
      .key = "stall_ms",
      .type = DL_SETTING_UINT,
      .offset = offsetof (DlNodeSettings, stall_ms),
      .minimum = MS_PER_S,
      .maximum = HOUR_MS,
      .fallback = DL_HTTP_STALL_DEFAULT_MS,
  },
  {
      .key = "arrival_ms",
      .type = DL_SETTING_UINT,
      .offset = offsetof (DlNodeSettings, arrival_ms),
      .minimum = MS_PER_S,
      .maximum = HOUR_MS,
      .fallback = DL_HTTP_ARRIVAL_DEFAULT_MS,
  },
  { 0 },
};

const char *
dl_node_region_of (const DlNodeSettings *settings, const char *data_center)
{
  size_t length = strlen (data_center);

  for (size_t i = 0; i < settings->data_centers.count; i++)
    {
      const char *item = ((const char **)settings->data_centers.items)[i];

      if (strncmp (item, data_center, length) == 0 && item[length] == '=')
        return item + length + 1;
    }
  return strcmp (data_center, settings->data_center) == 0 ? settings->region : NULL;
}

bool
dl_node_has_cold_bound (const DlNodeSettings *settings)
{
  return settings->cold_overage > 1 || settings->cold_slack > 0;
}

/* Sets the limits on what callers hold that the settings leave open. */
static void
set_caller_limits (DlNodeSettings *s)
{
  double memory_bytes = s->memory_mb * BYTES_PER_MB;

  if (s->held_bodies_bytes == 0)
    s->held_bodies_bytes
        = memory_bytes > 0
              ? MAX ((uint64_t)(memory_bytes * HELD_BODIES_SHARE), HELD_BODIES_MIN_BYTES)
              : DL_HTTP_HELD_BYTES_DEFAULT;
  if (s->connections_max == 0)
    s->connections_max = DL_NODE_CONNECTIONS_MAX;
  if (memory_bytes > 0)
    s->connections_max
        = MIN (s->connections_max,
               (uint64_t)(memory_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES) + 1);
}

/* Each data centre is given as "NAME=REGION". */
static bool
are_data_centers_valid (const DlNodeSettings *settings)
{
  for (size_t i = 0; i < settings->data_centers.count; i++)
    {
      const char *item = ((const char **)settings->data_centers.items)[i];
      const char *equals = strchr (item, '=');

      if (equals == NULL || equals == item || equals[1] == '\0')
        return false;
    }
  return true;
}

int
dl_node_settings_check (const void *context,
                        DlNodeSettings *settings,
                        bool is_entry,
                        char **error)
{
  double grace_ms = settings->grace_s * MS_PER_S;

  settings->drain_ms = grace_ms > 2 * STOP_RESERVE_MS
                           ? (uint64_t)grace_ms - STOP_RESERVE_MS
                           : (uint64_t)(grace_ms / 2);
  set_caller_limits (settings);
  if (!are_data_centers_valid (settings))
    {
      *error = talloc_strdup (context, "data_centers: each is NAME=REGION");
      return -EINVAL;
    }
  if (settings->cold_overage < 1)
    {
      *error = talloc_strdup (context, "cold_overage: at least 1");
      return -EINVAL;
    }
  if (is_entry
      && (settings->listen == NULL || settings->ready == NULL
          || settings->directory == NULL))
    {
      *error = talloc_strdup (context, "listen, ready and directory are required");
      return -EINVAL;
    }
  if (!is_entry && (settings->engine == NULL || settings->service == NULL))
    {
      *error = talloc_strdup (context, "engine and service are required");
      return -EINVAL;
    }
  return 0;
}
