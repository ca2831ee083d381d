/*
 * Settings of the programs of direct operation.
 *
 * In direct operation entries send requests to upstreams without a slot between them, and
 * a stager on each upstream's host fetches weights and sends the engine its load
 * commands.  All processes find each other in the platform's store.
 */
#ifndef DL_NODE_H
#define DL_NODE_H

#include "kernel/settings.h"

/* Largest response of the store or of a node that reads it: four times a full page. */
#define DL_NODE_LIST_MAX_BYTES (4u << 20)

/* Callers' connections that an entry accepts at most. */
#define DL_NODE_CONNECTIONS_MAX 1500

/* Settings of one entry or stager. */
typedef struct
{
  const char *name; /* unique among all nodes */
  const char *region;
  const char *data_center;
  const char *address;   /* "IP:PORT" for datagrams and HTTP between nodes */
  const char *store;     /* "IP:PORT" of the platform's store */
  const char *listen;    /* entry: "IP:PORT" for callers' requests */
  const char *ready;     /* entry: "IP:PORT" for readiness checks */
  const char *directory; /* entry: "IP:PORT" where callers ask which entries to use */
  const char *metrics;   /* "IP:PORT" for counters and the dump; NULL for none */
  const char *engine;    /* stager: "IP:PORT" of the engine on its host */
  const char *service;   /* stager: the engine's service */
  bool json_logs;
  bool bootstrap;      /* the whole system starts for the first time */
  uint64_t revoke_ms;  /* a revoked key is refused everywhere after this long */
  uint64_t apply_ms;   /* a change of the routing table or of the upstreams that the store
                          accepts is in effect everywhere after this long */
  uint64_t version_ms; /* an announced version is in effect everywhere after this long */
  double grace_s;      /* time from the signal to stop until the process is killed */
  uint64_t drain_ms;   /* grace_s less a reserve; set by dl_node_settings_check */
  double retry_ratio;  /* retries per request that all entries together may send */
  double retry_slack;  /* retries that can accumulate, of all entries together */
  double directory_ttl_s; /* time for which callers may cache the directory's response */
  DlSettingList data_centers; /* of const char *, "NAME=REGION" */
  uint64_t evacuate_ms; /* an evacuated data centre's upstreams get nothing new after this
                           long; 0: data centres are not evacuated */
  double cold_overage;  /* as in DlColdBound */
  double cold_slack;    /* likewise; requests */
  double memory_mb;     /* of the host, for this process; 0: not known */
  /* Of an entry, as in DlHttpLimits; set by dl_node_settings_check when they are 0. */
  uint64_t held_bodies_bytes;
  uint64_t connections_max;
  uint64_t stall_ms;
  uint64_t arrival_ms;
} DlNodeSettings;

/* Describes DlNodeSettings to the settings reader. */
extern const DlSettingSpec dl_node_specs[];

/* The region of DATA_CENTER; NULL when it is not known.  It belongs to SETTINGS. */
const char *dl_node_region_of (const DlNodeSettings *settings, const char *data_center);

/* True when what cold upstreams get is bounded. */
bool dl_node_has_cold_bound (const DlNodeSettings *settings);

/* Checks that the keys which an entry or a stager needs are set, and computes drain_ms.
 * Returns 0, or -EINVAL with *ERROR, a talloc child of CONTEXT. */
int dl_node_settings_check (const void *context,
                            DlNodeSettings *settings,
                            bool is_entry,
                            char **error);

#endif
