#include "steer_facts.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "query/json_get.h"

static void
add_rows (GHashTable *rows, json_object *status)
{
  json_object *hosts;

  if (!json_object_object_get_ex (status, "hosts", &hosts)
      || !json_object_is_type (hosts, json_type_array))
    return;
  for (size_t i = 0; i < json_object_array_length (hosts); i++)
    {
      json_object *row = json_object_array_get_idx (hosts, i);

      g_hash_table_insert (rows, (char *)dl_json_text (row, "host"), row);
    }
}

/* Returns a table from host name to the row of that host in the status objects. */
static GHashTable *
index_rows (const EntrySnapshot *snapshot)
{
  GHashTable *rows = g_hash_table_new (g_str_hash, g_str_equal);
  size_t count;
  const DlObject *objects = entry_snapshot_kind (snapshot, ENTRY_KIND_STATUS, &count);

  for (size_t i = 0; i < count; i++)
    add_rows (rows, objects[i].value);
  return rows;
}

static void
fill_from_row (DlRolloutHost *host, json_object *row)
{
  uint64_t total = dl_json_uint (row, "chunks_total");
  const char *state = dl_json_text (row, "state");

  host->reported = !dl_json_flag (row, "lost");
  host->leaving |= strcmp (state, "leaving") == 0;
  host->accepts = dl_json_flag (row, "accepts_requests");
  host->failed = strcmp (state, "failed") == 0;
  host->failure = dl_json_text (row, "failure");
  host->serving = dl_json_text (row, "serving_version");
  host->target_version = dl_json_text (row, "target_version");
  host->target_complete = total > 0 && dl_json_uint (row, "chunks_verified") == total;
  host->rollout = dl_json_text (row, "rollout");
  host->directive_revision = dl_json_uint (row, "directive_revision");
}

DlRolloutHost *
steer_hosts (const void *context,
             const EntrySnapshot *snapshot,
             const DlMembers *members,
             const char *service,
             size_t *count)
{
  GHashTable *rows = index_rows (snapshot);
  DlRolloutHost *hosts = talloc_array (context, DlRolloutHost, members->count + 1);

  *count = 0;
  for (size_t i = 0; i < members->count; i++)
    {
      const DlMember *m = &members->members[i];
      DlRolloutHost *h = &hosts[*count];
      json_object *row;

      if (m->role != DAISYLOFT__WIRE__ROLE__ROLE_SLOT
          || strcmp (m->service, service) != 0)
        continue;
      *h = (DlRolloutHost){
        .name = m->name,
        .region = m->region,
        .leaving = m->leaving,
        .drained = entry_host_is_drained (snapshot, m->name),
        .failure = "",
        .serving = "",
        .target_version = "",
        .rollout = "",
      };
      row = g_hash_table_lookup (rows, m->name);
      if (row != NULL)
        fill_from_row (h, row);
      (*count)++;
    }
  g_hash_table_destroy (rows);
  return hosts;
}
