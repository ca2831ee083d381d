/*
 * Settings in force, and what a process that is cut off may still do.
 *
 * Revisions of settings only rise: of what the store and peers say, a process applies
 * what is newer than anything that it has applied, so that neither a stale read nor a
 * peer that lags takes it back.
 *
 * A process is in contact while it hears the store or a peer.  One that hears nobody
 * cannot know what has been accepted meanwhile, and admits no new requests.  One that
 * hears peers goes on also when none of them reaches the store: nothing can be accepted
 * while the store is down, and a store that is merely out of reach is told to operators
 * by the age.
 *
 * A process that has just started may get a stale first answer; while it knows of other
 * entries, it therefore waits until one was heard as well, or for a short time.
 *
 * The code is pure: the clock is given.
 */
#ifndef DL_REVISION_H
#define DL_REVISION_H

#include <stdbool.h>
#include <stdint.h>

/* Without word from anybody for this long, no new requests are admitted. */
#define DL_CONTACT_TIMEOUT_MS 5000
/* A started process waits at most this long for a peer's word on the settings. */
#define DL_CONTACT_STARTUP_MS 2000
/* What a fact may have aged on its way from one process to the next. */
#define DL_CONTACT_HOP_MS 100

typedef enum
{
  DL_SETTINGS_APPLY,
  DL_SETTINGS_STALE,   /* not newer than what is in force, or refused before */
  DL_SETTINGS_INVALID, /* newer, but the check refused it */
} DlSettingsResult;

/* A revision that was refused does not keep an older one out that is newer than what is
 * in force: a process that saw them in another order must end with the same one. */
typedef struct
{
  uint64_t in_effect; /* revision; 0: none was ever applied */
  uint64_t rejected;  /* the last that did not pass the check */
} DlSettingsRevision;

/* True when REVISION is worth checking. */
bool dl_settings_is_newer (const DlSettingsRevision *state, uint64_t revision);
DlSettingsResult
dl_settings_offer (DlSettingsRevision *state, uint64_t revision, bool valid);

typedef struct
{
  uint64_t started_ms;
  bool has_peers;            /* other entries are known to exist */
  bool knows_settings;       /* the store or a peer has said what is in force */
  uint64_t store_contact_ms; /* last answer of the store to this process; 0: none */
  uint64_t peer_contact_ms;  /* last word of any peer; 0: none */
  uint64_t store_seen_ms;    /* when the store was last in touch, by any way; 0: never */
} DlContact;

typedef struct
{
  bool in_contact;
  bool platform_reachable; /* the store was in touch, by any way, a short time ago */
  uint64_t store_age_ms;   /* UINT64_MAX: never in touch */
} DlContactStatus;

void dl_contact_record_store (DlContact *contact, uint64_t now_ms);
/* STORE_AGE_MS is as the peer says; UINT64_MAX: it never heard. */
void dl_contact_record_peer (DlContact *contact, uint64_t now_ms, uint64_t store_age_ms);
DlContactStatus dl_contact_evaluate (const DlContact *contact, uint64_t now_ms);

#endif
