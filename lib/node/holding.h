/*
 * Which chunks of which weights a node holds, as nodes tell each other.
 */
#ifndef DL_HOLDING_H
#define DL_HOLDING_H

#include <stdint.h>

#include "kernel/str.h"
#include "kernel/wire.pb-c.h"
#include "node/peers.h"
#include "policy/routing.h"

/* Versions that a node holds chunks of at once: the one that is brought, and a newer one
 * that was named meanwhile. */
#define DL_HOLDINGS_MAX 2

/* Chunks of one version. */
typedef struct
{
  const char *model;
  uint64_t version;
  DlStr chunks; /* bitmap, from the lowest bit of the first byte on */
} DlHolding;

typedef struct
{
  size_t count;
  DlHolding items[DL_HOLDINGS_MAX];
} DlHoldings;

/* A node that holds chunks and gives them out. */
typedef struct
{
  const char *name;
  const char *region;
  const char *address; /* "IP:PORT" */
  bool is_hub;         /* an entry, whose link is large */
  DlHoldings holdings;
} DlHolder;

/* Where weights come from. */
typedef struct
{
  const char *origin;       /* "IP:PORT"; NULL when no service gives out weights */
  uint64_t origin_chunk_us; /* that its link takes for one chunk; 0: not known */
  const char *model;        /* that engines serve; NULL when not known */
  unsigned layers;          /* of whole weights; 0 when not known */
} DlWeightSource;

/* The source that ROUTING names for the engines of SERVICE; for SERVICE NULL, of the
 * first service with engines.  Texts belong to ROUTING. */
DlWeightSource dl_weight_source_from_routing (const DlRouting *routing,
                                              const char *service);
/* A copy, its texts and bytes below CONTEXT. */
DlHolder dl_holder_copy (const void *context, const DlHolder *holder);
/* What PEER tells in STATUS, below CONTEXT. */
DlHolder dl_holder_from_status (const void *context,
                                const DlPeer *peer,
                                const Daisyloft__Wire__NodeStatus *status);
/* Sets the holdings of STATUS, which then refers to HOLDINGS; below CONTEXT. */
void dl_holdings_to_status (const void *context,
                            const DlHoldings *holdings,
                            Daisyloft__Wire__NodeStatus *status);

#endif
