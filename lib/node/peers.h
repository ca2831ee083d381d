/*
 * The other direct entries and stagers: who they are, and what they last said.
 *
 * Each process writes one object of kind "nodes" with its role and address when it
 * starts, and watches the others'.  From then on processes tell each other their status
 * by datagrams: a lost one is replaced by the next, and nothing is decided on one that is
 * not fresh.  A datagram counts only when the named node is registered at its sender's
 * IP address.
 *
 * A node that has just started knows the others before they know it.  What it sends is
 * not believed yet, but is answered, so that it need not wait for its name to get round.
 */
#ifndef DL_PEERS_H
#define DL_PEERS_H

#include "kernel/object_client.h"
#include "kernel/wire.pb-c.h"
#include "node/node.h"
#include "node/object_relay.h"
#include "node/relay_source.h"

/* A node that was not heard for this long is taken as down. */
#define DL_PEER_TIMEOUT_MS 1700
/* A reader asks the store for nodes this often while others ask it. */
#define DL_PEERS_READER_WAIT_MS 5000

typedef struct DlPeers DlPeers;

/* One other node; belongs to the DlPeers. */
typedef struct
{
  const char *name;
  Daisyloft__Wire__Role role;
  const char *region;
  const char *data_center;
  const char *address; /* "IP:PORT" for datagrams and HTTP between nodes */
  const char *listen;  /* of an entry: for requests */
  const char *relay;   /* the same: gives out what it knows of the store; may be NULL */
  uint64_t heard_ms;   /* when its last datagram arrived; 0 for never */
  bool ready;          /* by its last datagram */
} DlPeer;

typedef struct
{
  const DlNodeSettings *settings;
  Daisyloft__Wire__Role role;
  DlObjectClient *store;
  const char *kind;      /* of the objects in the store */
  DlRelaySource *source; /* as in DlObjectWatchOptions; it is told of the peers */
  DlObjectRelay *relay;
  /* A datagram arrived; STATUS ends with the call. */
  void (*on_status) (const DlPeer *peer,
                     const Daisyloft__Wire__NodeStatus *status,
                     void *data);
  /* A node of ROLE that is not known here asks by its datagram what this one would tell
   * it; answer with dl_peers_reply.  May be NULL. */
  void (*on_unknown_node) (Daisyloft__Wire__Role role, void *data);
  /* The node is not registered any more; freed after the call.  May be NULL. */
  void (*on_removed) (const DlPeer *peer, void *data);
  void *data;
} DlPeersOptions;

/* Returns 0 or a negative error.  OPTIONS is copied, what it points to is not. */
int dl_peers_new (DlTask *task,
                  const void *owner,
                  const DlPeersOptions *options,
                  DlPeers **peers);
/* Sends STATUS, whose name, incarnation, number and role are filled in, to all nodes of
 * ROLE; NEAR_ONLY: of this node's region. */
void dl_peers_send (DlPeers *peers,
                    Daisyloft__Wire__NodeStatus *status,
                    Daisyloft__Wire__Role role,
                    bool same_region);
/* Sends STATUS to the stranger that on_unknown_node is called for; only from there. */
void dl_peers_reply (DlPeers *peers, Daisyloft__Wire__NodeStatus *status);
/* Calls FUNC for each node of ROLE that was heard lately. */
void dl_peers_foreach_alive (const DlPeers *peers,
                             Daisyloft__Wire__Role role,
                             void (*func) (const DlPeer *peer, void *data),
                             void *data);
bool dl_peer_is_alive (const DlPeer *peer, uint64_t now_ms);

#endif
