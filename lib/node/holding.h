/*
 * Which chunks of which weights a node holds, as nodes advertise it to each other.
 *
 * Also where the weights come from according to the routing table.
 */
#ifndef DL_HOLDING_H
#define DL_HOLDING_H

#include <stdint.h>

#include "kernel/str.h"
#include "kernel/wire.pb-c.h"
#include "node/peers.h"
#include "policy/routing.h"

/* Versions of which a node holds chunks at once: the one that is being loaded, and a
 * newer one that was announced meanwhile. */
#define DL_HOLDINGS_MAX 2

/* The chunks of one version that a node holds. */
typedef struct
{
  const char *model;
  uint64_t version;
  DlStr chunks; /* bitmap; chunk 0 is the lowest bit of the first byte */
} DlHolding;

/* All versions of which a node holds chunks. */
typedef struct
{
  size_t count;
  DlHolding items[DL_HOLDINGS_MAX];
} DlHoldings;

/* A node that holds chunks and serves them. */
typedef struct
{
  const char *name;
  const char *region;
  const char *address; /* "IP:PORT" */
  bool is_hub;         /* an entry, whose link has a high bandwidth */
  DlHoldings holdings;
} DlHolder;

/* Where weights come from, and what engines serve. */
typedef struct
{
  const char *origin;       /* "IP:PORT"; NULL when no service has an origin */
  uint64_t origin_chunk_us; /* time that its link takes for one chunk; 0: not known */
  const char *model;        /* that the engines serve; NULL when not known */
  unsigned layers;          /* of complete weights; 0 when not known */
  unsigned chunks;          /* of one version; 0 when not known */
} DlWeightSource;

/* Reads from ROUTING the source of weights for the engines of SERVICE, or of the first
 * service with engines when SERVICE is NULL.  Strings belong to ROUTING. */
DlWeightSource dl_weight_source_from_routing (const DlRouting *routing,
                                              const char *service);
/* Copies HOLDER; the copy's strings and bytes are talloc children of CONTEXT. */
DlHolder dl_holder_copy (const void *context, const DlHolder *holder);
/* True when both are the same node and hold the same chunks. */
bool dl_holder_equal (const DlHolder *a, const DlHolder *b);
/* Reads what PEER advertises in STATUS; the result's strings and bytes are talloc
 * children of CONTEXT. */
DlHolder dl_holder_from_status (const void *context,
                                const DlPeer *peer,
                                const Daisyloft__Wire__NodeStatus *status);
/* Sets the holdings of STATUS, with arrays that are talloc children of CONTEXT.  STATUS
 * then refers to the strings and bytes of HOLDINGS. */
void dl_holdings_to_status (const void *context,
                            const DlHoldings *holdings,
                            Daisyloft__Wire__NodeStatus *status);

#endif
