/*
 * Tracks the revision of the settings in effect, and whether a process is connected well
 * enough to admit requests.
 *
 * Settings revisions only increase.  A process applies settings from the store or a peer
 * only if they are newer than any it has applied, so that neither a stale read nor a
 * lagging peer can revert them.
 *
 * A process is in contact while it hears from the store or a peer.  A process that hears
 * from neither cannot know which settings were accepted meanwhile, and admits no new
 * requests.  A process that hears from peers keeps working even if none of them reaches
 * the store: no settings can be accepted while the store is down, and if the store is
 * merely unreachable, operators see it from the reported age.
 *
 * The first response to a process that has just started may be stale.  If it knows of
 * other entries, it therefore waits until it has heard from one of them too, but only for
 * a short time.
 *
 * No I/O: times are milliseconds passed in by the caller.
 */
#ifndef DL_REVISION_H
#define DL_REVISION_H

#include <stdbool.h>
#include <stdint.h>

/* No new requests are admitted after hearing from nobody for this long. */
#define DL_CONTACT_TIMEOUT_MS 5000
/* A process that has just started waits at most this long to hear from a peer. */
#define DL_CONTACT_STARTUP_MS 2000
/* Added to the age that a peer reports, for the time of the message on its way. */
#define DL_CONTACT_HOP_MS 100

/* What dl_settings_offer did with a revision. */
typedef enum
{
  DL_SETTINGS_APPLY,
  DL_SETTINGS_STALE,   /* not newer than what is in effect, or rejected before */
  DL_SETTINGS_INVALID, /* newer, but did not pass the check */
} DlSettingsResult;

/* A rejected revision does not block an older one that is newer than the one in effect:
 * processes that see revisions in a different order must end up with the same one. */
typedef struct
{
  uint64_t in_effect; /* revision; 0: none applied yet */
  uint64_t rejected;  /* the last revision that did not pass the check */
} DlSettingsRevision;

/* True when REVISION is newer than the one in effect and was not the last rejected. */
bool dl_settings_is_newer (const DlSettingsRevision *state, uint64_t revision);
/* Offers REVISION, which passed the check if VALID, and records the result. */
DlSettingsResult
dl_settings_offer (DlSettingsRevision *state, uint64_t revision, bool valid);

/* What a process knows of its contact with the store and its peers. */
typedef struct
{
  uint64_t started_ms;
  bool has_peers;            /* other entries are known to exist */
  bool knows_settings;       /* the store or a peer has sent the settings in effect */
  uint64_t store_contact_ms; /* last response of the store to this process; 0: none */
  uint64_t peer_contact_ms;  /* last message of any peer; 0: none */
  uint64_t store_seen_ms;    /* last response to this process or a peer; 0: never */
} DlContact;

/* Whether a process is in contact, as of one moment. */
typedef struct
{
  bool in_contact;
  bool platform_reachable; /* the store responded to this process or a peer recently */
  uint64_t store_age_ms;   /* since its last response to either; UINT64_MAX: never */
} DlContactStatus;

/* Records a response of the store to this process. */
void dl_contact_record_store (DlContact *contact, uint64_t now_ms);
/* Records a message of a peer.  STORE_AGE_MS is the store_age_ms that the peer reports;
 * UINT64_MAX: never. */
void dl_contact_record_peer (DlContact *contact, uint64_t now_ms, uint64_t store_age_ms);
/* Evaluates CONTACT at NOW_MS. */
DlContactStatus dl_contact_evaluate (const DlContact *contact, uint64_t now_ms);

#endif
