/*
 * The transfer task: directives, members, progress reports and the state dump.
 */
#include "transfer.h"

#include <string.h>
#include <talloc.h>

#include "kernel/log.h"
#include "kernel/metrics.h"
#include "transfer_blobs.h"

#define REPORT_INTERVAL_MS 250
#define BURST_MS           20 /* a link budget's burst, as time at its rate */
#define MS_PER_S           1000
#define RETAINED_VERSIONS  2 /* the one served and the target */

DL_METRIC (metric_share,
           DL_METRIC_GAUGE,
           "daisy_transfer_share_permille",
           "Share of the link budgets that live requests leave to weights, in permille.")

/* -------- progress reports -------- */

static void
publish_report (Transfer *transfer)
{
  SlotMessage *message = dl_message_new (SLOT_MSG_TRANSFER, sizeof *message);
  DlSwarmCounts counts = { 0 };

  transfer->report_pending = false;
  transfer->reported_ms = dl_clock_ms ();
  if (transfer->swarm != NULL)
    {
      counts = dl_swarm_counts (transfer->swarm);
      message->transfer.version = transfer->directive->version;
      message->transfer.complete = dl_swarm_is_complete (transfer->swarm);
    }
  message->transfer.chunks_verified = counts.verified;
  message->transfer.chunks_total = counts.total;
  message->transfer.origin_bytes = transfer->counts.origin_bytes;
  message->transfer.region_bytes = transfer->counts.region_bytes;
  message->transfer.received_bytes = transfer->counts.received_bytes;
  message->transfer.duplicate_bytes = transfer->counts.duplicate_bytes;
  if (transfer->failure != NULL)
    message->transfer.failure = talloc_strdup (message, transfer->failure);
  dl_kernel_publish (dl_task_kernel (transfer->task), message);
}

static void
on_report_timer (DlTimer *timer, void *data)
{
  Transfer *transfer = data;

  if (transfer->report_pending)
    publish_report (transfer);
}

void
transfer_report (Transfer *transfer, bool at_once)
{
  uint64_t now = dl_clock_ms ();
  uint64_t due = transfer->reported_ms + REPORT_INTERVAL_MS;

  if (at_once || now >= due)
    {
      publish_report (transfer);
      return;
    }
  if (transfer->report_pending)
    return;
  transfer->report_pending = true;
  dl_timer_restart (transfer->report_timer, due - now);
}

/* -------- members -------- */

const DlMember *
transfer_member (const Transfer *transfer, const char *name)
{
  if (transfer->members_message == NULL)
    return NULL;
  return dl_members_find (transfer->members_message->members.members, name);
}

/* Passes the live target hosts to the swarm. */
static void
set_hosts (Transfer *transfer)
{
  const SlotDirective *directive = transfer->directive;
  DlSwarmHost *hosts;
  size_t count = 0;

  if (transfer->swarm == NULL || transfer->members_message == NULL)
    return;
  hosts = g_new (DlSwarmHost, directive->target_count + 1);
  for (size_t i = 0; i < directive->target_count; i++)
    {
      const DlMember *member = transfer_member (transfer, directive->targets[i]);

      if (member != NULL && !member->leaving)
        hosts[count++] = (DlSwarmHost){ .name = member->name, .region = member->region };
    }
  dl_swarm_set_hosts (transfer->swarm, hosts, count, dl_clock_us ());
  g_free (hosts);
  transfer_schedule_run (transfer);
}

static void
on_members (Transfer *transfer, const SlotMessage *message)
{
  if (transfer->members_message != NULL)
    dl_message_unref ((void *)transfer->members_message);
  transfer->members_message = dl_message_ref ((void *)message);
  set_hosts (transfer);
}

/* -------- versions -------- */

/* Drops all chunks and manifests except those of the version being served and of the
 * target version.  Until the target's manifest is known nothing is dropped, as its chunks
 * are not known either. */
static void
drop_unused (Transfer *transfer)
{
  DlDigest kept[RETAINED_VERSIONS] = { transfer->serving };

  if (transfer->manifest == NULL)
    return;
  kept[1] = transfer->manifest->version;
  transfer_store_retain (transfer->store, kept, RETAINED_VERSIONS);
}

void
transfer_use_manifest (Transfer *transfer, const DlManifest *manifest)
{
  uint32_t *lengths = g_new (uint32_t, manifest->chunk_count);
  DlStr data;

  transfer->manifest = manifest;
  for (uint32_t i = 0; i < manifest->chunk_count; i++)
    lengths[i] = dl_manifest_chunk_length (manifest, i);
  dl_swarm_set_manifest (transfer->swarm, manifest->chunks, lengths,
                         manifest->chunk_count, dl_clock_us ());
  g_free (lengths);
  for (uint32_t i = 0; i < manifest->chunk_count; i++)
    if (transfer_store_get (transfer->store, &manifest->chunks[i], &data))
      dl_swarm_mark_verified (transfer->swarm, i);
  drop_unused (transfer);
}

