/*
 * Records of signatures in the status that entries send each other.
 *
 * Times travel as ages, as the nodes have no common clock.
 */
#ifndef DL_SIGNATURE_RECORD_H
#define DL_SIGNATURE_RECORD_H

#include "kernel/wire.pb-c.h"
#include "policy/quarantine.h"

/* Adds as many of RECORDS to STATUS as leave it at most MAX_BYTES long when packed.  What
 * is added are talloc children of CONTEXT. */
void dl_signature_records_to_status (const void *context,
                                     const DlSignatureRecords *records,
                                     size_t max_bytes,
                                     uint64_t now_ms,
                                     Daisyloft__Wire__NodeStatus *status);
/* Reads the records of STATUS, which was received at NOW_MS. */
void dl_signature_records_from_status (const Daisyloft__Wire__NodeStatus *status,
                                       uint64_t now_ms,
                                       DlSignatureRecords *records);

#endif
