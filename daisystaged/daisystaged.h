/*
 * daisystaged: loads new weights into the engine on its host.
 *
 * It runs three tasks, which exchange the messages declared here.  "state" watches the
 * platform's store and the other nodes and sends the nodes this node's status.  "engine"
 * polls the engine for reports.  "weights" fetches the chunks of the target version,
 * writes them to the engine's staging area and sends the engine the command to load them.
 */
#ifndef DAISYSTAGED_H
#define DAISYSTAGED_H

#include "kernel/kernel.h"
#include "node/holding.h"
#include "node/node.h"
#include "node/upstream_entry.h"
#include "policy/load_proof.h"

/* Types of messages between the tasks. */
typedef enum
{
  STAGE_SOURCE,        /* where weights come from, and what engines serve */
  STAGE_TARGET,        /* a new target version, or a better time of its announcement */
  STAGE_NO_TARGET,     /* the store was read and has no target version */
  STAGE_HOLDER,        /* another node reported which chunks it has */
  STAGE_NODE_REMOVED,  /* another node's registration was deleted or replaced */
  STAGE_ENGINE_REPORT, /* a report of the engine */
  STAGE_ENGINE_SILENT, /* the engine is unresponsive */
  STAGE_WEIGHTS,       /* this node's chunks, and whether its engine is to load */
  STAGE_EVACUATION,    /* whether this data centre is evacuated */
  STAGE_RECORD,        /* the last load that was known to be sound, as the store has it */
} StageMessageType;

/* Whether entries may send requests to the engine. */
typedef struct
{
  bool out_of_use;     /* it is being drained or loads, or its weights are spoilt */
  bool sound;          /* it has sound weights, if the next two are those of its report */
  uint64_t started_ms; /* wall clock at its start */
  uint64_t loads;      /* commands accepted since */
} StageEngineUse;

/* A message between the tasks.  The type in HEAD determines which member of the union is
 * set.  What the members point to is a talloc child of the message. */
typedef struct
{
  DlMessage head;
  union
  {
    DlWeightSource source;
    struct
    {
      const char *model;
      uint64_t version;
      uint64_t announced_ms; /* dl_clock_ms */
    } target;
    DlHolder holder;
    const char *removed_node; /* its name */
    DlEngineReport report;
    DlSoundLoad record;
    bool is_evacuated;
    struct
    {
      StageEngineUse use;
      bool changed; /* the chunks changed since the last message */
      DlHoldings holdings;
    } weights;
  };
} StageMessage;

/* Returns the settings, which live as long as the process. */
const DlNodeSettings *stage_settings (DlTask *task);
/* Returns a new message of TYPE, all else zero; the caller owns one reference. */
StageMessage *stage_message_new (StageMessageType type);

#endif