static void
stop_swarm (Transfer *transfer)
{
  TALLOC_FREE (transfer->fetches);
  TALLOC_FREE (transfer->swarm);
  TALLOC_FREE (transfer->failure);
  transfer->manifest = NULL;
}

static void
start_swarm (Transfer *transfer)
{
  const SlotSettings *settings = slot_settings (transfer->task);
  const SlotDirective *directive = transfer->directive;
  char hex[DL_DIGEST_HEX_BYTES];
  const DlManifest *known;

  dl_digest_to_hex (&directive->version, hex);
  dl_log (DL_EVENT_TRANSFER_STARTED, DL_TEXT ("version", hex));
  transfer->counts = (TransferCounts){ 0 };
  transfer->started_ms = dl_clock_ms ();
  transfer->fetches = talloc_named_const (transfer, 0, "draws");
  transfer->swarm
      = dl_swarm_new (transfer,
                      &(DlSwarmOptions){
                          .name = settings->name,
                          .region = settings->region,
                          .home_region = directive->home_region,
                          .version = directive->version,
                          .manifest_bytes = directive->manifest_bytes,
                          .weigh_origin_bytes = directive->weigh_origin_bytes,
                          .origin_only = !settings->exchange,
                          .seed = dl_random_uint64 (),
                          .budgets = { .up = settings->link_shared ? &transfer->down
                                                                   : &transfer->up,
                                       .down = &transfer->down,
                                       .region_up = &transfer->region_up,
                                       .region_down = &transfer->region_down },
                      },
                      dl_clock_us ());
  set_hosts (transfer);
  transfer_peers_replay (transfer);
  known = transfer_store_manifest (transfer->store, &directive->version);
  if (known != NULL)
    {
      dl_swarm_mark_verified (transfer->swarm, DL_SWARM_MANIFEST);
      transfer_use_manifest (transfer, known);
    }
}

/* Returns true if a host needs the weights in this state of the rollout. */
static bool
rollout_needs_weights (Daisyloft__Wire__RolloutState state)
{
  return state == DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_DISTRIBUTING
         || state == DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_LOADING
         || state == DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_COMPLETE;
}

static void
on_directive (Transfer *transfer, const SlotMessage *message)
{
  const SlotDirective *directive = message->directive.directive;
  const SlotMessage *old = transfer->directive_message;
  bool same_version
      = transfer->swarm != NULL && directive != NULL
        && dl_digest_equal (&directive->version, &transfer->directive->version)
        && strcmp (directive->home_region, transfer->directive->home_region) == 0
        && directive->weigh_origin_bytes == transfer->directive->weigh_origin_bytes;

  if (!same_version)
    stop_swarm (transfer);
  transfer->directive = directive;
  transfer->directive_message = dl_message_ref ((void *)message);
  if (old != NULL)
    dl_message_unref ((void *)old);
  if (directive != NULL && !same_version)
    start_swarm (transfer);
  else
    set_hosts (transfer);
  if (transfer->swarm != NULL && transfer->failure == NULL)
    dl_swarm_set_paused (transfer->swarm, !rollout_needs_weights (directive->state));
  transfer_report (transfer, true);
  transfer_schedule_run (transfer);
}

static void
on_engine (Transfer *transfer, const SlotMessage *message)
{
  if (dl_digest_equal (&transfer->serving, &message->engine.serving))
    return;
  transfer->serving = message->engine.serving;
  drop_unused (transfer);
}

/* -------- live requests -------- */

static void
on_load (Transfer *transfer, const SlotMessage *message)
{
  bool transferring = transfer->swarm != NULL && !dl_swarm_is_idle (transfer->swarm);

  dl_throttle_sample (&transfer->throttle,
                      message->load.running > 0 ? message->load.first_byte_us : 0,
                      transferring);
}

void
transfer_update_throttle (Transfer *transfer)
{
  uint64_t now = dl_clock_us ();
  uint32_t share = dl_throttle_share (&transfer->throttle, now);

  if (share == transfer->down.share_permille)
    return;
  dl_metric_set (&metric_share, share);
  dl_budget_set_share (&transfer->up, share, now);
  dl_budget_set_share (&transfer->down, share, now);
  dl_budget_set_share (&transfer->region_up, share, now);
  dl_budget_set_share (&transfer->region_down, share, now);
}

/* -------- the task -------- */

static void
init_budget (DlBudget *budget, uint64_t bytes_per_s)
{
  dl_budget_init (budget, bytes_per_s, bytes_per_s * BURST_MS / MS_PER_S, dl_clock_us ());
}

static int
transfer_destroy (Transfer *transfer)
{
  transfer_peers_free (transfer);
  if (transfer->members_message != NULL)
    dl_message_unref ((void *)transfer->members_message);
  if (transfer->directive_message != NULL)
    dl_message_unref ((void *)transfer->directive_message);
  return 0;
}

