/*
 * The other direct entries and stagers: their registrations and latest status.
 *
 * Each process registers itself when it starts, by an object of kind "nodes" with its
 * role and address, and watches the objects of the others.  Until it has read these, it
 * knows the entries of its region (node/region_entries.h).  Processes then send each
 * other their status in datagrams.  A lost datagram is replaced by the next, and
 * decisions use only recent ones.  A datagram is accepted only when its node is
 * registered at the sender's IP address.
 *
 * A node that has just started knows the others before they know it.  Its datagrams are
 * not accepted yet, but can be replied to (on_unknown_node), so that it need not wait
 * until its registration has reached the other nodes.
 *
 * When the store comes back from an older copy, nodes that it lacks stay known while
 * their datagrams arrive, and each node registers again if its object is missing.
 */
#ifndef DL_PEERS_H
#define DL_PEERS_H

#include "kernel/object_client.h"
#include "kernel/wire.pb-c.h"
#include "node/node.h"
#include "node/object_relay.h"
#include "node/relay_source.h"

/* A node from which no datagram came for this long counts as down. */
#define DL_PEER_TIMEOUT_MS 1700
/* How long a reader's watch of nodes waits while other nodes ask it. */
#define DL_PEERS_READER_WAIT_MS 5000
/* Longest status that may be sent, packed and without what dl_peers_send sets. */
#define DL_PEER_STATUS_MAX_BYTES 1200

typedef struct DlPeers DlPeers;

/* One other node; owned by the DlPeers. */
typedef struct
{
  const char *name;
  Daisyloft__Wire__Role role;
  const char *region;
  const char *data_center;
  const char *address;  /* "IP:PORT" for datagrams and HTTP between nodes */
  const char *listen;   /* entry: "IP:PORT" for callers' requests */
  const char *relay;    /* entry: "IP:PORT" of its DlObjectRelay; may be NULL */
  uint64_t received_ms; /* when its last datagram arrived; 0 for never */
  bool ready;           /* according to its last datagram */
  bool is_hub;          /* entry: it fetches weights for others, as far as is known */
} DlPeer;

/* To which nodes of a role a status goes.  In a small fleet (policy/fanout.h) all nodes
 * of the region stand for the relays, and no entry is left out as a hub. */
typedef enum
{
  DL_PEERS_ALL,
  DL_PEERS_REGION, /* those of this node's region */
  DL_PEERS_HUBS,   /* entries of all regions that are hubs */
  DL_PEERS_RELAYS, /* entries of this region that pass it on to all entries */
} DlPeersReach;

/* What this node registers, and whom to notify. */
typedef struct
{
  const DlNodeSettings *settings;
  Daisyloft__Wire__Role role; /* of this node */
  DlObjectClient *store;
  const char *kind;         /* of the objects in the store */
  const char *entries_kind; /* the same of this region's entries; node/region_entries.h */
  DlRelaySource *source;    /* as in DlObjectWatchOptions; dl_peers_new sets its peers */
  DlObjectRelay *relay;     /* as in DlObjectWatchOptions */
  /* A datagram was accepted; STATUS is freed after the call. */
  void (*on_status) (const DlPeer *peer,
                     const Daisyloft__Wire__NodeStatus *status,
                     void *data);
  /* A datagram came from a node of ROLE that is not known here, or, at a stager, that has
   * started again; dl_peers_reply may be called to send it this node's status.  May be
   * NULL. */
  void (*on_unknown_node) (Daisyloft__Wire__Role role, void *data);
  /* PEER's registration was deleted or replaced; PEER is freed after the call.  May be
   * NULL. */
  void (*on_removed) (const DlPeer *peer, void *data);
  /* This node's own registration was deleted; it registers again.  May be NULL. */
  void (*on_own_deleted) (void *data);
  /* PEER, which has timed out, is deleted from the store.  May be NULL. */
  void (*on_expired) (const DlPeer *peer, void *data);
  void *data;
} DlPeersOptions;

/* Opens the datagram socket, registers this node and watches the others.  *PEERS is a
 * talloc child of OWNER.  Returns 0 or a negative error.  OPTIONS is copied, what it
 * points to is not. */
int dl_peers_new (DlTask *task,
                  const void *owner,
                  const DlPeersOptions *options,
                  DlPeers **peers);
/* Sets the name, incarnation, number and role of STATUS and sends it to the nodes of ROLE
 * that REACH says. */
void dl_peers_send (DlPeers *peers,
                    Daisyloft__Wire__NodeStatus *status,
                    Daisyloft__Wire__Role role,
                    DlPeersReach reach);
/* True when the fleet is large (policy/fanout.h). */
bool dl_peers_is_large (const DlPeers *peers);
/* Number of registered entries, this node included if it is one. */
unsigned dl_peers_entry_count (const DlPeers *peers);
/* Whether this entry is one of its region's hubs; in a small fleet every entry is.  WAS:
 * it has been one. */
bool dl_peers_is_hub (const DlPeers *peers, bool was);
/* Whether this entry is one of its region's relays. */
bool dl_peers_is_relay (const DlPeers *peers);
/* Number of registered entries of this node's region, this node included if it is one. */
unsigned dl_peers_region_entry_count (const DlPeers *peers);
/* True once it was read which entries this node's region has. */
bool dl_peers_are_known (const DlPeers *peers);
/* True once all registered nodes were read; before, only some of them are known. */
bool dl_peers_are_listed (const DlPeers *peers);
/* Number of registered entries of this entry's region that rank before it, alive or not.
 */
size_t dl_peers_position_registered (const DlPeers *peers);
/* True when an entry of this node's region is alive. */
bool dl_peers_has_entry (const DlPeers *peers);
/* Does the same, but sends to the node that on_unknown_node is called for.  May only be
 * called from there. */
void dl_peers_reply (DlPeers *peers, Daisyloft__Wire__NodeStatus *status);
/* Lowers *COUNT, the number of elements of a repeated member of STATUS, until STATUS is
 * at most MAX_BYTES long when packed, or none is left. */
void dl_peer_status_trim (Daisyloft__Wire__NodeStatus *status,
                          size_t *count,
                          size_t max_bytes);
/* Calls FUNC for each node of ROLE that is alive. */
void dl_peers_foreach_alive (const DlPeers *peers,
                             Daisyloft__Wire__Role role,
                             void (*func) (const DlPeer *peer, void *data),
                             void *data);
/* Calls FUNC for each registered node of ROLE, alive or not, but this node. */
void dl_peers_foreach_registered (const DlPeers *peers,
                                  Daisyloft__Wire__Role role,
                                  void (*func) (const DlPeer *peer, void *data),
                                  void *data);
/* True when the last datagram of PEER is at most DL_PEER_TIMEOUT_MS old. */
bool dl_peer_is_alive (const DlPeer *peer, uint64_t now_ms);

#endif
