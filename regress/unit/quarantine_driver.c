#include "quarantine_driver.h"

#include <talloc.h>

#include "node/signature_record.h"
#include "unit.h"

/* Bytes that a status datagram has for the records. */
#define RECORDS_MAX_BYTES 1200

DlSignatures
quarantine_parts (const char *first, const char *second)
{
  DlSignatures parts = { 0 };

  dl_signatures_add_part (&parts, dl_str (first));
  dl_signatures_add_part (&parts, dl_str (second));
  return parts;
}

void
quarantine_tell (DlQuarantine *from,
                 DlQuarantine *to,
                 uint64_t sent_ms,
                 uint64_t received_ms)
{
  void *context = talloc_new (NULL);
  Daisyloft__Wire__NodeStatus status = DAISYLOFT__WIRE__NODE_STATUS__INIT;
  DlSignatureRecords records;
  DlQuarantineNews news;

  dl_quarantine_export (from, sent_ms, &records);
  dl_signature_records_to_status (context, &records, RECORDS_MAX_BYTES, sent_ms, &status);
  CU_ASSERT_TRUE (daisyloft__wire__node_status__get_packed_size (&status)
                  <= RECORDS_MAX_BYTES);
  dl_signature_records_from_status (&status, received_ms, &records);
  dl_quarantine_merge (to, &records, received_ms, &news);
  dl_quarantine_judge (to, received_ms + DL_QUARANTINE_SETTLE_MS, &news);
  talloc_free (context);
}
