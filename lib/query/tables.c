/*
 * Builds the rows of each table from the platform's objects.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/fleet.h"
#include "query/flatten.h"
#include "query/json_get.h"
#include "query/query.h"
#include "query/tables_private.h"

#define PERCENT 100

/* -------- the objects of a revision -------- */

const DlObject *
dl_query_source_kind (const DlQuerySource *source, const char *kind, size_t *count)
{
  return dl_objects_of_kind (source->objects, source->count, kind, count);
}

const DlObject *
dl_query_source_find (const DlQuerySource *source, const char *kind, const char *name)
{
  return dl_objects_find (source->objects, source->count, kind, name);
}

/* -------- hosts, upstreams, entries -------- */

bool
dl_host_is_drained (const DlQuerySource *source, const char *host)
{
  const DlObject *object = dl_query_source_find (source, "drain", host);

  return object != NULL
         && strcmp (dl_json_text (object->value, "state"), DL_DRAIN_IN_SERVICE) != 0;
}

static DlCell
percent_cell (json_object *host)
{
  uint64_t total = dl_json_uint (host, "chunks_total");

  if (total == 0)
    return dl_cell_absent ();
  return dl_cell_number (dl_json_uint (host, "chunks_verified") * PERCENT / total);
}

static void
fill_host (DlCell *row,
           const DlRows *rows,
           const DlStatusRow *s,
           const DlQuerySource *source)
{
  json_object *v = s->value;

  row[DL_HOST_HOST] = dl_cell_text (rows, s->host);
  row[DL_HOST_REGION] = dl_cell_text (rows, dl_json_text (v, "region"));
  row[DL_HOST_DATA_CENTER] = dl_cell_text (rows, s->data_center);
  row[DL_HOST_SERVICE] = dl_cell_text (rows, dl_json_text (v, "service"));
  row[DL_HOST_STATE] = dl_cell_text (rows, dl_json_text (v, "state"));
  row[DL_HOST_VERSION]
      = dl_cell_version (rows, source, dl_json_text (v, "serving_version"));
  row[DL_HOST_DIGEST] = dl_cell_text (rows, dl_json_text (v, "serving_version"));
  row[DL_HOST_TARGET]
      = dl_cell_version (rows, source, dl_json_text (v, "target_version"));
  row[DL_HOST_ROLLOUT] = dl_cell_text (rows, dl_json_text (v, "rollout"));
  row[DL_HOST_PERCENT] = percent_cell (v);
  row[DL_HOST_CHUNKS] = dl_cell_number (dl_json_uint (v, "chunks_verified"));
  row[DL_HOST_CHUNKS_TOTAL] = dl_cell_number (dl_json_uint (v, "chunks_total"));
  row[DL_HOST_ORIGIN_BYTES] = dl_cell_number (dl_json_uint (v, "origin_bytes"));
  row[DL_HOST_REGION_BYTES] = dl_cell_number (dl_json_uint (v, "region_bytes"));
  row[DL_HOST_RECEIVED_BYTES] = dl_cell_number (dl_json_uint (v, "received_bytes"));
  row[DL_HOST_DUPLICATE_BYTES] = dl_cell_number (dl_json_uint (v, "duplicate_bytes"));
  row[DL_HOST_RUNNING] = dl_cell_number (dl_json_uint (v, "requests_running"));
  row[DL_HOST_QUEUED] = dl_cell_number (dl_json_uint (v, "requests_queued"));
  row[DL_HOST_CAPACITY] = dl_cell_number (dl_json_uint (v, "capacity"));
  row[DL_HOST_SETTINGS] = dl_cell_number (dl_json_uint (v, "settings_revision"));
  row[DL_HOST_ACCEPTS] = dl_cell_number (dl_json_flag (v, "accepts_requests"));
  row[DL_HOST_DRAINED] = dl_cell_number (dl_host_is_drained (source, s->host));
  row[DL_HOST_LOST] = dl_cell_number (dl_json_flag (v, "lost"));
  row[DL_HOST_FAILURE] = dl_cell_text (rows, dl_json_text (v, "failure"));
}

static DlRows *
build_hosts (const void *context, const DlQuerySource *source)
{
  DlStatusRows status = dl_tables_collect_status (context, source, "hosts");
  DlRows *rows = dl_rows_new (context, DL_TABLE_HOSTS, status.count);

  for (size_t i = 0; i < status.count; i++)
    fill_host (dl_rows_next (rows), rows, &status.rows[i], source);
  return rows;
}

