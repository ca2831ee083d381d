/*
 * Connections to other slots, and the chunks that these announce and request.
 */
#include "transfer.h"

#include <string.h>
#include <talloc.h>

#include "kernel/error.h"

static const DlConnHandler peer_handler;

TransferPeer *
transfer_peer (Transfer *transfer, const char *name)
{
  TransferPeer *peer = g_hash_table_lookup (transfer->peers, name);

  if (peer != NULL)
    return peer;
  peer = talloc_zero (transfer, TransferPeer);
  g_assert (peer != NULL);
  peer->transfer = transfer;
  peer->name = talloc_strdup (peer, name);
  peer->bitmap = g_byte_array_new ();
  peer->early_wants = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  g_hash_table_insert (transfer->peers, peer->name, peer);
  return peer;
}

void
transfer_peers_free (Transfer *transfer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, transfer->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TransferPeer *peer = value;

      g_byte_array_free (peer->bitmap, TRUE);
      g_array_free (peer->early_wants, TRUE);
    }
  g_hash_table_destroy (transfer->peers);
}

/* -------- connections -------- */

static void
drop_connection (TransferPeer *peer)
{
  transfer_peer_disconnect (peer);
  if (peer->transfer->swarm == NULL)
    return;
  dl_swarm_peer_down (peer->transfer->swarm, peer->name, dl_clock_us ());
  transfer_schedule_run (peer->transfer);
}

void
transfer_peer_disconnect (TransferPeer *peer)
{
  TALLOC_FREE (peer->conn);
  peer->up = false;
  peer->outgoing = false;
  peer->version = (DlDigest){ 0 };
  g_array_set_size (peer->early_wants, 0);
}

static void
on_peer_open (DlConn *conn, void *data)
{
  TransferPeer *peer = data;
  Transfer *transfer = peer->transfer;

  if (strcmp (dl_conn_peer (conn)->name, peer->name) != 0)
    {
      /* The address in the host list now belongs to another host. */
      drop_connection (peer);
      return;
    }
  peer->up = true;
  if (transfer->swarm != NULL)
    dl_swarm_peer_up (transfer->swarm, peer->name, dl_clock_us ());
  transfer_schedule_run (transfer);
}

static void
on_peer_closed (DlConn *conn, int error, void *data)
{
  drop_connection (data);
}

void
transfer_peer_connect (Transfer *transfer, TransferPeer *peer)
{
  const DlMember *member = transfer_member (transfer, peer->name);

  if (peer->conn != NULL)
    return;
  if (member == NULL)
    {
      dl_swarm_peer_down (transfer->swarm, peer->name, dl_clock_us ());
      return;
    }
  peer->outgoing = true;
  peer->conn
      = dl_conn_connect (transfer->task, transfer, dl_str (member->address),
                         slot_identity (transfer->task),
                         DAISYLOFT__WIRE__PURPOSE__PURPOSE_PEER, &peer_handler, peer);
}

/* If two slots connect to each other at the same time, the connection opened by the one
 * whose name sorts first is kept. */
void
transfer_peer_accept (Transfer *transfer, DlConn *conn)
{
  const DlPeer *other = dl_conn_peer (conn);
  const char *own_name = slot_settings (transfer->task)->name;
  TransferPeer *peer;

  if (strcmp (other->name, own_name) == 0)
    {
      talloc_free (conn);
      return;
    }
  peer = transfer_peer (transfer, other->name);
  if (peer->conn != NULL && peer->outgoing && !dl_conn_is_open (peer->conn)
      && strcmp (own_name, other->name) < 0)
    {
      talloc_free (conn);
      return;
    }
  if (peer->conn != NULL)
    drop_connection (peer);
  dl_conn_set_owner (conn, transfer);
  dl_conn_set_handler (conn, &peer_handler, peer);
  peer->conn = conn;
  on_peer_open (conn, peer);
}

void
transfer_peer_send (TransferPeer *peer, const DlEnvelope *envelope, DlStr payload)
{
  if (peer->conn == NULL || !peer->up)
    return;
  if (dl_conn_send (peer->conn, envelope, payload) < 0)
    drop_connection (peer);
}

/* -------- messages from peers -------- */

static void
record_chunk (TransferPeer *peer, uint32_t index)
{
  guint byte = index / 8;
  guint old = peer->bitmap->len;

  if (index == DL_SWARM_MANIFEST)
    {
      peer->has_manifest = true;
      return;
    }
  if (index >= DL_MANIFEST_MAX_CHUNKS)
    return;
  if (byte >= old)
    {
      g_byte_array_set_size (peer->bitmap, byte + 1);
      memset (peer->bitmap->data + old, 0, byte + 1 - old);
    }
  peer->bitmap->data[byte] |= (guint8)(1u << (index % 8));
}

/* Reports all chunks that the peer holds to the swarm. */
static void
report_chunks (TransferPeer *peer)
{
  DlSwarm *swarm = peer->transfer->swarm;

  if (peer->has_manifest)
    dl_swarm_peer_has (swarm, peer->name, DL_SWARM_MANIFEST);
  for (uint32_t i = 0; i < peer->bitmap->len * 8; i++)
    if ((peer->bitmap->data[i / 8] & (1u << (i % 8))) != 0)
      dl_swarm_peer_has (swarm, peer->name, i);
  dl_swarm_peer_queue (swarm, peer->name, peer->queue, dl_clock_us ());
}

