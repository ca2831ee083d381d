#include "node/signature_record.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "node/peers.h"

/* The newest crashes of a signature are told; the others know the rest from before. */
#define TOLD_CRASHES_MAX 8

/* The time AGE_MS ago; 1 at the earliest, as 0 stands for "never". */
static uint64_t
time_of_age (uint64_t age_ms, uint64_t now_ms)
{
  return now_ms > age_ms ? now_ms - age_ms : 1;
}

/* How long ago AT_MS was; 0 for a time to come. */
static uint64_t
age_of_time (uint64_t at_ms, uint64_t now_ms)
{
  return now_ms > at_ms ? now_ms - at_ms : 0;
}

static Daisyloft__Wire__SignatureRecord *
record_to_wire (const void *context, const DlSignatureRecord *record, uint64_t now_ms)
{
  Daisyloft__Wire__SignatureRecord *wire
      = talloc (context, Daisyloft__Wire__SignatureRecord);
  Daisyloft__Wire__SignatureCrash *crashes
      = talloc_array (wire, Daisyloft__Wire__SignatureCrash, TOLD_CRASHES_MAX);
  size_t first = record->crash_count > TOLD_CRASHES_MAX
                     ? record->crash_count - TOLD_CRASHES_MAX
                     : 0;

  daisyloft__wire__signature_record__init (wire);
  wire->id = talloc_strdup (wire, record->id.text);
  wire->served = record->served_ms != 0;
  wire->served_age_ms = wire->served ? age_of_time (record->served_ms, now_ms) : 0;
  wire->quarantined = record->hold_ms != 0;
  wire->level = record->level;
  wire->served_count = record->served_count;
  wire->broken_count = record->broken_count;
  wire->trials = record->trials;
  wire->partless = record->is_partless;
  wire->came_age_ms
      = record->came_ms != 0 ? 1 + age_of_time (record->came_ms, now_ms) : 0;
  wire->hold_ms = record->hold_ms > now_ms ? record->hold_ms - now_ms : 0;
  wire->crash = talloc_array (wire, Daisyloft__Wire__SignatureCrash *, TOLD_CRASHES_MAX);
  wire->n_crash = record->crash_count - first;
  for (size_t i = 0; i < wire->n_crash; i++)
    {
      const DlSignatureCrash *crash = &record->crashes[first + i];

      daisyloft__wire__signature_crash__init (&crashes[i]);
      crashes[i].upstream = crash->upstream;
      crashes[i].age_ms = (uint32_t)age_of_time (crash->at_ms, now_ms);
      wire->crash[i] = &crashes[i];
    }
  return wire;
}

void
dl_signature_records_to_status (const void *context,
                                const DlSignatureRecords *records,
                                size_t max_bytes,
                                uint64_t now_ms,
                                Daisyloft__Wire__NodeStatus *status)
{
  status->n_signature_record = 0;
  status->signature_record = talloc_array (context, Daisyloft__Wire__SignatureRecord *,
                                           DL_SIGNATURE_RECORDS_MAX);
  for (size_t i = 0; i < records->count; i++)
    status->signature_record[status->n_signature_record++]
        = record_to_wire (context, &records->items[i], now_ms);
  dl_peer_status_trim (status, &status->n_signature_record, max_bytes);
}

static void
record_from_wire (const Daisyloft__Wire__SignatureRecord *wire,
                  uint64_t now_ms,
                  DlSignatureRecord *record)
{
  *record = (DlSignatureRecord){ .id = dl_signature_from_text (dl_str (wire->id)) };
  if (wire->served)
    record->served_ms = time_of_age (wire->served_age_ms, now_ms);
  record->level = wire->level;
  record->served_count = wire->served_count;
  record->broken_count = wire->broken_count;
  record->trials = wire->trials;
  record->is_partless = wire->partless;
  if (wire->came_age_ms != 0)
    record->came_ms = time_of_age (wire->came_age_ms, now_ms);
  if (wire->quarantined)
    record->hold_ms = now_ms + MIN (wire->hold_ms, DL_QUARANTINE_HOLD_MAX_MS);
  for (size_t i = 0; i < MIN (wire->n_crash, DL_SIGNATURE_CRASHES_MAX); i++)
    record->crashes[record->crash_count++] = (DlSignatureCrash){
      .upstream = wire->crash[i]->upstream,
      .at_ms = time_of_age (wire->crash[i]->age_ms, now_ms),
    };
}

void
dl_signature_records_from_status (const Daisyloft__Wire__NodeStatus *status,
                                  uint64_t now_ms,
                                  DlSignatureRecords *records)
{
  records->count = MIN (status->n_signature_record, DL_SIGNATURE_RECORDS_MAX);
  for (size_t i = 0; i < records->count; i++)
    record_from_wire (status->signature_record[i], now_ms, &records->items[i]);
}
