/*
 * The decision when a slot orders its engine to load a version.
 *
 * Old weights serve until the new version is whole, verified and allowed to load.  Then
 * the slot leaves the rotation, waits for its requests in progress, orders the engine,
 * and returns to the rotation when the engine serves the version.  An engine may refuse
 * an order, forget it, or take it late, and some ignore fencing numbers: so an order is
 * given only under a directive that still holds, while in contact with a relay, and not
 * before a predecessor on the same host has stopped ordering.
 */
#ifndef DL_LOADER_H
#define DL_LOADER_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/crypt.h"

typedef enum
{
  DL_LOADER_IDLE,
  DL_LOADER_DRAINING, /* out of rotation; requests in progress finish */
  DL_LOADER_SENDING,  /* an order is on its way to the engine */
  DL_LOADER_LOADING,  /* the engine took the order */
} DlLoaderPhase;

/* What the slot knows, at one moment. */
typedef struct
{
  uint64_t now_ms;
  bool in_contact;
  uint64_t contact_since_ms; /* when the present state of contact began */
  bool stopping;
  bool has_directive;
  bool wanted;      /* the directive's rollout is distributing, loading or complete */
  bool may_load;    /* this host is in the wave */
  DlDigest version; /* of the directive */
  uint64_t fence;   /* of the directive */
  bool complete;    /* the version is whole and verified here */
  bool engine_reachable;
  DlDigest serving;      /* zero: none */
  DlDigest loading;      /* zero: none */
  uint64_t engine_fence; /* highest that the engine has seen, 0: none */
  uint32_t requests_running;
} DlLoaderFacts;

typedef enum
{
  DL_LOADER_NOTHING,
  DL_LOADER_SEND_LOAD, /* order the engine to load FACTS.version under FACTS.fence now */
} DlLoaderAction;

typedef struct
{
  /* Limits, in milliseconds. */
  uint64_t guard_ms; /* a predecessor may order this long after this slot's start */
  uint64_t drain_ms; /* longest wait for requests in progress */
  uint64_t
      command_timeout_ms; /* an order that shows no effect for this long was forgotten */
  uint64_t started_ms;
  uint64_t stepped_ms; /* last step; a long gap means that the process was paused */
  uint64_t resumed_ms; /* end of the last pause; 0: none */
  DlLoaderPhase phase;
  DlDigest version;  /* that is being loaded */
  uint64_t since_ms; /* start of the phase */
  uint64_t retry_at_ms;
  uint64_t retry_ms;   /* present back-off */
  const char *failure; /* static text; NULL: none */
} DlLoader;

void
dl_loader_init (DlLoader *loader, uint64_t now_ms, uint64_t guard_ms, uint64_t drain_ms);
/* Called on every change, and at least every DL_LOADER_STEP_MS. */
#define DL_LOADER_STEP_MS 250
DlLoaderAction dl_loader_step (DlLoader *loader, const DlLoaderFacts *facts);
/* The rollout grants this host a load anew: earlier failures no longer count. */
void dl_loader_reset_backoff (DlLoader *loader);
/* The engine's answer to an order: 0 taken, DL_ERR_FENCED, or another error.  With
 * DL_ERR_UNKNOWN the engine may have taken it; its state will tell. */
void dl_loader_command_done (DlLoader *loader, uint64_t now_ms, int error);
/* Whether new requests are taken now. */
bool dl_loader_accepts (const DlLoader *loader, const DlLoaderFacts *facts);

/* A gap between steps from which on the process counts as having been paused: what it
 * knew before no longer holds, and contact must begin anew before it orders. */
#define DL_LOADER_PAUSE_MS 2000

/* A slot that has heard no relay for this long takes no new requests. */
#define DL_LOADER_CONTACT_MS 5000

#endif
