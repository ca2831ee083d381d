/*
 * Which entries a region has, and which of them are its relays and hubs.
 */
#include <string.h>

#include "node/peers_private.h"

bool
dl_peers_is_in_own_region (const DlPeers *peers, const Node *node)
{
  return strcmp (node->peer.region, peers->options.settings->region) == 0;
}

bool
dl_peers_is_entry_of (const Node *node, const char *region)
{
  return node->peer.role == DAISYLOFT__WIRE__ROLE__ROLE_ENTRY
         && strcmp (node->peer.region, region) == 0;
}

unsigned
dl_peers_entry_count (const DlPeers *peers)
{
  return peers->entry_count;
}

unsigned
dl_peers_region_entry_count (const DlPeers *peers)
{
  unsigned count = peers->options.role == DAISYLOFT__WIRE__ROLE__ROLE_ENTRY;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += dl_peers_is_entry_of (value, peers->options.settings->region);
  return count;
}

bool
dl_peers_is_large (const DlPeers *peers)
{
  return dl_fanout_is_large (peers->entry_count);
}

/* The registered entries of REGION and, in the same order, how policy/fanout.h sees
 * them. */
typedef struct
{
  GPtrArray *nodes;   /* of Node */
  GArray *candidates; /* of DlFanoutEntry */
} RegionEntries;

static RegionEntries
list_entries (const DlPeers *peers, const char *region)
{
  RegionEntries list = {
    .nodes = g_ptr_array_new (),
    .candidates = g_array_new (FALSE, FALSE, sizeof (DlFanoutEntry)),
  };
  uint64_t now_ms = dl_clock_ms ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Node *node = value;
      DlFanoutEntry e = {
        .rank = node->rank,
        .alive = dl_peer_is_alive (&node->peer, now_ms),
        .ready = node->peer.ready,
      };

      if (!dl_peers_is_entry_of (node, region))
        continue;
      g_ptr_array_add (list.nodes, node);
      g_array_append_val (list.candidates, e);
    }
  return list;
}

static void
free_entries (RegionEntries *list)
{
  g_ptr_array_free (list->nodes, TRUE);
  g_array_free (list->candidates, TRUE);
}

size_t
dl_peers_choose_relays (const DlPeers *peers,
                        const char *region,
                        const Node *relays[DL_FANOUT_RELAYS])
{
  RegionEntries list = list_entries (peers, region);
  size_t chosen[DL_FANOUT_RELAYS];
  size_t count = dl_fanout_choose ((const DlFanoutEntry *)list.candidates->data,
                                   list.candidates->len, DL_FANOUT_RELAYS, chosen);

  for (size_t i = 0; i < count; i++)
    relays[i] = g_ptr_array_index (list.nodes, chosen[i]);
  free_entries (&list);
  return count;
}

size_t
dl_peers_position (const DlPeers *peers)
{
  RegionEntries list = list_entries (peers, peers->options.settings->region);
  size_t before = dl_fanout_before ((const DlFanoutEntry *)list.candidates->data,
                                    list.candidates->len,
                                    dl_fanout_rank (peers->options.settings->name));

  free_entries (&list);
  return before;
}

size_t
dl_peers_position_registered (const DlPeers *peers)
{
  uint64_t own = dl_fanout_rank (peers->options.settings->name);
  size_t before = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Node *node = value;

      before += node->rank > own && dl_peers_is_in_own_region (peers, node);
    }
  return before;
}

bool
dl_peers_are_known (const DlPeers *peers)
{
  return peers->region_entries != NULL
         && dl_region_entries_are_known (peers->region_entries);
}

bool
dl_peers_are_listed (const DlPeers *peers)
{
  return peers->watch != NULL && dl_object_watch_synced_ms (peers->watch) > 0;
}

bool
dl_peers_is_hub (const DlPeers *peers, bool was)
{
  return !dl_peers_is_large (peers) || dl_fanout_is_hub (dl_peers_position (peers), was);
}

bool
dl_peers_is_relay (const DlPeers *peers)
{
  return dl_peers_position (peers) < DL_FANOUT_RELAYS;
}

bool
dl_peers_has_entry (const DlPeers *peers)
{
  uint64_t now_ms = dl_clock_ms ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->nodes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Node *node = value;

      if (dl_peers_is_entry_of (node, peers->options.settings->region)
          && dl_peer_is_alive (&node->peer, now_ms))
        return true;
    }
  return false;
}