static void
on_chunk_have (TransferPeer *peer, const Daisyloft__Wire__ChunkHave *have)
{
  Transfer *transfer = peer->transfer;
  DlDigest version;
  bool target;

  if (dl_digest_from_bytes (DL_BYTES_STR (have->version), &version) < 0)
    return;
  target = transfer->swarm != NULL
           && dl_digest_equal (&version, &transfer->directive->version);
  peer->queue = have->queue;
  if (!dl_digest_equal (&version, &peer->version) || have->bitmap.len > 0)
    {
      peer->version = version;
      peer->has_manifest = false;
      g_byte_array_set_size (peer->bitmap, 0);
      g_byte_array_append (peer->bitmap, have->bitmap.data,
                           (guint)MIN (have->bitmap.len, DL_MANIFEST_MAX_CHUNKS / 8));
      for (size_t i = 0; i < have->n_indexes; i++)
        record_chunk (peer, have->indexes[i]);
      if (target)
        report_chunks (peer);
      return;
    }
  for (size_t i = 0; i < have->n_indexes; i++)
    {
      record_chunk (peer, have->indexes[i]);
      if (target)
        dl_swarm_peer_has (transfer->swarm, peer->name, have->indexes[i]);
    }
  if (target)
    dl_swarm_peer_queue (transfer->swarm, peer->name, have->queue, dl_clock_us ());
}

/* Passes the peer's early requests for the directive's version to the swarm, and drops
 * the others. */
static void
replay_wants (TransferPeer *peer)
{
  Transfer *transfer = peer->transfer;

  if (dl_digest_equal (&peer->early_version, &transfer->directive->version))
    for (guint i = 0; i < peer->early_wants->len; i++)
      dl_swarm_peer_wants (transfer->swarm, peer->name,
                           g_array_index (peer->early_wants, uint32_t, i), true,
                           dl_clock_us ());
  g_array_set_size (peer->early_wants, 0);
}

void
transfer_peers_replay (Transfer *transfer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, transfer->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TransferPeer *peer = value;

      if (!peer->up)
        continue;
      dl_swarm_peer_up (transfer->swarm, peer->name, dl_clock_us ());
      if (dl_digest_equal (&peer->version, &transfer->directive->version))
        report_chunks (peer);
      replay_wants (peer);
    }
}

static bool
is_target (const Transfer *transfer, ProtobufCBinaryData version)
{
  return transfer->swarm != NULL
         && dl_str_equal (DL_BYTES_STR (version),
                          dl_str_bytes (transfer->directive->version.bytes,
                                        DL_DIGEST_BYTES));
}

/* Handles a request for a version other than the directive's.  A request with wait set is
 * kept, since this host is usually about to switch to that version; any other is
 * refused. */
static void
on_other_version_want (TransferPeer *peer, const Daisyloft__Wire__ChunkWant *want)
{
  DlDigest version;
  Daisyloft__Wire__ChunkRefuse refuse = DAISYLOFT__WIRE__CHUNK_REFUSE__INIT;
  DlEnvelope envelope = DL_ENVELOPE (CHUNK_REFUSE, chunk_refuse, &refuse);

  if (dl_digest_from_bytes (DL_BYTES_STR (want->version), &version) < 0)
    return;
  if (want->wait && peer->early_wants->len < DL_MANIFEST_MAX_CHUNKS)
    {
      if (!dl_digest_equal (&version, &peer->early_version))
        g_array_set_size (peer->early_wants, 0);
      peer->early_version = version;
      g_array_append_val (peer->early_wants, want->index);
      return;
    }
  refuse.version = want->version;
  refuse.index = want->index;
  transfer_peer_send (peer, &envelope, dl_str_bytes (NULL, 0));
}

static void
on_chunk_data (TransferPeer *peer, const Daisyloft__Wire__ChunkData *data, DlStr payload)
{
  DlDigest version;

  if (dl_digest_from_bytes (DL_BYTES_STR (data->version), &version) < 0)
    return;
  if (is_target (peer->transfer, data->version))
    dl_swarm_peer_queue (peer->transfer->swarm, peer->name, data->queue, dl_clock_us ());
  transfer_on_chunk (peer->transfer, peer, &version, data->index, payload);
}

static void
on_peer_frame (DlConn *conn, const DlEnvelope *envelope, DlStr payload, void *data)
{
  TransferPeer *peer = data;
  Transfer *transfer = peer->transfer;
  uint64_t now = dl_clock_us ();

  switch (envelope->body_case)
    {
    case DAISYLOFT__WIRE__ENVELOPE__BODY_CHUNK_HAVE:
      on_chunk_have (peer, envelope->chunk_have);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_CHUNK_WANT:
      if (is_target (transfer, envelope->chunk_want->version))
        dl_swarm_peer_wants (transfer->swarm, peer->name, envelope->chunk_want->index,
                             envelope->chunk_want->wait, now);
      else
        on_other_version_want (peer, envelope->chunk_want);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_CHUNK_DATA:
      on_chunk_data (peer, envelope->chunk_data, payload);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_CHUNK_REFUSE:
      if (is_target (transfer, envelope->chunk_refuse->version))
        dl_swarm_peer_refuses (transfer->swarm, peer->name, envelope->chunk_refuse->index,
                               envelope->chunk_refuse->retry_ms, now);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_CHUNK_CANCEL:
      if (is_target (transfer, envelope->chunk_cancel->version))
        dl_swarm_peer_cancels (transfer->swarm, peer->name,
                               envelope->chunk_cancel->index);
      break;
    default:
      break;
    }
  transfer_schedule_run (transfer);
}

static const DlConnHandler peer_handler = {
  .on_open = on_peer_open,
  .on_frame = on_peer_frame,
  .on_closed = on_peer_closed,
};
