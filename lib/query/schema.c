#include "query/schema.h"

#include <errno.h>
#include <string.h>

#define SHOWN(column_name, column_type)                                        \
  {                                                                            \
    .name = (column_name), .type = DL_COLUMN_##column_type, .is_default = true \
  }
#define MORE(column_name, column_type)                     \
  {                                                        \
    .name = (column_name), .type = DL_COLUMN_##column_type \
  }

static const DlColumn host_columns[DL_HOST_COLUMNS] = {
  [DL_HOST_HOST] = SHOWN ("host", TEXT),
  [DL_HOST_REGION] = SHOWN ("region", TEXT),
  [DL_HOST_DATA_CENTER] = SHOWN ("data_center", TEXT),
  [DL_HOST_SERVICE] = SHOWN ("service", TEXT),
  [DL_HOST_STATE] = SHOWN ("state", TEXT),
  [DL_HOST_VERSION] = SHOWN ("version", VERSION),
  [DL_HOST_DIGEST] = MORE ("digest", TEXT),
  [DL_HOST_TARGET] = SHOWN ("target", VERSION),
  [DL_HOST_ROLLOUT] = SHOWN ("rollout", TEXT),
  [DL_HOST_PERCENT] = SHOWN ("percent", NUMBER),
  [DL_HOST_CHUNKS] = MORE ("chunks", NUMBER),
  [DL_HOST_CHUNKS_TOTAL] = MORE ("chunks_total", NUMBER),
  [DL_HOST_ORIGIN_BYTES] = MORE ("origin_bytes", NUMBER),
  [DL_HOST_REGION_BYTES] = MORE ("region_bytes", NUMBER),
  [DL_HOST_RECEIVED_BYTES] = MORE ("received_bytes", NUMBER),
  [DL_HOST_DUPLICATE_BYTES] = MORE ("duplicate_bytes", NUMBER),
  [DL_HOST_RUNNING] = MORE ("running", NUMBER),
  [DL_HOST_QUEUED] = MORE ("queued", NUMBER),
  [DL_HOST_CAPACITY] = MORE ("capacity", NUMBER),
  [DL_HOST_SETTINGS] = MORE ("settings", NUMBER),
  [DL_HOST_ACCEPTS] = MORE ("accepts", FLAG),
  [DL_HOST_DRAINED] = MORE ("drained", FLAG),
  [DL_HOST_LOST] = SHOWN ("lost", FLAG),
  [DL_HOST_FAILURE] = MORE ("failure", TEXT),
};

static const DlColumn rollout_columns[DL_ROLLOUT_COLUMNS] = {
  [DL_ROLLOUT_NAME] = SHOWN ("name", TEXT),
  [DL_ROLLOUT_VERSION] = SHOWN ("version", VERSION),
  [DL_ROLLOUT_DIGEST] = MORE ("digest", TEXT),
  [DL_ROLLOUT_SERVICE] = SHOWN ("service", TEXT),
  [DL_ROLLOUT_REGIONS] = MORE ("regions", TEXT),
  [DL_ROLLOUT_STATE] = SHOWN ("state", TEXT),
  [DL_ROLLOUT_TARGETS] = SHOWN ("targets", NUMBER),
  [DL_ROLLOUT_FETCHING] = MORE ("fetching", NUMBER),
  [DL_ROLLOUT_WHOLE] = SHOWN ("whole", NUMBER),
  [DL_ROLLOUT_LOADING] = SHOWN ("loading", NUMBER),
  [DL_ROLLOUT_SERVING] = SHOWN ("serving", NUMBER),
  [DL_ROLLOUT_FAILED] = SHOWN ("failed", NUMBER),
  [DL_ROLLOUT_LOST] = SHOWN ("lost", NUMBER),
  [DL_ROLLOUT_PERCENT] = SHOWN ("percent", NUMBER),
  [DL_ROLLOUT_ORIGIN_COPIES] = SHOWN ("origin_copies", RATIO),
  [DL_ROLLOUT_SECONDS_LEFT] = SHOWN ("seconds_left", NUMBER),
  [DL_ROLLOUT_WEIGH] = MORE ("weigh", TEXT),
  [DL_ROLLOUT_WAVE] = MORE ("wave", NUMBER),
  [DL_ROLLOUT_FENCE] = MORE ("fence", NUMBER),
  [DL_ROLLOUT_BY] = MORE ("by", TEXT),
  [DL_ROLLOUT_STARTED] = MORE ("started", TIME),
  [DL_ROLLOUT_LAST] = MORE ("last", TEXT),
  [DL_ROLLOUT_LAST_BY] = MORE ("last_by", TEXT),
  [DL_ROLLOUT_LAST_AT] = MORE ("last_at", TIME),
  [DL_ROLLOUT_REASON] = MORE ("reason", TEXT),
  [DL_ROLLOUT_REVISION] = MORE ("revision", NUMBER),
};

