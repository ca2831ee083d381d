/*
 * State shared by the source files of the quarantine: quarantine_judge.c finds the parts
 * to quarantine, quarantine.c does the rest.
 */
#ifndef DL_QUARANTINE_PRIVATE_H
#define DL_QUARANTINE_PRIVATE_H

#include <glib.h>

#include "policy/quarantine.h"

#define QUARANTINE_BREAKS_MAX 64

/* Requests that broke off at one upstream. */
typedef struct
{
  uint64_t upstream;
  uint64_t at_ms;
  unsigned requests;
} QuarantineBreak;

struct DlQuarantine
{
  GHashTable *records; /* id text to DlSignatureRecord */
  QuarantineBreak breaks[QUARANTINE_BREAKS_MAX];
  size_t next_break;
  DlServedCount served; /* of all requests */
  uint64_t crashed_ms;  /* newest crash of any part */
  int position;
  unsigned entries;
  bool changed;
};

/* Releases the part if a request with it was served after its last crash.  Returns true
 * when it was quarantined before. */
bool quarantine_release_served (DlSignatureRecord *record);
/* Adds a crash to the record, in the order of time and in place of the oldest one when
 * there are too many.  Returns false for one that is known. */
bool quarantine_add_crash (DlSignatureRecord *record, DlSignatureCrash crash);
/* A quarantined part was in another crash; IS_TRIAL: with a request that was a trial. */
void quarantine_extend_hold (DlSignatureRecord *record, bool is_trial, uint64_t now_ms);
/* Crashes of the record's part after which no request with it was served. */
unsigned quarantine_count_crashes (const DlSignatureRecord *record);
/* When its last crash was; 0 when there was none. */
uint64_t quarantine_newest_crash_ms (const DlSignatureRecord *record);
/* Notes that a request broke off at UPSTREAM. */
void quarantine_note_break (DlQuarantine *q, uint64_t upstream, uint64_t now_ms);
/* Notes that a request was served. */
void quarantine_count_served (DlServedCount *count, uint64_t now_ms);

#endif