static void
fill_upstream (DlCell *row,
               const DlRows *rows,
               const DlStatusRow *s,
               const DlQuerySource *source)
{
  json_object *v = s->value;
  const char *version = dl_json_text (v, "serving_version");

  row[DL_UPSTREAM_HOST] = dl_cell_text (rows, s->host);
  row[DL_UPSTREAM_SERVICE] = dl_cell_text (rows, dl_json_text (v, "service"));
  row[DL_UPSTREAM_REGION] = dl_cell_text (rows, dl_json_text (v, "region"));
  row[DL_UPSTREAM_DATA_CENTER] = dl_cell_text (rows, s->data_center);
  row[DL_UPSTREAM_VERSION] = dl_cell_version (rows, source, version);
  row[DL_UPSTREAM_ACCEPTS] = dl_cell_number (dl_json_flag (v, "accepts_requests"));
  row[DL_UPSTREAM_DRAINED] = dl_cell_number (dl_host_is_drained (source, s->host));
  row[DL_UPSTREAM_RUNNING] = dl_cell_number (dl_json_uint (v, "requests_running"));
  row[DL_UPSTREAM_QUEUED] = dl_cell_number (dl_json_uint (v, "requests_queued"));
  row[DL_UPSTREAM_CAPACITY] = dl_cell_number (dl_json_uint (v, "capacity"));
  row[DL_UPSTREAM_LOST] = dl_cell_number (dl_json_flag (v, "lost"));
}

static DlRows *
build_upstreams (const void *context, const DlQuerySource *source)
{
  DlStatusRows status = dl_tables_collect_status (context, source, "hosts");
  DlRows *rows = dl_rows_new (context, DL_TABLE_UPSTREAMS, status.count);

  for (size_t i = 0; i < status.count; i++)
    fill_upstream (dl_rows_next (rows), rows, &status.rows[i], source);
  return rows;
}

static DlRows *
build_entries (const void *context, const DlQuerySource *source)
{
  DlStatusRows status = dl_tables_collect_status (context, source, "entries");
  DlRows *rows = dl_rows_new (context, DL_TABLE_ENTRIES, status.count);

  for (size_t i = 0; i < status.count; i++)
    {
      json_object *v = status.rows[i].value;
      DlCell *row = dl_rows_next (rows);

      row[DL_ENTRY_HOST] = dl_cell_text (rows, status.rows[i].host);
      row[DL_ENTRY_REGION] = dl_cell_text (rows, dl_json_text (v, "region"));
      row[DL_ENTRY_DATA_CENTER] = dl_cell_text (rows, status.rows[i].data_center);
      row[DL_ENTRY_SETTINGS] = dl_cell_number (dl_json_uint (v, "settings_revision"));
      row[DL_ENTRY_RUNNING] = dl_cell_number (dl_json_uint (v, "requests_running"));
      row[DL_ENTRY_LEAVING] = dl_cell_number (dl_json_flag (v, "leaving"));
    }
  return rows;
}

/* -------- versions, leases, settings, commands, drains -------- */

static DlRows *
build_versions (const void *context, const DlQuerySource *source)
{
  DlStatusRows status = dl_tables_collect_status (context, source, "hosts");
  size_t count;
  const DlObject *objects = dl_query_source_kind (source, "version", &count);
  DlRows *rows = dl_rows_new (context, DL_TABLE_VERSIONS, count);

  for (size_t i = 0; i < count; i++)
    {
      json_object *v = objects[i].value;
      DlCell *row = dl_rows_next (rows);
      uint64_t serving = 0;

      for (size_t j = 0; j < status.count; j++)
        serving += strcmp (dl_json_text (status.rows[j].value, "serving_version"),
                           objects[i].name)
                   == 0;
      row[DL_VERSION_LABEL] = dl_cell_text (rows, dl_json_text (v, "label"));
      row[DL_VERSION_DIGEST] = dl_cell_text (rows, objects[i].name);
      row[DL_VERSION_MODEL] = dl_cell_text (rows, dl_json_text (v, "model"));
      row[DL_VERSION_TOTAL_BYTES] = dl_cell_number (dl_json_uint (v, "total_bytes"));
      row[DL_VERSION_CHUNKS] = dl_cell_number (dl_json_uint (v, "chunk_count"));
      row[DL_VERSION_MANIFEST_BYTES]
          = dl_cell_number (dl_json_uint (v, "manifest_bytes"));
      row[DL_VERSION_SERVING] = dl_cell_number (serving);
      row[DL_VERSION_BY] = dl_cell_text (rows, dl_json_text (v, "by"));
      row[DL_VERSION_AT] = dl_cell_time (dl_json_uint (v, "at_ms"));
    }
  return rows;
}

