/*
 * Limits of upstreams in the status that entries send each other.
 *
 * Times travel as ages, as the nodes have no common clock.
 */
#ifndef DL_LIMIT_RECORD_H
#define DL_LIMIT_RECORD_H

#include <stdbool.h>

#include "kernel/wire.pb-c.h"

/* Records that entries tell each other at once. */
#define DL_LIMIT_RECORDS_MAX 16

/* What an entry tells of one upstream. */
typedef struct
{
  uint64_t upstream;  /* identifies the instance */
  double limit_per_s; /* or DL_RATE_NONE */
  uint64_t named_ms;  /* when the upstream told it so to this entry; 0: it did not */
  bool wants;         /* the entry has requests for the upstream's service */
} DlLimitRecord;

/* Records of one entry. */
typedef struct
{
  const char *entry; /* its address for requests */
  size_t count;
  DlLimitRecord items[DL_LIMIT_RECORDS_MAX];
} DlLimitRecords;

/* Adds as many of RECORDS to STATUS as leave it at most MAX_BYTES long when packed.  What
 * is added are talloc children of CONTEXT. */
void dl_limit_records_to_status (const void *context,
                                 const DlLimitRecords *records,
                                 size_t max_bytes,
                                 uint64_t now_ms,
                                 Daisyloft__Wire__NodeStatus *status);
/* Reads the limits of STATUS, which was received at NOW_MS; the entry is left out. */
void dl_limit_records_from_status (const Daisyloft__Wire__NodeStatus *status,
                                   uint64_t now_ms,
                                   DlLimitRecords *records);

/* True when A and B tell something else, apart from times. */
bool dl_limit_records_differ (const DlLimitRecords *a, const DlLimitRecords *b);

#endif
