/*
 * daisyentryd, the entry: its settings, its tasks and the messages between them.
 *
 *   replica    watches the platform's objects; publishes SNAPSHOT and FLEET
 *   members    reads the host list from the platform or gets it from relays; publishes
 *              MEMBERS
 *   relay      listens for framed connections; forwards members, settings and directives
 *              to the slots and entries of its data centre and collects their status
 *   steer      steers rollouts under leases
 *   upstreams  connects to slots and sends them requests; publishes SLOT_STATUS
 *   callers    HTTP listener for callers: addresses, admission, requests, claims
 *   operators  HTTP listener for operators: queries, commands, dump, metrics
 */
#ifndef DAISYENTRYD_H
#define DAISYENTRYD_H

#include "kernel/crypt.h"
#include "kernel/fleet.h"
#include "kernel/frame.h"
#include "kernel/kernel.h"
#include "kernel/members.h"
#include "kernel/object_client.h"

/* Settings of the process; see daisyentryd.json(5).  Texts live as long as it does. */
typedef struct
{
  const char *name;
  const char *region;
  const char *data_center;
  const char *listen;            /* address for framed connections */
  const char *advertise;         /* address announced to peers; default: LISTEN */
  const char *callers_listen;    /* address of the HTTP listener for callers */
  const char *callers_advertise; /* announced to callers; default: CALLERS_LISTEN */
  const char *operators_listen;  /* address of the HTTP listener for operators */
  const char *platform;          /* address of the object API and host list */
  const char *fleet_key;         /* secret shared by the processes of the fleet */
  const char *operator_key;      /* secret shared with operators */
  DlSettingList seeds;           /* addresses of entries, to start without the platform */
  bool json_logs;
  uint64_t drain_ms; /* longest time of a graceful shutdown */
  uint64_t platform_timeout_ms;
  uint64_t host_list_interval_ms;
  uint64_t lease_ms;       /* duration of a lease on a rollout */
  uint64_t claim_keep_ms;  /* how long claims of ended calls are kept */
  uint64_t max_callers;    /* limit of caller connections */
  uint64_t max_body_bytes; /* of a caller's request */
} EntrySettings;

/* Types of the messages between tasks; see EntryMessage. */
typedef enum
{
  ENTRY_SNAPSHOT,
  ENTRY_FLEET,
  ENTRY_MEMBERS,
  ENTRY_SLOT_STATUS,
  ENTRY_CONTACT,
  ENTRY_ENTRY_STATUS,
  ENTRY_REQUEST,
  ENTRY_RESPONSE,
  ENTRY_LOAD,
} EntryMessageType;

/* Bit of a message type in a plugin's subscriptions. */
#define ENTRY_SUBSCRIBE(type) (UINT64_C (1) << (type))

/* The platform's objects at one revision, without claims.  Immutable; shared by
 * talloc_reference or by a reference to the message. */
typedef struct
{
  uint64_t revision;
  size_t count;
  const DlObject *objects; /* sorted by kind, then by name */
} EntrySnapshot;

/* Returns the first object of KIND and stores the number of consecutive ones in COUNT. */
const DlObject *
entry_snapshot_kind (const EntrySnapshot *snapshot, const char *kind, size_t *count);
/* Returns the object, or NULL. */
const DlObject *
entry_snapshot_find (const EntrySnapshot *snapshot, const char *kind, const char *name);
/* Returns true when operators have taken the host out of rotation. */
bool entry_host_is_drained (const EntrySnapshot *snapshot, const char *host);

/* One attempt of a request: it is sent to one upstream at most. */
typedef struct
{
  const char *service;
  const char *organisation;
  const char *region; /* the caller's */
  const char *method;
  const char *path;
  const char *content_type;
  const char *request_id; /* unique to the attempt */
  const char *avoid;      /* upstream of the last failed attempt; NULL: none */
  unsigned priority;      /* 0: most urgent */
  bool model;
  bool single_use;         /* must not be sent more than once */
  DlDigest version;        /* version that the upstream must serve; zero: any */
  uint64_t prefix;         /* hash of the prompt's prefix; 0: none */
  uint32_t resume_from;    /* tokens that the caller already has */
  uint64_t dispatch_by_ms; /* dl_clock_ms from which on it must not be sent; 0: none */
  DlStr body;
} EntryRequest;

/* What a REQUEST message does to its attempt. */
typedef enum
{
  ENTRY_REQUEST_OPEN,   /* start it */
  ENTRY_REQUEST_CREDIT, /* allow more response bytes */
  ENTRY_REQUEST_CANCEL,
} EntryRequestKind;

