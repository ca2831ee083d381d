/*
 * daisydirectd: an entry that forwards callers' requests directly to upstreams.
 *
 * It runs four tasks, which exchange the messages declared here.  "state" watches the
 * platform's store and the other nodes and publishes what changes.  "requests" forwards
 * callers' requests.  "directory" tells callers which entries to use, and the platform
 * whether this entry is ready.  "weights" fetches new weights and serves their chunks to
 * other nodes.
 */
#ifndef DAISYDIRECTD_H
#define DAISYDIRECTD_H

#include "kernel/kernel.h"
#include "node/holding.h"
#include "node/limit_record.h"
#include "node/node.h"
#include "node/object_watch.h"
#include "node/upstream_entry.h"
#include "policy/quarantine.h"
#include "policy/routing.h"
#include "policy/routing_trust.h"
#include "policy/version_floor.h"

/* Types of messages between the tasks. */
typedef enum
{
  DIRECT_ROUTING,                /* a new routing table */
  DIRECT_UPSTREAM,               /* an upstream was listed, or its list entry changed */
  DIRECT_UPSTREAM_REMOVED,       /* an upstream is no longer listed */
  DIRECT_ENGINE,                 /* a stager reported its engine's status */
  DIRECT_TARGET_VERSION,         /* the store has a new target version */
  DIRECT_VERSION_FLOOR,          /* more is known of the announcements of versions */
  DIRECT_ROUTING_PROOF,          /* the routing table was proved to be the newest */
  DIRECT_STORE_HEARD,            /* when any entry heard the store */
  DIRECT_ENTRIES,                /* the entries that accept requests */
  DIRECT_REGISTERED,             /* the entries that are registered, alive or not */
  DIRECT_EVACUATION,             /* the evacuation of a data centre began or ended */
  DIRECT_EVACUATIONS_KNOWN,      /* all evacuations have been told once */
  DIRECT_NO_TARGET,              /* the store was read and has no target version */
  DIRECT_HOLDER,                 /* another node reported which chunks it has */
  DIRECT_NODE_REMOVED,           /* another node is no longer registered */
  DIRECT_HOLDINGS,               /* the chunks that this entry has */
  DIRECT_SIGNATURE_RECORDS,      /* what this entry knows of suspected prompt parts */
  DIRECT_PEER_SIGNATURE_RECORDS, /* what another entry knows of them */
  DIRECT_HELD_CHANGED,       /* a whole request was quarantined, tried or released here */
  DIRECT_HELD_KEPT,          /* the store keeps that a whole request is quarantined */
  DIRECT_LIMIT_RECORDS,      /* what this entry knows of the limits of upstreams */
  DIRECT_PEER_LIMIT_RECORDS, /* what another entry knows of them */
  DIRECT_HUB,                /* whether this entry fetches weights for others */
} DirectMessageType;

/* Status of an engine, as reported by the stager on its host. */
typedef struct
{
  const char *address; /* "IP:PORT" of the engine */
  bool is_serving;     /* false while it is down or loads new weights */
  bool unchecked;      /* as in dl_sound_load_told, and the next */
  uint64_t loads;
  unsigned running;    /* requests */
  unsigned waiting;    /* requests */
  double pace;         /* as in DlUpstreamLoad */
  uint64_t version;    /* of its weights; 0 for none */
  bool leaving;        /* announced that it leaves */
  uint64_t started_ms; /* wall clock at its start; 0 when unknown */
} DirectEngineStatus;

/* As of when the routing table in effect is known to be the newest, and by which answer.
 */
typedef struct
{
  uint64_t proven_ms;      /* dl_clock_ms; 0 for never */
  DlObjectOrigin origin;   /* of that answer */
  uint64_t newest_version; /* the highest known here or to another node */
} DirectRoutingProof;

/* An entry that is registered in the store. */
typedef struct
{
  const char *name;
  const char *region;
} DirectRegisteredEntry;

/* A message between the tasks.  The type in HEAD determines which member of the union is
 * set.  What the members point to is a talloc child of the message or lives as long as
 * the process. */
typedef struct
{
  DlMessage head;
  union
  {
    const DlRouting *routing;
    DlUpstreamEntry upstream;
    const char *removed_upstream; /* its id */
    DirectEngineStatus engine;
    struct
    {
      const char *model;
      uint64_t version;
      uint64_t announced_ms; /* dl_clock_ms */
    } version;
    DlHolder holder;
    DlHoldings holdings;
    bool is_hub;
    DlSignatureRecords *signature_records;
    DlLimitRecords *limit_records;
    struct
    {
      DlSignature id;
      bool is_held;
      unsigned trials; /* that were sent */
    } held;
    const char *removed_node; /* its name */
    DlVersionFloor floor;
    DirectRoutingProof routing_proof;
    DlStoreHeard store_heard;
    struct
    {
      const char *data_center;
      bool is_evacuated;
    } evacuation;
    struct
    {
      const DirectRegisteredEntry *items; /* the first one is this entry */
      size_t count;
    } registered;
    struct
    {
      /* Addresses for requests: of entries in this entry's region, itself included when
       * it is ready, and of entries in other regions. */
      const char **same_region;
      size_t same_region_count;
      const char **other_region;
      const char **other_region_names; /* the region of each of these */
      size_t other_region_count;
      bool is_ready; /* whether this entry is ready */
    } entries;
  };
} DirectMessage;

/* Returns a new message of TYPE, all else zero; the caller owns one reference. */
DirectMessage *direct_message_new (DirectMessageType type);
/* Returns the settings, which live as long as the process. */
const DlNodeSettings *direct_settings (DlTask *task);
/* Name of ORIGIN in the log. */
const char *direct_origin_text (const DlObjectOrigin *origin);
/* Whether requests may be served by a table that was last proved to be the newest at
 * PROVEN_MS (0: never), when HEARD is known of the store. */
DlRoutingTrust direct_routing_trust (const DlNodeSettings *settings,
                                     uint64_t proven_ms,
                                     const DlStoreHeard *heard);
/* Age from which a routing table may no longer be used to check API keys. */
uint64_t direct_routing_max_age_ms (const DlNodeSettings *settings);

#endif