static DlRows *
build_leases (const void *context, const DlQuerySource *source)
{
  size_t count;
  const DlObject *objects = dl_query_source_kind (source, "lease", &count);
  DlRows *rows = dl_rows_new (context, DL_TABLE_LEASES, count);

  for (size_t i = 0; i < count; i++)
    {
      json_object *v = objects[i].value;
      DlCell *row = dl_rows_next (rows);

      row[DL_LEASE_NAME] = dl_cell_text (rows, objects[i].name);
      row[DL_LEASE_HOLDER] = dl_cell_text (rows, dl_json_text (v, "holder"));
      row[DL_LEASE_FENCE] = dl_cell_number (dl_json_uint (v, "fence"));
      row[DL_LEASE_TTL_MS] = dl_cell_number (dl_json_uint (v, "ttl_ms"));
      row[DL_LEASE_REVISION] = dl_cell_number (objects[i].revision);
    }
  return rows;
}

static DlRows *
build_settings (const void *context, const DlQuerySource *source)
{
  const DlObject *object = dl_query_source_find (source, DL_FLEET_KIND, DL_FLEET_NAME);
  DlFlatSetting *list = NULL;
  size_t count = 0;
  DlRows *rows;

  if (object != NULL)
    list = dl_settings_flatten (context, object->value, &count);
  rows = dl_rows_new (context, DL_TABLE_SETTINGS, count);
  for (size_t i = 0; i < count; i++)
    {
      DlCell *row = dl_rows_next (rows);

      row[DL_SETTING_KEY] = dl_cell_text (rows, list[i].key);
      row[DL_SETTING_VALUE] = dl_cell_text (rows, list[i].value);
      row[DL_SETTING_REVISION] = dl_cell_number (object->revision);
    }
  return rows;
}

static DlRows *
build_commands (const void *context, const DlQuerySource *source)
{
  size_t count;
  const DlObject *objects = dl_query_source_kind (source, "command", &count);
  DlRows *rows = dl_rows_new (context, DL_TABLE_COMMANDS, count);

  for (size_t i = 0; i < count; i++)
    {
      json_object *v = objects[i].value;
      DlCell *row = dl_rows_next (rows);

      row[DL_COMMAND_ID] = dl_cell_text (rows, objects[i].name);
      row[DL_COMMAND_BY] = dl_cell_text (rows, dl_json_text (v, "by"));
      row[DL_COMMAND_AT] = dl_cell_time (dl_json_uint (v, "at_ms"));
      row[DL_COMMAND_OUTCOME] = dl_cell_text (rows, dl_json_text (v, "outcome"));
      row[DL_COMMAND_TEXT] = dl_cell_text (rows, dl_json_text (v, "text"));
      row[DL_COMMAND_DETAIL] = dl_cell_text (rows, dl_json_text (v, "detail"));
      row[DL_COMMAND_REVISION] = dl_cell_number (dl_json_uint (v, "revision"));
    }
  return rows;
}

static DlRows *
build_drains (const void *context, const DlQuerySource *source)
{
  size_t count;
  const DlObject *objects = dl_query_source_kind (source, "drain", &count);
  DlRows *rows = dl_rows_new (context, DL_TABLE_DRAINS, count);

  for (size_t i = 0; i < count; i++)
    {
      DlCell *row;

      if (!dl_host_is_drained (source, objects[i].name))
        continue;
      row = dl_rows_next (rows);
      row[DL_DRAIN_HOST] = dl_cell_text (rows, objects[i].name);
      row[DL_DRAIN_BY] = dl_cell_text (rows, dl_json_text (objects[i].value, "by"));
      row[DL_DRAIN_AT] = dl_cell_time (dl_json_uint (objects[i].value, "at_ms"));
    }
  return rows;
}

/* -------- settings in effect -------- */

