/*
 * daisydirectd: an entry that sends requests to upstreams directly.
 *
 * Tasks: "state" follows the platform's store and the other nodes, "requests" serves
 * callers, "directory" tells callers which entries to use and whether this one is ready.
 */
#ifndef DAISYDIRECTD_H
#define DAISYDIRECTD_H

#include "kernel/kernel.h"
#include "node/holding.h"
#include "node/node.h"
#include "node/upstream_entry.h"
#include "policy/routing.h"

typedef enum
{
  DIRECT_ROUTING,           /* a new routing table */
  DIRECT_UPSTREAM,          /* an upstream is on the list, or its entry changed */
  DIRECT_UPSTREAM_GONE,     /* it is off the list */
  DIRECT_ENGINE,            /* an engine's stager told how it is */
  DIRECT_VERSION,           /* weights were named */
  DIRECT_VERSION_FLOOR,     /* another entry holds the version floor higher */
  DIRECT_ROUTING_CONFIRMED, /* the routing table was current as of then */
  DIRECT_ENTRIES,           /* which entries take requests */
  DIRECT_NO_VERSION,        /* the store was read, and no weights are named */
  DIRECT_HOLDER,            /* another node told which chunks it holds */
  DIRECT_NODE_GONE,         /* another node is not registered any more */
  DIRECT_HOLDINGS,          /* which chunks this entry holds */
} DirectMessageType;

/* How an engine is, as the stager on its host saw it. */
typedef struct
{
  const char *address; /* "IP:PORT" of the engine */
  bool serves;         /* false while it is down or takes new weights */
  unsigned running;
  unsigned waiting;
  double pace;
  uint64_t version; /* of its weights; 0 for none */
} DirectEngineStatus;

typedef struct
{
  DlMessage head;
  union
  {
    const DlRouting *routing;     /* below the message */
    DlUpstreamEntry upstream;     /* texts below the message */
    const char *removed_upstream; /* of an upstream */
    DirectEngineStatus engine;    /* texts below the message */
    struct
    {
      const char *model;
      uint64_t version;
      uint64_t named_ms;
    } version;
    DlHolder holder;     /* texts below the message */
    DlHoldings holdings; /* the same */
    const char *removed_node;
    uint64_t floor;                /* a version */
    uint64_t routing_confirmed_ms; /* as of when the routing table is current */
    struct
    {
      const char **near; /* addresses for requests, in this entry's region */
      size_t near_count;
      const char **far; /* in other regions */
      size_t far_count;
      bool is_ready; /* this entry */
    } entries;
  };
} DirectMessage;

DirectMessage *direct_message_new (DirectMessageType type);
/* Settings, which live as long as the process. */
const DlNodeSettings *direct_settings (DlTask *task);
/* A routing table older than this proves no key. */
uint64_t direct_routing_max_age_ms (const DlNodeSettings *settings);

#endif