static const DlColumn version_columns[DL_VERSION_COLUMNS] = {
  [DL_VERSION_LABEL] = SHOWN ("label", TEXT),
  [DL_VERSION_DIGEST] = SHOWN ("digest", TEXT),
  [DL_VERSION_MODEL] = SHOWN ("model", TEXT),
  [DL_VERSION_TOTAL_BYTES] = SHOWN ("total_bytes", NUMBER),
  [DL_VERSION_CHUNKS] = SHOWN ("chunks", NUMBER),
  [DL_VERSION_MANIFEST_BYTES] = MORE ("manifest_bytes", NUMBER),
  [DL_VERSION_SERVING] = SHOWN ("serving", NUMBER),
  [DL_VERSION_BY] = MORE ("by", TEXT),
  [DL_VERSION_AT] = MORE ("at", TIME),
};

static const DlColumn upstream_columns[DL_UPSTREAM_COLUMNS] = {
  [DL_UPSTREAM_HOST] = SHOWN ("host", TEXT),
  [DL_UPSTREAM_SERVICE] = SHOWN ("service", TEXT),
  [DL_UPSTREAM_REGION] = SHOWN ("region", TEXT),
  [DL_UPSTREAM_DATA_CENTER] = MORE ("data_center", TEXT),
  [DL_UPSTREAM_VERSION] = SHOWN ("version", VERSION),
  [DL_UPSTREAM_ACCEPTS] = SHOWN ("accepts", FLAG),
  [DL_UPSTREAM_DRAINED] = SHOWN ("drained", FLAG),
  [DL_UPSTREAM_RUNNING] = SHOWN ("running", NUMBER),
  [DL_UPSTREAM_QUEUED] = SHOWN ("queued", NUMBER),
  [DL_UPSTREAM_CAPACITY] = SHOWN ("capacity", NUMBER),
  [DL_UPSTREAM_LOST] = SHOWN ("lost", FLAG),
};

static const DlColumn entry_columns[DL_ENTRY_COLUMNS] = {
  [DL_ENTRY_HOST] = SHOWN ("host", TEXT),
  [DL_ENTRY_REGION] = SHOWN ("region", TEXT),
  [DL_ENTRY_DATA_CENTER] = SHOWN ("data_center", TEXT),
  [DL_ENTRY_SETTINGS] = SHOWN ("settings", NUMBER),
  [DL_ENTRY_RUNNING] = SHOWN ("running", NUMBER),
  [DL_ENTRY_LEAVING] = SHOWN ("leaving", FLAG),
};

static const DlColumn lease_columns[DL_LEASE_COLUMNS] = {
  [DL_LEASE_NAME] = SHOWN ("name", TEXT),
  [DL_LEASE_HOLDER] = SHOWN ("holder", TEXT),
  [DL_LEASE_FENCE] = SHOWN ("fence", NUMBER),
  [DL_LEASE_TTL_MS] = SHOWN ("ttl_ms", NUMBER),
  [DL_LEASE_REVISION] = MORE ("revision", NUMBER),
};

static const DlColumn setting_columns[DL_SETTING_COLUMNS] = {
  [DL_SETTING_KEY] = SHOWN ("key", TEXT),
  [DL_SETTING_VALUE] = SHOWN ("value", TEXT),
  [DL_SETTING_REVISION] = MORE ("revision", NUMBER),
};

static const DlColumn failure_columns[DL_FAILURE_COLUMNS] = {
  [DL_FAILURE_HOST] = SHOWN ("host", TEXT),
  [DL_FAILURE_ROLLOUT] = SHOWN ("rollout", TEXT),
  [DL_FAILURE_SOURCE] = SHOWN ("source", TEXT),
  [DL_FAILURE_REASON] = SHOWN ("reason", TEXT),
};

static const DlColumn command_columns[DL_COMMAND_COLUMNS] = {
  [DL_COMMAND_ID] = SHOWN ("id", TEXT),
  [DL_COMMAND_BY] = SHOWN ("by", TEXT),
  [DL_COMMAND_AT] = SHOWN ("at", TIME),
  [DL_COMMAND_OUTCOME] = SHOWN ("outcome", TEXT),
  [DL_COMMAND_TEXT] = SHOWN ("text", TEXT),
  [DL_COMMAND_DETAIL] = SHOWN ("detail", TEXT),
  [DL_COMMAND_REVISION] = MORE ("revision", NUMBER),
};

static const DlColumn drain_columns[DL_DRAIN_COLUMNS] = {
  [DL_DRAIN_HOST] = SHOWN ("host", TEXT),
  [DL_DRAIN_BY] = SHOWN ("by", TEXT),
  [DL_DRAIN_AT] = SHOWN ("at", TIME),
};

static const DlColumn in_force_columns[DL_IN_FORCE_COLUMNS] = {
  [DL_IN_FORCE_DATA_CENTER] = SHOWN ("data_center", TEXT),
  [DL_IN_FORCE_ROLE] = SHOWN ("role", TEXT),
  [DL_IN_FORCE_NODES] = SHOWN ("nodes", NUMBER),
  [DL_IN_FORCE_MINIMUM] = SHOWN ("minimum", NUMBER),
  [DL_IN_FORCE_MAXIMUM] = SHOWN ("maximum", NUMBER),
  [DL_IN_FORCE_BEHIND] = SHOWN ("behind", NUMBER),
  [DL_IN_FORCE_UNHEARD] = SHOWN ("unheard", NUMBER),
  [DL_IN_FORCE_REVISION] = SHOWN ("revision", NUMBER),
  [DL_IN_FORCE_IN_FORCE] = SHOWN ("in_force", FLAG),
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