/* The settings revisions of a group of nodes. */
typedef struct
{
  const char *data_center;
  const char *role;
  uint64_t nodes;
  uint64_t reporting; /* nodes that are not lost */
  uint64_t minimum;   /* revision among those reporting */
  uint64_t maximum;
  uint64_t behind; /* of those reporting, nodes that have an older revision */
} NodeGroup;

static void
count_node (NodeGroup *g, json_object *node, uint64_t revision)
{
  uint64_t at = dl_json_uint (node, "settings_revision");

  g->nodes++;
  if (dl_json_flag (node, "lost"))
    return;
  g->minimum = g->reporting == 0 ? at : MIN (g->minimum, at);
  g->maximum = MAX (g->maximum, at);
  g->behind += at < revision;
  g->reporting++;
}

static void
add_group (DlRows *rows, const NodeGroup *g, uint64_t revision)
{
  DlCell *row = dl_rows_next (rows);

  row[DL_IN_FORCE_DATA_CENTER] = dl_cell_text (rows, g->data_center);
  row[DL_IN_FORCE_ROLE] = dl_cell_text (rows, g->role);
  row[DL_IN_FORCE_NODES] = dl_cell_number (g->nodes);
  row[DL_IN_FORCE_MINIMUM]
      = g->reporting > 0 ? dl_cell_number (g->minimum) : dl_cell_absent ();
  row[DL_IN_FORCE_MAXIMUM]
      = g->reporting > 0 ? dl_cell_number (g->maximum) : dl_cell_absent ();
  row[DL_IN_FORCE_BEHIND] = dl_cell_number (g->behind);
  row[DL_IN_FORCE_UNHEARD] = dl_cell_number (g->nodes - g->reporting);
  row[DL_IN_FORCE_REVISION] = dl_cell_number (revision);
  row[DL_IN_FORCE_IN_FORCE] = dl_cell_number (
      revision > 0 && g->nodes > 0 && g->behind == 0 && g->reporting == g->nodes);
}

static void
add_groups (DlRows *rows,
            const DlObject *status,
            const char *list,
            uint64_t revision,
            NodeGroup *total)
{
  json_object *nodes = dl_json_array (status->value, list);
  NodeGroup g = {
    .data_center = status->name,
    .role = strcmp (list, "hosts") == 0 ? "slot" : "entry",
  };

  for (size_t i = 0; i < dl_json_array_length (nodes); i++)
    {
      count_node (&g, json_object_array_get_idx (nodes, i), revision);
      count_node (total, json_object_array_get_idx (nodes, i), revision);
    }
  if (g.nodes > 0)
    add_group (rows, &g, revision);
}

DlRows *
dl_in_force_rows (const void *context, uint64_t revision, const DlQuerySource *source)
{
  const DlObject *accepted = dl_query_source_find (source, DL_FLEET_KIND, DL_FLEET_NAME);
  size_t count;
  const DlObject *status = dl_query_source_kind (source, "status", &count);
  DlRows *rows = dl_rows_new (context, DL_TABLE_IN_FORCE, 2 * count + 1);
  NodeGroup total = { .data_center = "all", .role = "all" };

  if (revision == 0 && accepted != NULL)
    revision = accepted->revision;
  for (size_t i = 0; i < count; i++)
    {
      add_groups (rows, &status[i], "entries", revision, &total);
      add_groups (rows, &status[i], "hosts", revision, &total);
    }
  add_group (rows, &total, revision);
  return rows;
}

DlRows *
dl_table_rows (const void *context, DlTableId table, const DlQuerySource *source)
{
  switch (table)
    {
    case DL_TABLE_HOSTS:
      return build_hosts (context, source);
    case DL_TABLE_ROLLOUTS:
      return dl_tables_rollouts (context, source);
    case DL_TABLE_VERSIONS:
      return build_versions (context, source);
    case DL_TABLE_UPSTREAMS:
      return build_upstreams (context, source);
    case DL_TABLE_ENTRIES:
      return build_entries (context, source);
    case DL_TABLE_LEASES:
      return build_leases (context, source);
    case DL_TABLE_SETTINGS:
      return build_settings (context, source);
    case DL_TABLE_FAILURES:
      return dl_tables_failures (context, source);
    case DL_TABLE_COMMANDS:
      return build_commands (context, source);
    case DL_TABLE_DRAINS:
      return build_drains (context, source);
    case DL_TABLE_IN_FORCE:
      return dl_in_force_rows (context, 0, source);
    case DL_TABLES:
      break;
    }
  g_assert_not_reached ();
}
