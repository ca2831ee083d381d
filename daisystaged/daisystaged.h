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
#include "node/holding.h"
#include "node/node.h"
#include "node/upstream_entry.h"

typedef enum
{
  STAGE_SOURCE,  /* where weights come from */
  STAGE_NAMED,   /* a version was named */
  STAGE_UNNAMED, /* the store was read, and no version is named */
  STAGE_HOLDER,  /* another node told what it holds */
  STAGE_GONE,    /* another node is not registered any more */
  STAGE_REPORT,  /* how the engine is */
  STAGE_SILENT,  /* the engine does not answer */
  STAGE_HOLDING, /* what this stager holds and does */
} StageMessageType;

typedef struct
{
  DlMessage head;
  union
  {
    DlWeightSource source; /* texts below the message */
    struct
    {
      const char *model;
      uint64_t version;
      uint64_t announced_ms;
    } named;
    DlHolder holder;  /* texts below the message */
    const char *gone; /* name of a node */
    DlEngineReport report;
    struct
    {
      bool loading; /* the engine is about to take weights */
      bool changed; /* the chunks, since the last message */
      DlHoldings holdings;
    } holding;
  };
} StageMessage;

const DlNodeSettings *stage_settings (DlTask *task);
/* A new message of TYPE, zeroed otherwise. */
StageMessage *stage_message_new (StageMessageType type);

#endif