/* What a RESPONSE message reports about its attempt. */
typedef enum
{
  ENTRY_RESPONSE_HEAD,
  ENTRY_RESPONSE_DATA,
  ENTRY_RESPONSE_END,
} EntryResponseKind;

/* A message between tasks; the type selects the member. */
typedef struct
{
  DlMessage base;
  union
  {
    /* SNAPSHOT: a new snapshot of the platform's objects. */
    struct
    {
      const EntrySnapshot *snapshot; /* talloc child of the message */
    } snapshot;
    /* FLEET: the fleet settings now in effect here, of a higher revision than before. */
    struct
    {
      uint64_t revision;
      const DlFleet *fleet; /* talloc child of the message */
      DlStr text;           /* as accepted, to forward to peers */
    } fleet;
    /* MEMBERS: a new host list. */
    struct
    {
      const DlMembers *members; /* talloc child of the message */
    } members;
    /* SLOT_STATUS: received from a slot on a relay or request connection.  When CONNECTED
     * is false, that connection was closed and only HOST is valid. */
    struct
    {
      bool connected;
      const char *host;
      const Daisyloft__Wire__SlotStatus *status; /* owned by the message's destructor */
    } slot_status;
    /* CONTACT: whether this entry is in contact with a source that knows the settings in
     * effect.  While it is not, it admits no new requests. */
    struct
    {
      bool in_contact;
      bool platform_reachable;
      uint64_t store_age_ms; /* since its source was last in contact with the platform */
    } contact;
    /* ENTRY_STATUS: received from another entry. */
    struct
    {
      const Daisyloft__Wire__EntryStatus *status; /* owned by the message's destructor */
    } entry_status;
    /* LOAD: number of callers' requests in progress at this entry; checked every second
     * and published when it changed. */
    struct
    {
      uint32_t running;
    } load;
    /* REQUEST: posted by callers to upstreams.  ID identifies the attempt; callers
     * chooses it. */
    struct
    {
      EntryRequestKind kind;
      uint64_t id;
      const EntryRequest *open; /* OPEN: talloc child of the message */
      uint32_t credit;          /* CREDIT: response bytes that were sent to the caller */
    } request;
    /* RESPONSE: posted by upstreams to callers.  END is the last one of an attempt. */
    struct
    {
      EntryResponseKind kind;
      uint64_t id;
      unsigned status;          /* HEAD */
      const char *content_type; /* HEAD: talloc child of the message */
      DlDigest version;         /* HEAD: version that responds; zero for plain services */
      DlStr data;               /* DATA: talloc child of the message */
      Daisyloft__Wire__EndReason reason; /* END */
      uint64_t retry_after_ms;           /* END */
      const char *upstream; /* END: talloc child of the message; NULL: never sent */
      const char *detail;   /* END: talloc child of the message */
    } response;
  };
} EntryMessage;

/* Returns how this process identifies itself to its peers; a static buffer. */
const DlIdentity *entry_identity (DlTask *task);

/* Returns the settings of the process. */
static inline const EntrySettings *
entry_settings (DlTask *task)
{
  return dl_kernel_settings (dl_task_kernel (task));
}

/* Kinds of platform objects.  Values are JSON objects; docs/DESIGN.md lists their keys.
 */
#define ENTRY_KIND_ROLLOUT "rollout" /* a rollout, by its name */
#define ENTRY_KIND_LEASE   "lease"   /* the lease on a rollout, by the rollout's name */
#define ENTRY_KIND_STATUS  "status"  /* a data centre's hosts; written by its relay */
#define ENTRY_KIND_VERSION "version" /* a published version, by its digest */
#define ENTRY_KIND_CLAIM   "claim"   /* a non-idempotent call; not in snapshots */
#define ENTRY_KIND_COMMAND "command" /* outcome of an operator's command, by its id */
#define ENTRY_KIND_DRAIN   "drain"   /* a host that operators took out of rotation */

/* Kinds that snapshots contain. */
#define ENTRY_SNAPSHOT_KINDS                                                           \
  ENTRY_KIND_ROLLOUT "," ENTRY_KIND_LEASE "," ENTRY_KIND_STATUS "," ENTRY_KIND_VERSION \
                     "," ENTRY_KIND_COMMAND "," ENTRY_KIND_DRAIN "," DL_FLEET_KIND

#endif
