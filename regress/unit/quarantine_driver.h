/* What the tests of the quarantine share. */
#ifndef QUARANTINE_DRIVER_H
#define QUARANTINE_DRIVER_H

#include "policy/signature.h"
#include "policy/quarantine.h"

/* The parts of a prompt. */
DlSignatures quarantine_parts (const char *first, const char *second);
/* Merges the records of FROM into TO through a packed status. */
void quarantine_tell (DlQuarantine *from,
                      DlQuarantine *to,
                      uint64_t sent_ms,
                      uint64_t received_ms);

#endif
