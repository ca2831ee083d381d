/*
 * daisystaged: brings weights to the engine on its host.
 *
 * Tasks: "state" follows the platform's store and the other nodes and tells them of this
 * one, "engine" asks the engine how it is, "weights" fetches the chunks of the version
 * that was named, stages them beside the engine and orders the engine to take them.
 */
#ifndef DAISYSTAGED_H
#define DAISYSTAGED_H

#include "kernel/kernel.h"
#include "node/node.h"
#include "node/upstream_entry.h"

typedef enum
{
  STAGE_SOURCE,    /* where weights come from */
  STAGE_NAMED,     /* a version was named */
  STAGE_UNNAMED,   /* the store was read, and no version is named */
  STAGE_PEER,      /* another stager told what it holds */
  STAGE_PEER_GONE, /* another stager is not registered any more */
  STAGE_REPORT,    /* how the engine is */
  STAGE_SILENT,    /* the engine does not answer */
  STAGE_HOLDING,   /* what this stager holds and does */
} StageMessageType;

/* Versions that a stager holds chunks of at once: the one that it brings, and a newer one
 * that was named meanwhile. */
#define STAGE_HOLDINGS_MAX 2

/* Chunks of one version. */
typedef struct
{
  const char *model;
  uint64_t version;
  DlStr chunks; /* bitmap, from the lowest bit of the first byte on */
} StageHolding;

typedef struct
{
  size_t count;
  StageHolding items[STAGE_HOLDINGS_MAX];
} StageHoldings;

typedef struct
{
  DlMessage head;
  union
  {
    struct
    {
      const char *origin; /* "IP:PORT"; NULL when no service gives out weights */
      const char *model;  /* that the engines of this host's service serve, or NULL */
      unsigned layers;
      uint64_t draw_us; /* that the origin's link takes for one chunk; 0: not known */
    } source;
    struct
    {
      const char *model;
      uint64_t version;
      uint64_t learned_ms;
    } named;
    struct
    {
      const char *name;
      const char *region;
      const char *address;
      StageHoldings holdings;
    } peer;
    DlEngineReport report;
    struct
    {
      bool loading; /* the engine is about to take weights */
      bool changed; /* the chunks, since the last message */
      StageHoldings holdings;
    } holding;
  };
} StageMessage;

const DlNodeSettings *stage_settings (DlTask *task);
/* A new message of TYPE, zeroed otherwise. */
StageMessage *stage_message_new (StageMessageType type);
/* A copy of HOLDING, its texts and bytes below CONTEXT. */
StageHolding stage_holding_copy (const void *context, const StageHolding *holding);

#endif
