#include "policy/revision.h"

bool
dl_settings_is_newer (const DlSettingsRevision *state, uint64_t revision)
{
  return revision > state->in_effect && revision != state->rejected;
}

DlSettingsResult
dl_settings_offer (DlSettingsRevision *state, uint64_t revision, bool valid)
{
  if (!dl_settings_is_newer (state, revision))
    return DL_SETTINGS_STALE;
  if (!valid)
    {
      state->rejected = revision;
      return DL_SETTINGS_INVALID;
    }
  state->in_effect = revision;
  return DL_SETTINGS_APPLY;
}

static uint64_t
later (uint64_t a, uint64_t b)
{
  return a > b ? a : b;
}

static bool
is_recent (uint64_t at_ms, uint64_t now_ms)
{
  return at_ms > 0 && now_ms - at_ms <= DL_CONTACT_TIMEOUT_MS;
}

void
dl_contact_record_store (DlContact *contact, uint64_t now_ms)
{
  contact->store_contact_ms = now_ms;
  contact->store_seen_ms = later (contact->store_seen_ms, now_ms);
}

void
dl_contact_record_peer (DlContact *contact, uint64_t now_ms, uint64_t store_age_ms)
{
  contact->peer_contact_ms = now_ms;
  if (store_age_ms < now_ms && now_ms - store_age_ms > DL_CONTACT_HOP_MS)
    contact->store_seen_ms
        = later (contact->store_seen_ms, now_ms - store_age_ms - DL_CONTACT_HOP_MS);
}

/* False while the first response to a process that has just started may be stale. */
static bool
startup_is_over (const DlContact *contact, uint64_t now_ms)
{
  return !contact->has_peers || contact->peer_contact_ms > 0
         || now_ms - contact->started_ms >= DL_CONTACT_STARTUP_MS;
}

DlContactStatus
dl_contact_evaluate (const DlContact *contact, uint64_t now_ms)
{
  bool recent_contact = is_recent (contact->store_contact_ms, now_ms)
                        || is_recent (contact->peer_contact_ms, now_ms);

  return (DlContactStatus){
    .in_contact
    = recent_contact && contact->knows_settings && startup_is_over (contact, now_ms),
    .platform_reachable = is_recent (contact->store_seen_ms, now_ms),
    .store_age_ms
    = contact->store_seen_ms > 0 ? now_ms - contact->store_seen_ms : UINT64_MAX,
  };
}