static int
transfer_start (DlTask *task)
{
  const SlotSettings *settings = slot_settings (task);
  Transfer *transfer = talloc_zero (NULL, Transfer);

  g_assert (transfer != NULL);
  dl_task_set_state (task, transfer);
  transfer->task = task;
  transfer->peers = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (transfer, transfer_destroy);
  transfer->store = transfer_store_new (transfer);
  transfer->sources
      = transfer_sources_new (task, transfer, settings->origin, settings->weight_store,
                              transfer_on_fetch, transfer);
  transfer->report_timer
      = dl_timer_subscribe (task, transfer, 0, 0, on_report_timer, transfer);
  dl_throttle_init (&transfer->throttle, dl_clock_us ());
  dl_metric_set (&metric_share, transfer->throttle.share_permille);
  init_budget (&transfer->up, settings->upload_bytes_per_s);
  init_budget (&transfer->down, settings->download_bytes_per_s);
  init_budget (&transfer->region_up, settings->region_bytes_per_s);
  init_budget (&transfer->region_down, settings->region_bytes_per_s);
  if (settings->weights_listen == NULL)
    return 0;
  return transfer_blobs_serve (task, transfer, dl_str (settings->weights_listen),
                               transfer->store);
}

static void
transfer_handle (DlTask *task, const DlMessage *base)
{
  Transfer *transfer = dl_task_state (task);
  const SlotMessage *message = (const SlotMessage *)base;

  switch ((SlotMessageType)base->type)
    {
    case SLOT_MSG_CONNECTION:
      transfer_peer_accept (transfer, message->connection.connection);
      break;
    case SLOT_MSG_MEMBERS:
      on_members (transfer, message);
      break;
    case SLOT_MSG_DIRECTIVE:
      on_directive (transfer, message);
      break;
    case SLOT_MSG_ENGINE:
      on_engine (transfer, message);
      break;
    case SLOT_MSG_LOAD:
      on_load (transfer, message);
      break;
    default:
      break;
    }
}

static json_object *
transfer_dump (DlTask *task)
{
  const Transfer *transfer = dl_task_state (task);
  json_object *dump = json_object_new_object ();
  DlSwarmCounts counts = { 0 };
  char hex[DL_DIGEST_HEX_BYTES] = "";

  if (transfer->swarm != NULL)
    {
      counts = dl_swarm_counts (transfer->swarm);
      dl_digest_to_hex (&transfer->directive->version, hex);
    }
  json_object_object_add (dump, "version", json_object_new_string (hex));
  json_object_object_add (dump, "whole",
                          json_object_new_boolean (
                              transfer->swarm != NULL
                              && dl_swarm_is_complete (transfer->swarm)));
  json_object_object_add (dump, "chunks_verified",
                          json_object_new_int64 (counts.verified));
  json_object_object_add (dump, "chunks_total", json_object_new_int64 (counts.total));
  json_object_object_add (dump, "uploads_queued",
                          json_object_new_int64 (counts.uploads_queued));
  json_object_object_add (dump, "wants_pending",
                          json_object_new_int64 (counts.wants_pending));
  json_object_object_add (dump, "draws_pending",
                          json_object_new_int64 (counts.fetches_pending));
  json_object_object_add (dump, "peers_up", json_object_new_int64 (counts.peers_up));
  json_object_object_add (dump, "peers_avoided",
                          json_object_new_int64 (counts.peers_avoided));
  json_object_object_add (dump, "origin_bytes",
                          json_object_new_uint64 (transfer->counts.origin_bytes));
  json_object_object_add (dump, "region_bytes",
                          json_object_new_uint64 (transfer->counts.region_bytes));
  json_object_object_add (dump, "received_bytes",
                          json_object_new_uint64 (transfer->counts.received_bytes));
  json_object_object_add (dump, "duplicate_bytes",
                          json_object_new_uint64 (transfer->counts.duplicate_bytes));
  json_object_object_add (dump, "corrupt_bytes",
                          json_object_new_uint64 (transfer->counts.corrupt_bytes));
  json_object_object_add (dump, "share_permille",
                          json_object_new_int64 (transfer->throttle.share_permille));
  json_object_object_add (dump, "sent_bytes",
                          json_object_new_uint64 (transfer->counts.sent_bytes));
  json_object_object_add (dump, "replica_bytes",
                          json_object_new_uint64 (
                              transfer_store_bytes (transfer->store)));
  return dump;
}

static DlPlugin transfer_plugin = {
  .name = "transfer",
  .order = 40,
  .subscriptions = SLOT_SUBSCRIBE (SLOT_MSG_MEMBERS) | SLOT_SUBSCRIBE (SLOT_MSG_DIRECTIVE)
                   | SLOT_SUBSCRIBE (SLOT_MSG_ENGINE) | SLOT_SUBSCRIBE (SLOT_MSG_LOAD),
  .start = transfer_start,
  .handle = transfer_handle,
  .dump = transfer_dump,
};
DL_PLUGIN_REGISTER (transfer_plugin)
