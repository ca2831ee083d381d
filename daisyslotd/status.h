/*
 * The slot's report of itself, put together from what its tasks publish.
 */
#ifndef SLOT_STATUS_H
#define SLOT_STATUS_H

#include "daisyslotd.h"

/* The last word of each task. */
typedef struct
{
  const SlotSettings *settings;
  uint64_t incarnation;
  bool leaving;
  bool accepting; /* takes new requests */
  uint64_t settings_revision;
  uint32_t requests_running;
  const SlotDirective *directive; /* NULL: none */
  DlDigest transfer_version;
  bool whole;
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

/* Takes a TRANSFER, ENGINE, LOAD, ROTATION or FLEET message into FACTS, whose texts are
 * below CONTEXT.  Other messages are passed over. */
void slot_facts_take (SlotFacts *facts, const void *context, const SlotMessage *message);
/* The report below CONTEXT.  It owns what may change; the rest points into the settings,
 * so that it may outlive FACTS' present state. */
Daisyloft__Wire__SlotStatus *slot_facts_status (const SlotFacts *facts,
                                                const void *context);

#endif
