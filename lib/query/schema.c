#include "query/schema.h"

#include <errno.h>
#include <string.h>

/* A column that is shown by default, and one that is not. */
#define DEFAULT_COLUMN(column_name, column_type)                               \
  {                                                                            \
    .name = (column_name), .type = DL_COLUMN_##column_type, .is_default = true \
  }
#define EXTRA_COLUMN(column_name, column_type)             \
  {                                                        \
    .name = (column_name), .type = DL_COLUMN_##column_type \
  }

static const DlColumn host_columns[DL_HOST_COLUMNS] = {
  [DL_HOST_HOST] = DEFAULT_COLUMN ("host", TEXT),
  [DL_HOST_REGION] = DEFAULT_COLUMN ("region", TEXT),
  [DL_HOST_DATA_CENTER] = DEFAULT_COLUMN ("data_center", TEXT),
  [DL_HOST_SERVICE] = DEFAULT_COLUMN ("service", TEXT),
  [DL_HOST_STATE] = DEFAULT_COLUMN ("state", TEXT),
  [DL_HOST_VERSION] = DEFAULT_COLUMN ("version", VERSION),
  [DL_HOST_DIGEST] = EXTRA_COLUMN ("digest", TEXT),
  [DL_HOST_TARGET] = DEFAULT_COLUMN ("target", VERSION),
  [DL_HOST_ROLLOUT] = DEFAULT_COLUMN ("rollout", TEXT),
  [DL_HOST_PERCENT] = DEFAULT_COLUMN ("percent", NUMBER),
  [DL_HOST_CHUNKS] = EXTRA_COLUMN ("chunks", NUMBER),
  [DL_HOST_CHUNKS_TOTAL] = EXTRA_COLUMN ("chunks_total", NUMBER),
  [DL_HOST_ORIGIN_BYTES] = EXTRA_COLUMN ("origin_bytes", NUMBER),
  [DL_HOST_REGION_BYTES] = EXTRA_COLUMN ("region_bytes", NUMBER),
  [DL_HOST_RECEIVED_BYTES] = EXTRA_COLUMN ("received_bytes", NUMBER),
  [DL_HOST_DUPLICATE_BYTES] = EXTRA_COLUMN ("duplicate_bytes", NUMBER),
  [DL_HOST_RUNNING] = EXTRA_COLUMN ("running", NUMBER),
  [DL_HOST_QUEUED] = EXTRA_COLUMN ("queued", NUMBER),
  [DL_HOST_CAPACITY] = EXTRA_COLUMN ("capacity", NUMBER),
  [DL_HOST_SETTINGS] = EXTRA_COLUMN ("settings", NUMBER),
  [DL_HOST_ACCEPTS] = EXTRA_COLUMN ("accepts", FLAG),
  [DL_HOST_DRAINED] = EXTRA_COLUMN ("drained", FLAG),
  [DL_HOST_LOST] = DEFAULT_COLUMN ("lost", FLAG),
  [DL_HOST_FAILURE] = EXTRA_COLUMN ("failure", TEXT),
};

static const DlColumn rollout_columns[DL_ROLLOUT_COLUMNS] = {
  [DL_ROLLOUT_NAME] = DEFAULT_COLUMN ("name", TEXT),
  [DL_ROLLOUT_VERSION] = DEFAULT_COLUMN ("version", VERSION),
  [DL_ROLLOUT_DIGEST] = EXTRA_COLUMN ("digest", TEXT),
  [DL_ROLLOUT_SERVICE] = DEFAULT_COLUMN ("service", TEXT),
  [DL_ROLLOUT_REGIONS] = EXTRA_COLUMN ("regions", TEXT),
  [DL_ROLLOUT_STATE] = DEFAULT_COLUMN ("state", TEXT),
  [DL_ROLLOUT_TARGETS] = DEFAULT_COLUMN ("targets", NUMBER),
  [DL_ROLLOUT_FETCHING] = EXTRA_COLUMN ("fetching", NUMBER),
  [DL_ROLLOUT_WHOLE] = DEFAULT_COLUMN ("whole", NUMBER),
  [DL_ROLLOUT_LOADING] = DEFAULT_COLUMN ("loading", NUMBER),
  [DL_ROLLOUT_SERVING] = DEFAULT_COLUMN ("serving", NUMBER),
  [DL_ROLLOUT_FAILED] = DEFAULT_COLUMN ("failed", NUMBER),
  [DL_ROLLOUT_LOST] = DEFAULT_COLUMN ("lost", NUMBER),
  [DL_ROLLOUT_PERCENT] = DEFAULT_COLUMN ("percent", NUMBER),
  [DL_ROLLOUT_ORIGIN_COPIES] = DEFAULT_COLUMN ("origin_copies", RATIO),
  [DL_ROLLOUT_SECONDS_LEFT] = DEFAULT_COLUMN ("seconds_left", NUMBER),
  [DL_ROLLOUT_WEIGH] = EXTRA_COLUMN ("weigh", TEXT),
  [DL_ROLLOUT_WAVE] = EXTRA_COLUMN ("wave", NUMBER),
  [DL_ROLLOUT_FENCE] = EXTRA_COLUMN ("fence", NUMBER),
  [DL_ROLLOUT_BY] = EXTRA_COLUMN ("by", TEXT),
  [DL_ROLLOUT_STARTED] = EXTRA_COLUMN ("started", TIME),
  [DL_ROLLOUT_LAST] = EXTRA_COLUMN ("last", TEXT),
  [DL_ROLLOUT_LAST_BY] = EXTRA_COLUMN ("last_by", TEXT),
  [DL_ROLLOUT_LAST_AT] = EXTRA_COLUMN ("last_at", TIME),
  [DL_ROLLOUT_REASON] = EXTRA_COLUMN ("reason", TEXT),
  [DL_ROLLOUT_REVISION] = EXTRA_COLUMN ("revision", NUMBER),
};

