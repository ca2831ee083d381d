/*
 * Declarations shared by the files that know the other nodes: peers.c registers this node
 * and follows the others' registrations, peers_region.c tells the entries of a region,
 * peers_datagrams.c exchanges statuses, and status_relay.c passes them on.
 */
#ifndef DL_PEERS_PRIVATE_H
#define DL_PEERS_PRIVATE_H

#include <glib.h>
#include <netinet/in.h>

#include "node/object_watch.h"
#include "node/peers.h"
#include "node/region_entries.h"
#include "node/registration.h"
#include "policy/fanout.h"

#define DATAGRAM_MAX_BYTES 1400

struct DlStatusRelay;

/* The status of another node as it is passed on; empty on nodes that pass none on. */
typedef struct
{
  uint8_t *bytes; /* packed; a talloc child of the node */
  size_t length;
  bool to_region;  /* the entries of this region do not have it yet */
  bool to_regions; /* nor have the relays of other regions */
} DlRelayedStatus;

typedef struct Node
{
  DlPeer peer; /* first: a Node pointer also serves as a DlPeer */
  DlPeers *owner;
  char *object_name;     /* in the store */
  struct sockaddr_in at; /* peer.address, parsed */
  json_object *value;    /* of its object in the store */
  uint64_t revision;     /* of that object; 0 while an older copy of the store lacks it */
  uint64_t rank;         /* entry: among those of its region, see policy/fanout.h */
  uint64_t incarnation;  /* of its last datagram */
  uint64_t previous_incarnation; /* before that; 0 for none */
  uint64_t number;               /* sequence number of its last datagram */
  uint64_t seen_ms;              /* when it was registered or last sent a datagram */
  DlRelayedStatus relayed;
} Node;

struct DlPeers
{
  DlTask *task;
  DlPeersOptions options;
  int fd;
  ev_io watcher;
  struct ev_loop *loop;
  GHashTable *nodes;     /* name to Node */
  GHashTable *by_object; /* name of the object in the store to the same Node */
  uint64_t created_ms;
  uint64_t registrations_read_ms; /* when an unknown node last led to that; 0: never */
  unsigned entry_count;        /* registered entries, this node included if it is one */
  struct DlStatusRelay *relay; /* NULL on a stager */
  char *object_name;           /* of this node in the store */
  DlRegistration *registration;
  DlRegistration *entry_registration; /* in the list of the region; NULL on a stager */
  DlRegionEntries *region_entries;
  DlObjectWatch *watch;
  bool is_relisting;    /* the list from an older copy of the store is in progress */
  bool is_listed;       /* that list shows this node's object as it would write it */
  uint64_t number;      /* sequence number of the last datagram */
  uint64_t incarnation; /* of this process */
  bool is_ready;        /* as last sent in a status */
  const struct sockaddr_in *unknown_sender; /* sender, while on_unknown_node runs */
};

/* Whether NODE is of this node's region. */
bool dl_peers_is_in_own_region (const DlPeers *peers, const Node *node);
/* Whether NODE is an entry of REGION. */
bool dl_peers_is_entry_of (const Node *node, const char *region);
/* Reads the datagrams that have arrived. */
void dl_peers_on_readable (struct ev_loop *loop, ev_io *watcher, int events);
/* Fills in the sender of STATUS and its NUMBER, 0 for a batch of other nodes' statuses,
 * and packs it into BYTES, of DATAGRAM_MAX_BYTES.  Returns its length. */
size_t dl_peers_pack (const DlPeers *peers,
                      Daisyloft__Wire__NodeStatus *status,
                      uint64_t number,
                      uint8_t *bytes);
/* Errors are ignored: a datagram that cannot be sent is like one that is lost. */
void dl_peers_send_to (const DlPeers *peers,
                       const struct sockaddr_in *at,
                       const uint8_t *bytes,
                       size_t length);
/* Number of entries of this entry's region that rank before it. */
size_t dl_peers_position (const DlPeers *peers);
/* Stores the other entries of REGION that are its relays, best first; returns their
 * number. */
size_t dl_peers_choose_relays (const DlPeers *peers,
                               const char *region,
                               const Node *relays[DL_FANOUT_RELAYS]);

#endif
