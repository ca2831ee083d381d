/*
 * What the programs of direct operation share: their settings.
 *
 * In direct operation entries send requests to upstreams without a slot between them, and
 * a stager on each upstream's host fetches weights and gives the engine its orders.  All
 * processes find each other in the platform's store.
 */
#ifndef DL_NODE_H
#define DL_NODE_H

#include "kernel/settings.h"

typedef struct
{
  const char *name;
  const char *region;
  const char *data_center;
  const char *address;   /* "IP:PORT" for datagrams and HTTP between nodes */
  const char *store;     /* "IP:PORT" of the platform's store */
  const char *listen;    /* of a direct entry: for requests */
  const char *ready;     /* the same: for questions whether it is ready */
  const char *directory; /* the same: for questions which entries to use */
  const char *metrics;   /* "IP:PORT" for counters and the dump; NULL for none */
  const char *engine;    /* of a stager: "IP:PORT" of the engine on its host */
  const char *service;   /* the same: the engine's service */
  bool json_logs;
  uint64_t revoke_ms;     /* a key that was taken away runs nothing after this long */
  uint64_t version_ms;    /* a named version is in force everywhere after this long */
  double grace_s;         /* time between the request to stop and the kill */
  uint64_t drain_ms;      /* the same less a reserve, worked out at start */
  double retry_ratio;     /* repeats per request that all entries together may send */
  double retry_slack;     /* repeats beyond it in a window */
  double directory_ttl_s; /* longest time that callers may keep the directory's answer */
} DlNodeSettings;

extern const DlSettingSpec dl_node_specs[];

/* Checks what single keys cannot show and works out drain_ms.  Returns 0 or -EINVAL with
 * *ERROR below CONTEXT. */
int dl_node_settings_check (const void *context,
                            DlNodeSettings *settings,
                            bool is_entry,
                            char **error);

#endif