static const DlColumn version_columns[DL_VERSION_COLUMNS] = {
  [DL_VERSION_LABEL] = DEFAULT_COLUMN ("label", TEXT),
  [DL_VERSION_DIGEST] = DEFAULT_COLUMN ("digest", TEXT),
  [DL_VERSION_MODEL] = DEFAULT_COLUMN ("model", TEXT),
  [DL_VERSION_TOTAL_BYTES] = DEFAULT_COLUMN ("total_bytes", NUMBER),
  [DL_VERSION_CHUNKS] = DEFAULT_COLUMN ("chunks", NUMBER),
  [DL_VERSION_MANIFEST_BYTES] = EXTRA_COLUMN ("manifest_bytes", NUMBER),
  [DL_VERSION_SERVING] = DEFAULT_COLUMN ("serving", NUMBER),
  [DL_VERSION_BY] = EXTRA_COLUMN ("by", TEXT),
  [DL_VERSION_AT] = EXTRA_COLUMN ("at", TIME),
};

static const DlColumn upstream_columns[DL_UPSTREAM_COLUMNS] = {
  [DL_UPSTREAM_HOST] = DEFAULT_COLUMN ("host", TEXT),
  [DL_UPSTREAM_SERVICE] = DEFAULT_COLUMN ("service", TEXT),
  [DL_UPSTREAM_REGION] = DEFAULT_COLUMN ("region", TEXT),
  [DL_UPSTREAM_DATA_CENTER] = EXTRA_COLUMN ("data_center", TEXT),
  [DL_UPSTREAM_VERSION] = DEFAULT_COLUMN ("version", VERSION),
  [DL_UPSTREAM_ACCEPTS] = DEFAULT_COLUMN ("accepts", FLAG),
  [DL_UPSTREAM_DRAINED] = DEFAULT_COLUMN ("drained", FLAG),
  [DL_UPSTREAM_RUNNING] = DEFAULT_COLUMN ("running", NUMBER),
  [DL_UPSTREAM_QUEUED] = DEFAULT_COLUMN ("queued", NUMBER),
  [DL_UPSTREAM_CAPACITY] = DEFAULT_COLUMN ("capacity", NUMBER),
  [DL_UPSTREAM_LOST] = DEFAULT_COLUMN ("lost", FLAG),
};

static const DlColumn entry_columns[DL_ENTRY_COLUMNS] = {
  [DL_ENTRY_HOST] = DEFAULT_COLUMN ("host", TEXT),
  [DL_ENTRY_REGION] = DEFAULT_COLUMN ("region", TEXT),
  [DL_ENTRY_DATA_CENTER] = DEFAULT_COLUMN ("data_center", TEXT),
  [DL_ENTRY_SETTINGS] = DEFAULT_COLUMN ("settings", NUMBER),
  [DL_ENTRY_RUNNING] = DEFAULT_COLUMN ("running", NUMBER),
  [DL_ENTRY_LEAVING] = DEFAULT_COLUMN ("leaving", FLAG),
};

static const DlColumn lease_columns[DL_LEASE_COLUMNS] = {
  [DL_LEASE_NAME] = DEFAULT_COLUMN ("name", TEXT),
  [DL_LEASE_HOLDER] = DEFAULT_COLUMN ("holder", TEXT),
  [DL_LEASE_FENCE] = DEFAULT_COLUMN ("fence", NUMBER),
  [DL_LEASE_TTL_MS] = DEFAULT_COLUMN ("ttl_ms", NUMBER),
  [DL_LEASE_REVISION] = EXTRA_COLUMN ("revision", NUMBER),
};

