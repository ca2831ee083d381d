/*
 * Quarantine of requests that crash the upstreams that process them.
 *
 * A request is known by its signatures: that of the whole request, which comes again, and
 * those of its prompt's parts, which other requests have too.  When an upstream crashes,
 * all of its requests break off, so that one crash says little about them.
 *
 * A part is judged by how it fares against the others: every crash that it was in since a
 * request with it was last served counts, by how improbable it is that a request without
 * the part breaks off at the same time.  Crashes at the same moment, as of a lost rack,
 * count once.  So a part that many requests share is cleared by those that are served,
 * and faults that end requests of all kinds blame none.  A part that was served before
 * needs more evidence than one that never was.  Of several parts that were in the same
 * crashes, the one that fewer requests have is quarantined first, and explains those
 * crashes as long as it is.
 *
 * A whole request that was never served, as far as is remembered, is quarantined after
 * three crashes, however others fare.  Crashes at the same moment count once if upstreams
 * without the request were lost then too.  One that was served lately is judged as parts
 * are.
 *
 * Requests with a quarantined signature are refused.  After a hold, which is longer after
 * more crashes, one request is a trial: the signature is released if that is served, and
 * held three times as long if its upstream crashes.  Of a whole request no more than
 * DL_QUARANTINE_TRIALS_MAX trials are sent by all entries together; after them it is held
 * until it has not come for a long time.
 *
 * Entries tell each other what they saw of suspected signatures, as the crashes of one
 * are seen by different entries, and which are quarantined.  What one was told is not
 * told on. Merging records is idempotent and does not depend on their order.
 *
 * Pure: times are milliseconds given by the caller.
 */
#ifndef DL_QUARANTINE_H
#define DL_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/signature.h"

/* Crashes of one signature that are remembered. */
#define DL_SIGNATURE_CRASHES_MAX 16
/* Records that entries tell each other at once. */
#define DL_SIGNATURE_RECORDS_MAX 17
/* A trial without an outcome for this long may be followed by another. */
#define DL_QUARANTINE_TRIAL_MS 3000
/* Trials of one whole request that are sent. */
#define DL_QUARANTINE_TRIALS_MAX 2
/* From this level on, entries take turns with trials of a part, so that two do not make
 * one at the same time; with those of a whole request they always do. */
#define DL_QUARANTINE_TURNS_LEVEL 2
#define DL_QUARANTINE_TURN_MS     500
/* Longest hold. */
#define DL_QUARANTINE_HOLD_MAX_MS 120000
/* A crash is evidence once all entries know of it, and for so long. */
#define DL_QUARANTINE_SETTLE_MS   150
#define DL_QUARANTINE_EVIDENCE_MS 120000
/* The same for whole requests; until then, other entries have also told that they served
 * the request. */
#define DL_QUARANTINE_WHOLE_SETTLE_MS   400
#define DL_QUARANTINE_WHOLE_EVIDENCE_MS 3600000
#define DL_QUARANTINE_FARE_PARTS        1
/* Records of whole requests that are kept. */
#define DL_QUARANTINE_WHOLE_MAX 2048

/* A crash of an upstream that had a request with the signature. */
typedef struct
{
  uint64_t upstream; /* identifies the instance */
  uint64_t at_ms;
  /* Upstreams that had no request with the signature were lost at that moment, as far as
   * this entry saw; other entries are not told. */
  bool is_shared;
} DlSignatureCrash;

/* Requests that were served in a period and the one before. */
typedef struct
{
  uint64_t period_ms; /* start of the current period */
  unsigned now;
  unsigned before;
} DlServedCount;

/* What is known of one signature. */
typedef struct
{
  DlSignature id;
  uint64_t served_ms; /* when a request with it was last served; 0: not known */
  unsigned level;     /* of the quarantine: each one holds three times as long */
  uint64_t hold_ms; /* quarantined, with a trial from this time on; 0: not quarantined */
  unsigned trials;  /* of a whole request that were sent in this quarantine */
  bool is_partless; /* a whole request whose prompt has no shared parts */
  uint64_t came_ms; /* when a quarantined whole request last came; 0: not known */
  uint64_t changed_ms;   /* when it was last quarantined or released; 0: never */
  unsigned served_count; /* requests with it that were served, up to a maximum */
  unsigned broken_count; /* requests with it that broke off */
  size_t crash_count;
  DlSignatureCrash crashes[DL_SIGNATURE_CRASHES_MAX];
  /* Other entries are not told of the rest. */
  uint64_t fare; /* as in DlFate; 0: not known */
  uint64_t
      own_served_ms; /* when this entry last served a request with it; 0: not known */
  DlServedCount served_lately;
  uint64_t tell_until_ms; /* of what this entry saw, others are told until then */
} DlSignatureRecord;

