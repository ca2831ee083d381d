/*
 * daisyslotd: the slot on each upstream host.  Its tasks and the messages between them.
 *
 *   listener  framed listener; hands each connection to the task of its purpose
 *   relays    connections to the relay entries of the data centre; publishes MEMBERS,
 *             FLEET, DIRECTIVE and CONTACT, sends the slot's status
 *   transfer  holds the replica; exchanges chunks with peers, draws from the origin;
 *             publishes TRANSFER; serves verified blobs to the engine over local HTTP
 *   engine    the only one that gives the engine orders; publishes ENGINE
 *   requests  request connections from entries; passes requests to the engine or service;
 *             publishes LOAD
 */
#ifndef DAISYSLOTD_H
#define DAISYSLOTD_H

#include "kernel/crypt.h"
#include "kernel/fleet.h"
#include "kernel/frame.h"
#include "kernel/kernel.h"
#include "kernel/manifest.h"
#include "kernel/members.h"

/* daisyslotd.json(5) */
typedef struct
{
  const char *name;
  const char *region;
  const char *data_center;
  const char *service;
  int kind;                   /* DlServiceKind of the engine or service */
  const char *listen;         /* framed connections */
  const char *advertise;      /* address told to peers; LISTEN when absent */
  const char *weights_listen; /* local HTTP from which the engine loads weights */
  const char *engine;         /* the engine's or service's HTTP address */
  bool engine_checks_fence;   /* false: this slot is the only guard */
  const char *origin;         /* HTTP address of the origin of weights; "" for none */
  const char *weight_store;   /* rate-limited second source; "" for none */
  const char *fleet_key;
  DlSettingList seeds; /* addresses of entries */
  bool json_logs;
  uint64_t drain_ms;
  uint64_t upload_bytes_per_s; /* link budget for weights; 0 for none */
  uint64_t download_bytes_per_s;
  bool link_shared;            /* both directions draw on download_bytes_per_s */
  uint64_t region_bytes_per_s; /* of this host's part in links to other regions; 0 none */
  bool exchange;               /* false: every chunk is drawn from the origin */
  uint64_t guard_ms;           /* a slot that hears nobody for this long gives no orders;
                                  a new slot waits this long before its first */
} SlotSettings;

typedef enum
{
  SLOT_MSG_CONNECTION,
  SLOT_MSG_MEMBERS,
  SLOT_MSG_FLEET,
  SLOT_MSG_CONTACT,
  SLOT_MSG_DIRECTIVE,
  SLOT_MSG_TRANSFER,
  SLOT_MSG_ENGINE,
  SLOT_MSG_LOAD,
  SLOT_MSG_ROTATION,
  SLOT_MSG_STATUS,
} SlotMessageType;

#define SLOT_SUBSCRIBE(type) (UINT64_C (1) << (type))

/* What the slot is asked to do now: the rollout that holds for this host. */
typedef struct
{
  char *rollout;
  uint64_t sequence;
  uint64_t revision;
  uint64_t fence;
  Daisyloft__Wire__RolloutState state;
  DlDigest version;
  uint64_t manifest_bytes;
  bool may_load;
  bool weigh_origin_bytes;
  char *home_region;
  size_t target_count;
  char **targets; /* sorted */
} SlotDirective;

typedef struct
{
  DlMessage base;
  union
  {
    /* CONNECTION: posted to one task, which takes the connection over by
     * dl_conn_set_owner and dl_conn_set_handler; it is unread until then. */
    struct
    {
      DlConn *connection;
    } connection;
    struct
    {
      const DlMembers *members; /* talloc child of the message */
    } members;
    struct
    {
      uint64_t revision;
      const DlFleet *fleet; /* talloc child of the message */
    } fleet;
    /* CONTACT: whether this slot hears a relay; and since when it does or does not. */
    struct
    {
      bool in_contact;
      uint64_t since_ms; /* dl_clock_ms */
    } contact;
    struct
    {
      const SlotDirective *directive; /* talloc child of the message; NULL: none */
    } directive;
    /* TRANSFER: progress of the directive's version. */
    struct
    {
      DlDigest version;
      bool whole; /* every chunk verified */
      uint32_t chunks_verified;
      uint32_t chunks_total; /* 0 until the manifest is known */
      uint64_t origin_bytes;
      uint64_t region_bytes;
      uint64_t received_bytes;
      uint64_t duplicate_bytes;
      const char *failure; /* talloc child of the message; NULL for none */
    } transfer;
    /* ENGINE: what the engine last said of itself, or that it does not answer. */
    struct
    {
      bool reachable;
      DlDigest serving; /* zero: none */
      bool draining;    /* out of rotation, waiting for requests in progress */
      bool loading;
      uint32_t running;
      uint32_t queued;
      uint32_t capacity;
      const char *failure; /* of the last order */
    } engine;
    /* LOAD: requests in progress in the requests task, and the smoothed delay of their
     * first response byte, for what yields to live requests; 0: none measured yet. */
    struct
    {
      uint32_t running;
      uint64_t first_byte_us;
    } load;
    /* ROTATION: asked by the engine task: take no new requests (they are refused as not
     * run) while the engine loads; requests in progress finish. */
    struct
    {
      bool accept;
    } rotation;
    /* STATUS: the slot's report, made by the relays task; requests sends it to entries.
     */
    struct
    {
      const Daisyloft__Wire__SlotStatus *status; /* talloc child of the message */
    } status;
  };
} SlotMessage;

const DlIdentity *slot_identity (DlTask *task);
static inline const SlotSettings *
slot_settings (DlTask *task)
{
  return dl_kernel_settings (dl_task_kernel (task));
}

#endif
