/*
 * State shared by the source files of the quarantine: quarantine_judge.c finds the
 * signatures to quarantine, quarantine_exchange.c tells other entries and is told by
 * them, quarantine.c does the rest.
 */
#ifndef DL_QUARANTINE_PRIVATE_H
#define DL_QUARANTINE_PRIVATE_H

#include <glib.h>

#include "policy/quarantine.h"
#include "policy/served_table.h"

#define QUARANTINE_BREAKS_MAX 64
#define QUARANTINE_FARES_MAX  32
/* More requests that were served do not add to the evidence that a signature needs. */
#define QUARANTINE_SERVED_COUNT_MAX 1000

/* Requests that broke off at one upstream. */
typedef struct
{
  uint64_t upstream;
  uint64_t fare;
  uint64_t at_ms;
  unsigned requests;
} QuarantineBreak;

/* Requests of one kind that were served. */
typedef struct
{
  uint64_t fare; /* 0: free */
  DlServedCount served;
} QuarantineFare;

struct DlQuarantine
{
  GHashTable *records; /* signature text to DlSignatureRecord */
  size_t whole_count;  /* of these, those of whole requests */
  DlServedTable *served_table;
  QuarantineBreak breaks[QUARANTINE_BREAKS_MAX];
  size_t next_break;
  QuarantineFare fares[QUARANTINE_FARES_MAX];
  uint64_t crashed_ms; /* newest crash of any signature */
  int position;
  unsigned entries;
  bool changed;
};

/* The record of ID, made when there is none. */
DlSignatureRecord *
quarantine_get_record (DlQuarantine *q, const DlSignature *id, uint64_t now_ms);
/* Adds a crash to the record; returns false for one that is known. */
bool quarantine_note_crash (DlQuarantine *q,
                            DlSignatureRecord *record,
                            DlSignatureCrash crash);
/* What this entry saw of the signature is told to the others, at once and again. */
void quarantine_will_tell (DlQuarantine *q, DlSignatureRecord *record, uint64_t now_ms);
/* Releases the signature if a request with it was served after its last crash, and notes
 * it. */
void quarantine_release_if_served (DlSignatureRecord *record,
                                   uint64_t now_ms,
                                   DlQuarantineNews *news);

/* Releases the signature if a request with it was served after its last crash.  Returns
 * true when it was quarantined before. */
bool quarantine_release_served (DlSignatureRecord *record);
/* Adds a crash to the record, in the order of time and in place of the oldest one when
 * there are too many.  Returns false for one that is known. */
bool quarantine_add_crash (DlSignatureRecord *record, DlSignatureCrash crash);
/* A quarantined signature was in another crash; IS_TRIAL: with a request that was a
 * trial.
 */
void quarantine_extend_hold (DlSignatureRecord *record, bool is_trial, uint64_t now_ms);
/* Crashes of the record's signature after which no request with it was served. */
unsigned quarantine_count_crashes (const DlSignatureRecord *record);
/* When its last crash was; 0 when there was none. */
uint64_t quarantine_newest_crash_ms (const DlSignatureRecord *record);
/* Notes that a request broke off. */
void quarantine_note_break (DlQuarantine *q, const DlFate *fate, uint64_t now_ms);
/* Notes that a request with the signature was served. */
void quarantine_count_served (DlServedCount *count, uint64_t now_ms);
/* Notes that a request of the kind FARE was served. */
void quarantine_count_fare (DlQuarantine *q, uint64_t fare, uint64_t now_ms);

#endif
