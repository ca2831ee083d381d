/*
 * Which whole requests were served lately, in a fixed amount of memory.
 *
 * Keys are 64 bits of a request's signature, so that none is taken for another one. Where
 * there is no room, what was served longest ago is forgotten first.
 *
 * Pure: times are milliseconds given by the caller.
 */
#ifndef DL_SERVED_TABLE_H
#define DL_SERVED_TABLE_H

#include <stdint.h>

#include "policy/signature.h"

/* That a request was served is remembered for so long. */
#define DL_SERVED_TABLE_MS 30000

typedef struct DlServedTable DlServedTable;

/* How often and when a request was served. */
typedef struct
{
  uint64_t served_ms; /* the last time; 0: not known */
  unsigned count;     /* lately, up to a maximum */
} DlServedLately;

/* Returns an empty table, a talloc child of CONTEXT. */
DlServedTable *dl_served_table_new (const void *context);
/* Notes that the request with SIGNATURE was served. */
void
dl_served_table_add (DlServedTable *table, const DlSignature *signature, uint64_t now_ms);
/* What is known of the request with SIGNATURE. */
DlServedLately dl_served_table_find (const DlServedTable *table,
                                     const DlSignature *signature,
                                     uint64_t now_ms);

#endif
