/*
 * Performs the swarm's actions and processes received chunks.
 */
#include <string.h>
#include <talloc.h>

#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "transfer.h"

#define INDEXES_AS_BITMAP   64   /* shortest first HAVE that is sent as a bitmap */
#define RUN_INTERVAL_MAX_MS 1000 /* longest time between two runs of the swarm */

DL_METRIC (metric_origin,
           DL_METRIC_COUNTER,
           "daisy_transfer_origin_bytes",
           "Bytes of weights fetched from the origin and the weight store.")
DL_METRIC (metric_region,
           DL_METRIC_COUNTER,
           "daisy_transfer_region_bytes",
           "Bytes of weights received from other regions.")
DL_METRIC (metric_received,
           DL_METRIC_COUNTER,
           "daisy_transfer_received_bytes",
           "Bytes of weights received from all sources.")
DL_METRIC (metric_duplicate,
           DL_METRIC_COUNTER,
           "daisy_transfer_duplicate_bytes",
           "Bytes of weights received that were not needed.")
DL_METRIC (metric_corrupt,
           DL_METRIC_COUNTER,
           "daisy_transfer_corrupt_bytes",
           "Bytes of weights received that did not match their digest.")
DL_METRIC (metric_sent,
           DL_METRIC_COUNTER,
           "daisy_transfer_sent_bytes",
           "Bytes of weights sent to other slots.")

/* Returns the digest that the chunk, or the manifest, must have. */
static DlDigest
digest_of (const Transfer *transfer, uint32_t index)
{
  return index == DL_SWARM_MANIFEST ? transfer->directive->version
                                    : transfer->manifest->chunks[index];
}

static ProtobufCBinaryData
version_bytes (const Transfer *transfer)
{
  return DL_BYTES (dl_str_bytes (transfer->directive->version.bytes, DL_DIGEST_BYTES));
}

/* -------- actions -------- */

static void
fill_bitmap (uint8_t *bitmap, const uint32_t *indexes, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (indexes[i] != DL_SWARM_MANIFEST)
      bitmap[indexes[i] / 8] |= (uint8_t)(1u << (indexes[i] % 8));
}

static void
send_have (Transfer *transfer, TransferPeer *peer, const DlSwarmAction *action)
{
  Daisyloft__Wire__ChunkHave have = DAISYLOFT__WIRE__CHUNK_HAVE__INIT;
  DlEnvelope envelope = DL_ENVELOPE (CHUNK_HAVE, chunk_have, &have);
  const uint32_t *indexes = action->have.indexes;
  size_t count = action->have.count;
  uint32_t manifest = DL_SWARM_MANIFEST;
  uint8_t *bitmap = NULL;

  have.version = version_bytes (transfer);
  have.queue = action->have.queue;
  have.n_indexes = count;
  have.indexes = (uint32_t *)indexes;
  if (count >= INDEXES_AS_BITMAP && indexes[0] == DL_SWARM_MANIFEST)
    {
      size_t bytes = (transfer->manifest->chunk_count + 7) / 8;

      bitmap = g_malloc0 (bytes);
      fill_bitmap (bitmap, indexes, count);
      have.bitmap = DL_BYTES (dl_str_bytes (bitmap, bytes));
      have.n_indexes = 1;
      have.indexes = &manifest;
    }
  transfer_peer_send (peer, &envelope, dl_str_bytes (NULL, 0));
  g_free (bitmap);
}

static void
send_want (Transfer *transfer, TransferPeer *peer, const DlSwarmAction *action)
{
  Daisyloft__Wire__ChunkWant want = DAISYLOFT__WIRE__CHUNK_WANT__INIT;
  DlEnvelope envelope = DL_ENVELOPE (CHUNK_WANT, chunk_want, &want);

  want.version = version_bytes (transfer);
  want.index = action->want.index;
  want.wait = action->want.wait;
  transfer_peer_send (peer, &envelope, dl_str_bytes (NULL, 0));
}

static void
send_cancel (Transfer *transfer, TransferPeer *peer, const DlSwarmAction *action)
{
  Daisyloft__Wire__ChunkCancel cancel = DAISYLOFT__WIRE__CHUNK_CANCEL__INIT;
  DlEnvelope envelope = DL_ENVELOPE (CHUNK_CANCEL, chunk_cancel, &cancel);

  cancel.version = version_bytes (transfer);
  cancel.index = action->cancel.index;
  transfer_peer_send (peer, &envelope, dl_str_bytes (NULL, 0));
}

