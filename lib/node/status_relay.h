/*
 * Passes statuses of other nodes on, at an entry of a large fleet (policy/fanout.h).
 *
 * To the entries of its own region go the statuses that stagers of the region send here,
 * and those of other regions' nodes, which relays there send.  To one relay of each other
 * region go those of all nodes of the own region.  What the region's other relay has
 * passed on is left out.
 *
 * Only the part of a status that keeps its meaning is passed on: neither ages, which grow
 * on the way, nor records that entries send each other directly.
 */
#ifndef DL_STATUS_RELAY_H
#define DL_STATUS_RELAY_H

#include "node/peers_private.h"

typedef struct DlStatusRelay DlStatusRelay;

/* Returns a talloc child of PEERS, which begins to pass on what it receives. */
DlStatusRelay *dl_status_relay_new (DlTask *task, DlPeers *peers);
/* This entry sent STATUS to others. */
void dl_status_relay_sent (DlStatusRelay *relay,
                           const Daisyloft__Wire__NodeStatus *status);
/* STATUS was accepted from NODE itself. */
void dl_status_relay_received (DlStatusRelay *relay,
                               Node *node,
                               const Daisyloft__Wire__NodeStatus *status);
/* The entry FROM passed on PACKED, a status of NODE, which was accepted; or NULL, the
 * status of it that is known already. */
void dl_status_relay_passed_on (DlStatusRelay *relay,
                                const Node *from,
                                Node *node,
                                const ProtobufCBinaryData *packed);

#endif
