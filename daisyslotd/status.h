/*
 * The slot's status message, built from what its tasks publish.
 */
#ifndef SLOT_STATUS_H
#define SLOT_STATUS_H

#include "daisyslotd.h"

/* What each task last published.  Strings belong to the context passed to
 * slot_facts_update. */
typedef struct
{
  const SlotSettings *settings;
  uint64_t incarnation;
  bool leaving;
  bool accepting; /* in rotation */
  uint64_t settings_revision;
  uint32_t requests_running;
  const SlotDirective *directive; /* NULL: none */
  DlDigest transfer_version;
  bool complete; /* all chunks of transfer_version are verified */
  uint32_t chunks_verified;
  uint32_t chunks_total;
  uint64_t origin_bytes;
  uint64_t region_bytes;
  uint64_t received_bytes;
  uint64_t duplicate_bytes;
  char *transfer_failure;
  bool engine_reachable;
  DlDigest serving;
  bool draining;
  bool loading;
  uint32_t engine_queued;
  uint32_t engine_capacity;
  char *engine_failure;
} SlotFacts;

/* Updates FACTS from a TRANSFER, ENGINE, LOAD, ROTATION or FLEET message; other messages
 * are ignored.  Strings become talloc children of CONTEXT. */
void
slot_facts_update (SlotFacts *facts, const void *context, const SlotMessage *message);
/* Builds the status message, a talloc child of CONTEXT.  It may outlive FACTS: what can
 * change is copied, the rest points into the settings. */
Daisyloft__Wire__SlotStatus *slot_facts_status (const SlotFacts *facts,
                                                const void *context);

#endif
