/*
 * daisyentryd: the entry.  Its tasks and the messages between them.
 *
 *   replica    watches the platform's objects; publishes SNAPSHOT and FLEET
 *   members    reads the host list or learns it from relays; publishes MEMBERS
 *   relay      framed listener; passes members, settings and directives on to the slots
 *              and entries of its data centre, collects their status
 *   steer      steers rollouts under leases
 *   upstreams  connections to slots for requests; publishes SLOT_STATUS; carries requests
 *   callers    the callers' HTTP listener: addresses, admission, requests, claims
 *   operators  the operators' HTTP listener: queries, commands, dump, metrics
 */
#ifndef DAISYENTRYD_H
#define DAISYENTRYD_H

#include "kernel/crypt.h"
#include "kernel/fleet.h"
#include "kernel/frame.h"
#include "kernel/kernel.h"
#include "kernel/members.h"
#include "kernel/object_client.h"

/* daisyentryd.json(5) */
typedef struct
{
  const char *name;
  const char *region;
  const char *data_center;
  const char *listen;            /* framed connections */
  const char *advertise;         /* address told to peers; LISTEN when absent */
  const char *callers_listen;    /* HTTP for callers */
  const char *callers_advertise; /* address told to callers */
  const char *operators_listen;  /* HTTP for operators */
  const char *platform;          /* the object API and host list, "IP:PORT" */
  const char *fleet_key;         /* shared by the system's own processes */
  const char *operator_key;      /* shared with operators */
  DlSettingList seeds;           /* addresses of entries, for a start without platform */
  bool json_logs;
  uint64_t drain_ms;
  uint64_t platform_timeout_ms;
  uint64_t host_list_interval_ms;
  uint64_t lease_ms;
  uint64_t claim_keep_ms;  /* claims of calls that ended */
  uint64_t max_callers;    /* caller connections */
  uint64_t max_body_bytes; /* of a caller's request */
} EntrySettings;

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

#define ENTRY_SUBSCRIBE(type) (UINT64_C (1) << (type))

/* The platform's objects at one revision, but for claims.  Immutable; shared by
 * talloc_reference or by holding the message. */
typedef struct
{
  uint64_t revision;
  size_t count;
  const DlObject *objects; /* sorted by kind, then name */
} EntrySnapshot;

/* First object of KIND, then how many there are. */
const DlObject *
entry_snapshot_kind (const EntrySnapshot *snapshot, const char *kind, size_t *count);
const DlObject *
entry_snapshot_find (const EntrySnapshot *snapshot, const char *kind, const char *name);
/* True when operators have taken the host out of rotation. */
bool entry_host_is_drained (const EntrySnapshot *snapshot, const char *host);

/* One try of a request at one upstream. */
typedef struct
{
  const char *service;
  const char *organisation;
  const char *region; /* the caller's */
  const char *method;
  const char *path;
  const char *content_type;
  const char *request_id; /* differs with every try */
  const char *avoid;      /* upstream that failed the try before; NULL for none */
  unsigned priority;      /* 0: most urgent */
  bool model;
  bool single_use;         /* must not be sent twice */
  DlDigest version;        /* upstreams of no other version will do; zero: any */
  uint64_t prefix;         /* hash of the prompt's prefix; 0: none */
  uint32_t resume_from;    /* tokens that the caller already has */
  uint64_t dispatch_by_ms; /* dl_clock_ms after which it must not be sent; 0: none */
  DlStr body;
} EntryRequest;

typedef enum
{
  ENTRY_REQUEST_OPEN,
  ENTRY_REQUEST_CREDIT,
  ENTRY_REQUEST_CANCEL,
} EntryRequestKind;

typedef enum
{
  ENTRY_RESPONSE_HEAD,
  ENTRY_RESPONSE_DATA,
  ENTRY_RESPONSE_END,
} EntryResponseKind;

typedef struct
{
  DlMessage base;
  union
  {
    /* SNAPSHOT: a newer one; AGE_MS is how long ago the platform last answered. */
    struct
    {
      const EntrySnapshot *snapshot; /* talloc child of the message */
    } snapshot;
    /* FLEET: the fleet settings now in force here, of a higher revision than before. */
    struct
    {
      uint64_t revision;
      const DlFleet *fleet; /* talloc child of the message */
      DlStr text;           /* as accepted, for passing on */
    } fleet;
    struct
    {
      const DlMembers *members; /* talloc child of the message */
    } members;
    /* SLOT_STATUS: from a relay's or a request connection; CONNECTED false says that the
     * connection the status came by is gone, and only HOST holds. */
    struct
    {
      bool connected;
      const char *host;
      const Daisyloft__Wire__SlotStatus *status; /* owned by the message's destructor */
    } slot_status;
    /* CONTACT: whether this entry hears anybody who knows the settings in force.  While
     * not, it admits no new requests. */
    struct
    {
      bool in_contact;
      bool platform_reachable;
      uint64_t
          store_age_ms; /* since this entry's source was in touch with the platform */
    } contact;
    struct
    {
      const Daisyloft__Wire__EntryStatus *status; /* owned by the message's destructor */
    } entry_status;
    /* LOAD: callers' requests in progress at this entry, each second when it changed. */
    struct
    {
      uint32_t running;
    } load;
    /* REQUEST: posted to upstreams.  ID names the try; callers choose it. */
    struct
    {
      EntryRequestKind kind;
      uint64_t id;
      const EntryRequest *open; /* OPEN: talloc child of the message */
      uint32_t credit;          /* CREDIT: response bytes that the caller took */
    } request;
    /* RESPONSE: posted to callers.  Nothing follows END. */
    struct
    {
      EntryResponseKind kind;
      uint64_t id;
      unsigned status;                   /* HEAD */
      const char *content_type;          /* HEAD: talloc child of the message */
      DlDigest version;                  /* HEAD: that answers; zero for plain services */
      DlStr data;                        /* DATA: talloc child of the message */
      Daisyloft__Wire__EndReason reason; /* END */
      uint64_t retry_after_ms;           /* END */
      const char *upstream; /* END: talloc child of the message; NULL: never handed on */
      const char *detail;   /* END: talloc child of the message */
    } response;
  };
} EntryMessage;

/* This process to its peers. */
const DlIdentity *entry_identity (DlTask *task);
static inline const EntrySettings *
entry_settings (DlTask *task)
{
  return dl_kernel_settings (dl_task_kernel (task));
}

/* Kinds of platform objects.  Values are JSON objects; docs/DESIGN.md lists their keys.
 */
#define ENTRY_KIND_ROLLOUT "rollout" /* one for each rollout, by name */
#define ENTRY_KIND_LEASE   "lease"   /* one for each steered rollout, by its name */
#define ENTRY_KIND_STATUS  "status"  /* one for each data centre, written by its relay */
#define ENTRY_KIND_VERSION "version" /* published versions: one for each digest */
#define ENTRY_KIND_CLAIM   "claim"   /* non-idempotent calls; not in snapshots */
#define ENTRY_KIND_COMMAND "command" /* outcome of operators' commands, by command id */
#define ENTRY_KIND_DRAIN   "drain"   /* hosts that operators take out of rotation */
#define ENTRY_WATCHED_KINDS                                                            \
  ENTRY_KIND_ROLLOUT "," ENTRY_KIND_LEASE "," ENTRY_KIND_STATUS "," ENTRY_KIND_VERSION \
                     "," ENTRY_KIND_COMMAND "," ENTRY_KIND_DRAIN "," DL_FLEET_KIND

#endif
