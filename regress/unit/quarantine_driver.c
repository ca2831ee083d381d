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

DlSignatures
quarantine_whole (const char *body)
{
  DlRequestIdentity identity = {
    .host = DL_STR_LITERAL ("x.example"),
    .path = DL_STR_LITERAL ("/a"),
    .caller = DL_STR_LITERAL ("org"),
    .body = dl_str (body),
  };

  return (DlSignatures){ .count = 1, .ids = { dl_request_signature (&identity) } };
}

void
quarantine_serve (DlQuarantine *q,
                  const DlSignatures *signatures,
                  uint64_t now_ms,
                  DlQuarantineNews *news)
{
  DlFate fate = { .signatures = signatures, .fare = DL_QUARANTINE_FARE_PARTS };

  dl_quarantine_served (q, &fate, now_ms, news);
}

void
quarantine_break_off (DlQuarantine *q,
                      const DlSignatures *signatures,
                      uint64_t upstream,
                      bool is_trial,
                      uint64_t now_ms)
{
  DlFate fate = {
    .signatures = signatures,
    .fare = DL_QUARANTINE_FARE_PARTS,
    .upstream = upstream,
    .is_trial = is_trial,
  };

  dl_quarantine_broken_off (q, &fate, now_ms);
}

void
quarantine_expire (DlQuarantine *q, uint64_t now_ms)
{
  DlQuarantineNews news;

  dl_quarantine_expire (q, now_ms, &news);
}

GBytes *
quarantine_pack (const DlQuarantine *from, uint64_t now_ms)
{
  void *context = talloc_new (NULL);
  Daisyloft__Wire__NodeStatus status = DAISYLOFT__WIRE__NODE_STATUS__INIT;
  DlSignatureRecords records;
  uint8_t bytes[RECORDS_MAX_BYTES];
  size_t length;

  dl_quarantine_export (from, now_ms, &records);
  dl_signature_records_to_status (context, &records, RECORDS_MAX_BYTES, now_ms, &status);
  length = daisyloft__wire__node_status__get_packed_size (&status);
  CU_ASSERT_TRUE_FATAL (length <= sizeof bytes);
  daisyloft__wire__node_status__pack (&status, bytes);
  talloc_free (context);
  return g_bytes_new (bytes, length);
}

void
quarantine_unpack (DlQuarantine *to, GBytes *packed, uint64_t now_ms)
{
  size_t length;
  const uint8_t *bytes = g_bytes_get_data (packed, &length);
  Daisyloft__Wire__NodeStatus *status
      = daisyloft__wire__node_status__unpack (NULL, length, bytes);
  DlSignatureRecords records;
  DlQuarantineNews news;

  CU_ASSERT_PTR_NOT_NULL_FATAL (status);
  dl_signature_records_from_status (status, now_ms, &records);
  dl_quarantine_merge (to, &records, now_ms, &news);
  daisyloft__wire__node_status__free_unpacked (status, NULL);
}

void
quarantine_tell (DlQuarantine *from,
                 DlQuarantine *to,
                 uint64_t sent_ms,
                 uint64_t received_ms)
{
  GBytes *packed = quarantine_pack (from, sent_ms);
  DlQuarantineNews news;

  quarantine_unpack (to, packed, received_ms);
  dl_quarantine_judge (to, received_ms + DL_QUARANTINE_SETTLE_MS, &news);
  g_bytes_unref (packed);
}
