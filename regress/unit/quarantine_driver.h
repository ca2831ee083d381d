/* What the tests of the quarantine share. */
#ifndef QUARANTINE_DRIVER_H
#define QUARANTINE_DRIVER_H

#include <glib.h>

#include "policy/quarantine.h"
#include "policy/signature.h"

/* The parts of a prompt. */
DlSignatures quarantine_parts (const char *first, const char *second);
/* A request without a prompt that differs from others in its body. */
DlSignatures quarantine_whole (const char *body);
/* A request at a service with engines was served. */
void quarantine_serve (DlQuarantine *q,
                       const DlSignatures *signatures,
                       uint64_t now_ms,
                       DlQuarantineNews *news);
/* UPSTREAM broke off a request at a service with engines. */
void quarantine_break_off (DlQuarantine *q,
                           const DlSignatures *signatures,
                           uint64_t upstream,
                           bool is_trial,
                           uint64_t now_ms);
/* Forgets what is too old to matter. */
void quarantine_expire (DlQuarantine *q, uint64_t now_ms);
/* The records of FROM as they travel at NOW_MS. */
GBytes *quarantine_pack (const DlQuarantine *from, uint64_t now_ms);
/* Merges records that quarantine_pack returned. */
void quarantine_unpack (DlQuarantine *to, GBytes *packed, uint64_t now_ms);
/* Merges the records of FROM into TO and judges. */
void quarantine_tell (DlQuarantine *from,
                      DlQuarantine *to,
                      uint64_t sent_ms,
                      uint64_t received_ms);

#endif