static void
send_refuse (Transfer *transfer, TransferPeer *peer, const DlSwarmAction *action)
{
  Daisyloft__Wire__ChunkRefuse refuse = DAISYLOFT__WIRE__CHUNK_REFUSE__INIT;
  DlEnvelope envelope = DL_ENVELOPE (CHUNK_REFUSE, chunk_refuse, &refuse);

  refuse.version = version_bytes (transfer);
  refuse.index = action->refuse.index;
  refuse.retry_ms = action->refuse.retry_ms;
  transfer_peer_send (peer, &envelope, dl_str_bytes (NULL, 0));
}

static void
send_data (Transfer *transfer, TransferPeer *peer, const DlSwarmAction *action)
{
  Daisyloft__Wire__ChunkData data = DAISYLOFT__WIRE__CHUNK_DATA__INIT;
  DlEnvelope envelope = DL_ENVELOPE (CHUNK_DATA, chunk_data, &data);
  uint32_t index = action->send.index;
  DlDigest digest = digest_of (transfer, index);
  DlStr chunk;

  if (index == DL_SWARM_MANIFEST)
    chunk = transfer->manifest->text;
  else if (!transfer_store_get (transfer->store, &digest, &chunk))
    g_assert_not_reached ();
  data.version = version_bytes (transfer);
  data.index = index;
  data.queue = action->send.queue;
  transfer->counts.sent_bytes += chunk.length;
  dl_metric_add (&metric_sent, (int64_t)chunk.length);
  transfer_peer_send (peer, &envelope, chunk);
}

static void
fetch (Transfer *transfer, uint32_t index)
{
  DlDigest digest = digest_of (transfer, index);
  size_t bytes = index == DL_SWARM_MANIFEST
                     ? transfer->directive->manifest_bytes
                     : dl_manifest_chunk_length (transfer->manifest, index);

  transfer_sources_fetch (transfer->sources, transfer->fetches, index, &digest, bytes);
}

static void
perform_action (Transfer *transfer, const DlSwarmAction *action)
{
  TransferPeer *peer
      = action->host != NULL ? transfer_peer (transfer, action->host) : NULL;

  switch (action->type)
    {
    case DL_SWARM_CONNECT:
      transfer_peer_connect (transfer, peer);
      break;
    case DL_SWARM_DISCONNECT:
      transfer_peer_disconnect (peer);
      break;
    case DL_SWARM_HAVE:
      send_have (transfer, peer, action);
      break;
    case DL_SWARM_WANT:
      send_want (transfer, peer, action);
      break;
    case DL_SWARM_CANCEL:
      send_cancel (transfer, peer, action);
      break;
    case DL_SWARM_SEND:
      send_data (transfer, peer, action);
      break;
    case DL_SWARM_REFUSE:
      send_refuse (transfer, peer, action);
      break;
    case DL_SWARM_FETCH:
      fetch (transfer, action->fetch.index);
      break;
    }
}

static void run_at (Transfer *transfer, uint64_t at_ms);

static void
on_run (DlTimer *timer, void *data)
{
  Transfer *transfer = data;
  uint64_t now_us = dl_clock_us ();
  uint64_t next_us;
  DlSwarmAction action;

  transfer->run_at_ms = UINT64_MAX;
  if (transfer->swarm == NULL)
    return;
  transfer_update_throttle (transfer);
  next_us = dl_swarm_run (transfer->swarm, now_us);
  while (dl_swarm_take (transfer->swarm, &action))
    perform_action (transfer, &action);
  next_us = MIN (next_us, now_us + RUN_INTERVAL_MAX_MS * 1000);
  run_at (transfer, next_us / 1000 + 1);
}

static void
run_at (Transfer *transfer, uint64_t at_ms)
{
  uint64_t now = dl_clock_ms ();

  if (transfer->run_at_ms <= at_ms)
    return;
  transfer->run_at_ms = at_ms;
  dl_timer_restart (transfer->run_timer, at_ms > now ? at_ms - now : 0);
}

void
transfer_schedule_run (Transfer *transfer)
{
  if (transfer->run_timer == NULL)
    {
      transfer->run_timer
          = dl_timer_subscribe (transfer->task, transfer, 0, 0, on_run, transfer);
      transfer->run_at_ms = 0;
    }
  run_at (transfer, 0);
}

/* -------- received chunks -------- */

static void
count_received (Transfer *transfer, uint64_t bytes, bool origin, bool other_region)
{
  transfer->counts.received_bytes += bytes;
  dl_metric_add (&metric_received, (int64_t)bytes);
  if (origin)
    {
      transfer->counts.origin_bytes += bytes;
      dl_metric_add (&metric_origin, (int64_t)bytes);
    }
  if (other_region)
    {
      transfer->counts.region_bytes += bytes;
      dl_metric_add (&metric_region, (int64_t)bytes);
    }
}

