/*
 * Builds directives from the rollouts of a snapshot.
 */
#include "directive.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kernel/log.h"

/* Values of a rollout that are worked out once for all its directives. */
typedef struct
{
  uint64_t targets_hash;
  uint64_t manifest_bytes;
} RolloutDetails;

struct DirectiveTable
{
  uint64_t snapshot_revision;
  uint64_t hash; /* of the snapshot that the table was made from */
  DlRolloutSet set;
  RolloutDetails *details; /* parallel to SET */
};

/* Hash that changes when an object of KIND is created, written or deleted. */
static uint64_t
hash_kind (const EntrySnapshot *snapshot, const char *kind)
{
  size_t count;
  const DlObject *objects = entry_snapshot_kind (snapshot, kind, &count);
  uint64_t hash = count;

  for (size_t i = 0; i < count; i++)
    hash = hash * 1099511628211u + objects[i].revision;
  return hash;
}

static uint64_t
hash_snapshot (const EntrySnapshot *snapshot)
{
  return hash_kind (snapshot, ENTRY_KIND_ROLLOUT) * 31
         + hash_kind (snapshot, ENTRY_KIND_VERSION);
}

static uint64_t
manifest_bytes (const EntrySnapshot *snapshot, const char *version)
{
  const DlObject *o = entry_snapshot_find (snapshot, ENTRY_KIND_VERSION, version);
  json_object *bytes;

  if (o == NULL || !json_object_object_get_ex (o->value, "manifest_bytes", &bytes))
    return 0;
  return json_object_get_uint64 (bytes);
}

static uint64_t
hash_names (const DlNames *names)
{
  uint64_t hash = names->count;

  for (size_t i = 0; i < names->count; i++)
    hash = hash * 1099511628211u + g_str_hash (names->names[i]);
  return hash;
}

static void
parse_rollouts (DirectiveTable *table, const EntrySnapshot *snapshot)
{
  size_t count;
  const DlObject *objects = entry_snapshot_kind (snapshot, ENTRY_KIND_ROLLOUT, &count);

  table->set.rollouts = talloc_array (table, DlRollout *, MAX (count, 1));
  for (size_t i = 0; i < count; i++)
    {
      char *error = NULL;

      if (dl_rollout_from_json (table, objects[i].name, objects[i].revision,
                                objects[i].created, objects[i].value,
                                &table->set.rollouts[table->set.count], &error)
          == 0)
        table->set.count++;
      else
        dl_log (DL_EVENT_ROLLOUT_INVALID, DL_TEXT ("reason", error));
    }
  dl_rollout_set_sort (&table->set);
}

DirectiveTable *
directive_table_new (const void *context, const EntrySnapshot *snapshot)
{
  DirectiveTable *table = talloc_zero (context, DirectiveTable);

  g_assert (table != NULL);
  table->snapshot_revision = snapshot->revision;
  table->hash = hash_snapshot (snapshot);
  parse_rollouts (table, snapshot);
  table->details = talloc_zero_array (table, RolloutDetails, MAX (table->set.count, 1));
  for (size_t i = 0; i < table->set.count; i++)
    table->details[i] = (RolloutDetails){
      .targets_hash = hash_names (&table->set.rollouts[i]->targets),
      .manifest_bytes = manifest_bytes (snapshot, table->set.rollouts[i]->version),
    };
  return table;
}

bool
directive_table_is_current (const DirectiveTable *table, const EntrySnapshot *snapshot)
{
  return table->hash == hash_snapshot (snapshot);
}

const DlRolloutSet *
directive_table_rollouts (const DirectiveTable *table)
{
  return &table->set;
}

/* -------- directives -------- */

static const Daisyloft__Wire__RolloutState wire_states[] = {
  [DL_ROLLOUT_DISTRIBUTING] = DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_DISTRIBUTING,
  [DL_ROLLOUT_LOADING] = DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_LOADING,
  [DL_ROLLOUT_COMPLETE] = DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_COMPLETE,
  [DL_ROLLOUT_PAUSED] = DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_PAUSED,
  [DL_ROLLOUT_CALLED_OFF] = DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_CALLED_OFF,
  [DL_ROLLOUT_REPLACED] = DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_REPLACED,
  [DL_ROLLOUT_FAILED] = DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_FAILED,
};

static bool
weighs_origin_bytes (const DlRollout *r, const DlFleet *fleet)
{
  if (r->weigh[0] != '\0')
    return strcmp (r->weigh, "origin-bytes") == 0;
  return fleet != NULL && fleet->weigh == DL_WEIGH_ORIGIN_BYTES;
}

static void
fill_directive (const void *context,
                const DlRollout *r,
                const RolloutDetails *details,
                const DlFleet *fleet,
                const char *host,
                HostDirective *out)
{
  const DlRolloutRecord *record = dl_rollout_find_record (r, host);
  Daisyloft__Wire__Directive *d = &out->wire;

  d->rollout = r->name;
  d->sequence = r->created;
  d->revision = r->revision;
  d->fence = r->fence;
  d->state = wire_states[r->state];
  if (dl_digest_from_hex (dl_str (r->version), &out->version) == 0)
    d->version = DL_BYTES (dl_str_bytes (out->version.bytes, DL_DIGEST_BYTES));
  d->manifest_bytes = details->manifest_bytes;
  d->granted = dl_names_contains (&r->wave, host);
  d->may_load = d->granted && r->state == DL_ROLLOUT_LOADING;
  d->weigh_origin_bytes = weighs_origin_bytes (r, fleet);
  d->home_region = fleet != NULL ? (char *)fleet->home_region : "";
  d->n_targets = r->targets.count;
  d->targets = r->targets.names;
  d->targets_hash = r->targets.count > 0 ? details->targets_hash : 0;
  out->key = talloc_asprintf (context,
                              "%s %s %d %" PRIu64 " %d %d %d %s %" PRIu64 " %" PRIx64
                              " %" PRIu64,
                              r->name, r->version, (int)d->state, r->fence, d->may_load,
                              d->granted, d->weigh_origin_bytes, d->home_region,
                              record != NULL ? record->since : 0, details->targets_hash,
                              details->manifest_bytes);
}

static void
fill_empty (const void *context, const DirectiveTable *table, HostDirective *out)
{
  daisyloft__wire__directive__init (&out->wire);
  out->wire.revision = table->snapshot_revision;
  out->key = talloc_strdup (context, "none");
}

void
directive_for_host (const void *context,
                    const DirectiveTable *table,
                    const DlFleet *fleet,
                    const char *host,
                    HostDirective *out)
{
  const DlRollout *r = dl_rollout_for_host (&table->set, host);

  fill_empty (context, table, out);
  for (size_t i = 0; r != NULL && i < table->set.count; i++)
    if (table->set.rollouts[i] == r && table->details[i].manifest_bytes > 0)
      fill_directive (context, r, &table->details[i], fleet, host, out);
}

void
directive_for_rollout (const void *context,
                       const DirectiveTable *table,
                       const DlFleet *fleet,
                       const char *host,
                       const char *rollout,
                       HostDirective *out)
{
  fill_empty (context, table, out);
  for (size_t i = 0; i < table->set.count; i++)
    if (strcmp (table->set.rollouts[i]->name, rollout) == 0)
      {
        fill_directive (context, table->set.rollouts[i], &table->details[i], fleet, host,
                        out);
        return;
      }
  out->wire.rollout = (char *)rollout;
  out->wire.state = DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_CALLED_OFF;
}
