#include "node/limit_record.h"

#include <glib.h>
#include <math.h>
#include <talloc.h>

#include "node/peers.h"
#include "policy/rate_limit.h"

static Daisyloft__Wire__LimitRecord *
record_to_wire (const void *context, const DlLimitRecord *record, uint64_t now_ms)
{
  Daisyloft__Wire__LimitRecord *wire = talloc (context, Daisyloft__Wire__LimitRecord);

  daisyloft__wire__limit_record__init (wire);
  wire->upstream = record->upstream;
  wire->limited = record->limit_per_s >= 0;
  wire->limit_per_s = wire->limited ? record->limit_per_s : 0;
  wire->heard = record->named_ms != 0;
  wire->age_ms = wire->heard ? now_ms - record->named_ms : 0;
  wire->wants = record->wants;
  return wire;
}

void
dl_limit_records_to_status (const void *context,
                            const DlLimitRecords *records,
                            size_t max_bytes,
                            uint64_t now_ms,
                            Daisyloft__Wire__NodeStatus *status)
{
  status->n_limit_record = 0;
  status->limit_record
      = talloc_array (context, Daisyloft__Wire__LimitRecord *, DL_LIMIT_RECORDS_MAX);
  for (size_t i = 0; i < records->count; i++)
    status->limit_record[status->n_limit_record++]
        = record_to_wire (context, &records->items[i], now_ms);
  dl_peer_status_trim (status, &status->n_limit_record, max_bytes);
}

static DlLimitRecord
record_from_wire (const Daisyloft__Wire__LimitRecord *wire, uint64_t now_ms)
{
  bool is_limit = wire->limited && isfinite (wire->limit_per_s) && wire->limit_per_s >= 0;

  return (DlLimitRecord){
    .upstream = wire->upstream,
    .limit_per_s = is_limit ? wire->limit_per_s : DL_RATE_NONE,
    .named_ms = wire->heard && now_ms > wire->age_ms ? now_ms - wire->age_ms : 0,
    .wants = wire->wants,
  };
}

void
dl_limit_records_from_status (const Daisyloft__Wire__NodeStatus *status,
                              uint64_t now_ms,
                              DlLimitRecords *records)
{
  records->count = MIN (status->n_limit_record, DL_LIMIT_RECORDS_MAX);
  for (size_t i = 0; i < records->count; i++)
    records->items[i] = record_from_wire (status->limit_record[i], now_ms);
}

bool
dl_limit_records_differ (const DlLimitRecords *a, const DlLimitRecords *b)
{
  if (a->count != b->count)
    return true;
  for (size_t i = 0; i < a->count; i++)
    {
      const DlLimitRecord *x = &a->items[i];
      const DlLimitRecord *y = &b->items[i];

      if (x->upstream != y->upstream || x->limit_per_s != y->limit_per_s
          || x->wants != y->wants)
        return true;
    }
  return false;
}