/* Records that one entry tells others. */
typedef struct
{
  bool is_urgent; /* something that this entry saw is told for the first time */
  size_t count;
  DlSignatureRecord items[DL_SIGNATURE_RECORDS_MAX];
} DlSignatureRecords;

/* How a request ended. */
typedef struct
{
  const DlSignatures *signatures;
  /* Identifies the requests that fare alike without a suspect: those of one service;
   * DL_QUARANTINE_FARE_PARTS for those of all services whose requests have parts. */
  uint64_t fare;
  uint64_t upstream; /* identifies the instance that broke it off */
  bool is_trial;
} DlFate;

/* Why a request did not come to its end at an upstream. */
typedef enum
{
  DL_QUARANTINE_NOT_SENT, /* no connection */
  DL_QUARANTINE_NOT_RUN,  /* the upstream says so */
  DL_QUARANTINE_MAY_HAVE_RUN,
} DlQuarantineFailure;

/* What to do with a request. */
typedef enum
{
  DL_QUARANTINE_ALLOW,
  DL_QUARANTINE_TRIAL,  /* send it, once, and report how it ends */
  DL_QUARANTINE_REFUSE, /* it has a quarantined signature */
} DlQuarantineDecision;

/* Signatures that were quarantined or released by what was reported. */
typedef struct
{
  size_t quarantined_count;
  size_t released_count;
  DlSignature quarantined[DL_SIGNATURE_RECORDS_MAX];
  DlSignature released[DL_SIGNATURE_RECORDS_MAX];
} DlQuarantineNews;

/* Records of all signatures and of how requests fare. */
typedef struct DlQuarantine DlQuarantine;

/* Returns an empty one, a talloc child of CONTEXT. */
DlQuarantine *dl_quarantine_new (const void *context);
/* Sets how many entries take turns with trials and the position of this one among them,
 * which all know in the same order; -1: it takes no turns. */
void dl_quarantine_set_turns (DlQuarantine *quarantine, int position, unsigned entries);
/* A request was served completely, which may release some of its signatures. */
void dl_quarantine_served (DlQuarantine *quarantine,
                           const DlFate *fate,
                           uint64_t now_ms,
                           DlQuarantineNews *news);
/* An upstream broke off a request, as it does when it crashes. */
void
dl_quarantine_broken_off (DlQuarantine *quarantine, const DlFate *fate, uint64_t now_ms);
/* Quarantines the signatures against which the evidence suffices.  To be called several
 * times a second. */
void
dl_quarantine_judge (DlQuarantine *quarantine, uint64_t now_ms, DlQuarantineNews *news);
/* Merges what another entry told, which may quarantine or release signatures. */
void dl_quarantine_merge (DlQuarantine *quarantine,
                          const DlSignatureRecords *records,
                          uint64_t now_ms,
                          DlQuarantineNews *news);
/* A whole request was quarantined and sent as a trial TRIALS times before this process
 * started.  It is held, unless this entry knows more of it. */
void dl_quarantine_restore (DlQuarantine *quarantine,
                            const DlSignature *whole,
                            unsigned trials,
                            uint64_t now_ms,
                            DlQuarantineNews *news);
/* Decides on a new request.  For a refused one *FOUND is its quarantined signature and
 * *RETRY_MS the time until a trial may be made.  After DL_QUARANTINE_TRIAL the request is
 * taken for the trial, and dl_quarantine_trial_sent is to be called. */
DlQuarantineDecision dl_quarantine_admit (DlQuarantine *quarantine,
                                          const DlSignatures *signatures,
                                          uint64_t now_ms,
                                          const DlSignature **found,
                                          uint64_t *retry_ms);
/* A trial was sent to an upstream for the first time. */
void dl_quarantine_trial_sent (DlQuarantine *quarantine,
                               const DlSignatures *signatures,
                               uint64_t now_ms);
/* True if a request, or a trial when IS_TRIAL, may be sent again after FAILURE. */
bool dl_quarantine_allows_retry (const DlQuarantine *quarantine,
                                 const DlSignatures *signatures,
                                 bool is_trial,
                                 DlQuarantineFailure failure);
/* The record of a quarantined one among SIGNATURES, or NULL; the one with the latest
 * hold.
 */
const DlSignatureRecord *dl_quarantine_find (const DlQuarantine *quarantine,
                                             const DlSignatures *signatures);
/* Writes the records that other entries should know, the most important ones first. */
void dl_quarantine_export (const DlQuarantine *quarantine,
                           uint64_t now_ms,
                           DlSignatureRecords *records);
/* True once after this entry saw what others should be told at once. */
bool dl_quarantine_take_changed (DlQuarantine *quarantine);
/* Forgets what is too old to matter, which releases signatures that have not come for
 * long.  To be called about every second. */
void
dl_quarantine_expire (DlQuarantine *quarantine, uint64_t now_ms, DlQuarantineNews *news);
/* How many records are kept. */
size_t dl_quarantine_record_count (const DlQuarantine *quarantine);

#endif
