#include "routing_table.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "platform.h"
#include "policy/routing_proof.h"

DL_METRIC (metric_age,
           DL_METRIC_HISTOGRAM,
           "daisy_direct_routing_age_ms",
           "Age of the routing table when it was found current.")

struct DirectRoutingTable
{
  DlKernel *kernel;
  uint64_t started_ms;
  uint64_t version;   /* in effect; 0 before the first table */
  uint64_t synced_ms; /* time of the store's state that was last shown; 0 for never */
  DlRoutingProof proof;
  DirectRoutingProof proven; /* the last proof that counts */
};

static void
publish_table (DirectRoutingTable *table,
               DirectMessage *message,
               uint64_t revision,
               const DlObjectOrigin *origin)
{
  const DlRouting *routing = message->routing;

  table->version = routing->version;
  dl_log (DL_EVENT_ROUTING_APPLIED, DL_UINT ("version", routing->version),
          DL_UINT ("revision", revision), DL_UINT ("routes", routing->route_count),
          DL_UINT ("organisations", routing->organisation_count),
          DL_TEXT ("reader", direct_origin_text (origin)),
          DL_UINT ("reader_age_ms", origin->reader_age_ms));
  dl_kernel_publish (table->kernel, message);
}

void
direct_routing_table_update (DirectRoutingTable *table,
                             const DlObject *object,
                             const DlObjectOrigin *origin)
{
  DirectMessage *message;
  DlRouting *routing;
  const char *error = "the object was deleted";

  if (strcmp (object->name, platform_routing_name) != 0)
    return;
  message = direct_message_new (DIRECT_ROUTING);
  if (object->deleted
      || platform_read_routing (message, object->value, &routing, &error) < 0)
    {
      dl_log (DL_EVENT_ROUTING_INVALID, DL_UINT ("revision", object->revision),
              DL_TEXT ("reason", error));
      dl_routing_proof_shown (&table->proof, 0);
      dl_message_unref (message);
      return;
    }
  dl_routing_proof_shown (&table->proof, routing->version);
  if (routing->version < table->version)
    {
      dl_log (DL_EVENT_ROUTING_INVALID, DL_UINT ("version", routing->version),
              DL_TEXT ("reason", "older than the version in effect"));
      dl_message_unref (message);
      return;
    }
  message->routing = routing;
  publish_table (table, message, object->revision, origin);
}

void
direct_routing_table_store_returned (DirectRoutingTable *table)
{
  dl_routing_proof_store_returned (&table->proof, dl_clock_ms ());
}

static void
publish_proof (const DirectRoutingTable *table)
{
  DirectMessage *message = direct_message_new (DIRECT_ROUTING_PROOF);

  message->routing_proof = table->proven;
  dl_kernel_publish (table->kernel, message);
}

/* Logs that the list in a new era shows an older table. */
static void
log_behind (const DlRoutingProof *proof)
{
  if (proof->is_relisting && proof->store_version < proof->highest_version)
    dl_log (DL_EVENT_ROUTING_BEHIND, DL_UINT ("version", proof->store_version),
            DL_UINT ("highest", proof->highest_version),
            DL_UINT ("proven_ms_ago", dl_clock_ms () - proof->proven_ms));
}

void
direct_routing_table_synced (DirectRoutingTable *table,
                             uint64_t synced_ms,
                             const DlObjectOrigin *origin,
                             uint64_t era)
{
  if (table->synced_ms == 0 && era != 0)
    dl_routing_proof_started (&table->proof, table->started_ms);
  table->synced_ms = synced_ms;
  log_behind (&table->proof);
  dl_routing_proof_synced (&table->proof, synced_ms, dl_clock_ms ());
  if (table->proof.proven_ms == table->proven.proven_ms)
    return;
  table->proven = (DirectRoutingProof){
    .proven_ms = table->proof.proven_ms,
    .origin = *origin,
    .newest_version = table->proof.highest_version,
  };
  dl_metric_observe_us (&metric_age, (dl_clock_ms () - table->proof.proven_ms) * 1000);
  publish_proof (table);
}

bool
direct_routing_table_needs_proof (const DirectRoutingTable *table)
{
  return dl_routing_proof_is_due (&table->proof, table->synced_ms, dl_clock_ms ());
}

void
direct_routing_table_told (DirectRoutingTable *table, uint64_t version)
{
  dl_routing_proof_told (&table->proof, version);
  if (table->proof.highest_version == table->proven.newest_version)
    return;
  table->proven.newest_version = table->proof.highest_version;
  publish_proof (table);
}

uint64_t
direct_routing_table_version (const DirectRoutingTable *table)
{
  return table->version;
}

uint64_t
direct_routing_table_highest (const DirectRoutingTable *table)
{
  return table->proof.highest_version;
}

const DirectRoutingProof *
direct_routing_table_proof (const DirectRoutingTable *table)
{
  return &table->proven;
}

uint64_t
direct_routing_table_proven_ms (const DirectRoutingTable *table)
{
  return table->proof.proven_ms;
}

DirectRoutingTable *
direct_routing_table_new (DlKernel *kernel, const void *owner)
{
  DirectRoutingTable *table = talloc_zero (owner, DirectRoutingTable);

  g_assert (table != NULL);
  table->kernel = kernel;
  table->started_ms = dl_clock_ms ();
  return table;
}
