/*
 * daisyslotd, the slot on each upstream host: settings, tasks, and the messages that the
 * tasks exchange.
 *
 *   listener  accepts framed connections and passes each to the task for its purpose
 *   relays    connects to the relays of the data centre; publishes MEMBERS, FLEET,
 *             DIRECTIVE, CONTACT and STATUS; sends the slot's status to the relays
 *   transfer  stores the weights; exchanges chunks with other slots and fetches them from
 *             the origin; publishes TRANSFER; serves verified blobs to the engine by HTTP
 *   engine    polls the engine's state; the only task that sends it load commands;
 *             publishes ENGINE and ROTATION
 *   requests  accepts requests from entries and forwards them to the engine or service;
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

/* Settings, as described in daisyslotd.json(5).  Strings live as long as the program. */
typedef struct
{
  const char *name;
  const char *region;
  const char *data_center;
  const char *service;
  int kind;                   /* DlServiceKind */
  const char *listen;         /* "IP:PORT" for framed connections */
  const char *advertise;      /* address that other hosts connect to; default: listen */
  const char *weights_listen; /* "IP:PORT" where the engine fetches weights by HTTP */
  const char *engine;         /* HTTP address of the engine or plain service */
  bool engine_checks_fence;   /* the engine refuses commands with an old fencing token */
  const char *origin;         /* HTTP address of the origin; "" for none */
  const char *weight_store;   /* rate-limited second source; "" for none */
  const char *fleet_key;
  DlSettingList seeds; /* addresses of entries, for the first contact */
  bool json_logs;
  uint64_t drain_ms;           /* longest wait for running requests */
  uint64_t upload_bytes_per_s; /* limit for weights; 0: unlimited */
  uint64_t download_bytes_per_s;
  bool link_shared;            /* download_bytes_per_s limits both directions together */
  uint64_t region_bytes_per_s; /* to and from other regions, each way; 0: unlimited */
  bool exchange;               /* false: fetch every chunk from the origin */
  uint64_t guard_ms;           /* a new slot waits so long before its first load command,
                                  as a predecessor may still be sending some; it does not
                                  wait if the engine has never had one */
} SlotSettings;

/* Types of the messages between tasks; see SlotMessage. */
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

/* The rollout in effect for this host, as received from a relay. */
typedef struct
{
  char *rollout;
  uint64_t sequence; /* revision at which the rollout object was created */
  uint64_t revision; /* of the rollout object */
  uint64_t fence;    /* fencing token of the lease it was written under */
  Daisyloft__Wire__RolloutState state;
  DlDigest version; /* to load; also the digest of its manifest */
  uint64_t manifest_bytes;
  bool may_load;           /* this host may load the version now */
  bool granted;            /* it may, or might before the rollout was paused or ended */
  bool weigh_origin_bytes; /* minimise bytes from the origin, rather than time */
  char *home_region;       /* region of the origin */
  size_t target_count;
  char **targets; /* names of the hosts that get the version, sorted */
} SlotDirective;

/* A message between tasks; the type selects the member. */
typedef struct
{
  DlMessage base;
  union
  {
    /* Posted by the listener to one task, which takes ownership of the connection with
     * dl_conn_set_owner and dl_conn_set_handler.  Nothing is read from it until then. */
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
    /* Whether a connection to a relay or seed is open, and since when it has been so. */
    struct
    {
      bool in_contact;
      uint64_t since_ms; /* dl_clock_ms */
    } contact;
    struct
    {
      const SlotDirective *directive; /* talloc child of the message; NULL: none */
    } directive;
    /* Progress of the transfer of the directive's version.  Bytes are counted from its
     * start. */
    struct
    {
      DlDigest version;
      bool complete; /* all chunks are here and verified */
      uint32_t chunks_verified;
      uint32_t chunks_total;   /* 0 until the manifest is known */
      uint64_t origin_bytes;   /* from the origin or the weight store */
      uint64_t region_bytes;   /* from other regions, the origin's included */
      uint64_t received_bytes; /* from all sources */
      uint64_t duplicate_bytes;
      const char *failure; /* talloc child of the message; NULL for none */
    } transfer;
    /* The engine's state as last polled. */
    struct
    {
      bool reachable;
      DlDigest serving; /* zero: none */
      bool draining;    /* out of rotation until the running requests have ended */
      bool loading;
      uint32_t running;
      uint32_t queued;
      uint32_t capacity;
      const char *failure; /* of the last load; NULL: none */
    } engine;
    /* Live requests.  The transfer task adjusts its share of the link to their delay. */
    struct
    {
      uint32_t running;
      uint64_t first_byte_us; /* smoothed delay of the first byte; 0: not measured */
    } load;
    /* Whether the requests task accepts new requests.  Those that it refuses end as not
     * run; running requests finish. */
    struct
    {
      bool accept;
    } rotation;
    /* The slot's status, which the relays task builds and the requests task sends to
     * entries. */
    struct
    {
      const Daisyloft__Wire__SlotStatus *status; /* talloc child of the message */
    } status;
  };
} SlotMessage;

/* This slot's identity for handshakes.  Static; filled anew by each call. */
const DlIdentity *slot_identity (DlTask *task);
static inline const SlotSettings *
slot_settings (DlTask *task)
{
  return dl_kernel_settings (dl_task_kernel (task));
}

#endif
