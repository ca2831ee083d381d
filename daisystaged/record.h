/*
 * Keeps in the store which load of this host's engine was known last to be sound, for the
 * stager that starts next (policy/load_proof.h).
 */
#ifndef STAGE_RECORD_H
#define STAGE_RECORD_H

#include "kernel/object_client.h"
#include "node/node.h"
#include "policy/load_proof.h"

typedef struct StageRecord StageRecord;

/* Reads the record, which is published as STAGE_RECORD when it was read, and when it has
 * been written.  Returns a talloc child of OWNER; SETTINGS and STORE are not copied. */
StageRecord *stage_record_new (DlTask *task,
                               const void *owner,
                               const DlNodeSettings *settings,
                               DlObjectClient *store);
/* LOAD is known to be sound: records it, if it is not recorded yet. */
void stage_record_set (StageRecord *record, const DlSoundLoad *load);
/* The store may have lost the record: reads it again soon, and writes it if it has. */
void stage_record_check (StageRecord *record);
/* What the store has, as far as is known. */
const DlSoundLoad *stage_record_stored (const StageRecord *record);
/* True when no load waits to be recorded, or the store does not take it now. */
bool stage_record_may_end (const StageRecord *record);

#endif
