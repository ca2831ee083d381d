/*
 * daisystaged: loads new weights into the engine on its host.
 *
 * Tasks: "state" follows the platform's store and the other nodes and sends them this
 * node's status, "engine" polls the engine for reports, "weights" fetches the chunks of
 * the target version, writes them to the engine's staging area and sends the engine the
 * command to load them.
 */
#ifndef DAISYSTAGED_H
#define DAISYSTAGED_H

#include "kernel/kernel.h"
#include "node/holding.h"
#include "node/node.h"
#include "node/upstream_entry.h"

typedef enum
{
  STAGE_SOURCE,        /* where weights come from, and what engines serve */
  STAGE_TARGET,        /* a new target version, or a better time of its announcement */
  STAGE_NO_TARGET,     /* the store was read and has no target version */
  STAGE_HOLDER,        /* what another node holds */
  STAGE_NODE_REMOVED,  /* another node's registration was deleted or replaced */
  STAGE_ENGINE_REPORT, /* a report of the engine */
  STAGE_ENGINE_SILENT, /* the engine does not answer */
  STAGE_HOLDING,       /* what this node holds, and whether its engine is to load */
} StageMessageType;

typedef struct
{
  DlMessage head;
  union
  {
    DlWeightSource source; /* strings below the message */
    struct
    {
      const char *model;
      uint64_t version;
      uint64_t announced_ms;
    } target;
    DlHolder holder;          /* strings below the message */
    const char *removed_node; /* its name */
    DlEngineReport report;
    struct
    {
      bool loading; /* the engine gets no new requests, in order to load */
      bool changed; /* the chunks changed since the last message */
      DlHoldings holdings;
    } holding;
  };
} StageMessage;

/* Settings, which live as long as the process. */
const DlNodeSettings *stage_settings (DlTask *task);
/* Returns a new message of TYPE, with all other fields zero. */
StageMessage *stage_message_new (StageMessageType type);

#endif