static const DlColumn setting_columns[DL_SETTING_COLUMNS] = {
  [DL_SETTING_KEY] = DEFAULT_COLUMN ("key", TEXT),
  [DL_SETTING_VALUE] = DEFAULT_COLUMN ("value", TEXT),
  [DL_SETTING_REVISION] = EXTRA_COLUMN ("revision", NUMBER),
};

static const DlColumn failure_columns[DL_FAILURE_COLUMNS] = {
  [DL_FAILURE_HOST] = DEFAULT_COLUMN ("host", TEXT),
  [DL_FAILURE_ROLLOUT] = DEFAULT_COLUMN ("rollout", TEXT),
  [DL_FAILURE_SOURCE] = DEFAULT_COLUMN ("source", TEXT),
  [DL_FAILURE_REASON] = DEFAULT_COLUMN ("reason", TEXT),
};

static const DlColumn command_columns[DL_COMMAND_COLUMNS] = {
  [DL_COMMAND_ID] = DEFAULT_COLUMN ("id", TEXT),
  [DL_COMMAND_BY] = DEFAULT_COLUMN ("by", TEXT),
  [DL_COMMAND_AT] = DEFAULT_COLUMN ("at", TIME),
  [DL_COMMAND_OUTCOME] = DEFAULT_COLUMN ("outcome", TEXT),
  [DL_COMMAND_TEXT] = DEFAULT_COLUMN ("text", TEXT),
  [DL_COMMAND_DETAIL] = DEFAULT_COLUMN ("detail", TEXT),
  [DL_COMMAND_REVISION] = EXTRA_COLUMN ("revision", NUMBER),
};

static const DlColumn drain_columns[DL_DRAIN_COLUMNS] = {
  [DL_DRAIN_HOST] = DEFAULT_COLUMN ("host", TEXT),
  [DL_DRAIN_BY] = DEFAULT_COLUMN ("by", TEXT),
  [DL_DRAIN_AT] = DEFAULT_COLUMN ("at", TIME),
};

static const DlColumn in_force_columns[DL_IN_FORCE_COLUMNS] = {
  [DL_IN_FORCE_DATA_CENTER] = DEFAULT_COLUMN ("data_center", TEXT),
  [DL_IN_FORCE_ROLE] = DEFAULT_COLUMN ("role", TEXT),
  [DL_IN_FORCE_NODES] = DEFAULT_COLUMN ("nodes", NUMBER),
  [DL_IN_FORCE_MINIMUM] = DEFAULT_COLUMN ("minimum", NUMBER),
  [DL_IN_FORCE_MAXIMUM] = DEFAULT_COLUMN ("maximum", NUMBER),
  [DL_IN_FORCE_BEHIND] = DEFAULT_COLUMN ("behind", NUMBER),
  [DL_IN_FORCE_UNHEARD] = DEFAULT_COLUMN ("unheard", NUMBER),
  [DL_IN_FORCE_REVISION] = DEFAULT_COLUMN ("revision", NUMBER),
  [DL_IN_FORCE_IN_FORCE] = DEFAULT_COLUMN ("in_force", FLAG),
};

#define TABLE(table_name, table_columns)                                  \
  {                                                                       \
    .name = (table_name),                                                 \
    .column_count = sizeof (table_columns) / sizeof ((table_columns)[0]), \
    .columns = (table_columns),                                           \
  }

const DlTable dl_tables[DL_TABLES] = {
  [DL_TABLE_HOSTS] = TABLE ("hosts", host_columns),
  [DL_TABLE_ROLLOUTS] = TABLE ("rollouts", rollout_columns),
  [DL_TABLE_VERSIONS] = TABLE ("versions", version_columns),
  [DL_TABLE_UPSTREAMS] = TABLE ("upstreams", upstream_columns),
  [DL_TABLE_ENTRIES] = TABLE ("entries", entry_columns),
  [DL_TABLE_LEASES] = TABLE ("leases", lease_columns),
  [DL_TABLE_SETTINGS] = TABLE ("settings", setting_columns),
  [DL_TABLE_FAILURES] = TABLE ("failures", failure_columns),
  [DL_TABLE_COMMANDS] = TABLE ("commands", command_columns),
  [DL_TABLE_DRAINS] = TABLE ("drains", drain_columns),
  [DL_TABLE_IN_FORCE] = TABLE (NULL, in_force_columns),
};

int
dl_table_find (const char *name)
{
  for (int i = 0; i < DL_TABLES; i++)
    if (dl_tables[i].name != NULL && strcmp (dl_tables[i].name, name) == 0)
      return i;
  return -ENOENT;
}

int
dl_table_find_column (const DlTable *table, const char *name)
{
  for (size_t i = 0; i < table->column_count; i++)
    if (strcmp (table->columns[i].name, name) == 0)
      return (int)i;
  return -ENOENT;
}