static void
count_duplicate (Transfer *transfer, uint64_t bytes)
{
  transfer->counts.duplicate_bytes += bytes;
  dl_metric_add (&metric_duplicate, (int64_t)bytes);
}

/* Parses and uses a manifest, whose digest has been verified. */
static void
accept_manifest (Transfer *transfer, DlStr text)
{
  DlManifest *manifest = NULL;
  char *error = NULL;

  if (dl_manifest_parse (transfer, text, &manifest, &error) < 0)
    {
      /* Every copy with the right digest is the same, so the version cannot be used. */
      dl_log (DL_EVENT_MANIFEST_MALFORMED, DL_TEXT ("reason", error));
      talloc_free (transfer->failure);
      transfer->failure = talloc_steal (transfer, error);
      dl_swarm_set_paused (transfer->swarm, true);
      transfer_report (transfer, true);
      return;
    }
  transfer_use_manifest (transfer,
                         transfer_store_put_manifest (transfer->store, manifest));
}

/* Stores a verified chunk, or the manifest, from HOST, or from a source if NULL. */
static void
accept_verified (Transfer *transfer, const char *host, uint32_t index, DlStr data)
{
  DlDigest digest = digest_of (transfer, index);
  DlSwarmArrival arrival;

  if (index != DL_SWARM_MANIFEST)
    transfer_store_put (transfer->store, &digest, data);
  arrival = dl_swarm_arrived (transfer->swarm, host, index, (uint32_t)data.length,
                              dl_clock_us ());
  switch (arrival)
    {
    case DL_SWARM_DUPLICATE:
      count_duplicate (transfer, data.length);
      return;
    case DL_SWARM_NEW:
      break;
    }
  if (index == DL_SWARM_MANIFEST)
    accept_manifest (transfer, data);
  if (dl_swarm_is_complete (transfer->swarm))
    dl_log (DL_EVENT_TRANSFER_WHOLE,
            DL_UINT ("milliseconds", dl_clock_ms () - transfer->started_ms),
            DL_UINT ("origin_bytes", transfer->counts.origin_bytes),
            DL_UINT ("region_bytes", transfer->counts.region_bytes),
            DL_UINT ("received_bytes", transfer->counts.received_bytes),
            DL_UINT ("duplicate_bytes", transfer->counts.duplicate_bytes));
  transfer_report (transfer, dl_swarm_is_complete (transfer->swarm));
}

void
transfer_on_fetch (const TransferFetch *outcome, void *data)
{
  Transfer *transfer = data;
  bool home
      = strcmp (slot_settings (transfer->task)->region, transfer->directive->home_region)
        == 0;

  count_received (transfer, outcome->bytes, true, !home);
  if (outcome->error == 0)
    accept_verified (transfer, NULL, outcome->index, outcome->body);
  else
    dl_swarm_fetch_failed (transfer->swarm, outcome->index, outcome->retry_ms,
                           outcome->unusable, dl_clock_us ());
  transfer_schedule_run (transfer);
}

static void
on_corrupt (Transfer *transfer, TransferPeer *peer, uint32_t index, DlStr data)
{
  bool avoided = dl_swarm_avoids (transfer->swarm, peer->name);

  transfer->counts.corrupt_bytes += data.length;
  dl_metric_add (&metric_corrupt, (int64_t)data.length);
  dl_log (DL_EVENT_PEER_CORRUPT, DL_TEXT ("peer", peer->name), DL_UINT ("index", index));
  dl_swarm_peer_corrupt (transfer->swarm, peer->name, index, (uint32_t)data.length,
                         dl_clock_us ());
  if (!avoided && dl_swarm_avoids (transfer->swarm, peer->name))
    dl_log (DL_EVENT_PEER_AVOIDED, DL_TEXT ("peer", peer->name));
}

void
transfer_on_chunk (Transfer *transfer,
                   TransferPeer *peer,
                   const DlDigest *version,
                   uint32_t index,
                   DlStr data)
{
  const DlMember *member = transfer_member (transfer, peer->name);
  const char *region = slot_settings (transfer->task)->region;
  DlDigest expected;
  DlDigest digest;

  count_received (transfer, data.length, false,
                  member != NULL && strcmp (member->region, region) != 0);
  if (transfer->swarm == NULL || !dl_digest_equal (version, &transfer->directive->version)
      || (index != DL_SWARM_MANIFEST
          && (transfer->manifest == NULL || index >= transfer->manifest->chunk_count)))
    {
      count_duplicate (transfer, data.length);
      return;
    }
  expected = digest_of (transfer, index);
  digest = dl_digest (data);
  if (dl_digest_equal (&digest, &expected))
    accept_verified (transfer, peer->name, index, data);
  else
    on_corrupt (transfer, peer, index, data);
}
